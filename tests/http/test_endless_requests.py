"""Requests whose bytes never end, at the HTTP server."""

from __future__ import annotations

import time
import tracemalloc
import unittest
from dataclasses import replace

import anyio
import anyio.lowlevel

from coursepitch.http import ConnectionRules, HttpServer
from coursepitch.http.request_parser import RequestParser
from coursepitch.http.server import MIN_BODY_BYTES_PER_S, ServerConnection
from tests.http.test_framing import build_stream

RULES = ConnectionRules(body_bytes=100_000)

#: Bytes that a client sends at most.
MAX_SENT_BYTES = 8_000_000

#: Timeout in seconds for the server to read what has arrived.
WAIT_S = 20.0

CHUNKED = b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'

#: A request without a body.
SOUND = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

#: Bytes that are sent over and over after a beginning, and the status that ends them.
ENDLESS = {
    'request line': (b'GET /', b'a' * 4096, b'431'),
    'header lines': (b'GET / HTTP/1.1\r\n', b'A: b\r\n' * 512, b'431'),
    'header value': (b'GET / HTTP/1.1\r\nA: ', b'a' * 4096, b'431'),
    'line breaks': (b'', b'\r\n' * 2048, b'400'),
    'noise': (b'\x16\x03', b'\x00' * 4096, b'400'),
    'chunk extension': (CHUNKED + b'1;', b'a' * 4096, b'431'),
    'chunk extensions': (CHUNKED, (b'1;' + b'a' * 4000 + b'\r\nx\r\n') * 4, b'400'),
    'trailers': (CHUNKED + b'1\r\nx\r\n0\r\n', b'A: b\r\n' * 512, b'431'),
    'body': (CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n', b'413'),
}


class Client:
    """A client without a socket, of a server that answers with the size of bodies."""

    def __init__(self, **options):
        self.now = 0.0
        self.server = HttpServer(self.answer, lambda: RULES, self.read_clock, **options)
        self.stream, self.transport = build_stream()
        parser = RequestParser(RULES.head_bytes)
        self.connection = ServerConnection(self.server, self.stream, parser)
        self.answered = 0
        self.rounds = 0

    def read_clock(self):
        return self.now

    async def answer(self, request, reply):
        self.answered += 1
        await reply.send_whole(200, (), b'%d' % len(request.body))

    @property
    def received(self):
        """Bytes that the client received."""
        return b''.join(call.args[0] for call in self.transport.write.call_args_list)

    @property
    def closed(self):
        """Whether the server closed the connection."""
        return self.transport.abort.called

    async def send(self, data):
        """Send bytes, and wait until the server waits for more or has closed."""
        self.stream.data_received(data)
        with anyio.fail_after(WAIT_S):
            while not self.closed and (
                self.stream._received or not self.stream._reader
            ):
                self.rounds += 1
                await anyio.lowlevel.checkpoint()


def run_with_client(scenario, **options):
    """Run a scenario with a client; return the client."""

    async def run():
        client = Client(**options)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.connection.run)
            await anyio.lowlevel.checkpoint()
            await scenario(client)
            tasks.cancel_scope.cancel()
        return client

    return anyio.run(run)


class HeadLimitTest(unittest.TestCase):
    """Connections that are kept follow the configuration."""

    def test_larger_head_is_read_once_the_configuration_allows_it(self):
        async def send(client):
            await client.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            rules = replace(RULES, head_bytes=4 * RULES.head_bytes)
            client.server.read_rules = lambda: rules
            await client.send(b'GET / HTTP/1.1\r\nHost: x\r\n')
            for _ in range(2):
                await client.send(b'A: %b\r\n' % (b'x' * RULES.head_bytes))
            await client.send(b'\r\n')

        self.assertEqual(run_with_client(send).answered, 2)


class ForbiddenByteTest(unittest.TestCase):
    """Heads that no parser accepts are refused in little time."""

    # Guards against seconds in one turn, as the parser tries a line from each space.
    def test_line_of_spaces_with_a_forbidden_byte_is_refused_at_once(self):
        line = b'A:' + b' ' * (RULES.head_bytes - 100) + b'\x00b\r\n'
        first = b'GET / HTTP/1.1\r\nHost: x\r\n'
        sound = first + b'\r\n'
        for parts in (
            (first + line + b'\r\n',),
            (first, line, b'\r\n'),
            (sound + first + line + b'\r\n',),
            (sound, first + line + b'\r\n'),
        ):

            async def send(client, parts=parts):
                for part in parts:
                    if not client.closed:
                        await client.send(part)

            with self.subTest(len(parts)):
                began_at = time.process_time()
                client = run_with_client(send)
                self.assertLess(time.process_time() - began_at, 0.5)
                self.assertIn(b' 400 ', client.received)


class QuadraticLineTest(unittest.TestCase):
    """Lines of chunked bodies that no parser accepts are refused in little time."""

    def check_refused_at_once(self, *parts):
        async def send(client):
            for part in parts:
                if not client.closed:
                    await client.send(part)
            self.assertTrue(client.closed)

        began_at = time.process_time()
        client = run_with_client(send)
        self.assertLess(time.process_time() - began_at, 0.5)
        self.assertEqual(client.received.count(b'HTTP/1.1 400'), 1)

    # Guards against seconds in one turn, as the parser tries a line from each space.
    def test_chunk_extension_of_spaces_is_refused_at_once(self):
        line = b'1;' + b' ' * 30_000 + b'\nx\r\n'
        self.check_refused_at_once(CHUNKED + line)
        self.check_refused_at_once(CHUNKED + b'1\r\nx\r\n' + line)
        self.check_refused_at_once(CHUNKED, line)
        self.check_refused_at_once(CHUNKED, line[:100], line[100:15_000], b'\nx\r\n')
        self.check_refused_at_once(SOUND + CHUNKED + line)

    def test_trailer_of_spaces_with_a_forbidden_byte_is_refused_at_once(self):
        line = b'A: ' + b' ' * 16_000 + b'\x00\r\n\r\n'
        self.check_refused_at_once(CHUNKED + b'0\r\n' + line)
        self.check_refused_at_once(CHUNKED + b'1\r\nx\r\n0\r\n', line)
        self.check_refused_at_once(CHUNKED, b'0', b'\r\n', line[:9000], line[9000:])
        self.check_refused_at_once(SOUND + CHUNKED + b'0\r\n' + line)


