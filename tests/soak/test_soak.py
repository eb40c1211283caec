"""A short run of the soak, decided by its seed."""

from __future__ import annotations

import itertools
import unittest

from soak.checkers import Bounds, check_all
from soak.driver import SoakRun
from soak.plan import SERIES, FaultKind, draw_plan
from standins.endless import KINDS, PACES

#: Promises that a run of this length puts to the test.
PUT_TO_THE_TEST = {
    'own answers',
    'events',
    'runs once',
    'refusals',
    'backoffs',
    'crashing parts',
    'silences',
    'floods',
    'routes',
    'versions',
    'settings',
    'exits',
    'memory',
}


SILENCES = {FaultKind.PAUSE, FaultKind.SUSPEND}

FLOODS = {FaultKind.FLOOD}

CROWDS = {FaultKind.CROWD}

CHANGES = {
    FaultKind.CHANGE,
    FaultKind.RELOAD,
    FaultKind.INVALID_CHANGE,
    FaultKind.INVALID_RELOAD,
}

FAULTS_OF_SEED_7 = [
    (1.012, 'stop', 2.708),
    (1.395, 'backoff', 0.558),
    (3.082, 'drain', 2.593),
    (4.304, 'leave', 3.356),
    (5.809, 'kill', 0.521),
    (6.905, 'store', 0.965),
    (7.838, 'break', 0.737),
    (8.739, 'part', 5.214),
    (10.255, 'freeze', 2.365),
    (10.706, 'freeze', 1.299),
    (11.632, 'backoff', 2.774),
]


class PlanTest(unittest.TestCase):
    """The seed decides all faults."""

    def test_same_seed_draws_the_same_faults(self):
        self.assertEqual(draw_plan(7, 60.0), draw_plan(7, 60.0))
        self.assertNotEqual(draw_plan(7, 60.0), draw_plan(8, 60.0))

    # Guards against draws of silences, floods, changes or series that change the other
    # faults.
    def test_silences_and_changes_leave_the_other_faults_of_a_seed_as_they_were(self):
        others = [
            (round(fault.at, 3), fault.kind.value, round(fault.length_s, 3))
            for fault in draw_plan(7, 12.0)
            if fault.kind not in SILENCES | CHANGES | FLOODS | CROWDS
            and fault.mode != SERIES
        ]
        self.assertEqual(others, FAULTS_OF_SEED_7)

    def test_silences_come_in_series_and_beside_other_faults(self):
        plan = draw_plan(7, 60.0)
        silences = [fault for fault in plan if fault.kind in SILENCES]
        self.assertEqual({fault.kind for fault in silences}, SILENCES)
        self.assertEqual({fault.service for fault in silences}, {'pool', 'api'})
        pairs = itertools.pairwise(silences)
        self.assertTrue(any(b.at < a.at + a.length_s for a, b in pairs))
        others = [fault for fault in plan if fault.kind not in SILENCES | CHANGES]
        self.assertGreater(silences[-1].at, max(fault.at for fault in others))

    def test_floods_of_all_kinds_and_paces_are_drawn(self):
        plan = [fault for seed in range(40) for fault in draw_plan(seed, 36.0)]
        floods = [fault for fault in plan if fault.kind is FaultKind.FLOOD]
        drawn = {(fault.place, fault.mode) for fault in floods}
        self.assertEqual(drawn, set(itertools.product(KINDS, PACES)))
        self.assertEqual({fault.service for fault in floods}, {'pool', 'api'})

    # Guards against nodes that are signalled one at a time, each once the one before is
    # back.
    def test_signals_to_nodes_come_in_series_that_overlap_all_other_faults(self):
        kinds, beside, longest = set(), set(), 0
        for seed in range(1001, 1051):
            plan = draw_plan(seed, 36.0)
            signals = [fault for fault in plan if fault.mode == SERIES]
            kinds.update(fault.kind for fault in signals)
            beside.update(
                fault.kind
                for fault in plan
                for signal in signals
                if fault.at <= signal.at <= fault.at + fault.length_s
                if fault is not signal
            )
            row = 1
            for before, after in itertools.pairwise(signals):
                row = row + 1 if after.at - before.at <= 1.0 else 1
                longest = max(longest, row)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(len(signals), 2)
        self.assertEqual(kinds, {FaultKind.KILL, FaultKind.STOP, FaultKind.FREEZE})
        self.assertEqual(beside, set(FaultKind))
        self.assertGreaterEqual(longest, 3)

    def test_changes_of_all_kinds_come_in_series_and_beside_all_other_faults(self):
        plan = [fault for seed in range(10) for fault in draw_plan(seed, 36.0)]
        changes = [fault for fault in plan if fault.kind in CHANGES]
        self.assertEqual({fault.kind for fault in changes}, CHANGES)
        concerned = {fault.mode for fault in changes if fault.kind is FaultKind.CHANGE}
        self.assertEqual(concerned, {'timeout', 'route', 'idle'})
        beside = {
            fault.kind
            for seed in range(10)
            for fault in draw_plan(seed, 36.0)
            for change in draw_plan(seed, 36.0)
            if change.kind in CHANGES
            if fault.at <= change.at <= fault.at + fault.length_s
        }
        self.assertEqual(beside, set(FaultKind))


class SoakTest(unittest.TestCase):
    """What users are promised holds while nodes and instances come and go."""

    def test_promises_are_kept(self):
        verdicts = check_all(SoakRun(seed=1, seconds=30.0, count=4).run(), Bounds())
        findings = [item for verdict in verdicts for item in verdict.findings]
        self.assertEqual(findings, [])
        proved = {verdict.checker for verdict in verdicts if verdict.proved}
        self.assertLessEqual(PUT_TO_THE_TEST, proved)

    # Guards against requests of stopping nodes that are lost; seed 1 stops none.
    def test_promises_are_kept_while_nodes_stop(self):
        verdicts = check_all(SoakRun(seed=3, seconds=30.0, count=4).run(), Bounds())
        findings = [item for verdict in verdicts for item in verdict.findings]
        self.assertEqual(findings, [])
        proved = {verdict.checker for verdict in verdicts if verdict.proved}
        self.assertLessEqual({*PUT_TO_THE_TEST, 'stops'} - {'crashing parts'}, proved)
