"""Life cycle of groups, as decided by the leader.

:class:`GroupController` holds the leader's state beyond the store: the orders that it
sent and their results.  ``decide`` only returns the next actions and has no side
effects outside the object, so that tests need no sockets or clocks.

A group is opened only after every member has reported ready under the group's name
and epoch.  Members may join another group only when the old head is known to have left,
or when they themselves have confirmed that they left: an unresponsive head may then
still serve, but without them.

Orders that were not answered may be carried out seconds later, and form or open a group
that has been ended since.  So what an instance reports is checked again before each
order to join or to open, and one that reports an ended group again leaves it first.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from coursepitch.fleet.instances import GroupState
from coursepitch.fleet.ledger import LoadLimiter, OrderLedger
from coursepitch.fleet.orders import Order, OrderKind, OrderResult
from coursepitch.fleet.placer import (
    Placer,
    ServiceSnapshot,
    is_warming_up,
    is_warmup_group,
)
from coursepitch.fleet.view import claim_key

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from coursepitch.config.routes import EngineProfile, Service
    from coursepitch.fleet.claims import GroupClaim
    from coursepitch.fleet.instances import FleetInstance, Membership
    from coursepitch.fleet.placer import ClaimChange
    from coursepitch.fleet.view import FleetView

__all__ = ['Decision', 'GroupController']

#: Seconds after which an order is sent again if the instance's entry doesn't show its
#: effect.  Most orders take effect within tens of milliseconds, some seconds late.
JOIN_RETRY_S = 0.45
OPEN_RETRY_S = 0.45
LEAVE_RETRY_S = 0.4

#: Unanswered orders to leave after which a head counts as unresponsive.
MAX_UNANSWERED_LEAVES = 2

#: Seconds for which a group may finish running requests after a member's entry was
#: removed.  An instance that leaves without notice serves for two more seconds at
#: least, and one that only lost the store keeps serving; streams take 0.7 to 1.3 s.
MEMBER_LOSS_GRACE_S = 1.5

#: Seconds for which a serving group with a silent member is kept: a sound instance may
#: fall silent for a second or so.  Requests avoid the group meanwhile.  While all
#: instances in groups are silent, and as long again, it is kept until the entry of the
#: member is removed.
SILENCE_GRACE_S = 2.3

#: Seconds for which such a group is kept while requests are at its head, as these may
#: have no other run.  Engines cut the streams of a group that stands still after 5 s.
SILENT_REQUESTS_GRACE_S = 5.0

#: Seconds beyond twice the load time after which a group that has not formed is
#: retired.
FORM_TIMEOUT_MARGIN_S = 8.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Actions for the leader to carry out.

    :param changes: claims to write.
    :param orders: orders to send.
    :param retired: names of the groups that are being ended, with reasons.
    """

    changes: tuple[ClaimChange, ...] = ()
    orders: tuple[Order, ...] = ()
    retired: tuple[tuple[str, str], ...] = ()


@dataclass(eq=False)
class _GroupRecord:
    """The leader's state of a group beyond its claim.

    :param first_seen_at: monotonic time at which the leader first saw the claim.
    :param may_be_open: whether an order to open the group may have been sent; true
        for groups taken over from another leader.
    :param retire_reason: reason for which the group is being ended; empty while it is
        not.
    :param head_failures: orders to leave that the head did not answer.
    :param confirmed_left: members that confirmed that they left.
    :param converting_to: model for which the group is being ended; empty for none.
    :param finishing_since: monotonic time at which a member's entry was first found
        missing while the group still ran requests.
    :param stable_members: its members when it was last open and needed no action;
        empty if that is not known.
    :param stable_engine: the engine's profile at that time.
    """

    first_seen_at: float
    may_be_open: bool = True
    retire_reason: str = ''
    head_failures: int = 0
    confirmed_left: set[str] = field(default_factory=set)
    converting_to: str = ''
    finishing_since: float | None = None
    stable_members: tuple[FleetInstance, ...] = ()
    stable_engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class _EndedGroup:
    """A group whose head is known to have left.

    :param may_reopen: whether an order to open it may still be carried out.
    """

    head: str
    may_reopen: bool


