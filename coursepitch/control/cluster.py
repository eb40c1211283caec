"""Task of the cluster duty: snapshots, node registry, placement and metrics."""

from __future__ import annotations

import dataclasses
import secrets
from typing import TYPE_CHECKING, Any

import anyio

from coursepitch import events, log
from coursepitch.config.resources import Group, Key
from coursepitch.control.claims import (
    CLAIMS_PREFIX,
    Claims,
    Member,
    Replica,
    add_replica,
    claims_key,
    decode_claims,
    encode_claims,
    set_replica_state,
)
from coursepitch.control.duties import CLUSTER_DUTY, holds_duty
from coursepitch.control.placement import (
    Candidate,
    Fleet,
    FreeInstance,
    PlacedReplica,
    fleet_to_dict,
    plan_placement,
)
from coursepitch.control.service_metrics import compute_service_metrics
from coursepitch.control.silent_nodes import SilentNodes
from coursepitch.errors import CodecError, ConflictError, UnavailableError
from coursepitch.platform.kv import Events, Swapped, Unavailable, swap_with_readback

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from coursepitch.clock import Clock
    from coursepitch.config.settings import Settings
    from coursepitch.control.chart import Chart
    from coursepitch.control.fleet import InstanceListReader
    from coursepitch.control.session import Session
    from coursepitch.metrics import Metrics
    from coursepitch.peers.records import DomainBody, NodeBody
    from coursepitch.platform.instances import Instance
    from coursepitch.platform.kv import KeyValue
    from coursepitch.targets.engine import EngineControl

__all__ = ['ClusterController', 'PeerReader']

#: Seconds after which a node that has no lease and is not heard from is removed
#: from the registry.
NODE_REMOVAL_DELAY_S = 20.0

#: Seconds between two observations of which nodes are silent.
OBSERVATION_INTERVAL_S = 1.0

#: Seconds for which a replica must serve with all members healthy before every node
#: is assumed to know of it; longer than a peer record takes to cross all links.
REPLICA_SETTLE_S = 2.0


class PeerReader:
    """Access to the peer data that the cluster task needs."""

    def __init__(
        self,
        read_nodes: Callable[[], Mapping[str, NodeBody]],
        read_domains: Callable[[], Iterable[tuple[str, DomainBody]]],
        list_heard: Callable[[], Collection[str]],
    ) -> None:
        self.read_nodes = read_nodes
        self.read_domains = read_domains
        self.list_heard = list_heard


