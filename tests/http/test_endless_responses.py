"""Tests that responses without end are recognised, with bounded work for each turn."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.http import ExchangeError
from coursepitch.http.client import (
    MAX_HEAD_LINES,
    MAX_INTERIM_RESPONSES,
    MAX_RESPONSE_HEAD_BYTES,
)
from coursepitch.http.stream import MAX_UNREAD_BYTES, READ_BYTES
from tests.http.floods import (
    CHUNKED_HEAD,
    INTERIM,
    Flood,
    ask,
)
from tests.http.test_framing import build_stream

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
