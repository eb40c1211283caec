"""Helpers to serve ASGI applications and to read and stream bodies."""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
from hypercorn.config import Config
from starlette.responses import Response

from coursepitch.clock import boottime
from coursepitch.errors import RequestError, RequestTooLargeError
from coursepitch.http.memory import MIN_BODIES, ClientMemory
from coursepitch.http.server import MIN_BODY_BYTES_PER_S
from coursepitch.util.asgi_server import serve_connections
from coursepitch.util.body_hold import KEPT_FACTOR, BodyHold

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping

    from starlette.requests import Request

__all__ = [
    'Cutoff',
    'ServerStop',
    'StreamedResponse',
    'TrackedResponse',
    'read_body',
    'run_until_disconnect',
    'serve_app',
]


#: Parts of a body, of 64 KiB at most, that wait for the application.
MAX_QUEUED_PARTS = 2

#: Connections that may be open unless the application tells otherwise.
DEFAULT_MAX_CONNECTIONS = 1_048_576

#: Largest response in bytes that is held back until its end.
MAX_HELD_BYTES = 16_777_216


@dataclass(eq=False)
class ServerStop:
    """Tells servers to stop.

    :param grace_s: seconds for which open connections may still send what was written.
    """

    grace_s: float = 0.0
    requested: anyio.Event = field(default_factory=anyio.Event)

    def request(self, grace_s: float) -> None:
        """Stop the servers; they close connections as soon as these are idle."""
        self.grace_s = grace_s
        self.requested.set()


async def serve_app(
    app: Any,
    sock: socket.socket,
    stop: ServerStop,
    *,
    certificate: str = '',
    key: str = '',
    header_limit: int = 16_384,
    idle_s: float = 30.0,
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
) -> None:
    """Serve an application by HTTP/1.1 on a socket until ``stop`` is requested.

    The caller must finish the requests in flight before that; the grace period only
    covers what the operating system has not accepted yet.

    :param certificate: path of the TLS certificate; empty for plain HTTP.
    :param key: path of the TLS key.
    :param header_limit: maximum size of a request head in bytes.
    :param idle_s: keep-alive timeout in seconds.
    :param max_connections: connections that may be open; further ones take the place of
        those that wait for their client.
    """
    config = Config()
    config.certfile = certificate or None
    config.keyfile = key or None
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = idle_s
    config.alpn_protocols = ['http/1.1']
    config.h11_max_incomplete_size = header_limit
    config.include_server_header = False
    config.max_app_queue_size = MAX_QUEUED_PARTS

    async def wait_stop() -> float:
        await stop.requested.wait()
        return stop.grace_s

    await serve_connections(app, config, sock, wait_stop, max_connections)


async def read_body(
    request: Request, limit: int, timeout_s: float, hold: BodyHold | None = None
) -> bytes:
    """Read a request body with a limit on size and time.

    :param limit: maximum size in bytes.
    :param hold: counts the body among all that is held for clients, until its release.
    :raises OverloadedError: too much is held for other clients.
    :raises RequestTooLargeError: the body is larger than the limit.
    :raises RequestError: the body was not received in time.
    """
    declared = request.headers.get('content-length', '0')
    if declared.isdigit() and int(declared) > limit:
        raise RequestTooLargeError(f'body of {declared} bytes, at most {limit}')
    if hold is None:
        hold = BodyHold(
            ClientMemory(MIN_BODIES * KEPT_FACTOR * limit, boottime), boottime
        )
    if declared.isdigit():
        hold.reserve(int(declared))
    size = 0
    try:
        with anyio.fail_after(timeout_s), hold:
            async for part in request.stream():
                size += len(part)
                if size > limit:
                    raise RequestTooLargeError(f'body of more than {limit} bytes')
                hold.append(part)
    except TimeoutError as error:
        raise RequestError(f'body did not arrive within {timeout_s:g} s') from error
    return hold.take()


async def run_until_disconnect(
    receive: Callable[[], Awaitable[Any]], work: Callable[[], Awaitable[Any]]
) -> Any:
    """Run a task and cancel it when the caller disconnects.

    :param receive: the ASGI receive callable of the request.
    :return: the task's result, or ``None`` if the caller disconnected first.
    """
    result: Any = None
    async with anyio.create_task_group() as group:

        async def watch_for_disconnect() -> None:
            while True:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    group.cancel_scope.cancel()
                    return

        group.start_soon(watch_for_disconnect)
        result = await work()
        group.cancel_scope.cancel()
    return result


class Cutoff(Exception):  # noqa: N818
    """Raised to abort a streamed response, so that the caller sees a truncation."""


