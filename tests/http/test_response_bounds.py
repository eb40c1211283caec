"""Tests of the bounds of heads, chunks and trailers of responses."""

from __future__ import annotations

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from coursepitch.http import ConnectionPool, ExchangeError
from coursepitch.http.client import (
    MAX_HEAD_LINES,
    MAX_INTERIM_RESPONSES,
    MAX_RESPONSE_HEAD_BYTES,
)
from coursepitch.http.stream import MAX_UNREAD_BYTES, READ_BYTES
from tests.http.floods import (
    CHUNKED_HEAD,
    FLOOD_BYTES,
    HEADERS,
    INTERIM,
    Flood,
    ask,
    build_connection,
    read_body,
)
from tests.http.test_framing import (
    PIECES,
    build_stream,
    read_with_client,
    read_with_parser,
)

#: What a response may consist of, valid or not, in any order.
ANY_PIECES = (
    *PIECES,
    CHUNKED_HEAD,
    INTERIM,
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello',
    b'HTTP/1.0 200 OK\n\n',
    b'HTTP/1.1 200 \x0b\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nA: \r\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nA:\t b \r\n c\r\n\r\n',
    b'0;last\r\nA: b\r\n\r\n',
    b'0\r\nA:\0\r\n\r\n',
    b'1;\nx\r\nx\r\n',
    b'1 \t\r\nx\r\n',
    b'1 ;x\r\nx\r\n',
    b'1;\r\r\nx\r\n',
)

#: Bytes that a flood of heads can send: what a stream buffers, and two reads of it.
MAX_SENT_BYTES = MAX_UNREAD_BYTES + 2 * READ_BYTES