class WholeHeadTest(unittest.TestCase):
    """A head that arrives in one piece is bounded as one that arrives in parts."""

    # Guards against work on heads of the size of a read, whatever the limit.
    def test_head_above_the_limit_is_refused(self):
        head = b'GET / HTTP/1.1\r\nHost: x\r\n' + b'A: b\r\n' * 3000 + b'\r\n'
        for request in (head, CHUNKED + b'0\r\n' + b'A: b\r\n' * 3000 + b'\r\n'):

            async def send(client, request=request):
                await client.send(request)

            self.assertIn(b'HTTP/1.1 431', run_with_client(send).received)


class EndlessRequestTest(unittest.TestCase):
    """A request is bounded in bytes as a whole."""

    # Guards against connections that are read for as long as the client sends.
    def test_request_that_never_ends_is_refused(self):
        for kind, (beginning, part, status) in ENDLESS.items():

            async def send(client, beginning=beginning, part=part):
                await client.send(beginning + part)
                for _ in range(MAX_SENT_BYTES // len(part)):
                    if client.closed:
                        break
                    await client.send(part)
                self.assertTrue(client.closed)

            with self.subTest(kind):
                client = run_with_client(send)
                self.assertIn(b'HTTP/1.1 %b' % status, client.received)

    def test_body_in_chunks_of_one_byte_is_taken(self):
        async def send(client):
            await client.send(CHUNKED + b'1;a=b\r\nx\r\n' * 5000)
            await client.send(b'1\r\nx\r\n' * 5000 + b'0\r\n\r\n')

        self.assertIn(b'\r\n\r\n10000', run_with_client(send).received)

    # Guards against memory of many times what a client sends.
    def test_memory_of_a_body_in_small_chunks_is_bounded(self):
        async def send(client):
            await client.send(CHUNKED)
            tracemalloc.start()
            for _ in range(16):
                await client.send(b'2\r\nxy\r\n' * 1000)

        try:
            run_with_client(send)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(peak, 8 * 32_000)


class TurnTest(unittest.TestCase):
    """One connection leaves the event loop to others."""

    # Guards against sound requests that wait while thousands of chunks are read.
    def test_many_chunks_are_read_in_several_rounds(self):
        async def send(client):
            await client.send(CHUNKED)
            client.rounds = 0
            await client.send(b'1\r\nx\r\n' * 10_000)

        self.assertGreater(run_with_client(send).rounds, 10)

    # Guards against sound requests that wait while thousands of others are answered.
    def test_pipelined_requests_are_answered_in_one_round_each(self):
        async def send(client):
            await client.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n' * 1000)

        client = run_with_client(send)
        self.assertEqual(client.answered, 1000)
        self.assertGreaterEqual(client.rounds, 1000)


class SlowBodyTest(unittest.TestCase):
    """A body is bounded in time as a whole."""

    def send_slowly(self, step_s, until_s, **options):
        """Return the client that sent a byte of a body every ``step_s`` seconds."""

        async def send(client):
            head = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n'
            await client.send(head)
            while client.now < until_s and not client.closed:
                client.now += step_s
                await client.send(b'x')

        return run_with_client(send, **options)

    # Guards against connections that a client holds for as long as it sends a byte.
    def test_body_of_a_byte_now_and_then_is_refused(self):
        client = self.send_slowly(1.0, 100.0)
        self.assertIn(b'HTTP/1.1 408', client.received)
        self.assertTrue(client.closed)
        self.assertGreater(client.now, RULES.head_timeout_s + RULES.idle_timeout_s)
        self.assertLess(client.now, 20.0)

    # Guards against the same by a client that names a deadline.
    def test_body_is_refused_at_the_deadline_of_its_request(self):
        client = self.send_slowly(1.0, 100.0, find_client_timeout_s=lambda headers: 5.0)
        self.assertIn(b'HTTP/1.1 408', client.received)
        self.assertLessEqual(client.now, 6.0)

    # Guards against slow uploads that are refused although their client still waits.
    def test_slow_body_is_read_until_the_deadline_of_its_request(self):
        client = self.send_slowly(1.0, 27.0, find_client_timeout_s=lambda headers: 28.0)
        self.assertEqual(client.received, b'')

    def test_body_at_a_low_rate_is_read_without_a_deadline(self):
        async def send(client):
            size = 5 * MIN_BODY_BYTES_PER_S
            await client.send(CHUNKED)
            for _ in range(5):
                client.now += 4.0
                await client.send(b'%x\r\n%b\r\n' % (size // 5, b'x' * (size // 5)))
            await client.send(b'0\r\n\r\n')

        self.assertIn(b'HTTP/1.1 200', run_with_client(send).received)

    # Guards against connections that are held by a deadline that never comes.
    def test_deadline_without_end_is_limited(self):
        client = self.send_slowly(
            1.0, 100.0, find_client_timeout_s=lambda headers: float('inf')
        )
        self.assertIn(b'HTTP/1.1 408', client.received)
