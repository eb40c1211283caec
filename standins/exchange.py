"""HTTP of a stand-in, event by event, so that it can break off wherever it likes."""

from __future__ import annotations

import contextlib
import socket
import struct
from http import HTTPStatus
from typing import Any

import anyio
import h11
from anyio.abc import SocketAttribute

__all__ = [
    'FRAMINGS',
    'AnswerWriter',
    'read_request',
    'reset_on_close',
    'send_whole',
    'wait_closed',
    'wait_left',
]

#: What may tell the end of an answer's body (RFC 9112, section 6.3).
FRAMINGS = ('length', 'chunks', 'connection')


async def read_request(stream: Any, parser: Any) -> tuple[Any, bytes]:
    """Return the next request and its body; ``None`` at the end."""
    request, body = None, b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            try:
                parser.receive_data(await stream.receive())
            except anyio.EndOfStream:
                return None, b''
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b''


async def send_whole(
    stream: Any, parser: Any, status: int, headers: dict[str, str], body: bytes = b''
) -> None:
    """Send a whole answer."""
    lines = [*headers.items(), ('Content-Length', str(len(body)))]
    data = parser.send(h11.Response(status_code=status, headers=lines))
    if body:
        data += parser.send(h11.Data(data=body))
    await stream.send(data + parser.send(h11.EndOfMessage()))


class AnswerWriter:
    """Writer of one answer, part by part.

    :param framing: what tells its end, one of :data:`FRAMINGS`.
    """

    def __init__(self, stream: Any, parser: Any, framing: str) -> None:
        self._stream = stream
        self._parser = parser
        self.framing = framing

    async def start(
        self, headers: dict[str, str], length: int, status: int = 200
    ) -> None:
        """Send the head of an answer.

        :param length: bytes of the whole body.
        """
        if self.framing == 'connection':
            lines = ''.join(f'{key}: {value}\r\n' for key, value in headers.items())
            head = f'HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n{lines}\r\n'
            await self._stream.send(head.encode())
            return
        fields = list(headers.items())
        if self.framing == 'length':
            fields.append(('Content-Length', str(length)))
        response = h11.Response(status_code=status, headers=fields)
        await self._stream.send(self._parser.send(response))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.framing != 'connection':
            data = self._parser.send(h11.Data(data=data))
        await self._stream.send(data)

    async def end(self) -> bool:
        """End the answer; return whether the connection goes on."""
        if self.framing == 'connection':
            return False
        await self._stream.send(self._parser.send(h11.EndOfMessage()) or b'')
        return True

    def reset(self) -> None:
        """Let the connection end with a reset."""
        reset_on_close(self._stream)


def reset_on_close(stream: Any) -> None:
    """Let a connection end with a reset once it is closed, unless it has ended."""
    sock = stream.extra(SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


async def wait_closed(stream: Any) -> None:
    """Wait until the other side closes, whatever else it sends."""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await stream.receive()


async def wait_left(stream: Any, run: dict[str, Any]) -> None:
    """Wait until the other side closes."""
    try:
        await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        run['left'] = True
