"""WebSocket links between nodes.

:mod:`coursepitch.fleet.topology` decides which nodes connect.  A node that accepted
links relays changes over them, and sends the sum of the other nodes' loads to the
peers that request it.  So the number of links grows with the number of nodes, not
with its square.

The links carry no consensus and no guarantee depends on them: without links, a node
queries the store itself and balances load by its own requests only.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from coursepitch import events, log
from coursepitch.errors import CodecError
from coursepitch.fleet.link_pacing import (
    BACKGROUND_SHARE,
    LINK_SHARE,
    LinkPacer,
    PacedQueue,
    Pacing,
)
from coursepitch.fleet.link_traffic import LinkTraffic, name_kind
from coursepitch.fleet.messages import (
    Changes,
    CrashReport,
    Heartbeat,
    TableReply,
    decode_message,
    encode_heartbeat,
    encode_message,
    encode_state,
)
from coursepitch.fleet.topology import LinkPlan, choose_links
from coursepitch.fleet.tunnels import TUNNEL_PATH

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup
    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import ServerConnection

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Message
    from coursepitch.fleet.nodes import NodeLocation
    from coursepitch.fleet.peers import PeerRegistry
    from coursepitch.fleet.view import FleetView

__all__ = ['PeerLinks']

#: Seconds between two heartbeats on a link.  Loads are then seen with a median delay
#: of 0.25 s, less than a request takes.
HEARTBEAT_S = 0.25

#: The same on a link to a relay, which forwards the loads, to limit the added delay.
RELAY_HEARTBEAT_S = 0.1

#: Timeout in seconds for opening or closing a link, and for sending a message.
LINK_TIMEOUT_S = 1.0

#: Seconds without a received message after which a link is closed.
SILENT_S = 1.2

#: Seconds for which a peer is not dialled after its link broke.
REDIAL_DELAY_S = 3.0

#: Maximum number of messages queued for one peer.  Further ones are dropped; the peer
#: detects the gap by the revisions, and asks the store.
QUEUE_LIMIT = 64

#: Maximum size of a message in bytes.  The largest is a configuration, and the store
#: holds values of up to 1 MB.
MAX_MESSAGE_BYTES = 2_097_152


#: Messages that may be large and go to many peers, and so wait for their share of the
#: node's network link.
_PACED = (Changes, CrashReport, TableReply)


@dataclass(eq=False)
class _Link:
    """A connection to a peer and its queue of messages.

    :param node: name of the peer; empty until its first heartbeat.
    :param waiting: encoded messages to send, each after its kind.
    :param paced: messages that wait for their share of the network link.
    :param background: those that all others go before.
    :param heartbeat_due: whether a heartbeat is due.
    :param received_at: time of the last received message.
    :param sending_since: start of the current send; infinite if there is none.
    :param ended: why this node closed the link; empty otherwise.
    """

    node: str = ''
    waiting: collections.deque[tuple[str, bytes]] = field(
        default_factory=collections.deque
    )
    paced: PacedQueue = field(default_factory=PacedQueue)
    background: PacedQueue = field(default_factory=PacedQueue)
    heartbeat_due: bool = True
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    received_at: float = float('inf')
    sending_since: float = float('inf')
    ended: str = ''
    serving: anyio.CancelScope | None = None
    connection: Connection | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes written to the connection that the kernel has not taken."""
        if self.connection is None:
            return 0
        return self.connection.transport.get_write_buffer_size()

    def find_fault(self, now: float) -> str:
        """Return why the link has to be closed; empty if it is healthy."""
        if now - self.received_at > SILENT_S:
            return 'silent'
        if now - self.sending_since > LINK_TIMEOUT_S:
            return 'a message does not leave'
        return ''

    def abort(self, reason: str) -> None:
        """Stop sending and receiving, which closes the connection."""
        self.ended = reason
        if self.serving is not None:
            self.serving.cancel()

    @property
    def queued(self) -> int:
        """Number of messages that wait to be sent."""
        queues = (self.waiting, self.paced.messages, self.background.messages)
        return sum(map(len, queues))

    def put(self, data: bytes, kind: str = '', pacing: Pacing | None = None) -> bool:
        """Queue a message; drop it if the queue is full.

        :param pacing: how it waits for the network link; ``None`` if it does not.
        :return: whether it was queued.
        """
        queue = self.waiting
        if pacing is not None:
            paced = pacing is Pacing.NORMAL
            queue = (self.paced if paced else self.background).messages
        has_room = len(queue) < QUEUE_LIMIT
        if has_room:
            queue.append((kind, data))
        self.wake.set()
        return has_room


