"""Connections to instances through a peer, for nodes that cannot reach them directly.

A tunnel is a WebSocket connection to a peer, which connects to the instance and
forwards bytes both ways.  The node that opens it speaks HTTP with the instance as on a
direct connection, so whatever may happen to a direct connection is all that a tunnel
can do to a request.  The close code tells the regular end of the instance's connection
from a failure of either side.

A peer only connects directly, to listed instances, and on behalf of listed nodes.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from websockets.asyncio.server import ServerConnection

    from coursepitch.clock import Clock
    from coursepitch.fleet.nodes import NodeLocation
    from coursepitch.http.stream import ByteStream

__all__ = [
    'OPEN_TIMEOUT_S',
    'TUNNEL_PATH',
    'TunnelClient',
    'TunnelError',
    'TunnelOutcome',
    'TunnelServer',
]

#: Path of tunnels at a peer's address, before the name of the instance.
TUNNEL_PATH = '/tunnel/'

#: Timeout in seconds for opening a tunnel, including the connection to the instance.
OPEN_TIMEOUT_S = 0.6

#: Peers that are asked for one tunnel, or whether one instance has ended.
MAX_PEERS = 4

#: Seconds for which a peer that could not open a tunnel is asked again only if
#: :data:`PEER_TRUST_S` allows it.
PEER_PAUSE_S = 1.0

#: Seconds since its last tunnel for which the peer that opened it is asked though it is
#: paused, if it only did not answer in time and no other peer is left.
PEER_TRUST_S = 3.0

#: Largest number of tunnels that a node keeps open for peers.  Each takes two
#: descriptors and buffers in both directions.
MAX_TUNNELS = 256


class TunnelOutcome(enum.Enum):
    """Why a tunnel could not be opened; the values are close codes.

    :cvar UNLISTED: the peer does not list the instance, which tells nothing about the
        peer's paths.
    :cvar UNADMITTED: the peer does not list this node.
    :cvar REFUSED: the peer reaches other instances, and this one refuses connections.
    :cvar NO_PATH: the peer cannot reach instances either.
    :cvar SILENT: the peer reaches other instances, and this one does not answer.
    :cvar BUSY: the peer keeps enough tunnels, or is stopping.
    :cvar NO_PEER: no peer answered in time.
    """

    UNLISTED = 4404
    UNADMITTED = 4403
    REFUSED = 4502
    NO_PATH = 4503
    SILENT = 4504
    BUSY = 4429
    NO_PEER = 0

    @property
    def concerns_instance(self) -> bool:
        """Whether it tells something about the instance rather than the peer."""
        return self in (TunnelOutcome.REFUSED, TunnelOutcome.SILENT)


class TunnelError(OSError):
    """No tunnel could be opened, so nothing was sent to the instance."""

    def __init__(self, outcome: TunnelOutcome) -> None:
        super().__init__(outcome.name.lower().replace('_', ' '))
        self.outcome = outcome


class TunnelClient:
    """Opens tunnels through peers.

    :param me: name of this node.
    :param zone: availability zone of this node.
    :param list_nodes: returns the places of all listed nodes by name.
    """

    def __init__(
        self,
        me: str,
        zone: str,
        list_nodes: Callable[[], Mapping[str, NodeLocation]],
        clock: Clock,
    ) -> None:
        self._me = me
        self._zone = zone
        self._list_nodes = list_nodes
        self._clock = clock
        self._paused_until: dict[str, float] = {}
        self._trusted_peer = ''
        #: Time at which a tunnel was last opened, and at which all peers that were
        #: asked last failed to open one, for whatever instance.
        self.opened_at = float('-inf')
        self.failed_at = float('-inf')
        #: Outcome at the last peer that was asked then; a node without peers is no
        #: worse off than they are.
        self.failure = TunnelOutcome.NO_PATH
        #: Counts the attempts at peers by outcome.
        self.count: Callable[[str], None] = lambda outcome: None

    async def open(self, instance: str) -> ByteStream:
        """Return a connection to an instance through a peer.

        :raises TunnelError: an outcome that concerns the instance, or none of the peers
            that were asked could connect.
        """
        asked: set[str] = set()
        outcome, may_have_path = TunnelOutcome.NO_PEER, False
        while len(asked) < MAX_PEERS and (peer := self._choose_peer(asked)):
            asked.add(peer)
            try:
                return await self.open_at(peer, instance)
            except TunnelError as error:
                if error.outcome.concerns_instance:
                    raise
                outcome = error.outcome
                may_have_path |= outcome is TunnelOutcome.UNLISTED
        if not may_have_path:
            self.failed_at = self._clock()
            if asked:
                self.failure = outcome
        raise TunnelError(outcome)

    async def open_at(self, peer: str, instance: str) -> ByteStream:
        """Return a connection to an instance through a peer.

        :raises TunnelError: the peer did not connect.
        """
        try:
            stream = await self._open_at(peer, instance)
        except TunnelError as error:
            self.count(error.outcome.name.lower())
            if error.outcome.concerns_instance:
                self._note_path(peer)
            else:
                self._note_failure(peer, error.outcome)
            raise
        self.count('opened')
        self._note_path(peer)
        return stream

    def choose_witnesses(self) -> list[str]:
        """Return random peers that are asked about one instance, of many zones.

        The nodes that a cut of paths concerns are often those of one zone.  Paused
        ones come last, and are not left out: they may have a path again.
        """
        nodes = self._list_nodes()
        names = [name for name in nodes if name != self._me]
        random.shuffle(names)
        available = self._list_available()
        names.sort(key=lambda name: name not in available)
        zones: set[str] = set()
        first: list[str] = []
        others: list[str] = []
        for name in names:
            zone = nodes[name].availability_zone
            (others if zone in zones else first).append(name)
            zones.add(zone)
        return (first + others)[:MAX_PEERS]

    def has_peers(self) -> bool:
        """Whether other nodes are listed."""
        return any(name != self._me for name in self._list_nodes())

    def trusts_peer(self) -> bool:
        """Whether a peer opened a tunnel lately and has only been late since."""
        return (
            self._trusted_peer in self._list_nodes()
            and self._clock() - self.opened_at <= PEER_TRUST_S
        )

    def _note_path(self, peer: str) -> None:
        """Record that a peer reached an instance or others like it."""
        self.opened_at = self._clock()
        self._trusted_peer = peer

    def _note_failure(self, peer: str, outcome: TunnelOutcome) -> None:
        """Pause a peer that could not open a tunnel."""
        if outcome is TunnelOutcome.UNLISTED:
            return
        if outcome is not TunnelOutcome.UNADMITTED:
            self._paused_until[peer] = self._clock() + PEER_PAUSE_S
        if outcome is not TunnelOutcome.NO_PEER and peer == self._trusted_peer:
            self._trusted_peer = ''

    def _choose_peer(self, asked: set[str]) -> str:
        """Return the better of two random peers, or an empty string.

        With the nearest one, the only node of a zone that reaches instances would have
        to carry the traffic of the whole zone.
        """
        nodes = self._list_nodes()
        names = [name for name in self._list_available() if name not in asked]
        if not names and self.trusts_peer() and self._trusted_peer not in asked:
            return self._trusted_peer
        two = random.sample(names, min(2, len(names)))
        near = [name for name in two if nodes[name].availability_zone == self._zone]
        return next(iter(near or two), '')

    def _list_available(self) -> list[str]:
        """Return the peers that are not paused."""
        now = self._clock()
        self._paused_until = {
            name: until for name, until in self._paused_until.items() if until > now
        }
        return [
            name
            for name in self._list_nodes()
            if name != self._me and name not in self._paused_until
        ]

    async def _open_at(self, peer: str, instance: str) -> ByteStream:
        # Imported late: it would delay the first clients.
        from coursepitch.fleet.tunnel_streams import connect_through_peer

        place = self._list_nodes().get(peer)
        if place is None:
            raise TunnelError(TunnelOutcome.NO_PEER)
        return await connect_through_peer(
            place.address, instance, self._me, OPEN_TIMEOUT_S
        )


@dataclass(eq=False)
class TunnelServer:
    """Connects peers to instances.

    :param list_nodes: returns the places of all nodes that may open tunnels, by name.
    :param connect: connects directly to a listed instance; raises TunnelError.
    """

    list_nodes: Callable[[], Mapping[str, NodeLocation]]
    connect: Callable[[str], Awaitable[ByteStream]]
    _connections: set[ServerConnection] = field(default_factory=set)
    _stopping: bool = False

    def count_open(self) -> int:
        """Return the number of tunnels that peers have open."""
        return len(self._connections)

    async def stop(self) -> None:
        """Open no more tunnels, and tell peers not to reuse those that are open."""
        self._stopping = True
        if not self._connections:
            return
        from coursepitch.fleet.tunnel_streams import announce_stop

        for connection in list(self._connections):
            await announce_stop(connection)

    async def serve(self, connection: ServerConnection) -> None:
        """Serve a tunnel until either side ends."""
        from coursepitch.fleet.tunnel_streams import (
            ConnectionClosed,
            forward,
            read_target,
        )

        instance, node, host = read_target(connection)
        stream: ByteStream | None = None
        self._connections.add(connection)
        try:
            self._check_admitted(node, host)
            stream = await self.connect(instance)
            await forward(connection, stream)
        except TunnelError as error:
            log.emit(
                events.TUNNEL_REFUSED,
                peer=node,
                instance=instance,
                reason=error.outcome.name.lower(),
            )
            await connection.close(error.outcome.value)
        except ConnectionClosed:
            # The peer left; its connection to the instance ends as well.
            pass
        finally:
            self._connections.discard(connection)
            if stream is not None:
                stream.close()

    def _check_admitted(self, node: str, host: str) -> None:
        """Check whether a node may open a tunnel.

        :raises TunnelError: it may not.
        """
        if self._stopping or len(self._connections) > MAX_TUNNELS:
            raise TunnelError(TunnelOutcome.BUSY)
        place = self.list_nodes().get(node)
        if place is None or place.address.rpartition(':')[0] != host:
            raise TunnelError(TunnelOutcome.UNADMITTED)
