"""Parser of requests that checks the bytes of a client before h11 reads them.

The regular expressions of h11 take a time that is quadratic in the size of a line that
they do not match: seconds for a header line of spaces with a forbidden byte, or for a
chunk's extension with a line feed.  Lines that would not match are refused here, by
searches in linear time, and h11 reads chunks without extensions.
"""

from __future__ import annotations

import contextlib

import h11

from coursepitch.http.chunks import ChunkDecoder, ChunkError, ChunkLineError
from coursepitch.http.messages import FORBIDDEN_IN_HEAD, HEAD_END

__all__ = ['RequestParser']

#: Maximum number of bytes that frame a body, for each byte of its content, beyond two
#: heads.  A chunk of one byte takes five, and a short extension as many again.
MAX_FRAMING_RATIO = 16

#: States in which no request may follow, and h11 refuses further bytes.
_FINAL_STATES = frozenset({h11.MUST_CLOSE, h11.CLOSED})


class RequestParser(h11.Connection):
    """A server's side of :class:`h11.Connection` with bounded work for each event.

    It passes on one message at a time: a head, the content of its body, and trailers.

    :param head_limit: maximum size in bytes of a head, of trailers, or of a line that
        precedes a chunk.
    """

    def __init__(self, head_limit: int) -> None:
        super().__init__(h11.SERVER, head_limit)
        self._head_limit = head_limit
        self._unparsed = b''
        self._input_ended = False
        self._line_tail = b''
        self._line_bytes = 0
        self._content_bytes = 0
        self._decoder: ChunkDecoder | None = None

    @property
    def trailing_data(self) -> tuple[bytes, bool]:
        """Bytes that were not parsed, and whether the client's input has ended."""
        data, _ = super().trailing_data
        return data + self._unparsed, self._input_ended

    @property
    def held_bytes(self) -> int:
        """Number of bytes that were not parsed."""
        # h11 tells them only as a copy.
        return len(self._receive_buffer) + len(self._unparsed)

    def discard(self) -> None:
        """Drop the bytes that were not parsed; no request can follow."""
        self._unparsed = b''

    @property
    def has_more_chunks(self) -> bool:
        """Whether chunks that have arrived are left to further events."""
        return self._decoder is not None and self._decoder.has_more

    def receive_data(self, data: bytes) -> None:
        """Add received bytes, or the end of the input if there are none.

        :raises RuntimeError: the input has ended before.
        """
        if not data:
            self._input_ended = True
        elif self._input_ended:
            raise RuntimeError('bytes after the end of the input')
        self._unparsed += data

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the request.

        :raises h11.RemoteProtocolError: the request is malformed or too large.
        """
        if self._unparsed:
            if self.their_state is h11.DONE:
                return h11.PAUSED
            self._feed()
        event = super().next_event()
        if event is h11.NEED_DATA and self._input_ended:
            super().receive_data(b'')
            event = super().next_event()
        if isinstance(event, h11.Request):
            self._start_body(event)
        return event

    def start_next_cycle(self) -> None:
        """Prepare for the next request."""
        super().start_next_cycle()
        self._decoder = None
        self._content_bytes = 0

    def _start_body(self, head: h11.Request) -> None:
        """Note how the body of a request is framed, as h11 does."""
        for name, value in head.headers.raw_items():
            lower = name.lower()
            if lower == b'transfer-encoding':
                # The parser accepts no transfer coding but chunked.
                limit = 2 * self._head_limit
                self._decoder = ChunkDecoder(0, limit, MAX_FRAMING_RATIO)
                return
            if lower == b'content-length':
                self._content_bytes = int(value)

    def _feed(self) -> None:
        """Pass checked bytes to the parser.

        :raises h11.RemoteProtocolError: the bytes are malformed or too large.
        """
        state = self.their_state
        try:
            if state is h11.IDLE:
                data = self._take_lines()
            elif state is h11.SEND_BODY and self._decoder is not None:
                data = self._take_chunks(self._decoder)
            elif state is h11.SEND_BODY:
                data = self._unparsed[: self._content_bytes]
                self._unparsed = self._unparsed[len(data) :]
                self._content_bytes -= len(data)
            elif state in _FINAL_STATES:
                data, self._unparsed = self._unparsed, b''
            else:
                return
        except h11.RemoteProtocolError:
            self._fail()
            raise
        if data:
            super().receive_data(data)

    def _fail(self) -> None:
        """Let the client's side enter the state ``ERROR`` by an early end of input."""
        super().receive_data(b'\x00')
        super().receive_data(b'')
        with contextlib.suppress(h11.RemoteProtocolError):
            super().next_event()

    def _take_lines(self) -> bytes:
        """Return the bytes up to the end of a head or of trailers.

        :raises h11.RemoteProtocolError: they are too large, or have a byte that no line
            may have.
        """
        tail = self._line_tail
        known = tail + self._unparsed
        found = HEAD_END.search(known)
        end = len(known) if found is None else found.end()
        if FORBIDDEN_IN_HEAD.search(known, 0, end):
            raise h11.RemoteProtocolError('forbidden byte in a head')
        self._line_bytes += end - len(tail)
        if self._line_bytes > self._head_limit:
            raise h11.RemoteProtocolError('head too large', 431)
        if found is None:
            self._line_tail = known[-2:]
        else:
            self._line_tail, self._line_bytes = b'', 0
        self._unparsed = known[end:]
        return known[len(tail) : end]

    def _take_chunks(self, decoder: ChunkDecoder) -> bytes:
        """Return the content of the next chunks as one chunk, or the end of the body.

        :raises h11.RemoteProtocolError: the body is malformed, or has too much framing.
        """
        if decoder.ended:
            return self._take_lines()
        try:
            content, self._unparsed = decoder.decode(self._unparsed)
        except ChunkLineError as error:
            raise h11.RemoteProtocolError(str(error), 431) from error
        except ChunkError as error:
            raise h11.RemoteProtocolError(str(error)) from error
        if decoder.ended:
            # The line end of the last chunk may be the first of the end of trailers.
            self._unparsed = b'0\r\n' + self._unparsed
        elif len(self._unparsed) > self._head_limit and not decoder.has_more:
            raise h11.RemoteProtocolError('size line of a chunk too large', 431)
        if content:
            return b'%x\r\n%b\r\n' % (len(content), content)
        return self._take_lines() if decoder.ended else b''
