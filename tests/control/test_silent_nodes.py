"""How long nodes have been silent.

Guards against a node that stays registered after it was killed: with each change of the
holder of the cluster duty the time for which it was silent began anew.
"""

from __future__ import annotations

import unittest

from coursepitch.control.silent_nodes import MAX_GAP_S, SilentNodes


class SilentNodesTest(unittest.TestCase):
    """Observations of one node."""

    def setUp(self) -> None:
        self.now = 100.0
        self.nodes = SilentNodes(lambda: self.now)

    def observe(self, seconds: float, *silent: str) -> None:
        """Observe the same silent nodes once a second."""
        for _ in range(int(seconds)):
            self.now += 1.0
            self.nodes.observe(silent)

    def test_node_that_stays_silent_is_listed(self) -> None:
        self.observe(20, 'a')
        self.assertEqual(self.nodes.list_silent(20.0), [])
        self.observe(2, 'a')
        self.assertEqual(self.nodes.list_silent(20.0), ['a'])

    def test_sign_of_life_begins_the_time_anew(self) -> None:
        self.observe(15, 'a')
        self.observe(1)
        self.observe(15, 'a')
        self.assertEqual(self.nodes.list_silent(20.0), [])

    def test_time_in_which_the_process_was_suspended_does_not_count(self) -> None:
        self.observe(10, 'a')
        self.now += MAX_GAP_S
        self.observe(15, 'a')
        self.assertEqual(self.nodes.list_silent(20.0), [])


if __name__ == '__main__':
    unittest.main()
