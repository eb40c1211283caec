"""What counts as lost by a node that stops."""

from __future__ import annotations

import signal
import unittest

from soak.history import History, StopCall, StopCut
from soak.plan import FURTHER_SIGNALS, FaultKind, draw_plan, draw_signals
from soak.stop_checkers import check_stops
from soak.verdicts import Bounds
from tests.soak.builders import build_run


def build_stop_call(name='s', ended_at=10.1, status=0, whole=False, shape='used'):
    """Return a request that was sent at 10 s."""
    return StopCall(name, 'n1', shape, 10.0, ended_at, status, whole)


class StopCheckerTest(unittest.TestCase):
    """A node responds to what it read, and begins nothing that it can't finish."""

    def find(self, *calls, runs=(), cuts=()):
        history = History(stop_calls=calls, stop_runs=runs, stop_cuts=cuts)
        return check_stops(history, Bounds()).findings

    def test_response_or_refusal_is_kept(self):
        for status in (200, 502, 503):
            call = build_stop_call(status=status, whole=True, ended_at=14.0)
            self.assertEqual(self.find(call, runs=(build_run('s'),)), ())

    # Guards against requests that ran and whose connection was closed.
    def test_request_that_ran_without_a_response_is_lost(self):
        found = self.find(build_stop_call(), runs=(build_run('s'),))
        self.assertIn('ran (used)', found[0].what)

    def test_request_that_was_read_without_a_response_is_lost(self):
        found = self.find(build_stop_call(ended_at=11.0))
        self.assertIn('was read', found[0].what)

    def test_request_that_crossed_the_close_is_not_lost(self):
        self.assertEqual(self.find(build_stop_call()), ())

    # Guards against streams that are begun although they can't be whole.
    def test_response_that_is_cut_is_lost_if_its_request_came_late(self):
        call = build_stop_call(status=200)
        for after_s, count in ((2.9, 0), (3.1, 1)):
            cut = StopCut('s', 'n1', 17.6, after_s)
            self.assertEqual(len(self.find(call, cuts=(cut,))), count)

    def test_run_without_stops_proves_nothing(self):
        self.assertFalse(check_stops(History(), Bounds()).proved)


class FurtherSignalsTest(unittest.TestCase):
    """The seed decides the signals that follow the first one."""

    def test_signals_of_all_kinds_come_in_series(self):
        series = [
            draw_signals(seed, fault)
            for seed in range(1001, 1051)
            for fault in draw_plan(seed, 36.0)
            if fault.kind is FaultKind.STOP
        ]
        self.assertEqual(
            {kind for found in series for _, kind in found}, set(FURTHER_SIGNALS)
        )
        self.assertIn(signal.SIGTERM, FURTHER_SIGNALS)
        self.assertTrue(any(not found for found in series))
        self.assertTrue(any(len(found) > 2 for found in series))
        fault = next(f for f in draw_plan(7, 60.0) if f.kind is FaultKind.STOP)
        self.assertEqual(draw_signals(7, fault), draw_signals(7, fault))


if __name__ == '__main__':
    unittest.main()
