"""Tasks that maintain the links to other nodes and forward records."""

from __future__ import annotations

import hmac
import random
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from coursepitch import events, log
from coursepitch.config.history import (
    pack_change,
    pack_configuration,
    unpack_change,
    unpack_configuration,
)
from coursepitch.errors import CodecError, PeerError
from coursepitch.peers.messages import (
    VERSION,
    AskChanges,
    Changes,
    Digest,
    Hello,
    Message,
    decode_message,
    encode_message,
)
from coursepitch.peers.slots import SlotTable
from coursepitch.peers.table import KnownState, MergeResult, Record, RecordKey, Table
from coursepitch.peers.topology import choose_links
from coursepitch.util.peer_connections import (
    PeerClientConnection,
    PeerServerConnection,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Collection

    from coursepitch.clock import Clock
    from coursepitch.config.settings import PeerSettings
    from coursepitch.control.session import Session
    from coursepitch.metrics import Metrics
    from coursepitch.peers.records import Body

__all__ = ['PeerHub']

#: Minimum interval in seconds between two digests on a link.
MIN_DIGEST_INTERVAL_S = 0.05

#: Timeout in seconds for a peer's greeting, as for opening its connection.
GREETING_TIMEOUT_S = 2.0

#: Seconds beyond the interval of digests within which a peer has to send a whole
#: message.  Pings tell as late that a peer has ended.
MESSAGE_TIMEOUT_S = 10.0

#: Digests without an echo at which a link is closed.  Source: twice as many as are sent
#: at most before :data:`MESSAGE_TIMEOUT_S` ends a link whose peer is silent.
MAX_UNECHOED_DIGESTS = int(2 * MESSAGE_TIMEOUT_S / MIN_DIGEST_INTERVAL_S)

#: Seconds by which a periodic record may be published before it is due.
EARLY_PUBLISH_S = 0.1

#: Kinds of records that are forwarded at once when their body changes.
_URGENT_KINDS = frozenset({'node', 'domain', 'fleet', 'crash'})

#: Seconds for which a peer counts as absent after a link to it failed or broke.
UNREACHABLE_S = 10.0

#: Maximum number of records in one digest; the rest follows in the next one.
_MAX_DIGEST_RECORDS = 2000


@dataclass(eq=False)
class Link:
    """State of one link.

    :param peer: name of the other node; empty before its greeting.
    :param number: number of the last digest sent.
    :param echo: number of the last digest received.
    :param sent_at: for each digest not yet echoed, a monotonic time before it was sent.
    :param known: newest states that the peer is known to hold.
    :param missing_bodies: records whose body this node must request again.
    :param changes_requested_at: monotonic time of the last request for changes of the
        configuration.
    :param listed_stamp: update counter of the table at the last listing of updates.
    :param wake: set to send the next digest without waiting for the interval.
    """

    socket: Any
    opened_at: float
    peer: str = ''
    number: int = 0
    echo: int = 0
    sent_at: dict[int, float] = field(default_factory=dict)
    known: dict[RecordKey, KnownState] = field(default_factory=dict)
    missing_bodies: set[RecordKey] = field(default_factory=set)
    slots: SlotTable = field(default_factory=SlotTable)
    changes_requested_at: float = 0.0
    listed_stamp: int = 0
    wake: anyio.Event = field(default_factory=anyio.Event)


class PeerHub:
    """Owner of the links and of the record table.

    :param node_name: name of this node.
    :param boot: number of this run of the node.
    """

    def __init__(
        self,
        node_name: str,
        boot: int,
        session: Session,
        settings: PeerSettings,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._node_name = node_name
        self._session = session
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._table = Table(node_name, boot)
        #: Returns the nodes that have a lease or were heard from recently.
        self.list_present: Callable[[], Collection[str]] = lambda: ()
        self._links: set[Link] = set()
        self._link_scopes: dict[str, anyio.CancelScope] = {}
        self._failed_at: dict[str, float] = {}

    # -- public interface ---------------------------------------------------

    def publish(self, kind: str, subject: str, body: Body, made_at: float) -> None:
        """Publish a record of this node; send urgent kinds at once when they change.

        :param made_at: monotonic time at which the body was true.
        """
        changed = self._table.publish(kind, subject, body, made_at)
        if changed and kind in _URGENT_KINDS:
            self._wake_links()

    def publish_if_due(
        self, kind: str, subject: str, body: Body, made_at: float, interval_s: float
    ) -> None:
        """Publish a record of this node if its body changed or it is due again.

        :param made_at: monotonic time at which the body was true.
        :param interval_s: seconds between two publications of an unchanged body.
        """
        stored = self._table.find(RecordKey(kind, subject, self._node_name))
        due = stored is None or made_at - stored.made_at >= interval_s - EARLY_PUBLISH_S
        if due or (stored is not None and stored.body != body):
            self.publish(kind, subject, body, made_at)

    def withdraw(self, kind: str, subject: str) -> None:
        """Stop publishing a record of this node."""
        self._table.withdraw(kind, subject)

    def records(self, kind: str) -> tuple[Record, ...]:
        """Return all records of a kind, including those of this node."""
        return self._table.read(kind)

    @property
    def link_count(self) -> int:
        """Number of established links."""
        return len(self._links)

    # -- tasks -----------------------------------------------------------------

    async def run(self, sock: socket.socket) -> None:
        """Accept and open links until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._listen, sock)
            group.start_soon(self._drop_expired)
            while True:
                self._update_links(group)
                with anyio.move_on_after(1.0):
                    await self._session.view.wait()

    async def _drop_expired(self) -> None:
        while True:
            self._table.drop_expired(self._clock())
            self._metrics.peer_links.set({}, len(self._links))
            await anyio.sleep(5)

    def _wake_links(self) -> None:
        for link in self._links:
            link.wake.set()

    def _get_peer_addresses(self) -> dict[str, str]:
        """Return the addresses to connect to, by node name.

        These are the configured seed addresses while no other node is registered.
        """
        nodes = self._session.view.value.configuration.of_kind('node')
        addresses = {
            item.key.name: f'{getattr(item.spec, "address", "")}:'
            f'{getattr(item.spec, "peer_port", 0)}'
            for item in nodes
        }
        if len(addresses) > 1 or self._node_name in addresses:
            start = self._clock() - UNREACHABLE_S
            unreachable = {name for name, at in self._failed_at.items() if at > start}
            present = set(self.list_present()) - unreachable
            chosen = choose_links(self._node_name, addresses, present)
            return {name: addresses[name] for name in chosen}
        return {address: address for address in self._settings.seeds}

    def _update_links(self, group: anyio.abc.TaskGroup) -> None:
        wanted = self._get_peer_addresses()
        for name, scope in list(self._link_scopes.items()):
            if name not in wanted:
                scope.cancel()
        for name, address in wanted.items():
            if name not in self._link_scopes:
                self._link_scopes[name] = anyio.CancelScope()
                group.start_soon(self._keep_connected, name, address)

    async def _keep_connected(self, name: str, address: str) -> None:
        headers = {'Authorization': f'Bearer {self._settings.key}'}
        with self._link_scopes[name]:
            while True:
                try:
                    async with connect(
                        f'ws://{address}/peer',
                        additional_headers=headers,
                        max_size=self._settings.message_limit,
                        compression=None,
                        open_timeout=2,
                        ping_interval=5,
                        ping_timeout=5,
                        close_timeout=1,
                        proxy=None,
                        create_connection=PeerClientConnection,
                    ) as socket:
                        self._failed_at.pop(name, None)
                        await self._run_link(socket)
                except (OSError, WebSocketException, TimeoutError):
                    # The peer is unreachable: retry, and link past it meanwhile.
                    self._failed_at[name] = self._clock()
                except Exception as error:
                    # No input from a peer may terminate this node.
                    log.emit(events.PEER_REFUSED, peer=name, reason=repr(error))
                await anyio.sleep(0.2 + 0.6 * random.random())
        self._link_scopes.pop(name, None)

    async def _listen(self, sock: socket.socket) -> None:
        def check_key(connection: Any, request: Any) -> Any:
            received = request.headers.get('Authorization', '').encode()
            expected = f'Bearer {self._settings.key}'.encode()
            if hmac.compare_digest(received, expected):
                return None
            log.emit(events.PEER_REFUSED, peer='-', reason='wrong key')
            return connection.respond(HTTPStatus.FORBIDDEN, 'wrong key\n')

        async with serve(
            self._run_link,
            sock=sock,
            process_request=check_key,
            max_size=self._settings.message_limit,
            compression=None,
            ping_interval=5,
            ping_timeout=5,
            close_timeout=1,
            create_connection=PeerServerConnection,
        ) as server:
            await server.serve_forever()

    # -- one link ------------------------------------------------------------

    async def _run_link(self, socket: Any) -> None:
        """Run one link until it closes; both sides run the same protocol."""
        link = Link(socket, self._clock())
        reason = 'closed'
        try:
            await self._send(link, Hello(VERSION, self._node_name))
            with anyio.move_on_after(GREETING_TIMEOUT_S) as limit:
                hello = await self._receive(link)
            if limit.cancelled_caught:
                raise PeerError('no greeting in time')
            if not isinstance(hello, Hello) or hello.name == self._node_name:
                raise PeerError('expected a greeting from another node')
            link.peer = hello.name
            self._links.add(link)
            log.emit(events.PEER_UP, peer=link.peer)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_digests, link)
                await self._read_messages(link)
                group.cancel_scope.cancel()
        except* (CodecError, PeerError) as errors:
            reason = str(errors.exceptions[0])
            log.emit(events.PEER_REFUSED, peer=link.peer, reason=reason)
        except* (OSError, WebSocketException) as errors:
            reason = type(errors.exceptions[0]).__name__
        finally:
            if link in self._links:
                self._links.discard(link)
                log.emit(events.PEER_DOWN, peer=link.peer, reason=reason)

    async def _send(self, link: Link, message: Message) -> None:
        data = encode_message(message)
        self._metrics.peer_bytes.add({'direction': 'out'}, len(data))
        await link.socket.send(data)

    async def _receive(self, link: Link) -> Message:
        # Pings that are answered tell nothing about the peer's messages.
        with anyio.fail_after(MESSAGE_TIMEOUT_S + self._settings.interval_s):
            data = await link.socket.recv()
        self._metrics.peer_bytes.add({'direction': 'in'}, len(data))
        return decode_message(data)

    async def _send_digests(self, link: Link) -> None:
        while True:
            link.wake = anyio.Event()
            await self._send_digest(link)
            await anyio.sleep(MIN_DIGEST_INTERVAL_S)
            with anyio.move_on_after(self._settings.interval_s):
                await link.wake.wait()

    async def _send_digest(self, link: Link) -> None:
        if len(link.sent_at) >= MAX_UNECHOED_DIGESTS:
            raise PeerError('digests are not echoed')
        now = self._clock()
        link.number += 1
        link.sent_at[link.number] = now
        stamp = self._table.stamp
        updates = self._table.list_updates(link.known, now, link.listed_stamp)
        if len(updates) <= _MAX_DIGEST_RECORDS:
            link.listed_stamp = stamp
        del updates[_MAX_DIGEST_RECORDS:]
        for wire in updates:
            link.known[wire.key] = KnownState(wire.boot, wire.number, wire.content)
        missing_bodies, link.missing_bodies = tuple(link.missing_bodies), set()
        revision = self._session.view.value.configuration.revision
        definitions, slot_updates = link.slots.pack(updates)
        digest = Digest(
            link.number,
            link.echo,
            revision,
            tuple(definitions),
            tuple(slot_updates),
            missing_bodies,
        )
        await self._send(link, digest)

    async def _read_messages(self, link: Link) -> None:
        while True:
            message = await self._receive(link)
            if isinstance(message, Digest):
                await self._apply_digest(link, message)
            elif isinstance(message, AskChanges):
                await self._send(link, self._build_changes(message.after))
            elif isinstance(message, Changes):
                self._apply_changes(link, message)
            else:
                raise PeerError('unexpected second greeting')

    async def _apply_digest(self, link: Link, digest: Digest) -> None:
        now = self._clock()
        link.echo = digest.number
        transit = now - self._get_send_time(link, digest.echo)
        for key in digest.missing_bodies:
            link.known.pop(key, None)
            link.listed_stamp = 0
        for wire in link.slots.unpack(digest.definitions, digest.slot_updates):
            self._merge_record(link, wire, transit, now)
        revision = self._session.view.value.configuration.revision
        if digest.revision > revision and now - link.changes_requested_at > 0.2:
            link.changes_requested_at = now
            await self._send(link, AskChanges(revision))

    def _get_send_time(self, link: Link, echo: int) -> float:
        """Return a time before the peer wrote a digest with this echo.

        It gives an upper bound on the age of the digest, even if either side was
        paused or the bytes waited in a buffer.

        :raises PeerError: no digest with this number awaits its echo.
        """
        if echo <= 0:
            return link.opened_at
        if echo not in link.sent_at:
            raise PeerError('echo of an unknown digest')
        for number in [item for item in link.sent_at if item < echo]:
            del link.sent_at[number]
        return link.sent_at[echo]

    def _merge_record(self, link: Link, wire: Any, transit: float, now: float) -> None:
        aged = type(wire)(
            wire.key,
            wire.boot,
            wire.number,
            wire.content,
            wire.age_s + transit,
            wire.body,
        )
        result = self._table.merge(aged, now)
        if result is MergeResult.MISSING_BODY:
            link.missing_bodies.add(wire.key)
            return
        known = link.known.get(wire.key)
        if known is None or (known.boot, known.number) < (wire.boot, wire.number):
            link.known[wire.key] = KnownState(wire.boot, wire.number, wire.content)
        if result is MergeResult.CHANGED and wire.key.kind in _URGENT_KINDS:
            self._wake_links()

    def _build_changes(self, after: int) -> Changes:
        changes = self._session.changes_after(after)
        if changes is not None:
            return Changes(tuple(pack_change(item) for item in changes), None)
        configuration = self._session.view.value.configuration
        return Changes((), pack_configuration(configuration))

    def _apply_changes(self, link: Link, message: Changes) -> None:
        source = f'peer {link.peer}'
        if message.configuration is not None:
            configuration = unpack_configuration(message.configuration)
            self._session.merge_configuration(configuration, source)
        changes = tuple(unpack_change(item) for item in message.changes)
        self._session.merge_changes(changes, source)
        self._wake_links()