class ClusterController:
    """Runs the cluster duty while this node holds it."""

    def __init__(
        self,
        me: str,
        session: Session,
        kv: KeyValue,
        fleet: InstanceListReader,
        engines: EngineControl,
        settings: Settings,
        chart: Chart,
        peer_reader: PeerReader,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._me = me
        self._session = session
        self._kv = kv
        self._fleet = fleet
        self._engines = engines
        self._settings = settings
        self._chart = chart
        self._peer_reader = peer_reader
        self._metrics = metrics
        self._clock = clock
        self._silent_nodes = SilentNodes(clock)
        self._reset()

    def _reset(self) -> None:
        self._claims: dict[str, tuple[Claims, int]] = {}
        self._claims_revision = -1
        self._avoided_until: dict[str, float] = {}
        self._healthy_since: dict[str, float] = {}
        self._measured_at = self._clock()

    async def run(self) -> None:
        """Perform the duty whenever it is held, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._observe_nodes)
            await self._perform_duty()

    async def _perform_duty(self) -> None:
        held = False
        while True:
            if not self._holds_cluster_duty():
                held = False
                await anyio.sleep(0.2)
                continue
            if not held:
                self._reset()
                held = True
            await self._run_round()

    def _holds_cluster_duty(self) -> bool:
        view = self._session.view.value
        return holds_duty(view, CLUSTER_DUTY, self._me, self._clock())

    async def _run_round(self) -> None:
        await self._session.write_snapshot()
        await self._remove_silent_node()
        if await self._read_claims():
            self._update_metrics()
            await self._apply_plan()

    # -- configuration -----------------------------------------------------------

    async def _observe_nodes(self) -> None:
        """Observe which nodes are registered, without a lease and not heard from."""
        while True:
            view = self._session.view.value
            # Count only nodes heard from recently, as peer records are kept for a
            # minute after their node has stopped.
            present = {*view.live, *self._peer_reader.list_heard(), self._me}
            self._silent_nodes.observe(view.registered_nodes() - present)
            await anyio.sleep(OBSERVATION_INTERVAL_S)

    async def _remove_silent_node(self) -> None:
        """Remove at most one unresponsive node from the registry."""
        silent = self._silent_nodes.list_silent(NODE_REMOVAL_DELAY_S)
        if not silent or not self._holds_cluster_duty():
            return
        try:
            await self._session.record(Key('node', silent[0]), None)
        except (UnavailableError, ConflictError):
            return
        log.emit(events.NODE_FORGOTTEN, node=silent[0])

    # -- fleet state ----------------------------------------------------------------

    async def _read_claims(self) -> bool:
        """Read changed claims.

        Wait up to half a second for a change, which also sets the pace of the task.
        """
        if self._claims_revision < 0:
            found = await self._kv.list_prefix(CLAIMS_PREFIX)
        else:
            found = await self._kv.watch(CLAIMS_PREFIX, self._claims_revision, 0.5)
        if isinstance(found, Unavailable):
            await anyio.sleep(0.5)
            return False
        self._load_claims(found)
        return True

    def _load_claims(self, found: Events) -> None:
        for entry in found.entries:
            domain = entry.key.removeprefix(CLAIMS_PREFIX)
            try:
                claims = decode_claims(domain, entry.value)
            except CodecError as error:
                # The damaged value stays; placement cannot write to this domain.
                log.emit(events.CLAIMS_DAMAGED, domain=domain, reason=str(error))
                continue
            self._claims[domain] = (claims, entry.revision)
        self._claims_revision = found.revision

    def _describe_fleet(self) -> Fleet:
        now = self._clock()
        self._update_healthy_since(now)
        for _, body in self._peer_reader.read_domains():
            for seen in body.replicas:
                for member in seen.members:
                    if not member.answers and seen.state != 'claimed':
                        until = now + self._settings.placement.avoid_s
                        self._avoided_until[member.instance] = until
        self._avoided_until = {n: t for n, t in self._avoided_until.items() if t > now}
        claims = [held for held, _ in self._claims.values()]
        claimed = {name for held in claims for name in held.claimed_instances()}
        spares = tuple(
            FreeInstance(
                item.name, item.domain, item.availability_zone, item.accelerators
            )
            for item in self._fleet.instances
            if not item.leaving and item.name not in claimed
            if item.name not in self._avoided_until
        )
        placed = tuple(
            self._describe_replica(held.domain, replica)
            for held in claims
            for replica in held.replicas
        )
        resources = self._session.view.value.configuration.of_kind('group')
        groups = {
            item.key.name: item.spec
            for item in resources
            if isinstance(item.spec, Group)
        }
        return Fleet(groups, spares, placed)

    def _describe_replica(self, domain: str, replica: Replica) -> PlacedReplica:
        names = {member.instance for member in replica.members}
        return PlacedReplica(
            replica.name,
            replica.group,
            domain,
            replica.state,
            replica.model,
            replica.version,
            replica.adapters,
            replica.availability_zone,
            bool(names & self._list_leaving()),
            self._is_settled(replica.name),
        )

    def _list_leaving(self) -> set[str]:
        return {item.name for item in self._fleet.instances if item.leaving}

    def _update_healthy_since(self, now: float) -> None:
        healthy = {
            seen.name
            for _, body in self._peer_reader.read_domains()
            for seen in body.replicas
            if seen.state == 'serving' and seen.whole
        }
        self._healthy_since = {
            name: self._healthy_since.get(name, now) for name in healthy
        }

    def _is_settled(self, replica: str) -> bool:
        since = self._healthy_since.get(replica)
        return since is not None and self._clock() - since >= REPLICA_SETTLE_S

    # -- placement ---------------------------------------------------------------------

    async def _apply_plan(self) -> None:
        plan = plan_placement(self._describe_fleet(), self._settings.placement)
        for step in plan.steps:
            if not self._holds_cluster_duty():
                return
            with log.start_action('placement.step', action=step.action, why=step.why):
                if step.action == 'form':
                    await self._form_replica(step)
                else:
                    await self._retire_replica(step)

    async def _form_replica(self, step: Candidate) -> None:
        group = self._session.view.value.configuration.resources[
            Key('group', step.group)
        ].spec
        if not isinstance(group, Group):
            return
        listed = {item.name: item for item in self._fleet.instances}
        chosen = [listed[name] for name in step.instances]
        if not await self._check_instances(chosen):
            return
        replica = Replica(
            f'{step.group}.{secrets.token_hex(4)}',
            step.group,
            self._chart.initial,
            group.model,
            group.version,
            group.adapters,
            chosen[0].availability_zone,
            tuple(
                Member(item.name, item.address, item.kind, item.accelerators)
                for item in chosen
            ),
            cause=log.current_task_id(),
        )
        claims, revision = self._claims.get(step.domain, (Claims(step.domain), 0))
        if await self._write_claims(add_replica(claims, replica), revision):
            log.emit(
                events.REPLICA_CLAIMED,
                replica=replica.name,
                domain=step.domain,
                instances=list(step.instances),
                why=f'objective {step.objective:.2f}',
            )

    async def _check_instances(self, chosen: list[Instance]) -> bool:
        """Check that instances respond before they are claimed.

        The instance list may be out of date.  Instances that do not respond are
        avoided for ``avoid_s`` seconds.
        """
        all_answered = True
        for instance in chosen:
            check = await self._engines.check(instance.address)
            if not check.answered:
                until = self._clock() + self._settings.placement.avoid_s
                self._avoided_until[instance.name] = until
                all_answered = False
        return all_answered

    async def _retire_replica(self, step: Candidate) -> None:
        claims, revision = self._claims[step.domain]
        replica = claims.find(step.replica)
        if replica is None:
            return
        state = self._chart.next_state(replica.state, 'retire')
        if state is None:
            return
        if await self._write_claims(
            set_replica_state(claims, replica.name, state), revision
        ):
            log.emit(
                events.REPLICA_MOVED,
                replica=replica.name,
                source=replica.state,
                state=state,
                why=step.why,
            )

    async def _write_claims(self, claims: Claims, revision: int) -> bool:
        key = claims_key(claims.domain)
        result = await swap_with_readback(
            self._kv, key, encode_claims(claims), revision
        )
        if not isinstance(result, Swapped):
            return False
        self._claims[claims.domain] = (claims, result.revision)
        return True

    async def describe_plan(self) -> dict[str, Any]:
        """Return the current placement plan and its input; works on any node.

        :raises UnavailableError: the key-value service did not return the claims.
        """
        await self._fleet.read()
        if not self._holds_cluster_duty():
            found = await self._kv.list_prefix(CLAIMS_PREFIX)
            if isinstance(found, Unavailable):
                raise UnavailableError(found.reason)
            self._load_claims(found)
            self._claims_revision = -1
        fleet = self._describe_fleet()
        plan = plan_placement(fleet, self._settings.placement)
        return {
            'before': plan.before,
            'after': plan.after,
            'steps': [dataclasses.asdict(item) for item in plan.steps],
            'rejected': [dataclasses.asdict(item) for item in plan.rejected],
            'state': fleet_to_dict(fleet),
        }

    # -- metrics --------------------------------------------------------------------

    def _update_metrics(self) -> None:
        now = self._clock()
        elapsed_s, self._measured_at = now - self._measured_at, now
        sizes = {item.name: item.accelerators for item in self._fleet.instances}
        bodies = [body for _, body in self._peer_reader.read_domains()]
        metrics = compute_service_metrics(bodies, sizes)
        for item in self._session.view.value.configuration.of_kind('group'):
            name = item.key.name
            count = metrics.serving.get(name, 0)
            self._metrics.replicas.set({'group': name}, count)
            if not count and isinstance(item.spec, Group) and item.spec.replicas:
                self._metrics.group_downtime.add({'group': name}, elapsed_s)
        self._metrics.stranded_accelerators.set({}, metrics.stranded)
