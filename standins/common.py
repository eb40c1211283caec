"""What all stand-ins share: serving an application on a port the OS may choose."""

from __future__ import annotations

import argparse
import contextvars
import json
import signal
import socket
from typing import TYPE_CHECKING, Any

import anyio
import hypercorn.asyncio.run
from hypercorn.asyncio import serve
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from starlette.responses import JSONResponse

if TYPE_CHECKING:
    import asyncio

    from starlette.requests import Request

__all__ = ['CONNECTION', 'Connection', 'answer', 'build_parser', 'read_json', 'run']


#: Seconds between two looks at whether the other side has closed.
CLOSE_CHECK_S = 0.01


class Connection:
    """A connection to which an application writes past the server's HTTP."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, data: bytes) -> None:
        """Send bytes; wait while the other side reads none."""
        self._writer.write(data)
        await self._writer.drain()

    async def wait_closed(self) -> None:
        """Wait until the other side closes."""
        while not self._has_closed():
            await anyio.sleep(CLOSE_CHECK_S)

    def _has_closed(self) -> bool:
        ended = self._reader.at_eof() or self._reader.exception() is not None
        return ended or self._writer.is_closing()


#: Connection of the request that is served.
CONNECTION: contextvars.ContextVar[Connection] = contextvars.ContextVar('connection')


class _Server(TCPServer):
    """Server of one connection that lets applications find it."""

    async def run(self) -> None:
        CONNECTION.set(Connection(self.reader, self.writer))
        await super().run()


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0, help='0 lets the OS choose')
    return parser


def answer(value: Any, status: int = 200) -> JSONResponse:
    """Return a JSON answer."""
    return JSONResponse(value, status)


async def read_json(request: Request) -> Any:
    """Return the JSON body of a request; an empty one is an empty map."""
    body = await request.body()
    return json.loads(body) if body else {}


def run(app: Any, port: int) -> None:
    """Serve until a signal; print the port as a JSON line once it has started."""
    anyio.run(_serve, app, port)


async def _serve(app: Any, port: int) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(('127.0.0.1', port))
    sock.listen(512)
    config = Config()
    config.bind = [f'fd://{sock.detach()}']
    config.errorlog = None
    config.graceful_timeout = 0.2
    config.keep_alive_timeout = 60
    bound = socket.socket(fileno=int(config.bind[0][5:]))
    told = json.dumps({'port': bound.getsockname()[1]})
    bound.detach()

    async def report_start(scope: Any, receive: Any, send: Any) -> None:
        async def note(message: Any) -> None:
            await send(message)
            if message['type'] == 'lifespan.startup.complete':
                print(told, flush=True)

        await app(scope, receive, note if scope['type'] == 'lifespan' else send)

    async def wait_for_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                return

    hypercorn.asyncio.run.TCPServer = _Server  # type: ignore
    await serve(report_start, config, shutdown_trigger=wait_for_signal)
