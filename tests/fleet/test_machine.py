"""Stateful test of the life cycle of groups under faults.

Instances follow the platform's protocol.  Orders arrive late, twice, in any order or
never; leaders are paused, replaced and resumed; members die, with or without a
notice, or lose only their entry.  Two invariants are checked: no group opens before
all its members are ready (PARTIAL), and no instance joins another group while the head
of its old group still serves (TWO).
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from coursepitch.fleet.claims import encode_claims
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.instances import FleetInstance, GroupState, Membership
from coursepitch.fleet.orders import OrderKind, OrderResult
from coursepitch.fleet.view import FleetView, claim_key
from coursepitch.platform.kv import Entry
from tests.fleet.builders import LARGE, SERVICE, SMALL, build_service

STALL_S = 5.0
LOAD_S = {LARGE.name: 1.0, SMALL.name: 1.0}
SIZES = {LARGE.name: LARGE.size, SMALL.name: SMALL.size}


@dataclass
class FakeEngine:
    """An instance that follows the platform's protocol.

    :param listed: whether it has an entry in the store.
    :param cut: whether it can't be reached by orders.
    """

    name: str
    domain: str
    alive: bool = True
    listed: bool = True
    cut: bool = False
    membership: Membership | None = None
    members: tuple[str, ...] = ()
    seen_epoch: int = 0
    ready_at: float = 0.0
    models: frozenset[str] = frozenset()
    host: frozenset[str] = frozenset()
    stalled_since: float | None = None


@dataclass
class Leader:
    """A leader with its own group book and its own view of the fleet."""

    view: FleetView
    book: GroupController = field(default_factory=GroupController)
    revision: int = 0
    frozen: bool = False


class GroupMachine(RuleBasedStateMachine):
    """One service in two domains, with changing leaders."""

    starts_with_groups = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.service = build_service()
        self.engines: dict[str, FakeEngine] = {}
        self.claims: dict[str, tuple] = {}
        self.claim_revisions: dict[str, int] = {}
        self.revision = 10
        self.leader_revision = 0
        self.waiting: list = []
        self.ready_once: dict[tuple[str, int], set[str]] = {}
        self.opened: list[tuple[str, int, tuple[str, ...]]] = []
        self.breaches: list[str] = []
        self.counter = 0
        for domain in ('d0', 'd1'):
            for _ in range(6):
                self.add_engine(domain)
        self.leader = self.elect()
        self.old_leaders: list[Leader] = []
        if self.starts_with_groups:
            self.form_initial_groups()

    # -- simulated fleet -----------------------------------------------------

    def form_initial_groups(self) -> None:
        """Start with open groups, the usual state."""
        for _ in range(8):
            self.act(self.leader, fresh=True)
            self.deliver_in_order()
            self.now += 0.7
            self.settle()

    def add_engine(self, domain: str) -> None:
        self.counter += 1
        name = f'i{self.counter}'
        self.engines[name] = FakeEngine(name, domain)

    def elect(self) -> Leader:
        self.revision += 1
        self.leader_revision = self.revision
        leader = Leader(FleetView(lambda: self.now), revision=self.revision)
        self.refresh(leader)
        return leader

    def refresh(self, leader: Leader) -> None:
        """Update a leader's view, as its watch does."""
        view = leader.view
        known, view.instances = view.instances, {}
        for item in self.engines.values():
            if item.listed:
                instance = self.build_entry(item)
                before = known.get(item.name)
                # Unchanged entries keep their object, as in the view of a node.
                view.instances[item.name] = before if instance == before else instance
        view.claims = {}
        view.claim_revisions = {}
        for key, claims in self.claims.items():
            value = encode_claims(claims)
            view.apply_claims(Entry(key, value, self.claim_revisions[key]))
        view.store_revision = self.revision
        view.version += 1

    @staticmethod
    def build_entry(engine: FakeEngine) -> FleetInstance:
        return FleetInstance(
            engine.name,
            SERVICE,
            f'10.0.0.{engine.name[1:]}:80',
            'a',
            13,
            False,
            engine.domain,
            engine.models,
            engine.models | engine.host,
            engine.membership,
        )

    def head_serves(self, engine: FakeEngine) -> bool:
        """Whether the head of an instance's group may be serving."""
        membership = engine.membership
        if membership is None or not engine.members:
            return False
        head = self.engines.get(engine.members[0])
        if head is None or not head.alive or head.membership is None:
            return False
        same = (
            head.membership.group == membership.group
            and head.membership.epoch == membership.epoch
        )
        return same and head.membership.state.may_serve

    def take_order(self, order) -> OrderResult:
        """Execute an order at an instance, as the protocol specifies."""
        engine = self.engines.get(order.instance)
        if engine is None or not engine.alive or engine.cut:
            return OrderResult.UNREACHED
        if order.kind is OrderKind.STAGE:
            engine.host = frozenset({order.model})
            return OrderResult.TAKEN
        if order.kind is OrderKind.JOIN:
            return self.take_join(engine, order)
        membership = engine.membership
        named = (
            membership is not None
            and membership.group == order.group
            and membership.epoch == order.epoch
        )
        if not named:
            return OrderResult.UNFIT
        if order.kind is OrderKind.LEAVE:
            engine.membership = None
            return OrderResult.DONE
        if order.kind is OrderKind.OPEN:
            if membership.state is not GroupState.READY:
                return OrderResult.UNFIT
            self.note_open(engine, order)
            self.set_state(engine, GroupState.OPEN)
            return OrderResult.TAKEN
        if membership.state is GroupState.OPEN:
            self.set_state(engine, GroupState.READY)
        return OrderResult.TAKEN

    def take_join(self, engine: FakeEngine, order) -> OrderResult:
        if order.epoch < engine.seen_epoch:
            return OrderResult.OUTDATED
        membership = engine.membership
        if membership is not None and membership.epoch == order.epoch:
            same = membership.group == order.group
            if same:
                good = engine.members == order.members
                return OrderResult.DONE if good else OrderResult.OUTDATED
        if self.head_serves(engine):
            self.breaches.append(f'TWO: {engine.name} joins {order.group}')
        engine.seen_epoch = order.epoch
        rank = order.members.index(engine.name)
        engine.membership = Membership(
            order.group, order.epoch, rank, GroupState.JOINING
        )
        engine.members = order.members
        engine.ready_at = self.now + LOAD_S[order.model]
        engine.models = frozenset({order.model})
        return OrderResult.TAKEN

    def note_open(self, head: FakeEngine, order) -> None:
        ready = self.ready_once.get((order.group, order.epoch), set())
        if set(head.members) - ready:
            self.breaches.append(f'PARTIAL: {order.group} opens with {ready}')
        if len(head.members) < SIZES[order.model]:
            self.breaches.append(f'PARTIAL: {order.group} opens with {head.members}')

    def set_state(self, engine: FakeEngine, state: GroupState) -> None:
        engine.membership = dataclasses.replace(engine.membership, state=state)

    def settle(self) -> None:
        """Apply the state changes of instances that are due."""
        for engine in self.engines.values():
            membership = engine.membership
            if not engine.alive or membership is None:
                continue
            if membership.state is GroupState.JOINING and engine.ready_at <= self.now:
                self.set_state(engine, GroupState.READY)
                key = (membership.group, membership.epoch)
                self.ready_once.setdefault(key, set()).add(engine.name)
            if membership.state is GroupState.OPEN:
                self.break_if_stalled(engine)

    def break_if_stalled(self, head: FakeEngine) -> None:
        whole = all(
            (member := self.engines.get(name)) is not None
            and member.alive
            and member.membership is not None
            and member.membership.group == head.membership.group
            and member.membership.epoch == head.membership.epoch
            for name in head.members
        )
        if whole:
            head.stalled_since = None
        elif head.stalled_since is None:
            head.stalled_since = self.now
        elif self.now - head.stalled_since >= STALL_S:
            self.set_state(head, GroupState.BROKEN)

    # -- rules ---------------------------------------------------------------

    @rule(seconds=strategies.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.settle()

    @rule(fresh=strategies.booleans())
    def decide(self, fresh: bool) -> None:
        """The leader decides, writes claims and sends orders."""
        self.act(self.leader, fresh)

    def act(self, leader: Leader, fresh: bool) -> None:
        if fresh:
            self.refresh(leader)
        for _ in range(2):
            decision = leader.book.decide(
                leader.view,
                self.service,
                {},
                self.now,
                loads_fast=True,
                instances_stable=True,
            )
            self.waiting += [(leader, order) for order in decision.orders]
            for change in decision.changes:
                self.write(leader, change)

    def write(self, leader: Leader, change) -> None:
        """Write claims under the same conditions as the keeper."""
        key = claim_key(change.service, change.domain)
        known = leader.view.claim_revisions.get(key, 0)
        if leader.revision != self.leader_revision:
            return
        if known != self.claim_revisions.get(key, 0):
            return
        self.revision += 1
        self.claims[key] = change.claims
        self.claim_revisions[key] = self.revision
        leader.book.note_formed(
            claim for claim in change.claims if claim.name in change.added
        )
        value = encode_claims(change.claims)
        leader.view.apply_claims(Entry(key, value, self.revision))
        leader.view.store_revision = self.revision

    @precondition(lambda self: self.waiting)
    @rule(data=strategies.data(), fate=strategies.sampled_from(['on', 'on', 'late']))
    def deliver(self, data, fate: str) -> None:
        """Deliver orders; a late one times out and remains queued."""
        count = data.draw(strategies.integers(1, min(6, len(self.waiting))))
        for _ in range(count):
            place = data.draw(strategies.integers(0, len(self.waiting) - 1))
            leader, order = self.waiting[place]
            if fate == 'late':
                leader.book.note_result(order, OrderResult.UNKNOWN, self.now)
                continue
            del self.waiting[place]
            result = self.take_order(order)
            leader.book.note_result(order, result, self.now)
            self.settle()

    @precondition(lambda self: self.waiting)
    @rule()
    def deliver_all(self) -> None:
        self.deliver_in_order()

    def deliver_in_order(self) -> None:
        waiting, self.waiting = self.waiting, []
        for leader, order in waiting:
            leader.book.note_result(order, self.take_order(order), self.now)
        self.settle()

    @precondition(lambda self: len(self.waiting) > 10)
    @rule()
    def lose_orders(self) -> None:
        del self.waiting[: len(self.waiting) // 2]

    @rule()
    def change_leader(self) -> None:
        """The leader is paused, and another node becomes leader."""
        self.old_leaders.append(self.leader)
        self.leader = self.elect()

    @precondition(lambda self: self.old_leaders)
    @rule(data=strategies.data())
    def wake_old_leader(self, data) -> None:
        """A replaced leader acts on stale state before it checks its lease."""
        place = data.draw(strategies.integers(0, len(self.old_leaders) - 1))
        self.act(self.old_leaders[place], fresh=False)

    @rule(data=strategies.data(), listed=strategies.booleans())
    def kill(self, data, listed: bool) -> None:
        """An instance dies; its entry may remain for a while."""
        names = [item.name for item in self.engines.values() if item.alive]
        if len(names) < 8:
            return
        engine = self.engines[data.draw(strategies.sampled_from(names))]
        engine.alive = False
        engine.listed = listed
        if listed:
            self.leader.book.unresponsive.add(engine.name)

    @rule(data=strategies.data())
    def lose_entry(self, data) -> None:
        """A live instance loses its entry."""
        names = [item.name for item in self.engines.values() if item.listed]
        if len(names) > 6:
            self.engines[data.draw(strategies.sampled_from(names))].listed = False

    @rule(data=strategies.data())
    def cut_head(self, data) -> None:
        """A serving head is partitioned from the store and the leader."""
        heads = [
            item.name
            for item in self.engines.values()
            if item.alive and item.membership and item.membership.state.may_serve
        ]
        if heads:
            engine = self.engines[data.draw(strategies.sampled_from(heads))]
            engine.listed = False
            engine.cut = True

    @rule()
    def restore_entries(self) -> None:
        for engine in self.engines.values():
            engine.listed = engine.alive
            engine.cut = False

    @rule(domain=strategies.sampled_from(['d0', 'd1']))
    def grow(self, domain: str) -> None:
        if len(self.engines) < 24:
            self.add_engine(domain)

    @invariant()
    def no_breach(self) -> None:
        assert not self.breaches, self.breaches

    @invariant()
    def no_instance_is_claimed_twice(self) -> None:
        names = [
            name
            for claims in self.claims.values()
            for claim in claims
            for name in claim.members
        ]
        assert len(names) == len(set(names)), names


class ColdGroupMachine(GroupMachine):
    """The same without initial groups, which form under faults."""

    starts_with_groups = False


class GroupLifeTest(GroupMachine.TestCase):
    """Runs :class:`GroupMachine`."""

    settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


class ColdGroupLifeTest(ColdGroupMachine.TestCase):
    """Runs :class:`ColdGroupMachine`."""

    settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
