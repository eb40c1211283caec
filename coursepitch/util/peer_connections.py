"""WebSocket connections between nodes that bound what a faulty peer can take up.

The library parses all frames of a read within one turn of the event loop, up to
40,000 in 256 KiB, and answers each ping of them.

Imported on first use where a node has to start soon, as :mod:`websockets` is slow to
import.
"""

from __future__ import annotations

from asyncio import BufferedProtocol
from typing import TYPE_CHECKING, Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.frames import CTRL_OPCODES, Frame
from websockets.protocol import State

if TYPE_CHECKING:
    import asyncio

__all__ = ['PeerClientConnection', 'PeerServerConnection']

#: Bytes that are read in one turn of the event loop, unless they belong to a message
#: that is larger; 170 frames of the least size fit, which take about 5 ms.
READ_BYTES = 1_024

#: The same in the midst of a large message.
MAX_READ_BYTES = 16_384

#: Pings and pongs without a message between them after which the connection is reset.
#: Nodes send a message many times in the 5 s between two pings.
MAX_CONTROL_FRAMES = 16

#: Bytes that are read while a closing handshake is under way; more than a peer has in
#: its buffers, and in the kernel's, when it learns that it is to close.
MAX_CLOSING_BYTES = 2_097_152


class _BoundedReading:
    """Reads a bounded number of frames in each turn of the event loop.

    A mixin for connections of the library, which also have to be buffered protocols.
    """

    protocol: Any
    transport: asyncio.Transport

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._buffer = bytearray(READ_BYTES)
        self._frames = 0
        self._control_frames = 0
        self._closing_bytes = 0

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, and choose the size of the next read."""
        self._frames = 0
        size = len(self._buffer)
        self.data_received(bytes(self._buffer[:nbytes]))
        if self.protocol.state is State.CLOSING:
            self._closing_bytes += nbytes
        is_malformed = self.protocol.parser_exc is not None
        if is_malformed or self._closing_bytes > MAX_CLOSING_BYTES:
            # The library would read on until its closing handshake has timed out.
            self.transport.abort()
            return
        if self._frames > 1:
            size = READ_BYTES
        elif nbytes == size:
            size = min(2 * size, MAX_READ_BYTES)
        if size != len(self._buffer):
            self._buffer = bytearray(size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        super().data_received(data)  # type: ignore[misc]

    def process_event(self, event: Any) -> None:
        """Process a frame, unless the peer sends nothing but control frames."""
        self._frames += 1
        if isinstance(event, Frame):
            is_control = event.opcode in CTRL_OPCODES
            self._control_frames = self._control_frames + 1 if is_control else 0
            if self._control_frames > MAX_CONTROL_FRAMES:
                self.transport.abort()
                return
        super().process_event(event)  # type: ignore[misc]


class PeerClientConnection(_BoundedReading, ClientConnection, BufferedProtocol):
    """A connection that this node opened."""


class PeerServerConnection(_BoundedReading, ServerConnection, BufferedProtocol):
    """A connection that a peer opened."""
