"""Paths from nodes to an instance, each at a host of its own, which can be cut.

A cut path is in one of three modes: ``hang`` (connections stand still, and new ones
do not come up), ``reset`` (connections are reset, and new ones refused) or ``refuse``
(connections go on, and new ones are refused).  In the mode ``slow`` all goes on, and
what the node sends arrives :data:`SLOW_S` later.

Instances that listen on loopback only get paths from a process of their own:
``python -m standins.paths --nodes NAME... --ports PORT...`` forwards connections, and
``POST /cut`` on its control port cuts the paths of ``nodes`` in a ``mode``.
"""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
from starlette.applications import Starlette
from starlette.routing import Route

from standins.common import answer, build_parser, read_json, run
from standins.exchange import reset_on_close
from standins.network import INSTANCE_HOST, find_host

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup, TaskStatus
    from starlette.requests import Request
    from starlette.responses import Response

__all__ = ['Path']

#: Connections that fill the queue of a listener, so that the kernel drops the opening
#: packets of others.
FILLERS = 3

#: Seconds that bytes of a node take on a slow path.
SLOW_S = 1.8

#: Modes in which new connections come up.
_OPEN_MODES = ('none', 'slow')

#: Longest queue of connections that were not accepted yet.
BACKLOG = 128


class PathStream(anyio.abc.ByteStream):
    """A connection whose bytes pass only while its path is open."""

    def __init__(self, stream: anyio.abc.SocketStream, path: Path) -> None:
        self._stream = stream
        self._path = path

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the next bytes once the path is open."""
        await self._path.opened.wait()
        try:
            return await self._stream.receive(max_bytes)
        finally:
            await anyio.sleep(self._path.delay_s)
            await self._path.opened.wait()

    async def send(self, item: bytes) -> None:
        """Send bytes once the path is open."""
        await self._path.opened.wait()
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """End the stream once the path is open."""
        await self._path.opened.wait()
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        self._path.forget(self)
        await self._stream.aclose()

    @property
    def extra_attributes(self) -> Any:
        """Attributes of the socket."""
        return self._stream.extra_attributes

    def reset(self) -> None:
        """Close the connection with a reset."""
        reset_on_close(self._stream)
        transport: Any = self._stream
        transport._transport.abort()


class Path:
    """A listener for the connections of one node to one instance.

    :param host: where the node reaches all instances, see :mod:`standins.network`.
    :param port: port of the instance.
    :param serve: serves one connection.
    :raises OSError: the port is taken.
    """

    def __init__(
        self, host: str, port: int, serve: Callable[[Any], Awaitable[None]]
    ) -> None:
        self._serve = serve
        # Keeps the port while nothing listens there.
        self._reserved = _bind(host, port)
        self._mode = 'none'
        self._mode_scope = anyio.CancelScope()
        self._streams: set[PathStream] = set()
        #: Seconds after which what the node sent arrives.
        self.delay_s = 0.0
        #: Set while bytes pass.
        self.opened = anyio.Event()
        self.opened.set()

    def cut(self, mode: str) -> None:
        """Set the mode; ``none`` opens the path again."""
        self.opened.set()
        self.delay_s = SLOW_S if mode == 'slow' else 0.0
        if mode == 'hang':
            self.opened = anyio.Event()
        if mode == 'reset':
            for stream in list(self._streams):
                stream.reset()
        self._mode = mode
        self._mode_scope.cancel()

    def forget(self, stream: PathStream) -> None:
        """Drop a connection that was closed."""
        self._streams.discard(stream)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen as the mode says, until cancelled."""
        with self._reserved:
            async with anyio.create_task_group() as tasks:
                task_status.started()
                while True:
                    with anyio.CancelScope() as self._mode_scope, self._open() as sock:
                        await self._accept(sock, tasks)

    def _open(self) -> socket.socket:
        """Return a socket on the port of the path; it listens unless refusing."""
        sock = _bind(*self._reserved.getsockname())
        sock.setblocking(False)
        if self._mode in _OPEN_MODES:
            sock.listen(BACKLOG)
        elif self._mode == 'hang':
            sock.listen(0)
        return sock

    async def _accept(self, sock: socket.socket, tasks: TaskGroup) -> None:
        if self._mode == 'hang':
            with contextlib.ExitStack() as fillers:
                for _ in range(FILLERS):
                    filler = fillers.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(sock.getsockname())
                await anyio.sleep_forever()
        if self._mode not in _OPEN_MODES:
            await anyio.sleep_forever()
        while True:
            await anyio.wait_readable(sock)
            try:
                accepted, _ = sock.accept()
            except OSError:
                # The client closed the connection before it was accepted.
                continue
            try:
                raw = await anyio.abc.SocketStream.from_socket(accepted)
            except ValueError:
                # The client reset the connection before it was accepted.
                accepted.close()
                continue
            stream = PathStream(raw, self)
            self._streams.add(stream)
            tasks.start_soon(self._serve, stream)


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


async def forward(port: int, stream: Any) -> None:
    """Forward a connection to a port on loopback until either side ends."""
    try:
        async with (
            stream,
            await anyio.connect_tcp('127.0.0.1', port) as target,
            anyio.create_task_group() as tasks,
        ):

            async def copy(source: Any, sink: Any) -> None:
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        await sink.send(await source.receive())
                tasks.cancel_scope.cancel()

            tasks.start_soon(copy, stream, target)
            tasks.start_soon(copy, target, stream)
    except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        # Both connections are closed; the caller sees the end of its own.
        pass


def build_app(nodes: list[str], ports: list[int]) -> Starlette:
    """Return the application of the control port, which runs the paths.

    :param nodes: nodes whose paths can be cut.
    :param ports: ports of the instances on loopback.
    """
    paths: dict[str, list[Path]] = {}
    hosts = {node: find_host(number) for number, node in enumerate(nodes)}
    # Instances reach each other at the host at which they are listed.
    hosts[''] = INSTANCE_HOST

    async def cut(request: Request) -> Response:
        data = await read_json(request)
        for node in data['nodes']:
            for path in paths[node]:
                path.cut(data['mode'])
        return answer({})

    @contextlib.asynccontextmanager
    async def run_paths(app: Any) -> Any:
        async with anyio.create_task_group() as tasks:
            for node, host in hosts.items():
                paths[node] = [
                    Path(host, port, partial(forward, port)) for port in ports
                ]
                for path in paths[node]:
                    await tasks.start(path.run)
            yield
            tasks.cancel_scope.cancel()

    return Starlette(routes=[Route('/cut', cut, methods=['POST'])], lifespan=run_paths)


def main() -> None:
    """Run the paths."""
    parser = build_parser(__doc__ or '')
    parser.add_argument('--nodes', nargs='+', required=True)
    parser.add_argument('--ports', nargs='+', type=int, required=True)
    options = parser.parse_args()
    run(build_app(options.nodes, options.ports), options.port)


if __name__ == '__main__':
    main()
