"""A short run of the soak, decided by its seed."""

from __future__ import annotations

import unittest

from soak.checkers import Bounds, check_all
from soak.driver import SoakRun
from soak.plan import draw_plan

#: Promises that a run of this length puts to the test.
PUT_TO_THE_TEST = {
    'own answers',
    'events',
    'runs once',
    'refusals',
    'backoffs',
    'crashing parts',
}


class PlanTest(unittest.TestCase):
    """The seed decides all faults."""

    def test_same_seed_draws_the_same_faults(self):
        self.assertEqual(draw_plan(7, 60.0), draw_plan(7, 60.0))
        self.assertNotEqual(draw_plan(7, 60.0), draw_plan(8, 60.0))


class SoakTest(unittest.TestCase):
    """What users are promised holds while nodes and instances come and go."""

    def test_promises_are_kept(self):
        verdicts = check_all(SoakRun(seed=1, seconds=30.0, count=4).run(), Bounds())
        findings = [item for verdict in verdicts for item in verdict.findings]
        self.assertEqual(findings, [])
        proved = {verdict.checker for verdict in verdicts if verdict.proved}
        self.assertLessEqual(PUT_TO_THE_TEST, proved)
