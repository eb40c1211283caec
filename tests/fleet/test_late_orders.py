"""Orders that instances carry out late, after the leader has ended their group."""

from __future__ import annotations

import unittest
from dataclasses import replace

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.instances import GroupState
from coursepitch.fleet.orders import Order, OrderKind, OrderResult
from tests.fleet.builders import (
    LARGE,
    SERVICE,
    build_instance,
    build_service,
    build_view,
)
from tests.fleet.test_machine import GroupMachine

#: Needs as many instances as there are at first.
MODEL = replace(LARGE, size=4)

CLAIM = GroupClaim('g5', 5, SERVICE, 'd0', MODEL.name, ('head', 'a', 'b', 'c'))
NEXT_CLAIM = GroupClaim('g9', 9, SERVICE, 'd0', MODEL.name, ('head', 'a', 'c', 'd'))


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

    def write(self, name, state=None, **fields):
        """Change the entry of an instance."""
        self.entries[name] = build_instance(
            name,
            'd0',
            state,
            CLAIM.name,
            CLAIM.epoch,
            staged=frozenset({MODEL.name}),
            **fields,
        )

    def build_view(self):
        return build_view(list(self.entries.values()), self.claims)

    def decide(self):
        """Return the leader's decision; its claims are written at once."""
        self.now += 1.0
        decision = self.controller.decide(
            self.build_view(),
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

    def claim_next_group(self):
        """Claim the next group, whose members report none; return the orders."""
        self.end_group()
        for name in ('head', 'a', 'c', 'd'):
            self.write(name)
        self.claims = [NEXT_CLAIM]
        found = self.decide().orders
        self.assertEqual(
            [(item.kind, item.instance) for item in found],
            [(OrderKind.JOIN, name) for name in NEXT_CLAIM.members],
        )
        return found

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

    # Guards against a head that counts as free between a late join and a late open.
    def test_head_that_joined_again_is_told_to_leave_before_it_is_claimed(self):
        self.end_group()
        for name in ('head', 'a', 'c'):
            self.write(name)
        self.decide()
        self.write('head', 'joining')
        for name in ('d', 'e'):
            self.write(name)
        told = []
        for _ in range(3):
            orders = self.decide().orders
            told += [item.kind for item in orders if item.instance == 'head']
            claimed = [name for claim in self.claims for name in claim.members]
            self.assertNotIn('head', claimed)
        self.assertEqual(set(told), {OrderKind.LEAVE})

    # Guards against an order that is repeated although its reason no longer holds.
    def test_claimed_head_that_joined_again_gets_no_further_order_to_join(self):
        for state in GroupState:
            if state is GroupState.BROKEN:
                continue
            with self.subTest(state):
                self.setUp()
                self.claim_next_group()
                self.write('head', state.value)
                orders = self.decide().orders
                self.assertEqual(
                    [item.kind for item in orders if item.instance == 'head'],
                    [OrderKind.LEAVE],
                )

    # Guards against an order that waits for its turn while its reason ends.
    def test_queued_order_to_join_is_dropped_once_the_head_joined_again(self):
        order = self.claim_next_group()[0]
        self.assertTrue(self.controller.is_due(order, self.build_view()))
        self.write('head', 'ready')
        self.assertFalse(self.controller.is_due(order, self.build_view()))
        del self.entries['head']
        self.assertFalse(self.controller.is_due(order, self.build_view()))

    # Guards against an order to open that waits for its turn while a member goes.
    def test_queued_order_to_open_is_dropped_once_a_member_has_left(self):
        order = Order(OrderKind.OPEN, 'head', '', 'g5', 5, MODEL.name, CLAIM.members)
        for name in CLAIM.members:
            self.write(name, 'ready')
        self.assertTrue(self.controller.is_due(order, self.build_view()))
        for change in ({'state': None}, {'state': 'ready', 'draining': True}):
            with self.subTest(change):
                self.write('c', **change)
                self.assertFalse(self.controller.is_due(order, self.build_view()))

    # Guards against a claim that is ended while an order to leave waits.
    def test_queued_order_to_leave_is_dropped_while_the_group_is_claimed(self):
        order = Order(OrderKind.LEAVE, 'head', '', 'g5', 5, '', ('',))
        self.assertFalse(self.controller.is_due(order, self.build_view()))
        self.claims = []
        self.assertTrue(self.controller.is_due(order, self.build_view()))

    # Guards against a member that joins elsewhere while its head may open again.
    def test_member_leaves_first_while_its_head_is_back(self):
        self.end_group()
        self.write('head', 'joining')
        self.write('a', 'ready')
        self.assertEqual(sorted(self.list_orders(OrderKind.LEAVE)), ['a', 'c', 'head'])

    # Guards against a member that joins elsewhere while nothing tells of its head.
    def test_member_leaves_first_while_the_entry_of_its_head_is_gone(self):
        self.end_group()
        del self.entries['head']
        self.assertEqual(sorted(self.list_orders(OrderKind.LEAVE)), ['a', 'c'])

    def test_member_joins_at_once_while_its_head_has_left(self):
        self.end_group()
        self.write('head')
        self.assertEqual(self.list_orders(OrderKind.LEAVE), [])

    # Guards against a new leader that takes over a claim of instances in an old group.
    def test_new_leader_lets_claimed_members_leave_first(self):
        self.controller.reset()
        self.claims = [NEXT_CLAIM]
        self.write('d')
        del self.entries['b']
        orders = self.decide().orders
        left = [item for item in orders if item.kind is OrderKind.LEAVE]
        self.assertEqual([item.instance for item in left], ['head', 'a', 'c'])
        # The members are cut off from the store, so their entries stay.
        for order in left:
            self.controller.note_result(order, OrderResult.DONE, self.now)
        self.assertEqual(
            sorted(self.list_orders(OrderKind.JOIN)), ['a', 'c', 'd', 'head']
        )


class LateOrdersInSeriesTest(unittest.TestCase):
    """Unanswered orders of an ended group and of the next one are carried out late.

    Guards against an order to join the next group that is sent again while its
    instance is open in the ended one.
    """

    def setUp(self):
        self.machine = GroupMachine()
        self.claim = next(
            claim
            for claims in self.machine.claims.values()
            for claim in claims
            if claim.model == LARGE.name
        )
        self.head = self.machine.engines[self.claim.head]

    def build_order(self, kind):
        claim = self.claim
        return Order(
            kind, claim.head, '', claim.name, claim.epoch, claim.model, claim.members
        )

    def act(self, refused=()):
        """Let the leader decide; orders of some kinds to the head are not answered."""
        machine = self.machine
        machine.now += 0.5
        machine.settle()
        machine.act(machine.leader, fresh=True)
        waiting, machine.waiting = machine.waiting, []
        book, unanswered = machine.leader.book, []
        for leader, order in waiting:
            if not book.is_due(order, leader.view):
                book.note_result(order, OrderResult.DROPPED, machine.now)
            elif order.instance == self.head.name and order.kind in refused:
                unanswered.append(order)
                book.note_result(order, OrderResult.UNKNOWN, machine.now)
            else:
                book.note_result(order, machine.take_order(order), machine.now)
        machine.settle()
        return unanswered

    def test_no_instance_joins_while_the_head_is_open_again(self):
        machine, head = self.machine, self.head
        lost = machine.engines[self.claim.members[-1]]
        lost.alive = lost.listed = False
        # The head leaves, and the order to join the next group is not answered.
        for _ in range(6):
            if self.act({OrderKind.JOIN}):
                break
        else:
            self.fail('the head is not claimed again')
        self.assertIsNone(head.membership)
        machine.take_order(self.build_order(OrderKind.JOIN))
        machine.now += 1.0
        machine.settle()
        self.assertIs(head.membership.state, GroupState.READY)
        # An order to leave that is sent before the late order to open is lost.
        self.act({OrderKind.JOIN, OrderKind.LEAVE})
        machine.take_order(self.build_order(OrderKind.OPEN))
        self.assertIs(head.membership.state, GroupState.OPEN)
        for _ in range(8):
            self.act()
            self.assertEqual(machine.breaches, [])
        self.assertNotEqual(head.membership.group, self.claim.name)


if __name__ == '__main__':
    unittest.main()
