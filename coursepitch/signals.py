"""Signals of a running node, which never have their default action.

The handlers of an event loop are removed before the process exits, and a signal that
comes after that ends it.  Blocking signals does not help, as each thread has a mask of
its own.  So the signals are ignored once nobody receives them.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.http.event_loop import find_event_time

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from anyio.streams.memory import MemoryObjectReceiveStream

    SignalStream = MemoryObjectReceiveStream['ReceivedSignal']

__all__ = [
    'RELOAD_SIGNALS',
    'STOP_SIGNALS',
    'ReceivedSignal',
    'log_further_signals',
    'receive_signals',
]

#: Signals that begin a graceful shutdown.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

#: Signals on which the settings are read again.
RELOAD_SIGNALS = (signal.SIGHUP,)

#: Signals of one stream that wait to be received; further ones add nothing.
MAX_WAITING = 16


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    """A signal that the event loop has processed.

    :param came_at: earliest time at which it can have come, by the clock of the event
        loop's builder; infinity if unknown.
    """

    number: signal.Signals
    came_at: float


@contextlib.contextmanager
def receive_signals(
    *groups: Collection[signal.Signals],
) -> Iterator[tuple[SignalStream, ...]]:
    """Receive signals in the running event loop of the main thread.

    :param groups: signals for each of the streams that are provided.
    """
    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    streams = []
    senders = {}
    for group in groups:
        sender, stream = anyio.create_memory_object_stream[ReceivedSignal](MAX_WAITING)
        streams.append(stream)
        senders.update(dict.fromkeys(group, sender))

    def forward() -> None:
        came_at = find_event_time(loop)
        for number in reader.recv(MAX_WAITING):
            if number in senders:
                kind = signal.Signals(number)
                with contextlib.suppress(anyio.WouldBlock):
                    senders[kind].send_nowait(ReceivedSignal(kind, came_at))

    loop.add_reader(reader, forward)
    before = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in senders:
        signal.signal(number, lambda number, frame: None)
    try:
        yield tuple(streams)
    finally:
        for number in senders:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(before)
        loop.remove_reader(reader)
        for stream in streams:
            stream.close()
        for sender in set(senders.values()):
            sender.close()
        reader.close()
        writer.close()


async def log_further_signals(signals: SignalStream) -> None:
    """Log the signals that come while a shutdown goes on, until cancelled."""
    async for found in signals:
        log.emit(events.SIGNAL_IGNORED, signal=found.number.name)
