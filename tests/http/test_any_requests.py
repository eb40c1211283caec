"""Any bytes of clients, in any split, at the HTTP server and its parser."""

from __future__ import annotations

import itertools
import re
import time
import unittest

import h11
from hypothesis import example, given, settings
from hypothesis import strategies as st

from coursepitch.http.request_parser import RequestParser
from coursepitch.http.stream import MAX_UNREAD_BYTES, READ_BYTES
from tests.http.test_endless_requests import (
    CHUNKED,
    RULES,
    SOUND,
    run_with_client,
)
from tests.http.test_request_parser import PARTS, split

#: Largest processor time in seconds of a turn, and of all bytes of an example.
TURN_S = 0.25
WORK_S = 2.0

#: Bytes that the server holds at most beside the body of a request: those that are not
#: read, those of one read, and a head.
HELD_BYTES = MAX_UNREAD_BYTES + READ_BYTES + RULES.head_bytes

#: Bytes of an example without end.
SENT_BYTES = 1_500_000

#: Size of a line that the parser reads in one turn.
LINE_BYTES = 32_768

#: Beginnings of what is sent without end, units of it, and what may follow them.
STARTS = (
    b'',
    b'GET / HTTP/1.1\r\n',
    b'GET / HTTP/1.1\r\nA:',
    SOUND + b'GET /',
    CHUNKED,
    CHUNKED + b'1;',
    CHUNKED + b'1\r\nx\r\n0\r\nA:',
)
UNITS = (
    b' ',
    b' a',
    b'a',
    b'\r',
    b'\n',
    b' \r\n',
    b'a:\r\n',
    b'1\r\nx\r\n',
    b'1;a\r\nx\r\n',
)
ENDS = (b'\x00\r\n\r\n', b'\nx\r\n', b'\r\r\n\r\n', b'\x0b\n\n', b'\r\n\r\n')


def expect_answers(test, client, is_closed, requests):
    """Check that each request has one answer, or the connection is closed.

    :param is_closed: whether the server closed the connection.
    :param requests: number of whole requests that were sent, if it is known.
    """
    statuses = re.findall(rb'HTTP/1\.1 ([0-9]{3})', client.received)
    finals = [status for status in statuses if status != b'100']
    errors = [status for status in finals if status != b'200']
    test.assertEqual(finals.count(b'200'), client.answered)
    # An error is the last response, and ends the connection.
    test.assertLessEqual(len(errors), 1)
    if errors:
        test.assertEqual(finals[-1], errors[0])
        test.assertTrue(is_closed)
    if not is_closed and requests is not None:
        test.assertEqual(client.answered, requests)


class ServerTest(unittest.TestCase):
    """The server answers each request once, or closes the connection."""

    def count_requests(self, parts):
        """Return the number of whole requests that h11 reads in some bytes."""
        count = 0
        parser = h11.Connection(h11.SERVER, RULES.head_bytes)
        for part in parts:
            parser.receive_data(part)
        try:
            while (event := parser.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.EndOfMessage):
                    count += 1
                    parser.send(h11.Response(status_code=200, headers=()))
                    parser.send(h11.EndOfMessage())
                    parser.start_next_cycle()
        except (h11.ProtocolError, KeyError):
            return None
        return count

    @settings(max_examples=200, deadline=None)
    @example([SOUND, CHUNKED + b'0\r\n\r\n', SOUND], [1] * 400)
    @given(
        st.lists(st.sampled_from(PARTS) | st.binary(max_size=8), max_size=5),
        st.lists(st.integers(1, 80), max_size=30),
    )
    def test_each_request_is_answered_once_or_the_connection_is_closed(
        self, messages, sizes
    ):
        parts = split(b''.join(messages), sizes)

        closed = []

        async def send(client):
            for part in parts:
                if not client.closed:
                    await client.send(part)
            closed.append(client.closed)

        began_at = time.process_time()
        client = run_with_client(send)
        self.assertLess(time.process_time() - began_at, WORK_S)
        expect_answers(self, client, closed[0], self.count_requests(parts))

    @settings(max_examples=60, deadline=None)
    @example(CHUNKED, b'1\r\nx\r\n', b'', READ_BYTES)
    @example(CHUNKED, b'1;' + b'a' * 100 + b'\r\nx\r\n', b'', 30_000)
    @given(
        st.sampled_from(STARTS),
        st.sampled_from(UNITS) | st.binary(min_size=1, max_size=8),
        st.sampled_from(ENDS),
        st.sampled_from((10_000, 30_000, READ_BYTES)),
    )
    def test_bytes_without_end_are_bounded_in_work_and_memory(
        self, start, unit, end, size
    ):
        part = unit * (size // len(unit) + 1)
        parts = [start, *[part] * (SENT_BYTES // size), end]
        held = [0]
        work = [0.0]
        closed = []

        async def send(client):
            # A stream gives no empty parts.
            for data in filter(None, parts):
                if client.closed:
                    break
                began_at = time.process_time()
                await client.send(data)
                work.append(time.process_time() - began_at)
                unread = len(client.connection.parser.trailing_data[0])
                held.append(unread + client.stream._unread_bytes)
            closed.append(client.closed)

        client = run_with_client(send)
        self.assertLess(max(work), WORK_S)
        self.assertLess(max(held), HELD_BYTES)
        self.assertTrue(closed[0])
        expect_answers(self, client, closed[0], None)


class ParserTest(unittest.TestCase):
    """Each event of the parser takes a bounded time."""

    # Guards against lines that a regular expression of the parser tries many times.
    def test_turn_is_bounded_for_lines_of_one_unit(self):
        for start, unit, end in itertools.product(STARTS, UNITS, ENDS):
            with self.subTest(start=start, unit=unit, end=end):
                self.check_turns([start + unit * (LINE_BYTES // len(unit)) + end])

    @settings(max_examples=200, deadline=None)
    @given(
        st.sampled_from(STARTS),
        st.binary(min_size=1, max_size=4),
        st.sampled_from(ENDS),
        st.lists(st.integers(1, LINE_BYTES), max_size=2),
    )
    def test_turn_is_bounded_for_any_line(self, start, unit, end, sizes):
        data = start + unit * (LINE_BYTES // len(unit)) + end
        self.check_turns(split(data, sizes))

    def check_turns(self, parts):
        parser = RequestParser(2 * LINE_BYTES)
        for part in parts:
            parser.receive_data(part)
            event = None
            while event not in (h11.NEED_DATA, h11.PAUSED):
                began_at = time.process_time()
                try:
                    event = parser.next_event()
                except h11.RemoteProtocolError:
                    return
                finally:
                    self.assertLess(time.process_time() - began_at, TURN_S)