class StreamedResponse(Response):
    """A response whose body is generated while it is sent.

    The body's iterator is cancelled when the caller disconnects.  It raises
    :class:`Cutoff` to break the connection without the regular end of the body.

    :param chunks: iterator over the parts of the body.
    :param finish: cleanup that runs after the response in any case.
    :param timeout_s: timeout in seconds for the whole body.
    :param build_late_end: returns the final bytes after a timeout; without it, the
        response is aborted.
    :param has_last_event: whether an event of the body tells that it is the last.
    """

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        status: int,
        headers: Mapping[str, str],
        finish: Callable[[], Awaitable[None]],
        timeout_s: float = math.inf,
        build_late_end: Callable[[], bytes] | None = None,
        has_last_event: bool = False,
    ) -> None:
        super().__init__(status_code=status, headers=dict(headers))
        self._chunks = chunks
        self._finish = finish
        self._timeout_s = timeout_s
        self._build_late_end = build_late_end
        self._has_last_event = has_last_event
        self.raw_headers = [
            item for item in self.raw_headers if item[0] != b'content-length'
        ]

    @property
    def has_deadline(self) -> bool:
        """Whether a timeout ends the body."""
        return self._timeout_s < math.inf

    def _tells_its_end(self) -> bool:
        """Whether its length or its last event tells a client the end of the body."""
        return self._has_last_event or b'content-length' in dict(self.raw_headers)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send head and body; stop if the caller disconnects."""
        if scope['http_version'] == '1.0' and not self._tells_its_end():
            send = _HeldSender(send)

        async def send_response() -> None:
            try:
                await send_parts()
            except Cutoff:
                if not isinstance(send, _HeldSender):
                    raise
                await send.fail()

        async def send_parts() -> None:
            start = {
                'type': 'http.response.start',
                'status': self.status_code,
                'headers': self.raw_headers,
            }
            await send(start)
            with anyio.move_on_after(self._timeout_s) as scope:
                async for chunk in self._chunks:
                    await send(
                        {'type': 'http.response.body', 'body': chunk, 'more_body': True}
                    )
            last = b''
            if scope.cancelled_caught:
                if self._build_late_end is None:
                    raise Cutoff('the deadline passed')
                last = self._build_late_end()
            await send({'type': 'http.response.body', 'body': last, 'more_body': False})

        try:
            await run_until_disconnect(receive, send_response)
        finally:
            with anyio.CancelScope(shield=True):
                await self._finish()


class _HeldSender:
    """Holds a response back until its end, and sends it with its length.

    To a client of HTTP/1.0 a response without length ends with its connection, whether
    it is whole or not.

    :param send: the ASGI send callable.
    """

    def __init__(self, send: Callable[[Any], Awaitable[None]]) -> None:
        self._send = send
        self._start: dict[str, Any] = {}
        self._body = bytearray()

    async def __call__(self, message: dict[str, Any]) -> None:
        """Take a message of the response."""
        if message['type'] == 'http.response.start':
            self._start = message
            return
        self._body += message['body']
        if len(self._body) > MAX_HELD_BYTES:
            raise Cutoff(f'a response of more than {MAX_HELD_BYTES} bytes')
        if message['more_body']:
            return
        length = (b'content-length', b'%d' % len(self._body))
        headers = [*self._start['headers'], length]
        await self._send({**self._start, 'headers': headers})
        await self._send({**message, 'body': bytes(self._body)})

    async def fail(self) -> None:
        """Send status 502 in place of the response."""
        headers = [(b'content-length', b'0')]
        await self._send({**self._start, 'status': 502, 'headers': headers})
        await self._send({'type': 'http.response.body'})


class TrackedResponse:
    """A response that reports when it has been sent, or that sending it failed.

    :param end: called once, after the last byte was written or the client was
        disconnected.
    :param note_unread: called if the client is disconnected as it does not read.
    :param timeout_s: seconds after which a client that does not read a whole response,
        or a part of a :class:`StreamedResponse` that its own timeout does not cover,
        is disconnected; for a part, the time that a slow client needs is added.
    """

    def __init__(
        self,
        response: Response,
        end: Callable[[], None],
        note_unread: Callable[[], None],
        timeout_s: float,
    ) -> None:
        self._response = response
        self._end = end
        self._note_unread = note_unread
        self._timeout_s = timeout_s

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the response."""
        response = self._response
        has_deadline = isinstance(response, StreamedResponse) and response.has_deadline

        async def send_part(message: dict[str, Any]) -> None:
            timeout_s = math.inf
            if not (has_deadline and message.get('more_body', False)):
                size = len(message.get('body', b''))
                timeout_s = self._timeout_s + size / MIN_BODY_BYTES_PER_S
            with self._limit(timeout_s):
                await send(message)

        try:
            if isinstance(response, StreamedResponse):
                await response(scope, receive, send_part)
            else:
                with self._limit(self._timeout_s):
                    await response(scope, receive, send)
        finally:
            self._end()

    @contextlib.contextmanager
    def _limit(self, timeout_s: float) -> Iterator[None]:
        """Limit the time in which a client reads.

        :raises Cutoff: the client has not read in time.
        """
        with anyio.move_on_after(timeout_s) as sending:
            yield
        if sending.cancelled_caught:
            self._note_unread()
            raise Cutoff('the client does not read its response')
