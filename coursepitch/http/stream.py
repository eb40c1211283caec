"""TCP streams with deadlines, on asyncio transports.

The streams of anyio register the socket with the event loop again for each read, pass
through the event loop once more for each write, and need a cancel scope with a timer
for each timeout.  These streams keep reading into a bounded buffer, and one timer
serves all deadlines of a stream.  They raise the exceptions of anyio.

Streams that always have data ready share a part of the event loop's time, so that
their number does not delay other tasks.
"""

from __future__ import annotations

import asyncio
import collections
import select
import socket
import struct
import weakref
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['ByteStream', 'Pacer', 'connect']

#: Maximum number of bytes that one call of :meth:`ByteStream.receive` returns.
READ_BYTES = 65_536

#: Number of unread bytes at which reading from the socket pauses.
MAX_UNREAD_BYTES = 262_144

#: Seconds within which bytes arrive that were sent before the reader waited for them.
READY_WAIT_S = 0.001

#: Number of successive reads that find data ready after which reads are paced: a
#: response of two megabytes that arrives at once is read without pacing.
UNPACED_READS = 32

#: Seconds of the event loop's time for each second of work on paced reads, which leaves
#: three quarters of it to other tasks.
PACED_TIME_FACTOR = 4.0

#: Maximum seconds of work on one read.  Reads are bounded by :data:`READ_BYTES`, so a
#: reader that takes longer has waited, for example for a slow client.
MAX_READ_WORK_S = 0.005