@dataclass(eq=False)
class GroupController:
    """State from which the leader decides about groups.

    :param unresponsive: instances that do not answer the leader.
    :param silent_since: monotonic times since when those among them are silent whose
        connections are not refused.
    :param count_in_flight: returns the requests of all nodes that are at a head.
    """

    unresponsive: set[str] = field(default_factory=set)
    silent_since: dict[str, float] = field(default_factory=dict)
    count_in_flight: Callable[[str], int] = lambda head: 0
    _all_silent_at: dict[str, float] = field(default_factory=dict)
    _isolated_at: float = float('-inf')
    _records: dict[tuple[str, int], _GroupRecord] = field(default_factory=dict)
    _unopened: set[tuple[str, int]] = field(default_factory=set)
    _ended_groups: dict[tuple[str, int], _EndedGroup] = field(default_factory=dict)
    # Entries as they were when an instance was ordered to leave its group, by instance
    # and epoch, and those from before it confirmed that it left.
    _leaving: dict[tuple[str, int], FleetInstance] = field(default_factory=dict)
    _left: dict[str, FleetInstance] = field(default_factory=dict)
    _started_ms: dict[str, int] = field(default_factory=dict)
    _last_seen: dict[str, FleetInstance] = field(default_factory=dict)
    _ledger: OrderLedger = field(default_factory=OrderLedger)
    _loads: LoadLimiter = field(default_factory=LoadLimiter)

    def __post_init__(self) -> None:
        self._placer = Placer(self._ledger, self._loads)

    def reset(self) -> None:
        """Drop all state when the node becomes leader."""
        self.unresponsive.clear()
        self.silent_since.clear()
        self._all_silent_at.clear()
        self._records.clear()
        self._unopened.clear()
        self._ended_groups.clear()
        self._leaving.clear()
        self._left.clear()
        self._ledger.clear()
        self._loads.clear()

    # -- inputs -------------------------------------------------------------------

    def note_formed(self, claims: Iterable[GroupClaim]) -> None:
        """Record claims that this leader wrote and has not ordered to open."""
        self._unopened.update((claim.name, claim.epoch) for claim in claims)

    def note_isolated(self, now: float) -> None:
        """Record that the leader reaches no instance at this time."""
        self._isolated_at = now

    def adopt_loads(self, view: FleetView, now: float) -> None:
        """Take over the loads that the previous leader started."""
        for loads in view.loads.values():
            self._loads.adopt(loads, now)

    def forget_loads(self, orders: Iterable[Order]) -> None:
        """Drop loads whose orders were not sent."""
        for order in orders:
            self._loads.running.pop(order.instance, None)

    def list_loads(self) -> dict[str, str]:
        """Return the model that each loading instance loads."""
        return {name: model for name, (model, _) in self._loads.running.items()}

    def note_result(self, order: Order, result: OrderResult, now: float) -> None:
        """Record the result of an order."""
        if result is OrderResult.DROPPED and order.kind is not OrderKind.STAGE:
            self._ledger.forget(order)
        if order.kind is not OrderKind.LEAVE:
            return
        entry = self._leaving.pop((order.instance, order.epoch), None)
        if result.definite and entry is not None:
            self._left[order.instance] = entry
        record = self._records.get((order.group, order.epoch))
        if record is None:
            return
        if result.definite:
            record.confirmed_left.add(order.instance)
        elif order.instance == order.members[0]:
            record.head_failures += 1

    def note_unresponsive(self, name: str, now: float, *, silent: bool) -> None:
        """Record that an instance does not answer.

        :param silent: whether it is silent, rather than refusing connections.
        """
        self.unresponsive.add(name)
        if silent:
            self.silent_since.setdefault(name, now)
        else:
            self.silent_since.pop(name, None)

    def note_responsive(self, name: str) -> None:
        """Record that an instance answers."""
        self.unresponsive.discard(name)
        self.silent_since.pop(name, None)

    def _note_start(self, instance: FleetInstance) -> None:
        """Drop the state of an instance that has restarted.

        It has lost its group membership and any load in progress.
        """
        before = self._started_ms.get(instance.name, 0)
        self._started_ms[instance.name] = instance.born
        if 0 < before < instance.born:
            self._ledger.forget_instance(instance.name)
            self._left.pop(instance.name, None)
            self._loads.running.pop(instance.name, None)
            self.note_responsive(instance.name)

    # -- decisions ----------------------------------------------------------------

    def is_due(self, order: Order, view: FleetView) -> bool:
        """Whether what made an order right still holds by the newest entries."""
        if order.kind not in (OrderKind.JOIN, OrderKind.OPEN, OrderKind.LEAVE):
            return True
        instance = view.instances.get(order.instance)
        if order.kind is OrderKind.LEAVE:
            claim = _find_claim(order, instance, view)
            return claim is None or self._is_retired(claim)
        if instance is None or view.is_lapsed(order.instance):
            return False
        claim = _find_claim(order, instance, view)
        if claim is None:
            # Groups that only load weights have no claim.
            is_claimed = any(
                instance.name in item.members for item in _list_claims(instance, view)
            )
            if is_claimed or not is_warmup_group(order.group):
                return False
        elif self._is_retired(claim):
            return False
        elif order.kind is OrderKind.OPEN:
            return _are_all_ready(claim, view)
        in_group = _reports(instance, order.group, order.epoch)
        return in_group or self._may_join(instance, view)

    def _is_retired(self, claim: GroupClaim) -> bool:
        """Whether a group is being ended."""
        record = self._records.get((claim.name, claim.epoch))
        return record is not None and bool(record.retire_reason)

    def decide(
        self,
        view: FleetView,
        service: Service,
        work: Mapping[str, float],
        now: float,
        *,
        loads_fast: bool,
        instances_stable: bool,
    ) -> Decision:
        """Return the next actions for the groups of one service.

        :param work: arriving work by model, in instance-seconds per second.
        :param now: monotonic time in seconds.
        :param loads_fast: whether no request has arrived yet, so that loads are fast
            and are not limited.
        :param instances_stable: whether the list of instances has stopped changing.
        """
        engine = service.engine
        if engine is None:
            return Decision()
        orders: list[Order] = []
        retired: list[tuple[str, str]] = []
        dropped: set[tuple[str, int]] = set()
        if len(self._last_seen) > 2 * len(view.instances):
            self._last_seen.clear()
        for instance in view.instances.values():
            if self._last_seen.get(instance.name) is not instance:
                self._last_seen[instance.name] = instance
                self._ledger.addresses[instance.name] = instance.address
                self._note_start(instance)
        claims = [item for item in view.all_claims() if item.service == service.name]
        orders += self._evict_unclaimed(view, service, claims, now)
        for claim in claims:
            record = self._find_record(claim, now)
            if record.converting_to and view.is_being_evacuated(claim):
                # The new group could not be claimed; the old one opens again.
                record.converting_to = ''
            if self._is_stable(claim, view, engine, record):
                continue
            if not record.retire_reason:
                reason = self._find_failure(claim, view, engine, record, now)
                if reason:
                    record.retire_reason = reason
                    retired.append((claim.name, reason))
            if record.retire_reason:
                orders += self._retire(claim, view, record, now)
                if self._may_release_members(claim, view, record):
                    dropped.add((claim.name, claim.epoch))
            else:
                orders += self._advance(claim, view, record, now)
                self._record_stable(claim, view, engine, record)
        kept = [item for item in claims if (item.name, item.epoch) not in dropped]
        reserved = self._list_reserved(kept)
        snapshot = ServiceSnapshot(
            view,
            service,
            engine,
            kept,
            [item for item in claims if (item.name, item.epoch) in dropped],
            self._list_free(view, service, kept),
            work,
            now,
            loads_fast,
            instances_stable,
            reserved,
        )
        if not loads_fast and not reserved:
            snapshot = replace(snapshot, reserved=self._start_conversion(snapshot))
        changes, more = self._placer.place(snapshot)
        return Decision(tuple(changes), tuple(orders + more), tuple(retired))

    def _evict_unclaimed(
        self, view: FleetView, service: Service, claims: list[GroupClaim], now: float
    ) -> list[Order]:
        """Return orders to leave for instances in groups without a claim."""
        claimed = {name for claim in claims for name in claim.members}
        orders: list[Order] = []
        for instance in view.instances.values():
            membership = instance.membership
            if instance.service != service.name or membership is None:
                continue
            if instance.name in claimed or self._may_stay_unclaimed(instance, view):
                continue
            orders += self._leave_reported(instance, membership, now)
        return orders

    def _leave_reported(
        self, instance: FleetInstance, membership: Membership, now: float
    ) -> list[Order]:
        """Return the order by which an instance leaves the group that it reports."""
        order = Order(
            OrderKind.LEAVE,
            instance.name,
            instance.address,
            membership.group,
            membership.epoch,
            members=('',),
        )
        return self._leave(order, instance, now)

    def _leave(
        self, order: Order, instance: FleetInstance | None, now: float
    ) -> list[Order]:
        """Return an order to leave if it is due.

        :param instance: the present entry of the instance; ``None`` for none.
        """
        orders = self._ledger.list_if_due(order, LEAVE_RETRY_S, now)
        if orders and instance is not None:
            self._leaving.setdefault((order.instance, order.epoch), instance)
        return orders

    def _may_stay_unclaimed(self, instance: FleetInstance, view: FleetView) -> bool:
        """Whether an unclaimed instance may stay in the group that it reports."""
        if is_warming_up(instance):
            return _find_state(instance) is GroupState.JOINING
        return self._may_join(instance, view)

    def _may_join(self, instance: FleetInstance, view: FleetView) -> bool:
        """Whether an instance may join another group than the one that it reports."""
        membership = instance.membership
        if membership is None or membership.state is GroupState.BROKEN:
            return True
        if is_warming_up(instance) or self._has_left(instance):
            return True
        ended = self._ended_groups.get((membership.group, membership.epoch))
        if ended is None:
            return False
        if not ended.may_reopen:
            return True
        # A head that reports the group again was brought back by a late order to join,
        # and a late order to open may follow.
        head = view.instances.get(ended.head)
        if instance.name == ended.head or head is None or view.is_lapsed(ended.head):
            return False
        return (
            self._has_left(head)
            or _find_state(head) is GroupState.BROKEN
            or not _reports(head, membership.group, membership.epoch)
        )

    def _has_left(self, instance: FleetInstance) -> bool:
        """Whether an instance's entry is from before it confirmed that it left.

        An instance that is cut off from the store cannot write another one.
        """
        return self._left.get(instance.name) is instance

    def _find_record(self, claim: GroupClaim, now: float) -> _GroupRecord:
        key = (claim.name, claim.epoch)
        record = self._records.get(key)
        if record is None:
            record = _GroupRecord(now, may_be_open=key not in self._unopened)
            self._records[key] = record
        return record

    def _record_stable(
        self,
        claim: GroupClaim,
        view: FleetView,
        engine: EngineProfile,
        record: _GroupRecord,
    ) -> None:
        """Record a group that serves with all members, to skip it until it changes.

        Most groups are in this state: checking all 1,076 again took 44% of the time of
        a decision.
        """
        record.stable_members = ()
        group = view.find_open(claim)
        if group is None or record.converting_to:
            return
        if not any(item.draining for item in group.members):
            record.stable_members = group.members
            record.stable_engine = engine

    def _is_stable(
        self,
        claim: GroupClaim,
        view: FleetView,
        engine: EngineProfile,
        record: _GroupRecord,
    ) -> bool:
        """Whether a group that served with all members has not changed since."""
        if not record.stable_members or record.converting_to or record.retire_reason:
            return False
        if record.stable_engine is not engine:
            return False
        if self.unresponsive and not self.unresponsive.isdisjoint(claim.members):
            return False
        instances = view.instances
        return all(instances.get(item.name) is item for item in record.stable_members)

    def _find_failure(
        self,
        claim: GroupClaim,
        view: FleetView,
        engine: EngineProfile,
        record: _GroupRecord,
        now: float,
    ) -> str:
        """Return the reason to end a group, or an empty string."""
        head = view.instances.get(claim.head)
        serving = _is_member(head, claim) and _find_state(head) in (
            GroupState.OPEN,
            GroupState.CLOSING,
        )
        for name in claim.members:
            instance = view.instances.get(name)
            if name in self.unresponsive:
                if serving and self._may_answer_again(name, claim, view, now):
                    continue
                return f'{name} does not answer'
            if instance is None:
                if serving and self._may_finish(name, claim, view, record, now):
                    continue
                return f'{name} is no longer listed'
            if (
                _is_member(instance, claim)
                and _find_state(instance) is GroupState.BROKEN
            ):
                return f'{name} reports that the group is broken'
            if serving and not _is_member(instance, claim) and not view.is_lapsed(name):
                return f'{name} left the group'
            if instance.draining and not (
                serving and self._may_run_requests(claim, view)
            ):
                return f'{name} is leaving'
        if record.converting_to and not serving:
            return 'its members are needed for another model'
        model = engine.find_model(claim.model)
        if model is None:
            return f'model {claim.model} is no longer configured'
        # Orders reach no member while the leader has no path to any instance.
        began_at = max(record.first_seen_at, self._isolated_at)
        if not serving and now - began_at > model.load_s * 2 + FORM_TIMEOUT_MARGIN_S:
            return 'the group did not form in time'
        return ''

    def _may_answer_again(
        self, name: str, claim: GroupClaim, view: FleetView, now: float
    ) -> bool:
        """Whether an instance is silent, and not known to have failed.

        Silence only tells failed instances from others while others answer, and those
        that go on together do not answer at the same moment.
        """
        since = self.silent_since.get(name)
        if since is None:
            return False
        if now - since < SILENCE_GRACE_S:
            return True
        if name not in view.instances or view.is_lapsed(name):
            return False
        has_requests = self.count_in_flight(claim.head) > 0
        if has_requests and now - since < SILENT_REQUESTS_GRACE_S:
            return True
        all_since = self._all_silent_at.get(claim.service, float('-inf'))
        if now - all_since >= SILENCE_GRACE_S:
            if not self._are_all_silent(claim.service, view):
                return False
            self._all_silent_at[claim.service] = now
        return True

    def _are_all_silent(self, service: str, view: FleetView) -> bool:
        """Whether all instances of a service that are in groups are silent."""
        return all(
            item.name in self.silent_since
            for item in view.instances.values()
            if item.service == service and item.membership is not None
        )

    def _may_finish(
        self,
        name: str,
        claim: GroupClaim,
        view: FleetView,
        record: _GroupRecord,
        now: float,
    ) -> bool:
        """Whether a group may finish running requests without a member's entry.

        It gets no new requests.  The member may still be serving: it leaves without
        notice, or it only lost its connection to the store.
        """
        if view.lost.has(name) or not self._may_run_requests(claim, view):
            return False
        if record.finishing_since is None:
            record.finishing_since = now
        return now - record.finishing_since < MEMBER_LOSS_GRACE_S

    @staticmethod
    def _may_run_requests(claim: GroupClaim, view: FleetView) -> bool:
        """Whether the head of a group that is ending may still run requests."""
        head = view.instances.get(claim.head)
        state = _find_state(head)
        return state is not None and state.may_serve

    def _advance(
        self, claim: GroupClaim, view: FleetView, record: _GroupRecord, now: float
    ) -> list[Order]:
        """Return the orders for the next step of a group's life cycle."""
        orders: list[Order] = []
        members = [view.instances.get(name) for name in claim.members]
        head = view.instances[claim.head]
        present = [item for item in members if item is not None]
        ends = len(present) < len(members) or any(item.draining for item in present)
        if record.converting_to or ends:
            order = _build_order(OrderKind.CLOSE, head.name, head.address, claim)
            return self._ledger.list_if_due(order, OPEN_RETRY_S, now)
        for instance in present:
            if _is_member(instance, claim) or view.is_lapsed(instance.name):
                continue
            membership = instance.membership
            if membership is not None and not self._may_join(instance, view):
                orders += self._leave_reported(instance, membership, now)
                continue
            order = _build_order(OrderKind.JOIN, instance.name, instance.address, claim)
            orders += self._ledger.list_if_due(order, JOIN_RETRY_S, now)
        if _are_all_ready(claim, view):
            record.may_be_open = True
            order = _build_order(OrderKind.OPEN, head.name, head.address, claim)
            orders += self._ledger.list_if_due(order, OPEN_RETRY_S, now)
        return orders

    def _retire(
        self, claim: GroupClaim, view: FleetView, record: _GroupRecord, now: float
    ) -> list[Order]:
        """Return the orders that end a group.

        While the head answers, only it is ordered to leave; the other members can join
        their next group directly.
        """
        if not record.may_be_open:
            return []
        orders: list[Order] = []
        # A head that is no longer listed may still serve at its last address.
        address = self._ledger.addresses.get(claim.head)
        tries_left = record.head_failures < MAX_UNANSWERED_LEAVES
        if (
            address is not None
            and claim.head not in record.confirmed_left
            and tries_left
        ):
            order = _build_order(OrderKind.LEAVE, claim.head, address, claim)
            orders += self._leave(order, view.instances.get(claim.head), now)
        if self._is_unresponsive(claim.head, view, record):
            for instance in self._list_remaining(claim, view, record):
                order = _build_order(
                    OrderKind.LEAVE, instance.name, instance.address, claim
                )
                orders += self._leave(order, instance, now)
        return orders

    def _is_unresponsive(
        self, head: str, view: FleetView, record: _GroupRecord
    ) -> bool:
        """Whether no answer is expected from a head."""
        gone = head not in view.instances or head not in self._ledger.addresses
        return (
            gone
            or head in self.unresponsive
            or record.head_failures >= MAX_UNANSWERED_LEAVES
        )

    def _list_remaining(
        self, claim: GroupClaim, view: FleetView, record: _GroupRecord
    ) -> list[FleetInstance]:
        """Return the members except the head that are not known to have left."""
        members = [view.instances.get(name) for name in claim.members[1:]]
        return [
            item
            for item in members
            if item is not None
            and item.name not in self.unresponsive
            and item.name not in record.confirmed_left
            and _is_member(item, claim)
        ]

    def _may_release_members(
        self, claim: GroupClaim, view: FleetView, record: _GroupRecord
    ) -> bool:
        """Whether the members may join another group."""
        key = (claim.name, claim.epoch)
        head = view.instances.get(claim.head)
        if not record.may_be_open or claim.head in record.confirmed_left:
            ended = _EndedGroup(claim.head, record.may_be_open)
            self._ended_groups.setdefault(key, ended)
            return True
        if head is not None and claim.head not in self.unresponsive:
            gone = not _is_member(head, claim) or _find_state(head) is GroupState.BROKEN
            if gone and not view.is_lapsed(claim.head):
                self._ended_groups.setdefault(key, _EndedGroup(claim.head, True))
                return True
        if not self._is_unresponsive(claim.head, view, record):
            return False
        return not self._list_remaining(claim, view, record)

    # -- free instances ----------------------------------------------------------

    def _list_free(
        self, view: FleetView, service: Service, claims: list[GroupClaim]
    ) -> dict[str, list[FleetInstance]]:
        """Return the instances that may join a group, by fabric domain.

        Domains in zones whose evacuation is requested are left out.
        """
        claimed = {name for claim in claims for name in claim.members}
        found: dict[str, list[FleetInstance]] = {}
        for instance in view.instances.values():
            if instance.service != service.name or instance.draining:
                continue
            if view.evacuations.is_requested(instance.availability_zone):
                continue
            usable = (
                instance.name not in claimed
                and instance.name not in self.unresponsive
                and not view.lost.has(instance.name)
                and not view.is_lapsed(instance.name)
                and self._may_join(instance, view)
            )
            free = found.setdefault(instance.domain, [])
            if usable:
                free.append(instance)
        return found

    def _list_reserved(self, claims: Iterable[GroupClaim]) -> dict[str, str]:
        """Return the models for which groups are being ended, by fabric domain."""
        found: dict[str, str] = {}
        for claim in claims:
            record = self._records.get((claim.name, claim.epoch))
            if record is not None and record.converting_to:
                found[claim.domain] = record.converting_to
        return found

    def _start_conversion(self, snapshot: ServiceSnapshot) -> dict[str, str]:
        """Start ending groups for one of another model, in one domain at a time."""
        found = self._placer.choose_conversion(snapshot)
        if found is None:
            return {}
        for claim in snapshot.claims:
            if claim.name in found.ended:
                self._records[claim.name, claim.epoch].converting_to = found.model
        return {found.domain: found.model}


