"""What counts as too much memory of a node."""

from __future__ import annotations

import unittest

from soak.crowd_checkers import check_memory
from soak.history import History, Peak
from soak.plan import CROWDS, FaultKind, draw_plan
from soak.verdicts import Bounds


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
