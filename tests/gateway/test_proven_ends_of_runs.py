"""Runs at instances that are proven to have ended, and whose connection stays open."""

from __future__ import annotations

import itertools
import math
import unittest
from dataclasses import replace

from tests.gateway.simulated_calls import CallSimulation
from tests.gateway.simulated_runs import (
    FAILED_STATUS,
    START,
    Case,
    Fate,
    Script,
    Simulation,
)
from tests.gateway.test_endless_streams import (
    KINDS,
    Endless,
    EndlessSimulation,
    flood,
)

#: When the proof is known, and by when the request must have ended, in seconds.
PROVEN_S = 0.5
ENDED_S = 3.0

#: When a stream that has begun falls silent, in seconds.
BEGUN_S = 0.2

#: An instance whose machine loses power.
GONE = Script(silent_at=0.1, silent_s=math.inf, resets=False)


class ProvenSimulation(Simulation):
    """A simulation in which a node proves that the first instance has ended."""

    async def _change_view(self, name, script):
        if name == 'h0':
            await self._wait_until(START + PROVEN_S)
            await self.session.losses.report(name, ended=True)
            for send in self.sends:
                # The gateway knows now that it delivers no more.
                send.failed = send.failed or send.name == name
        else:
            await super()._change_view(name, script)


class ProvenEndTest(unittest.TestCase):
    """A request that nothing can answer any more ends before its deadline."""

    def play(self, *scripts, **options):
        simulation = ProvenSimulation(Case((GONE, *scripts), **options)).play()
        self.assertEqual(simulation.faults, [])
        return simulation

    # Guards against requests that wait for their deadline although the only instance
    # that may run them is known to be gone.
    def test_request_that_may_not_be_repeated_ends_with_the_proof(self):
        found = self.play(Script(), resumable=False)
        self.assertLess(found.ended_s, ENDED_S)

    # Guards against errors that are held back until the deadline.
    def test_error_of_the_other_run_is_forwarded_with_the_proof(self):
        found = self.play(Script(fate=Fate.FAILS))
        self.assertEqual(found.reply.status, FAILED_STATUS)
        self.assertLess(found.ended_s, ENDED_S)

    def test_request_that_may_be_repeated_goes_on_elsewhere(self):
        found = self.play(Script())
        self.assertTrue(found.reply.whole)
        self.assertLess(found.ended_s, ENDED_S)


class TrickleSimulation(ProvenSimulation, EndlessSimulation):
    """A simulation in which bytes without an event arrive from the first instance."""


class TrickleTest(unittest.TestCase):
    """A stream whose instance has ended, and whose bytes bring nothing."""

    def play(self, kind, after, **options):
        simulation = TrickleSimulation(Case((GONE, Script()), **options))
        simulation.kind, simulation.after = kind, after
        simulation.play()
        self.assertEqual(simulation.faults, [])
        self.assertLess(simulation.ended_s, ENDED_S)
        return simulation

    # Guards against bytes without an event that keep a run until the deadline.
    def test_stream_that_may_not_be_repeated_ends_with_the_proof(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                found = self.play(kind, 0, resumable=False)
                self.assertEqual(found.refusal.status, 502)

    def test_stream_that_has_begun_and_may_not_be_resumed_is_broken_off(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                found = self.play(kind, 1, resumable=False)
                self.assertTrue(found.reply.aborted)
                self.assertEqual(found.reply.last_event, 1)

    def test_stream_that_may_be_resumed_goes_on_elsewhere(self):
        for kind, after in itertools.product(KINDS, (0, 1)):
            with self.subTest(kind=kind, after=after):
                self.assertTrue(self.play(kind, after).reply.whole)


class BegunStreamTest(unittest.TestCase):
    """A stream that has begun, and whose instance is proven to have ended."""

    def play(self, **options):
        script = replace(GONE, silent_at=BEGUN_S)
        simulation = ProvenSimulation(Case((script, Script()), **options)).play()
        self.assertEqual(simulation.faults, [])
        self.assertLess(simulation.ended_s, ENDED_S)
        return simulation

    # Guards against clients that wait for the deadline of a stream that can't go on.
    def test_stream_that_may_not_be_resumed_is_broken_off_with_the_proof(self):
        found = self.play(resumable=False)
        self.assertTrue(found.reply.aborted)
        self.assertGreater(found.reply.last_event, 0)

    def test_stream_that_may_be_resumed_goes_on_elsewhere(self):
        self.assertTrue(self.play().reply.whole)


class ProvenCallSimulation(ProvenSimulation, CallSimulation):
    """A call whose instance is proven to have ended; its body comes slowly, if any."""

    trickles = False

    async def _change_view(self, name, script):
        if name == 'p0':
            await self._wait_until(START + PROVEN_S)
            await self.session.losses.report(name, ended=True)
            for send in self.sends:
                send.failed = send.failed or send.name == name
        else:
            await CallSimulation._change_view(self, name, script)

    def begin_send(self, name, headers):
        send = super().begin_send(name, headers)
        if name == 'p0' and self.trickles:
            send.script = replace(send.script, silent_at=math.inf)
            send.parts = Endless(flood('one byte', 'slow', 0, b''))
        return send


class ProvenCallTest(unittest.TestCase):
    """A plain call whose instance is proven to have ended."""

    def play(self, trickles, **options):
        simulation = ProvenCallSimulation(Case((GONE, Script()), **options))
        simulation.trickles = trickles
        simulation.play()
        self.assertEqual(simulation.faults, [])
        self.assertLess(simulation.ended_s, ENDED_S)
        return simulation

    # Guards against calls that wait for their deadline although nothing can answer.
    def test_call_that_may_not_be_repeated_ends_with_the_proof(self):
        for trickles in (False, True):
            with self.subTest(trickles=trickles):
                found = self.play(trickles, resumable=False)
                self.assertEqual(found.refusal.status, 502)

    def test_call_that_may_be_repeated_goes_on_elsewhere(self):
        for trickles in (False, True):
            with self.subTest(trickles=trickles):
                self.assertEqual(self.play(trickles).reply.status, 200)


if __name__ == '__main__':
    unittest.main()
