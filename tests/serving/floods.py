"""Builders of servers that send bytes without end, until their caller closes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import anyio.abc

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['BODIES', 'CHUNKED', 'FAST', 'HEADS', 'SLOW', 'Flood', 'list_floods']

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'

#: Bytes of a send and seconds between two sends.
FAST = (65_536, 0.0)
SLOW = (10, 0.02)

#: What is sent once and what is sent over and over, by kind of flood.
HEADS = {
    'status_line': (b'', b'x'),
    'header_lines': (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n'),
    'header_value': (b'HTTP/1.1 200 OK\r\na: ', b'x'),
    'interim': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
}
BODIES = {
    'chunks': (CHUNKED, b'4\r\n    \r\n'),
    'chunk_extension': (CHUNKED + b'4;', b'x'),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n'),
    'one_byte': (UNFRAMED, b'x'),
    'line_breaks': (UNFRAMED, b'\n'),
}


@dataclass(eq=False)
class Flood:
    """A server that reads a request and sends bytes until its caller closes.

    :param first: bytes that are sent once.
    :param unit: bytes that are sent over and over.
    :param pace: bytes of a send and seconds between two sends.
    :ivar head: head of the latest request.
    :ivar requests: number of requests that were read.
    :ivar sent: number of bytes that were sent.
    :ivar left: set once a caller has closed.
    """

    first: bytes
    unit: bytes
    pace: tuple[int, float] = FAST
    port: int = 0
    head: bytes = b''
    requests: int = 0
    sent: int = 0
    left: anyio.Event = field(default_factory=anyio.Event)

    @property
    def address(self) -> str:
        """Address of the server."""
        return f'127.0.0.1:{self.port}'

    async def listen(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listen on a port that the system chooses."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self.serve)

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Read a request and send bytes without end."""
        size, pause_s = self.pace
        piece = self.unit * max(1, size // len(self.unit))
        try:
            async with stream:
                data = b''
                while b'\r\n\r\n' not in data:
                    data += await stream.receive()
                self.head = data
                self.requests += 1
                name = _find_request_id(data)
                await stream.send(self.first.replace(b'REQUEST-ID', name))
                while True:
                    await stream.send(piece)
                    self.sent += len(piece)
                    await anyio.sleep(pause_s)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            self.left.set()


def _find_request_id(data: bytes) -> bytes:
    for line in data.split(b'\r\n'):
        name, _, value = line.partition(b': ')
        if name.lower() == b'x-request-id':
            return value
    # The stream of a run is reopened by a name in its path.
    return data.split(b' ')[1].rpartition(b'/')[2].partition(b'?')[0]


def list_floods(
    kinds: dict[str, tuple[bytes, bytes]],
) -> Iterator[tuple[str, Flood]]:
    """Yield a description and a server for each kind, fast and slow."""
    for kind, (first, unit) in kinds.items():
        for pace, name in ((FAST, 'fast'), (SLOW, 'slow')):
            yield f'{kind} {name}', Flood(first, unit, pace)
