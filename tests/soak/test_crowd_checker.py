"""What counts as too much memory of a node."""

from __future__ import annotations

import unittest

from soak.crowd_checkers import check_memory
from soak.history import Crowd, Ending, History, Peak, Sent
from soak.plan import CROWDS, FaultKind, draw_plan
from soak.verdicts import Bounds
from tests.soak.builders import build_call, build_run


class MemoryCheckerTest(unittest.TestCase):
    """A node stays within its memory, whatever its clients send."""

    def find(self, *sizes):
        peaks = tuple(Peak('n1', 10.0, size) for size in sizes)
        return check_memory(History(peaks=peaks), Bounds(memory_mb=100.0))

    def test_peak_within_the_memory_is_kept(self):
        self.assertTrue(self.find(40.0, 100.0).proved)

    def test_peak_above_the_memory_is_broken(self):
        found = self.find(40.0, 100.5).findings
        self.assertEqual([item.what for item in found], ['peak of 100 MiB'])

    def test_nothing_is_proved_without_a_crowd(self):
        self.assertFalse(self.find().proved)


class ClosedUnreadTest(unittest.TestCase):
    """Connections that a node closes unread beside a crowd."""

    def was_closed_unread(self, runs=(), sent=(), node='n1', **fields):
        values = {'ending': Ending.UNKNOWN, 'ended_at': 10.1, 'node': 'n1', **fields}
        call = build_call(sent_at=values.pop('sent_at', 10.0), **values)
        crowd = Crowd(node, 9.0, 12.0)
        history = History((call,), runs, sent=sent, crowds=(crowd,))
        return history.was_closed_unread(call, 3.0)

    def test_call_of_which_nothing_was_sent_counts(self):
        self.assertTrue(self.was_closed_unread())
        self.assertTrue(self.was_closed_unread(sent_at=14.9, ended_at=15.0))

    # Guards against a checker that passes over calls that a node took and lost.
    def test_call_that_a_node_took_does_not_count(self):
        self.assertFalse(self.was_closed_unread(runs=(build_run(),)))
        self.assertFalse(self.was_closed_unread(sent=(Sent('c', 'i'),)))
        self.assertFalse(self.was_closed_unread(status=502))
        self.assertFalse(self.was_closed_unread(ending=Ending.CUT))

    def test_call_elsewhere_or_later_does_not_count(self):
        self.assertFalse(self.was_closed_unread(node='n2'))
        self.assertFalse(self.was_closed_unread(sent_at=15.1, ended_at=15.2))


class CrowdPlanTest(unittest.TestCase):
    """Crowds of all kinds, beside one another and other faults."""

    def test_crowds_of_all_kinds_overlap(self):
        plans = [draw_plan(seed, 36.0) for seed in range(10)]
        crowds = [
            [fault for fault in plan if fault.kind is FaultKind.CROWD] for plan in plans
        ]
        self.assertEqual({item.mode for plan in crowds for item in plan}, set(CROWDS))
        self.assertTrue(
            any(
                second.at < first.at + first.length_s
                for plan in crowds
                for first, second in zip(plan, plan[1:], strict=False)
            )
        )


if __name__ == '__main__':
    unittest.main()
