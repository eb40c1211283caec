"""Server-sent events: an incremental parser with bounded memory.

Source: HTML Living Standard, section 9.2.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.errors import CodecError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['DONE_DATA', 'EventParser', 'StreamEvent', 'encode_event']

#: Data of the event that ends a stream in the OpenAI API.
DONE_DATA = '[DONE]'

#: Largest size of an event in bytes, with the comments and blank lines before it.
MAX_EVENT_BYTES = 262_144

#: Largest number of lines of an event, with the comments and blank lines before it.
#: Events of the OpenAI API have a few lines, and each line takes time of the event
#: loop, however short it is.
MAX_EVENT_LINES = 4_096


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    :param event_id: id of the event, or ``None``; the index of a chunk.
    """

    data: str
    event_id: int | None


class EventParser:
    """Parses a byte stream, split at any positions, into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        self._data: list[str] = []
        self._event_id: int | None = None
        #: Bytes and lines since the last event.
        self._size = 0
        self._lines = 0

    def parse(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield the events that a piece of the stream completes, one by one.

        Each is parsed as it is asked for, so that one that its reader refuses ends the
        work on the piece.  All have to be asked for before the next piece is parsed.

        :raises CodecError: an event, or what comes between two events, is too large, an
            event is not UTF-8, or has an id that is not a number of at most 12 digits.
        """
        self._buffer += piece
        while True:
            end = self._buffer.find(b'\n', self._searched)
            if end < 0:
                self._searched = len(self._buffer)
                break
            line = bytes(self._buffer[:end]).rstrip(b'\r')
            del self._buffer[: end + 1]
            self._searched = 0
            self._size += end + 1
            self._lines += 1
            if self._size > MAX_EVENT_BYTES or self._lines > MAX_EVENT_LINES:
                raise CodecError('event too large')
            event = self._parse_line(line)
            if event is not None:
                yield event
        if len(self._buffer) + self._size > MAX_EVENT_BYTES:
            raise CodecError('event too large')

    def _parse_line(self, line: bytes) -> StreamEvent | None:
        if not line:
            return self._finish_event()
        try:
            name, _, value = line.decode('utf-8').partition(':')
        except UnicodeDecodeError as error:
            raise CodecError('event is not valid UTF-8') from error
        value = value.removeprefix(' ')
        if name == 'data':
            self._data.append(value)
        elif name == 'id':
            if not value.isascii() or not value.isdigit() or len(value) > 12:
                raise CodecError('event id is not a number of at most 12 digits')
            self._event_id = int(value)
        return None

    def _finish_event(self) -> StreamEvent | None:
        data, self._data = self._data, []
        event_id, self._event_id = self._event_id, None
        if not data:
            return None
        self._size = self._lines = 0
        return StreamEvent('\n'.join(data), event_id)


def encode_event(data: bytes) -> bytes:
    """Encode an event; the data must not contain line breaks."""
    return b'data: %b\n\n' % data
