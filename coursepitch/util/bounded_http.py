"""HTTP clients whose exchanges are bounded as a whole.

The time limits of httpx hold for one read, so a target that sends bytes without end
would keep its caller for ever, and its parser handles small chunks and interim
responses one by one within one turn of the event loop.  All clients of targets use the
transport of this module, which bounds heads and the work of a turn, and read bodies by
its functions, which bound their bytes.
"""

from __future__ import annotations

import re
import socket
import struct
from contextlib import asynccontextmanager, suppress
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import httpx
import orjson

from coursepitch.clock import boottime
from coursepitch.http.messages import STATUS_LINE_START

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncGenerator, AsyncIterator, Iterable

__all__ = [
    'BodyBuffers',
    'BoundedTransport',
    'Exchange',
    'Pacer',
    'count_received',
    'drain_body',
    'open_reply',
    'read_object',
    'read_whole',
]

#: Largest head of a response in bytes, with the interim responses before it.
MAX_HEAD_BYTES = 65_536

#: Largest number of lines of a head.  Each takes the parser some microseconds within
#: one turn of the event loop.
MAX_HEAD_LINES = 512

#: Matches bytes that the parser accepts nowhere in a head or in trailers.  It would try
#: to match such a line from each of its blanks.
_FORBIDDEN_IN_FIELDS = re.compile(rb'[\x00\x0b\x0c]|\r[^\n]')

#: Matches the start of a line that continues the one before (RFC 9112, section 5.2).
_FOLDED_LINE = re.compile(rb'\n[ \t]')

#: Matches the field of a head that tells that the body comes in chunks; the parser
#: accepts no other transfer coding.
_TRANSFER_ENCODING = re.compile(rb'(?i)\ntransfer-encoding:')

#: Matches the length of the body in a head; another one is refused by the parser.
_CONTENT_LENGTH = re.compile(rb'(?i)\ncontent-length:[ \t]*([0-9]{1,20})')

#: Matches the size line of a chunk with extensions, or with blanks at its end.
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,20})(?:;[^\r\n]*|[ \t]*)\r\n')

#: Largest size line of a chunk in bytes.  Extensions tell clients nothing.
MAX_SIZE_LINE_BYTES = 16_384

#: Chunks that are decoded in one read.
MAX_CHUNKS_PER_READ = 128

_LINE_END = b'\r\n'

#: Matches an empty line of trailers; line feeds alone are accepted, as in heads.
_EMPTY_LINE = re.compile(rb'\r?\n')

#: Largest number of interim responses before a response.
MAX_INTERIM_RESPONSES = 16

#: Seconds between two turns of bodies that always have data ready, of all connections
#: together, so that they take a part of the loop's time only.
TURN_PAUSE_S = 0.005

#: Seconds of work on a body that always has data ready, after which it waits as well,
#: and the longest time that counts as work on one piece; the rest is taken for a wait
#: of its reader.
MAX_TURN_S = 0.0025
MAX_PIECE_S = 0.001

#: Share of its time for which a body may be worked on without a wait.
WORK_SHARE = 0.5

#: Bytes on the wire for each byte of a body in chunks of one byte.
MAX_FRAMING_FACTOR = 6

#: Bytes on the wire beyond that: a head, a read that is not parsed yet, and what is
#: buffered of a chunk's head or of trailers.
MAX_FRAMING_BYTES = 262_144

#: Sends a reset when a socket is closed (SO_LINGER with a time of 0).
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

#: Longest wait in seconds for the end of a body whose rest tells nothing.
BODY_END_TIMEOUT_S = 0.05

#: Largest rest of a body in bytes that is read so that its connection can be reused.
MAX_REST_BYTES = 4_096

#: Largest number of blank bytes before a JSON object.
MAX_BLANK_BYTES = 1_024

#: Largest size in bytes of all bodies that are read whole, before their ends: a node
#: has 128 MB, of which it uses some 50 MB otherwise.
MAX_BUFFERED_BYTES = 50_331_648

#: Largest JSON object in bytes whose values are not counted.  An object is parsed in
#: one turn of the event loop, whose time its values take, and hardly its text.
MAX_UNCOUNTED_BYTES = 1_048_576

#: Largest number of values of an object: what fits into one that is not counted, as a
#: value and what separates it from the next one take three bytes.
MAX_VALUES = MAX_UNCOUNTED_BYTES // 3

