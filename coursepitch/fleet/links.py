"""Links between nodes, over websockets.

Who links to whom is chosen in :mod:`coursepitch.fleet.topology`.  Whoever has been
linked to passes on what it hears to those that did, and tells the sum of the
others' loads to those that want it.  So the number of links grows with the number
of nodes, not with its square.

Nothing is agreed over these links and no promise hangs on them: without them a
node asks the store itself and balances by its own requests only.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from coursepitch import events, log
from coursepitch.errors import CodecError
from coursepitch.fleet.messages import (
    Heartbeat,
    decode_message,
    encode_heartbeat,
    encode_message,
    encode_state,
)
from coursepitch.fleet.topology import LinkPlan, choose_links

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from websockets.asyncio.connection import Connection

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Changes, Message
    from coursepitch.fleet.nodes import NodePlace
    from coursepitch.fleet.peers import PeerBook
    from coursepitch.fleet.view import FleetView

__all__ = ['PeerLinks']

#: Seconds between two heartbeats on a link.  Source: a load is then seen 0.25 s
#: late in the middle, less than a request takes.
TELL_S = 0.25

#: The same on a link to a relay, which tells the loads on, so that they are not seen
#: much later for it: mean worth of two days that lose 19 of 171 instances 0.816 in
#: place of 0.797 (68 nodes, one run each; a part of it may be chance).
RELAY_TELL_S = 0.1

#: Seconds for which a link may take to come up, and a message to leave.
LINK_TIMEOUT_S = 1.0

#: Seconds after which a link on which nothing came is given up.
SILENT_S = 1.2

#: Seconds for which a peer is passed over after its link broke.
DOWN_S = 3.0

#: Messages that wait for one peer; further ones are dropped, and the peer finds
#: by the revisions that it missed some and asks the store.
QUEUE_LIMIT = 64

#: Largest message in bytes: a configuration is the largest.  Source: the store
#: holds values of up to 1 MB.
MESSAGE_BYTES = 2_097_152


@dataclass(eq=False)
class _Link:
    """A connection with a peer, and the messages that wait for it.

    :param node: name of the peer; empty until it told.
    :param heard_at: when something came last.
    :param sending_since: since when a message has been leaving, if one is.
    :param ended: why the link was given up; empty while it wasn't.
    """

    node: str = ''
    waiting: collections.deque[bytes] = field(default_factory=collections.deque)
    beat: bool = True
    wake: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    heard_at: float = float('inf')
    sending_since: float = float('inf')
    ended: str = ''
    serving: anyio.CancelScope | None = None

    def find_fault(self, now: float) -> str:
        """Return why the link is to be given up; empty if it is sound."""
        if now - self.heard_at > SILENT_S:
            return 'silent'
        if now - self.sending_since > LINK_TIMEOUT_S:
            return 'a message does not leave'
        return ''

    def give_up(self, reason: str) -> None:
        """End the exchange of messages; the connection is then closed."""
        self.ended = reason
        if self.serving is not None:
            self.serving.cancel()

    def put(self, data: bytes) -> None:
        """Queue a message."""
        if len(self.waiting) < QUEUE_LIMIT:
            self.waiting.append(data)
        self.wake.set()


@dataclass(eq=False)
class PeerLinks:
    """The links of a node.

    :param me: name of this node.
    :param zone: availability zone of this node.
    :param read_beat: returns what this node tells of itself now.
    :param take: called with each message that arrives.
    :param greet: called with a peer when its link is up.
    """

    me: str
    zone: str
    view: FleetView
    book: PeerBook
    read_beat: Callable[[], Heartbeat]
    take: Callable[[Message], None]
    clock: Clock
    greet: Callable[[str], None] = lambda node: None
    _dialled: dict[str, _Link] = field(default_factory=dict)
    _accepted: list[_Link] = field(default_factory=list)
    _down: dict[str, float] = field(default_factory=dict)
    _plan: LinkPlan = field(default_factory=LinkPlan)
    _state: bytes = b''
    _due: anyio.Event = field(default_factory=anyio.Event)
    _planned_for: tuple[dict[str, NodePlace], str] | None = None

    def is_followed(self) -> bool:
        """Whether other nodes count on this one to tell them of changes."""
        return bool(self._accepted)

    def follows(self) -> bool:
        """Whether this node is to follow the store for others."""
        return self._plan.follows

    def tell(self, message: Message, node: str = '') -> None:
        """Queue a message for one node, or for all that are linked."""
        data = encode_message(message)
        for link in self._list_links():
            if link.node and node in ('', link.node):
                link.put(data)

    def pass_on(self, changes: Changes, sender: str = '') -> None:
        """Queue changes for the nodes that count on this one, and for relays.

        These pass them on in turn, so each node gets them about once.

        :param sender: who told them; empty for the store.  What a node was told
            goes no further than to those that count on it.
        """
        data = encode_message(changes)
        for link in self._accepted if sender else self._list_links():
            if link.node != sender and self.book.wants_changes(link.node):
                link.put(data)

    def tell_now(self) -> None:
        """Let the next heartbeat leave at once."""
        self._due.set()

    def _list_links(self) -> list[_Link]:
        return [*self._dialled.values(), *self._accepted]

    # -- tasks ----------------------------------------------------------------------

    async def run(self, sock: socket.socket) -> None:
        """Listen to peers and hold links, until cancelled."""
        # Imported late, as it takes a tenth of a second: clients come first.
        from websockets.asyncio.server import serve

        server = serve(
            self._accept,
            sock=sock,
            compression=None,
            max_size=MESSAGE_BYTES,
            ping_interval=None,
        )
        async with server, anyio.create_task_group() as group:
            group.start_soon(self._beat_relays)
            await self._beat(group)

    async def _beat(self, group: TaskGroup) -> None:
        """Match the links and let a heartbeat leave on all when it is time."""
        while True:
            self._match_links(group)
            self._give_up_faulty()
            self.book.forget_silent()
            self._state = encode_state(self.read_beat())
            for link in self._list_links():
                link.beat = True
                link.wake.set()
            with anyio.move_on_after(TELL_S):
                await self._due.wait()
            self._due = anyio.Event()

    async def _beat_relays(self) -> None:
        """Let heartbeats leave more often to relays that tell the loads on."""
        while True:
            relays = [item for item in self._accepted if self.book.is_relay(item.node)]
            for link in relays:
                link.beat = True
                link.wake.set()
            await anyio.sleep(RELAY_TELL_S if relays else TELL_S)

    def _give_up_faulty(self) -> None:
        """Give up links that are silent or take nothing.

        One look at all of them costs less than a timer for each message.
        """
        now = self.clock()
        for link in self._list_links():
            fault = link.find_fault(now)
            if fault:
                link.give_up(fault)

    def _plan_links(self, up: dict[str, NodePlace]) -> LinkPlan:
        """Return the links wanted; they are chosen anew when the nodes change.

        :param up: the nodes that can be linked to.
        """
        key = (up, self.view.leader)
        if key != self._planned_for:
            self._planned_for = key
            zones = {name: place.availability_zone for name, place in up.items()}
            self._plan = choose_links(
                self.me, {**zones, self.me: self.zone}, self.view.leader
            )
        return self._plan

    def _match_links(self, group: TaskGroup) -> None:
        """Hold a link to each node that follows the store for all."""
        now = self.clock()
        self._down = {name: until for name, until in self._down.items() if until > now}
        nodes = self.view.nodes
        up = {name: place for name, place in nodes.items() if name not in self._down}
        wanted = set(self._plan_links(up).peers)
        for node in [name for name in self._dialled if name not in wanted]:
            self._dialled.pop(node).scope.cancel()
        for node in wanted:
            if node in up and node not in self._dialled:
                link = self._dialled[node] = _Link(node)
                group.start_soon(self._dial, nodes[node].address, link)

    async def _dial(self, address: str, link: _Link) -> None:
        """Hold a link to a peer until it breaks or is no longer wanted."""
        from websockets.asyncio.client import connect
        from websockets.exceptions import WebSocketException

        options: dict[str, Any] = {
            'compression': None,
            'open_timeout': LINK_TIMEOUT_S,
            'close_timeout': LINK_TIMEOUT_S,
            'max_size': MESSAGE_BYTES,
            'ping_interval': None,
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
            self._down[link.node] = self.clock() + DOWN_S
        log.emit(events.PEER_DOWN, peer=link.node, reason=reason)
        if self._dialled.get(link.node) is link:
            del self._dialled[link.node]

    async def _accept(self, connection: Connection) -> None:
        link = _Link()
        self._accepted.append(link)
        try:
            with link.scope:
                await self._serve(connection, link)
        finally:
            self._accepted.remove(link)

    async def _serve(self, connection: Connection, link: _Link) -> str:
        """Tell a peer and hear it until the link breaks; return why it did."""
        from websockets.exceptions import WebSocketException

        reasons: list[str] = []
        link.heard_at = self.clock()
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

            group.start_soon(run, self._hear)
            group.start_soon(run, self._tell)
        return link.ended or (reasons[0] if reasons else 'closed')

    async def _hear(self, connection: Connection, link: _Link) -> None:
        while True:
            data = await connection.recv(decode=False)
            link.heard_at = self.clock()
            message = decode_message(data)
            if not link.node and isinstance(message, Heartbeat):
                link.node = message.node
                self.greet(link.node)
            self.take(message)

    async def _tell(self, connection: Connection, link: _Link) -> None:
        while True:
            link.sending_since = self.clock()
            while link.waiting:
                await connection.send(link.waiting.popleft())
            if link.beat:
                link.beat = False
                await connection.send(self._compose(link.node))
            link.sending_since = float('inf')
            if not link.waiting and not link.beat:
                link.wake = anyio.Event()
                await link.wake.wait()

    def _compose(self, node: str) -> bytes:
        """Return the heartbeat for one peer.

        The clock is read after the echo, so that the echo is older.
        """
        incarnation, reading = self.book.read_echo(node)
        return encode_heartbeat(
            self._state,
            self.clock(),
            incarnation,
            reading,
            node == self._choose_teller(),
            self.book.sum_others(node),
        )

    def _choose_teller(self) -> str:
        """Return the peer that tells the others' loads, of those heard."""
        if self.me == self.view.leader:
            return ''
        heard = self.book.list_heard()
        names = (name for name in self._plan.peers if name in heard)
        return next(names, '')
