"""Timeouts and sleeps of a process that was paused, or is always late."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from coursepitch.fleet.pause_detector import TimeoutFilter, sleep_running
from tests.gateway.simulated_runs import START, VirtualTimeLoop

TIMEOUT_S = 0.5
LATE_S = TIMEOUT_S + 0.2


def run_in_virtual_time(function):
    """Run an asynchronous function with an event loop whose clock jumps."""
    return anyio.run(function, backend_options={'loop_factory': VirtualTimeLoop})


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

    def test_wait_that_ended_before_changes_nothing(self):
        self.check((LATE_S, False), (TIMEOUT_S / 2, True), (LATE_S, True))


class SleepRunningTest(unittest.TestCase):
    """A pause of the process does not count, as what arrived in it was not read."""

    def measure(self, since=None, pauses=()):
        """Return the seconds of a sleep of 1 s, with pauses of 0.5 s at these times."""

        async def main():
            loop = asyncio.get_running_loop()
            for pause_at in pauses:
                loop.call_later(pause_at, loop.pause, 0.5)
            await sleep_running(anyio.current_time, 1.0, since)
            return anyio.current_time() - START

        return run_in_virtual_time(main)

    def test_sleep_counts_from_the_time_since_which_the_process_runs(self):
        self.assertAlmostEqual(self.measure(), 1.0)
        self.assertAlmostEqual(self.measure(since=START - 0.4), 0.6)
        self.assertAlmostEqual(self.measure(since=START - 4.0), 0.0)

    def test_pause_over_the_end_lets_the_whole_sleep_begin_again(self):
        self.assertAlmostEqual(self.measure(pauses=[0.8]), 2.3)
        self.assertAlmostEqual(self.measure(since=START - 0.4, pauses=[0.3]), 1.8)

    def test_pause_that_ends_before_does_not_matter(self):
        self.assertAlmostEqual(self.measure(pauses=[0.2]), 1.0)

    # Guards against an overloaded process whose sleeps never end.
    def test_sleep_of_a_process_that_is_always_late_ends(self):
        self.assertAlmostEqual(self.measure(pauses=[0.8, 2.1, 3.3]), 2.6)
