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
    check_silence_refusals,
    check_silences,
    check_told_leaving,
)
from soak.history import (
    Acknowledged,
    Broken,
    Cut,
    Disturbed,
    Ended,
    Ending,
    Flood,
    Gone,
    History,
    Left,
    Sent,
    Silence,
)
from tests.soak.builders import build_call, build_run, build_silent_history

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
        denied = self.build_cut(Ending.DENIED)
        self.assertEqual(check_cut_off(denied, BOUNDS).looked_at, 0)

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

    # Guards against cuts that are taken for longer than they last, or for shorter.
    def test_cut_that_takes_a_while_to_come_and_to_go(self):
        cut = Cut(frozenset({'n1'}), 10.0, 20.0, in_force_at=13.0)
        late = replace(self.build_cut(Ending.NOT_RUN), cuts=(cut,))
        self.assertEqual(check_cut_off(late, BOUNDS).looked_at, 0)
        call, run = build_call(sent_at=10.1, node='n'), build_run(arrived_at=12.6)
        left = (Left('i', 10.0),)
        cut = Cut(frozenset({'n'}), 9.0, 13.0, lifted_at=12.5)
        history = History((call,), (run,), left, cuts=(cut,))
        self.assertEqual(check_leaving(history, BOUNDS).findings, ())

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
        # Calls that the configuration denies bring no second sends.
        denied = tuple(
            build_call(f'd{n}', n * 0.01, Ending.DENIED, status=404)
            for n in range(1000)
        )
        many = build(most + 1)
        history = replace(many, calls=(*many.calls, *denied))
        self.assert_fires(check_second_sends, history, 'pool')

    def assert_looks_at_nothing(self, checker, history):
        verdict = checker(history, BOUNDS)
        self.assertEqual((verdict.looked_at, verdict.findings), (0, ()))

    # Guards against calls that end without an answer as their instances stand still.
    def test_call_that_ends_because_its_instance_stands_still(self):
        kinds = (
            {},
            {'repeatable': False},
            {'service': 'api', 'expected': 0},
            {'service': 'api', 'expected': 0, 'repeatable': False},
        )
        for fields in kinds:
            for ending, status in ((Ending.CUT, 200), (Ending.UNKNOWN, 502)):
                with self.subTest(ending=ending, **fields):
                    call = build_call(ending=ending, status=status, **fields)
                    history = build_silent_history(call)
                    self.assert_fires(check_silences, history, 'c')
            whole = build_silent_history(build_call(**fields))
            self.assert_proves(check_silences, whole)

    def test_call_that_ends_in_a_silence_without_having_run(self):
        call = build_call(ending=Ending.UNKNOWN, status=502)
        history = build_silent_history(call, runs=())
        self.assert_fires(check_silences, history, 'c')
        self.assertEqual(check_silences(history, BOUNDS).looked_at, 1)

    def test_call_refused_in_a_silence_is_no_broken_answer(self):
        call = build_call(ending=Ending.NOT_RUN, status=503)
        self.assert_looks_at_nothing(check_silences, build_silent_history(call))

    def test_call_that_outlasts_its_deadline_after_a_short_silence(self):
        call = build_call(ending=Ending.UNKNOWN, status=504, ended_at=18.0)
        self.assert_fires(check_silences, build_silent_history(call), 'c')

    # Guards against a promise that counts as proved by calls that met no silence.
    def test_call_that_met_no_silence_proves_nothing(self):
        call = build_call()
        elsewhere = build_silent_history(call, silent='j')
        self.assert_looks_at_nothing(check_silences, elsewhere)
        before = build_silent_history(build_call(sent_at=9.0, ended_at=10.1))
        self.assert_looks_at_nothing(check_silences, before)
        other = replace(before, silences=(Silence('api', frozenset('i'), 9.0, 9.9),))
        self.assert_looks_at_nothing(check_silences, other)

    # Guards against failures that another fault explains.
    def test_call_in_a_silence_beside_another_fault_proves_nothing(self):
        beside = (
            {'disturbed': (Disturbed('n', 8.0, 9.0),)},
            {'cuts': (Cut(frozenset('n'), 8.0, 9.0),)},
            {'gone': (Gone('j', 'pool', 10.5),)},
            {'broken': (Broken(frozenset('i'), 9.0, 10.5),)},
            {'floods': (Flood('pool', frozenset('i'), 9.0, 10.5),)},
        )
        for ending in (Ending.CUT, Ending.WHOLE):
            call = build_call(ending=ending, node='n')
            for fields in beside:
                with self.subTest(ending=ending, fault=list(fields)):
                    history = build_silent_history(call, **fields)
                    self.assert_looks_at_nothing(check_silences, history)
            ends_instances = build_silent_history(replace(call, part='bad'))
            self.assert_looks_at_nothing(check_silences, ends_instances)

    def test_call_sent_to_a_flooding_instance_in_a_silence_proves_nothing(self):
        call = build_call(ending=Ending.CUT)
        floods = (Flood('pool', frozenset('f'), 9.0, 10.5),)
        for sent in ((Sent('c', 'f'),), (Sent('c', 'i'),)):
            history = build_silent_history(call, floods=floods, sent=sent)
            if sent[0].instance == 'f':
                self.assert_looks_at_nothing(check_silences, history)
            else:
                self.assert_fires(check_silences, history, 'c')

    def test_call_in_a_silence_beside_a_fault_of_others_fires(self):
        beside = (
            {'disturbed': (Disturbed('m', 10.0, 11.0), Disturbed('', 10.0, 11.0))},
            {'cuts': (Cut(frozenset('m'), 10.0, 11.0),)},
            {'gone': (Gone('j', 'api', 10.5),)},
            {'broken': (Broken(frozenset('j'), 9.0, 10.5),)},
            {'floods': (Flood('pool', frozenset('j'), 9.0, 10.5),)},
            {'floods': (Flood('pool', frozenset('i'), 9.0, 9.9),)},
            {'floods': (Flood('pool', frozenset('i'), 9.0, 10.5, True),)},
        )
        for fields in beside:
            with self.subTest(fault=list(fields)):
                call = build_call(ending=Ending.CUT, node='n')
                history = build_silent_history(call, **fields)
                self.assert_fires(check_silences, history, 'c')

    def test_call_whose_deadline_passes_in_silences_proves_nothing(self):
        call = build_call(ending=Ending.UNKNOWN, status=504, ended_at=18.0)
        times = ((10.2, 12.5), (12.0, 14.5), (14.6, 17.0))
        silences = tuple(Silence('pool', frozenset('i'), *time) for time in times)
        history = build_silent_history(call, silences=silences)
        self.assert_looks_at_nothing(check_silences, history)
        for fewer in (silences[:2], silences[:1] * 4):
            history = build_silent_history(call, silences=fewer)
            self.assert_fires(check_silences, history, 'c')

    # Guards against calls that count although the time-out of their route left no time.
    def test_call_whose_route_has_a_shorter_time_out_than_its_deadline(self):
        call = build_call(ending=Ending.UNKNOWN, status=504, ended_at=13.0)
        versions = (
            Acknowledged(1, 0.0, timeout_s=12.0),
            Acknowledged(2, 5.5, sent_at=5.4, timeout_s=2.5),
            Acknowledged(3, 7.0, sent_at=6.9, timeout_s=12.0),
        )
        history = build_silent_history(call, configurations=versions)
        self.assert_looks_at_nothing(check_silences, history)
        for fewer in (versions[:1], versions[::2]):
            history = build_silent_history(call, configurations=fewer)
            self.assert_fires(check_silences, history, 'c')
        # In force at no node for long before the call.
        earlier = (versions[0], replace(versions[1], acknowledged_at=1.0), versions[2])
        earlier = (*earlier[:2], replace(versions[2], acknowledged_at=4.5))
        history = build_silent_history(call, configurations=earlier)
        self.assert_fires(check_silences, history, 'c')

    def test_call_that_the_configuration_denies_is_no_broken_answer(self):
        call = build_call(ending=Ending.DENIED, status=404)
        self.assert_looks_at_nothing(check_silences, build_silent_history(call))

    def build_refusals(self, refused, sent_at=10.5, **fields):
        """Return a history of a hundred calls near a silence, some of them refused."""
        calls = tuple(
            build_call(
                f'c{number}',
                sent_at,
                Ending.NOT_RUN if number < refused else Ending.WHOLE,
                node='n',
            )
            for number in range(100)
        )
        silences = (Silence('pool', frozenset('i'), 10.2, 11.2),)
        return History(calls, silences=silences, **fields)

    # Guards against refusals because of silences that tell of no instance.
    def test_many_calls_refused_in_a_silence_or_shortly_after(self):
        most = int(100 * BOUNDS.silent_refused_share) + BOUNDS.silent_refusals
        for sent_at in (10.5, 13.0):
            many = self.build_refusals(most + 1, sent_at)
            self.assert_fires(check_silence_refusals, many, 'pool')
            few = self.build_refusals(most, sent_at)
            self.assert_proves(check_silence_refusals, few)
        late = self.build_refusals(most + 1, 11.3 + BOUNDS.contact_s)
        self.assert_looks_at_nothing(check_silence_refusals, late)

    def test_refusals_in_a_silence_beside_another_fault_prove_nothing(self):
        asked = build_run('c0', executed=False, backoff_s=3.0)
        beside = (
            {'runs': (asked,)},
            {'disturbed': (Disturbed('n', 8.0, 9.0),)},
            {'disturbed': (Disturbed('', 8.0, 9.0),)},
            {'cuts': (Cut(frozenset('n'), 8.0, 9.0),)},
            {'gone': (Gone('j', 'pool', 8.0),)},
        )
        for fields in beside:
            with self.subTest(fault=list(fields)):
                history = self.build_refusals(100, **fields)
                self.assert_looks_at_nothing(check_silence_refusals, history)

    # Guards against arrivals that count as late as they are noted after a silence.
    def test_arrival_that_a_silence_held_up_may_be_late(self):
        left = (Left('i', 10.0),)
        call, run = build_call(sent_at=10.1, node='n'), build_run(arrived_at=12.6)
        for instance in 'ij':
            silence = Silence('pool', frozenset(instance), 10.2, 12.6)
            history = History((call,), (run,), left, silences=(silence,))
            if instance == 'j':
                self.assert_fires(check_leaving, history, 'c')
            else:
                self.assertEqual(check_leaving(history, BOUNDS).findings, ())

    def test_arrivals_in_a_backoff_that_a_silence_held_up(self):
        times = (10.0, 10.2, 10.3, 10.4)
        calls = tuple(build_call(f'c{n}', at, node='n1') for n, at in enumerate(times))
        asked = build_run('c0', arrived_at=10.0, executed=False, backoff_s=3.0)
        later = [build_run(call.id, arrived_at=12.0) for call in calls[1:]]
        history = History(calls, (asked, *later))
        self.assert_fires(check_backoffs, history, 'i')
        silences = (Silence('pool', frozenset('i'), 10.1, 11.9),)
        self.assert_proves(check_backoffs, replace(history, silences=silences))

    def test_checker_that_saw_nothing_proves_nothing(self):
        verdicts = check_all(History(), BOUNDS)
        self.assertEqual(len(verdicts), len(CHECKERS))
        self.assertFalse(any(verdict.proved for verdict in verdicts))


if __name__ == '__main__':
    unittest.main()
