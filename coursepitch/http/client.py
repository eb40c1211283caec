"""Client side of HTTP/1.1: pooled connections and one exchange on each.

What became of a request is always told apart: :class:`NoConnectionError`
means that no byte left; :class:`ExchangeError` that it was sent, at least in
part, and may have run.
"""

from __future__ import annotations

import select
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import h11
from anyio.abc import SocketAttribute

from coursepitch.clock import Clock, boottime
from coursepitch.errors import CoursepitchError
from coursepitch.http.messages import find_header

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from coursepitch.http.messages import Headers

__all__ = [
    'Answer',
    'Connection',
    'ConnectionPool',
    'ExchangeError',
    'NoConnectionError',
]

#: Bytes taken from a socket at once.
READ_BYTES = 65_536

#: Largest head of an answer in bytes; larger ones are no answers.
ANSWER_HEAD_BYTES = 65_536

#: Bodies up to this size go out in one write with the head; larger ones are
#: written while the answer is read, as a target may answer before it has read all.
SINGLE_WRITE_BYTES = 16_384

#: Seconds for which an idle connection is used again when the target names none.
USUAL_KEEP_S = 3.0

#: Seconds before the end that a target names in which it is not used any more.
KEEP_MARGIN_S = 0.7

#: Most connections to one address where nothing else is said.
USUAL_LIMIT = 1_000

#: Milliseconds after which unacknowledged bytes end a connection: a peer
#: without power answers nothing at all.
USER_TIMEOUT_MS = 8_000


