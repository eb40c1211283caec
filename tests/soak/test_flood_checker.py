"""The promise about bytes without end fires once it is broken, and not before."""

from __future__ import annotations

import unittest
from dataclasses import replace

from soak.checkers import Bounds, check_floods
from soak.history import (
    Acknowledged,
    Cut,
    Disturbed,
    Ending,
    Flood,
    Gone,
    History,
    Sent,
    Silence,
)
from tests.soak.builders import build_call, build_run

FLOOD = Flood('pool', frozenset('f'), 9.0, 12.0)


class FloodCheckerTest(unittest.TestCase):
    """Calls beside an instance that sends without end."""

    def check(self, call, *instances, **fields):
        """Return the verdict on a call that ran at some instances."""
        runs = tuple(build_run(call.id, name, call.sent_at + 0.1) for name in instances)
        values = {'runs': runs, 'floods': (FLOOD,), **fields}
        return check_floods(History((call,), **values), Bounds())

    def test_call_at_sound_instances_that_is_answered_or_refused_keeps_it(self):
        for ending in (Ending.WHOLE, Ending.NOT_RUN):
            self.assertTrue(self.check(build_call(ending=ending), 'i').proved)

    def test_call_at_sound_instances_without_an_answer_breaks_it(self):
        for ending in (Ending.CUT, Ending.UNKNOWN):
            with self.subTest(ending):
                verdict = self.check(build_call(ending=ending), 'i')
                self.assertEqual(len(verdict.findings), 1)

    def test_call_that_was_never_sent_on_breaks_it(self):
        verdict = self.check(build_call(ending=Ending.CUT))
        self.assertEqual(len(verdict.findings), 1)

    def test_call_that_goes_on_after_its_limit_breaks_it(self):
        late = build_call(ending=Ending.UNKNOWN, ended_at=19.5)
        self.assertEqual(len(self.check(late, 'f').findings), 1)
        in_time = replace(late, ended_at=18.5)
        self.assertTrue(self.check(in_time, 'f').proved)

    # Guards against calls that count by a time-out that is no longer in force for them.
    def test_limit_is_the_longest_that_may_be_in_force(self):
        call = build_call(ending=Ending.UNKNOWN, ended_at=17.5)
        shorter = Acknowledged(1, 0.0, timeout_s=5.0)
        longer = Acknowledged(2, 6.9, sent_at=6.8, timeout_s=12.0)
        verdict = self.check(call, 'f', configurations=(shorter, longer))
        self.assertTrue(verdict.proved)
        verdict = self.check(call, 'f', configurations=(shorter,))
        self.assertEqual(len(verdict.findings), 1)
        for late in (replace(call, ended_at=19.5), replace(call, ended_at=25.0)):
            verdict = self.check(late, 'f', configurations=(shorter, longer))
            self.assertEqual(len(verdict.findings), 1)

    # Guards against calls that count as late by a time-out that their node had not.
    def test_call_may_take_as_long_as_any_configuration_that_may_be_in_force(self):
        call = build_call(ending=Ending.UNKNOWN, ended_at=15.5)
        versions = (
            Acknowledged(1, 0.0, timeout_s=8.0),
            Acknowledged(2, 9.5, sent_at=9.4, timeout_s=4.0),
        )
        self.assertTrue(self.check(call, 'f', configurations=versions).proved)
        for fewer in (versions[:1], versions):
            later = replace(call, ended_at=19.5)
            verdict = self.check(later, 'f', configurations=fewer)
            self.assertEqual(len(verdict.findings), 1)
        known = (versions[0], replace(versions[1], sent_at=2.0, acknowledged_at=2.1))
        verdict = self.check(call, 'f', configurations=known)
        self.assertEqual(len(verdict.findings), 1)

    def test_call_at_the_flooding_instance_may_fail(self):
        for ending in (Ending.CUT, Ending.UNKNOWN):
            self.assertTrue(self.check(build_call(ending=ending), 'f', 'i').proved)

    # Guards against calls that count as never sent on although bytes on the connection
    # of a flooding instance came in place of their answer.
    def test_call_that_was_sent_to_the_flooding_instance_may_fail(self):
        call = build_call(ending=Ending.UNKNOWN)
        self.assertTrue(self.check(call, sent=(Sent('c', 'f'),)).proved)
        for sent in ((), (Sent('c', 'i'),), (Sent('d', 'f'),)):
            self.assertEqual(len(self.check(call, sent=sent).findings), 1)

    def test_call_beside_another_fault_proves_nothing(self):
        beside = (
            {'disturbed': (Disturbed('n', 8.0, 9.0),)},
            {'cuts': (Cut(frozenset('n'), 8.0, 9.0),)},
            {'gone': (Gone('j', 'pool', 10.5),)},
            {'floods': ()},
        )
        for fields in beside:
            with self.subTest(list(fields)):
                call = build_call(ending=Ending.CUT, node='n')
                self.assertEqual(self.check(call, 'i', **fields).looked_at, 0)

    def test_call_beside_a_silence_need_only_end_in_time(self):
        silences = (Silence('pool', frozenset('i'), 10.0, 11.0),)
        call = build_call(ending=Ending.CUT)
        self.assertTrue(self.check(call, 'i', silences=silences).proved)


if __name__ == '__main__':
    unittest.main()
