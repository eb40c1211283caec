"""Runs at instances that are proven to have ended, and whose connection stays open."""

from __future__ import annotations

import math
import unittest

from tests.gateway.simulated_runs import (
    FAILED_STATUS,
    START,
    Case,
    Fate,
    Script,
    Simulation,
)

#: When the proof is known, and by when the request must have ended, in seconds.
PROVEN_S = 0.5
ENDED_S = 3.0

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


if __name__ == '__main__':
    unittest.main()
