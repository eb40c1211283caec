"""Parts of prompts that crash instances, over nodes and seeds in simulated time."""

from __future__ import annotations

import unittest

from tests.crashes.simulated_crashes import CONTACT_S, Load, SimulatedFleet

#: Requests with one part that users accept once they expect it to be known.
LATE_ARRIVALS = 3

#: Share of the usual rate at which users expect sound requests to begin.
SOUND_SHARE = 0.5

SEEDS = range(5)


class PartsAtSizeTest(unittest.TestCase):
    """What users expect, whatever comes along."""

    def check(self, load, nodes=9, **fields):
        """Check all seeds; return the share of sound requests that were refused."""
        worst = 0.0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = SimulatedFleet(load, nodes=nodes, seed=seed, **fields).play()
                self.assertTrue(fleet.bad_ends)
                bound = LATE_ARRIVALS * len(load.bad_parts)
                self.assertLessEqual(len(fleet.list_late_arrivals()), bound)
                last_at = fleet.bad_ends[:5][-1]
                sent, refused = fleet.count_sound(last_at + 2 * CONTACT_S)
                self.assertLessEqual(refused, (1 - SOUND_SHARE) * sent)
                sent, refused = fleet.count_sound()
                worst = max(worst, refused / max(1, sent))
        return worst

    def test_part_among_others(self):
        self.assertEqual(self.check(Load()), 0.0)

    def test_part_that_comes_first(self):
        self.assertEqual(self.check(Load(first=True)), 0.0)

    def test_part_from_the_first_moment(self):
        self.check(Load(bad_from=0.0))
        self.check(Load(bad_from=0.0, first=True))

    def test_part_without_other_requests(self):
        self.check(Load(rate=0.0, bad_from=0.0))

    def test_part_of_two_customers(self):
        self.check(Load(bad_customers=('c0', 'c1'), bad_rate=10.0))

    def test_several_parts_at_once(self):
        self.check(Load(bad_parts=('bad', 'evil')))
        self.check(Load(bad_parts=('bad', 'evil'), bad_from=0.0))
        self.check(Load(bad_parts=('b1', 'b2', 'b3', 'b4'), bad_rate=8.0))

    def test_rare_requests_with_the_part(self):
        self.check(Load(bad_rate=0.5))

    def test_part_while_most_instances_crash(self):
        self.check(Load(waves=((4.5, 2.0, 0.9), (12.0, 2.0, 0.5))))

    def test_few_and_many_nodes(self):
        self.check(Load(rate=20.0), nodes=2, heads=10)
        self.check(Load(rate=100.0, bad_rate=8.0), nodes=60, heads=100, seconds=15.0)


class WaveTest(unittest.TestCase):
    """Instances that crash for another reason."""

    # Guards against parts that are refused for long, as most instances crashed at once.
    def test_no_part_is_refused_for_long(self):
        for at, documents in ((0.5, 40), (5.0, 40), (5.0, 4_000)):
            for seed in SEEDS:
                with self.subTest(at=at, documents=documents, seed=seed):
                    load = Load(
                        bad_rate=0.0, waves=((at, 1.0, 0.9),), documents=documents
                    )
                    fleet = SimulatedFleet(load, seed=seed).play()
                    sent, refused = fleet.count_sound(at + 10.0)
                    self.assertLessEqual(refused, 0.05 * sent)


if __name__ == '__main__':
    unittest.main()
