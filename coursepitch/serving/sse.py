"""Server-sent events: a bounded parser of a stream of bytes.

Source: HTML Living Standard, section 9.2.
"""

from __future__ import annotations

from dataclasses import dataclass

from coursepitch.errors import CodecError

__all__ = ['END_MARK', 'EventParser', 'StreamEvent', 'write_event']

#: Data of the event that ends an answer in OpenAI's protocol.
END_MARK = '[DONE]'

#: Largest event in bytes.
EVENT_LIMIT = 262_144


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event; ``place`` is its id, or ``None`` without one."""

    data: str
    place: int | None


class EventParser:
    """Turns bytes into events, whatever the borders of the pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._data: list[str] = []
        self._place: int | None = None
        self._size = 0

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Take a piece of the stream and return the events that it ends.

        :raises CodecError: an event is too large or no valid text.
        """
        self._buffer += piece
        found = []
        while True:
            end = self._buffer.find(b'\n')
            if end < 0:
                break
            line = bytes(self._buffer[:end]).rstrip(b'\r')
            del self._buffer[: end + 1]
            event = self._take_line(line)
            if event is not None:
                found.append(event)
        if len(self._buffer) + self._size > EVENT_LIMIT:
            raise CodecError('event too large')
        return found

    def _take_line(self, line: bytes) -> StreamEvent | None:
        if not line:
            return self._end_event()
        self._size += len(line)
        if self._size > EVENT_LIMIT:
            raise CodecError('event too large')
        try:
            name, _, value = line.decode('utf-8').partition(':')
        except UnicodeDecodeError as error:
            raise CodecError('event is no UTF-8') from error
        value = value.removeprefix(' ')
        if name == 'data':
            self._data.append(value)
        elif name == 'id':
            if not value.isascii() or not value.isdigit() or len(value) > 12:
                raise CodecError('id of an event is no number')
            self._place = int(value)
        return None

    def _end_event(self) -> StreamEvent | None:
        data, self._data = self._data, []
        place, self._place = self._place, None
        self._size = 0
        return StreamEvent('\n'.join(data), place) if data else None


def write_event(data: bytes) -> bytes:
    """Return an event as bytes; the data has no line breaks, as JSON has none."""
    return b'data: %b\n\n' % data
