"""TCP streams with deadlines, on asyncio transports.

The streams of anyio register the socket with the event loop again for each read, pass
through the event loop once more for each write, and need a cancel scope with a timer
for each timeout.  These streams keep reading into a bounded buffer, and one timer
serves all deadlines of a stream.  They raise the exceptions of anyio.
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

from coursepitch.clock import Clock, processor_time
from coursepitch.http.event_loop import find_event_time, find_poll_time

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['ByteStream', 'ReadPacer', 'connect', 'is_end_pending']

#: Maximum number of bytes that one call of :meth:`ByteStream.receive` returns.
READ_BYTES = 262_144

#: Number of unread bytes at which reading from the socket pauses.
MAX_UNREAD_BYTES = 262_144

#: Bytes that are passed to the transport at once.  It copies what the kernel does not
#: take, and those that wait would be held twice.
WRITE_BYTES = 262_144

#: Bytes, and turns of the event loop, that a stream takes without having to wait for
#: the other side before it counts as busy.  Most responses are over by then.
BUSY_BYTES = 262_144
BUSY_TURNS = 4

#: Smallest ratio of the time to the work of all busy streams together: the rest is for
#: streams that wait for their bytes, whatever the number of busy ones.
PACE_FACTOR = 4.0

#: Largest work in seconds that one turn of a busy stream counts as.  What took longer
#: includes turns of other tasks.  Waits, such as for a slow client, are no work.
MAX_TURN_S = 0.01

#: Shortest delay in seconds of a busy stream; what is due is added up until then.
MIN_DELAY_S = 0.004

#: Longest time in seconds that busy streams make up for, if their delays ended late.
#: They do so at each turn on a machine that has other work.
MAX_LATENESS_S = 0.1


class ReadPacer:
    """Share a part of the event loop's time between all busy streams.

    :param work_clock: returns the processor time of this thread in seconds.
    """

    def __init__(self, work_clock: Clock = processor_time) -> None:
        self.work_clock = work_clock
        self._free_at = float('-inf')

    def reserve(self, now: float, work_s: float, since: float | None = None) -> float:
        """Return the seconds until a busy stream may go on after some work.

        :param work_s: seconds of its latest turn.
        :param since: time at which its last delay was to end, if it has been busy since
            then.
        """
        begin = now if since is None else max(since, now - MAX_LATENESS_S)
        self._free_at = max(begin, self._free_at) + work_s * PACE_FACTOR
        return max(0.0, self._free_at - now)


_pacers: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ReadPacer] = (
    weakref.WeakKeyDictionary()
)


def _find_pacer(loop: asyncio.AbstractEventLoop) -> ReadPacer:
    pacer = _pacers.get(loop)
    if pacer is None:
        pacer = _pacers[loop] = ReadPacer()
    return pacer


class ByteStream(asyncio.Protocol):
    """A connected TCP socket; at most one task reads, and at most one writes.

    :param on_end: called once the other side has ended or reset the connection, which
        is not noticed while :data:`MAX_UNREAD_BYTES` are unread.
    :param on_data: called once bytes have arrived.
    :param reusable: whether it may be used for another exchange.
    :param opened_at: earliest time at which the other side can have sent anything, by
        the clock of the event loop's builder; infinity if unknown.
    :ivar arrived_at: earliest time at which the bytes that came last can have come.
    """

    def __init__(self, opened_at: float = float('inf')) -> None:
        self.reusable = True
        self.arrived_at = self._opened_at = opened_at
        self._reading_since = float('-inf')
        self.on_end: Callable[[], None] | None = None
        self.on_data: Callable[[], None] | None = None
        self._discardable_bytes: int | None = None
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
        self._unwaited_bytes = 0
        self._unwaited_turns = 0
        self._turn_began_at: float | None = None
        self._work_due_s = 0.0
        self._delay_ends_at: float | None = None

    # -- callbacks of the transport ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with a transport whose writes wait for the kernel's buffer."""
        self._transport = transport  # type: ignore[assignment]
        self._reading_since = find_poll_time(self._loop)
        self._transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes."""
        if self._discardable_bytes is not None:
            self._discardable_bytes -= len(data)
            if self._discardable_bytes < 0 and not self._reading_paused:
                self._reading_paused = True
                self._transport.pause_reading()
            return
        self.arrived_at = find_event_time(self._loop)
        if self.arrived_at <= self._reading_since:
            # They may have come before this side began to read.
            self.arrived_at = self._opened_at
        self._received.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes >= MAX_UNREAD_BYTES:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()
        if self.on_data is not None:
            self.on_data()

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

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have been received and not returned yet."""
        return self._unread_bytes

    def discard(self, limit: int) -> None:
        """Drop the bytes that were received and not returned yet, and what follows.

        :param limit: bytes that are read, and dropped, from now on at most.
        """
        self._discardable_bytes = limit
        self._received.clear()
        self._unread_bytes = 0
        self._resume_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._unread_bytes < MAX_UNREAD_BYTES:
            self._reading_paused = False
            self._transport.resume_reading()

    def has_input(self) -> bool:
        """Whether unread bytes or the end of the stream have arrived."""
        return (
            bool(self._received) or self._ended or _poll(self._transport, select.POLLIN)
        )

    def has_ended(self) -> bool:
        """Whether the end of the stream has arrived, even if it is unread."""
        return self._ended or is_end_pending(self._transport)

    def find_deadline(self, timeout_s: float) -> float:
        """Return the time of the event loop at which a timeout that starts now ends."""
        return self._loop.time() + timeout_s

    async def receive(self, deadline: float | None = None) -> bytes:
        """Return the next bytes; cancellation and a timeout lose none.

        :param deadline: time of the event loop until which to wait.

        :raises TimeoutError: none arrived in time.
        :raises anyio.EndOfStream: the other side has ended the stream.
        :raises anyio.BrokenResourceError: the connection was reset.
        :raises anyio.ClosedResourceError: this side has closed the stream.
        """
        if self._received or self._ended:
            await self.give_way(deadline)
        else:
            if self._unwaited_bytes or self._unwaited_turns:
                self._unwaited_bytes = self._unwaited_turns = 0
                self._work_due_s, self._turn_began_at = 0.0, None
                self._delay_ends_at = None
            await self._wait_readable(deadline)
        if not self._received:
            if self._closed:
                raise anyio.ClosedResourceError
            if self._error is not None:
                raise anyio.BrokenResourceError from self._error
            if self._ended:
                raise anyio.EndOfStream
            raise TimeoutError
        data = self._received.popleft()
        if len(data) > READ_BYTES:
            self._received.appendleft(data[READ_BYTES:])
            data = data[:READ_BYTES]
        self._unread_bytes -= len(data)
        self._unwaited_bytes += len(data)
        self._resume_reading()
        return data

    @property
    def is_busy(self) -> bool:
        """Whether much has been read without having to wait for the other side."""
        return self._unwaited_bytes >= BUSY_BYTES or self._unwaited_turns >= BUSY_TURNS

    async def give_way(self, deadline: float | None = None) -> None:
        """Let other tasks run, as the next bytes can be processed without waiting.

        :param deadline: time of the event loop until which to wait at most.
        """
        if not self.is_busy:
            await asyncio.sleep(0)
            return
        pacer = _find_pacer(self._loop)
        if self._turn_began_at is not None:
            work_s = pacer.work_clock() - self._turn_began_at
            self._work_due_s += min(work_s, MAX_TURN_S)
        now, delay_s = self._loop.time(), 0.0
        if self._work_due_s * PACE_FACTOR >= MIN_DELAY_S:
            delay_s = pacer.reserve(now, self._work_due_s, self._delay_ends_at)
            self._work_due_s, self._delay_ends_at = 0.0, now + delay_s
        if deadline is not None:
            delay_s = max(0.0, min(delay_s, deadline - now))
        await asyncio.sleep(delay_s)
        self._turn_began_at = pacer.work_clock()

    async def finish_turn(self, deadline: float | None = None) -> None:
        """Give way within bytes that were received before, as they hold much work."""
        self._unwaited_turns += 1
        await self.give_way(deadline)

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

    @property
    def is_writing_paused(self) -> bool:
        """Whether the other side is yet to read what was written."""
        return self._writing_paused

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until the kernel has taken all of them.

        :raises anyio.BrokenResourceError: the connection was reset.
        :raises anyio.ClosedResourceError: this side has closed the stream.
        """
        if self._writing_paused:
            await self._wait_written()
        self._check_writable()
        if len(data) <= WRITE_BYTES:
            await self._write(data)
            return
        for start in range(0, len(data), WRITE_BYTES):
            await self._write(data[start : start + WRITE_BYTES])

    async def _write(self, data: bytes) -> None:
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

    def interrupt(self) -> None:
        """Let a read that waits for bytes end at once, as by its deadline."""
        self._wake_reader()

    def finish(self) -> None:
        """Send no more; reading remains possible."""
        if not self._lost and not self._closed and self._transport.can_write_eof():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection at once, without waiting for bytes in flight."""
        self._closed = True
        self._stop_timer()
        self._transport.abort()


def is_end_pending(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended a connection, even if the end is unread."""
    return _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.BaseTransport, event: int) -> bool:
    """Ask the kernel whether an event, or the end of a connection, is pending."""
    fileno = transport.get_extra_info('socket').fileno()
    if fileno < 0:
        return True
    poll = select.poll()
    poll.register(fileno, event | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))


async def connect(host: str, port: int) -> ByteStream:
    """Return a stream that is connected to an address.

    :raises OSError: the connection could not be established, as with an address that
        no machine can have.
    """
    loop = asyncio.get_running_loop()
    try:
        _, stream = await loop.create_connection(ByteStream, host, port)
    except (OverflowError, ValueError) as error:
        raise OSError(f'invalid address: {type(error).__name__}') from error
    return stream
