"""The lead: taken once, kept while renewed, never taken from another node."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.fleet.leases import LEAD_LEASE_S, NodeLeases
from coursepitch.fleet.view import LEADER_KEY, FleetView
from coursepitch.platform.kv import Condition, Conflict, Entry, Swapped


class FakeStore:
    """Holds one key; ``on_grant`` is called while a lease is granted."""

    def __init__(self):
        self.revision = 10
        self.leader = Entry(LEADER_KEY)
        self.on_grant = lambda: None
        self.conditions = []

    async def grant(self, ttl_s):
        self.on_grant()
        return '7'

    async def renew(self, lease):
        return True

    async def transact(self, conditions, writes=()):
        self.conditions += conditions
        held = {LEADER_KEY: self.leader.revision}
        if any(held.get(item.key, 0) != item.revision for item in conditions):
            return Conflict(self.leader, (self.leader,))
        self.write(writes[0].value)
        return Swapped(self.revision)

    def write(self, name):
        """Let a node hold the lead."""
        self.revision += 1
        self.leader = Entry(LEADER_KEY, name, self.revision)
        return self.leader


class LeadTest(unittest.TestCase):
    """Campaigns of one node."""

    def setUp(self):
        self.now = 100.0
        self.store = FakeStore()
        self.view = FleetView(lambda: self.now)
        self.leases = NodeLeases(
            'n1', self.store, self.view, lambda: None, lambda: self.now
        )
        anyio.run(self.leases._node.grant)

    def campaign(self):
        anyio.run(self.leases._campaign)

    def test_vacant_lead_is_taken(self):
        self.campaign()
        self.assertTrue(self.leases.is_leader())
        self.assertEqual(self.store.conditions, [Condition(LEADER_KEY, 0)])

    def test_lead_ends_with_the_nodes_own_reckoning_of_its_lease(self):
        self.campaign()
        self.now += LEAD_LEASE_S
        self.assertFalse(self.leases.is_leader())

    def test_lead_that_another_took_meanwhile_is_left_to_it(self):
        def take():
            self.view.take_entry(self.store.write('n2'))

        self.store.on_grant = take
        self.campaign()
        self.assertFalse(self.leases.is_leader())
        self.assertEqual(self.store.leader.value, 'n2')

    def test_lead_that_another_took_unheard_is_left_to_it(self):
        self.store.write('n2')
        self.campaign()
        self.assertFalse(self.leases.is_leader())
        self.assertEqual(self.view.leader, 'n2')

    def test_lead_of_an_earlier_start_of_the_node_is_taken_back(self):
        self.view.take_entry(self.store.write('n1'))
        self.assertFalse(self.leases.is_leader())
        self.campaign()
        self.assertTrue(self.leases.is_leader())

    def test_older_news_of_the_lead_is_left(self):
        self.campaign()
        self.view.take_entry(Entry(LEADER_KEY, deleted_at=5))
        self.assertTrue(self.leases.is_leader())
        self.view.take_entry(Entry(LEADER_KEY, deleted_at=self.store.revision + 1))
        self.assertFalse(self.leases.is_leader())


if __name__ == '__main__':
    unittest.main()
