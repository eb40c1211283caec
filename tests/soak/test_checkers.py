"""Each checker fires on a history that breaks its promise, and on no other."""

from __future__ import annotations

import unittest
from dataclasses import replace

from soak.checkers import (
    CHECKERS,
    Bounds,
    check_all,
    check_backoffs,
    check_crashing_parts,
    check_cut_off,
    check_events,
    check_keys,
    check_leaving,
    check_own_answers,
    check_refusals,
    check_runs_once,
    check_second_sends,
    check_told_leaving,
)
from soak.history import Acknowledged, Cut, Disturbed, Ended, Ending, History, Left
from tests.soak.builders import build_call, build_run

BOUNDS = Bounds()


class CheckerTest(unittest.TestCase):
    """One history for each way in which a promise can break."""

    def assert_fires(self, checker, history, subject):
        verdict = checker(history, BOUNDS)
        self.assertEqual([item.subject for item in verdict.findings], [subject])
        self.assertFalse(verdict.proved)

    def assert_proves(self, checker, history):
        verdict = checker(history, BOUNDS)
        self.assertEqual(verdict.findings, ())
        self.assertTrue(verdict.proved)

    def test_answer_to_another_call(self):
        wrong = build_call('c', answered_for='d')
        self.assert_fires(check_own_answers, History((wrong,)), 'c')
        self.assert_proves(check_own_answers, History((build_call(),)))

    def test_part_that_ends_instances_and_is_sent_on(self):
        def build(late, **fields):
            calls = tuple(
                build_call(f'c{number}', 10.0 + number, part='bad', node='n')
                for number in range(5 + late)
            )
            runs = tuple(
                build_run(call.id, f'i{number}', call.sent_at)
                for number, call in enumerate(calls)
            )
            ends = tuple(
                Ended(f'i{number}', f'c{number}', 8.0 + number / 10)
                for number in range(5)
            )
            return History(calls, runs, ends=ends, **fields)

        self.assert_fires(check_crashing_parts, build(4), 'bad')
        in_trouble = (Disturbed('n', 9.0, 30.0),)
        self.assert_proves(check_crashing_parts, build(4, disturbed=in_trouble))
        self.assert_proves(check_crashing_parts, build(0))
        few = build(4)
        self.assert_proves(check_crashing_parts, replace(few, ends=few.ends[:4]))

    def test_events_missing_doubled_or_left_out_at_the_end(self):
        for events in ((1, 3), (1, 1, 2, 3), (2, 1, 3), (1, 2)):
            wrong = build_call(events=events)
            self.assert_fires(check_events, History((wrong,)), 'c')

    def test_answer_without_events_that_lacks_its_end(self):
        fields = {'service': 'api', 'events': (), 'expected': 0, 'short': True}
        self.assert_fires(check_events, History((build_call(**fields),)), 'c')
        cut = build_call(ending=Ending.CUT, **fields)
        self.assert_proves(check_events, History((cut, build_call())))

    def test_answer_that_was_cut_may_lack_its_end(self):
        cut = build_call(ending=Ending.CUT, events=(1, 2))
        self.assert_proves(check_events, History((cut,)))

    def build_cut(self, ending, disturbed=()):
        """Return a history of a cut at one node of two, whose calls end like that."""
        calls = [
            build_call(
                f'{node}{number}',
                14.0 + number / 10,
                ending if node == 'n1' else Ending.WHOLE,
                ended_at=14.1 + number / 10,
                node=node,
            )
            for node in ('n1', 'n2')
            for number in range(20)
        ]
        cuts = (Cut(frozenset({'n1'}), 10.0, 20.0),)
        return History(tuple(calls), disturbed=disturbed, cuts=cuts)

    def test_calls_refused_at_a_node_that_is_cut_off(self):
        for ending in (Ending.NOT_RUN, Ending.UNKNOWN, Ending.CUT):
            self.assert_fires(check_cut_off, self.build_cut(ending), 'n1')
        self.assert_proves(check_cut_off, self.build_cut(Ending.WHOLE))

    def test_cut_beside_another_fault_proves_nothing(self):
        for node in ('n1', ''):
            disturbed = (Disturbed(node, 12.0, 13.0),)
            history = self.build_cut(Ending.NOT_RUN, disturbed)
            self.assertEqual(check_cut_off(history, BOUNDS).looked_at, 0)

    def test_calls_count_only_while_some_node_has_paths(self):
        history = self.build_cut(Ending.NOT_RUN)
        later = tuple(
            replace(call, sent_at=call.sent_at + 1.0, ended_at=call.ended_at + 1.0)
            if call.node == 'n1'
            else call
            for call in history.calls
        )
        for since, subjects in ((14.95, []), (17.5, ['n1'])):
            second = Cut(frozenset({'n2'}), since, 21.0)
            beside = replace(history, calls=later, cuts=(*history.cuts, second))
            findings = check_cut_off(beside, BOUNDS).findings
            self.assertEqual([item.subject for item in findings], subjects)

    def test_second_run_of_what_runs_once(self):
        call = build_call(repeatable=False)
        runs = (build_run(), build_run(instance='j', arrived_at=10.5))
        self.assert_fires(check_runs_once, History((call,), runs), 'c')
        rejected = (build_run(executed=False), runs[1])
        self.assert_proves(check_runs_once, History((call,), rejected))

    def test_run_of_a_call_that_was_told_not_run(self):
        call = build_call(ending=Ending.NOT_RUN)
        late = build_run(arrived_at=14.0)
        self.assert_fires(check_refusals, History((call,), (late,)), 'c')
        rejected = build_run(executed=False)
        self.assert_proves(check_refusals, History((call,), (rejected,)))

    def test_arrival_at_an_instance_that_left(self):
        left = (Left('i', 10.0),)
        late = build_run(arrived_at=10.1 + BOUNDS.drain_s)
        self.assert_fires(check_leaving, History((), (late,), left), 'c')
        soon = build_run(arrived_at=9.9 + BOUNDS.drain_s)
        self.assert_proves(check_leaving, History((), (soon,), left))

    def test_arrival_at_an_instance_that_left_while_the_store_was_away(self):
        late = build_run(arrived_at=10.1 + BOUNDS.drain_s)
        away = (Disturbed('', 9.0, 11.0),)
        history = History((), (late,), (Left('i', 10.0),), (), away)
        self.assert_proves(check_leaving, history)

    def test_arrival_that_a_cut_path_held_up_may_be_late(self):
        left = (Left('i', 10.0),)
        call, run = build_call(sent_at=10.1, node='n'), build_run(arrived_at=12.6)
        for until in (10.05, 12.59):
            cut = Cut(frozenset({'n'}), 9.0, until)
            history = History((call,), (run,), left, cuts=(cut,))
            if until < call.sent_at:
                self.assert_fires(check_leaving, history, 'c')
            else:
                self.assertEqual(check_leaving(history, BOUNDS).findings, ())

    def test_arrivals_in_a_backoff(self):
        times = (10.0, 10.4, 11.0, 12.0, 12.9)
        calls = tuple(build_call(f'c{n}', at, node='n1') for n, at in enumerate(times))
        asked = build_run('c0', arrived_at=10.0, executed=False, backoff_s=3.0)
        later = [build_run(call.id, arrived_at=call.sent_at) for call in calls[1:]]
        history = History(calls, (asked, *later))
        self.assert_fires(check_backoffs, history, 'i')
        self.assert_proves(check_backoffs, History(calls, (asked, *later[:-1])))
        stopped = (Disturbed('n1', 9.0, 10.1),)
        verdict = check_backoffs(
            History(calls, (asked, *later), disturbed=stopped), BOUNDS
        )
        self.assertEqual((verdict.looked_at, verdict.findings), (0, ()))
        other = tuple(
            build_call(call.id, call.sent_at, node='n2') for call in calls[1:]
        )
        self.assert_proves(check_backoffs, History((calls[0], *other), (asked, *later)))

    def test_backoff_that_is_asked_for_on_a_path_that_was_cut_may_reach_no_node(self):
        times = (7.0, 11.0, 12.0, 12.9)
        calls = tuple(build_call(f'c{n}', at, node='n1') for n, at in enumerate(times))
        asked = build_run('c0', arrived_at=10.0, executed=False, backoff_s=3.0)
        later = [build_run(call.id, arrived_at=call.sent_at) for call in calls[1:]]
        held_up = (Cut(frozenset({'n3'}), 6.0, 9.9),)
        history = History(calls, (asked, *later), cuts=held_up)
        self.assertEqual(check_backoffs(history, BOUNDS).looked_at, 0)
        before = (Cut(frozenset({'n3'}), 6.0, 6.9),)
        history = History(calls, (asked, *later), cuts=before)
        self.assert_fires(check_backoffs, history, 'i')

    def test_call_that_is_sent_to_an_instance_long_after_it_said_that_it_leaves(self):
        first = build_call('c', 10.0, node='n1')
        soon = build_call('d', 10.9 + BOUNDS.drain_s, node='n1')
        late = build_call('e', 11.1 + BOUNDS.drain_s, node='n1')
        runs = [
            build_run(call.id, arrived_at=call.sent_at, told_leaving=True)
            for call in (first, soon, late)
        ]
        calls = (first, soon, late)
        self.assert_fires(check_told_leaving, History(calls, tuple(runs)), 'i')
        self.assert_proves(check_told_leaving, History(calls, tuple(runs[:2])))
        # A run that arrives long after its call was answered elsewhere told nobody.
        delayed = build_run('c', arrived_at=20.0, told_leaving=True)
        history = History(calls, (delayed, build_run('e', arrived_at=late.sent_at)))
        self.assertEqual(check_told_leaving(history, BOUNDS).looked_at, 0)
        started = (Disturbed('n1', 11.5, 12.0),)
        history = History(calls, tuple(runs), disturbed=started)
        self.assert_proves(check_told_leaving, history)

    def test_run_with_a_key_that_was_taken_away(self):
        changes = (
            Acknowledged(1, 0.0, frozenset({'k', 'l'})),
            Acknowledged(2, 10.0, frozenset({'l'})),
        )
        late = build_call(sent_at=10.1 + BOUNDS.revoke_s)
        run = build_run(arrived_at=late.sent_at)
        history = History((late,), (run,), (), changes)
        self.assert_fires(check_keys, history, 'c')
        again = (*changes, Acknowledged(3, 12.0, frozenset({'k', 'l'})))
        verdict = check_keys(History((late,), (run,), (), again), BOUNDS)
        self.assertEqual((verdict.looked_at, verdict.findings), (0, ()))

    def test_second_sends_beyond_the_budget_of_a_window(self):
        """Each life of a node spent its part anew: 447 second sends, 391 allowed."""
        calls = tuple(build_call(f'c{n}', sent_at=n * 0.01) for n in range(1000))
        most = int(BOUNDS.retry_ratio * len(calls)) + BOUNDS.retry_extra

        def build(count):
            first = [build_run(call.id, 'i', call.sent_at) for call in calls]
            second = [
                build_run(call.id, 'j', call.sent_at + 0.001) for call in calls[:count]
            ]
            return History(calls, (*first, *second))

        self.assert_fires(check_second_sends, build(most + 1), 'pool')
        self.assert_proves(check_second_sends, build(most - 1))

    def test_checker_that_saw_nothing_proves_nothing(self):
        verdicts = check_all(History(), BOUNDS)
        self.assertEqual(len(verdicts), len(CHECKERS))
        self.assertFalse(any(verdict.proved for verdict in verdicts))


if __name__ == '__main__':
    unittest.main()
