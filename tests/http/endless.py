"""Servers that answer a request with bytes that are no answer, without end."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

import anyio
import anyio.lowlevel

__all__ = ['ENDLESS', 'FLOOD_BYTES', 'Endless', 'serve_endless']

#: Bytes that a server sends at once.
FLOOD_BYTES = 65_536

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'


@dataclass(frozen=True, slots=True)
class Endless:
    """What a server sends.

    :param head: bytes before the first unit.
    :param unit: bytes that come again and again.
    """

    head: bytes
    unit: bytes


ENDLESS = {
    'no status line': Endless(b'', b'x'),
    'line breaks': Endless(b'', b'\r\n'),
    'header lines': Endless(_OK, b'A: b\r\n'),
    'header value': Endless(_OK + b'A: ', b'b'),
    'interim responses': Endless(b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'chunks of four bytes': Endless(_CHUNKED, b'4\r\nabcd\r\n'),
    'chunk extensions': Endless(_CHUNKED, b'1;name=value\r\nx\r\n'),
    'chunk extension': Endless(_CHUNKED + b'4;', b'x'),
    'trailers': Endless(_CHUNKED + b'0\r\n', b'A: b\r\n'),
}


async def serve_endless(listener, endless, ended):
    """Answer each connection so until its client closes; set ``ended`` then."""
    data = endless.unit * (FLOOD_BYTES // len(endless.unit))

    async def serve(stream):
        with contextlib.suppress(anyio.BrokenResourceError):
            async with stream:
                await stream.receive()
                await stream.send(endless.head)
                while True:
                    await stream.send(data)
                    await anyio.lowlevel.checkpoint()
        ended.set()

    await listener.serve(serve)
