"""Splitting of a stream of server-sent events, so that another run can resume it."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ['EventSplitter']

#: Matches the id field of an event.  Source: HTML standard, section 9.2.6.
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')

#: Largest event in bytes that is buffered until it is complete.
MAX_EVENT_BYTES = 1_048_576


@dataclass(eq=False)
class EventSplitter:
    """Split a byte stream into complete events, and buffer an incomplete one.

    :param last_event: id of the last complete event.
    :param count: number of complete events.
    """

    last_event: bytes = b''
    count: int = 0
    _partial: bytes = b''

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
            self.count += max(1, len(ids))
        if len(self._partial) > MAX_EVENT_BYTES:
            whole, self._partial = whole + self._partial, b''
        return whole

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, once the stream has ended."""
        rest, self._partial = self._partial, b''
        return rest

    def discard_partial(self) -> None:
        """Discard an incomplete event after its run was interrupted."""
        self._partial = b''


def _find_end(data: bytes, delimiter: bytes) -> int:
    found = data.rfind(delimiter)
    return found + len(delimiter) if found >= 0 else 0
