"""Promises that hold however the events of several runs of a request are ordered."""

from __future__ import annotations

import itertools
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from coursepitch.gateway.reply_times import (
    MAX_FIRST_QUIET_S,
    MAX_OVERDUE_S,
    MAX_QUIET_S,
)
from coursepitch.gateway.watchdog import RECHECK_TIMEOUT_S
from tests.gateway.simulated_runs import (
    CLEAR_S,
    DECLINED_STATUS,
    FAILED_STATUS,
    LAST_EVENT,
    SILENT_PROBE_S,
    STEP_S,
    Case,
    Fate,
    Script,
    Seen,
    Simulation,
)

#: Times of changes: before the head, between head and first event, between events, and
#: around the limits from which a run is suspected or overdue.
TIMES = st.sampled_from(
    [0.0, 0.03, 0.07, 0.105, 0.2, 0.35, 0.46, 0.7, 0.72, 0.9, 1.02, 1.3, 2.0]
)

#: Lengths of silences, from unnoticed ones to one for good.
SILENCES = st.sampled_from([0.1, 0.3, 0.45, 0.7, 1.0, 1.2, 1.5, 2.5, math.inf])

SILENT_SCRIPTS = st.builds(
    Script,
    fate=st.sampled_from(
        [Fate.SERVES, Fate.SERVES, Fate.SERVES, Fate.BREAKS_OFF, Fate.ENDS_INSIDE]
    ),
    after=st.integers(0, LAST_EVENT),
    silent_at=TIMES,
    silent_s=SILENCES,
    seen=st.sampled_from([Seen.PROBED, *Seen]),
    gone_at=st.just(math.inf) | st.just(math.inf) | TIMES,
    resets=st.booleans(),
    connect_s=st.sampled_from([0.0, 0.0, 0.03, 0.6]),
)

SCRIPTS = SILENT_SCRIPTS | st.builds(
    Script,
    fate=st.sampled_from([*Fate, Fate.SERVES, Fate.SERVES]),
    after=st.integers(0, LAST_EVENT),
    silent_at=st.just(math.inf) | TIMES,
    silent_s=SILENCES,
    seen=st.sampled_from([Seen.PROBED, *Seen]),
    gone_at=st.just(math.inf) | st.just(math.inf) | TIMES,
    resets=st.booleans(),
    connect_s=st.sampled_from([0.0, 0.0, 0.03, 0.6]),
    full_until=st.sampled_from([0.0, 0.0, 0.0, 0.1, 1.0, 9.0]),
)

CASES = st.builds(
    lambda first, others, **fields: Case((first, *others), **fields),
    SILENT_SCRIPTS | SCRIPTS,
    st.lists(SCRIPTS, max_size=3),
    attempts=st.sampled_from([2, 3]),
    resumable=st.sampled_from([True, True, True, False]),
    last_event=st.sampled_from([0, 0, 2]),
    timeout_s=st.sampled_from([6.0, 6.0, 1.0]),
    leaves_at=st.just(math.inf) | st.just(math.inf) | TIMES,
    grants=st.sampled_from([9, 9, 9, 1, 0]),
    granted_at=st.just(0.0) | TIMES,
    settled_at=st.just(0.0) | TIMES,
    check_s=st.sampled_from([0.0, 0.05]),
    seed=st.integers(0, 3),
)


def build_known_again(silent_at, known_at):
    """Return an instance that other nodes report, and tell to answer at a time."""
    silent_s = known_at - silent_at - CLEAR_S
    return Script(silent_at=silent_at, silent_s=silent_s, seen=Seen.REPORTED)


