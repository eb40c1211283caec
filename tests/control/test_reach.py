"""When a node counts as cut off from the engines."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from coursepitch.control import reach as module
from coursepitch.control.reach import EngineReach


class ReachTest(unittest.TestCase):
    """Four engines that answered some node."""

    def setUp(self):
        self.now = 100.0
        self.answering = {'a', 'b', 'c', 'd'}
        self.observed = ['a', 'b', 'c', 'd']
        self.asked = []
        self.reach = EngineReach(self.check, lambda: self.observed, lambda: self.now)

    async def check(self, address):
        self.asked.append(address)
        await anyio.lowlevel.checkpoint()
        return address in self.answering

    def confirm(self):
        return anyio.run(self.reach.confirm)

    def test_node_is_sound_while_one_engine_answers(self):
        self.answering = {'d'}
        self.assertTrue(self.confirm())
        self.assertFalse(self.reach.is_cut_off)

    def test_node_that_none_answers_is_cut_off_until_one_does(self):
        self.answering = set()
        self.assertFalse(self.confirm())
        self.assertTrue(self.reach.is_cut_off)
        self.answering = {'a', 'b', 'c', 'd'}
        self.assertTrue(self.confirm())
        self.assertFalse(self.reach.is_cut_off)

    def test_node_that_knows_no_engine_is_not_cut_off(self):
        self.observed = []
        self.assertTrue(self.confirm())
        self.assertEqual(self.asked, [])

    def test_engines_that_answered_long_ago_are_not_asked(self):
        self.confirm()
        self.observed = []
        self.now += module.REMEMBERED_S + 1.0
        self.asked.clear()
        self.assertTrue(self.confirm())
        self.assertEqual(self.asked, [])

    # Guards against a node that forgets in a long cut what it could check.
    def test_node_that_is_cut_off_remembers_engines(self):
        self.answering = set()
        self.confirm()
        self.observed = []
        self.now += module.REMEMBERED_S + 1.0
        self.assertFalse(self.confirm())
        self.answering = {'a'}
        self.assertTrue(self.confirm())

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
                    while not self.reach.is_cut_off:
                        await anyio.sleep(0.001)
                    self.answering = {'a', 'b', 'c', 'd'}
                    while self.reach.is_cut_off:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with mock.patch.object(module, 'CHECK_INTERVAL_S', 0.001):
            anyio.run(run)


if __name__ == '__main__':
    unittest.main()
