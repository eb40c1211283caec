"""HTTP/1.1 client with a connection pool; one exchange at a time per connection.

Errors tell whether a request may have been executed: after :class:`NoConnectionError`
no byte of it was sent; after :class:`ExchangeError` it was sent at least in part.
"""

from __future__ import annotations

import enum
import re
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import h11

from coursepitch.clock import Clock, boottime
from coursepitch.errors import CoursepitchError
from coursepitch.http.chunks import (
    MAX_CHUNKS_PER_TURN,
    MAX_EXTRA_FRAMING_BYTES,
    ChunkDecoder,
    ChunkError,
)
from coursepitch.http.messages import (
    FORBIDDEN_IN_HEAD,
    HEAD_END,
    STATUS_LINE_START,
    find_header,
)
from coursepitch.http.stream import connect
from coursepitch.util.decoding import shorten

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from coursepitch.http.messages import Headers
    from coursepitch.http.stream import ByteStream

    Connect = Callable[[str, str], Awaitable[ByteStream]]

__all__ = [
    'ConnectOutcome',
    'Connection',
    'ConnectionPool',
    'ExchangeError',
    'Framing',
    'NoConnectionError',
    'Response',
]

#: Maximum size of a response head in bytes; larger heads are protocol errors.
MAX_RESPONSE_HEAD_BYTES = 65_536

#: Largest number of interim responses (RFC 9110, section 15.2) before a response.
MAX_INTERIM_RESPONSES = 16

#: Maximum number of lines of trailers, or of a response head together with the interim
#: responses before it.  The parser takes some microseconds for each, all in one turn.
MAX_HEAD_LINES = 1_000

#: Events of the parser that are processed in one turn of the event loop.
MAX_EVENTS_PER_TURN = 32

#: Start of a valid status line, for the part of one that has not arrived.
_STATUS_LINE_EXAMPLE = b'HTTP/1.1 200 '

#: Last chunk of a body without extensions (RFC 9112, section 7.1).
_LAST_CHUNK = b'0\r\n'

#: Maximum size in bytes of a body that is written together with the head.  Larger
#: bodies are written while the response is read, as a target may respond before it
#: has read the whole body.
SINGLE_WRITE_MAX_BYTES = 16_384

#: Maximum size in bytes of all responses of a pool that are read whole, before their
#: ends: a node has 128 MB, of which it uses some 50 MB otherwise.
MAX_BUFFERED_BYTES = 50_331_648

#: Seconds for which an idle connection is reused if the target gives no timeout.
DEFAULT_KEEP_ALIVE_S = 3.0

#: Matches the idle timeout in seconds of a Keep-Alive header.
_TIMEOUT = re.compile(rb'(?i:timeout)\s*=\s*([0-9]{1,9})')

#: Seconds before the target's keep-alive timeout at which reuse ends.
KEEP_ALIVE_MARGIN_S = 0.7

#: Default maximum number of connections to one address.
DEFAULT_MAX_CONNECTIONS = 1_000

#: Milliseconds after which unacknowledged bytes close a connection: a peer that lost
#: power sends no reset.
USER_TIMEOUT_MS = 8_000

#: Matches the size line of a chunk without extensions (RFC 9112, section 7.1).
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,20})\r\n')

#: Statuses and methods whose responses have no body, whatever their headers say.
#: Source: RFC 9112, section 6.3.
_BODILESS_STATUSES = frozenset({204, 304})
_BODILESS_METHODS = frozenset({b'HEAD', b'CONNECT'})

#: States of the parser in which a response has not ended regularly.
_OUTSTANDING_STATES = frozenset({h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR})


class ConnectOutcome(enum.Enum):
    """Outcome of an attempt to open a connection."""

    CONNECTED = 'connected'
    REFUSED = 'refused'
    TIMED_OUT = 'timed out'
    FAILED = 'failed'


