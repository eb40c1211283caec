"""Requests under way as the time of a planned stop is over."""

from __future__ import annotations

import math
import unittest

from tests.gateway.simulated_calls import CallSimulation
from tests.gateway.simulated_runs import START, Case, Script, Simulation

#: Seconds from a request's arrival to the end of the stop.  A request waits longer for
#: an instance that is full.
END_S = 0.35

#: An instance that falls silent before its response, or within it, for good.
SILENT = Script(silent_at=0.0, silent_s=math.inf, resets=False)
SILENT_WITHIN = Script(silent_at=0.2, silent_s=math.inf, resets=False)


def end_requests(simulation):
    """Let the stop of a simulation's node be over after some time."""

    async def end():
        await simulation._wait_until(START + END_S)
        simulation.gateway.end_requests('the node stops')

    simulation._pause = end
    return simulation.play()


class EndOfStopTest(unittest.TestCase):
    """No request is left without an answer or a refusal by the end of a stop."""

    def test_request_that_waits_is_refused_as_not_run(self):
        simulation = end_requests(Simulation(Case((Script(full_until=9.0),))))
        self.assertAlmostEqual(simulation.ended_s, END_S, delta=0.1)
        self.assertEqual(simulation.refusal.status, 503)

    def test_request_that_was_sent_is_answered_with_an_unknown_outcome(self):
        for kind in (Simulation, CallSimulation):
            with self.subTest(kind.__name__):
                simulation = end_requests(kind(Case((SILENT,), attempts=1)))
                self.assertEqual(simulation.refusal.status, 502)
                self.assertAlmostEqual(simulation.ended_s, END_S, delta=0.1)

    def test_request_that_comes_later_is_refused_as_not_run(self):
        simulation = CallSimulation(Case((Script(),)))

        async def end_before():
            simulation.gateway.end_requests('the node stops')

        simulation._leave = lambda scope: end_before()
        self.assertEqual(simulation.play().refusal.status, 503)

    def test_response_that_has_begun_is_broken_off(self):
        simulation = end_requests(Simulation(Case((SILENT_WITHIN,), attempts=1)))
        self.assertTrue(simulation.reply.aborted)


if __name__ == '__main__':
    unittest.main()
