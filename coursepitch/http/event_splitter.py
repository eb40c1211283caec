"""Splitting of a stream of server-sent events, so that another run can resume it."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ['EVENT_STREAM_TYPE', 'EventSplitter']

#: Media type of streams of events.  Source: HTML standard, section 9.2.
EVENT_STREAM_TYPE = 'text/event-stream'

#: Matches the id field of an event.  Source: HTML standard, section 9.2.6.
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')

#: Matches the end of an event: two line ends.  A carriage return is one by itself,
#: unless a line feed follows.
_EVENT_END = re.compile(rb'(?:\r\n|\r(?!\n)|\n){2}')

#: Matches a line that is neither empty nor a comment.
_FIELD_LINE = re.compile(rb'(?:^|[\r\n])[^:\r\n]')

#: Largest event in bytes that is buffered until it is complete.
MAX_EVENT_BYTES = 1_048_576


@dataclass(eq=False)
class EventSplitter:
    """Split a byte stream into complete events, and buffer an incomplete one.

    :param last_event: id of the last complete event.
    :param count: number of complete events of the present run; comments are none.
    :param _split_event: whether the beginning of an incomplete event was returned.
    """

    last_event: bytes = b''
    count: int = 0
    _partial: bytes = b''
    _split_event: bool = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that are complete now."""
        if self._partial:
            data = self._partial + data
        if data.endswith((b'\n\n', b'\r\n\r\n')):
            # Targets usually send complete events.
            whole, self._partial = data, b''
        else:
            end = max(_find_end(data, b'\n\n'), _find_end(data, b'\r\n\r\n'))
            whole, self._partial = data[:end], data[end:]
        if whole:
            ids = _ID_FIELD.findall(whole)
            if ids:
                self.last_event = ids[-1]
            has_fields = self._split_event or _FIELD_LINE.search(whole) is not None
            self.count += max(len(ids), has_fields)
            self._split_event = False
        if len(self._partial) > MAX_EVENT_BYTES:
            whole, self._partial = whole + self._partial, b''
            self._split_event = True
        return whole

    @property
    def buffered(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._partial)

    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete; comments are no events."""
        rest = _EVENT_END.split(self._partial)[-1]
        return self._split_event or _FIELD_LINE.search(rest) is not None

    def has_events(self) -> bool:
        """Whether an event of the present run has begun."""
        return (
            self.count > 0
            or self._split_event
            or _FIELD_LINE.search(self._partial) is not None
        )

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, once the stream has ended."""
        rest, self._partial = self._partial, b''
        return rest

    def start_run(self) -> None:
        """Start over after the last complete event, as another run begins."""
        self._partial = b''
        self._split_event = False
        self.count = 0


def _find_end(data: bytes, delimiter: bytes) -> int:
    found = data.rfind(delimiter)
    return found + len(delimiter) if found >= 0 else 0
