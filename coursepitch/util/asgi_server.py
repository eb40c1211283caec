"""Server of ASGI applications whose connections are read by the parser of requests.

hypercorn passes the bytes of a client to h11 as they arrive.  Here its connections read
them by :class:`.RequestParser`, which bounds the work for each event.  The methods that
are overridden for this are no documented interface of hypercorn, so the tests of
listeners show whether another release still calls them.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.utils import wrap_app

from coursepitch.http.request_parser import RequestParser
from coursepitch.http.server import MIN_BODY_BYTES_PER_S

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from hypercorn.config import Config

__all__ = ['serve_connections']

#: Seconds after which a connection that is being closed is aborted, although its client
#: has not read all that was written: those that a slow client needs for 64 KiB, above
#: which writes wait.
UNREAD_CLOSE_TIMEOUT_S = 65_536 / MIN_BODY_BYTES_PER_S

#: Seconds that connections have to end once they are aborted.
ABORT_TIMEOUT_S = 1.0


class _Protocol(H11Protocol):  # type: ignore[misc]
    """HTTP/1.1 with the parser of requests, whatever protocol a client asks for.

    The parser of HTTP/2 has no bound on frames that make no request, such as pings.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.connection = RequestParser(self.config.h11_max_incomplete_size)

    async def _check_protocol(self, event: Any) -> None:
        """Keep to HTTP/1.1 after a request to change to HTTP/2."""


class _Connection(TCPServer):  # type: ignore[misc]
    """One connection of a client."""

    protocol: Any

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._reading = anyio.CancelScope()

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


async def serve_connections(
    app: Any,
    config: Config,
    sock: socket.socket,
    wait_stop: Callable[[], Awaitable[float]],
) -> None:
    """Serve an application without a lifespan on a listening socket.

    :param wait_stop: returns once the server has to stop, with the seconds for which
        open connections may go on.
    """
    loop = asyncio.get_running_loop()
    wrapped = wrap_app(app, config.wsgi_max_body_size, 'asgi')
    context = WorkerContext(None)
    connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        connections[task] = writer
        try:
            # asyncio logs the cancellation of such a task as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await _Connection(wrapped, loop, config, context, {}, reader, writer)
        finally:
            del connections[task]

    tls = config.create_ssl_context() if config.ssl_enabled else None
    server = await asyncio.start_server(
        serve,
        sock=sock,
        backlog=config.backlog,
        ssl=tls,
        ssl_handshake_timeout=config.ssl_handshake_timeout if tls else None,
    )
    try:
        grace_s = await wait_stop()
        await context.terminated.set()
        server.close()
        if connections:
            await asyncio.wait(connections, timeout=grace_s)
    finally:
        server.close()
        for task, writer in connections.items():
            writer.transport.abort()
            task.cancel()
        if connections:
            with anyio.CancelScope(shield=True):
                await asyncio.wait(connections, timeout=ABORT_TIMEOUT_S)
