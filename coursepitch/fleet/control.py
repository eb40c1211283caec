"""Client for orders to single instances and for their reports."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.orders import OrderKind, OrderResult
from coursepitch.fleet.pause_detector import has_passed_late
from coursepitch.fleet.tunnels import OPEN_TIMEOUT_S, TunnelError
from coursepitch.http.client import ConnectionPool, ExchangeError, NoConnectionError
from coursepitch.platform.fleet import ORDER_TARGET, REPORT_TARGET, encode_order
from coursepitch.platform.headers import build_instance_headers, read_response_metadata

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.orders import Order
    from coursepitch.fleet.paths import InstancePaths
    from coursepitch.http.client import ConnectOutcome, Response
    from coursepitch.http.stream import ByteStream
    from coursepitch.platform.headers import ResponseMetadata

__all__ = ['InstanceControl', 'Probe', 'ProcessState']

#: Timeout in seconds for the response to an order.
ORDER_TIMEOUT_S = 0.4

#: Timeout in seconds of one request for a report, number of requests, and seconds
#: between their starts.  A live instance responds within a few milliseconds without
#: using a slot, and at worst one packet in forty is lost.
PROBE_TIMEOUT_S = 0.13
PROBE_TRIES = 2
PROBE_STAGGER_S = 0.05

#: Seconds until a peer is asked about an instance that has not answered, and timeout in
#: seconds of its answer.
WITNESS_DELAY_S = 0.03
WITNESS_TIMEOUT_S = 0.2

#: Number of requests to an instance whose process may be exiting, and seconds between
#: them.  A process with many connections, or on a busy machine, closes them one by one
#: for some tenths of a second; clients abandon a stream that stalls for two seconds.
ENDING_TRIES = 20
ENDING_PAUSE_S = 0.025

#: Seconds until it counts as unknown whether an instance that refuses connections has
#: ended, and seconds between two checks, while no other of its service is reached, or
#: while no peer tells a node that is cut off.
CONFIRM_TIMEOUT_S = 2.0
CONFIRM_PAUSE_S = 0.05

#: Maximum number of concurrent orders.  With those of a cold start all in flight, each
#: would wait for the processor until most time out.
MAX_CONCURRENT_ORDERS = 16

#: Maximum number of concurrent orders to load weights that no group waits for, as
#: groups have priority.
MAX_CONCURRENT_STAGINGS = 4

#: Maximum size in bytes of the response to an order or a report request.
MAX_ANSWER_BYTES = 262_144

_RESULTS = {
    200: OrderResult.DONE,
    202: OrderResult.TAKEN,
    409: OrderResult.UNFIT,
    412: OrderResult.OUTDATED,
    421: OrderResult.OTHER_INSTANCE,
}


class Probe(enum.Enum):
    """Result of a report request to an instance.

    :cvar INDIRECT: it answers a peer, and not this node.
    :cvar NO_PATH: this node reaches no instance, or the peers that it asked could not
        tell, so the result tells nothing.
    """

    ANSWERS = 'answers'
    SILENT = 'silent'
    BROKEN = 'broken off'
    REFUSED = 'refused'
    REPLACED = 'replaced'
    INDIRECT = 'answers a peer'
    NO_PATH = 'no path'

    @property
    def answers(self) -> bool:
        """Whether the instance, or another one at its address, answered."""
        return self in (Probe.ANSWERS, Probe.REPLACED, Probe.INDIRECT)

    @property
    def proves_end(self) -> bool:
        """Whether the process of the instance is gone, rather than silent."""
        return self in (Probe.REFUSED, Probe.REPLACED)


class ProcessState(enum.Enum):
    """What is proven of an instance's process.

    :cvar RUNS: it answered a request.
    :cvar UNREACHED: nobody could find out, as neither this node nor a peer has a path,
        or as it refuses connections and nobody could confirm that.
    :cvar UNKNOWN: it does not answer, although others are reached.
    """

    RUNS = 'runs'
    ENDED = 'ended'
    UNREACHED = 'unreached'
    UNKNOWN = 'unknown'


@dataclass(eq=False)
class _StateCheck:
    """A check whether an instance's process is gone.

    :param latest: result of the latest request to the instance.
    """

    instance: FleetInstance
    latest: Probe = Probe.NO_PATH

    def explain_unknown(self) -> ProcessState:
        """Return the state of an instance of which nothing is proven in time."""
        if self.latest in (Probe.NO_PATH, Probe.REFUSED):
            return ProcessState.UNREACHED
        return ProcessState.UNKNOWN


class InstanceControl:
    """Sends orders to instances, and requests their reports.

    :param note_attempt: called with the outcome of each connection attempt.
    :param paths: this node's paths to the instances; without them, all connections are
        direct, and the findings of this node alone count.
    """

    def __init__(
        self,
        clock: Clock,
        note_attempt: Callable[[ConnectOutcome], None] = lambda outcome: None,
        paths: InstancePaths | None = None,
    ) -> None:
        self._clock = clock
        self._paths = paths
        self._build_pool = partial(
            ConnectionPool,
            clock,
            connect_timeout_s=ORDER_TIMEOUT_S,
            note_attempt=note_attempt,
        )
        self._pool = self._direct_pool = self._build_pool()
        if paths is not None:
            self._pool = self._build_pool(connect=paths.connect)
            self._direct_pool = self._build_pool(connect=paths.connect_directly)
            self._peer_pool = self._build_pool(connect=paths.connect_through_peer)
        self._order_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        self._staging_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STAGINGS)
        #: Called with an instance's name, its start time and the metadata of a
        #: response.
        self.take_marks: Callable[[str, int, ResponseMetadata], None] = (
            lambda name, born, marks: None
        )
        #: Returns ``FleetInstance.born`` of an instance's current incarnation.
        self.find_born: Callable[[str], int] = lambda name: 0

    def close_idle(self) -> None:
        """Close the connections that are not in use."""
        self._pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def send(
        self, order: Order, is_due: Callable[[], bool] = lambda: True
    ) -> OrderResult:
        """Send an order once, within the concurrency limit, and return its result.

        :param is_due: called just before sending; the order is dropped if it returns
            false.
        """
        staging = order.kind is OrderKind.STAGE
        async with self._staging_limiter if staging else self._order_limiter:
            result = await self._send(order) if is_due() else OrderResult.DROPPED
        log.emit(
            events.ORDER_ANSWERED,
            instance=order.instance,
            order=order.kind.value,
            group=order.group,
            epoch=order.epoch,
            result=result.value,
        )
        return result

    async def _send(self, order: Order) -> OrderResult:
        headers = (
            *build_instance_headers(order.address, order.instance),
            (b'Content-Type', b'application/json'),
        )
        born = self.find_born(order.instance)
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                connection = await self._pool.acquire(
                    order.address, instance=order.instance
                )
                answer = await self._pool.exchange(
                    connection, b'POST', ORDER_TARGET, headers, encode_order(order)
                )
                try:
                    await answer.read_whole(MAX_ANSWER_BYTES)
                finally:
                    answer.release()
        except NoConnectionError:
            return OrderResult.UNREACHED
        except (ExchangeError, TimeoutError):
            return OrderResult.UNKNOWN
        self._pass_marks(order.instance, born, answer)
        return _RESULTS.get(answer.status, OrderResult.UNKNOWN)

    def _pass_marks(self, instance: str, born: int, answer: Response) -> None:
        marks = read_response_metadata(answer.status, answer.headers)
        self.take_marks(instance, born, marks)

    async def probe(self, instance: FleetInstance) -> Probe:
        """Find out whether an instance answers, this node or a peer.

        Silence only counts if this node reaches others of the service, and no peer that
        was asked in the meantime gets an answer.  A refusal that no peer confirms is no
        more than silence.  Source: the indirect probes of SWIM (Das, Gupta, Motivala,
        2002).
        """
        paths = self._paths
        if paths is None:
            return await self._probe_directly(instance)
        if paths.is_cut_off:
            return await self._probe_through_peer(instance)
        began_at = self._clock()
        direct, indirect, reaches_others = Probe.SILENT, Probe.NO_PATH, True
        async with anyio.create_task_group() as tasks:

            async def ask_directly() -> None:
                nonlocal direct
                direct = await self._probe_directly(instance)
                if direct.answers:
                    tasks.cancel_scope.cancel()

            async def ask_peer() -> None:
                nonlocal indirect
                await anyio.sleep(WITNESS_DELAY_S)
                with anyio.move_on_after(WITNESS_TIMEOUT_S):
                    indirect = await self._probe_through_peer(instance)

            async def check_paths() -> None:
                nonlocal reaches_others
                await anyio.sleep(WITNESS_DELAY_S)
                reaches_others = await paths.check(began_at, instance.name)

            for ask in (ask_directly, ask_peer, check_paths):
                tasks.start_soon(ask)
        if direct.answers:
            return direct
        if indirect.answers:
            return Probe.INDIRECT
        if not reaches_others:
            return Probe.NO_PATH
        if direct is Probe.REFUSED:
            if indirect is not Probe.REFUSED and paths.has_peers():
                return Probe.SILENT
            # As for the end of a process, see below.
            if not await paths.check(self._clock(), instance.name):
                return Probe.NO_PATH
            direct = await self._request_report(instance)
            if direct is Probe.REFUSED and paths.has_peers():
                indirect = await self._ask_witnesses(instance)
                if indirect.answers:
                    return Probe.INDIRECT
                if indirect is not Probe.REFUSED:
                    return Probe.SILENT
        return direct

    async def _probe_through_peer(self, instance: FleetInstance) -> Probe:
        """Request an instance's report through a peer."""
        found = await self._request_report(instance, self._peer_pool)
        if found.answers or found is Probe.REFUSED:
            return found
        return Probe.NO_PATH

    async def _ask_witnesses(self, instance: FleetInstance) -> Probe:
        """Request the report of an instance that refuses connections through peers.

        A cut of the paths of several nodes may refuse this instance and not yet, or no
        longer, the others of its service, so that each of these nodes would confirm
        what another one found.  So several peers are asked, and one that connects
        refutes all refusals.  One that is late has a second try, as a sound node may
        stand still for a second, and it may be the one that connects.
        """
        paths = self._paths
        assert paths is not None
        found: set[Probe] = set()
        async with anyio.create_task_group() as tasks:

            async def ask(peer: str) -> None:
                connected = False

                async def connect(address: str, name: str) -> ByteStream:
                    nonlocal connected
                    stream = await paths.connect_through(peer, address, name)
                    connected = True
                    return stream

                pool = self._build_pool(
                    connect=connect, connect_timeout_s=OPEN_TIMEOUT_S
                )
                for _ in range(PROBE_TRIES):
                    answer = await self._request_report(instance, pool)
                    if answer is not Probe.NO_PATH:
                        break
                if answer.answers or answer is Probe.REFUSED or connected:
                    found.add(answer)
                if answer.answers:
                    tasks.cancel_scope.cancel()

            for peer in paths.choose_witnesses():
                tasks.start_soon(ask, peer)
        for answer in (Probe.ANSWERS, Probe.REPLACED):
            if answer in found:
                return answer
        if found == {Probe.REFUSED}:
            return Probe.REFUSED
        return Probe.SILENT if found else Probe.NO_PATH

    async def _probe_directly(self, instance: FleetInstance) -> Probe:
        """Request an instance's report, a second time before the first times out."""
        found: list[Probe] = []
        failed: set[Probe] = set()
        async with anyio.create_task_group() as tasks:

            async def ask(turn: int) -> None:
                await anyio.sleep(turn * PROBE_STAGGER_S)
                answer = await self._request_report(instance)
                if answer.answers:
                    found.append(answer)
                    tasks.cancel_scope.cancel()
                failed.add(answer)

            for turn in range(PROBE_TRIES):
                tasks.start_soon(ask, turn)
        if found:
            return found[0]
        return Probe.REFUSED if failed == {Probe.REFUSED} else Probe.SILENT

    def is_isolated(self) -> bool:
        """Whether no instance can be reached, neither directly nor through peers."""
        return self._paths is not None and self._paths.is_isolated()

    async def has_ended(self, instance: FleetInstance) -> bool:
        """Whether an instance's process is proven to be gone."""
        return await self.find_state(instance) is ProcessState.ENDED

    async def find_state(self, instance: FleetInstance) -> ProcessState:
        """Return what is proven of an instance's process.

        Its end is proven if its address belongs to another instance, or refuses
        connections of this node and of several peers before and after all of them
        reached others, and none of the peers connects, or if its entry is gone and it
        refuses those of this node.  The word of these peers is enough for a node that
        is cut off.  A timeout proves nothing: a network partition or a paused machine
        looks the same.  An exiting process closes its connections one by one, so a
        request whose connection breaks is repeated.
        """
        check = _StateCheck(instance)
        for _ in range(2):
            began_at = self._clock()
            with anyio.move_on_after(CONFIRM_TIMEOUT_S):
                return await self._confirm_state(check)
            if not has_passed_late(CONFIRM_TIMEOUT_S, self._clock() - began_at):
                break
        return check.explain_unknown()

    async def _confirm_state(self, check: _StateCheck) -> ProcessState:
        """Check an instance until it is known whether its process is gone."""
        instance = check.instance
        while True:
            if self._paths is not None and self._paths.is_cut_off:
                check.latest = await self._request_until_clear(
                    instance, self._peer_pool
                )
                if check.latest is Probe.REFUSED:
                    check.latest = await self._ask_witnesses(instance)
                state = _conclude_state(check.latest)
                if state is not ProcessState.UNKNOWN:
                    return state
                if not self._paths.has_peers():
                    return check.explain_unknown()
                # Another peer may have a path, or get one soon.
                await anyio.sleep(CONFIRM_PAUSE_S)
                continue
            check.latest = await self._request_until_clear(instance)
            if check.latest is not Probe.REFUSED or self._paths is None:
                return _conclude_state(check.latest)
            if not self._paths.is_listed(instance.name):
                return ProcessState.ENDED
            # What was reached before the refusal may be cut off since, and a cut that
            # refused it may end before others are reached.
            if await self._paths.check(self._clock(), instance.name):
                check.latest = await self._request_until_clear(instance)
                if check.latest is not Probe.REFUSED:
                    return _conclude_state(check.latest)
                if not self._paths.has_peers():
                    return ProcessState.ENDED
                found = await self._ask_witnesses(instance)
                if found is Probe.ANSWERS:
                    return ProcessState.RUNS
                if found is Probe.REPLACED:
                    return ProcessState.UNKNOWN
                if found is Probe.REFUSED:
                    return ProcessState.ENDED
            if self._paths.is_cut_off:
                continue
            # All instances of the service may have ended, and new ones are starting.
            await anyio.sleep(CONFIRM_PAUSE_S)

    async def _request_until_clear(
        self, instance: FleetInstance, pool: ConnectionPool | None = None
    ) -> Probe:
        """Request an instance's report until the connection does not break.

        :param pool: opens the connections; direct ones by default.
        """
        for _ in range(ENDING_TRIES):
            found = await self._request_report(instance, pool)
            if found is not Probe.BROKEN:
                break
            await anyio.sleep(ENDING_PAUSE_S)
        return found

    async def _request_report(
        self, instance: FleetInstance, pool: ConnectionPool | None = None
    ) -> Probe:
        """Request an instance's report once, and again if this process did not run.

        :param pool: opens the connection; a direct one by default.
        """
        pool = self._direct_pool if pool is None else pool
        if pool is self._direct_pool:
            timeout_s = PROBE_TIMEOUT_S
        elif pool is self._peer_pool:
            timeout_s = WITNESS_TIMEOUT_S
        else:
            timeout_s = OPEN_TIMEOUT_S
        began_at = self._clock()
        found = await self._request_report_within(instance, pool, timeout_s)
        if found in (Probe.SILENT, Probe.NO_PATH) and has_passed_late(
            timeout_s, self._clock() - began_at
        ):
            found = await self._request_report_within(instance, pool, timeout_s)
        return found

    async def _request_report_within(
        self, instance: FleetInstance, pool: ConnectionPool, timeout_s: float
    ) -> Probe:
        headers = build_instance_headers(instance.address, instance.name)
        connected = False
        try:
            with anyio.fail_after(timeout_s):
                connection = await pool.acquire(
                    instance.address, instance=instance.name, fresh=True
                )
                connected = True
                answer = await pool.exchange(
                    connection, b'GET', REPORT_TARGET, headers, b''
                )
                try:
                    await answer.read_whole(MAX_ANSWER_BYTES)
                finally:
                    if pool is self._pool:
                        answer.release()
                    else:
                        # Nothing else uses connections of this pool.
                        pool.discard(connection)
        except NoConnectionError as error:
            if error.lost:
                return Probe.BROKEN
            if error.refused:
                return Probe.REFUSED
            return Probe.NO_PATH if _lacks_path(error.__cause__) else Probe.SILENT
        except ExchangeError:
            return Probe.BROKEN
        except TimeoutError:
            is_direct = pool is self._direct_pool
            return Probe.SILENT if is_direct or connected else Probe.NO_PATH
        self._pass_marks(instance.name, instance.born, answer)
        return Probe.REPLACED if answer.status == 421 else Probe.ANSWERS


def _lacks_path(cause: BaseException | None) -> bool:
    """Whether a connection failed as no peer could tell about the instance."""
    return isinstance(cause, TunnelError) and not cause.outcome.concerns_instance


def _conclude_state(found: Probe) -> ProcessState:
    """Return what an answer, or a refusal that needs no confirmation, proves."""
    if found is Probe.ANSWERS:
        return ProcessState.RUNS
    if found.proves_end:
        return ProcessState.ENDED
    return ProcessState.UNKNOWN