class Framing(enum.Enum):
    """What tells the end of a response's body (RFC 9112, section 6.3).

    :cvar LENGTH: its length, which is also known of a response without a body.
    :cvar CHUNKS: its last chunk.
    :cvar CONNECTION: the end of its connection, which also ends if the sender fails.
    """

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


class NoConnectionError(CoursepitchError):
    """No connection could be established, so no byte of the request was sent.

    :param refused: whether the instance refused the connection, as no process
        listens at the address.
    :param lost: whether the connection ended while it came up, as it does if the
        process that listens is just exiting.
    """

    category = 'connect'

    def __init__(self, message: str, refused: bool = False, lost: bool = False) -> None:
        super().__init__(message)
        self.refused = refused
        self.lost = lost


class ExchangeError(CoursepitchError):
    """The exchange failed after bytes of the request may have been sent."""

    category = 'exchange'


@dataclass(eq=False)
class Connection:
    """An open connection to an address.

    The bytes of the head and of the body are kept apart, so that the chunks of a body
    can be decoded without the parser, which takes one step for each.  The last chunk
    and the trailers are left to the parser.

    :param reusable_until: time of the pool's clock until which it may be reused.
    :param used: whether an earlier exchange used it.
    :param decodes_chunks: whether chunks are decoded without the parser; the parser is
        then at the start of a chunk and has no unread bytes.
    :param _extra_bytes: bytes by which the framing of the body exceeds its content.
    """

    address: str
    stream: ByteStream
    parser: h11.Connection
    reusable_until: float = 0.0
    used: bool = False
    decodes_chunks: bool = False
    _unparsed: bytes = b''
    _head_tail: bytes = b''
    _head_start: bytes = b''
    _head_bytes: int = 0
    _head_lines: int = 0
    _in_trailers: bool = False
    _chunks: ChunkDecoder | None = None
    _extra_bytes: int = 0
    _turn_events: int = 0

    def has_no_pending_input(self) -> bool:
        """Whether neither data nor the end of the stream is pending."""
        return not self._unparsed and not self.stream.has_input()

    async def read_event(
        self, deadline: float | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the response.

        :param deadline: time of the event loop until which to wait.
        :raises ExchangeError: the connection failed or the response is malformed.
        :raises TimeoutError: the deadline passed.
        """
        while True:
            if self._turn_events >= MAX_EVENTS_PER_TURN:
                self._turn_events = 0
                await self.stream.finish_turn(deadline)
            try:
                event = self.parser.next_event()
                self._turn_events += 1
                if event is not h11.NEED_DATA:
                    if isinstance(event, h11.Data):
                        self._extra_bytes -= 2 * len(event.data)
                    return event  # type: ignore[return-value]
                await self._feed_parser(deadline)
            except h11.RemoteProtocolError as error:
                raise ExchangeError(f'invalid response: {error}') from error

    async def _feed_parser(self, deadline: float | None) -> None:
        """Give the parser the next bytes.

        :raises ExchangeError: the connection failed, or no response can follow.
        :raises TimeoutError: the deadline passed.
        """
        # The parser keeps no content now.
        self._check_framing()
        data = self._unparsed
        if not data:
            data = await self._receive(deadline)
            self._turn_events = 0
        self._unparsed = b''
        if self.parser.their_state is h11.SEND_RESPONSE:
            if not data:
                raise ExchangeError('connection closed without a response')
            self._check_status_line(data)
            data = self._split_head(data)
        else:
            if self._in_trailers and data:
                data = self._split_head(data)
            self._extra_bytes += len(data)
        self.parser.receive_data(data)

    def start_exchange(self) -> None:
        """Begin to count the bytes of a response."""
        self._head_tail = self._head_start = b''
        self._head_bytes = self._head_lines = self._extra_bytes = 0
        self._in_trailers = False
        self._chunks = None

    def _check_framing(self) -> None:
        """Check what frames the content that was read.

        :raises ExchangeError: it is more than a body needs.
        """
        if self._extra_bytes < 0:
            # Content that precedes the framing allows no more of it.
            self._extra_bytes = 0
        if self._extra_bytes > MAX_EXTRA_FRAMING_BYTES:
            raise ExchangeError('invalid response: more framing than content')

    def _check_status_line(self, data: bytes) -> None:
        """Check the first bytes of a head.

        :raises ExchangeError: they are not the start of a valid status line.
        """
        size = len(_STATUS_LINE_EXAMPLE)
        if len(self._head_start) == size:
            return
        self._head_start = start = (self._head_start + data[:size])[:size]
        if not STATUS_LINE_START.match(start + _STATUS_LINE_EXAMPLE[len(start) :]):
            raise ExchangeError('invalid response: no valid status line')

    def _split_head(self, data: bytes) -> bytes:
        """Return received bytes up to the end of a head or of trailers; keep the rest.

        :raises ExchangeError: the bytes cannot become a head, or trailers.
        """
        tail = self._head_tail
        known = tail + data
        found = HEAD_END.search(known)
        end = len(known) if found is None else found.end()
        if FORBIDDEN_IN_HEAD.search(known, 0, end):
            raise ExchangeError('invalid response: forbidden byte in a head')
        self._head_bytes += end - len(tail)
        self._head_lines += known.count(b'\n', len(tail), end)
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise ExchangeError(
                f'response head larger than {MAX_RESPONSE_HEAD_BYTES} bytes'
            )
        if self._head_lines > MAX_HEAD_LINES:
            raise ExchangeError(f'response head of more than {MAX_HEAD_LINES} lines')
        if found is None:
            self._head_tail = known[-2:]
            return data
        self._head_tail = self._head_start = b''
        self._unparsed = known[end:]
        return known[len(tail) : end]

    async def _receive(self, deadline: float | None) -> bytes:
        """Return received bytes, or none at the end of the stream."""
        try:
            return await self.stream.receive(deadline)
        except anyio.EndOfStream:
            return b''
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ExchangeError('connection reset') from error

    async def read_simple_chunks(self, deadline: float | None) -> bytes | None:
        """Return the content of the next chunks, or ``None`` if the parser must read.

        From the first chunk on that is incomplete, malformed or has extensions, a
        decoder reads them; the parser reads the last chunk.

        :raises ExchangeError: the connection failed, or the body is malformed.
        :raises TimeoutError: the deadline passed.
        """
        if self._chunks is not None:
            return await self._decode_chunks(self._chunks, deadline)
        data = self._unparsed
        if data:
            await self.stream.finish_turn(deadline)
        else:
            data = self._unparsed = await self._receive(deadline)
        parts: list[bytes] = []
        at = 0
        while len(parts) < MAX_CHUNKS_PER_TURN:
            size = _CHUNK_SIZE.match(data, at)
            if size is None:
                break
            start = size.end()
            end = start + int(size[1], 16)
            if end == start or data[end : end + 2] != b'\r\n':
                break
            parts.append(data[start:end])
            at = end + 2
        if parts:
            self._unparsed = data[at:]
            content = b''.join(parts) if len(parts) > 1 else parts[0]
            self._extra_bytes += at - 2 * len(content)
            self._check_framing()
            return content
        if not data:
            raise ExchangeError('connection closed within a chunked body')
        self._chunks = ChunkDecoder(self._extra_bytes)
        return await self._decode_chunks(self._chunks, deadline)

    async def _decode_chunks(
        self, decoder: ChunkDecoder, deadline: float | None
    ) -> bytes | None:
        """Return the content of the next chunks, or ``None`` before the last chunk."""
        while not decoder.ended:
            if decoder.has_more:
                await self.stream.finish_turn(deadline)
            elif decoder.started:
                data = await self._receive(deadline)
                if not data:
                    raise ExchangeError('connection closed within a chunked body')
                self._unparsed += data
            try:
                content, self._unparsed = decoder.decode(self._unparsed)
            except ChunkError as error:
                raise ExchangeError(f'invalid response: {error}') from error
            if decoder.ended:
                self._unparsed = _LAST_CHUNK + self._unparsed
                self._head_bytes = self._head_lines = self._extra_bytes = 0
                self._in_trailers = True
            if content:
                return content
        self.decodes_chunks = False
        return None

    def close(self) -> None:
        """Abort the connection without waiting for bytes in flight.

        It ends with a reset if a response is outstanding, so that an instance that does
        not read notices it too.
        """
        if self.parser.their_state in _OUTSTANDING_STATES:
            self.stream.set_reset_on_close(True)
        self.stream.close()


@dataclass(eq=False)
class Response:
    """The head of a response; :meth:`read_chunk` reads its body.

    :param complete: whether the body was read to its regular end.
    """

    status: int
    headers: Headers
    connection: Connection
    pool: ConnectionPool
    framing: Framing
    complete: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; ``name`` must be in lower case."""
        return find_header(self.headers, name)

    async def read_chunk(self, timeout_s: float | None = None) -> bytes | None:
        """Return the next bytes of the body, or ``None`` at its regular end.

        Cancellation and a timeout lose no bytes.

        :raises ExchangeError: the body is truncated or malformed.
        :param timeout_s: seconds to wait at most.
        :raises TimeoutError: nothing arrived in time.
        """
        connection = self.connection
        deadline = None
        if timeout_s is not None:
            deadline = connection.stream.find_deadline(timeout_s)
        if connection.decodes_chunks:
            data = await connection.read_simple_chunks(deadline)
            if data is not None:
                return data
        event = await connection.read_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.complete = True
            return None
        raise ExchangeError(f'unexpected {type(event).__name__} in a response body')

    async def read_whole(
        self, limit: int, note: Callable[[], None] = lambda: None
    ) -> bytes:
        """Return the whole body.

        :param note: called each time bytes of it have arrived.
        :raises ExchangeError: it is malformed, truncated or above ``limit`` bytes, or
            the largest of all that are read at once, which together are too large.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while (part := await self.read_chunk()) is not None:
                note()
                size += len(part)
                if size > limit:
                    raise ExchangeError(f'response body larger than {limit} bytes')
                self.pool.note_buffered(self, size)
                parts.append(part)
        finally:
            self.pool.note_buffered(self, 0)
        return b''.join(parts)

    def release(self) -> None:
        """Return the connection to the pool, or close it if it cannot be reused."""
        self.pool.release(self.connection, self)


async def connect_directly(address: str, instance: str) -> ByteStream:
    """Return a stream that is connected to an address.

    :raises OSError: the connection could not be established.
    """
    host, _, port = address.rpartition(':')
    try:
        number = int(port)
    except ValueError as error:
        raise OSError(f'{shorten(address)} is not an address with a port') from error
    return await connect(host, number)


@dataclass(eq=False)
class ConnectionPool:
    """Pool of connections by address; reuses the most recently used idle one first.

    :param connect_timeout_s: timeout of a connection attempt in seconds.
    :param note_attempt: called with the outcome of each connection attempt.
    :param connect: connects to an address, of the instance of that name.
    """

    clock: Clock = boottime
    connect_timeout_s: float = 1.0
    note_attempt: Callable[[ConnectOutcome], None] = lambda outcome: None
    connect: Connect = connect_directly
    _idle: dict[str, list[Connection]] = field(default_factory=dict)
    _open: dict[str, int] = field(default_factory=dict)
    _buffered: dict[Response, int] = field(default_factory=dict)
    buffered_bytes: int = 0

    def count_open(self, address: str) -> int:
        """Return the number of open or opening connections to an address."""
        return self._open.get(address, 0)

    def note_buffered(self, response: Response, size: int) -> None:
        """Count the bytes of a response that are held until its end.

        :raises ExchangeError: all such bytes are too many, and it has its equal share
            of what they may be.
        """
        before = self._buffered.pop(response, 0)
        if size:
            total = self.buffered_bytes + size - before
            share = MAX_BUFFERED_BYTES / (len(self._buffered) + 1)
            if total > MAX_BUFFERED_BYTES and size >= share:
                self.buffered_bytes -= before
                raise ExchangeError('unfinished responses are too large')
            self._buffered[response] = size
        self.buffered_bytes += size - before

    def has_idle(self, address: str) -> bool:
        """Whether an idle connection to an address may be reused."""
        idle = self._idle.get(address, ())
        return any(item.reusable_until > self.clock() for item in idle[-1:])

    async def acquire(
        self,
        address: str,
        *,
        instance: str = '',
        fresh: bool = False,
        limit: int = DEFAULT_MAX_CONNECTIONS,
    ) -> Connection:
        """Return an idle connection or open a new one.

        :param instance: name of the instance at the address.
        :param fresh: whether to open a new one in any case.
        :param limit: maximum number of open or opening connections to the address.
        :raises NoConnectionError: the attempt failed or the limit is reached.
        """
        if not fresh:
            idle = self._take_idle(address)
            if idle is not None:
                return idle
        if self.count_open(address) >= limit:
            self._close_oldest_idle(address)
        if self.count_open(address) >= limit:
            raise NoConnectionError(
                f'limit of {limit} connections to {address} reached'
            )
        self._open[address] = self.count_open(address) + 1
        stream: ByteStream | None = None
        try:
            with anyio.fail_after(self.connect_timeout_s):
                stream = await self.connect(address, instance)
            # Fails if the connection has already ended.
            stream.set_option(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        except (OSError, TimeoutError) as error:
            self._count_closed(address)
            self.note_attempt(_classify_failure(error))
            refused = isinstance(error, ConnectionRefusedError)
            lost = stream is not None or isinstance(error, ConnectionResetError)
            raise NoConnectionError(
                f'{address}: {type(error).__name__}', refused, lost
            ) from error
        except BaseException:
            self._count_closed(address)
            raise
        self.note_attempt(ConnectOutcome.CONNECTED)
        parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        return Connection(address, stream, parser)

    def _take_idle(self, address: str) -> Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if (
                connection.reusable_until > self.clock()
                and connection.stream.reusable
                and connection.has_no_pending_input()
            ):
                return connection
            self.discard(connection)
        return None

    def close_idle_at(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            self.discard(connection)

    def _close_oldest_idle(self, address: str) -> None:
        idle = self._idle.get(address, [])
        if idle:
            self.discard(idle.pop(0))

    def release(self, connection: Connection, response: Response | None = None) -> None:
        """Take a connection back after an exchange.

        :param response: response of the exchange; without one the connection is closed.
        """
        reusable = (
            response is not None and response.complete and self._is_reusable(connection)
        )
        if response is None or not reusable:
            self.discard(connection)
            return
        keep_alive_s = _parse_keep_alive_s(response.header(b'keep-alive'))
        connection.parser.start_next_cycle()
        connection.reusable_until = self.clock() + keep_alive_s
        connection.used = True
        self._idle.setdefault(connection.address, []).append(connection)

    def _is_reusable(self, connection: Connection) -> bool:
        parser = connection.parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        return (
            done
            and connection.stream.reusable
            and not parser.trailing_data[0]
            and connection.has_no_pending_input()
        )

    def discard(self, connection: Connection) -> None:
        """Close a connection and remove it from the pool's count."""
        connection.close()
        self._count_closed(connection.address)

    def _count_closed(self, address: str) -> None:
        left = self._open.get(address, 0) - 1
        if left > 0:
            self._open[address] = left
        else:
            self._open.pop(address, None)

    def close_expired(self) -> None:
        """Close idle connections whose time for reuse has passed."""
        now = self.clock()
        for address in list(self._idle):
            old = [item for item in self._idle[address] if item.reusable_until <= now]
            for item in old:
                self._idle[address].remove(item)
                self.discard(item)
            if not self._idle[address]:
                del self._idle[address]

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                self.discard(connection)

    def close(self) -> None:
        """Close all idle connections, as the pool is no longer used."""
        self.close_idle()

    async def exchange(
        self,
        connection: Connection,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> Response:
        """Send a request and return the head of its response.

        The connection is closed if this raises or is cancelled.

        :raises ExchangeError: no valid response was received.
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
    ) -> Response:
        parser = connection.parser
        connection.start_exchange()
        lines = list(headers)
        if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
            lines.append((b'Content-Length', b'%d' % len(body)))
        request = h11.Request(method=method, target=target, headers=lines)
        head = parser.send(request) or b''
        if len(body) <= SINGLE_WRITE_MAX_BYTES:
            content = (parser.send(h11.Data(data=body)) or b'') if body else b''
            end = parser.send(h11.EndOfMessage()) or b''
            await _write(connection, head + content + end)
            return await self._read_head(connection, method)
        response: list[Response] = []
        async with anyio.create_task_group() as group:

            async def write() -> None:
                await _write(connection, head)
                for start in range(0, len(body), SINGLE_WRITE_MAX_BYTES):
                    part = body[start : start + SINGLE_WRITE_MAX_BYTES]
                    await _write(connection, parser.send(h11.Data(data=part)) or b'')
                await _write(connection, parser.send(h11.EndOfMessage()) or b'')

            async def write_ignoring_errors() -> None:
                # A target may respond early and close; its response is still read.
                try:
                    await write()
                except ExchangeError:
                    return

            group.start_soon(write_ignoring_errors)
            try:
                response.append(await self._read_head(connection, method))
            finally:
                group.cancel_scope.cancel()
        return response[0]

    async def _read_head(self, connection: Connection, method: bytes) -> Response:
        interim = 0
        while True:
            event = await connection.read_event()
            if isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > MAX_INTERIM_RESPONSES:
                    raise ExchangeError('too many interim responses')
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeError(
                    f'expected a response, received {type(event).__name__}'
                )
            headers = tuple(event.headers.raw_items())
            framing = _find_framing(method, event.status_code, headers)
            connection.decodes_chunks = (
                framing is Framing.CHUNKS and not connection.parser.trailing_data[0]
            )
            return Response(event.status_code, headers, connection, self, framing)


def _find_framing(method: bytes, status: int, headers: Headers) -> Framing:
    """Return what tells the end of a response to a method."""
    if status in _BODILESS_STATUSES or method in _BODILESS_METHODS:
        return Framing.LENGTH
    # The parser accepts no transfer coding but chunked.
    if find_header(headers, b'transfer-encoding') is not None:
        return Framing.CHUNKS
    if find_header(headers, b'content-length') is not None:
        return Framing.LENGTH
    return Framing.CONNECTION


def _classify_failure(error: Exception) -> ConnectOutcome:
    if isinstance(error, ConnectionRefusedError):
        return ConnectOutcome.REFUSED
    if isinstance(error, TimeoutError):
        return ConnectOutcome.TIMED_OUT
    return ConnectOutcome.FAILED


async def _write(connection: Connection, data: bytes) -> None:
    await anyio.lowlevel.checkpoint_if_cancelled()
    try:
        await connection.stream.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise ExchangeError('connection reset while writing') from error


def _parse_keep_alive_s(value: bytes | None) -> float:
    """Return the idle timeout in seconds that a Keep-Alive header allows."""
    if value is None:
        return DEFAULT_KEEP_ALIVE_S
    for part in value.split(b','):
        found = _TIMEOUT.fullmatch(part.strip())
        if found is not None:
            return max(0.0, int(found[1]) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
