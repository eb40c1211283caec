"""Composition root of a gateway node, where its components are wired together."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.clock import boottime
from coursepitch.config.gateway import list_changed_options, load_gateway_settings
from coursepitch.crashes.reports import CrashReporter, LiveInstances
from coursepitch.crashes.suspects import SuspectTable
from coursepitch.crashes.trials import PartTrials
from coursepitch.errors import FindingsError
from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.control import InstanceControl
from coursepitch.fleet.freshness import Freshness
from coursepitch.fleet.links import PeerLinks
from coursepitch.fleet.messages import Heartbeat
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.notices import InstanceNotices
from coursepitch.fleet.paths import InstancePaths
from coursepitch.fleet.session import FleetSession
from coursepitch.fleet.tunnels import TunnelClient, TunnelServer
from coursepitch.gateway.admission import Admission
from coursepitch.gateway.answer_times import AnswerTimes
from coursepitch.gateway.attempts import lend_retry
from coursepitch.gateway.budget import RetryBudget
from coursepitch.gateway.calls import CallServer
from coursepitch.gateway.components import GatewayComponents
from coursepitch.gateway.crash_detector import CrashDetector
from coursepitch.gateway.late_starts import LateStarts
from coursepitch.gateway.load_tracker import LoadTracker
from coursepitch.gateway.overload import OverloadGuard
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.router import Router
from coursepitch.gateway.send_gate import SendGate
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.gateway.streams import StreamServer
from coursepitch.gateway.suspicion import SuspicionGate
from coursepitch.gateway.watchdog import Watchdog
from coursepitch.http.client import ConnectionPool
from coursepitch.http.memory import ClientMemory
from coursepitch.http.server import ConnectionRules, ConnectionState, HttpServer
from coursepitch.listeners import listen
from coursepitch.metrics import Metrics
from coursepitch.platform.headers import read_client_timeout_s, read_request_id
from coursepitch.platform.kv import KeyValue
from coursepitch.reload_signal import unblock_reload_signal
from coursepitch.signals import (
    RELOAD_SIGNALS,
    STOP_SIGNALS,
    log_further_signals,
    receive_signals,
)
from coursepitch.util.resources import find_client_budget

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping
    from pathlib import Path

    from coursepitch.clock import Clock
    from coursepitch.config.gateway import GatewaySettings, PromiseSettings
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.messages import Message
    from coursepitch.http.client import ConnectOutcome
    from coursepitch.http.messages import IncomingRequest
    from coursepitch.http.server import ResponseWriter
    from coursepitch.log import BoundedOutput
    from coursepitch.signals import SignalStream

__all__ = ['GatewayApplication']

#: Share of the time limit for revoking keys for which a configuration confirmation is
#: valid.  The rest is a margin for the delivery of a request to a target.
CONFIRMATION_TIME_SHARE = 0.85

#: Share of the drain time, in which requests may still reach an instance that left, for
#: which a node uses an instance whose entry may have expired with the store.  The rest
#: is a margin for learning of the departure (at most 0.35 s without faults), for the
#: check interval of 0.25 s, and for the delivery of a request.
EXPIRED_ENTRY_TIME_SHARE = 0.7

#: Seconds for which a stopping node still accepts connections: the load balancer checks
#: once a second and removes a node after two failed checks.
STOP_ACCEPT_S = 3.0

#: Longest time in seconds for which a signal counts as held up by the event loop.  A
#: process that was suspended gets the signal as it goes on.
MAX_SIGNAL_DELAY_S = 1.0

#: Seconds before the end of the grace period by which a stop is complete.
STOP_MARGIN_S = 0.4

#: Seconds for which a stop waits until the requests that it ends are answered.
FINAL_ANSWERS_S = 0.2

#: Longest time in seconds until a node that may become the leader prepares for it.
#: Becoming the leader wakes it up at once.
LEADER_CHECK_INTERVAL_S = 1.0

#: Interval in seconds of the removal of idle connections and outdated records.
CLEANUP_INTERVAL_S = 0.5


#: Connections to the readiness and metrics listeners, each, and what they may send.
MAX_OWN_CONNECTIONS = 16
OWN_RULES = ConnectionRules(body_bytes=4_096)


class GatewayApplication:
    """A node with all its components, wired but not running."""

    def __init__(
        self,
        settings: GatewaySettings,
        path: Path,
        output: BoundedOutput,
        clock: Clock = boottime,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self._path = path
        self._output = output
        node, promises = settings.node, settings.promises
        self.metrics = Metrics()
        store = settings.store
        self.kv = KeyValue(
            store.address, store.timeout_s, store.calls_per_s, self.metrics, clock
        )
        self.freshness = Freshness(
            promises.revoke_s * CONFIRMATION_TIME_SHARE,
            clock,
            promises.refuse_unconfirmed,
        )
        self.session = FleetSession(node.name, self.kv, self.freshness, clock)
        self.tunnels = TunnelClient(
            node.name, node.availability_zone, self._list_nodes, clock
        )
        self.tunnels.count = self._count_tunnel
        self.paths = InstancePaths(self.session.view, self.tunnels, clock)
        self.paths.on_change = self._note_paths_changed
        self.session.leases.should_resign = self.paths.reaches_less_than_peers
        self.session.leases.is_impaired = lambda: self.paths.is_cut_off
        self.control = InstanceControl(clock, self._count_connection, self.paths)
        self.backoffs = InstanceBackoffs(clock)
        self.notices = self._build_notices()
        self.control.take_marks = self.notices.take
        self.control.find_born = self._find_born
        self.pool = ConnectionPool(
            clock, note_attempt=self._count_connection, connect=self.paths.connect
        )
        self.tunnel_server = TunnelServer(
            self.session.view.list_nodes_and_departed, self.paths.connect_for_peer
        )
        self.links = PeerLinks(
            node.name,
            node.availability_zone,
            self.session.view,
            self.session.book,
            self._build_heartbeat,
            self._handle_message,
            clock,
        )
        self.links.serve_tunnel = self.tunnel_server.serve
        self.links.count_sent = self._count_sent
        self.links.set_link_speed(settings.limits.link_mbit_s)
        self.session.send = self.links.send
        self.session.losses.tell = self.links.send
        self.session.limits.tell = self.links.send
        self.session.permits.tell = self.links.send
        self.session.permits.count = self._count_permit
        self.session.loans.tell = self.links.send
        self.session.loans.count = self._count_loan
        self.notices.tell = self.links.send
        self.notices.is_watching = self.session.is_watching
        self.notices.note_cold = self.session.cold.note_told
        self.session.take_notices = self.notices.take_told
        self.session.relay_changes = self.links.relay_changes
        self.session.send_heartbeat_now = self.links.send_heartbeat_now
        self.session.is_followed = self.links.is_followed
        self.session.follows = self.links.follows
        self.standing = LiveInstances(self.session.view, promises.heartbeat_s, clock)
        self.suspects = SuspectTable(clock, self.standing.has)
        self.reporter = CrashReporter(
            node.name, self.suspects, self.kv, self.session.view, clock
        )
        self.trials = PartTrials(
            node.name, self.session.find_leader, self.suspects.is_trial_due, clock
        )
        self._wire_reports()
        self.load_tracker = LoadTracker(clock, self.session.book.count)
        self.notices.avoid = self.load_tracker.avoid
        self.session.view.on_restart = self._note_restart
        self.watchdog = Watchdog(
            self.session, self.control, clock, self.paths.was_cut_off_after
        )
        self.watchdog.on_unreached = self._note_unreached
        self.gate = SendGate(
            self.session.view, self.backoffs, self.session.permits, self._count_withheld
        )
        self.admission = Admission(
            self.session, self.gate, self.load_tracker, self.metrics, clock
        )
        self.router = Router(
            self.session.view,
            self.load_tracker,
            self.watchdog,
            node.availability_zone,
            self._read_rate,
            self.gate.is_closed,
            self.pool.has_idle,
        )
        self.budget = RetryBudget(
            promises.retry_ratio, promises.retry_extra, promises.retry_window_s, clock
        )
        self.session.share.first_start = node.bootstrap
        self._apply_promises(promises)
        self.crash_detector = CrashDetector(
            node.name, self.session, self.control, self.reporter, clock
        )
        self.late_starts = LateStarts(self.session, clock)
        self.stop_schedule = StopSchedule()
        self.gateway = self._build_gateway()
        self._started_at = clock()
        self.overload = OverloadGuard(clock, self.metrics, self._has_idle_peers)
        budget = find_client_budget(settings.limits)
        self.front = HttpServer(
            self.gateway.handle,
            self._find_connection_rules,
            clock,
            self.session.is_fading,
            self.overload.accepts,
            read_client_timeout_s,
            read_request_id,
            self.gateway.find_read_limit,
            ClientMemory(budget.memory_bytes, clock),
            budget.connections,
        )
        self.ready_server = HttpServer(self._serve_readiness, lambda: OWN_RULES, clock)
        self.metrics_server = HttpServer(self._serve_metrics, lambda: OWN_RULES, clock)
        for server in (self.ready_server, self.metrics_server):
            server.memory = self.front.memory
            server.max_connections = MAX_OWN_CONNECTIONS
        self.stopping = False
        self._was_ready: bool | None = None

    def _build_gateway(self) -> Gateway:
        suspicion = SuspicionGate(
            self.suspects,
            self.reporter,
            self.trials,
            self.session.view,
            self.metrics,
            self.clock,
        )
        components = GatewayComponents(
            self.session,
            self.router,
            self.load_tracker,
            self.budget,
            self.pool,
            self.crash_detector,
            suspicion,
            self.notices,
            self.gate,
            self.admission,
            self.paths,
            self.clock,
            self.late_starts,
            AnswerTimes(self.clock),
            self.stop_schedule,
        )
        self.session.loans.lend = partial(lend_retry, components)
        streams = StreamServer(components, self.watchdog)
        calls = CallServer(components)
        return Gateway(components, streams, calls, suspicion, self.metrics)

    def _build_notices(self) -> InstanceNotices:
        session = self.session
        name = self.settings.node.name
        return InstanceNotices(
            name,
            session.view,
            session.limits,
            self.backoffs,
            self.clock,
            self._count_notice,
        )

    def _handle_message(self, message: Message) -> None:
        self.session.handle_message(message)
        if isinstance(message, Heartbeat):
            self.admission.note_loads()

    def _find_born(self, instance: str) -> int:
        found = self.session.view.instances.get(instance)
        return found.born if found else 0

    def _count_withheld(self, reason: str) -> None:
        self.metrics.withheld_sends.inc({'reason': reason})

    def _list_nodes(self) -> Mapping[str, NodeLocation]:
        return self.session.view.nodes

    def _note_paths_changed(self) -> None:
        """Close idle connections: they may hang, or take the way through a peer."""
        self.pool.close_idle()
        self.control.close_idle()

    def _note_unreached(self, instance: FleetInstance) -> None:
        self.paths.note_unreached(instance.name)
        self.pool.close_idle_at(instance.address)

    def _count_tunnel(self, outcome: str) -> None:
        self.metrics.tunnels.inc({'outcome': outcome})

    def _count_connection(self, outcome: ConnectOutcome) -> None:
        self.metrics.instance_connections.inc({'outcome': outcome.value})

    def _count_sent(self, kind: str, size: int) -> None:
        self.metrics.link_bytes.add({'kind': kind}, size)

    def _count_notice(self, kind: str) -> None:
        self.metrics.instance_notices.inc({'kind': kind})

    def _has_idle_peers(self) -> bool:
        """Whether other nodes have fewer requests in flight than this one."""
        return self.session.book.find_mean_in_flight() < self.front.busy_count

    def _note_restart(self, instance: str) -> None:
        self.load_tracker.note_restart(instance)
        self.session.limits.note_restart(instance)
        self.session.cold.note_restart(instance)
        self.backoffs.note_restart(instance)

    def _wire_reports(self) -> None:
        """Connect the crash reporter with peer links, session and view."""
        reporter, session = self.reporter, self.session
        reporter.send = self.links.send
        reporter.send_in_background = self.links.send_in_background
        reporter.is_watching = session.is_watching
        reporter.is_leader = session.is_leader
        reporter.report_lost = partial(session.losses.report, ended=True)
        session.take_crashes = reporter.take
        self.trials.tell = self.links.send
        session.answer_trial = self.trials.answer
        session.take_trial = self.trials.take_answer
        session.view.on_refused = reporter.apply_stored
        self.links.greet = self._synchronize_peer

    def _count_loan(self, outcome: str) -> None:
        self.metrics.borrowed_retries.inc({'outcome': outcome})

    def _count_permit(self, outcome: str) -> None:
        self.metrics.limited_sends.inc({'outcome': outcome})

    def _synchronize_peer(self, node: str) -> None:
        """Send a newly connected peer the state that it may have missed."""
        self.reporter.greet(node)
        self.session.limits.send_all(node)
        self.notices.send_all(node)

    def _build_heartbeat(self) -> Heartbeat:
        work = self.gateway.work.read_work_rates()
        return self.session.describe(self.load_tracker.count_own(), work)

    def _read_work(self) -> dict[str, float]:
        return self.session.book.read_work(self.gateway.work.read_work_rates())

    def _read_rate(self, model: str) -> float:
        """Estimate the requests per second of other nodes from this node's own rate."""
        others = self.session.count_nodes() - 1
        return self.gateway.work.read_request_rate(model) * others

    # -- callbacks of the servers -----------------------------------------------------

    def _find_connection_rules(self) -> ConnectionRules:
        table = self.session.view.table
        return ConnectionRules() if table is None else table.rules

    async def _serve_readiness(
        self, request: IncomingRequest, reply: ResponseWriter
    ) -> None:
        fresh = self.session.is_fresh() and not self.session.is_fading()
        withdrawn = self.paths.should_withdraw()
        ready = fresh and not self.stopping and not withdrawn
        if ready != self._was_ready:
            self._was_ready = ready
            age = round(self.session.confirmation_age_s, 3)
            if ready:
                table = self.session.view.table
                revision = table.revision if table else 0
                log.emit(events.NODE_READY, revision=revision, age=age)
            else:
                reason = 'no path to the instances' if withdrawn else ''
                reason = reason or f'confirmation is {age} s old'
                reason = 'stopping' if self.stopping else reason
                log.emit(events.NODE_NOT_READY, reason=reason)
        await reply.send_whole(200 if ready else 503, (), b'')

    async def _serve_metrics(
        self, request: IncomingRequest, reply: ResponseWriter
    ) -> None:
        self.metrics.limited_instances.set({}, self.session.limits.count_limited())
        self.metrics.cold_instances.set({}, len(self.session.cold.list_cold()))
        self.metrics.backed_off_instances.set({}, self.backoffs.count_active())
        evacuations = self.session.view.evacuations
        for state, zones in (
            ('requested', evacuations.list_requested()),
            ('closed', evacuations.list_closed()),
        ):
            self.metrics.evacuated_zones.set({'state': state}, len(zones))
        self._set_waiting()
        accept = (request.header(b'accept') or b'').decode('latin-1')
        content, headers = self.metrics.render(accept)
        lines = tuple((key.encode(), value.encode()) for key, value in headers.items())
        await reply.send_whole(200, lines, content)

    def _set_waiting(self) -> None:
        counts = self.admission.count_waiting()
        urgencies = {
            int(labels['urgency']) for labels, _ in self.metrics.waiting.get_all()
        }
        for urgency in urgencies | set(counts):
            self.metrics.waiting.set({'urgency': str(urgency)}, counts.get(urgency, 0))

    # -- running ----------------------------------------------------------------------

    async def run(self) -> int:
        """Run until a graceful stop is complete; return the exit code."""
        try:
            with receive_signals(STOP_SIGNALS, RELOAD_SIGNALS) as (stops, reloads):
                return await self._run(stops, reloads)
        except Exception as error:
            log.emit(events.INTERNAL_ERROR, place='node', **log.describe_error(error))
            self._output.flush()
            return 1

    async def _run(self, stops: SignalStream, reloads: SignalStream) -> int:
        sockets = self._listen()
        ports = {name: sock.getsockname()[1] for name, sock in sockets.items()}
        node = self.settings.node
        self.session.leases.place = NodeLocation(
            f'{node.address}:{ports["peers"]}', node.availability_zone
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._output.run)
            group.start_soon(self.session.run)
            group.start_soon(self.reporter.run)
            group.start_soon(self.crash_detector.run)
            group.start_soon(self.watchdog.run)
            group.start_soon(self._keep_groups)
            group.start_soon(self._clean_up)
            group.start_soon(self.admission.run)
            group.start_soon(self.late_starts.run)
            group.start_soon(self.paths.run)
            group.start_soon(self.overload.run)
            group.start_soon(self.links.run, sockets['peers'])
            group.start_soon(self.ready_server.run, sockets['ready'])
            group.start_soon(self.metrics_server.run, sockets['metrics'])
            group.start_soon(self.front.run, sockets['clients'])
            with unblock_reload_signal():
                group.start_soon(self._reload_on, reloads)
                log.emit(events.NODE_STARTED, ports=ports)
                found = await anext(stops)
                group.start_soon(log_further_signals, stops)
                now = self.clock()
                await self._stop(min(now, max(found.came_at, now - MAX_SIGNAL_DELAY_S)))
                group.cancel_scope.cancel()
        self.pool.close()
        self.control.close()
        log.emit(events.NODE_STOPPED)
        self._output.flush()
        return 0

    def _listen(self) -> dict[str, socket.socket]:
        settings = self.settings.listen
        places = {
            'clients': settings.clients,
            'ready': settings.ready,
            'peers': f'{self.settings.node.address}:{settings.peer_port}',
            'metrics': f'{self.settings.node.address}:{settings.metrics_port}',
        }
        sockets = {}
        for name, place in places.items():
            host, _, port = place.rpartition(':')
            sockets[name] = listen(host, int(port))
        return sockets

    async def _keep_groups(self) -> None:
        """Manage the groups while the node is the leader.

        The modules are imported once the node may become the leader; few nodes do.
        """
        session = self.session
        while not (session.is_leader() or (session.view.leader and session.follows())):
            await session.wait_changed(LEADER_CHECK_INTERVAL_S)
        from coursepitch.fleet.keeper import LeaderTask

        keeper = LeaderTask(
            session,
            self.control,
            self.clock,
            bootstrap=self.settings.node.bootstrap,
            has_served=lambda: self.gateway.has_served,
            read_work=self._read_work,
            started_at=self._started_at,
            count_in_flight=self.load_tracker.count_in_flight,
        )
        await keeper.run()

    async def _clean_up(self) -> None:
        """Periodically close idle connections and drop records of instances gone."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self.pool.close_expired()
            present = set(self.session.view.instances)
            self.load_tracker.forget(present)
            self.session.limits.forget(present)
            self.session.permits.forget(present)
            self.backoffs.forget(present)
            self.notices.forget(present)

    async def _reload_on(self, signals: SignalStream) -> None:
        """Reload the settings on each signal until the node stops."""
        async for _ in signals:
            if not self.stopping:
                self._reload()

    def _reload(self) -> None:
        """Reload the settings that can change while the node runs.

        Settings in the section ``promises`` change at once, all others, such as
        addresses and names, on restart.  If the file is invalid, the present settings
        stay in force.
        """
        try:
            settings = load_gateway_settings(self._path)
        except FindingsError as error:
            log.emit(events.SETTINGS_READ, outcome=str(error), taken=[], waiting=[])
            return
        changed = list_changed_options(self.settings, settings)
        self.settings = replace(self.settings, promises=settings.promises)
        was_enabled = self.session.view.evacuations.enabled
        self._apply_promises(settings.promises)
        if not was_enabled and self.session.view.evacuations.enabled:
            self.session.note_evacuations_enabled()
        log.emit(
            events.SETTINGS_READ,
            outcome='good',
            taken=[name for name in changed if name.startswith('promises.')],
            waiting=[name for name in changed if not name.startswith('promises.')],
        )

    def _apply_promises(self, promises: PromiseSettings) -> None:
        self.freshness.bound_s = promises.revoke_s * CONFIRMATION_TIME_SHARE
        self.freshness.refuse_unconfirmed = promises.refuse_unconfirmed
        self.budget.ratio = promises.retry_ratio
        self.budget.extra = promises.retry_extra
        self.budget.window_s = promises.retry_window_s
        self.session.share.window_s = promises.retry_window_s
        self.standing.heartbeat_s = promises.heartbeat_s
        self.session.view.evacuations.set_bound(promises.evacuate_s)
        self.session.view.lapsed_serve_s = promises.drain_s * EXPIRED_ENTRY_TIME_SHARE

    async def _stop(self, stopped_at: float) -> None:
        """Stop gracefully: report not ready, finish open requests, then end.

        Requests that peers send through this node are finished as well.

        :param stopped_at: monotonic time from which the grace period runs.
        """
        self.stopping = True
        end_at = stopped_at + self.settings.node.stop_s - STOP_MARGIN_S
        self.stop_schedule.begin(stopped_at, end_at)
        self.front.begin_stop(end_at)
        log.emit(
            events.NODE_DRAINING,
            in_flight=self.front.busy_count,
            limit_s=self.settings.node.stop_s,
        )
        self._log_connections('begin')
        with anyio.move_on_after(1.0):
            await self.tunnel_server.stop()
            await self.session.end()
        while self.clock() < end_at:
            if self.clock() - stopped_at >= STOP_ACCEPT_S:
                self.front.close_idle()
                self.front.end_accepting()
                if not self.front.connections and not self.tunnel_server.count_open():
                    break
            await anyio.sleep(0.05)
        self._log_connections('end')
        self.gateway.end_requests('the node stops')
        with anyio.move_on_after(FINAL_ANSWERS_S):
            while self.front.has_unanswered:
                await anyio.sleep(0.01)
        self._output.flush()

    def _log_connections(self, phase: str) -> None:
        log.emit(
            events.NODE_CONNECTIONS,
            phase=phase,
            idle=self.front.count(ConnectionState.IDLE),
            reading=self.front.count(ConnectionState.READING),
            handling=self.front.count(ConnectionState.HANDLING),
            behind=self.front.count_with_more(),
        )
