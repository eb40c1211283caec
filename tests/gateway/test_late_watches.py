"""Watches of runs that become due as their request ends."""

from __future__ import annotations

import math
import unittest

from tests.gateway.simulated_runs import Case, Script, Seen, Simulation


class LateWatchTest(unittest.TestCase):
    """No watch outlives its request."""

    # Guards against a task that is started in a task group that ends, which does not
    # wait for it.
    def test_watch_that_becomes_due_as_the_client_leaves_is_not_left_over(self):
        script = Script(silent_at=0.105, silent_s=math.inf, seen=Seen.REPORTED)
        simulation = Simulation(Case((script,), leaves_at=0.105)).play()
        self.assertEqual(simulation.faults, [])


if __name__ == '__main__':
    unittest.main()
