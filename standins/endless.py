"""Bytes that are no answer, without end, in place of an answer or within it.

They come until the caller closes: ``fast``, as much at a time as :data:`BLOCK_BYTES`
while the caller reads, or ``slow``, :data:`SLOW_BYTES` each :data:`SLOW_PAUSE_S`.
"""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Mapping

__all__ = [
    'BLOCK_BYTES',
    'KINDS',
    'PACES',
    'SLOW_BYTES',
    'SLOW_PAUSE_S',
    'Endless',
    'build_endless',
    'send_endless',
]

#: Bytes at a time, fast.
BLOCK_BYTES = 65536

#: Bytes at a time, slow, and seconds between two such times.
SLOW_BYTES = 10
SLOW_PAUSE_S = 0.05

#: How fast the bytes come.
PACES = ('fast', 'slow')

#: What has no end.  ``after_answer`` follows a whole answer; ``report`` concerns the
#: reports of an instance, or the checks of an engine, alone.
KINDS = (
    'status_line',
    'header_lines',
    'header_value',
    'interim',
    'chunks',
    'chunk_extension',
    'trailers',
    'comments',
    'line_breaks',
    'one_byte',
    'event',
    'body',
    'error_body',
    'rejection_body',
    'after_answer',
    'report',
)

_JSON = {'Content-Type': 'application/json'}
_STREAM = {'Content-Type': 'text/event-stream'}
_CHUNKED = {'Transfer-Encoding': 'chunked'}
_LINE = b'X-Filler: 1\r\n'

#: Heads of the kinds that have one, as status and headers.
_HEADS: dict[str, tuple[str, dict[str, str]]] = {
    'chunks': ('200 OK', _CHUNKED),
    'chunk_extension': ('200 OK', _CHUNKED),
    'trailers': ('200 OK', _CHUNKED),
    'comments': ('200 OK', _STREAM),
    'line_breaks': ('200 OK', _STREAM),
    'one_byte': ('200 OK', _STREAM),
    'event': ('200 OK', _STREAM),
    'body': ('200 OK', {'Content-Type': 'application/octet-stream'}),
    'error_body': ('500 Internal Server Error', _JSON),
    'rejection_body': ('503 Service Unavailable', {'X-Not-Executed': '1'}),
    'report': ('200 OK', _JSON),
}

#: Bytes after the head, and those that follow over and over.
_BODIES: dict[str, tuple[bytes, bytes]] = {
    'status_line': (b'HTTP/1.1 200 ', b'x'),
    'header_lines': (b'HTTP/1.1 200 OK\r\n', _LINE),
    'header_value': (b'HTTP/1.1 200 OK\r\nX-Filler: ', b'x'),
    'interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'chunks': (b'', b'4\r\nxxxx\r\n'),
    'chunk_extension': (b'4;x=', b'x'),
    'trailers': (b'0\r\n', _LINE),
    'comments': (b'', b': filler\n\n'),
    'line_breaks': (b'', b'\n'),
    'one_byte': (b'', b'x'),
    'event': (b'id: 1\ndata: ', b'x'),
    'body': (b'', b'x'),
    'error_body': (b'"', b'x'),
    'rejection_body': (b'', b'x'),
    'after_answer': (b'', b'x'),
    'report': (b'"', b'x'),
}


@dataclass(frozen=True, slots=True)
class Endless:
    """Bytes without end.

    :param start: what comes once, before them.
    :param unit: what comes over and over.
    """

    start: bytes
    unit: bytes

    def iterate(self, pace: str) -> Iterator[bytes]:
        """Yield what is sent at a time, without end.

        :param pace: one of :data:`PACES`.
        """
        yield self.start
        size = SLOW_BYTES if pace == 'slow' else BLOCK_BYTES
        repeated = self.unit * (size + 1)
        for place in itertools.count(0, size):
            at = place % len(self.unit)
            yield repeated[at : at + size]


def build_endless(kind: str, mark: Mapping[str, str]) -> Endless:
    """Return the bytes of a kind.

    :param kind: one of :data:`KINDS`.
    :param mark: headers of the answer, where it has a whole head.
    """
    start, unit = _BODIES[kind]
    if kind not in _HEADS:
        return Endless(start, unit)
    status, fields = _HEADS[kind]
    lines = ''.join(f'{key}: {value}\r\n' for key, value in {**mark, **fields}.items())
    return Endless(f'HTTP/1.1 {status}\r\n{lines}\r\n'.encode() + start, unit)


async def send_endless(
    send: Callable[[bytes], Awaitable[None]],
    wait_closed: Callable[[], Awaitable[None]],
    endless: Endless,
    pace: str,
    record: dict[str, Any],
) -> None:
    """Send bytes until the caller closes.

    :param send: sends some bytes, and waits while the caller reads none.
    :param wait_closed: waits until the caller has closed.
    :param pace: one of :data:`PACES`.
    :param record: gets ``sent``, the bytes sent, ``left``, whether the caller has
        closed, and ``left_at``, a reading of the machine's steady clock.
    """
    record |= {'sent': 0, 'left': False, 'left_at': None}

    async def watch(scope: anyio.CancelScope) -> None:
        await wait_closed()
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch, tasks.cancel_scope)
        try:
            for part in endless.iterate(pace):
                await send(part)
                record['sent'] += len(part)
                if pace == 'slow':
                    await anyio.sleep(SLOW_PAUSE_S)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            tasks.cancel_scope.cancel()
    record |= {'left': True, 'left_at': time.monotonic()}
