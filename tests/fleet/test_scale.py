"""The work of the leader and the nodes in a fleet of thousands of instances.

Calls are counted, not timed, so that the result is the same on any machine.
"""

from __future__ import annotations

import json
import unittest
import unittest.mock

from coursepitch.fleet import placer
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.placement import choose_second_weights
from coursepitch.fleet.view import FleetView
from coursepitch.platform.kv import Entry, Events
from tests.fleet.builders import LARGE, SERVICE, SMALL, build_engine
from tests.fleet.simulated_pool import Demand, SimulatedPool


def build_pool(instances, seed=1):
    """Return a lightly loaded pool in domains of twelve instances."""
    demands = (Demand(LARGE, 4.0, 1000, 100), Demand(SMALL, 4.0, 1000, 100))
    return SimulatedPool(build_engine(), demands, instances // 12, 12, seed)


class UnchangedFleetTest(unittest.TestCase):
    """Little is evaluated while nothing changes."""

    @classmethod
    def setUpClass(cls):
        """Let all groups of 3,000 instances form before the first request."""
        cls.pool = build_pool(3_000)
        cls.pool.run(-6.0)
        cls.open = sum(
            len(cls.pool.view.list_open(SERVICE, model.name))
            for model in (LARGE, SMALL)
        )

    def count(self, owner, name, work):
        """Return how often a function is called.

        :param work: callable that is run once.
        """
        whole = getattr(owner, name)
        with unittest.mock.patch.object(owner, name, autospec=True) as seen:
            seen.side_effect = whole
            work()
        return seen.call_count

    def test_all_groups_form_before_the_first_request(self):
        self.assertEqual(self.open, len(list(self.pool.view.all_claims())))
        grouped = sum(len(claim.members) for claim in self.pool.view.all_claims())
        self.assertGreaterEqual(grouped, 0.95 * 3_000)

    def test_leader_skips_unchanged_groups(self):
        for name in ('_find_failure', '_advance'):
            with self.subTest(name=name):
                self.assertEqual(self.count(GroupController, name, self.pool.lead), 0)

    def test_leader_only_chooses_second_weights_for_instances_that_lack_them(self):
        instances = self.pool.view.instances.values()
        lacking = [
            item for item in instances if choose_second_weights(item, (LARGE, SMALL))
        ]
        self.assertLess(len(lacking), 0.05 * len(instances))
        with unittest.mock.patch.object(
            placer, 'choose_second_weights', side_effect=choose_second_weights
        ) as seen:
            self.pool.lead()
        asked = [call.args[0].name for call in seen.call_args_list]
        self.assertEqual(asked, [item.name for item in lacking])

    def test_leader_skips_groups_of_instances_that_only_count_down_to_warm(self):
        """Entries of cold instances are written at each heartbeat."""
        view = self.pool.view
        claim = next(iter(view.all_claims()))
        name = claim.members[1]
        text = self.write_entry(view.instances[name])

        def lead():
            revision = view.received_revision + 1
            entry = Entry(f'servers/{name}', text, revision)
            view.apply(Events((entry,), revision))
            self.pool.lead()

        # The simulated instance has an entry like those of the platform from now on.
        lead()
        view.list_open(SERVICE, claim.model)

        for function in ('_find_failure', '_advance'):
            with self.subTest(name=function):
                self.assertEqual(self.count(GroupController, function, lead), 0)

        def look():
            lead()
            view.list_open(SERVICE, claim.model)

        self.assertEqual(self.count(FleetView, '_evaluate_group', look), 0)

    def write_entry(self, instance):
        """Return the entry of an instance as the platform writes it."""
        group = instance.membership
        data = {
            'service': instance.service,
            'address': instance.address,
            'zone': instance.availability_zone,
            'slots': instance.slots,
            'state': 'ready',
            'domain': instance.domain,
            'models': [{'name': name} for name in instance.models],
            'staged': list(instance.staged),
            'born': instance.born,
            'version': instance.software,
            'cold_left_ms': 1200,
            'group': {
                'name': group.group,
                'epoch': group.epoch,
                'rank': group.rank,
                'state': group.state.value,
            },
        }
        return json.dumps(data)

    def test_node_only_evaluates_changed_groups(self):
        view = self.pool.view
        claim = next(iter(view.all_claims()))

        def look():
            self.pool.change(claim.members[1])
            view.list_open(SERVICE, LARGE.name)

        self.assertEqual(self.count(FleetView, '_evaluate_group', look), 1)


class SameDecisionsTest(unittest.TestCase):
    """Skipping unchanged groups changes no decision."""

    def play(self, seed):
        """Return all decisions of a run with losses, and the earned share of value."""
        pool = build_pool(120, seed)
        orders = []
        decide = pool.book.decide

        def note(*parts, **options):
            decision = decide(*parts, **options)
            orders.append((pool.now, decision))
            return decision

        pool.book.decide = note
        losses = [(1.0 + 1.5 * place, 1 + place % 3) for place in range(6)]
        pool.run(12.0, losses)
        return [
            (now, decision.orders, decision.changes, decision.retired)
            for now, decision in orders
        ], pool.compute_earned_share()

    def test_decisions_equal_those_of_a_full_evaluation(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                found = self.play(seed)
                with (
                    unittest.mock.patch.object(
                        GroupController, '_is_stable', lambda *parts: False
                    ),
                    unittest.mock.patch.object(
                        FleetView, '_has_same_members', lambda *parts: False
                    ),
                ):
                    whole = self.play(seed)
                self.assertEqual(found, whole)
