"""Server of ASGI applications whose connections are read by the parser of requests.

hypercorn passes the bytes of a client to h11 as they arrive.  Here its connections read
them by :class:`.RequestParser`, which bounds the work for each event.  The methods that
are overridden for this are no documented interface of hypercorn, so the tests of
listeners show whether another release still calls them.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import anyio
import h11
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.events import Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.utils import wrap_app

from coursepitch import events, log
from coursepitch.clock import boottime
from coursepitch.http.request_parser import RequestParser
from coursepitch.http.server import (
    ACCEPT_PAUSE_S,
    CONNECTION_ERRORS,
    EXHAUSTED_ERRORS,
    MIN_BODY_BYTES_PER_S,
    RESET_ON_CLOSE,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hypercorn.config import Config
    from hypercorn.events import Event

__all__ = ['serve_connections']

#: Seconds after which a connection that is being closed is aborted, although its client
#: has not read all that was written: those that a slow client needs for 64 KiB, above
#: which writes wait.
UNREAD_CLOSE_TIMEOUT_S = 65_536 / MIN_BODY_BYTES_PER_S

#: Seconds that connections have to end once they are aborted.
ABORT_TIMEOUT_S = 1.0

#: Bytes of a connection that are read before they are parsed, and in one read.
READ_BYTES = 65_536

#: Bytes that a connection takes at most without the body of its request: what is read
#: and not parsed, and parts that wait for the application.
CONNECTION_BYTES = 262_144

#: Share of the connections that there may be that are closed at once.
CLOSED_SHARE = 1 / 16

#: Seconds in which a client completes the handshake of TLS.
TLS_HANDSHAKE_TIMEOUT_S = 10.0

#: Seconds between two log lines of closed connections.
LOG_INTERVAL_S = 1.0


class _Protocol(H11Protocol):  # type: ignore[misc]
    """HTTP/1.1 with the parser of requests, whatever protocol a client asks for.

    The parser of HTTP/2 has no bound on frames that make no request, such as pings.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.connection = RequestParser(self.config.h11_max_incomplete_size)
        self.arrived_at = boottime()

    async def handle(self, event: Event) -> None:
        """Handle bytes of the client, or its end."""
        self.arrived_at = boottime()
        await super().handle(event)

    async def _check_protocol(self, event: Any) -> None:
        """Keep to HTTP/1.1 after a request to change to HTTP/2."""


class _Connection(TCPServer):  # type: ignore[misc]
    """One connection of a client."""

    protocol: Any

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._reading = anyio.CancelScope()
        self._opened_at = boottime()
        self.is_closed = False
        self._has_ended = False

    @property
    def _parsing(self) -> _Protocol | None:
        found = getattr(self, 'protocol', None)
        return found if isinstance(found, _Protocol) else None

    @property
    def arrived_at(self) -> float:
        """Time at which bytes of the client came last."""
        parsing = self._parsing
        return self._opened_at if parsing is None else parsing.arrived_at

    @property
    def has_request(self) -> bool:
        """Whether a part of a request has arrived."""
        parsing = self._parsing
        if parsing is None:
            return False
        return parsing.stream is not None or parsing.connection.held_bytes > 0

    @property
    def may_be_closed(self) -> bool:
        """Whether it waits for its client, which loses no response if it is closed."""
        parsing = self._parsing
        if self.is_closed or parsing is None or parsing.stream is None:
            return not self.is_closed
        return parsing.connection.their_state is h11.SEND_BODY

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_closed = True
        self.writer.transport.abort()

    async def _read_data(self) -> None:
        """Read the connection until it ends."""
        default = self.protocol
        self.protocol = _Protocol(
            default.app,
            default.config,
            default.context,
            default.task_group,
            default.state,
            default.ssl,
            default.client,
            default.server,
            default.send,
        )
        with self._reading:
            await super()._read_data()
        # The connection would wait until it had been idle for long enough.
        self._has_ended = True
        await self.idle_task.stop()

    async def protocol_send(self, event: Event) -> None:
        """Send bytes, or note that the connection is idle or not."""
        if not (self._has_ended and isinstance(event, Updated)):
            await super().protocol_send(event)

    async def _close(self) -> None:
        """Close the connection; abort it if the client does not read."""
        timer = self._abort_later()
        try:
            await super()._close()
        finally:
            timer.cancel()
            # It may wait until a request that was sent ahead can be handled.
            self._reading.cancel()

    async def _initiate_server_close(self) -> None:
        """Close an idle connection; abort it if the client does not read."""
        self._abort_later()
        await super()._initiate_server_close()

    def _abort_later(self) -> asyncio.TimerHandle:
        abort = self.writer.transport.abort
        loop = asyncio.get_running_loop()
        return loop.call_later(UNREAD_CLOSE_TIMEOUT_S, abort)


