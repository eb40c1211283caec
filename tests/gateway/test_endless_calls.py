"""Plain calls whose instances send a body without end."""

from __future__ import annotations

import itertools
import unittest

from tests.gateway.simulated_calls import OBJECTIVE_S, CallSimulation
from tests.gateway.simulated_runs import FAILED_STATUS, Case, Fate, Script, Seen
from tests.gateway.test_endless_streams import PACES, Endless, flood

SOUND = Script(seen=Seen.OVERDUE)

#: By when a call that may run elsewhere has ended, in seconds: an overdue head, an
#: overdue body, and the call elsewhere.
SERVED_S = 5 * OBJECTIVE_S


class EndlessCallSimulation(CallSimulation):
    """A simulation in which the body of the first instance has no end."""

    pace = 'slow'

    def begin_send(self, name, headers):
        send = super().begin_send(name, headers)
        if name == 'p0':
            send.parts = Endless(flood('one byte', self.pace, 0, b''))
            self.flooded = send
        return send

    def end_send(self, send):
        if send is self.flooded:
            send.failed = True
        super().end_send(send)


class EndlessCallTest(unittest.TestCase):
    """A body without end brings a call no further."""

    def play(self, *scripts, pace='slow', **options):
        simulation = EndlessCallSimulation(Case(scripts, **options))
        simulation.pace = pace
        simulation.play()
        self.assertEqual(simulation.faults, [])
        return simulation

    # Guards against calls that wait for their deadline while other instances are idle.
    def test_call_that_may_be_repeated_goes_on_elsewhere(self):
        for pace in PACES:
            with self.subTest(pace=pace):
                found = self.play(SOUND, SOUND, pace=pace)
                self.assertEqual(found.reply.status, 200)
                self.assertLess(found.ended_s, SERVED_S)

    def test_call_that_may_not_be_repeated_ends_with_the_proof(self):
        found = self.play(SOUND, SOUND, pace='fast', resumable=False)
        self.assertEqual(found.refusal.status, 502)
        self.assertLess(found.ended_s, 1.0)

    # Guards against instances that get as many requests as before.
    def test_instance_is_avoided(self):
        for pace, resumable in itertools.product(PACES, (False, True)):
            with self.subTest(pace=pace, resumable=resumable):
                found = self.play(SOUND, SOUND, pace=pace, resumable=resumable)
                self.assertTrue(found.tracker._record('p0').failures)

    # Guards against errors that are kept until the deadline.
    def test_error_that_may_not_be_repeated_is_answered_soon(self):
        found = self.play(Script(fate=Fate.FAILS), SOUND, resumable=False)
        self.assertEqual(found.refusal.status, 502)
        self.assertIn(str(FAILED_STATUS), found.refusal.reason)
        self.assertLess(found.ended_s, 2.5)

    def test_error_that_may_be_repeated_goes_elsewhere(self):
        found = self.play(Script(fate=Fate.FAILS), SOUND)
        self.assertEqual(found.reply.status, 200)
        self.assertLess(found.ended_s, SERVED_S)


if __name__ == '__main__':
    unittest.main()
