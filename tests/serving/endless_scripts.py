"""Scripts of engines that send bytes that are no answer, without end."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import anyio

__all__ = ['FAST', 'HEAD_KINDS', 'SLOW', 'EndlessScript', 'build_parts']

#: Bytes at a time, and seconds between two sends.
FAST = (65_536, 0.0)
SLOW = (10, 0.02)

#: What may come where the head of an answer is due.
HEAD_KINDS = ('status_line', 'header_lines', 'header_value', 'interim')


def build_parts(kind, name):
    """Return the beginning of an answer, and the bytes that follow it without end."""
    status = 'HTTP/1.1 200 OK\r\n'
    head = f'{status}X-Request-Id: {name}\r\n'
    chunked = f'{head}Transfer-Encoding: chunked\r\n\r\n'
    refusal = 'HTTP/1.1 503 Service Unavailable\r\n\r\n'
    events = f'{head}Content-Type: text/event-stream\r\n\r\n'
    chunk = json.dumps({'id': name, 'choices': [{'text': 't0'}]})
    parts = {
        'status_line': ('', 'x'),
        'late_status_line': ('HTTP/1.1 200 O', 'K'),
        'header_lines': (status, 'X-A: b\r\n'),
        'header_value': (f'{status}X-A: ', 'x'),
        'interim': ('', 'HTTP/1.1 102 Processing\r\n\r\n'),
        'body': (f'{head}\r\n', ' '),
        'chunks': (chunked, '4\r\n    \r\n'),
        'extensions': (chunked, f'1;{"a" * 1_000}\r\n \r\n'),
        'extension': (f'{chunked}1;', 'a'),
        'error_body': ('HTTP/1.1 500 Internal Server Error\r\n\r\n', 'x'),
        'refusal_body': (refusal, 'x'),
        'comments': (events, ':\n\n'),
        'line_breaks': (events, '\n'),
        'event': (f'{events}id: 0\ndata: ', 'x'),
        'fields': (events, 'event: a\n\n'),
        'repeats': (events, f'id: 0\ndata: {chunk}\n\n'),
    }
    start, endless = parts[kind]
    return start.encode(), endless.encode()


@dataclass
class EndlessScript:
    """Script of a server that sends bytes without end until its caller closes.

    :param kind: a key of :func:`build_parts`.
    :param pace: bytes at a time, and seconds between two sends.
    :ivar left: set once the caller has closed.
    """

    kind: str
    pace: tuple[int, float]
    left: anyio.Event = field(default_factory=anyio.Event)
    sent: int = 0

    async def __call__(self, stream, name, start):
        """Send the bytes, as a script of an engine."""
        size, pause_s = self.pace
        begin, endless = build_parts(self.kind, name)
        endless *= -(-size // len(endless))
        place = 0
        try:
            await stream.send(begin)
            while True:
                await stream.send((endless + endless)[place : place + size])
                self.sent += size
                place = (place + size) % len(endless)
                await anyio.sleep(pause_s)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.left.set()
