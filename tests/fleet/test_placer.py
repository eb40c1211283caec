"""Tests of the claims and orders that the leader makes from placement plans."""

from __future__ import annotations

import unittest

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.ledger import LoadLimiter, OrderLedger
from coursepitch.fleet.orders import OrderKind
from coursepitch.fleet.placer import (
    CONVERSION_QUIET_S,
    LARGEST_MODEL_SPARES,
    Placer,
    ServiceSnapshot,
)
from tests.fleet.builders import (
    SERVICE,
    build_engine,
    build_instance,
    build_service,
    build_view,
)

PAIRS = ('g1', 'g2', 'g3', 'g4', 'g5')


class ConversionTest(unittest.TestCase):
    """Groups end for another model only while the list of instances is stable."""

    def setUp(self):
        self.placer = Placer(OrderLedger(), LoadLimiter())
        self.instances = []
        self.claims = []
        for group in PAIRS:
            names = (f'{group}-0', f'{group}-1')
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                fields = {'models': frozenset({'small'}), 'rank': rank}
                fields['staged'] = frozenset({'large'})
                item = build_instance(name, 'd0', state, group, 1, **fields)
                self.instances.append(item)
            self.claims.append(GroupClaim(group, 1, SERVICE, 'd0', 'small', names))

    def choose(self, now):
        """Return the conversion that is chosen while the larger model has no group."""
        view = build_view(self.instances, self.claims)
        snapshot = ServiceSnapshot(
            view,
            build_service(),
            build_engine(),
            self.claims,
            [],
            {'d0': []},
            {'large': 100.0, 'small': 20.0},
            now,
            loads_fast=False,
            instances_stable=True,
            reserved={},
        )
        return self.placer.choose_conversion(snapshot)

    def test_conversion_waits_until_the_instances_are_unchanged(self):
        self.assertIsNone(self.choose(100.0))
        self.assertIsNone(self.choose(100.0 + CONVERSION_QUIET_S * 0.9))
        self.assertEqual(self.choose(100.0 + CONVERSION_QUIET_S * 1.1).model, 'large')

    def test_removed_instance_restarts_the_wait(self):
        self.choose(100.0)
        self.instances.append(build_instance('late', 'd1'))
        self.assertIsNone(self.choose(101.0))
        self.instances.pop()
        self.assertIsNone(self.choose(101.0 + CONVERSION_QUIET_S * 0.9))
        self.assertIsNotNone(self.choose(101.0 + CONVERSION_QUIET_S * 2))


class WarmupTest(unittest.TestCase):
    """Free instances load their hosts' weights into memory outside any group."""

    def setUp(self):
        self.placer = Placer(OrderLedger(), LoadLimiter())

    def place(self, instance, now=100.0):
        """Return the orders to join that are made for one free instance."""
        view = build_view([instance])
        self.placer._ledger.addresses[instance.name] = instance.address
        snapshot = ServiceSnapshot(
            view,
            build_service(),
            build_engine(),
            [],
            [],
            {'d0': [instance]},
            {},
            now,
            loads_fast=False,
            instances_stable=True,
            reserved={},
        )
        _, orders = self.placer.place(snapshot)
        return [order for order in orders if order.kind is OrderKind.JOIN]

    def test_instance_never_in_a_group_joins_a_warmup_group(self):
        (order,) = self.place(build_instance('i1', staged=frozenset({'large'})))
        self.assertEqual((order.model, order.members), ('large', ('i1',)))
        self.assertLess(order.epoch, build_view().store_revision + 1)

    def test_order_to_warm_up_is_not_repeated_at_once(self):
        spare = build_instance('i1', staged=frozenset({'large'}))
        self.place(spare)
        self.assertEqual(self.place(spare, 100.1), [])
        self.assertEqual(len(self.place(spare, 110.0)), 1)

    def test_instance_with_weights_in_memory_or_none_gets_no_order(self):
        held = {'staged': frozenset({'large'}), 'last_model': 'large'}
        self.assertEqual(self.place(build_instance('i1', **held)), [])
        self.assertEqual(self.place(build_instance('i2')), [])

    def test_ready_instance_leaves_its_warmup_group_and_is_free(self):
        fields = {'models': frozenset({'large'}), 'staged': frozenset({'large'})}
        ready = build_instance('i1', 'd0', 'ready', 'w9-i1', 9, **fields)
        joining = build_instance('i2', 'd0', 'joining', 'w9-i2', 9, **fields)
        view = build_view([ready, joining])
        decision = GroupController().decide(
            view, build_service(), {}, 100.0, loads_fast=False, instances_stable=False
        )
        left = [item for item in decision.orders if item.kind is OrderKind.LEAVE]
        self.assertEqual([item.instance for item in left], ['i1'])
        decision = GroupController().decide(
            view, build_service(), {}, 100.0, loads_fast=False, instances_stable=True
        )
        (change,) = decision.changes
        self.assertEqual(set(change.claims[0].members), {'i1', 'i2'})


class SpareTest(unittest.TestCase):
    """Spares of the largest model in domains that have a group of it.

    Guards against groups that wait 1.6 s for one member with weights on its host only.
    """

    def place(self, claimed_domain, count=5, **fields):
        """Return the instances of a domain that are ordered to load the model."""
        placer = Placer(OrderLedger(), LoadLimiter())
        values = {'last_model': 'small', 'staged': frozenset({'large'}), **fields}
        free = [build_instance(f'i{n}', **values) for n in range(count)]
        claim = GroupClaim('g', 1, SERVICE, claimed_domain, 'large', ('a', 'b', 'c'))
        for item in free:
            placer._ledger.addresses[item.name] = item.address
        snapshot = ServiceSnapshot(
            build_view(free, [claim]),
            build_service(),
            build_engine(),
            [claim],
            [],
            {'d0': free},
            {},
            100.0,
            loads_fast=False,
            instances_stable=False,
            reserved={},
        )
        found = placer.place(snapshot)[1], placer.place(snapshot)[1]
        return [
            [item.instance for item in orders if item.kind is OrderKind.JOIN]
            for orders in found
        ]

    def test_a_few_free_instances_load_the_model_once(self):
        first, second = self.place('d0')
        self.assertEqual(len(first), LARGEST_MODEL_SPARES)
        self.assertEqual(second, [])

    def test_domain_without_a_group_of_the_model_gets_none(self):
        self.assertEqual(self.place('d1'), [[], []])

    def test_instances_that_hold_the_model_count(self):
        self.assertEqual(self.place('d0', last_model='large'), [[], []])

    def test_instances_without_the_weights_on_their_hosts_get_no_order(self):
        self.assertEqual(self.place('d0', staged=frozenset({'small'})), [[], []])


if __name__ == '__main__':
    unittest.main()
