"""Decoder of chunked bodies (RFC 9112, section 7.1) with bounded work per call."""

from __future__ import annotations

import re

from coursepitch.errors import CoursepitchError

__all__ = [
    'MAX_CHUNKS_PER_TURN',
    'MAX_EXTRA_FRAMING_BYTES',
    'ChunkDecoder',
    'ChunkError',
    'ChunkLineError',
]

#: Bytes by which the framing of a chunked body may exceed its content.  Framing takes
#: at least five bytes for each chunk, so this allows some thousand chunks of one byte.
MAX_EXTRA_FRAMING_BYTES = 16_384

#: Chunks that are processed in one turn of the event loop.
MAX_CHUNKS_PER_TURN = 128

_LINE_END = b'\r\n'

#: Matches the size line of a chunk without extensions.
_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,20})\r\n')

#: Matches the size in a size line; the parser allows as many digits.
_SIZE = re.compile(rb'[0-9A-Fa-f]{1,20}')


class ChunkError(CoursepitchError):
    """Bytes that are no chunked body, or of which nearly all are framing."""


class ChunkLineError(ChunkError):
    """The size line of a chunk exceeds the limit of framing before its end."""


class ChunkDecoder:
    """Decodes the chunks of a body up to its last chunk, whose size is zero.

    :param extra_bytes: bytes by which earlier framing of the body exceeds its content.
    :param max_extra_bytes: bytes by which the framing may exceed what the content
        allows.
    :param ratio: bytes of framing that each byte of the content allows.
    :ivar started: whether :meth:`decode` has been called.
    :ivar ended: whether the size line of the last chunk has been decoded.
    :ivar has_more: whether the rest may be decoded further, or is malformed, without
        the bytes that arrive next.
    """

    def __init__(
        self,
        extra_bytes: int,
        max_extra_bytes: int = MAX_EXTRA_FRAMING_BYTES,
        ratio: int = 1,
    ) -> None:
        self.started = False
        self.ended = False
        self.has_more = False
        self._left_bytes = 0
        self._footer = b''
        self._extra_bytes = extra_bytes
        self._max_extra_bytes = max_extra_bytes
        self._ratio = ratio

    def decode(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the content at the start of some bytes, and the rest.

        The rest is passed again, followed by the bytes that arrive next.

        :raises ChunkError: the framing exceeds the content by too much, or a malformed
            chunk follows and no content precedes it in ``data``.
        """
        parts: list[bytes] = []
        place = 0
        self.started = True
        self.has_more = False
        for _ in range(MAX_CHUNKS_PER_TURN):
            if self._left_bytes or self._footer:
                place = self._decode_content(data, place, parts)
                if self._left_bytes or self._footer:
                    break
            found = _SIZE_LINE.match(data, place)
            if found is not None:
                size, start = int(found[1], 16), found.end()
                end = start + size
                if size and data[end : end + 2] == _LINE_END:
                    parts.append(data[start:end])
                    self._count(start - place + 2, size)
                    place = end + 2
                    continue
            else:
                line = self._find_size_line(data, place, bool(parts))
                if line is None:
                    break
                size, start = line
            self._count(start - place, 0)
            place = start
            if not size:
                self.ended = True
                break
            self._left_bytes = size
        else:
            self.has_more = True
        return b''.join(parts), data[place:]

    def _decode_content(self, data: bytes, place: int, parts: list[bytes]) -> int:
        """Decode the rest of a chunk after its size line; return where it ends."""
        if self._left_bytes:
            content = data[place : place + self._left_bytes]
            if not content:
                return place
            parts.append(content)
            place += len(content)
            self._left_bytes -= len(content)
            self._count(0, len(content))
            if self._left_bytes:
                return place
            self._footer = _LINE_END
        if self._footer:
            found = data[place : place + len(self._footer)]
            if not self._footer.startswith(found):
                if parts:
                    self.has_more = True
                    return place
                raise ChunkError('malformed end of a chunk')
            self._footer = self._footer[len(found) :]
            self._count(len(found), 0)
            place += len(found)
        return place

    def _find_size_line(
        self, data: bytes, place: int, has_content: bool
    ) -> tuple[int, int] | None:
        """Return the size in a size line that may have extensions, and its end.

        :param has_content: whether a malformed line is left to the next call.
        """
        end = data.find(_LINE_END, place)
        if end < 0:
            if self._extra_bytes + len(data) - place > self._max_extra_bytes:
                raise ChunkLineError('size line of a chunk too large')
            return None
        size = _SIZE.match(data, place, end)
        if size is not None:
            rest = data[size.end() : end]
            # The parser allows white space at the end of a line, and any extensions.
            if not rest.strip(b' \t') or (rest[:1] == b';' and b'\n' not in rest):
                return int(size[0], 16), end + len(_LINE_END)
        if has_content:
            self.has_more = True
            return None
        raise ChunkError('malformed size of a chunk')

    def _count(self, framing_bytes: int, content_bytes: int) -> None:
        """Count decoded bytes."""
        extra = self._extra_bytes + framing_bytes - self._ratio * content_bytes
        self._extra_bytes = extra if extra > 0 else 0
        if extra > self._max_extra_bytes:
            raise ChunkError('more framing than content')
