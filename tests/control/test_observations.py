"""What an observer of a fabric domain keeps of checks that prove nothing."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.config.settings import TargetSettings
from coursepitch.control.chart import load_chart
from coursepitch.control.domain import DomainController
from coursepitch.control.lifecycle import HealthCheck
from coursepitch.peers.records import DomainBody
from tests.builders import build_check, build_seen

TIMEOUT_S = 1.0


class ObservationTest(unittest.TestCase):
    """A replica of two members, and a node that may have lost its path to them."""

    def setUp(self):
        self.answering = {'10.0.0.1:1', '10.0.0.1:2'}
        self.answers = build_check('r')
        self.otherwise = HealthCheck(answered=False, silent_s=TIMEOUT_S)
        self.reaches = False
        self.published = []
        self.controller = DomainController(
            'd',
            'n1',
            None,
            None,
            SimpleNamespace(check=self.check),
            TargetSettings(),
            load_chart('replica'),
            lambda domain, body, load, at: self.published.append(body),
            lambda: 100.0,
            DomainBody(1, 1, (build_seen('r'),)),
            SimpleNamespace(confirm=self.confirm),
        )

    async def check(self, address):
        return self.answers if address in self.answering else self.otherwise

    async def confirm(self):
        return self.reaches

    def run_rounds(self, count=1):
        for _ in range(count):
            anyio.run(self.controller._run_round)

    def test_node_that_reaches_no_engine_publishes_nothing(self):
        self.answering = set()
        self.run_rounds(3)
        self.assertEqual(self.published, [])

    # Guards against replicas that are replaced as the last of their members goes on a
    # moment after the others.
    def test_silence_in_which_no_engine_answers_counts_for_no_member_later(self):
        self.run_rounds()
        for unanswered in (self.otherwise, HealthCheck(False, failures=1)):
            self.otherwise = unanswered
            self.answering = set()
            self.run_rounds(10)
            self.answering = {'10.0.0.1:1'}
            self.run_rounds()
            self.assertFalse(self.published[-1].replicas[0].whole)
            check = self.controller._checks['r-1']
            self.assertLessEqual(check.silent_s, TIMEOUT_S)
            self.assertLessEqual(check.failures, 1)
            self.answering = {'10.0.0.1:1', '10.0.0.1:2'}
            self.run_rounds()

    def list_silent(self):
        """Return the members that only silence speaks against, as published last."""
        members = self.published[-1].replicas[0].members
        return [item.instance for item in members if item.silent]

    def test_sound_member_that_falls_silent_is_told_as_silent(self):
        self.answering = {'10.0.0.1:1'}
        self.run_rounds()
        self.assertEqual(self.list_silent(), ['r-1'])
        self.assertFalse(self.published[-1].replicas[0].whole)
        self.answering = {'10.0.0.1:1', '10.0.0.1:2'}
        self.run_rounds()
        self.assertEqual(self.list_silent(), [])
        self.assertTrue(self.published[-1].replicas[0].whole)

    # Guards against requests that wait for an engine which is known to have ended.
    def test_member_that_failed_is_not_silent(self):
        silent = self.otherwise
        self.answering = {'10.0.0.1:1'}
        for otherwise in (HealthCheck(False, failures=1), silent):
            self.otherwise = otherwise
            self.run_rounds()
            self.assertEqual(self.list_silent(), [])

    def test_member_that_served_something_else_is_not_silent(self):
        self.answers = build_check('another')
        self.run_rounds()
        self.answering = {'10.0.0.1:1'}
        self.run_rounds()
        self.assertEqual(self.list_silent(), [])

    def test_silence_counts_while_other_engines_answer(self):
        self.answering = {'10.0.0.1:1'}
        self.run_rounds(3)
        self.assertEqual(self.controller._checks['r-1'].silent_s, 3 * TIMEOUT_S)


if __name__ == '__main__':
    unittest.main()
