"""When a node counts as cut off from the engines, and when they may only be silent."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from coursepitch.control import reach as module
from coursepitch.control.fleet import find_peer_reached_at
from coursepitch.control.reach import EngineReach, Finding
from coursepitch.peers.records import NodeBody
from coursepitch.peers.table import Record, RecordKey

TIMEOUT_S = 1.0


class ReachCase(unittest.TestCase):
    """Four engines that answered some node."""

    def setUp(self):
        self.now = 100.0
        self.answering = {'a', 'b', 'c', 'd'}
        self.observed = ['a', 'b', 'c', 'd']
        self.otherwise = Finding.SILENT
        self.took_s = 0.0
        self.asked = []
        self.peer_reached_at = float('-inf')
        self.reach = EngineReach(
            self.check,
            TIMEOUT_S,
            lambda: self.observed,
            lambda: self.peer_reached_at,
            lambda: self.now,
        )

    async def check(self, address):
        self.asked.append(address)
        await anyio.lowlevel.checkpoint()
        if address in self.answering:
            return Finding.ANSWERED
        self.now += self.took_s / 4
        return self.otherwise

    def confirm(self):
        return anyio.run(self.reach.confirm)

    def read_state(self):
        return self.reach.is_silent, self.reach.is_cut_off


class ReachTest(ReachCase):
    """What a node finds out by itself."""

    def test_node_is_sound_while_one_engine_answers(self):
        self.answering = {'d'}
        self.assertTrue(self.confirm())
        self.assertEqual(self.read_state(), (False, False))

    def test_node_that_all_refuse_is_cut_off_until_one_answers(self):
        self.answering = set()
        self.otherwise = Finding.FAILED
        self.assertFalse(self.confirm())
        self.assertEqual(self.read_state(), (True, True))
        self.answering = {'a', 'b', 'c', 'd'}
        self.assertTrue(self.confirm())
        self.assertEqual(self.read_state(), (False, False))

    # Guards against requests that are refused at once as all engines are silent.
    def test_node_that_none_answers_is_not_cut_off_without_another_proof(self):
        self.answering = set()
        for _ in range(3):
            self.assertFalse(self.confirm())
            self.assertEqual(self.read_state(), (True, False))
            self.now += 1.0
        self.answering = {'a'}
        self.assertTrue(self.confirm())
        self.assertEqual(self.read_state(), (False, False))

    def test_node_that_knows_no_engine_is_not_cut_off(self):
        self.observed = []
        self.assertTrue(self.confirm())
        self.assertEqual(self.asked, [])
        self.assertFalse(self.reach.has_reached())

    def test_engines_that_answered_long_ago_are_not_asked(self):
        self.confirm()
        self.observed = []
        self.now += module.REMEMBERED_S + 1.0
        self.asked.clear()
        self.assertTrue(self.confirm())
        self.assertEqual(self.asked, [])

    # Guards against a node that forgets in a long cut what it could check.
    def test_node_that_reaches_none_remembers_engines(self):
        self.answering = set()
        self.confirm()
        self.observed = []
        self.now += module.REMEMBERED_S + 1.0
        self.assertFalse(self.confirm())
        self.answering = {'a'}
        self.assertTrue(self.confirm())

    # Guards against silent engines that are checked in place of those that answer.
    def test_engines_that_answer_are_checked_first(self):
        self.observed = [f'old{number}' for number in range(20)]
        self.confirm()
        self.now += 1.0
        self.observed = ['a', 'b', 'c', 'd']
        self.asked.clear()
        self.answering = set()
        self.confirm()
        self.assertEqual(sorted(self.asked), ['a', 'b', 'c', 'd'])

    # Guards against a stop of the own process that is taken for a silence.
    def test_checks_that_time_out_late_are_repeated(self):
        self.answering = set()
        self.took_s = TIMEOUT_S + 0.5
        self.confirm()
        self.assertEqual(len(self.asked), 8)

    def test_callers_that_wait_share_a_check(self):
        self.answering = set()
        found = []

        async def run():
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(self.note, found)

        anyio.run(run)
        self.assertEqual(found, [False] * 3)
        self.assertEqual(len(self.asked), 4)

    async def note(self, found):
        found.append(await self.reach.confirm())

    def test_failed_periodic_check_is_confirmed(self):
        self.answering = set()

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.reach.run)
                with anyio.fail_after(5):
                    while not self.reach.is_silent:
                        await anyio.sleep(0.001)
                    self.answering = {'a', 'b', 'c', 'd'}
                    while self.reach.is_silent:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with mock.patch.object(module, 'CHECK_INTERVAL_S', 0.001):
            anyio.run(run)


class PeerTest(ReachCase):
    """What engines that answer a peer prove about a silence."""

    def setUp(self):
        super().setUp()
        self.answering = set()
        self.confirm()
        self.since = self.now
        self.now += TIMEOUT_S

    # Guards against callers who wait for a node that can reach no engine.
    def test_check_that_fails_after_an_answer_to_a_peer_proves_a_cut(self):
        self.peer_reached_at = self.since + 0.1
        self.assertFalse(self.confirm())
        self.assertEqual(self.read_state(), (True, True))

    def test_answer_to_a_peer_before_the_silence_proves_nothing(self):
        self.peer_reached_at = self.since - 0.1
        self.confirm()
        self.reach.judge()
        self.assertEqual(self.read_state(), (True, False))

    # Guards against engines that go on and answer a peer a moment earlier.
    def test_answer_to_a_peer_proves_nothing_while_no_check_has_waited(self):
        self.peer_reached_at = self.since + 0.1
        self.reach.judge()
        self.assertEqual(self.read_state(), (True, False))
        self.answering = {'a'}
        self.confirm()
        self.assertEqual(self.read_state(), (False, False))

    def test_check_that_waits_after_an_answer_to_a_peer_proves_a_cut(self):
        states = []

        async def wait(address):
            for passed_s in (0.0, module.PROOF_WAIT_S - 0.01, module.PROOF_WAIT_S):
                self.now = self.since + TIMEOUT_S + passed_s
                self.reach.judge()
                states.append(self.reach.is_cut_off)
                self.peer_reached_at = self.since + 0.1
            return Finding.SILENT

        self.reach._check = wait
        self.observed = ['a']
        self.confirm()
        self.assertEqual(states[:3], [False, False, True])

    def test_answer_ends_a_cut(self):
        self.peer_reached_at = self.since + 0.1
        self.confirm()
        self.answering = {'a'}
        self.assertTrue(self.confirm())
        self.assertEqual(self.read_state(), (False, False))


class PeerRecordTest(unittest.TestCase):
    """The newest check that an engine answered, as peers tell it."""

    def find(self, *bodies):
        """Return the time found in the records of nodes n0, n1 and so on."""
        records = [
            Record(RecordKey('node', name, name), 1, 1, 1, 100.0 + number, body)
            for number, body in enumerate(bodies)
            for name in [f'n{number}']
        ]
        return find_peer_reached_at(SimpleNamespace(records=lambda kind: records), 'n1')

    def test_only_peers_that_reach_engines_tell_of_them(self):
        sound = NodeBody('i', 1, True, False)
        silent = NodeBody('i', 1, True, False, cut_off=True)
        unchecked = NodeBody('i', 1, True, False, unchecked=True)
        self.assertEqual(self.find(sound, sound, silent, unchecked), 100.0)
        self.assertEqual(self.find(sound, sound, sound, unchecked), 102.0)
        self.assertEqual(self.find(silent, sound, unchecked), float('-inf'))


if __name__ == '__main__':
    unittest.main()
