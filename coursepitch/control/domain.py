"""Task that observes a fabric domain and, as its duty holder, sends orders."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.control.claims import (
    Claims,
    Member,
    Replica,
    claims_key,
    decode_claims,
    encode_claims,
    set_replica_state,
)
from coursepitch.control.duties import domain_duty, holds_duty
from coursepitch.control.lifecycle import (
    HealthCheck,
    LifecycleLimits,
    Order,
    Step,
    add_check,
    decide_step,
    is_only_silent,
    passes_check,
)
from coursepitch.errors import CodecError, TargetError
from coursepitch.peers.records import (
    DomainBody,
    LoadBody,
    ObservedMember,
    ObservedReplica,
)
from coursepitch.platform.kv import Swapped, swap_with_readback
from coursepitch.platform.watch import follow_prefix

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.config.settings import TargetSettings
    from coursepitch.control.chart import Chart
    from coursepitch.control.reach import EngineReach
    from coursepitch.control.session import Session
    from coursepitch.platform.kv import Entry, Events, KeyValue
    from coursepitch.targets.engine import EngineControl

__all__ = ['DomainController', 'rebuild_claims']


#: Minimum seconds between two rounds of checks; used as the whole pause after a
#: replica changed state.
MIN_PAUSE_S = 0.05

#: Seconds for which one watch request on the claims waits.
WATCH_WAIT_S = 20.0


def rebuild_claims(domain: str, body: DomainBody) -> Claims:
    """Reconstruct claims from an observation published by another node."""
    replicas = tuple(
        Replica(
            seen.name,
            seen.group,
            seen.state,
            seen.model,
            seen.version,
            seen.adapters,
            seen.availability_zone,
            tuple(Member(item.instance, item.address) for item in seen.members),
        )
        for seen in body.replicas
    )
    return Claims(domain, body.epoch, replicas)


def _list_served(body: DomainBody) -> dict[str, str]:
    """Return the replicas that instances serve by instance, as another node saw it."""
    return {
        member.instance: replica.name
        for replica in body.replicas
        for member in replica.members
        if member.good or member.silent
    }


class DomainController:
    """Observes a fabric domain and advances its replicas while holding its duty."""

    def __init__(
        self,
        domain: str,
        me: str,
        session: Session,
        kv: KeyValue,
        engines: EngineControl,
        settings: TargetSettings,
        chart: Chart,
        publish: Callable[[str, DomainBody, LoadBody, float], None],
        clock: Clock,
        known: DomainBody | None,
        reach: EngineReach,
    ) -> None:
        self._reach = reach
        self._domain = domain
        self._me = me
        self._session = session
        self._kv = kv
        self._engines = engines
        self._settings = settings
        self._chart = chart
        self._publish = publish
        self._clock = clock
        self._claims = rebuild_claims(domain, known) if known else Claims(domain)
        self._revision = known.claims_revision if known else 0
        self._checks: dict[str, HealthCheck] = {}
        #: Name of the replica that each instance served at its last answer.
        self._served = _list_served(known) if known else {}
        self._state_since: dict[tuple[str, str], float] = {}
        self._missing_members: set[str] = set()
        self._replica_moved = False
        self._claims_changed = anyio.Event()
        # Claims reconstructed from a peer record lack the fields needed for orders.
        self._claims_confirmed = False
        self._acquired_epoch = ('', 0)
        self._took_over_at = 0.0
        self._limits = LifecycleLimits(
            settings.load_timeout_s,
            settings.evidence_limit_s + 1.0,
            settings.drain_timeout_s,
            settings.silence_limit_s,
        )

    async def run(self) -> None:
        """Watch claims, check members, publish and send orders until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_claims)
            while True:
                started = self._clock()
                self._replica_moved = False
                self._claims_changed = anyio.Event()
                await self._run_round()
                pause_s = self._settings.check_interval_s - (self._clock() - started)
                if self._replica_moved:
                    pause_s = MIN_PAUSE_S
                await anyio.sleep(MIN_PAUSE_S)
                with anyio.move_on_after(max(0.0, pause_s - MIN_PAUSE_S)):
                    await self._claims_changed.wait()

    def _may_act(self) -> bool:
        """Return whether this node may currently write claims and send orders."""
        if not self._claims_confirmed:
            return False
        view = self._session.view.value
        return holds_duty(view, domain_duty(self._domain), self._me, self._clock())

    async def _run_round(self) -> None:
        may_act = self._may_act() and await self._acquire_epoch()
        asked_at = self._clock()
        before = self._checks
        await self._check_members()
        if not await self._is_evidence():
            # What this node may have failed to see counts for no member later.
            self._checks = before
            return
        self._publish(
            self._domain, self._describe_domain(), self._describe_load(), asked_at
        )
        if may_act and self._may_act():
            for replica in self._claims.replicas:
                await self._advance_replica(replica)

    async def _watch_claims(self) -> None:
        """Follow changes of the claims; keep the last known ones in an outage."""
        key = claims_key(self._domain)

        async def apply_events(found: Events) -> None:
            for entry in found.entries:
                newer = entry.revision > self._revision or not self._claims_confirmed
                if entry.key == key and newer:
                    self._load_claims(entry)
            self._claims_confirmed = True

        await follow_prefix(self._kv, key, WATCH_WAIT_S, apply_events)

    def _load_claims(self, entry: Entry) -> None:
        try:
            self._claims = decode_claims(self._domain, entry.value)
        except CodecError as error:
            log.emit(events.CLAIMS_DAMAGED, domain=self._domain, reason=str(error))
            return
        self._revision = entry.revision
        self._claims_changed.set()

    async def _acquire_epoch(self) -> bool:
        """Increment the epoch, unless this holder already did so under its lease.

        The epoch is sent with every order, so that members can reject orders from
        previous holders.
        """
        lease = self._session.view.value.lease.name
        if (lease, self._claims.epoch) == self._acquired_epoch:
            return True
        claims = dataclasses.replace(self._claims, epoch=self._claims.epoch + 1)
        if not await self._write_claims(claims):
            return False
        self._acquired_epoch = (lease, claims.epoch)
        self._took_over_at = self._clock()
        return True

    async def _write_claims(self, claims: Claims) -> bool:
        key = claims_key(self._domain)
        result = await swap_with_readback(
            self._kv, key, encode_claims(claims), self._revision
        )
        if not isinstance(result, Swapped):
            return False
        self._claims = claims
        self._revision = result.revision
        return True

    # -- checks ---------------------------------------------------------------

    async def _check_members(self) -> None:
        members = [item for rep in self._claims.replicas for item in rep.members]
        names = {member.instance for member in members}
        self._checks = {n: c for n, c in self._checks.items() if n in names}
        self._served = {n: r for n, r in self._served.items() if n in names}
        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(self._check_member, member)

    async def _is_evidence(self) -> bool:
        """Return whether the checks tell of the members rather than of this node."""
        if not self._checks or any(item.answered for item in self._checks.values()):
            return True
        return await self._reach.confirm()

    async def _check_member(self, member: Member) -> None:
        check = await self._engines.check(member.address)
        if check.silent_s:
            # The time until the next check counts as well.
            silent_s = max(check.silent_s, self._settings.check_interval_s)
            check = dataclasses.replace(check, silent_s=silent_s)
        before = self._checks.get(member.instance)
        self._checks[member.instance] = add_check(before, check)

    def _describe_domain(self) -> DomainBody:
        replicas = tuple(self._describe_replica(rep) for rep in self._claims.replicas)
        return DomainBody(self._claims.epoch, self._revision, replicas)

    def _describe_replica(self, replica: Replica) -> ObservedReplica:
        members = []
        for member in replica.members:
            check = self._checks.get(member.instance)
            good = passes_check(replica, check)
            answers = check is not None and check.answered
            silent = self._note_served(replica, member.instance, check, good)
            members.append(
                ObservedMember(member.instance, member.address, good, answers, silent)
            )
            self._log_missing_member(replica, member.instance, good)
        return ObservedReplica(
            replica.name,
            replica.group,
            replica.state,
            replica.model,
            replica.version,
            replica.adapters,
            replica.availability_zone,
            tuple(members),
        )

    def _note_served(
        self, replica: Replica, instance: str, check: HealthCheck | None, good: bool
    ) -> bool:
        """Note if a member serves; return whether only silence speaks against it."""
        if is_only_silent(check):
            return self._served.get(instance) == replica.name
        if good:
            self._served[instance] = replica.name
        else:
            self._served.pop(instance, None)
        return False

    def _describe_load(self) -> LoadBody:
        firsts = [rep.members[0].instance for rep in self._claims.replicas]
        checks = [self._checks.get(name) for name in firsts]
        running = tuple(check.running if check else 0 for check in checks)
        return LoadBody(self._revision, running)

    def _log_missing_member(self, replica: Replica, instance: str, good: bool) -> None:
        if (
            replica.state == 'serving'
            and not good
            and instance not in self._missing_members
        ):
            self._missing_members.add(instance)
            log.emit(events.MEMBER_MISSING, replica=replica.name, instance=instance)
        elif good:
            self._missing_members.discard(instance)

    # -- life cycle ------------------------------------------------------------------

    async def _advance_replica(self, replica: Replica) -> None:
        now = self._clock()
        since = self._state_since.setdefault((replica.name, replica.state), now)
        step = decide_step(
            self._chart, replica, self._checks, now - since, self._limits
        )
        if step.event:
            await self._move_replica(replica, step.event)
        elif step.order:
            await self._send_orders(replica, step)

    async def _move_replica(self, replica: Replica, event: str) -> None:
        held = self._claims.find(replica.name)
        if held is None or held.state != replica.state:
            # The claims changed while the members were being checked.
            return
        state = self._chart.next_state(replica.state, event)
        with log.continue_action(replica.cause, 'replica.move'):
            gone = state == self._chart.final
            claims = set_replica_state(
                self._claims, replica.name, None if gone else state
            )
            if await self._write_claims(claims):
                self._state_since.pop((replica.name, replica.state), None)
                self._replica_moved = True
                log.emit(
                    events.REPLICA_MOVED,
                    replica=replica.name,
                    source=replica.state,
                    state=state,
                    why=event,
                )

    async def _send_orders(self, replica: Replica, step: Step) -> None:
        for rank, member in enumerate(replica.members):
            if member.instance not in step.members or not self._may_order(member):
                continue
            try:
                await self._send_order(replica, rank, step.order)
            except TargetError as error:
                log.emit(
                    events.ORDER_FAILED,
                    instance=member.instance,
                    order=step.order.value if step.order else '',
                    reason=str(error),
                )

    def _may_order(self, member: Member) -> bool:
        """Return whether an order may be sent to a member; checked before each order.

        The duty must be certain to be held.  Members of a kind that does not check
        the epoch get orders only after ``takeover_wait_s``.
        """
        if not self._may_act():
            return False
        if member.kind in self._settings.unfenced_kinds:
            waited = self._clock() - self._took_over_at
            return waited >= self._settings.takeover_wait_s
        return True

    async def _send_order(
        self, replica: Replica, rank: int, order: Order | None
    ) -> None:
        member = replica.members[rank]
        epoch = self._claims.epoch
        if order is Order.LOAD:
            await self._engines.load(replica, rank, epoch)
        else:
            await self._engines.release(member.address, replica.name, epoch)
        log.emit(
            events.ORDER_SENT,
            instance=member.instance,
            order=order.value if order else '',
            replica=replica.name,
            epoch=epoch,
        )
