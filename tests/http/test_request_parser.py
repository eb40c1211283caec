"""Events of requests that the server's parser reads."""

from __future__ import annotations

import time
import unittest

import h11
from hypothesis import example, given, settings
from hypothesis import strategies as st

from coursepitch.http.request_parser import RequestParser

HEAD_LIMIT = 4096

SOUND = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
LENGTH = b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n\x00\n\n\nb'
CHUNKED = b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
PARTS = (
    SOUND,
    LENGTH,
    CHUNKED + b'0\r\n\r\n',
    CHUNKED + b'5;a="b"\r\nabc\r\n\r\n00002 \t\r\n\x00\n\r\n0;x\r\nA: b\r\n c\r\n\r\n',
    CHUNKED + b'1\r\nx\r\n' * 200 + b'0\r\n\n',
    b'GET / HTTP/1.0\n\n',
    b'HEAD /d HTTP/1.1\r\nHost: x\r\nA: b\x00\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n',
    CHUNKED + b'5\r\nabcdefg',
    CHUNKED + b'1;\n\r\nx\r\n',
    CHUNKED + b'0\r\nA: \x00\r\n\r\n',
    b'\r\n',
    b'\x00',
    b'abc',
    b'\r',
)


def split(data, sizes):
    """Return bytes in parts of some sizes, and the rest."""
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [part for part in (*parts, data) if part]


def read_requests(parser, parts):
    """Return the requests that a parser reads, its pauses and its end."""
    requests = []
    pauses = []
    try:
        for part in (*parts, b''):
            parser.receive_data(part)
            while True:
                event = parser.next_event()
                if isinstance(event, h11.Request):
                    fields = (event.method, event.target, event.http_version)
                    requests.append([fields, event.headers.raw_items(), b'', False])
                elif isinstance(event, h11.Data):
                    requests[-1][2] += event.data
                elif isinstance(event, h11.EndOfMessage):
                    requests[-1][3] = True
                    parser.send(h11.Response(status_code=200, headers=()))
                    parser.send(h11.EndOfMessage())
                if event in (h11.NEED_DATA, h11.PAUSED):
                    pauses.append(event)
                    if parser.our_state is parser.their_state is h11.DONE:
                        parser.start_next_cycle()
                        continue
                    break
                if isinstance(event, h11.ConnectionClosed):
                    break
    except h11.RemoteProtocolError as error:
        return requests, error.error_status_hint, parser.their_state
    return requests, pauses, parser.trailing_data


class EventTest(unittest.TestCase):
    """Checks of bytes change nothing else of what h11 reads."""

    # Guards against a request that is read differently than it is framed.
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(PARTS) | st.binary(max_size=8), max_size=4),
        st.lists(st.integers(1, 80), max_size=30) | st.just([1] * 3000),
    )
    @example([*PARTS[:6], SOUND], [])
    @example([*PARTS[:6], SOUND], [1] * 3000)
    def test_requests_are_those_of_h11(self, messages, sizes):
        parts = split(b''.join(messages), sizes)
        plain = read_requests(h11.Connection(h11.SERVER, HEAD_LIMIT), parts)
        checked = read_requests(RequestParser(HEAD_LIMIT), parts)
        self.assertEqual(checked, plain)


class LimitTest(unittest.TestCase):
    """Lines are bounded one message at a time."""

    # Guards against limits that count the heads of a connection together.
    def test_heads_that_arrive_in_single_bytes_are_read(self):
        count = 2 * HEAD_LIMIT // len(SOUND)
        requests, _, _ = read_requests(
            RequestParser(HEAD_LIMIT), split(SOUND * count, [1] * len(SOUND) * count)
        )
        self.assertEqual(len(requests), count)

    def test_size_line_above_the_limit_of_heads_is_refused(self):
        parts = [CHUNKED, b'1;', *[b'a' * 100] * (HEAD_LIMIT // 100 + 1)]
        _, status, _ = read_requests(RequestParser(HEAD_LIMIT), parts)
        self.assertEqual(status, 431)

    # Guards against a head that follows a body in its last bytes, and is not checked.
    def test_head_after_a_body_in_parts_is_checked(self):
        line = b'A:' + b' ' * 30_000 + b'\x00b\r\n\r\n'
        parser = RequestParser(65_536)
        began_at = time.process_time()
        head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 80000\r\n\r\n'
        parts = [head + b'x' * 40_000, b'x' * 40_000 + SOUND[:-2] + line]
        requests, status, _ = read_requests(parser, parts)
        self.assertLess(time.process_time() - began_at, 0.5)
        self.assertEqual((len(requests), status), (1, 400))

    # Guards against bytes that are forbidden by the one that arrives after them.
    def test_carriage_return_before_other_bytes_is_refused_at_once(self):
        line = b'A:' + b' ' * 30_000
        parts = [SOUND[:-2], line + b'\r', b'b\r\n\r\n']
        began_at = time.process_time()
        _, status, _ = read_requests(RequestParser(65_536), parts)
        self.assertLess(time.process_time() - began_at, 0.5)
        self.assertEqual(status, 400)


class RefusalTest(unittest.TestCase):
    """After a refusal nothing more is read."""

    def test_no_event_follows_an_error(self):
        parser = RequestParser(HEAD_LIMIT)
        parser.receive_data(SOUND[:10] + b'\x00')
        for _ in range(2):
            with self.assertRaises(h11.RemoteProtocolError):
                parser.next_event()
            self.assertIs(parser.their_state, h11.ERROR)
            parser.receive_data(SOUND)
        parser.send(h11.Response(status_code=400, headers=()))
