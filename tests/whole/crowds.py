"""Crowds of clients that keep to no limit, and the process that they ask."""

from __future__ import annotations

import asyncio
import contextlib
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from standins.limits import MIB

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

__all__ = [
    'TOO_MUCH',
    'Crowd',
    'Resources',
    'announce_too_much',
    'read_resources',
    'send_ahead',
    'send_chunks',
    'send_nothing',
    'send_short',
    'send_too_much',
    'send_whole',
]

#: Longest time in seconds that a crowd takes to send what it has.  A node that does not
#: read holds its clients up.
SENDING_S = 20.0

#: Size of a body that is far above any limit.
TOO_MUCH = 1024 * MIB

#: Bytes that a client writes at once.
PIECE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Resources:
    """What a process uses.

    :param lives: whether it runs.
    :param peak_mb: its peak resident memory in MiB.
    :param descriptors: number of its open descriptors.
    """

    lives: bool
    peak_mb: float = 0.0
    descriptors: int = 0


def read_resources(process) -> Resources:
    """Return what a process uses; source: proc(5)."""
    if process.poll() is not None:
        return Resources(False)
    folder = Path('/proc') / str(process.pid)
    lines = (folder / 'status').read_text().splitlines()
    peak = next(line for line in lines if line.startswith('VmHWM:'))
    return Resources(True, int(peak.split()[1]) / 1024, len(os.listdir(folder / 'fd')))


# -- what one client sends -------------------------------------------------------------


def send_nothing(build_head: Callable[[str], bytes]) -> Iterator[bytes]:
    """Open a connection only."""
    return iter(())


def send_short(
    build_head: Callable[[str], bytes], size: int, missing: int = 1
) -> Iterator[bytes]:
    """Announce a body, and stop short of its end."""
    yield build_head(f'Content-Length: {size}')
    yield from _fill(size - missing)


def send_whole(build_head: Callable[[str], bytes], size: int) -> Iterator[bytes]:
    """Send a whole request."""
    yield from send_short(build_head, size, 0)


def send_ahead(
    build_head: Callable[[str], bytes], size: int, count: int
) -> Iterator[bytes]:
    """Send whole requests one after the other, without a look at the answers."""
    for _ in range(count):
        yield from send_whole(build_head, size)


def send_chunks(
    build_head: Callable[[str], bytes], size: int, chunk: int
) -> Iterator[bytes]:
    """Send a body in chunks, and stop short of its end."""
    yield build_head('Transfer-Encoding: chunked')
    piece = b'%x\r\n%b\r\n' % (chunk, b' ' * chunk)
    count = max(1, PIECE_BYTES // len(piece))
    for number in range(0, size // chunk, count):
        yield piece * min(count, size // chunk - number)


def announce_too_much(
    build_head: Callable[[str], bytes], size: int, announced: int
) -> Iterator[bytes]:
    """Announce a body far above the limit, and send on."""
    yield build_head(f'Content-Length: {announced}')
    yield from _fill(size)


def send_too_much(
    build_head: Callable[[str], bytes], size: int, chunk: int
) -> Iterator[bytes]:
    """Send a body far above the limit that is not announced."""
    return send_chunks(build_head, size, chunk)


def _fill(size: int) -> Iterator[bytes]:
    for start in range(0, size, PIECE_BYTES):
        yield b' ' * min(PIECE_BYTES, size - start)


# -- all clients -----------------------------------------------------------------------


class Crowd:
    """Clients that send at once and then hold their connections.

    :param address: host and port that they connect to.
    :param members: what each of them sends.
    :param reads: whether they read the answers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        members: Iterable[Iterator[bytes]],
        reads: bool = True,
    ) -> None:
        self._address = address
        self._members = list(members)
        self._reads = reads
        self._writers: list[asyncio.StreamWriter] = []
        self._readings: list[asyncio.Task[None]] = []

    async def send(self) -> None:
        """Let all clients send, until they are done or held up."""
        tasks = [asyncio.create_task(self._send(item)) for item in self._members]
        _, late = await asyncio.wait(tasks, timeout=SENDING_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, parts: Iterator[bytes]) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            return
        self._writers.append(writer)
        if self._reads:
            self._readings.append(asyncio.create_task(_drop_all(reader)))
        else:
            writer.transport.pause_reading()
        with contextlib.suppress(ConnectionError):
            for part in parts:
                if writer.transport.is_closing():
                    return
                writer.write(part)
                await writer.drain()

    def close(self) -> None:
        """End all connections."""
        for task in self._readings:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


async def _drop_all(reader: asyncio.StreamReader) -> None:
    """Read what a node sends, and keep nothing of it."""
    with contextlib.suppress(ConnectionError):
        while await reader.read(PIECE_BYTES):
            pass
