"""Tunnels to instances as WebSocket connections between nodes.

Imported on first use, as a node that is not cut off starts sooner without
:mod:`websockets`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import anyio
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from coursepitch.fleet.tunnels import TUNNEL_PATH, TunnelError, TunnelOutcome
from coursepitch.http.stream import ByteStream, is_end_pending
from coursepitch.util.peer_connections import PeerClientConnection

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import ServerConnection

__all__ = [
    'ConnectionClosed',
    'announce_stop',
    'connect_through_peer',
    'forward',
    'read_target',
]

#: Header with the name of the node that opens a tunnel.
NODE_HEADER = 'Coursepitch-Node'

#: First message of a tunnel once the instance is connected.
CONNECTED = 'connected'

#: Message of a peer that is about to stop.
STOPPING = 'stopping'

#: Close codes of a tunnel after the regular end of the instance's connection, and after
#: a reset.  The code of a normal closure would not do: the library sends it whenever a
#: handler returns.
ENDED_CODE = 4001
RESET_CODE = 4000

#: Seconds for which the rest of a response may wait in this node's buffer once the
#: instance has ended, as the reader of the peer may be slow.  The timeout of links,
#: which is shorter, would cut it.
CLOSE_TIMEOUT_S = 10.0

#: Messages and bytes of a tunnel that are buffered before reading or writing pauses.
QUEUED_MESSAGES = 4
WRITE_LIMIT_BYTES = 65_536

_OUTCOMES = {outcome.value: outcome for outcome in TunnelOutcome}


class _TunnelTransport(asyncio.Transport):
    """Lets a stream control the reading of its tunnel."""

    def __init__(self, connection: ClientConnection) -> None:
        super().__init__()
        self._connection = connection
        self._reader: asyncio.Task[None] | None = None
        self._readable = asyncio.Event()
        self._readable.set()

    def start(self, stream: ByteStream) -> None:
        """Start to pass received bytes to a stream."""
        self._reader = asyncio.get_running_loop().create_task(self._read(stream))

    async def _read(self, stream: ByteStream) -> None:
        try:
            while True:
                data = await self._connection.recv()
                if data == STOPPING:
                    stream.reusable = False
                elif data and isinstance(data, bytes):
                    stream.data_received(data)
                else:
                    # No node sends this, and it could go on for ever.
                    self._connection.transport.abort()
                await self._readable.wait()
        except ConnectionClosed as error:
            if error.rcvd is not None and error.rcvd.code == ENDED_CODE:
                stream.eof_received()
            else:
                stream.connection_lost(error)

    def pause_reading(self) -> None:
        self._readable.clear()

    def resume_reading(self) -> None:
        self._readable.set()

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        """Keep the limits of the tunnel."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._connection.transport.get_extra_info(name, default)

    def abort(self) -> None:
        if self._reader is not None:
            self._reader.cancel()
        self._connection.transport.abort()


class TunnelStream(ByteStream):
    """A connection to an instance through a peer."""

    def __init__(self, connection: ClientConnection) -> None:
        super().__init__()
        self._connection = connection
        transport = _TunnelTransport(connection)
        self.connection_made(transport)
        transport.start(self)

    async def send(self, data: bytes) -> None:
        """Write bytes; see :meth:`ByteStream.send`."""
        self._check_writable()
        try:
            await self._connection.send(data)
        except ConnectionClosed as error:
            raise anyio.BrokenResourceError from error


async def connect_through_peer(
    address: str, instance: str, node: str, timeout_s: float
) -> ByteStream:
    """Return a connection to an instance through the peer at an address.

    :param node: name of this node.
    :param timeout_s: timeout in seconds, including the connection to the instance.
    :raises TunnelError: the peer did not answer, or could not connect.
    """
    connection: ClientConnection | None = None
    try:
        with anyio.fail_after(timeout_s):
            connection = await connect(
                f'ws://{address}{TUNNEL_PATH}{instance}',
                additional_headers={NODE_HEADER: node},
                compression=None,
                proxy=None,
                ping_interval=None,
                max_queue=QUEUED_MESSAGES,
                write_limit=WRITE_LIMIT_BYTES,
                create_connection=PeerClientConnection,
            )
            if await connection.recv() != CONNECTED:
                raise TunnelError(TunnelOutcome.NO_PEER)
    except ConnectionClosed as error:
        code = error.rcvd.code if error.rcvd is not None else 0
        raise TunnelError(_OUTCOMES.get(code, TunnelOutcome.NO_PEER)) from error
    except (OSError, WebSocketException) as error:
        _abort(connection)
        raise TunnelError(TunnelOutcome.NO_PEER) from error
    except BaseException:
        _abort(connection)
        raise
    return TunnelStream(connection)


def _abort(connection: ClientConnection | None) -> None:
    if connection is not None:
        connection.transport.abort()


def read_target(connection: ServerConnection) -> tuple[str, str, str]:
    """Return the instance, the node that asks for it, and the node's host."""
    request = connection.request
    if request is None:
        return '', '', ''
    instance = request.path[len(TUNNEL_PATH) :]
    node = request.headers.get(NODE_HEADER, '')
    return instance, node, connection.remote_address[0]


async def announce_stop(connection: Connection) -> None:
    """Tell a peer that a tunnel should not be used for another request."""
    try:
        await connection.send(STOPPING)
    except ConnectionClosed:
        # Closed tunnels are not used again either.
        return


async def forward(connection: Connection, stream: ByteStream) -> None:
    """Forward bytes both ways until either side ends.

    :raises ConnectionClosed: the peer left.
    """
    await connection.send(CONNECTED)
    closed: list[ConnectionClosed] = []
    async with anyio.create_task_group() as tasks:

        async def forward_requests() -> None:
            try:
                while True:
                    data = await connection.recv(decode=False)
                    # No node sends an empty message, and it could go on for ever.
                    if not data or is_end_pending(connection.transport):
                        connection.transport.abort()
                        continue
                    await stream.send(data)
            except ConnectionClosed as error:
                closed.append(error)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                # Reading from the instance tells how its connection ended.
                return
            tasks.cancel_scope.cancel()

        tasks.start_soon(forward_requests)
        code = ENDED_CODE
        try:
            while True:
                await connection.send(await stream.receive())
        except anyio.EndOfStream:
            pass
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            code = RESET_CODE
        except ConnectionClosed as error:
            closed.append(error)
        tasks.cancel_scope.cancel()
    if closed:
        raise closed[0]
    connection.close_timeout = CLOSE_TIMEOUT_S
    await connection.close(code)