class HeadTest(unittest.TestCase):
    """Bytes that cannot become a response head fail the exchange at once."""

    def expect_error(self, start, repeated=b'', message=''):
        """Return the bytes that a flood sent before the exchange failed."""

        async def run():
            flood = Flood(start, repeated)
            with self.assertRaisesRegex(ExchangeError, message):
                await ask(flood.stream)
            return flood.sent

        return anyio.run(run)

    # Guards against a node that parses interim responses until its caller gives up.
    def test_interim_responses_without_end_fail_the_exchange(self):
        sent = self.expect_error(b'', INTERIM, 'interim responses')
        self.assertLessEqual(sent, MAX_SENT_BYTES)

    def test_response_after_the_allowed_interim_responses_is_read(self):
        async def run(count):
            stream, _ = build_stream()
            stream.data_received(INTERIM * count + CHUNKED_HEAD)
            return (await ask(stream)).status

        self.assertEqual(anyio.run(run, MAX_INTERIM_RESPONSES), 200)
        with self.assertRaises(ExchangeError):
            anyio.run(run, MAX_INTERIM_RESPONSES + 1)

    # Guards against heads that are bounded one by one, but not together.
    def test_interim_responses_count_as_bytes_of_the_head(self):
        async def run(size):
            stream, _ = build_stream()
            rest = b'HTTP/1.1 200 OK\r\n\r\n'
            start, end = b'HTTP/1.1 103 Early Hints\r\nLink: ', b'\r\n\r\n'
            filler = b'x' * (size // 2 - len(start) - len(end))
            last = b'x' * (size - size // 2 - len(start) - len(end) - len(rest))
            for part in (filler, last):
                stream.data_received(start + part + end)
            stream.data_received(rest)
            return (await ask(stream)).status

        self.assertEqual(anyio.run(run, MAX_RESPONSE_HEAD_BYTES), 200)
        with self.assertRaises(ExchangeError):
            anyio.run(run, MAX_RESPONSE_HEAD_BYTES + 1)

    # Guards against waiting until the deadline for the end of a line that is no head.
    def test_start_that_is_no_status_line_fails_the_exchange(self):
        async def run(start):
            stream, _ = build_stream()
            stream.data_received(start)
            with anyio.fail_after(5), self.assertRaises(ExchangeError):
                await ask(stream)

        for start in (b'x', b'\r', b'HTTP/1.1 20x', b'HTTP/1.1 2000', b'HTTP/11'):
            with self.subTest(start=start):
                anyio.run(run, start)

    def test_status_line_in_single_bytes_is_read(self):
        async def run(head):
            stream, _ = build_stream()
            for place in range(len(head)):
                stream.data_received(head[place : place + 1])
            return (await ask(stream)).status

        for head in (b'HTTP/1.1 200 OK\r\n\r\n', b'HTTP/1.0 200\n\n'):
            with self.subTest(head=head):
                self.assertEqual(anyio.run(run, INTERIM + head), 200)

    def test_head_without_end_fails_the_exchange(self):
        for start, repeated in (
            (b'HTTP/1.1 200 ', b'x'),
            (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n'),
            (b'HTTP/1.1 200 OK\r\na: ', b'x'),
            (b'', b'\xff'),
        ):
            with self.subTest(start=start):
                sent = self.expect_error(start, repeated)
                self.assertLessEqual(sent, MAX_SENT_BYTES)

    # Guards against heads whose lines take the parser a long turn of the event loop.
    def test_number_of_lines_of_a_head_is_bounded(self):
        async def run(lines):
            stream, _ = build_stream()
            head = b'HTTP/1.1 200 OK\r\n' + b'a:\r\n' * (lines - 2) + b'\r\n'
            stream.data_received(head[:1_000])
            stream.data_received(head[1_000:])
            return (await ask(stream)).status

        self.assertEqual(anyio.run(run, MAX_HEAD_LINES), 200)
        with self.assertRaises(ExchangeError):
            anyio.run(run, MAX_HEAD_LINES + 1)

    # Guards against a parser that takes quadratic time for white space in a head.
    def test_forbidden_byte_fails_the_exchange_before_the_head_ends(self):
        async def run(parts):
            stream, _ = build_stream()
            for part in parts:
                stream.data_received(part)
            with anyio.fail_after(5), self.assertRaises(ExchangeError):
                await ask(stream)

        start = b'HTTP/1.1 200 OK\r\na: ' + b' ' * 60_000
        for byte in (b'\0', b'\v', b'\f', b'\rx'):
            with self.subTest(byte=byte):
                anyio.run(run, [start + byte])
                anyio.run(run, [start, byte[:1], byte[1:] + b'x'])


class BodyTest(unittest.TestCase):
    """Chunks are decoded together, and framing without content is an error."""

    def expect_error(self, repeated):
        """Return the number of bytes that a flood of chunks sent until it failed."""

        async def run():
            flood = Flood(CHUNKED_HEAD, repeated)
            with self.assertRaises(ExchangeError):
                await read_body(flood.stream)
            return flood.sent

        return anyio.run(run)

    # Guards against one part, with all work that it brings, for each chunk.
    def test_chunks_that_arrive_together_are_one_part(self):
        async def run():
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD + b'4\r\nabcd\r\n' * 100 + b'0\r\n\r\n')
            return await read_body(stream)

        self.assertEqual(anyio.run(run), [b'abcd' * 100])

    # Guards against small chunks that take a turn of the event loop for all of a read.
    def test_part_has_a_bounded_number_of_chunks(self):
        async def run():
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD + b'1\r\nx\r\n' * 2_000 + b'0\r\n\r\n')
            return [len(part) for part in await read_body(stream)]

        parts = anyio.run(run)
        self.assertEqual(sum(parts), 2_000)
        self.assertLessEqual(max(parts), 1_000)

    # Guards against framing that goes on without end beside hardly any content.
    def test_framing_without_content_fails_the_exchange(self):
        for repeated in (
            b'1\r\nx\r\n',
            b'4\r\nxxxx\r\n',
            b'0000000000000000001\r\nx\r\n',
            b'1;' + b'x' * 1_000 + b'\r\nx\r\n',
            b'5;',
            b'5;\r',
            b'0\r\n' + b'x: y\r\n' * 10_000,
        ):
            with self.subTest(repeated=repeated[:10]):
                self.assertLess(self.expect_error(repeated), FLOOD_BYTES)

    def test_content_before_the_framing_allows_no_more_of_it(self):
        async def run():
            stream, _ = build_stream()
            large = b'20000\r\n' + b'x' * 0x20000 + b'\r\n'
            stream.data_received(CHUNKED_HEAD + large + b'1\r\nx\r\n' * 30_000)
            stream.eof_received()
            with self.assertRaisesRegex(ExchangeError, 'framing'):
                await read_body(stream)

        anyio.run(run)

    def test_short_chunks_of_an_ordinary_body_are_read(self):
        async def run():
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD + b'1\r\nx\r\n' * 4_000 + b'0\r\n\r\n')
            return b''.join(await read_body(stream))

        self.assertEqual(anyio.run(run), b'x' * 4_000)

    # Guards against leaving such a line to the parser, which takes quadratic time.
    def test_white_space_of_an_extension_takes_linear_time(self):
        async def run():
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD + b'1;' + b' ' * 60_000 + b'\n\r\nx\r\n')
            with self.assertRaisesRegex(ExchangeError, 'malformed size'):
                await read_body(stream)

        anyio.run(run)

    # Guards against the same for trailers, and for their number.
    def test_trailers_are_bounded_as_heads_are(self):
        async def run(trailers):
            stream, _ = build_stream()
            stream.data_received(CHUNKED_HEAD + b'0\r\n' + trailers)
            with anyio.fail_after(5), self.assertRaises(ExchangeError):
                await read_body(stream)

        for trailers in (
            b'a: ' + b' ' * 60_000 + b'\0\r\n\r\n',
            b'a:\r\n' * MAX_HEAD_LINES + b'\r\n',
            b'a: ' + b'x' * MAX_RESPONSE_HEAD_BYTES + b'\r\n\r\n',
        ):
            with self.subTest(trailers=trailers[:10]):
                anyio.run(run, trailers)

    def test_trailers_after_a_long_head_are_read(self):
        async def run():
            stream, _ = build_stream()
            filler = b'a: ' + b'x' * 60_000 + b'\r\n'
            head = CHUNKED_HEAD[:-2] + filler + b'\r\n'
            stream.data_received(head + b'1\r\nx\r\n0\r\n' + filler + b'\r\n')
            return await read_body(stream)

        self.assertEqual(anyio.run(run), [b'x'])