@dataclass(eq=False)
class PeerLinks:
    """The links of a node.

    :param me: name of this node.
    :param zone: availability zone of this node.
    :param build_heartbeat: returns this node's current heartbeat.
    :param take: called with each received message.
    :param greet: called with the name of a peer when its link is up.
    :param serve_tunnel: serves a peer's connection to an instance, see
        :mod:`coursepitch.fleet.tunnels`.
    :param count_sent: counts the bytes that were sent by kind of message.
    :ivar pacer: share of the network link that messages may take.
    :ivar background_pacer: share that those in the background may take of it.
    """

    me: str
    zone: str
    view: FleetView
    book: PeerRegistry
    build_heartbeat: Callable[[], Heartbeat]
    take: Callable[[Message], None]
    clock: Clock
    greet: Callable[[str], None] = lambda node: None
    serve_tunnel: Callable[[ServerConnection], Awaitable[None]] | None = None
    count_sent: Callable[[str, int], None] = lambda kind, size: None
    _dialled: dict[str, _Link] = field(default_factory=dict)
    _accepted: list[_Link] = field(default_factory=list)
    _down_until: dict[str, float] = field(default_factory=dict)
    _plan: LinkPlan = field(default_factory=LinkPlan)
    _heartbeat_state: bytes = b''
    _heartbeat_due: anyio.Event = field(default_factory=anyio.Event)
    _plan_key: tuple[dict[str, NodeLocation], str] | None = None

    def __post_init__(self) -> None:
        self.set_link_speed(0.0)
        self._traffic = LinkTraffic(
            self.clock, lambda kind, size: self.count_sent(kind, size)
        )

    def set_link_speed(self, mbit_s: float) -> None:
        """Set the speed of the node's network link in Mbit/s; 0 if it is unknown."""
        self.pacer = LinkPacer(self.clock, mbit_s, LINK_SHARE)
        self.background_pacer = LinkPacer(self.clock, mbit_s, BACKGROUND_SHARE)

    def is_followed(self) -> bool:
        """Whether other nodes depend on this one for changes."""
        return bool(self._accepted)

    def follows(self) -> bool:
        """Whether this node watches the store on behalf of others."""
        return self._plan.follows

    def send(self, message: Message, node: str = '') -> None:
        """Queue a message for one node, or for all linked nodes."""
        data = encode_message(message)
        for link in self._list_links():
            if link.node and node in ('', link.node):
                self._put(link, message, data)

    def send_in_background(self, message: Message, node: str) -> None:
        """Queue a message for one node that it probably knows.

        All nodes link to a new leader at once, and what each is told may be large.
        """
        data = encode_message(message)
        for link in self._list_links():
            if link.node == node:
                self._put(link, message, data, Pacing.BACKGROUND)

    def relay_changes(self, changes: Changes, sender: str = '') -> None:
        """Queue changes for the nodes that depend on this one, and for relays.

        Relays forward them in turn, so each node receives them about once.

        :param sender: peer that sent the changes; empty for the store.  Changes from
            a peer are only forwarded to the nodes that depend on this one.
        """
        data = encode_message(changes)
        for link in self._accepted if sender else self._list_links():
            if link.node != sender and self.book.wants_changes(link.node):
                self._put(link, changes, data)

    def _put(
        self,
        link: _Link,
        message: Message,
        data: bytes,
        pacing: Pacing | None = None,
    ) -> None:
        if pacing is None and isinstance(message, _PACED):
            pacing = Pacing.NORMAL
        if not link.put(data, name_kind(message), pacing):
            self._traffic.note_dropped()

    def send_heartbeat_now(self) -> None:
        """Send the next heartbeat immediately."""
        self._heartbeat_due.set()

    def _list_links(self) -> list[_Link]:
        return [*self._dialled.values(), *self._accepted]

    # -- tasks ----------------------------------------------------------------------

    async def run(self, sock: socket.socket) -> None:
        """Accept and maintain links until cancelled."""
        # Imported late: it takes 0.1 s, which would delay the first clients.
        from websockets.asyncio.server import serve

        from coursepitch.util.peer_connections import PeerServerConnection

        server = serve(
            self._accept,
            sock=sock,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            close_timeout=LINK_TIMEOUT_S,
            create_connection=PeerServerConnection,
        )
        async with server, anyio.create_task_group() as group:
            group.start_soon(self._send_relay_heartbeats)
            await self._send_heartbeats(group)

    async def _send_heartbeats(self, group: TaskGroup) -> None:
        """Update the links and send periodic heartbeats on all of them."""
        while True:
            self._update_links(group)
            self._close_faulty()
            self.book.forget_silent()
            links = self._list_links()
            self._traffic.log_if_due(
                sum(link.queued for link in links),
                sum(link.unsent_bytes for link in links),
            )
            self._heartbeat_state = encode_state(self.build_heartbeat())
            for link in self._list_links():
                link.heartbeat_due = True
                link.wake.set()
            with anyio.move_on_after(HEARTBEAT_S):
                await self._heartbeat_due.wait()
            self._heartbeat_due = anyio.Event()

    async def _send_relay_heartbeats(self) -> None:
        """Send more frequent heartbeats to the relays that forward loads."""
        while True:
            relays = [item for item in self._accepted if self.book.is_relay(item.node)]
            for link in relays:
                link.heartbeat_due = True
                link.wake.set()
            await anyio.sleep(RELAY_HEARTBEAT_S if relays else HEARTBEAT_S)

    def _close_faulty(self) -> None:
        """Close links that are silent or blocked.

        One check of all links costs less than a timer for each message.
        """
        now = self.clock()
        for link in self._list_links():
            fault = link.find_fault(now)
            if fault:
                link.abort(fault)

    def _plan_links(self, up: dict[str, NodeLocation]) -> LinkPlan:
        """Return the planned links; recomputed when the nodes or the leader change.

        :param up: nodes that can be dialled.
        """
        key = (up, self.view.leader)
        if key != self._plan_key:
            self._plan_key = key
            zones = {name: place.availability_zone for name, place in up.items()}
            self._plan = choose_links(
                self.me, {**zones, self.me: self.zone}, self.view.leader
            )
        return self._plan

    def _update_links(self, group: TaskGroup) -> None:
        """Close links that are no longer planned, and dial the missing ones."""
        now = self.clock()
        self._down_until = {
            name: until for name, until in self._down_until.items() if until > now
        }
        nodes = self.view.nodes
        up = {
            name: place for name, place in nodes.items() if name not in self._down_until
        }
        wanted = set(self._plan_links(up).peers)
        for node in [name for name in self._dialled if name not in wanted]:
            self._dialled.pop(node).scope.cancel()
        for node in wanted:
            if node in up and node not in self._dialled:
                link = self._dialled[node] = _Link(node)
                group.start_soon(self._dial, nodes[node].address, link)

    async def _dial(self, address: str, link: _Link) -> None:
        """Maintain a link to a peer until it breaks or is no longer planned."""
        from websockets.asyncio.client import connect
        from websockets.exceptions import WebSocketException

        from coursepitch.util.peer_connections import PeerClientConnection

        options: dict[str, Any] = {
            'compression': None,
            'open_timeout': LINK_TIMEOUT_S,
            'close_timeout': LINK_TIMEOUT_S,
            'max_size': MAX_MESSAGE_BYTES,
            'ping_interval': None,
            'create_connection': PeerClientConnection,
        }
        reason = 'no longer wanted'
        with link.scope:
            try:
                async with connect(f'ws://{address}/', **options) as connection:
                    log.emit(events.PEER_UP, peer=link.node)
                    self.greet(link.node)
                    reason = await self._serve(connection, link)
            except (OSError, TimeoutError, WebSocketException) as error:
                reason = type(error).__name__
            self._down_until[link.node] = self.clock() + REDIAL_DELAY_S
        log.emit(events.PEER_DOWN, peer=link.node, reason=reason)
        if self._dialled.get(link.node) is link:
            del self._dialled[link.node]

    async def _accept(self, connection: ServerConnection) -> None:
        request = connection.request
        if request is not None and request.path.startswith(TUNNEL_PATH):
            if self.serve_tunnel is not None:
                await self.serve_tunnel(connection)
            return
        link = _Link()
        self._accepted.append(link)
        try:
            with link.scope:
                await self._serve(connection, link)
        finally:
            self._accepted.remove(link)

    async def _serve(self, connection: Connection, link: _Link) -> str:
        """Send and receive until the link breaks; return the reason."""
        from websockets.exceptions import WebSocketException

        reasons: list[str] = []
        link.received_at = self.clock()
        link.connection = connection
        async with anyio.create_task_group() as group:
            link.serving = group.cancel_scope

            async def run(work: Callable[[Connection, _Link], Any]) -> None:
                try:
                    await work(connection, link)
                except CodecError as error:
                    log.emit(events.PEER_REFUSED, peer=link.node, reason=str(error))
                    reasons.append(str(error))
                except (OSError, TimeoutError, WebSocketException) as error:
                    reasons.append(type(error).__name__)
                group.cancel_scope.cancel()

            group.start_soon(run, self._receive)
            group.start_soon(run, self._send_queued)
        if link.ended or reasons:
            # A faulty peer need not let a handshake end.
            connection.transport.abort()
        return link.ended or (reasons[0] if reasons else 'closed')

    async def _receive(self, connection: Connection, link: _Link) -> None:
        while True:
            data = await connection.recv(decode=False)
            link.received_at = self.clock()
            message = decode_message(data)
            if not link.node and isinstance(message, Heartbeat):
                link.node = message.node
                self.greet(link.node)
            self.take(message)

    async def _send_queued(self, connection: Connection, link: _Link) -> None:
        while True:
            link.wake = anyio.Event()
            while link.waiting:
                kind, data = link.waiting.popleft()
                self.pacer.note_sent(len(data))
                await self._send_now(connection, link, kind, data)
            now = self.clock()
            delay_s = link.paced.find_delay_s(self.pacer, now)
            if not delay_s:
                await self._send_now(connection, link, *link.paced.take())
                continue
            later_s = link.background.find_delay_s(self.background_pacer, now)
            if not later_s:
                kind, data = link.background.take()
                self.pacer.note_sent(len(data))
                await self._send_now(connection, link, kind, data)
                continue
            delay_s = min(delay_s, later_s)
            if link.heartbeat_due:
                link.heartbeat_due = False
                data = self._encode_heartbeat(link.node)
                self.pacer.note_sent(len(data))
                await self._send_now(connection, link, 'heartbeat', data)
                continue
            if delay_s == float('inf'):
                await link.wake.wait()
            else:
                with anyio.move_on_after(delay_s):
                    await link.wake.wait()

    async def _send_now(
        self, connection: Connection, link: _Link, kind: str, data: bytes
    ) -> None:
        link.sending_since = self.clock()
        await connection.send(data)
        link.sending_since = float('inf')
        self._traffic.note_sent(kind, len(data))

    def _encode_heartbeat(self, node: str) -> bytes:
        """Return the encoded heartbeat for one peer.

        The clock is read after the echo, so that the echo is never newer.
        """
        incarnation, reading = self.book.read_echo(node)
        return encode_heartbeat(
            self._heartbeat_state,
            self.clock(),
            incarnation,
            reading,
            node == self._choose_load_provider(),
            self.book.sum_others(node),
        )

    def _choose_load_provider(self) -> str:
        """Return the first planned peer that is alive, to request loads from."""
        if self.me == self.view.leader:
            return ''
        heard = self.book.list_heard()
        names = (name for name in self._plan.peers if name in heard)
        return next(names, '')
