"""Tests that streams that always have data ready share a part of the loop's time."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from coursepitch.http.stream import (
    MAX_READ_WORK_S,
    PACED_TIME_FACTOR,
    READ_BYTES,
    READY_WAIT_S,
    UNPACED_READS,
)
from tests.gateway.simulated_runs import VirtualTimeLoop
from tests.http.floods import Flood
from tests.http.test_framing import build_stream

#: Seconds of simulated work on one read.
WORK_S = 0.002


def run_virtually(run):
    """Run a test on an event loop with a virtual clock; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())


class SharedTimeTest(unittest.TestCase):
    """Floods leave most of the time of the event loop to other tasks."""

    def measure_share(self, count, read=None):
        """Return the part of a second that is spent on a number of floods."""

        async def run():
            loop = asyncio.get_running_loop()
            worked = [0.0]

            async def drain():
                flood = Flood(b'', b'x')
                flood.limit = None
                while True:
                    await (read(flood.stream) if read else flood.stream.receive())
                    loop.pause(WORK_S)
                    worked[0] += WORK_S

            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(drain)
                # The reads before the pacing are no part of the share.
                await anyio.sleep(UNPACED_READS * WORK_S * count)
                began, before = loop.time(), worked[0]
                await anyio.sleep(5.0)
                share = (worked[0] - before) / (loop.time() - began)
                tasks.cancel_scope.cancel()
            return share

        return run_virtually(run)

    # Guards against a node whose requests wait as instances send without end.
    def test_any_number_of_floods_shares_a_part_of_the_time(self):
        for count in (1, 10, 100):
            with self.subTest(count=count):
                share = self.measure_share(count)
                self.assertLess(share, 1.2 / PACED_TIME_FACTOR)
                self.assertGreater(share, 0.8 / PACED_TIME_FACTOR)

    # Guards against work without a receive, as on many small chunks of one read.
    def test_work_on_bytes_that_were_read_before_is_paced_too(self):
        share = self.measure_share(10, lambda stream: stream.pace())
        self.assertLess(share, 1.2 / PACED_TIME_FACTOR)

    def test_each_flood_gets_its_turn(self):
        async def run():
            loop = asyncio.get_running_loop()
            reads = [0] * 5

            async def drain(place):
                flood = Flood(b'', b'x')
                flood.limit = None
                while True:
                    await flood.stream.receive()
                    loop.pause(WORK_S)
                    reads[place] += 1

            async with anyio.create_task_group() as tasks:
                for place in range(len(reads)):
                    tasks.start_soon(drain, place)
                await anyio.sleep(5.0)
                tasks.cancel_scope.cancel()
            return reads

        reads = run_virtually(run)
        self.assertLessEqual(max(reads) - min(reads), 2)


