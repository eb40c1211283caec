"""Plain calls at instances that fall silent, for a time or for good."""

from __future__ import annotations

import math
import unittest

from tests.gateway.simulated_calls import CallSimulation
from tests.gateway.simulated_runs import Case, Script

#: Silences before the head of a response, and within its body.
BEFORE_S, WITHIN_S = 0.0, 0.2


class SilentCallTest(unittest.TestCase):
    """A call that may be repeated is answered while another instance is sound."""

    def play(self, silent_at, silent_s):
        script = Script(silent_at=silent_at, silent_s=silent_s, resets=False)
        simulation = CallSimulation(Case((script, Script()))).play()
        self.assertEqual(simulation.faults, [])
        return simulation.reply.status

    def test_call_outlasts_a_silence(self):
        for silent_at in (BEFORE_S, WITHIN_S):
            with self.subTest(silent_at=silent_at):
                self.assertEqual(self.play(silent_at, 1.2), 200)

    def test_call_goes_to_another_instance_if_one_is_silent_for_good(self):
        self.assertEqual(self.play(BEFORE_S, math.inf), 200)

    # Guards against calls that wait for their deadline as a lost instance had sent the
    # head of its response.
    def test_call_goes_to_another_instance_if_the_body_stays_away(self):
        self.assertEqual(self.play(WITHIN_S, math.inf), 200)


if __name__ == '__main__':
    unittest.main()
