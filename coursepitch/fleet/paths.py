"""Paths of this node to the instances: direct, or through a peer.

That one instance cannot be reached says little about it: it may be gone, or the node
may have lost its path.  So before a node concludes anything about an instance, it
checks whether it reaches others.  A node that reaches none is cut off; it sends through
peers, and its failures count for nothing.
"""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.pause_detector import has_passed_late
from coursepitch.fleet.tunnels import TunnelError, TunnelOutcome
from coursepitch.http.client import connect_directly

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.tunnels import TunnelClient
    from coursepitch.fleet.view import FleetView
    from coursepitch.http.stream import ByteStream

__all__ = ['InstancePaths']

#: Seconds after which a direct connection that is not up competes with a tunnel.
TUNNEL_DELAY_S = 0.15

#: Seconds for which a node connects through peers to an instance that it did not reach,
#: before it tries directly again.
INDIRECT_S = 2.0

#: Number of other instances that a check connects to, and its timeout in seconds.
CHECKED_INSTANCES = 4
CHECK_TIMEOUT_S = 0.25

#: Minimum seconds between two checks after failed connections.
CHECK_PAUSE_S = 0.2

#: Seconds between two checks of a node that is cut off, whether it reaches instances
#: again, directly or through a peer, and number of instances that it connects to.
RECOVERY_CHECK_S = 0.25
RECOVERY_INSTANCES = 3

#: Timeout in seconds of a connection on behalf of a peer.
PEER_CONNECT_TIMEOUT_S = 0.25

#: Number of connections on behalf of a peer while an instance refuses them and no other
#: of its service is reached, and seconds between them.
PEER_TRIES = 5
PEER_PAUSE_S = 0.05


