"""HTTP of a stand-in, event by event, so that it can break off wherever it likes."""

from __future__ import annotations

from typing import Any

import anyio
import h11

__all__ = ['read_request', 'send_whole', 'wait_left']


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


async def wait_left(stream: Any, run: dict[str, Any]) -> None:
    """Wait until the other side closes."""
    try:
        await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        run['left'] = True
