"""Engines that refuse a node while others, which it has not asked, are sound."""

from __future__ import annotations

import unittest
from unittest import mock

from coursepitch.control import reach as module
from coursepitch.control.reach import CHECKED_ENGINES, Finding
from tests.control.test_reach import ReachCase


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


if __name__ == '__main__':
    unittest.main()
