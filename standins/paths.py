"""Paths from nodes to an instance, each at a host of its own, which can be cut.

A cut path is in one of three modes: ``hang`` (connections stand still, and new ones
do not come up), ``reset`` (connections are reset, and new ones refused) or ``refuse``
(connections go on, and new ones are refused).
"""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup, TaskStatus

__all__ = ['Path']

#: Connections that fill the queue of a listener, so that the kernel drops the opening
#: packets of others.
FILLERS = 3

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
        data = await self._stream.receive(max_bytes)
        await self._path.opened.wait()
        return data

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

    def reset(self) -> None:
        """Close the connection with a reset."""
        sock = self._stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
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
        #: Set while bytes pass.
        self.opened = anyio.Event()
        self.opened.set()

    def cut(self, mode: str) -> None:
        """Set the mode; ``none`` opens the path again."""
        self.opened.set()
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
        if self._mode == 'none':
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
        if self._mode != 'none':
            await anyio.sleep_forever()
        while True:
            await anyio.wait_readable(sock)
            try:
                accepted, _ = sock.accept()
            except OSError:
                # The client closed the connection before it was accepted.
                continue
            raw = await anyio.abc.SocketStream.from_socket(accepted)
            stream = PathStream(raw, self)
            self._streams.add(stream)
            tasks.start_soon(self._serve, stream)


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock
