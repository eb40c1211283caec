"""Engines that refuse a node while others, which it has not asked, are sound."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from coursepitch.control import reach as module
from coursepitch.control.reach import CHECK_INTERVAL_S, CHECKED_ENGINES, Finding
from tests.control.test_reach import ReachCase

#: Seconds within which ten rounds of refusals prove a cut: one pause, and no more.
PROVEN_S = 3 * CHECK_INTERVAL_S


class PartialRefusalTest(ReachCase):
    """Refusals of some engines do not prove that none can be reached."""

    def setUp(self):
        super().setUp()
        self.refusing = [f'r{number}' for number in range(CHECKED_ENGINES)]
        self.others = [f's{number}' for number in range(CHECKED_ENGINES)]
        self.observed = [*self.refusing, *self.others]
        self.answering = set(self.others)
        self.otherwise = Finding.FAILED
        # The engines that refuse are drawn first.
        drawn = mock.patch.object(module.random, 'shuffle', lambda names: None)
        drawn.start()
        self.addCleanup(drawn.stop)

    # Guards against queued requests that are all refused as some engines have ended.
    def test_node_is_not_cut_off_while_engines_that_it_did_not_ask_answer(self):
        self.confirm()
        self.assertEqual(set(self.asked) & set(self.others), set())
        self.assertFalse(self.reach.is_cut_off)

    # Guards against a node that asks the engines that refuse it again and again.
    def test_engines_that_were_not_asked_are_asked_next(self):
        self.confirm()
        self.now += 1.0
        self.assertTrue(self.confirm())
        self.assertEqual(self.read_state(), (False, False))

    def test_node_that_all_known_engines_refuse_is_cut_off(self):
        self.answering = set()
        states = []
        for _ in range(2):
            self.confirm()
            self.now += 1.0
            states.append(self.reach.is_cut_off)
        self.assertEqual(states, [False, True])

    # Guards against refusals that are counted though the engine is only silent now.
    def test_engine_that_is_silent_after_a_refusal_refuses_no_more(self):
        self.answering = set()
        self.observed = self.refusing
        self.confirm()
        self.assertTrue(self.reach.is_cut_off)
        self.reach.is_cut_off = False
        self.otherwise = Finding.SILENT
        self.confirm()
        self.assertFalse(self.reach.is_cut_off)

    def test_refusals_before_an_answer_prove_nothing(self):
        self.confirm()
        self.now += 1.0
        self.confirm()
        self.answering = set()
        self.now += 1.0
        self.confirm()
        self.assertEqual(self.read_state(), (True, False))

    # Guards against a cut that is proven the later the more engines there are.
    def test_rounds_of_refusals_follow_without_a_pause(self):
        self.answering = set()
        self.observed = [f'r{number}' for number in range(10 * CHECKED_ENGINES)]

        async def main():
            with anyio.move_on_after(PROVEN_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.reach.run)
                    while not self.reach.is_cut_off:
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertTrue(self.reach.is_cut_off)
        self.assertEqual(set(self.asked), set(self.observed))


if __name__ == '__main__':
    unittest.main()