class AnyBytesTest(unittest.TestCase):
    """Any bytes in any parts are read as by the parser, with bounded memory."""

    @given(
        st.lists(st.one_of(st.sampled_from(ANY_PIECES), st.binary(max_size=8))),
        st.lists(st.integers(0, 200), max_size=8),
    )
    def test_any_split_of_any_response_is_read_as_by_the_parser(self, pieces, cuts):
        data = b''.join(pieces)
        places = [0, *sorted({min(cut, len(data)) for cut in cuts}), len(data)]
        parts = [data[a:b] for a, b in zip(places, places[1:], strict=False) if a < b]
        found = anyio.run(read_with_client, parts)
        self.assertEqual(found, read_with_parser(parts))

    # The bound is one of memory; an example's time depends on the machine.
    @settings(deadline=None)
    @given(
        st.sampled_from((b'', CHUNKED_HEAD, CHUNKED_HEAD + b'0\r\n')),
        st.one_of(st.sampled_from(ANY_PIECES), st.binary(min_size=1, max_size=40)),
        st.sampled_from((1_000, READ_BYTES)),
    )
    def test_memory_is_bounded_for_any_bytes_without_end(self, start, unit, size):
        async def run():
            flood = Flood(start, unit, size)
            flood.limit = 500_000
            connection = build_connection(flood.stream)
            pool = ConnectionPool()
            kept = 0
            try:
                response = await pool.exchange(connection, b'GET', b'/', HEADERS, b'')
                while await response.read_chunk() is not None:
                    kept = max(kept, len(connection._unparsed))
                    kept = max(kept, flood.stream._unread_bytes)
            except ExchangeError:
                return kept
            return kept

        kept = anyio.run(run)
        self.assertLess(kept, MAX_SENT_BYTES)
