"""Refusal of connections while requests wait too long at a node."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import anyio

from coursepitch import events
from coursepitch.gateway.overload import (
    CHECK_INTERVAL_S,
    LOW_DELAY_S,
    MAX_DELAY_S,
    MAX_REFUSING_S,
    MIN_RATE,
    MIN_SHARE,
    OverloadGuard,
)
from coursepitch.metrics import Metrics

EVENT = events.NODE_DELAYED


class OverloadCase(unittest.TestCase):
    """A guard with a simulated clock."""

    def setUp(self):
        self.now = 100.0
        self.idle_peers = True
        self.random = random.Random(1)
        self.guard = OverloadGuard(
            lambda: self.now, Metrics(), lambda: self.idle_peers, self.random.random
        )

    def offer(self, rate, delay_s=0.0):
        """Offer connections until the next measurement; return those accepted."""
        count = max(1, int(rate * CHECK_INTERVAL_S))
        accepted = 0
        for _ in range(count):
            self.now += CHECK_INTERVAL_S / count
            accepted += self.guard.accepts()
        self.guard.note_delay(delay_s, CHECK_INTERVAL_S)
        return accepted

    def overload(self, rate=400.0, times=20):
        for _ in range(times):
            self.offer(rate, 4 * MAX_DELAY_S)


class DelayLogTest(OverloadCase):
    """The log tells that requests wait for the process."""

    def test_delay_is_logged_once_a_second_whatever_connections_come(self):
        with mock.patch('coursepitch.log.emit') as emit:
            for _ in range(15):
                self.offer(2 * MIN_RATE, 2 * MAX_DELAY_S)
        logged = [call for call in emit.call_args_list if call.args[0] is EVENT]
        self.assertEqual(len(logged), 2)
        self.assertEqual(logged[0].kwargs['delay_s'], 2 * MAX_DELAY_S)

    def test_short_delay_is_not_logged(self):
        with mock.patch('coursepitch.log.emit') as emit:
            self.offer(2 * MIN_RATE, MAX_DELAY_S)
        emit.assert_not_called()


class ShareTest(OverloadCase):
    """The share of connections that is accepted."""

    def test_all_are_accepted_while_nothing_waits(self):
        self.assertEqual(sum(self.offer(400.0) for _ in range(20)), 800)

    def test_share_falls_at_once_with_a_long_delay(self):
        self.offer(400.0, 10 * MAX_DELAY_S)
        self.assertLess(self.guard.share, 0.5)

    # Guards against a node that is ready and takes nothing.
    def test_some_are_always_accepted(self):
        self.overload()
        self.assertEqual(self.guard.share, MIN_SHARE)
        accepted = 0
        for _ in range(int(MAX_REFUSING_S / CHECK_INTERVAL_S) + 1):
            accepted += self.offer(2 * MIN_RATE, 4 * MAX_DELAY_S)
        self.assertGreater(accepted, 0)

    def test_share_rises_slowly_once_nothing_waits(self):
        self.overload()
        self.offer(400.0)
        self.assertLess(self.guard.share, 0.1)
        for _ in range(60):
            self.offer(400.0)
        self.assertEqual(self.guard.share, 1.0)

    def test_share_stays_between_both_delays(self):
        self.overload(times=1)
        share = self.guard.share
        self.offer(400.0, (LOW_DELAY_S + MAX_DELAY_S) / 2)
        self.assertEqual(self.guard.share, share)

    # Guards against connections that are refused for the load of other programs.
    def test_none_is_refused_at_a_low_rate_or_without_idle_peers(self):
        self.overload(rate=MIN_RATE / 2)
        self.assertEqual(self.guard.share, 1.0)
        self.idle_peers = False
        self.overload()
        self.assertEqual(self.guard.share, 1.0)

    def test_share_settles_near_the_capacity(self):
        # Each connection beyond the capacity waits for all before it.
        capacity, offered, waiting = 100.0, 600.0, 0.0
        accepted = 0
        for number in range(300):
            taken = self.offer(offered, waiting / capacity)
            waiting = max(0.0, waiting + taken - capacity * CHECK_INTERVAL_S)
            if number >= 100:
                accepted += taken
                self.assertLess(waiting / capacity, 10 * MAX_DELAY_S)
        rate = accepted / (200 * CHECK_INTERVAL_S)
        self.assertGreater(rate, 0.6 * capacity)
        self.assertLessEqual(rate, 1.05 * capacity)


class MeasurementTest(unittest.TestCase):
    """The delay by other work in the event loop."""

    def measure(self, busy_s):
        async def work():
            while True:
                until = anyio.current_time() + busy_s
                while anyio.current_time() < until:
                    pass
                await anyio.lowlevel.checkpoint()

        async def run():
            async with anyio.create_task_group() as tasks:
                guard = OverloadGuard(anyio.current_time, Metrics(), lambda: True)
                if busy_s:
                    tasks.start_soon(work)
                delay_s = await guard._measure_delay()
                tasks.cancel_scope.cancel()
            return delay_s

        return anyio.run(run)

    def test_work_in_each_pass_delays_requests(self):
        self.assertGreater(self.measure(0.02), MAX_DELAY_S)
        # A share of it, as the machine may be busy.
        self.assertLess(self.measure(0.0), self.measure(0.02))


if __name__ == '__main__':
    unittest.main()
