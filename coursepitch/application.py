"""Composition root: the one place where the parts of a node meet."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Any

import anyio

from coursepitch import events, log
from coursepitch.admin.api import AdminApi
from coursepitch.admin.status import StatusReporter
from coursepitch.clock import boottime
from coursepitch.config.resources import Key, Node
from coursepitch.control.chart import load_chart
from coursepitch.control.cluster import ClusterController, PeerReader
from coursepitch.control.duties import CLUSTER_DUTY, DutyManager
from coursepitch.control.fleet import (
    InstanceListReader,
    find_peer_reached_at,
    list_live_nodes,
    list_nodes_with_paths,
)
from coursepitch.control.observers import DomainObservers
from coursepitch.control.reach import EngineReach, Finding
from coursepitch.control.registrar import Registrar
from coursepitch.control.session import Session
from coursepitch.http.memory import ClientMemory
from coursepitch.listeners import listen
from coursepitch.metrics import Metrics
from coursepitch.peers.hub import PeerHub
from coursepitch.peers.records import (
    ContactBody,
    DomainBody,
    FleetBody,
    LoadBody,
    NodeBody,
)
from coursepitch.peers.topology import compute_domain_interval, compute_node_interval
from coursepitch.platform.instances import InstanceList
from coursepitch.platform.kv import KeyValue
from coursepitch.serving.admission import Admission
from coursepitch.serving.caller_api import CallerApi
from coursepitch.serving.crash_memory import CrashMemory
from coursepitch.serving.dispatch import Dispatcher
from coursepitch.serving.gate import Gate
from coursepitch.serving.idempotency import RequestRecords
from coursepitch.serving.replica_selector import ReplicaSelector
from coursepitch.serving.services import ServiceCaller
from coursepitch.signals import STOP_SIGNALS, log_further_signals, receive_signals
from coursepitch.targets.engine import EngineControl
from coursepitch.util.asgi_server import CONNECTION_BYTES
from coursepitch.util.http import ServerStop, serve_app
from coursepitch.util.resources import find_client_budget

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Coroutine

    from coursepitch.clock import Clock
    from coursepitch.config.settings import Settings
    from coursepitch.signals import SignalStream

__all__ = ['NodeApplication']

#: Connections that operators may have.
MAX_OPERATOR_CONNECTIONS = 64

#: Seconds after which unchanged demand is told again, so that it is not dropped.
DEMAND_S = 20.0

#: Seconds after which an unchanged load is told again.
LOAD_S = 10.0

#: Longest time in seconds for which a stopping node waits until the operating system
#: has accepted what was written to connections.
ANSWERS_OUT_S = 2.0

#: The same if the operator cut requests by a second signal.
CUT_ANSWERS_OUT_S = 0.1

#: Seconds after that for which the servers may take to close their connections.
CLOSE_TIMEOUT_S = 1.0

#: Seconds between two looks at duties, contact and readiness.
_TELL_S = 0.25


class NodeApplication:
    """A node with all its parts, wired but not running."""

    def __init__(self, settings: Settings, clock: Clock = boottime) -> None:
        self.settings = settings
        self.clock = clock
        me = settings.node.name
        self.me = me
        self.incarnation = secrets.token_hex(6)
        platform = settings.platform
        self.metrics = Metrics()
        self.chart = load_chart('replica')
        self.kv = KeyValue(
            platform.key_value_url,
            platform.timeout_s,
            platform.calls_per_s,
            self.metrics,
        )
        self.instances = InstanceList(platform.instance_list_url, platform.timeout_s)
        self.engines = EngineControl(settings.targets.check_timeout_s)
        self.session = Session(me, self.kv, platform, clock)
        boot = int(time.time() * 1000)
        self.hub = PeerHub(me, boot, self.session, settings.peers, self.metrics, clock)
        self.hub.list_present = self._list_present
        self._build_control()
        self._build_serving()
        self._ready = ''
        self._told_contact_at = 0.0

    def _build_control(self) -> None:
        settings = self.settings
        self.reach = EngineReach(
            self._check_engine,
            settings.targets.check_timeout_s,
            self._list_answering_engines,
            lambda: find_peer_reached_at(self.hub, self.me),
            self.clock,
        )
        self.duties = DutyManager(
            self.me,
            self.session,
            self.kv,
            self.clock,
            self.list_domains,
            lambda: list_live_nodes(self.hub, self.clock()),
            lambda: list_nodes_with_paths(self.hub, self.clock()),
            lambda: bool(self._explain_withdrawn()),
        )
        self.observers = DomainObservers(
            self.me,
            self.session,
            self.hub,
            self.kv,
            self.engines,
            settings.targets,
            self.chart,
            self._publish_domain,
            self.clock,
            self.list_domains,
            self.reach,
        )
        self.fleet = InstanceListReader(
            self.me, self.session, self.hub, self.instances, self.clock
        )
        peer_reader = PeerReader(
            self._read_nodes,
            self._read_domains,
            lambda: list_live_nodes(self.hub, self.clock()),
        )
        self.cluster = ClusterController(
            self.me,
            self.session,
            self.kv,
            self.fleet,
            self.engines,
            settings,
            self.chart,
            peer_reader,
            self.metrics,
            self.clock,
        )

    def _build_serving(self) -> None:
        settings = self.settings
        entry = settings.entry
        self.admission = Admission(entry.queue_limit, entry.queue_wait_s, self.clock)
        self.gate = Gate(
            self.me,
            self.session,
            self.hub,
            self.admission,
            settings.platform.confirm_bound_s,
            self.metrics,
            self.clock,
        )
        self.gate.explain_withdrawn = self._explain_withdrawn
        selector = ReplicaSelector(
            self.hub,
            settings.node.availability_zone,
            settings.routing,
            settings.targets.evidence_limit_s,
            self.clock,
        )
        self.dispatcher = Dispatcher(
            selector,
            self.admission,
            settings.routing,
            entry.queue_wait_s,
            self.metrics,
            self.clock,
        )
        self.dispatcher.is_cut_off = lambda: self.reach.is_cut_off
        self.crashes = CrashMemory(
            self.me,
            self.hub,
            self.reach.confirm,
            lambda: CLUSTER_DUTY in self.duties.held,
            self.clock,
        )
        self.dispatcher.crashes = self.crashes
        self.client_budget = find_client_budget(settings.limits, CONNECTION_BYTES)
        self.services = ServiceCaller(
            settings.routing, self.clock, entry.record_body_limit
        )
        self.records = RequestRecords(
            self.kv, entry.record_ttl_s, entry.record_body_limit, self.clock
        )
        self.caller_api = CallerApi(
            self.gate,
            self.dispatcher,
            self.services,
            self.records,
            entry,
            self.metrics,
            self.clock,
            ClientMemory(self.client_budget.memory_bytes, self.clock),
        )
        self.reporter = StatusReporter(
            self.me,
            self.session,
            self.hub,
            self.gate,
            settings.targets.evidence_limit_s,
            settings.platform.confirm_bound_s,
            self.clock,
        )
        self.admin = AdminApi(
            self.session,
            self.reporter,
            settings.admin,
            self.metrics,
            self.cluster.describe_plan,
        )

    # -- what parts tell each other ---------------------------------------------

    def list_domains(self) -> tuple[str, ...]:
        """Return the fabric domains that any node told of."""
        domains = {item.key.subject for item in self.hub.records('domain')}
        for item in self.hub.records('fleet'):
            if isinstance(item.body, FleetBody):
                domains.update(item.body.domains)
        return tuple(sorted(domains))

    async def _check_engine(self, address: str) -> Finding:
        check = await self.engines.check(address)
        if check.answered:
            return Finding.ANSWERED
        return Finding.FAILED if check.failures else Finding.SILENT

    def _list_answering_engines(self) -> list[str]:
        """Return the addresses of the engines that answer, as observed by any node."""
        return [
            member.address
            for _, body in self._read_domains()
            for replica in body.replicas
            for member in replica.members
            if member.answers
        ]

    def _explain_withdrawn(self) -> str:
        """Return why other nodes serve better; empty if they do not."""
        if not self.reach.is_cut_off:
            return ''
        others = set(list_nodes_with_paths(self.hub, self.clock())) - {self.me}
        return 'no path to the engines' if others else ''

    def _list_present(self) -> frozenset[str]:
        """Return the nodes that have a lease or were heard from recently."""
        heard = list_live_nodes(self.hub, self.clock())
        return frozenset(self.session.view.value.live) | frozenset(heard)

    def _read_nodes(self) -> dict[str, NodeBody]:
        return self.reporter.read_nodes()

    def _read_domains(self) -> list[tuple[str, DomainBody]]:
        now = self.clock()
        return [
            (item.key.subject, item.body)
            for item in self.hub.records('domain')
            if isinstance(item.body, DomainBody)
            if now - item.made_at <= self.settings.targets.evidence_limit_s
        ]

    def _publish_domain(
        self, domain: str, body: DomainBody, load: LoadBody, made_at: float
    ) -> None:
        pace = compute_domain_interval(len(self.session.view.value.registered_nodes()))
        self.hub.publish_if_due('domain', domain, body, made_at, pace)
        self.hub.publish_if_due('load', domain, load, made_at, LOAD_S)

    async def _tell(self) -> None:
        """Tell peers of this node; log when it begins or ends to serve."""
        while True:
            self._tell_once()
            await anyio.sleep(_TELL_S)

    def _tell_once(self) -> None:
        now = self.clock()
        view = self.session.view.value
        reason = self.gate.explain_not_ready()
        self._note_ready(reason, view.configuration.revision)
        revision = view.configuration.revision
        is_silent = self.reach.is_silent
        body = NodeBody(
            self.incarnation,
            revision,
            not reason,
            self.gate.draining,
            is_silent,
            not is_silent and not self.reach.has_reached(),
        )
        pace = compute_node_interval(len(view.registered_nodes()))
        # Peers compare this time with the beginning of their own silence.
        made_at = self.reach.reached_at if body.reaches else now
        self.hub.publish_if_due('node', self.me, body, made_at, pace)
        self._tell_contact(revision)
        if view.contact_at is not None:
            self.metrics.service_contact_age.set({}, now - view.contact_at)
        demand = self.gate.read_demand()
        self.hub.publish_if_due('demand', self.me, demand, now, DEMAND_S)
        self._take_contact(revision)
        self.metrics.revision.set({}, revision)
        self.reporter.advance()
        self.metrics.accepted.set({}, self.reporter.accepted)
        self.metrics.duties.set({}, len(self.duties.held))

    def _tell_contact(self, revision: int) -> None:
        """Tell peers of the last own contact with the service, once."""
        contact_at = self.session.view.value.own_contact_at
        if contact_at is not None and contact_at != self._told_contact_at:
            self._told_contact_at = contact_at
            self.hub.publish('contact', self.me, ContactBody(revision), contact_at)

    def _take_contact(self, revision: int) -> None:
        """Take a peer's contact with the service as one's own.

        It confirmed that no revision newer than the peer's existed then, so
        none newer than one at least as new here.
        """
        for item in self.hub.records('contact'):
            if isinstance(item.body, ContactBody) and item.body.in_force <= revision:
                self.session.record_contact(item.made_at)

    def _note_ready(self, reason: str, revision: int) -> None:
        state = reason or 'ready'
        if state == self._ready:
            return
        self._ready = state
        if reason:
            log.emit(events.NODE_NOT_READY, reason=reason)
        else:
            log.emit(events.NODE_READY, revision=revision)

    # -- running --------------------------------------------------------------------

    async def run(self, announce: Callable[[dict[str, int]], None]) -> int:
        """Run until a planned stop has ended; return the exit code.

        :param announce: told the ports once the node listens.
        """
        try:
            with receive_signals(STOP_SIGNALS) as (signals,):
                return await self._run(announce, signals)
        except Exception as error:
            log.emit(events.INTERNAL_ERROR, place='node', **log.describe_error(error))
            raise

    async def _run(
        self,
        announce: Callable[[dict[str, int]], None],
        signals: SignalStream,
    ) -> int:
        settings = self.settings
        sockets = {
            'entry': listen(settings.node.address, settings.entry.port),
            'admin': listen(settings.admin.address, settings.admin.port),
            'peers': listen(settings.node.address, settings.peers.port),
        }
        ports = {name: sock.getsockname()[1] for name, sock in sockets.items()}
        registrar = self._build_registrar(ports)
        stop = ServerStop()
        async with anyio.create_task_group() as group:
            group.start_soon(registrar.run)
            for task in self._list_tasks(sockets['peers']):
                group.start_soon(task)
            async with anyio.create_task_group() as servers:
                for server in self._list_servers(sockets, stop):
                    servers.start_soon(server)
                log.emit(events.NODE_STARTED, ports=ports)
                if not settings.admin.key_hashes:
                    log.emit(events.ADMIN_KEYS_MISSING, address=settings.admin.address)
                announce(ports)
                await anext(signals)
                cut = await self._drain(signals)
                group.start_soon(log_further_signals, signals)
                for request in cut:
                    log.emit(events.REQUEST_ABORTED, request=request)
                self.gate.end_requests()
                await registrar.leave()
                stop.request(CUT_ANSWERS_OUT_S if cut else ANSWERS_OUT_S)
                servers.cancel_scope.deadline = (
                    anyio.current_time() + stop.grace_s + CLOSE_TIMEOUT_S
                )
            group.cancel_scope.cancel()
        # Only now: a task that met a closed client ended the node with code 1, in 4 of
        # 43 sessions of the demo beside other work.
        await self._close()
        log.emit(events.NODE_STOPPED)
        return 1 if cut else 0

    def _build_registrar(self, ports: dict[str, int]) -> Registrar:
        node = self.settings.node
        spec = Node(
            address=node.address,
            peer_port=ports['peers'],
            admin_port=ports['admin'],
            availability_zone=node.availability_zone,
            incarnation=self.incarnation,
        )
        return Registrar(Key('node', self.me), spec, self.session)

    def _list_servers(
        self, sockets: dict[str, socket.socket], stop: ServerStop
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the tasks that serve operators and clients."""
        settings = self.settings

        async def serve_entry() -> None:
            await serve_app(
                self.caller_api.build_app(),
                sockets['entry'],
                stop,
                certificate=settings.entry.tls_certificate,
                key=settings.entry.tls_key,
                header_limit=settings.entry.header_limit,
                idle_s=settings.entry.idle_timeout_s,
                max_connections=self.client_budget.connections,
            )

        async def serve_admin() -> None:
            await serve_app(
                self.admin.build_app(),
                sockets['admin'],
                stop,
                certificate=settings.admin.tls_certificate,
                key=settings.admin.tls_key,
                max_connections=MAX_OPERATOR_CONNECTIONS,
            )

        return [serve_admin, serve_entry]

    def _list_tasks(
        self, peers: socket.socket
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the other tasks of the node, in the order in which they start.

        :param peers: listening socket for links of peers.
        """

        async def take_duties() -> None:
            await self.duties.run(0.5)

        async def hold_links() -> None:
            await self.hub.run(peers)

        async def wake_waiting() -> None:
            await self.dispatcher.run_slot_assignment(0.1)

        async def settle_records() -> None:
            await self.records.retry_unrecorded(1.0)

        return [
            self.session.run,
            hold_links,
            self._tell,
            take_duties,
            self.fleet.run,
            self.reach.run,
            self.crashes.run,
            self.observers.run,
            self.cluster.run,
            wake_waiting,
            settle_records,
        ]

    # -- planned stop -------------------------------------------------------------

    async def _drain(self, signals: Any) -> tuple[str, ...]:
        """Let requests in flight end; return those that were cut."""
        limit_s = self.settings.node.drain_limit_s
        self.gate.draining = True
        self.duties.stop_acquiring()
        log.emit(
            events.NODE_DRAINING,
            in_flight=len(self.gate.in_flight),
            limit_s=limit_s,
        )
        await self.session.revoke_lease()
        second = anyio.Event()
        async with anyio.create_task_group() as group:

            async def watch_second() -> None:
                await anext(signals)
                second.set()
                group.cancel_scope.cancel()

            group.start_soon(watch_second)
            with anyio.move_on_after(limit_s or float('inf')):
                await anyio.sleep(self.settings.node.drain_notice_s)
                self.gate.rejects_all = True
                while self.gate.in_flight:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        # A second signal or the limit may have ended the wait within the notice.
        self.gate.rejects_all = True
        return self.gate.in_flight

    async def _close(self) -> None:
        """Close all connections to others."""
        await self.dispatcher.close()
        await self.services.close()
        await self.engines.close()
        await self.instances.close()
        await self.kv.close()
