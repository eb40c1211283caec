"""Timeouts that pass late, in a process that was paused or is always late."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.fleet.pause_detector import TimeoutFilter, sleep_running

TIMEOUT_S = 0.5
LATE_S = TIMEOUT_S + 0.2


class TimeoutFilterTest(unittest.TestCase):
    """Timeouts that say something about what was awaited."""

    def check(self, *expected):
        timeouts = TimeoutFilter()
        found = [timeouts.holds(TIMEOUT_S, took_s) for took_s, _ in expected]
        self.assertEqual(found, [holds for _, holds in expected])

    def test_timeout_in_time_holds(self):
        self.check((TIMEOUT_S, True), (TIMEOUT_S + 0.05, True))

    def test_first_late_timeout_does_not_hold(self):
        self.check((LATE_S, False), (TIMEOUT_S, True), (LATE_S, False))

    # Guards against an overloaded process that never finds an instance silent.
    def test_late_timeouts_in_a_row_hold(self):
        self.check((LATE_S, False), (LATE_S, True), (LATE_S, True))


class SleepTest(unittest.TestCase):
    """Sleep of a process until it has run for a time."""

    def sleep(self, *took):
        """Return how many sleeps it takes; each lasts for the given seconds."""
        ends = iter(took)
        now = 0.0
        readings = 0

        def clock():
            nonlocal now, readings
            readings += 1
            if readings % 2 == 0:
                now += next(ends)
            return now

        async def run():
            with anyio.fail_after(5.0):
                await sleep_running(clock, 0.0)

        anyio.run(run)
        return readings // 2

    def test_sleep_in_time_is_not_repeated(self):
        self.assertEqual(self.sleep(0.0), 1)

    def test_sleep_is_repeated_after_a_pause(self):
        self.assertEqual(self.sleep(1.2, 0.0), 2)

    # Guards against an overloaded process whose sleeps never end.
    def test_sleep_of_a_process_that_is_always_late_ends(self):
        self.assertEqual(self.sleep(*[0.2] * 1_000), 2)
