"""Orders that instances carry out late, after the leader has ended their group."""

from __future__ import annotations

import unittest
from dataclasses import replace

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.orders import OrderKind, OrderResult
from tests.fleet.builders import (
    LARGE,
    SERVICE,
    build_instance,
    build_service,
    build_view,
)

#: Needs as many instances as there are at first.
MODEL = replace(LARGE, size=4)

CLAIM = GroupClaim('g5', 5, SERVICE, 'd0', MODEL.name, ('head', 'a', 'b', 'c'))


class ReopenedGroupTest(unittest.TestCase):
    """A head that is open again belongs to no other group until it has left.

    Guards against orders to join another group while the head of an ended one serves.
    """

    def setUp(self):
        self.controller = GroupController()
        self.entries = {}
        self.claims = [CLAIM]
        self.now = 100.0
        for name in CLAIM.members:
            self.write(name, 'open' if name == 'head' else 'ready')

    def write(self, name, state=None):
        """Change the entry of an instance."""
        self.entries[name] = build_instance(
            name, 'd0', state, CLAIM.name, CLAIM.epoch, staged=frozenset({MODEL.name})
        )

    def decide(self):
        """Return the leader's decision; its claims are written at once."""
        self.now += 1.0
        view = build_view(list(self.entries.values()), self.claims)
        decision = self.controller.decide(
            view,
            build_service((MODEL,)),
            {},
            self.now,
            loads_fast=True,
            instances_stable=True,
        )
        for change in decision.changes:
            self.claims = list(change.claims)
        return decision

    def end_group(self):
        """Let a member go, and the head confirm that it has left."""
        del self.entries['b']
        for _ in range(10):
            for order in self.decide().orders:
                if order.kind is OrderKind.LEAVE:
                    self.controller.note_result(order, OrderResult.TAKEN, self.now)
            if CLAIM not in self.claims:
                return
        self.fail('the group is not ended')

    def list_orders(self, kind):
        return [item.instance for item in self.decide().orders if item.kind is kind]

    def test_head_that_is_open_again_is_told_to_leave(self):
        self.end_group()
        for name in ('head', 'a', 'c'):
            self.write(name)
        self.decide()
        self.write('head', 'open')
        self.write('d')
        self.assertEqual(self.list_orders(OrderKind.LEAVE), ['head'])

    def test_head_that_is_open_again_gets_no_order_to_join(self):
        self.end_group()
        for name in ('head', 'a', 'c'):
            self.write(name)
        self.decide()
        self.write('head', 'open')
        for name in ('d', 'e'):
            self.write(name)
        for _ in range(3):
            self.assertNotIn('head', self.list_orders(OrderKind.JOIN))

    def test_entry_from_before_the_head_left_does_not_hold_it(self):
        self.end_group()
        self.assertEqual(self.list_orders(OrderKind.LEAVE), [])
