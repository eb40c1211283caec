"""Promises of streams of plain services, however the events of several runs come."""

from __future__ import annotations

import itertools
import math
import unittest

from hypothesis import given, settings

from tests.gateway.simulated_calls import PlainStreamSimulation
from tests.gateway.simulated_runs import Case, Fate, Script, Seen
from tests.gateway.test_run_schedules import CASES


class PlainScheduleTest(unittest.TestCase):
    """No order of events breaks a promise to the client or leaves something held."""

    def check(self, case):
        simulation = PlainStreamSimulation(case).play()
        self.assertEqual(simulation.faults, [], case)
        return simulation

    @settings(max_examples=500)
    @given(CASES)
    def test_drawn_schedules(self, case):
        self.check(case)

    def test_all_orders_of_two_and_three_runs(self):
        kinds = (
            Script(),
            Script(silent_at=0.0, silent_s=0.9),
            Script(silent_at=0.2, silent_s=1.2),
            Script(silent_at=0.2, silent_s=math.inf),
            Script(silent_at=0.05, silent_s=1.3, seen=Seen.OVERDUE),
            Script(silent_at=0.2, silent_s=2.0, gone_at=1.1),
            Script(gone_at=0.2, resets=False),
            Script(Fate.BREAKS_OFF, after=2),
            Script(Fate.FAILS),
            Script(Fate.REJECTS),
        )
        for attempts, resumable in ((2, True), (3, True), (2, False)):
            for scripts in itertools.product(kinds, repeat=attempts):
                self.check(Case(scripts, attempts, resumable))

    # Guards against a stream that waits for an instance that is silent for good.
    def test_stream_goes_on_at_another_instance_if_one_falls_silent(self):
        silent = Script(silent_at=0.2, silent_s=math.inf)
        simulation = self.check(Case((silent, Script())))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual([send.name for send in simulation.sends], ['p0', 'p1'])

    def test_stream_goes_on_where_it_was_once_its_instance_answers_again(self):
        silent = Script(silent_at=0.2, silent_s=1.5)
        simulation = self.check(Case((silent, silent)))
        self.assertTrue(simulation.reply.whole)

    def test_stream_that_breaks_off_goes_on_after_its_last_event(self):
        broken = Script(Fate.BREAKS_OFF, after=2)
        simulation = self.check(Case((broken, Script())))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual(len(simulation.sends), 2)

    def test_stream_that_may_not_be_resumed_runs_once(self):
        broken = Script(Fate.BREAKS_OFF, after=2)
        simulation = self.check(Case((broken, Script()), resumable=False))
        self.assertFalse(simulation.reply.whole)
        self.assertEqual(len(simulation.sends), 1)
