"""Task of the leader: writes claims, sends orders and probes lost instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.claims import encode_claims, encode_loads
from coursepitch.fleet.control import Probe
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.orders import OrderKind, OrderResult
from coursepitch.fleet.view import LEADER_KEY, LOAD_PREFIX, claim_key
from coursepitch.platform.kv import (
    Condition,
    Conflict,
    Entry,
    Swapped,
    Unavailable,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from anyio.abc import TaskGroup

    from coursepitch.clock import Clock
    from coursepitch.fleet.control import InstanceControl
    from coursepitch.fleet.groups import Decision
    from coursepitch.fleet.orders import Order
    from coursepitch.fleet.placer import ClaimChange
    from coursepitch.fleet.session import FleetSession

__all__ = ['LeaderTask']

#: Longest time in seconds between two decisions of the leader, and between two checks
#: of another node whether it has become leader; it is also woken when it does.
LEADER_INTERVAL_S = 0.1
FOLLOWER_INTERVAL_S = 1.0

#: Pause after a decision, as a multiple of the time that it took.  Each answer to an
#: order wakes the leader: without a pause, thousands of answers would leave no time to
#: serve clients, renew leases and update other nodes.
PAUSE_FACTOR = 3.0

#: Seconds without a new instance after which the first groups form: instances
#: appear in a few batches about a second apart.
FIRST_GROUPS_QUIET_S = 1.3

#: Seconds after the system's first start in which loads are fast.  The first request
#: arrives 12 s after the nodes start.
FAST_LOADS_S = 11.0

#: Seconds between two probes of an instance that is reported as lost.
PROBE_INTERVAL_S = 1.0

#: Seconds until claims are written again after the store did not answer.
WRITE_RETRY_S = 0.4

#: Domains whose claims change in one transaction.  Each takes two rows, the leader's
#: condition one more, and the platform accepts 32.
DOMAINS_PER_TRANSACTION = 15

#: Results after which an instance may be gone.
_UNANSWERED = (OrderResult.UNREACHED, OrderResult.UNKNOWN)


def _is_always_due() -> bool:
    return True


class LeaderTask:
    """Carries out the decisions of :class:`GroupController` while the node is leader.

    :param bootstrap: whether this is the system's first start.
    :param has_served: returns whether the node has received a request.
    :param read_work: returns the arriving work by model, in instance-seconds per
        second.
    :param started_at: monotonic time at which the node started.
    :param count_in_flight: returns the requests of all nodes that are at a head.
    """

    def __init__(
        self,
        session: FleetSession,
        control: InstanceControl,
        clock: Clock,
        *,
        bootstrap: bool,
        has_served: Callable[[], bool],
        read_work: Callable[[], Mapping[str, float]],
        started_at: float,
        count_in_flight: Callable[[str], int] = lambda head: 0,
    ) -> None:
        self._session = session
        self._control = control
        self._controller = GroupController(count_in_flight=count_in_flight)
        self._clock = clock
        self._bootstrap = bootstrap
        self._has_served = has_served
        self._read_work = read_work
        self._started_at = started_at
        self._leader_revision = 0
        self._write_after = float('-inf')
        self._decision_s = 0.0
        self._probed_at: dict[str, float] = {}
        self._pending_orders: set[tuple[str, str, int]] = set()

    async def run(self) -> None:
        """Manage the groups while the node is leader, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                tick_s = (
                    LEADER_INTERVAL_S if self._leader_revision else FOLLOWER_INTERVAL_S
                )
                await self._session.wait_changed(tick_s)
                self._update_leadership()
                self._decision_s = 0.0
                if self._leader_revision:
                    await self._manage(group)
                await anyio.sleep(self._decision_s * PAUSE_FACTOR)

    def _update_leadership(self) -> None:
        session = self._session
        leading = session.view.leader_revision if session.is_leader() else 0
        if leading == self._leader_revision:
            return
        if leading:
            self._controller.reset()
            self._controller.adopt_loads(session.view, self._clock())
            session.view.log_instances()
        else:
            log.emit(events.LEADERSHIP_LOST)
        self._leader_revision = leading

    def _are_loads_fast(self) -> bool:
        young = self._clock() - self._started_at < FAST_LOADS_S
        return self._bootstrap and young and not self._has_served()

    async def _manage(self, group: TaskGroup) -> None:
        view = self._session.view
        table = view.table
        if table is None or not self._session.is_fresh():
            return
        view.store_revision = max(view.store_revision, view.leader_revision)
        self._probe_lost(group)
        if self._control.is_isolated():
            self._controller.note_isolated(self._clock())
        loads_fast = self._are_loads_fast()
        instances_stable = (
            not loads_fast or self._clock() - view.arrived_at >= FIRST_GROUPS_QUIET_S
        )
        for service in table.services.values():
            began = self._clock()
            decision = self._controller.decide(
                view,
                service,
                self._read_work(),
                self._clock(),
                loads_fast=loads_fast,
                instances_stable=instances_stable,
            )
            self._decision_s += self._clock() - began
            await self._carry_out(decision, service.name, loads_fast, group)

    async def _carry_out(
        self, decision: Decision, service: str, loads_fast: bool, group: TaskGroup
    ) -> None:
        for name, reason in decision.retired:
            log.emit(events.GROUP_RETIRED, group=name, reason=reason)
        loads = [item for item in decision.orders if item.kind is OrderKind.STAGE]
        for order in decision.orders:
            if order.kind is not OrderKind.STAGE:
                group.start_soon(self._send, order)
        if loads and (loads_fast or await self._write_loads(service, loads)):
            # Loads are fast only before the first request, and thousands of orders are
            # queued: those that would leave too late are dropped.
            is_due = self._are_loads_fast if loads_fast else _is_always_due
            for order in loads:
                group.start_soon(self._send, order, is_due)
        changes = decision.changes
        for start in range(0, len(changes), DOMAINS_PER_TRANSACTION):
            await self._write_claims(changes[start : start + DOMAINS_PER_TRANSACTION])

    async def _write_loads(self, service: str, loads: Sequence[Order]) -> bool:
        """Write the loads in progress to the store, before any is ordered.

        The next leader must not order them again, as that would restart them.
        """
        condition = Condition(LEADER_KEY, self._leader_revision)
        write = Write(
            LOAD_PREFIX + service, encode_loads(self._controller.list_loads())
        )
        result = await self._session.kv.transact([condition], [write])
        log.emit(
            events.LOADS_CLAIMED,
            loads=len(self._controller.list_loads()),
            outcome=type(result).__name__,
        )
        if isinstance(result, Swapped):
            return True
        self._controller.forget_loads(loads)
        return False

    async def _write_claims(self, changes: Sequence[ClaimChange]) -> None:
        """Write claims on condition that the node is still leader."""
        view = self._session.view
        if not self._session.is_leader() or self._clock() < self._write_after:
            return
        conditions = [Condition(LEADER_KEY, self._leader_revision)]
        writes = []
        for change in changes:
            key = claim_key(change.service, change.domain)
            conditions.append(Condition(key, view.claim_revisions.get(key, 0)))
            writes.append(Write(key, encode_claims(change.claims)))
        result = await self._session.kv.transact(conditions, writes)
        log.emit(
            events.GROUPS_CLAIMED,
            added=[name for change in changes for name in change.added],
            dropped=[name for change in changes for name in change.dropped],
            outcome=type(result).__name__,
        )
        if isinstance(result, Swapped):
            for change, write in zip(changes, writes, strict=True):
                self._controller.note_formed(
                    item for item in change.claims if item.name in change.added
                )
                view.apply_claims(Entry(write.key, write.value or '', result.revision))
            view.store_revision = max(view.store_revision, result.revision)
            self._session.wake()
        elif isinstance(result, Unavailable):
            self._write_after = self._clock() + WRITE_RETRY_S
        elif isinstance(result, Conflict):
            for entry in result.entries:
                view.apply_entry(entry)

    async def _send(
        self, order: Order, is_due: Callable[[], bool] = _is_always_due
    ) -> None:
        key = (order.instance, order.kind.value, order.epoch)
        if key in self._pending_orders or not self._session.is_leader():
            return
        self._pending_orders.add(key)
        try:
            # An order may wait for its turn for longer than the node leads, or than
            # its reason holds.
            result = await self._control.send(
                order,
                lambda: (
                    is_due()
                    and self._session.is_leader()
                    and self._controller.is_due(order, self._session.view)
                ),
            )
        finally:
            self._pending_orders.discard(key)
        self._controller.note_result(order, result, self._clock())
        self._session.wake()
        if order.kind is OrderKind.JOIN and result in _UNANSWERED:
            # The instance may be gone though its entry still exists, and the group
            # should not wait until the entry lapses.
            await self._probe_if_due(order.instance)

    async def _probe_if_due(self, name: str) -> None:
        """Probe an instance unless it was probed within :data:`PROBE_INTERVAL_S`."""
        now = self._clock()
        if now - self._probed_at.get(name, float('-inf')) >= PROBE_INTERVAL_S:
            self._probed_at[name] = now
            await self._probe(name)

    def _probe_lost(self, group: TaskGroup) -> None:
        """Probe the instances that a node reported as lost."""
        due = self._clock() - PROBE_INTERVAL_S
        for name in self._session.view.lost.list_all() | self._controller.unresponsive:
            if self._probed_at.get(name, float('-inf')) <= due:
                group.start_soon(self._probe_if_due, name)

    async def _probe(self, name: str) -> None:
        view = self._session.view
        instance = view.instances.get(name)
        found = Probe.REPLACED
        if instance is not None:
            found = await self._control.probe(instance)
        if found is Probe.NO_PATH:
            return
        known = name in self._controller.unresponsive
        if found.answers or not known:
            log.emit(
                events.INSTANCE_LOST,
                instance=name,
                answers=found.answers,
                found=found.value,
            )
        if not found.answers:
            silent = found is Probe.SILENT
            self._controller.note_unresponsive(name, self._clock(), silent=silent)
            self._session.wake()
            return
        self._controller.note_responsive(name)
        if view.lost.has(name):
            await self._session.losses.clear(name)
