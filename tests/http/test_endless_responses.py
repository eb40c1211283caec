"""Responses that are no answer and never end take neither the loop nor memory."""

from __future__ import annotations

import unittest

import anyio
import h11

from coursepitch.http import ConnectionPool, ExchangeError
from coursepitch.http.client import MAX_RESPONSE_HEAD_BYTES, Connection
from coursepitch.http.stream import MAX_UNREAD_BYTES, PACE_FACTOR, ReadPacer
from tests.http.endless import ENDLESS, serve_endless
from tests.http.test_exchange import HEADERS
from tests.http.test_framing import HEAD, build_stream

#: Seconds within which a response is known to be none.
PROOF_S = 5.0


async def read_endless(endless, limit=2**20):
    """Read a response until it fails; return the error and the bytes of its body."""
    ended = anyio.Event()
    size = 0
    async with await anyio.create_tcp_listener(local_host='127.0.0.1') as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_endless, listener, endless, ended)
            pool = ConnectionPool()
            error = None
            with anyio.fail_after(PROOF_S):
                connection = await pool.acquire(f'127.0.0.1:{port}')
                try:
                    response = await pool.exchange(
                        connection, b'GET', b'/', HEADERS, b''
                    )
                    while size < limit and (part := await response.read_chunk()):
                        size += len(part)
                except ExchangeError as failure:
                    error = failure
                connection.close()
                await ended.wait()
            tasks.cancel_scope.cancel()
    return error, size


class ProofTest(unittest.TestCase):
    """Bytes that can't become a response fail the exchange before any time limit."""

    def test_response_fails_once_its_bytes_are_known_to_be_none(self):
        for name, endless in ENDLESS.items():
            with self.subTest(name):
                error, size = anyio.run(read_endless, endless)
                self.assertIsInstance(error, ExchangeError)
                self.assertLess(size, 2**18)

    def read_head(self, *parts):
        async def run():
            stream, _ = build_stream()
            parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
            parser.send(h11.Request(method='GET', target='/', headers=HEADERS))
            parser.send(h11.EndOfMessage())
            connection = Connection('', stream, parser)
            for part in parts:
                stream.data_received(part)
            with anyio.fail_after(PROOF_S):
                return await connection.read_event()

        return anyio.run(run)

    def test_first_bytes_tell_that_there_is_no_status_line(self):
        for first in (b'\r', b'\n\n', b'<html>', b'HTTP/2 200', b'GET / HTTP/1.1'):
            with self.subTest(first), self.assertRaises(ExchangeError):
                self.read_head(first)
        event = self.read_head(b'HT', b'TP/1.', b'1 200 OK\r\n', b'\r\n')
        self.assertEqual(event.status_code, 200)

    def test_heads_of_interim_responses_count_for_the_limit_of_the_head(self):
        interim = b'HTTP/1.1 103 Hints\r\nA: %b\r\n\r\n' % (b'x' * 16_000)

        async def run():
            stream, _ = build_stream()
            parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
            connection = Connection('', stream, parser)
            pool = ConnectionPool()
            for _ in range(5):
                stream.data_received(interim)
            stream.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await pool.exchange(connection, b'GET', b'/', HEADERS, b'')

        with self.assertRaises(ExchangeError):
            anyio.run(run)


class TurnTest(unittest.TestCase):
    """Other tasks run while a response is read whose bytes are always there."""

    def count_turns(self, data, size):
        """Return the turns that another task has while some bytes are read."""

        async def run():
            stream, _ = build_stream()
            parser = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
            parser.send(h11.Request(method='GET', target='/', headers=HEADERS))
            parser.send(h11.EndOfMessage())
            connection = Connection('', stream, parser)
            stream.data_received(HEAD)
            await connection.read_event()
            connection.decodes_chunks = True
            turns = 0

            async def count():
                nonlocal turns
                while True:
                    await anyio.sleep(0)
                    turns += 1

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(count)
                read = 0
                stream.data_received(data)
                while read < size:
                    part = None
                    if connection.decodes_chunks:
                        part = await connection.read_simple_chunks(None)
                    if part is None:
                        event = await connection.read_event()
                        part = event.data
                    read += len(part)
                tasks.cancel_scope.cancel()
            return turns

        return anyio.run(run)

    def test_chunks_of_one_read_take_several_turns(self):
        data = b'8\r\nabcdefgh\r\n' * 4_000
        self.assertGreaterEqual(self.count_turns(data, 8 * 4_000), 4_000 // 256)

    def test_chunks_that_the_parser_reads_take_several_turns(self):
        data = b'8;a\r\nabcdefgh\r\n' * 4_000
        self.assertGreaterEqual(self.count_turns(data, 8 * 4_000), 4_000 // 256)


class PacerTest(unittest.TestCase):
    """Busy streams share a part of the time, however many there are."""

    def test_many_streams_get_no_more_time_than_one(self):
        for count in (1, 10, 100):
            with self.subTest(count):
                pacer, now, worked_s = ReadPacer(), 0.0, 0.0
                due = [0.0] * count
                while now < 10.0:
                    index = min(range(count), key=due.__getitem__)
                    now = max(now, due[index]) + 0.001
                    worked_s += 0.001
                    due[index] = now + pacer.reserve(now, 0.001)
                self.assertLess(worked_s, 10.0 / PACE_FACTOR + 0.001 * count)
                self.assertGreater(worked_s, 5.0 / PACE_FACTOR)

    def test_stream_that_waits_for_its_bytes_is_not_delayed(self):
        async def run():
            stream, _ = build_stream()
            began_at = anyio.current_time()
            for _ in range(1_000):
                stream.data_received(b'x' * 100)
                await stream.receive()
            return anyio.current_time() - began_at, stream.is_busy

        took_s, is_busy = anyio.run(run)
        self.assertFalse(is_busy)
        self.assertLess(took_s, 1.0)

    def test_stream_whose_bytes_are_always_there_is_delayed(self):
        async def run():
            stream, _ = build_stream()
            for _ in range(2 * MAX_UNREAD_BYTES // 65_536):
                stream.data_received(b'x' * 65_536)
                await stream.receive()
            return stream.is_busy

        self.assertTrue(anyio.run(run))


if __name__ == '__main__':
    unittest.main()