class _Listener:
    """Accepts connections, as long as there are not too many.

    :param open_connection: returns a connection on a socket that was accepted.
    :param limit: how many there may be; further ones take the place of those that wait
        for their client.
    """

    def __init__(
        self,
        sock: socket.socket,
        open_connection: Callable[[socket.socket], Awaitable[_Connection]],
        limit: int,
    ) -> None:
        self._sock = sock
        self._open_connection = open_connection
        self._limit = limit
        self._spare = max(1, int(limit * CLOSED_SHARE))
        self._closed = self._reset = 0
        self._logged_at = float('-inf')
        #: Connections by their tasks; ``None`` while they are being opened.
        self.connections: dict[asyncio.Task[None], _Connection | None] = {}

    async def run(self) -> None:
        """Accept connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._make_room()
            try:
                accepted, _ = await loop.sock_accept(self._sock)
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    continue
                if error.errno not in EXHAUSTED_ERRORS:
                    raise
                self._close_waiting(self._spare, error.strerror or str(error))
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            if len(self.connections) >= self._limit + self._spare:
                # Its client turns to another node at once.
                self._reset += 1
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                accepted.close()
                continue
            task = loop.create_task(self._serve(accepted))
            self.connections[task] = None
            task.add_done_callback(self.connections.pop)

    async def _serve(self, accepted: socket.socket) -> None:
        """Serve one connection; asyncio would log its end by cancellation."""
        task = asyncio.current_task()
        assert task is not None
        with contextlib.suppress(asyncio.CancelledError, OSError):
            connection = await self._open_connection(accepted)
            self.connections[task] = connection
            await connection

    async def _make_room(self) -> None:
        """Close connections if there are too many, and wait until these have ended."""
        if len(self.connections) >= self._limit:
            excess = len(self.connections) - len(self._list_closing()) - self._limit
            if excess >= 0:
                self._close_waiting(excess + self._spare, 'as many as there may be')
        while len(self.connections) >= self._limit + self._spare:
            closing = self._list_closing()
            if not closing:
                return
            await asyncio.wait(closing, return_when=asyncio.FIRST_COMPLETED)
            # Their callbacks run before the next pass.
            await asyncio.sleep(0)

    def _list_closing(self) -> list[asyncio.Task[None]]:
        """Return the tasks of connections that were closed and have not ended."""
        return [
            task
            for task, item in self.connections.items()
            if item is not None and item.is_closed
        ]

    def _close_waiting(self, count: int, reason: str) -> None:
        """Close connections that wait for their clients.

        Idle ones come before those with a part of a request, and of both those whose
        clients sent nothing for longest.  Requests that are handled go on.
        """
        waiting = [
            (item.has_request, item.arrived_at, number, task, item)
            for number, (task, item) in enumerate(self.connections.items())
            if item is not None and item.may_be_closed
        ]
        closed = sorted(waiting)[:count]
        for _, _, _, task, connection in closed:
            connection.abort()
            # The task would wait until the connection had been idle for long enough.
            task.cancel()
        self._closed += len(closed)
        now = boottime()
        if now - self._logged_at >= LOG_INTERVAL_S:
            log.emit(
                events.CONNECTIONS_CLOSED,
                open=len(self.connections),
                limit=self._limit,
                closed=self._closed,
                reset=self._reset,
                reason=reason,
            )
            self._logged_at, self._closed, self._reset = now, 0, 0


def _limit_reads(transport: asyncio.BaseTransport) -> None:
    """Let one read of a connection take fewer bytes than the usual 256 KiB."""
    # A transport with TLS has no such attribute, and reads less.
    if hasattr(transport, 'max_size'):
        transport.max_size = READ_BYTES


async def serve_connections(
    app: Any,
    config: Config,
    sock: socket.socket,
    wait_stop: Callable[[], Awaitable[float]],
    max_connections: int,
) -> None:
    """Serve an application without a lifespan on a listening socket.

    :param wait_stop: returns once the server has to stop, with the seconds for which
        open connections may go on.
    :param max_connections: connections that may be open; further ones take the place of
        those that wait for their client.
    """
    loop = asyncio.get_running_loop()
    wrapped = wrap_app(app, config.wsgi_max_body_size, 'asgi')
    context = WorkerContext(None)
    tls = config.create_ssl_context() if config.ssl_enabled else None

    async def open_connection(accepted: socket.socket) -> _Connection:
        reader = asyncio.StreamReader(limit=READ_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        accepted.setblocking(False)
        transport, _ = await loop.connect_accepted_socket(
            lambda: protocol,
            accepted,
            ssl=tls,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if tls else None,
        )
        _limit_reads(transport)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return _Connection(wrapped, loop, config, context, {}, reader, writer)

    listener = _Listener(sock, open_connection, max_connections)
    connections = listener.connections
    sock.setblocking(False)
    accepting = loop.create_task(listener.run())
    try:
        grace_s = await _wait_unless_ended(wait_stop, accepting)
        await context.terminated.set()
        accepting.cancel()
        sock.close()
        if connections:
            await asyncio.wait(connections, timeout=grace_s)
    finally:
        accepting.cancel()
        sock.close()
        for task, connection in connections.items():
            if connection is not None:
                connection.abort()
            task.cancel()
        with anyio.CancelScope(shield=True):
            await asyncio.wait([accepting, *connections], timeout=ABORT_TIMEOUT_S)


async def _wait_unless_ended(
    wait_stop: Callable[[], Awaitable[float]], accepting: asyncio.Task[None]
) -> float:
    """Wait until the server has to stop; return the seconds for open connections.

    :raises Exception: no connections can be accepted any more.
    """
    stopping = asyncio.ensure_future(wait_stop())
    try:
        await asyncio.wait([stopping, accepting], return_when=asyncio.FIRST_COMPLETED)
        if accepting.done():
            accepting.result()
        return await stopping
    finally:
        stopping.cancel()
