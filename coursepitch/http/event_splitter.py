"""Splitting of a stream of server-sent events, so that another run can resume it."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from coursepitch.http.client import ExchangeError

__all__ = ['EVENT_STREAM_TYPE', 'EventSplitter']

#: Media type of streams of events.  Source: HTML standard, section 9.2.
EVENT_STREAM_TYPE = 'text/event-stream'

#: Matches the id field of an event.  Source: HTML standard, section 9.2.6.
#: The pattern begins with a literal, which the search finds fast.
_ID_FIELD = re.compile(rb'id(?<![^\r\n]id): ?([^\r\n]*)')

#: Match a field that receivers do not ignore.  Source: HTML standard, section 9.2.6.
_KNOWN_FIELDS = tuple(
    re.compile(rb'%b(?<![^\r\n]%b)[:\r\n]' % (name, name))
    for name in (b'data', b'event', b'id', b'retry')
)

#: Matches the end of an event: two line ends.  A carriage return is one by itself,
#: unless a line feed follows.
_EVENT_END = re.compile(rb'(?:\r\n|\r(?!\n)|\n){2}')

#: Matches a line that is neither empty nor a comment.
_FIELD_LINE = re.compile(rb'(?<![^\r\n])[^:\r\n]')

#: Largest event of a stream in bytes, and most bytes without a whole event.  Source:
#: what is received of an event is buffered until it is whole, once for each stream.
MAX_EVENT_BYTES = 1_048_576


@dataclass(eq=False)
class EventSplitter:
    """Split a byte stream into whole events, and buffer an incomplete one.

    An event is a block of lines with a known field, up to an empty line.  Comments,
    empty lines and unknown fields are none; they are returned after the first event
    only, as a stream without events may turn out to be no stream of events.

    :param last_event: id of the last whole event.
    :param count: times that whole events of the present run were returned.
    :param max_event_bytes: largest event, and most bytes without a whole event.
    :param max_comment_bytes: bytes without an event that are returned between two
        events; further ones are dropped as they arrive.  ``None`` for any number.
    """

    last_event: bytes = b''
    count: int = 0
    max_event_bytes: int = MAX_EVENT_BYTES
    max_comment_bytes: int | None = None
    _partial: bytearray = field(default_factory=bytearray)
    #: Bytes of ``_partial`` up to which there is no event, and no end of one.
    _without_event: int = 0
    _without_end: int = 0
    #: The same up to which no line has a field.
    _without_field: int = 0
    _since_event: int = 0
    #: Bytes without an event since the last one that were to be returned.
    _comment_bytes: int = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return whole events, and comments between them.

        The work for each byte does not depend on the bytes that are buffered.

        :raises ExchangeError: more than ``max_event_bytes`` came without a whole event,
            or up to its end.
        """
        partial = self._partial
        partial += data
        self._since_event += len(data)
        end = _find_end(partial, self._without_end)
        if self._since_event > self.max_event_bytes:
            self._check_sizes(end)
        # An end of two to four bytes may have begun.
        self._without_end = max(end, len(partial) - 3)
        if end and _has_known_field(partial, self._without_event, end):
            self.count += 1
            self._since_event = len(partial) - end
            self._comment_bytes = 0
        elif self.count:
            self._comment_bytes += end
        self._without_event = max(end, self._without_event)
        if not self.count:
            return b''
        removed, limit = self._remove(end), self.max_comment_bytes
        return removed if limit is None or self._comment_bytes <= limit else b''

    def _check_sizes(self, end: int) -> None:
        """Check the size of each event up to a position, and of what follows.

        :raises ExchangeError: one is above the bound.
        """
        partial = self._partial
        # What was returned since the last event counts as well.
        event_at = len(partial) - self._since_event
        block_at = max(0, event_at, self._without_event)
        for found in _EVENT_END.finditer(partial, self._without_end, end):
            if found.end() - event_at > self.max_event_bytes:
                break
            if _has_known_field(partial, block_at, found.end()):
                event_at = found.end()
            block_at = found.end()
        if len(partial) - event_at > self.max_event_bytes:
            raise ExchangeError(f'no event within {self.max_event_bytes} bytes')

    def _remove(self, end: int) -> bytes:
        """Return the buffered bytes up to a position, and buffer them no longer."""
        if not end:
            return b''
        removed = bytes(self._partial[:end])
        del self._partial[:end]
        self._without_event = max(0, self._without_event - end)
        self._without_end = max(0, self._without_end - end)
        self._without_field = max(0, self._without_field - end)
        ids = _ID_FIELD.findall(removed)
        if ids:
            self.last_event = ids[-1]
        return removed

    @property
    def buffered(self) -> int:
        """Number of bytes that are yet to be returned."""
        return len(self._partial)

    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete; comments are no events."""
        partial, begin = self._partial, self._without_event
        # An end whose last byte may be followed by a line feed was left for later.
        if _EVENT_END.search(partial, max(begin, len(partial) - 3)):
            return False
        return _FIELD_LINE.search(partial, max(begin, self._without_field)) is not None

    def has_events(self) -> bool:
        """Whether an event of the present run has begun.

        The work for each byte does not depend on the number of calls.
        """
        if self.count > 0:
            return True
        found = _FIELD_LINE.search(self._partial, self._without_field)
        self._without_field = found.start() if found else len(self._partial)
        return found is not None

    def flush(self) -> bytes:
        """Return the bytes that are buffered, once the stream has ended regularly."""
        return self._remove(len(self._partial))

    def start_run(self) -> None:
        """Start over after the last whole event, as another run begins."""
        self._partial.clear()
        self._without_event = self._without_end = self._without_field = 0
        self._since_event = self._comment_bytes = 0
        self.count = 0


def _has_known_field(data: bytearray, start: int, end: int) -> bool:
    return any(field.search(data, start, end) for field in _KNOWN_FIELDS)


def _find_end(data: bytearray, start: int) -> int:
    """Return the end of the last empty line, or 0 if there is none.

    A carriage return at the end of the data after a line feed is left for later, as
    its own line feed may follow.

    :param start: position before which no end begins.
    """
    end = data.rfind(b'\n\n', start) + 2
    # Both may be followed by a line feed that belongs to the same line end.
    for found in (
        data.rfind(b'\n\r', start, len(data) - 1),
        data.rfind(b'\r\r', start),
    ):
        if found >= 0:
            end = max(end, found + 2 + (data[found + 2 : found + 3] == b'\n'))
    return end if end > 1 else 0