class PacedReadTest(unittest.TestCase):
    """Only successive reads that find data ready wait for their turn."""

    def measure_reads(self, read, count=40):
        """Return the virtual seconds that each of some reads waits.

        :param read: reads once from a stream, whose loop it is given.
        """

        async def run():
            loop = asyncio.get_running_loop()
            stream, _ = build_stream()
            waited = []
            for _ in range(count):
                loop.pause(WORK_S)
                waited.append(await read(loop, stream))
            return waited

        return run_virtually(run)

    async def read_ready(self, loop, stream):
        """Return the seconds that a read of bytes that have arrived takes."""
        stream.data_received(b'x')
        began = loop.time()
        await stream.receive()
        return loop.time() - began

    async def read_later(self, loop, stream, wait_s, size):
        """Return the seconds that a read waits on after its bytes have arrived."""
        loop.call_later(wait_s, stream.data_received, b'x' * size)
        due = loop.time() + wait_s
        await stream.receive()
        return loop.time() - due

    def test_first_reads_of_ready_data_do_not_wait(self):
        waited = self.measure_reads(self.read_ready)
        self.assertLess(max(waited[:UNPACED_READS]), READY_WAIT_S)
        self.assertAlmostEqual(
            waited[-1], (PACED_TIME_FACTOR - 1) * WORK_S, delta=WORK_S / 10
        )

    def test_bytes_that_arrive_at_once_are_ready(self):
        waited = self.measure_reads(
            lambda loop, stream: self.read_later(loop, stream, READY_WAIT_S / 2, 1)
        )
        self.assertGreater(waited[-1], WORK_S)

    # Guards against floods that are not noticed as the loop is late for each of them.
    def test_full_reads_are_ready_however_long_they_took(self):
        waited = self.measure_reads(
            lambda loop, stream: self.read_later(
                loop, stream, 2 * READY_WAIT_S, READ_BYTES
            )
        )
        self.assertGreater(waited[-1], WORK_S)

    # Guards against sound streams that wait for bytes of others.
    def test_bytes_that_arrive_later_are_not_paced(self):
        waited = self.measure_reads(
            lambda loop, stream: self.read_later(loop, stream, 2 * READY_WAIT_S, 100)
        )
        self.assertLess(max(waited), READY_WAIT_S)

    # Guards against clients that send a request as soon as they have their response.
    def test_responses_to_what_was_sent_are_not_paced(self):
        async def read(loop, stream):
            await stream.send(b'request')
            return await self.read_ready(loop, stream)

        self.assertLess(max(self.measure_reads(read, 100)), READY_WAIT_S)

    def test_stream_that_waits_again_is_no_longer_paced(self):
        async def run():
            loop = asyncio.get_running_loop()
            stream, _ = build_stream()
            for _ in range(2 * UNPACED_READS):
                await self.read_ready(loop, stream)
            await self.read_later(loop, stream, 2 * READY_WAIT_S, 1)
            loop.pause(WORK_S)
            return await self.read_ready(loop, stream)

        self.assertLess(run_virtually(run), READY_WAIT_S)

    # Guards against a reader that is delayed for the time in which its client read.
    def test_time_that_a_reader_waited_elsewhere_is_not_all_work(self):
        async def read(loop, stream):
            await asyncio.sleep(1.0)
            return await self.read_ready(loop, stream)

        waited = self.measure_reads(read)
        self.assertLessEqual(max(waited), PACED_TIME_FACTOR * MAX_READ_WORK_S)

    def test_small_pieces_that_arrived_meanwhile_take_one_read(self):
        async def run():
            loop = asyncio.get_running_loop()
            stream, _ = build_stream()
            for _ in range(2 * UNPACED_READS):
                await self.read_ready(loop, stream)
            for _ in range(10):
                stream.data_received(b'x' * 10_000)
            parts = [len(await stream.receive()) for _ in range(2)]
            return parts, stream._unread_bytes

        self.assertEqual(run_virtually(run), ([READ_BYTES, 100_000 - READ_BYTES], 0))

    def test_paced_read_ends_at_its_deadline_with_its_bytes(self):
        async def run():
            loop = asyncio.get_running_loop()
            stream, _ = build_stream()
            for _ in range(2 * UNPACED_READS):
                loop.pause(MAX_READ_WORK_S)
                await self.read_ready(loop, stream)
            loop.pause(MAX_READ_WORK_S)
            stream.data_received(b'last')
            began = loop.time()
            data = await stream.receive(loop.time() + 0.001)
            return data, loop.time() - began

        data, waited = run_virtually(run)
        self.assertEqual(data, b'last')
        self.assertLess(waited, 0.002)

    # Guards against a turn that is spent on a connection that was given up.
    def test_cancelled_read_keeps_no_turn(self):
        async def run():
            loop = asyncio.get_running_loop()
            streams = [build_stream()[0] for _ in range(20)]
            for stream in streams:
                for _ in range(UNPACED_READS + 1):
                    loop.pause(MAX_READ_WORK_S)
                    await self.read_ready(loop, stream)
            loop.pause(1.0)
            for stream in streams:
                stream.data_received(b'x')
            tasks = [asyncio.create_task(stream.receive()) for stream in streams]
            await asyncio.sleep(0)
            for task in tasks[:-1]:
                task.cancel()
            began = loop.time()
            await tasks[-1]
            return loop.time() - began

        self.assertLess(run_virtually(run), 2 * PACED_TIME_FACTOR * MAX_READ_WORK_S)
