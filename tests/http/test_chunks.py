"""Decoding of chunked bodies."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.http import ExchangeError
from coursepitch.http.chunks import (
    MAX_CHUNKS_PER_TURN,
    MAX_EXTRA_FRAMING_BYTES,
    ChunkDecoder,
    ChunkError,
)
from tests.http.floods import CHUNKED_HEAD, ask, read_body
from tests.http.test_framing import build_stream

#: Ends of a body that no further bytes can make valid.
MALFORMED = (b'3\r\nabcX', b'1\r\nx\r\nzz\r\n')


class FramingTest(unittest.TestCase):
    """The framing of whole chunks is bounded."""

    def decode_extensions(self, size):
        """Decode chunks whose framing exceeds the content between by a size."""
        # No size line is incomplete, as such a line is checked by itself.
        last = b'f\r\n'
        size -= len(last)
        chunk = b'1;%b\r\nx\r\n'
        fill = size // 100 + 1 - (len(chunk % b'') - 1)
        data = chunk % (b'a' * (fill + size % 100)) + 99 * (chunk % (b'a' * fill))
        return ChunkDecoder(0).decode(data + last + b'x' * 3)

    # Guards against framing without end in reads that end with a chunk.
    def test_whole_chunks_with_more_framing_than_allowed_are_refused(self):
        content, rest = self.decode_extensions(MAX_EXTRA_FRAMING_BYTES)
        self.assertEqual((content, rest), (b'x' * 103, b''))
        with self.assertRaises(ChunkError):
            self.decode_extensions(MAX_EXTRA_FRAMING_BYTES + 1)

    # Guards against the same after a body whose content was decoded before.
    def test_content_allows_no_framing_of_later_chunks(self):
        async def run():
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD)
            for _ in range(4):
                stream.data_received(b'ea60\r\n' + b'x' * 60_000 + b'\r\n')
            for _ in range(60):
                stream.data_received(b'1\r\nx\r\n' * 100)
            stream.eof_received()
            with self.assertRaisesRegex(ExchangeError, 'framing'):
                await read_body(stream)

        anyio.run(run)


class TurnTest(unittest.TestCase):
    """One call decodes a bounded number of chunks."""

    # Guards against a caller that goes on without the bytes it has to wait for.
    def test_decoder_tells_whether_chunks_are_left(self):
        decoder = ChunkDecoder(0)
        content, rest = decoder.decode(b'1\r\nx\r\n' * (MAX_CHUNKS_PER_TURN + 2))
        self.assertEqual(content, b'x' * MAX_CHUNKS_PER_TURN)
        self.assertTrue(decoder.has_more)
        self.assertEqual(decoder.decode(rest), (b'xx', b''))
        self.assertFalse(decoder.has_more)


class MalformedChunkTest(unittest.TestCase):
    """A malformed chunk is refused after the content before it, without a wait."""

    def test_decoder_returns_the_content_before_a_malformed_chunk(self):
        for data in MALFORMED:
            with self.subTest(data):
                decoder = ChunkDecoder(0)
                content, rest = decoder.decode(data)
                self.assertIn(content, (b'abc', b'x'))
                self.assertTrue(decoder.has_more)
                with self.assertRaises(ChunkError):
                    decoder.decode(rest)

    # Guards against a caller that waits for bytes which can't change the outcome.
    def test_malformed_chunk_fails_without_further_bytes(self):
        async def run(data):
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD)
            response = await ask(stream)
            for part in (data[:-1], data[-1:]):
                stream.data_received(part)
            with (
                anyio.fail_after(5),
                self.assertRaisesRegex(ExchangeError, 'malformed'),
            ):
                while await response.read_chunk():
                    pass

        for data in MALFORMED:
            with self.subTest(data):
                anyio.run(run, data)