class ScheduleTest(unittest.TestCase):
    """No order of events breaks a promise to the client or leaves something held."""

    def check(self, case):
        simulation = Simulation(case).play()
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
            Script(silent_at=0.2, silent_s=1.0, seen=Seen.REPORTED),
            Script(silent_at=0.2, silent_s=2.0, gone_at=1.1),
            Script(gone_at=0.2, resets=False),
            Script(Fate.BREAKS_OFF, after=2),
            Script(Fate.FAILS),
            Script(Fate.REJECTS),
        )
        for attempts, resumable in ((2, True), (3, True), (2, False)):
            for scripts in itertools.product(kinds, repeat=2 if attempts == 2 else 3):
                self.check(Case(scripts, attempts, resumable))

    # Guards against tasks that each request pays for and few need: four, with a stream
    # between them, took a tenth of a node's processor time.
    def test_request_has_no_more_tasks_until_its_run_is_silent(self):
        simulation = self.check(Case((Script(), Script())))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual(simulation.most_tasks, 0)

    # Guards against a run that counts as overdue as the node itself stood still.
    def test_pause_of_the_node_is_no_time_without_progress(self):
        silent = Script(silent_at=0.0, silent_s=1.7, seen=Seen.OVERDUE)
        for paused_at, paused_s in ((0.3, 0.8), (0.7, 0.5)):
            with self.subTest(paused_at=paused_at):
                scripts = (silent, Script())
                case = Case(scripts, paused_at=paused_at, paused_s=paused_s)
                simulation = self.check(case)
                self.assertTrue(simulation.reply.whole)
                self.assertEqual([send.name for send in simulation.sends], ['h0'])

    # Guards against streams that wait for an instance that has failed in silence.
    def test_run_that_is_silent_for_good_is_tried_elsewhere_soon(self):
        limits = {0.03: MAX_FIRST_QUIET_S, 0.2: MAX_QUIET_S}
        for silent_at, limit_s in limits.items():
            silent = Script(silent_at=silent_at, silent_s=math.inf)
            simulation = self.check(Case((silent, Script())))
            self.assertTrue(simulation.reply.whole)
            first, second = simulation.sends
            took_s = second.began_at - first.began_at - silent_at
            self.assertLess(took_s, limit_s + SILENT_PROBE_S + STEP_S)

    # Guards against an instance that has gone and still counts to the limit.
    def test_run_at_an_instance_that_vanished_does_not_count(self):
        vanished = Script(gone_at=0.2, resets=False)
        breaking = Script(Fate.BREAKS_OFF, after=0)
        simulation = self.check(Case((vanished, breaking, Script(full_until=1.0))))
        self.assertTrue(simulation.reply.whole)
        names = {send.name for send in simulation.sends}
        self.assertEqual(names, {'h0', 'h1', 'h2'})

    # Guards against a run that is spent on a group which may be silent as well.
    def test_no_other_run_begins_at_a_suspected_group(self):
        silent = Script(silent_at=0.2, silent_s=1.2)
        reported = Script(silent_at=0.1, silent_s=3.0, seen=Seen.REPORTED)
        simulation = self.check(Case((silent, reported)))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual([send.name for send in simulation.sends], ['h0'])

    # Guards against a part of an event that is joined with the next run's.
    def test_silence_inside_an_event_doubles_nothing(self):
        silent = Script(silent_at=0.165, silent_s=1.2)
        for scripts in ((silent, Script()), (silent, Script(full_until=9.0))):
            self.assertTrue(self.check(Case(scripts)).reply.whole)

    # Guards against an error that is forwarded although a silent run would go on.
    def test_error_of_another_run_does_not_end_a_silent_one(self):
        scripts = (Script(silent_at=0.07, silent_s=1.2), Script(Fate.FAILS))
        simulation = self.check(Case(scripts))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual([send.name for send in simulation.sends], ['h0', 'h1'])

    # Guards against a final answer that is dropped to wait for a silent run.
    def test_final_answer_of_another_run_is_forwarded_at_once(self):
        for silent_at in (0.03, 0.07):
            with self.subTest(silent_at=silent_at):
                silent = Script(silent_at=silent_at, silent_s=2.0)
                simulation = self.check(Case((silent, Script(Fate.DECLINES))))
                self.assertEqual(simulation.reply.status, DECLINED_STATUS)
                self.assertIsNone(simulation.refusal)
                self.assertLess(simulation.ended_s, 1.0)

    # Guards against a stream that is cut off by an answer that cannot be forwarded.
    def test_final_answer_of_another_run_does_not_end_a_stream_that_has_begun(self):
        silent = Script(silent_at=0.2, silent_s=1.2)
        simulation = self.check(Case((silent, Script(Fate.DECLINES))))
        self.assertTrue(simulation.reply.whole)

    # Guards against an error of the node in place of the one that an instance gave.
    def test_error_of_an_instance_is_forwarded_if_all_runs_fail(self):
        breaking = Script(Fate.BREAKS_OFF, after=0, silent_at=0.03, silent_s=1.2)
        lasting = Script(silent_at=0.03, silent_s=math.inf)
        failing = Script(Fate.FAILS)
        for scripts in (
            (breaking, failing),
            (failing, Script(Fate.BREAKS_OFF, after=0)),
            # No run of the first ends before the deadline.
            (lasting, failing),
        ):
            simulation = self.check(Case(scripts))
            self.assertEqual(simulation.reply.status, FAILED_STATUS, scripts)

    # Guards against a status that denies a run that may have taken place.
    def test_status_that_claims_no_run_is_not_forwarded_if_all_runs_fail(self):
        breaking = Script(Fate.BREAKS_OFF, after=0, silent_at=0.03, silent_s=1.2)
        simulation = self.check(Case((breaking, Script(Fate.CLAIMS))))
        self.assertEqual(simulation.refusal.status, 502)

    # Guards against a second run at the instance that holds the first.
    def test_overdue_run_is_tried_at_another_head(self):
        silent = Script(silent_at=0.07, silent_s=1.5, seen=Seen.OVERDUE)
        simulation = self.check(Case((silent, Script())))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual([send.name for send in simulation.sends], ['h0', 'h1'])

    # Guards against a retry that is spent just as all groups answer again.
    def test_no_other_run_begins_once_the_group_of_a_silent_run_answers(self):
        for silent_at in (0.03, 0.2):
            with self.subTest(silent_at=silent_at):
                silent = Script(silent_at=silent_at, silent_s=1.0)
                # Known to answer just after the first, and before its next event.
                known_at = silent_at + 1.0 + STEP_S / 4
                simulation = self.check(
                    Case((silent, build_known_again(silent_at, known_at)))
                )
                self.assertTrue(simulation.reply.whole)
                self.assertEqual([send.name for send in simulation.sends], ['h0'])
                self.assertEqual(simulation.budget.granted, 0)

    # Guards against streams that wait for a run that was lost in a silence, at a group
    # that answers again.
    def test_run_that_does_not_go_on_with_its_group_is_tried_elsewhere(self):
        lost = Script(silent_at=0.2, silent_s=math.inf, seen=Seen.REPORTED)
        simulation = self.check(Case((lost, build_known_again(0.2, 1.2))))
        self.assertTrue(simulation.reply.whole)
        first, second = simulation.sends
        took_s = second.began_at - first.began_at
        self.assertLess(took_s, 1.2 + MAX_OVERDUE_S + 2 * STEP_S)

    # Guards against streams that wait for a check of a group that is silent for good.
    def test_other_run_begins_soon_where_the_group_is_silent_still(self):
        silent = Script(silent_at=0.2, silent_s=math.inf)
        simulation = self.check(Case((silent, build_known_again(0.2, 1.2))))
        self.assertTrue(simulation.reply.whole)
        first, second = simulation.sends
        took_s = second.began_at - first.began_at
        self.assertLess(took_s, 1.2 + RECHECK_TIMEOUT_S + STEP_S)

    # Guards against permits of rate-limited instances that are used up by no run.
    def test_stalled_request_without_a_retry_asks_once(self):
        scripts = (Script(silent_at=0.2, silent_s=3.0), Script())
        simulation = self.check(Case(scripts, grants=0))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual(simulation.budget.denied, 1)
        self.assertEqual(simulation.permits.taken, 2)

    # Guards against a request that is stalled for good once a retry was denied.
    def test_other_run_begins_once_the_budget_has_a_retry(self):
        scripts = (Script(silent_at=0.2, silent_s=math.inf), Script())
        simulation = self.check(Case(scripts, granted_at=1.5))
        self.assertTrue(simulation.reply.whole)
        self.assertEqual(simulation.budget.granted, 1)
        self.assertLess(
            simulation.sends[1].began_at - simulation.sends[0].began_at, 1.7
        )


if __name__ == '__main__':
    unittest.main()