def _find_state(instance: FleetInstance | None) -> GroupState | None:
    if instance is None or instance.membership is None:
        return None
    return instance.membership.state


def _reports(instance: FleetInstance | None, group: str, epoch: int) -> bool:
    """Whether an instance reports that it belongs to a group."""
    if instance is None or instance.membership is None:
        return False
    membership = instance.membership
    return membership.group == group and membership.epoch == epoch


def _is_member(instance: FleetInstance | None, claim: GroupClaim) -> bool:
    return _reports(instance, claim.name, claim.epoch)


def _are_all_ready(claim: GroupClaim, view: FleetView) -> bool:
    """Whether all members have joined a group, and none is leaving."""
    members = (view.instances.get(name) for name in claim.members)
    return all(
        item is not None
        and not item.draining
        and _is_member(item, claim)
        and _find_state(item) is GroupState.READY
        for item in members
    )


def _list_claims(instance: FleetInstance, view: FleetView) -> tuple[GroupClaim, ...]:
    """Return the claims of the fabric domain of an instance."""
    return view.claims.get(claim_key(instance.service, instance.domain), ())


def _find_claim(
    order: Order, instance: FleetInstance | None, view: FleetView
) -> GroupClaim | None:
    """Return the claim of the group that an order is for."""
    claims = view.all_claims() if instance is None else _list_claims(instance, view)
    for claim in claims:
        if (claim.name, claim.epoch) == (order.group, order.epoch):
            return claim
    return None


def _build_order(kind: OrderKind, name: str, address: str, claim: GroupClaim) -> Order:
    return Order(
        kind, name, address, claim.name, claim.epoch, claim.model, claim.members
    )
