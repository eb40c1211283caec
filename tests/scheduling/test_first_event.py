"""Choices of a head, by the share of first events in time on the same requests."""

from __future__ import annotations

import statistics
import unittest
from dataclasses import replace
from types import SimpleNamespace

from coursepitch.gateway.work import WorkMeter
from coursepitch.gateway_application import GatewayApplication
from tests.scheduling.choices import CHOICES, SCENES
from tests.scheduling.simulated_heads import SimulatedHeads


class FirstEventTest(unittest.TestCase):
    """A burst of short prompts with a tight objective, and few large groups.

    Guards against nodes that all correct the same stale loads: loads then oscillate,
    and requests queue at some heads while others have free slots.
    """

    def compare(self, scene, seeds=4):
        """Return how much more first events are in time, and the standard error."""
        gains = []
        for seed in range(seeds):
            in_time = [
                SimulatedHeads(scene, CHOICES[name], seed).run(seed).in_time
                for name in ('count', 'chosen')
            ]
            gains.append(in_time[1] - in_time[0])
        return statistics.mean(gains), statistics.stdev(gains) / len(gains) ** 0.5

    def check_better(self, scene, seeds):
        gain, error = self.compare(scene, seeds)
        self.assertGreater(gain, 2 * error)

    def test_more_first_events_are_in_time_in_bursts(self):
        self.check_better(replace(SCENES['small-mean'], seconds=11.0), 4)

    def test_more_first_events_are_in_time_at_few_large_groups(self):
        self.check_better(SCENES['large-mean'], 8)

    def test_single_node_with_fresh_loads_loses_nothing(self):
        gain, error = self.compare(replace(SCENES['one-node'], seconds=11.0))
        self.assertGreaterEqual(gain, -0.002 - 2 * error)


class ArrivalsTest(unittest.TestCase):
    """Only arrivals at other nodes are unknown: a node sees its own at once."""

    def read_rate(self, nodes):
        work = WorkMeter(lambda: 10.0)
        work.note('small', 1.0)
        node = SimpleNamespace(
            gateway=SimpleNamespace(work=work),
            session=SimpleNamespace(count_nodes=lambda: nodes),
        )
        return GatewayApplication._read_rate(node, 'small')

    def test_single_node_expects_no_unknown_arrivals(self):
        self.assertEqual(self.read_rate(1), 0.0)

    def test_rate_of_others_is_estimated_from_the_own_rate(self):
        self.assertAlmostEqual(self.read_rate(5), 4 * self.read_rate(2))


if __name__ == '__main__':
    unittest.main()