class NoConnectionError(CoursepitchError):
    """No connection came up, so no byte of the request left.

    :param refused: whether nobody listens at the address, as its machine says.
    """

    category = 'connect'

    def __init__(self, message: str, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class ExchangeError(CoursepitchError):
    """The exchange broke after bytes of the request had left."""

    category = 'exchange'


@dataclass(eq=False)
class Connection:
    """An open connection to an address."""

    address: str
    stream: SocketStream
    parser: h11.Connection
    usable_until: float = 0.0
    used: bool = False

    def is_quiet(self) -> bool:
        """Whether neither bytes nor an end wait to be read."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    async def read_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the answer.

        :raises ExchangeError: the connection or the protocol broke.
        """
        while True:
            try:
                event = self.parser.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                try:
                    data = await self.stream.receive(READ_BYTES)
                except anyio.EndOfStream:
                    data = b''
                if not data and self.parser.their_state is h11.SEND_RESPONSE:
                    raise ExchangeError('closed without an answer')
                self.parser.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise ExchangeError(f'no valid answer: {error}') from error
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise ExchangeError('the connection was reset') from error

    def close(self) -> None:
        """Close at once, without waiting for bytes in flight."""
        transport = getattr(self.stream, '_transport', None)
        if transport is not None:
            transport.abort()


@dataclass(eq=False)
class Answer:
    """The head of an answer; its body is read by :meth:`read_part`."""

    status: int
    headers: Headers
    connection: Connection
    pool: ConnectionPool
    whole: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value; ``name`` is in lower case."""
        return find_header(self.headers, name)

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or ``None`` at its proper end.

        Bytes are not lost when this is cancelled.

        :raises ExchangeError: the answer broke off.
        """
        event = await self.connection.read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.whole = True
            return None
        raise ExchangeError(f'unexpected {type(event).__name__} in a body')

    async def read_whole(self, limit: int) -> bytes:
        """Return the whole body.

        :raises ExchangeError: it broke off or is larger than ``limit`` bytes.
        """
        parts: list[bytes] = []
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > limit:
                raise ExchangeError(f'answer of more than {limit} bytes')
            parts.append(part)
        return b''.join(parts)

    def release(self) -> None:
        """Give the connection back, or close it when it can't be used again."""
        self.pool.release(self.connection, self)


@dataclass(eq=False)
class ConnectionPool:
    """Connections by address; idle ones are used again, the newest first."""

    clock: Clock = boottime
    connect_timeout_s: float = 1.0
    _idle: dict[str, list[Connection]] = field(default_factory=dict)
    _open: dict[str, int] = field(default_factory=dict)

    def count_open(self, address: str) -> int:
        """Return how many connections to an address are open."""
        return self._open.get(address, 0)

    async def acquire(
        self, address: str, *, fresh: bool = False, limit: int = USUAL_LIMIT
    ) -> Connection:
        """Return a connection.

        :param fresh: whether only a new one will do.
        :param limit: most connections to the address, open or coming up.
        :raises NoConnectionError: none came up.
        """
        if not fresh:
            idle = self._take_idle(address)
            if idle is not None:
                return idle
        if self.count_open(address) >= limit:
            self._drop_oldest(address)
        if self.count_open(address) >= limit:
            raise NoConnectionError(f'{limit} connections to {address} are open')
        self._open[address] = self.count_open(address) + 1
        host, _, port = address.rpartition(':')
        try:
            with anyio.fail_after(self.connect_timeout_s):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError) as error:
            self._count_closed(address)
            # The library wraps what the system said.
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            raise NoConnectionError(
                f'{address}: {type(error).__name__}', refused
            ) from error
        except BaseException:
            self._count_closed(address)
            raise
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        parser = h11.Connection(h11.CLIENT, ANSWER_HEAD_BYTES)
        return Connection(address, stream, parser)

    def _take_idle(self, address: str) -> Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable_until > self.clock() and connection.is_quiet():
                return connection
            self.discard(connection)
        return None

    def _drop_oldest(self, address: str) -> None:
        idle = self._idle.get(address, [])
        if idle:
            self.discard(idle.pop(0))

    def release(self, connection: Connection, answer: Answer | None = None) -> None:
        """Take a connection back after an exchange."""
        keep = answer is not None and answer.whole and self._can_keep(connection)
        if answer is None or not keep:
            self.discard(connection)
            return
        keep_s = _read_keep_s(answer.header(b'keep-alive'))
        connection.parser.start_next_cycle()
        connection.usable_until = self.clock() + keep_s
        connection.used = True
        self._idle.setdefault(connection.address, []).append(connection)

    def _can_keep(self, connection: Connection) -> bool:
        parser = connection.parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        return done and not parser.trailing_data[0] and connection.is_quiet()

    def discard(self, connection: Connection) -> None:
        """Close a connection for good."""
        connection.close()
        self._count_closed(connection.address)

    def _count_closed(self, address: str) -> None:
        left = self._open.get(address, 0) - 1
        if left > 0:
            self._open[address] = left
        else:
            self._open.pop(address, None)

    def sweep(self) -> None:
        """Close idle connections that are too old to be used again."""
        now = self.clock()
        for address in list(self._idle):
            old = [item for item in self._idle[address] if item.usable_until <= now]
            for item in old:
                self._idle[address].remove(item)
                self.discard(item)
            if not self._idle[address]:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def exchange(
        self,
        connection: Connection,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> Answer:
        """Send a request and return the head of its answer.

        The connection is closed when this raises.

        :raises ExchangeError: the answer did not come, or was no answer.
        """
        try:
            return await self._exchange(connection, method, target, headers, body)
        except BaseException:
            self.discard(connection)
            raise

    async def _exchange(
        self,
        connection: Connection,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> Answer:
        parser = connection.parser
        lines = list(headers)
        if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
            lines.append((b'Content-Length', b'%d' % len(body)))
        request = h11.Request(method=method, target=target, headers=lines)
        head = parser.send(request) or b''
        if len(body) <= SINGLE_WRITE_BYTES:
            content = (parser.send(h11.Data(data=body)) or b'') if body else b''
            end = parser.send(h11.EndOfMessage()) or b''
            await _write(connection, head + content + end)
            return await self._read_head(connection)
        answer: list[Answer] = []
        async with anyio.create_task_group() as group:

            async def write() -> None:
                await _write(connection, head)
                for start in range(0, len(body), SINGLE_WRITE_BYTES):
                    part = body[start : start + SINGLE_WRITE_BYTES]
                    await _write(connection, parser.send(h11.Data(data=part)) or b'')
                await _write(connection, parser.send(h11.EndOfMessage()) or b'')

            async def write_quietly() -> None:
                # A target that answers early may close: the answer tells.
                try:
                    await write()
                except ExchangeError:
                    return

            group.start_soon(write_quietly)
            try:
                answer.append(await self._read_head(connection))
            finally:
                group.cancel_scope.cancel()
        return answer[0]

    async def _read_head(self, connection: Connection) -> Answer:
        while True:
            event = await connection.read_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeError(f'{type(event).__name__} in place of an answer')
            headers = tuple(event.headers.raw_items())
            return Answer(event.status_code, headers, connection, self)


async def _write(connection: Connection, data: bytes) -> None:
    try:
        await connection.stream.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise ExchangeError('the connection was reset while writing') from error


def _read_keep_s(value: bytes | None) -> float:
    """Return for how long a connection may rest, from its Keep-Alive header."""
    if value is None:
        return USUAL_KEEP_S
    for part in value.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.strip().isdigit():
            return max(0.0, int(text) - KEEP_MARGIN_S)
    return USUAL_KEEP_S