#: Bytes of an object whose values are counted in one turn of the event loop.
COUNTED_BYTES_PER_TURN = 65_536

#: Matches a string of a JSON text, or the start of one: the closing quote is a group,
#: and so is a backslash at the end of the bytes.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:(")|(\\?)\Z)', re.DOTALL)

#: Beginning of all responses that are understood.
_VERSION = b'HTTP/1.'

#: Matches the end of a head.  Line feeds alone are accepted, as the parser does.
_HEAD_END = re.compile(rb'\n\r?\n')

#: Matches the beginning of an interim response; 101 is a final one.
_INTERIM = re.compile(rb'HTTP/1\.\d 1(?!01)\d\d')


@dataclass(eq=False)
class Exchange:
    """Counts what arrives in an exchange; given in the extensions of its request.

    :ivar received: bytes on the wire so far, with all heads and framing.
    :ivar is_whole: whether the response was read to its end.
    """

    received: int = 0
    is_whole: bool = False


_EXCHANGE: ContextVar[Exchange] = ContextVar('exchange')


class BoundedTransport(httpx.AsyncHTTPTransport):
    """Transport that bounds heads of responses and the work in a turn of the loop.

    :param pacer: shared by transports, so that they share a part of the loop's time.
    """

    def __init__(self, limits: httpx.Limits, pacer: Pacer | None = None) -> None:
        super().__init__(verify=False, trust_env=False, limits=limits)
        self._pacer = pacer or Pacer()
        # httpx has no option for the network backend of its pool.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_BoundedBackend(),
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response once its head is whole."""
        exchange = request.extensions.setdefault('exchange', Exchange())
        token = _EXCHANGE.set(exchange)
        try:
            reply = await super().handle_async_request(request)
        finally:
            _EXCHANGE.reset(token)
        reply.extensions['exchange'] = exchange
        assert isinstance(reply.stream, httpx.AsyncByteStream)
        reply.stream = _BoundedBody(reply.stream, exchange, self._pacer)
        return reply


class Pacer:
    """Lets connections that always have data ready go on one after the other."""

    def __init__(self) -> None:
        self._lock = anyio.Lock()

    async def wait(self) -> None:
        """Wait until the next such connection may go on."""
        async with self._lock:
            await anyio.sleep(TURN_PAUSE_S)


class _BoundedBody(httpx.AsyncByteStream):
    """Body of a response, whose framing and work on it are bounded.

    :param stream: the body as httpx reads it.
    """

    def __init__(
        self, stream: httpx.AsyncByteStream, exchange: Exchange, pacer: Pacer
    ) -> None:
        self._stream = stream
        self._exchange = exchange
        self._pacer = pacer

    async def __aiter__(self) -> AsyncIterator[bytes]:
        content, worked_s, since = 0, 0.0, boottime()
        async for piece in self._stream:
            content += len(piece)
            framing = self._exchange.received - content
            if framing > MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * content:
                raise httpx.RemoteProtocolError('too much framing for the content')
            yield piece
            elapsed_s = boottime() - since
            since += elapsed_s
            worked_s += min(elapsed_s, MAX_PIECE_S) - WORK_SHARE * elapsed_s
            worked_s = max(0.0, worked_s)
            if worked_s > WORK_SHARE * MAX_TURN_S:
                await self._pacer.wait()
                worked_s, since = 0.0, boottime()
        self._exchange.is_whole = True

    async def aclose(self) -> None:
        await self._stream.aclose()


class _BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads are bounded."""

    def __init__(self) -> None:
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _BoundedStream(stream)

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """Connection that passes on whole heads, without interim responses.

    Chunks of bodies are passed on without their extensions, and trailers as a whole, so
    that the parser gets no line that takes it long.  What follows a response is not
    passed on: the parser would take it for the response to the next request.

    :param stream: the connection as httpcore opened it.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._exchange = Exchange()
        self._in_head = True
        self._decoder: _ChunkDecoder | None = None
        #: Bytes of the body that are yet to be passed on; ``None`` without a length.
        self._left_bytes: int | None = None
        self._data = b''
        self._start = 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        # A write belongs to the next exchange: requests are sent before reads.
        self._exchange = _EXCHANGE.get(self._exchange)
        self._in_head = True
        await self._stream.write(buffer, timeout)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self._in_head:
            self._data, self._start = await self._read_head(max_bytes, timeout)
            self._in_head = False
            head = self._data[: self._start]
            chunked = _TRANSFER_ENCODING.search(head) is not None
            self._decoder = _ChunkDecoder() if chunked else None
            length = _CONTENT_LENGTH.search(head)
            self._left_bytes = int(length[1]) if length else None
            return head
        if self._decoder is not None:
            return await self._read_chunks(self._decoder, max_bytes, timeout)
        if self._start == len(self._data):
            self._data = await self._receive(max_bytes, timeout)
            self._start = 0
        size = min(max_bytes, len(self._data) - self._start)
        if self._left_bytes is not None:
            size = min(size, self._left_bytes)
            self._left_bytes -= size
        found = self._data[self._start : self._start + size]
        self._drop(self._start + size)
        return found

    def _drop(self, end: int) -> None:
        """Note up to where data was passed on; keep none if that is all."""
        if end == len(self._data):
            self._data, end = b'', 0
        self._start = end

    async def _read_chunks(
        self, decoder: _ChunkDecoder, max_bytes: int, timeout: float | None
    ) -> bytes:
        """Return parts of a chunked body, encoded anew.

        :raises httpcore.RemoteProtocolError: the body is malformed.
        """
        while not decoder.ended:
            found, end = decoder.decode(self._data, self._start)
            self._drop(end)
            if found:
                return found
            data = await self._receive(max_bytes, timeout)
            if not data:
                # The parser tells what is missing.
                return b''
            self._data = self._data[self._start :] + data
            self._start = 0
        # The parser asks for nothing after the end of a body.
        raise httpcore.RemoteProtocolError('read after the end of a body')

    async def _read_head(
        self, max_bytes: int, timeout: float | None
    ) -> tuple[bytes, int]:
        """Return a head with what follows it, without interim ones, and its size.

        :raises httpcore.RemoteProtocolError: no valid head can come any more.
        """
        buffer = bytearray(self._data[self._start :])
        size, interim, searched = 0, 0, 0
        while True:
            if not _VERSION.startswith(buffer[: len(_VERSION)]):
                raise httpcore.RemoteProtocolError('bytes that are no status line')
            end = _HEAD_END.search(buffer, searched)
            head_size = end.end() if end else len(buffer)
            lines = buffer.count(b'\n', 0, head_size)
            if size + head_size > MAX_HEAD_BYTES or lines > MAX_HEAD_LINES:
                raise httpcore.RemoteProtocolError('head of a response is too large')
            if end is None:
                searched = max(0, len(buffer) - 2)
                data = await self._receive(max_bytes, timeout)
                if not data:
                    # The parser tells what is missing.
                    return bytes(buffer), len(buffer)
                buffer += data
                continue
            if not STATUS_LINE_START.match(buffer):
                raise httpcore.RemoteProtocolError('no valid status line')
            if not _INTERIM.match(buffer):
                if _FORBIDDEN_IN_FIELDS.search(buffer, 0, head_size):
                    raise httpcore.RemoteProtocolError('forbidden bytes in a head')
                if _FOLDED_LINE.search(buffer, 0, head_size):
                    raise httpcore.RemoteProtocolError('folded line in a head')
                return bytes(buffer), head_size
            size += head_size
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise httpcore.RemoteProtocolError('too many interim responses')
            del buffer[:head_size]
            searched = 0

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        self._exchange.received += len(data)
        return data

    async def aclose(self) -> None:
        if not self._exchange.is_whole:
            # The target is told at once that nothing more is read.
            raw = self._stream.get_extra_info('socket')
            # The socket of a connection that the target has reset is closed already.
            with suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return _BoundedStream(stream)

    def get_extra_info(self, info: str) -> Any:
        if info == 'is_readable' and self._start < len(self._data):
            # Bytes after a whole response: the connection cannot be used again.
            return True
        return self._stream.get_extra_info(info)


class _ChunkDecoder:
    """Decodes a chunked body (RFC 9112, section 7.1) and encodes it anew.

    :ivar ended: whether the end of the body has been decoded.
    """

    def __init__(self) -> None:
        self.ended = False
        self._left_bytes = 0
        self._in_footer = False
        self._in_trailers = False

    def decode(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Return whole and partial chunks as one, or the end of the body.

        Both are followed by the position of what is yet to be decoded, or may be
        decoded with the bytes that arrive next.

        :raises httpcore.RemoteProtocolError: what is next is malformed.
        """
        content, place = self._decode_chunks(data, start)
        if content:
            return b'%x\r\n%b\r\n' % (len(content), content), place
        if not self._in_trailers:
            return b'', place
        end = _find_trailers_end(data, place)
        if end < 0:
            return b'', place
        self.ended = True
        return b'0\r\n' + data[place:end], end

    def _decode_chunks(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Return the content of chunks, and the position of what follows."""
        parts: list[bytes] = []
        for _ in range(MAX_CHUNKS_PER_READ):
            try:
                place = self._decode_chunk(data, start, parts)
            except httpcore.RemoteProtocolError:
                if not parts:
                    raise
                # Raised again by the next call.
                break
            if place == start:
                break
            start = place
        return b''.join(parts), start

    def _decode_chunk(self, data: bytes, place: int, parts: list[bytes]) -> int:
        """Decode up to the end of a chunk's content; return the position after it."""
        if self._in_trailers:
            return place
        if self._in_footer:
            footer = data[place : place + len(_LINE_END)]
            if not _LINE_END.startswith(footer):
                raise httpcore.RemoteProtocolError('malformed end of a chunk')
            if footer != _LINE_END:
                return place
            place += len(_LINE_END)
            self._in_footer = False
        if not self._left_bytes:
            size, place = _find_size(data, place)
            if size is None:
                return place
            self._left_bytes = size
            self._in_trailers = not size
        content = data[place : place + self._left_bytes]
        if content:
            parts.append(content)
            self._left_bytes -= len(content)
            self._in_footer = not self._left_bytes
        return place + len(content)


def _find_size(data: bytes, place: int) -> tuple[int | None, int]:
    """Return the size in a size line, ``None`` until it is whole, and where it ends.

    :raises httpcore.RemoteProtocolError: the line is malformed or too large.
    """
    found = _SIZE_LINE.match(data, place, place + MAX_SIZE_LINE_BYTES)
    if found is not None:
        return int(found[1], 16), found.end()
    end = data.find(b'\n', place, place + MAX_SIZE_LINE_BYTES)
    if end >= 0 or len(data) - place >= MAX_SIZE_LINE_BYTES:
        raise httpcore.RemoteProtocolError('malformed size of a chunk')
    return None, place


def _find_trailers_end(data: bytes, place: int) -> int:
    """Return the end of trailers with their empty line, or -1 until they are whole.

    :raises httpcore.RemoteProtocolError: they are malformed or too large.
    """
    empty = _EMPTY_LINE.match(data, place)
    if empty is not None:
        return empty.end()
    found = _HEAD_END.search(data, place, place + MAX_HEAD_BYTES)
    end = found.end() if found else len(data)
    lines = data.count(b'\n', place, end)
    if end - place > MAX_HEAD_BYTES or lines > MAX_HEAD_LINES:
        raise httpcore.RemoteProtocolError('trailers are too large')
    if _FORBIDDEN_IN_FIELDS.search(data, place, end):
        raise httpcore.RemoteProtocolError('forbidden bytes in trailers')
    return end if found else -1


def count_received(reply: httpx.Response) -> int:
    """Return the bytes on the wire of an exchange so far."""
    exchange: Exchange = reply.extensions['exchange']
    return exchange.received


async def read_whole(reply: httpx.Response, limit: int) -> bytes:
    """Return the body of a response, which is not decoded.

    A few bytes of a compressed body may decode to any number.

    :param limit: largest size in bytes.
    :raises httpx.RemoteProtocolError: the body is larger than the limit.
    """
    body = bytearray()
    async for piece in _read_bounded(reply, limit):
        body += piece
    return bytes(body)


class BodyBuffers:
    """Sizes of the bodies that are being read whole, which are bounded together.

    :ivar total_bytes: size of all of them.
    """

    def __init__(self) -> None:
        self._sizes: dict[httpx.Response, int] = {}
        self.total_bytes = 0

    def note(self, reply: httpx.Response, size: int) -> None:
        """Note the size in bytes of what is held of a body; 0 once it is read.

        :raises httpx.RemoteProtocolError: all bodies are too large, and it has its
            equal share of what they may be.
        """
        before = self._sizes.pop(reply, 0)
        self.total_bytes += size - before
        if not size:
            return
        share = MAX_BUFFERED_BYTES / (len(self._sizes) + 1)
        if self.total_bytes > MAX_BUFFERED_BYTES and size >= share:
            self.total_bytes -= size
            raise httpx.RemoteProtocolError('unfinished bodies are too large')
        self._sizes[reply] = size


class _ValueCounter:
    """Counts the values of a JSON text that comes in pieces.

    :ivar count: arrays, objects and separators so far, outside of strings.
    """

    def __init__(self) -> None:
        self.count = 0
        self._in_string = False
        self._escaped = False

    def add(self, piece: bytes) -> None:
        """Count the values of the next piece, which must not be empty."""
        text = b'"' * self._in_string + piece[self._escaped :]
        last: re.Match[bytes] | None = None

        def drop(found: re.Match[bytes]) -> bytes:
            nonlocal last
            last = found
            return b''

        outside = _STRING.sub(drop, text)
        self._in_string = last is not None and last[1] is None
        self._escaped = last is not None and bool(last[2])
        self.count += sum(map(outside.count, (b'[', b'{', b',')))


async def read_object(
    reply: httpx.Response, limit: int, buffers: BodyBuffers | None = None
) -> dict[str, Any]:
    """Return the JSON object that is the body of a response.

    :param limit: largest size of the body in bytes.
    :param buffers: bounds the body together with others.
    :raises httpx.RemoteProtocolError: the body is no JSON object, or is too large.
    """
    buffers = buffers or BodyBuffers()
    body, begun = bytearray(), False
    values, counted = _ValueCounter(), 0
    try:
        async for piece in _read_bounded(reply, limit):
            body += piece
            buffers.note(reply, len(body))
            if not begun:
                text = body.lstrip()
                begun = text.startswith(b'{')
                if not begun and (text or len(body) > MAX_BLANK_BYTES):
                    raise httpx.RemoteProtocolError('body that is no JSON object')
            while len(body) > MAX_UNCOUNTED_BYTES and counted < len(body):
                values.add(bytes(body[counted : counted + COUNTED_BYTES_PER_TURN]))
                counted = min(len(body), counted + COUNTED_BYTES_PER_TURN)
                if values.count > MAX_VALUES:
                    raise httpx.RemoteProtocolError('object of too many values')
                await anyio.sleep(0)
    finally:
        buffers.note(reply, 0)
    try:
        found = orjson.loads(body)
    except ValueError as error:
        raise httpx.RemoteProtocolError('body that is no JSON object') from error
    if not isinstance(found, dict):
        raise httpx.RemoteProtocolError('body that is no JSON object')
    return found


async def _read_bounded(
    reply: httpx.Response, limit: int
) -> AsyncGenerator[bytes, None]:
    """Yield the pieces of a body of at most ``limit`` bytes, which is not decoded."""
    size = 0
    wire_limit = MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * limit
    async for piece in reply.aiter_raw():
        size += len(piece)
        if size > limit or count_received(reply) > wire_limit:
            raise httpx.RemoteProtocolError(f'body of more than {limit} bytes')
        yield piece


async def drain_body(pieces: AsyncIterator[bytes]) -> None:
    """Read the rest of a body that tells nothing, so that its connection is reused.

    Time and bytes are bounded, so that a target that does not end it cannot delay the
    caller; its connection is closed with the response.
    """
    size = 0
    try:
        with anyio.move_on_after(BODY_END_TIMEOUT_S):
            async for piece in pieces:
                size += len(piece)
                if size > MAX_REST_BYTES:
                    return
    except httpx.HTTPError:
        return


@asynccontextmanager
async def open_reply(
    client: httpx.AsyncClient, request: httpx.Request, timeout_s: float
) -> AsyncIterator[httpx.Response]:
    """Send a request; yield the response, and close it if it was not read to its end.

    :param timeout_s: time limit in seconds of the exchange as a whole.
    :raises httpx.ReadTimeout: the time limit has passed.
    """
    reply: httpx.Response | None = None
    try:
        with anyio.fail_after(timeout_s):
            try:
                reply = await client.send(request, stream=True)
                yield reply
            finally:
                if reply is not None:
                    with anyio.CancelScope(shield=True):
                        await reply.aclose()
    except TimeoutError as error:
        raise httpx.ReadTimeout(f'no answer within {timeout_s:g} s') from error