class Pacer:
    """Lets reads begin one after the other, at intervals that follow their work."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: collections.deque[tuple[asyncio.Future[None], float]]
        self._waiting = collections.deque()
        self._free_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self, work_s: float, deadline: float | None) -> None:
        """Wait until a read may begin, or until the deadline.

        :param work_s: seconds of work on the previous read of the same stream.
        """
        turn = self._loop.create_future()
        self._waiting.append((turn, work_s))
        timer = None
        if deadline is not None:
            timer = self._loop.call_at(deadline, self._end_wait, turn, work_s)
        if self._timer is None:
            # Not at once, as a future that is done would not let other tasks run.
            self._timer = self._loop.call_at(self._free_at, self._begin_next)
        try:
            await turn
        finally:
            if timer is not None:
                timer.cancel()

    def _begin_next(self) -> None:
        """Let the first waiting read begin."""
        self._timer = None
        while self._waiting:
            turn, work_s = self._waiting.popleft()
            if not turn.done():
                self._end_wait(turn, work_s)
                break
        if self._waiting:
            self._timer = self._loop.call_at(self._free_at, self._begin_next)

    def _end_wait(self, turn: asyncio.Future[None], work_s: float) -> None:
        """Let a read begin, and the next one once its share of time has passed."""
        if not turn.done():
            turn.set_result(None)
            start = max(self._free_at, self._loop.time())
            self._free_at = start + PACED_TIME_FACTOR * work_s


_pacers: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Pacer]
_pacers = weakref.WeakKeyDictionary()


def _find_pacer(loop: asyncio.AbstractEventLoop) -> Pacer:
    """Return the pacer of an event loop."""
    pacer = _pacers.get(loop)
    if pacer is None:
        pacer = _pacers[loop] = Pacer(loop)
    return pacer


class ByteStream(asyncio.Protocol):
    """A connected TCP socket; at most one task reads, and at most one writes.

    :param on_end: called once the other side has ended or reset the connection, which
        is not noticed while :data:`MAX_UNREAD_BYTES` are unread.
    :param reusable: whether it may be used for another exchange.
    """

    def __init__(self) -> None:
        self.reusable = True
        self.on_end: Callable[[], None] | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport = None  # type: ignore[assignment]
        self._received: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._reading_paused = False
        self._ended = False
        self._lost = False
        self._closed = False
        self._error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._writing_paused = False
        self._deadline: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ready_reads = 0
        self._read_at = 0.0

    # -- callbacks of the transport ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with a transport whose writes wait for the kernel's buffer."""
        self._transport = transport  # type: ignore[assignment]
        self._transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes."""
        self._received.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes >= MAX_UNREAD_BYTES:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note the end of the other side's data; writing remains possible."""
        self._note_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection was reset, or closed by this side."""
        self._lost = True
        self._error = exc
        self._stop_timer()
        self._note_end()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Let writes wait, as the kernel's buffer is full."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let a waiting write continue."""
        self._writing_paused = False
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    def _note_end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._wake_reader()
        if self.on_end is not None:
            self.on_end()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def set_option(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option of the socket."""
        self._transport.get_extra_info('socket').setsockopt(level, option, value)

    def set_reset_on_close(self, resets: bool) -> None:
        """Set whether the connection ends with a reset, whoever closes it.

        The kernel does so even if this process is killed.  Source: SO_LINGER with a
        timeout of zero, socket(7).
        """
        try:
            self.set_option(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', resets, 0)
            )
        except OSError:
            # The connection has already ended, which the next write finds out.
            return

    # -- reading ----------------------------------------------------------------------

    @property
    def ended(self) -> bool:
        """Whether the other side has ended or reset the connection."""
        return self._ended

    def has_input(self) -> bool:
        """Whether unread bytes or the end of the stream have arrived."""
        if self._received or self._ended:
            return True
        poll = select.poll()
        fileno = self._transport.get_extra_info('socket').fileno()
        poll.register(fileno, select.POLLIN | select.POLLHUP | select.POLLERR)
        return bool(poll.poll(0))

    def find_deadline(self, timeout_s: float) -> float:
        """Return the time of the event loop at which a timeout that starts now ends."""
        return self._loop.time() + timeout_s

    async def receive(self, deadline: float | None = None) -> bytes:
        """Return the next bytes; cancellation and a timeout lose none.

        A read that finds data ready lets other tasks run first; see :meth:`pace`.

        :param deadline: time of the event loop until which to wait.

        :raises TimeoutError: none arrived in time.
        :raises anyio.EndOfStream: the other side has ended the stream.
        :raises anyio.BrokenResourceError: the connection was reset.
        :raises anyio.ClosedResourceError: this side has closed the stream.
        """
        if self._received or self._ended:
            await self.pace(deadline)
        else:
            await self._wait_unready(deadline)
        if not self._received:
            if self._closed:
                raise anyio.ClosedResourceError
            if self._error is not None:
                raise anyio.BrokenResourceError from self._error
            if self._ended:
                raise anyio.EndOfStream
            raise TimeoutError
        data = self._take_received()
        self._unread_bytes -= len(data)
        if self._reading_paused and self._unread_bytes < MAX_UNREAD_BYTES:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    def _take_received(self) -> bytes:
        """Return the first unread bytes."""
        if self._ready_reads >= UNPACED_READS and len(self._received) > 1:
            # Small pieces that arrived while the read was paced take one read.
            data = b''.join(self._received)
            self._received.clear()
        else:
            data = self._received.popleft()
        if len(data) > READ_BYTES:
            self._received.appendleft(data[READ_BYTES:])
            data = data[:READ_BYTES]
        return data

    async def pace(self, deadline: float | None = None) -> None:
        """Let other tasks run before work on data that is ready.

        After :data:`UNPACED_READS` successive calls, the stream shares a part of the
        event loop's time with all others of which that is true.

        :param deadline: time of the event loop until which to wait at most.
        """
        if self._ready_reads < UNPACED_READS:
            await asyncio.sleep(0)
            self._count_ready_read()
        else:
            await self._wait_turn(self._loop.time(), deadline)

    async def _wait_unready(self, deadline: float | None) -> None:
        """Wait for bytes that have not arrived; count them if they come at once."""
        began = self._loop.time()
        await self._wait_readable(deadline)
        if (
            self._unread_bytes < READ_BYTES
            and self._loop.time() - began >= READY_WAIT_S
        ):
            self._ready_reads = 0
        elif self._ready_reads < UNPACED_READS:
            self._count_ready_read()
        else:
            await self._wait_turn(began, deadline)

    async def _wait_turn(self, worked_until: float, deadline: float | None) -> None:
        """Wait until the pacer lets the next read begin.

        :param worked_until: time of the event loop at which the work on the previous
            read was over.
        """
        work_s = min(worked_until - self._read_at, MAX_READ_WORK_S)
        await _find_pacer(self._loop).wait(work_s, deadline)
        self._read_at = self._loop.time()

    def _count_ready_read(self) -> None:
        self._ready_reads += 1
        if self._ready_reads >= UNPACED_READS:
            self._read_at = self._loop.time()

    def restart_pacing(self) -> None:
        """Pace none of the next reads, as the other side responds to what was sent."""
        self._ready_reads = 0

    async def _wait_readable(self, deadline: float | None) -> None:
        """Wait for bytes, for the end of the stream, or until the deadline."""
        self._reader = self._loop.create_future()
        self._deadline = deadline
        if deadline is not None:
            self._start_timer(deadline)
        try:
            await self._reader
        finally:
            self._reader = None

    def _start_timer(self, deadline: float) -> None:
        """Ensure that the timer runs out at a deadline, or before.

        A timer that runs out before the deadline is started again then, so that a
        stream that receives bytes in time needs no new timer for each of its reads.
        """
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._check_deadline)

    def _check_deadline(self) -> None:
        self._timer = None
        if self._reader is None or self._deadline is None:
            return
        if self._loop.time() >= self._deadline:
            self._wake_reader()
        else:
            self._start_timer(self._deadline)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # -- writing and closing ----------------------------------------------------------

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until the kernel has taken all of them.

        :raises anyio.BrokenResourceError: the connection was reset.
        :raises anyio.ClosedResourceError: this side has closed the stream.
        """
        self.restart_pacing()
        if self._writing_paused:
            await self._wait_written()
        self._check_writable()
        self._transport.write(data)
        if self._writing_paused:
            await self._wait_written()
            self._check_writable()

    def _check_writable(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._lost:
            raise anyio.BrokenResourceError from self._error

    async def _wait_written(self) -> None:
        self._writer = self._loop.create_future()
        try:
            await self._writer
        finally:
            self._writer = None

    def close(self) -> None:
        """Close the connection at once, without waiting for bytes in flight."""
        self._closed = True
        self._stop_timer()
        self._transport.abort()


async def connect(host: str, port: int) -> ByteStream:
    """Return a stream that is connected to an address.

    :raises OSError: the connection could not be established.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, host, port)
    return stream
