"""Memory that responses take which are read whole, all together."""

from __future__ import annotations

import unittest

import anyio
import h11

from coursepitch.http import ConnectionPool, ExchangeError
from coursepitch.http.client import MAX_BUFFERED_BYTES, Connection
from tests.http.test_exchange import HEADERS
from tests.http.test_framing import build_stream

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'

#: Largest size in bytes of one response.
LIMIT = 16_777_216

PART = b'x' * 65_536


class BufferTest(unittest.TestCase):
    """Endless bodies fail before a node runs out of memory, and sound ones do not."""

    async def open(self, pool):
        stream, _ = build_stream()
        connection = Connection('a', stream, h11.Connection(h11.CLIENT))
        stream.data_received(HEAD)
        return stream, await pool.exchange(connection, b'GET', b'/', HEADERS, b'')

    def test_largest_responses_fail_once_all_together_are_too_large(self):
        async def run():
            pool, ends, peak = ConnectionPool(), {}, 0

            async def read(name, response):
                try:
                    ends[name] = len(await response.read_whole(LIMIT))
                except ExchangeError as error:
                    ends[name] = error

            async with anyio.create_task_group() as tasks:
                streams = []
                for number in range(12):
                    stream, response = await self.open(pool)
                    streams.append(stream)
                    tasks.start_soon(read, number, response)
                sound, response = await self.open(pool)
                tasks.start_soon(read, 'sound', response)
                for _ in range(LIMIT // len(PART) - 1):
                    for number, stream in enumerate(streams):
                        if number not in ends:
                            stream.data_received(PART)
                    if not peak:
                        sound.data_received(PART)
                    while any(
                        stream._received
                        for number, stream in enumerate(streams)
                        if number not in ends
                    ):
                        await anyio.sleep(0)
                    peak = max(peak, pool.buffered_bytes)
                sound.eof_received()
                while 'sound' not in ends:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            return ends, peak, pool.buffered_bytes

        ends, peak, left = anyio.run(run)
        self.assertEqual(ends['sound'], len(PART))
        self.assertLessEqual(peak, MAX_BUFFERED_BYTES)
        self.assertGreaterEqual(len(ends), 9)
        self.assertEqual(left, 0)

    # Guards against others that grow as the largest one is stalled.
    def test_responses_beside_a_large_one_that_is_stalled_are_bounded(self):
        async def run():
            pool = ConnectionPool()
            _, stalled = await self.open(pool)
            pool.note_buffered(stalled, LIMIT - 1)
            failed = 0
            for _ in range(20):
                _, response = await self.open(pool)
                try:
                    for size in range(len(PART), LIMIT, len(PART)):
                        pool.note_buffered(response, size)
                except ExchangeError:
                    failed += 1
            return failed, pool.buffered_bytes

        failed, total = anyio.run(run)
        self.assertGreater(failed, 0)
        self.assertLess(total, 2 * MAX_BUFFERED_BYTES)


if __name__ == '__main__':
    unittest.main()
