"""Builders of responses that bring their caller nothing, and of their readers."""

from __future__ import annotations

from unittest import mock

import h11

from coursepitch.http import ConnectionPool
from coursepitch.http.client import Connection
from coursepitch.http.stream import ByteStream

HEADERS = ((b'Host', b'x'),)
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'

#: Bytes that a flood may have sent at most once it must have been recognised: a head or
#: an excess of framing, whose content may be nearly as large for chunks of four bytes.
FLOOD_BYTES = 2_000_000


class Flood:
    """A stream without a socket on which the same bytes arrive without end.

    :ivar sent: bytes that were given to the stream.
    :ivar limit: bytes after which the stream ends, so that no test goes on without end.
    """

    def __init__(self, start: bytes, repeated: bytes, part_bytes: int = 65_536) -> None:
        self.sent = 0
        self.limit: int | None = FLOOD_BYTES
        self.stream = ByteStream()
        self.transport = mock.Mock()
        self.stream.connection_made(self.transport)
        self._part = repeated * (part_bytes // len(repeated) or 1)
        self.transport.resume_reading.side_effect = self.fill
        if start:
            self.stream.data_received(start)
        self.fill()

    def fill(self) -> None:
        """Send until the stream pauses its reading."""
        while not self.stream._reading_paused and not self._is_over():
            self.sent += len(self._part)
            self.stream.data_received(self._part)
        if self._is_over():
            self.stream.eof_received()

    def _is_over(self) -> bool:
        return self.limit is not None and self.sent >= self.limit


def build_connection(stream):
    """Return a connection of a client on a stream."""
    return Connection('x:1', stream, h11.Connection(h11.CLIENT, 65_536))


async def ask(stream, method=b'GET'):
    """Return the head of the response that arrives on a stream."""
    connection = build_connection(stream)
    return await ConnectionPool().exchange(connection, method, b'/', HEADERS, b'')


async def read_body(stream):
    """Return the parts of the body of the response that arrives on a stream."""
    response = await ask(stream)
    parts = []
    while (part := await response.read_chunk()) is not None:
        parts.append(part)
    return parts