class InstancePaths:
    """Opens connections to instances, and detects that this node is cut off.

    :param is_cut_off: whether this node reaches no instance directly.
    """

    def __init__(self, view: FleetView, tunnels: TunnelClient, clock: Clock) -> None:
        self._view = view
        self._tunnels = tunnels
        self._clock = clock
        self.is_cut_off = False
        #: Called when the node is cut off, and when it is no longer.
        self.on_change: Callable[[], None] = lambda: None
        #: Monotonic time at which the node was last found to be cut off.
        self.cut_off_at = float('-inf')
        self._connected_at: dict[str, float] = {}
        self._indirect_until: dict[str, float] = {}
        self._check_done: anyio.Event | None = None
        self._check_due = anyio.Event()

    # -- connections ------------------------------------------------------------------

    async def connect(self, address: str, instance: str) -> ByteStream:
        """Return a connection to an instance.

        A connection counts as refused only if a peer that reaches other instances was
        refused as well, or if there is no peer to ask.

        :param address: IP:port of the instance.
        :raises OSError: no connection could be established.
        """
        if self.is_cut_off:
            return await self.connect_through_peer(address, instance)
        if self._indirect_until.get(instance, float('-inf')) > self._clock():
            with contextlib.suppress(OSError):
                return await self.connect_through_peer(address, instance)
        return await self._connect_either_way(address, instance)

    def note_unreached(self, instance: str) -> None:
        """Record that this node does not reach an instance which answers a peer."""
        now = self._clock()
        self._indirect_until = {
            name: until for name, until in self._indirect_until.items() if until > now
        }
        self._indirect_until[instance] = now + INDIRECT_S

    async def _connect_either_way(self, address: str, instance: str) -> ByteStream:
        """Connect directly, and through a peer if that fails or takes long."""
        began_at = self._clock()
        found: list[ByteStream] = []
        errors: list[OSError] = []
        direct_failed = anyio.Event()
        try:
            async with anyio.create_task_group() as tasks:

                def take(stream: ByteStream) -> None:
                    found.append(stream)
                    tasks.cancel_scope.cancel()

                async def try_directly() -> None:
                    try:
                        take(await self.connect_directly(address, instance))
                    except OSError as error:
                        errors.insert(0, error)
                        direct_failed.set()

                async def try_peers() -> None:
                    with anyio.move_on_after(TUNNEL_DELAY_S):
                        await direct_failed.wait()
                    if max(self._connected_at.values(), default=0.0) < began_at:
                        self._check_due.set()
                    try:
                        take(await self.connect_through_peer(address, instance))
                        self.note_unreached(instance)
                    except OSError as error:
                        errors.append(error)

                tasks.start_soon(try_directly)
                tasks.start_soon(try_peers)
        except BaseException:
            for stream in found:
                stream.close()
            raise
        if not found:
            raise _choose_error(*errors)
        for stream in found[1:]:
            stream.close()
        return found[0]

    async def connect_directly(self, address: str, instance: str) -> ByteStream:
        """Return a direct connection to an instance.

        :raises OSError: it could not be established.
        """
        stream = await connect_directly(address, instance)
        self._connected_at[self._find_service(instance)] = self._clock()
        return stream

    def _find_service(self, instance: str) -> str:
        found = self._view.instances.get(instance)
        return found.service if found is not None else ''

    async def connect_through_peer(self, address: str, instance: str) -> ByteStream:
        """Return a connection to an instance through a peer.

        :raises ConnectionRefusedError: a peer that reaches others was refused.
        :raises OSError: it could not be established.
        """
        with _raise_refusals():
            return await self._tunnels.open(instance)

    async def connect_through(
        self, peer: str, address: str, instance: str
    ) -> ByteStream:
        """Return a connection to an instance through a peer that is named.

        :raises ConnectionRefusedError: the peer reaches others and was refused.
        :raises OSError: it could not be established.
        """
        with _raise_refusals():
            return await self._tunnels.open_at(peer, instance)

    def choose_witnesses(self) -> list[str]:
        """Return the peers that are asked whether an instance has ended."""
        return self._tunnels.choose_witnesses()

    async def connect_for_peer(self, instance: str) -> ByteStream:
        """Return a direct connection to a listed instance, on behalf of a peer.

        :raises TunnelError: it failed; the outcome only concerns the instance if this
            node reaches others.
        """
        if self.is_cut_off:
            raise TunnelError(TunnelOutcome.NO_PATH)
        found = self._view.instances.get(instance)
        if found is None:
            raise TunnelError(TunnelOutcome.UNLISTED)
        began_at = self._clock()
        has_reached_others = False
        for _ in range(PEER_TRIES):
            try:
                return await self._connect_in_time(found.address, instance)
            except ConnectionRefusedError as error:
                if has_reached_others:
                    raise TunnelError(TunnelOutcome.REFUSED) from error
                # What was reached before the refusal may be cut off since, and a cut
                # that refused it may end before others are reached.
                has_reached_others = await self.check(self._clock(), instance)
                if has_reached_others:
                    continue
            except OSError as error:
                if await self.check(began_at, instance):
                    raise TunnelError(TunnelOutcome.SILENT) from error
                break
            if self.is_cut_off:
                break
            # All instances of the service may have ended, and new ones are starting.
            await anyio.sleep(PEER_PAUSE_S)
        raise TunnelError(TunnelOutcome.NO_PATH)

    async def _connect_in_time(self, address: str, instance: str) -> ByteStream:
        """Connect directly, and again if this process did not run meanwhile."""
        began_at = self._clock()
        try:
            with anyio.fail_after(PEER_CONNECT_TIMEOUT_S):
                return await self.connect_directly(address, instance)
        except TimeoutError:
            if not has_passed_late(PEER_CONNECT_TIMEOUT_S, self._clock() - began_at):
                raise
        with anyio.fail_after(PEER_CONNECT_TIMEOUT_S):
            return await self.connect_directly(address, instance)

    def was_cut_off_after(self, since: float) -> bool:
        """Whether the node is cut off, and was found to be so after a point in time.

        Direct connections that have been silent since then may hang.
        """
        return self.is_cut_off and since < self.cut_off_at

    def reaches_less_than_peers(self) -> bool:
        """Whether the node is cut off and the peer that it asked last is not."""
        opened_at = self._tunnels.opened_at
        return self.is_cut_off and opened_at >= max(
            self.cut_off_at, self._tunnels.failed_at
        )

    def has_peers(self) -> bool:
        """Whether other nodes are listed, so that they can be asked."""
        return self._tunnels.has_peers()

    def is_listed(self, instance: str) -> bool:
        """Whether the store holds an entry of an instance, as far as is known."""
        return instance in self._view.instances

    def is_isolated(self) -> bool:
        """Whether no instance can be reached, neither directly nor through peers."""
        tunnels = self._tunnels
        return (
            self.is_cut_off
            and tunnels.failed_at > tunnels.opened_at
            and not tunnels.trusts_peer()
        )

    def should_withdraw(self) -> bool:
        """Whether clients are better served by other nodes.

        Not while peers are cut off as well: their clients would come back in turn.
        """
        return self.is_isolated() and (
            self._tunnels.failure is not TunnelOutcome.NO_PATH
        )

    # -- detection --------------------------------------------------------------------

    async def check(self, since: float, suspect: str = '') -> bool:
        """Return whether this node directly reaches instances like a suspected one.

        These are others of its service, as a partition may separate a node from one
        service only.

        :param since: monotonic time since when a connection counts as a proof.
        :param suspect: the suspected instance; empty if any instance counts.
        """
        while self._check_done is not None:
            await self._check_done.wait()
        service = self._find_service(suspect)
        if self._has_connected(since, service):
            return True
        if self.is_cut_off:
            return False
        alike = self._choose_instances(CHECKED_INSTANCES, service, suspect)
        chosen = alike or self._choose_instances(CHECKED_INSTANCES, '', suspect)
        if not chosen:
            return True
        done = self._check_done = anyio.Event()
        try:
            reached = await self._reach(chosen, 1)
            if not reached and not self._has_connected(since):
                await self._check_others(since, suspect)
        finally:
            self._check_done = None
            done.set()
        return reached

    def _has_connected(self, since: float, service: str = '') -> bool:
        """Whether a direct connection to a service, or to any, came up since."""
        if service:
            return self._connected_at.get(service, float('-inf')) >= since
        return any(at >= since for at in self._connected_at.values())

    async def _check_others(self, since: float, suspect: str) -> None:
        """Find out whether this node reaches instances of any service."""
        chosen = self._choose_instances(CHECKED_INSTANCES, '', suspect)
        if not await self._reach(chosen, 1) and not self._has_connected(since):
            self._note_cut_off([item.name for item in chosen])

    def _choose_instances(
        self, count: int, service: str = '', excluded: str = ''
    ) -> list[FleetInstance]:
        """Return random instances that should answer, from many services and domains.

        :param service: service of the instances; empty for any.
        :param excluded: instance that is not returned.
        """
        view = self._view
        items = [
            item
            for item in view.instances.values()
            if item.name != excluded
            and service in ('', item.service)
            and view.accepts_requests(item.name)
            and not view.lost.has(item.name)
        ]
        random.shuffle(items)
        domains: set[tuple[str, str, str]] = set()
        first: list[FleetInstance] = []
        others: list[FleetInstance] = []
        for item in items:
            place = (item.service, item.availability_zone, item.domain)
            (others if place in domains else first).append(item)
            domains.add(place)
        return (first + others)[:count]

    async def _reach(self, instances: list[FleetInstance], count: int) -> bool:
        """Whether direct connections to so many of several instances come up.

        They are tried again if this process did not run meanwhile.
        """
        began_at = self._clock()
        if await self._reach_in_time(instances, count):
            return True
        if not has_passed_late(CHECK_TIMEOUT_S, self._clock() - began_at):
            return False
        return await self._reach_in_time(instances, count)

    async def _reach_in_time(self, instances: list[FleetInstance], count: int) -> bool:
        reached = 0
        with anyio.move_on_after(CHECK_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:

                async def reach(instance: FleetInstance) -> None:
                    nonlocal reached
                    try:
                        stream = await self.connect_directly(
                            instance.address, instance.name
                        )
                    except OSError:
                        # The caller logs the result of all attempts.
                        return
                    stream.close()
                    reached += 1
                    if reached >= count:
                        tasks.cancel_scope.cancel()

                for instance in instances:
                    tasks.start_soon(reach, instance)
        return reached >= count

    def _note_cut_off(self, instances: list[str]) -> None:
        if self.is_cut_off:
            return
        self.is_cut_off = True
        self.cut_off_at = self._clock()
        log.emit(events.PATHS_LOST, instances=instances)
        self._check_due.set()
        self.on_change()

    def _note_recovered(self) -> None:
        self.is_cut_off = False
        self._indirect_until.clear()
        after_s = round(self._clock() - self.cut_off_at, 3)
        log.emit(events.PATHS_RECOVERED, after_s=after_s)
        self.on_change()

    async def run(self) -> None:
        """Check the paths after failures, and while cut off, until cancelled."""
        while True:
            await self._check_due.wait()
            self._check_due = anyio.Event()
            await self.check(self._clock())
            while self.is_cut_off:
                await self._check_recovery()
            await anyio.sleep(CHECK_PAUSE_S)

    async def _check_recovery(self) -> None:
        """Check once whether this node reaches most instances again.

        If one were enough, a node that reaches a few would be cut off and recover in
        turns, and would close its connections each time.
        """
        chosen = self._choose_instances(RECOVERY_INSTANCES)
        if not chosen or await self._reach(chosen, len(chosen) // 2 + 1):
            self._note_recovered()
            return
        if self.is_isolated():
            await self._check_peers(chosen[0].name)
        await anyio.sleep(RECOVERY_CHECK_S)

    async def _check_peers(self, instance: str) -> None:
        try:
            stream = await self._tunnels.open(instance)
        except TunnelError:
            # The client notes that its peers failed.
            return
        stream.close()


@contextlib.contextmanager
def _raise_refusals() -> Iterator[None]:
    """Raise the refusal that a peer met as that of a direct connection."""
    try:
        yield
    except TunnelError as error:
        if error.outcome is TunnelOutcome.REFUSED:
            raise ConnectionRefusedError(str(error)) from error
        raise


def _choose_error(direct: OSError, indirect: OSError) -> OSError:
    """Return what to raise after a direct connection and the peers have failed.

    A refusal alone proves nothing about the instance if a peer could have told more.
    """
    alone = (
        isinstance(indirect, TunnelError) and indirect.outcome is TunnelOutcome.NO_PEER
    )
    if isinstance(direct, ConnectionRefusedError) and not alone:
        return indirect
    return direct
