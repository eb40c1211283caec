"""Serving of ASGI applications and reading of bounded request bodies."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.responses import Response

from coursepitch.errors import RequestError, RequestTooLargeError

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from starlette.requests import Request

__all__ = ['Cutoff', 'StreamedAnswer', 'read_body', 'run_unless_gone', 'serve_app']


async def serve_app(
    app: Any,
    sock: socket.socket,
    stop: anyio.Event,
    *,
    certificate: str = '',
    key: str = '',
    header_limit: int = 16_384,
    idle_s: float = 30.0,
) -> None:
    """Serve an application on a socket until ``stop`` is set.

    Requests in flight are ended by the caller before ``stop``; the server's
    own grace period is only for connections that are about to close.
    """
    config = Config()
    config.bind = [f'fd://{sock.fileno()}']
    config.certfile = certificate or None
    config.keyfile = key or None
    config.errorlog = None
    config.accesslog = None
    config.graceful_timeout = 2.0
    config.keep_alive_timeout = idle_s
    config.h11_max_incomplete_size = header_limit
    config.include_server_header = False
    await serve(app, config, shutdown_trigger=stop.wait)


async def read_body(request: Request, limit: int, timeout_s: float) -> bytes:
    """Read a request body that is bounded in size and time.

    :raises RequestTooLargeError: it is larger than the limit.
    :raises RequestError: it did not arrive in time.
    """
    declared = request.headers.get('content-length', '0')
    if declared.isdigit() and int(declared) > limit:
        raise RequestTooLargeError(f'body of {declared} bytes, at most {limit}')
    parts: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(timeout_s):
            async for part in request.stream():
                size += len(part)
                if size > limit:
                    raise RequestTooLargeError(f'body of more than {limit} bytes')
                parts.append(part)
    except TimeoutError as error:
        raise RequestError(f'body did not arrive within {timeout_s:g} s') from error
    return b''.join(parts)


async def run_unless_gone(
    receive: Callable[[], Awaitable[Any]], work: Callable[[], Awaitable[Any]]
) -> Any:
    """Run work and cancel it when the caller leaves.

    Return what the work returned, or ``None`` when the caller left first.
    """
    result: Any = None
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            while True:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    group.cancel_scope.cancel()
                    return

        group.start_soon(watch)
        result = await work()
        group.cancel_scope.cancel()
    return result


class Cutoff(Exception):  # noqa: N818
    """Ends a streamed answer abnormally, so that it cannot pass for whole."""


class StreamedAnswer(Response):
    """An answer whose body is made as it goes out.

    The body's iterator is closed when the caller leaves.  It raises
    :class:`Cutoff` to end the connection without the end of the body.

    :param left_s: seconds after which the rest is given up.
    :param end_late: makes the last bytes then; without it the end is abnormal.
    """

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        status: int,
        headers: Mapping[str, str],
        finish: Callable[[], Awaitable[None]],
        left_s: float = math.inf,
        end_late: Callable[[], bytes] | None = None,
    ) -> None:
        super().__init__(status_code=status, headers=dict(headers))
        self._chunks = chunks
        self._finish = finish
        self._left_s = left_s
        self._end_late = end_late
        self.raw_headers = [
            item for item in self.raw_headers if item[0] != b'content-length'
        ]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send head and body; a caller that leaves cancels the rest."""

        async def pass_on() -> None:
            start = {
                'type': 'http.response.start',
                'status': self.status_code,
                'headers': self.raw_headers,
            }
            await send(start)
            with anyio.move_on_after(self._left_s) as scope:
                async for chunk in self._chunks:
                    await send(
                        {'type': 'http.response.body', 'body': chunk, 'more_body': True}
                    )
            last = b''
            if scope.cancelled_caught:
                if self._end_late is None:
                    raise Cutoff('the deadline passed')
                last = self._end_late()
            await send({'type': 'http.response.body', 'body': last, 'more_body': False})

        try:
            await run_unless_gone(receive, pass_on)
        finally:
            with anyio.CancelScope(shield=True):
                await self._finish()
