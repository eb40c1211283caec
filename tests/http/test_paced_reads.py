"""Tests that streams that always have data ready share a part of the loop's time."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from coursepitch.http import stream as stream_module
from coursepitch.http.stream import MAX_TURN_S, PACE_FACTOR, READ_BYTES, ReadPacer
from tests.gateway.simulated_runs import VirtualTimeLoop
from tests.http.floods import Flood
from tests.http.test_framing import build_stream

#: Seconds of simulated work on one read.
WORK_S = 0.002


def run_virtually(run):
    """Run a test on an event loop with a virtual clock; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = runner.get_loop()
        stream_module._pacers[loop] = ReadPacer(loop.time)
        return runner.run(run())


class WaitTest(unittest.TestCase):
    """Waits of a reader are no work on its stream."""

    # Guards against a response that is held up as its client reads slowly.
    def test_reader_that_waits_for_its_client_is_not_delayed(self):
        async def run():
            flood = Flood(b'', b'x')
            flood.limit = None
            began_at = anyio.current_time()
            for _ in range(60):
                await flood.stream.receive()
                await anyio.sleep(0.005)
            return anyio.current_time() - began_at

        self.assertLess(anyio.run(run), 0.75)


class SharedTimeTest(unittest.TestCase):
    """Floods leave most of the time of the event loop to other tasks."""

    def measure_share(self, count, read=None, late_s=0.0):
        """Return the part of a second that is spent on a number of floods.

        :param late_s: seconds by which each delay of the event loop ends late.
        """

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

            async def delay():
                while late_s:
                    await asyncio.sleep(late_s)
                    loop.pause(late_s)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(delay)
                for _ in range(count):
                    tasks.start_soon(drain)
                # The reads before the pacing are no part of the share.
                await anyio.sleep(10 * WORK_S * count)
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
                self.assertLess(share, 1.2 / PACE_FACTOR)
                self.assertGreater(share, 0.8 / PACE_FACTOR)

    # Guards against proofs that take seconds on a machine that has other work.
    def test_floods_make_up_for_delays_that_end_late(self):
        for count in (1, 10):
            with self.subTest(count=count):
                share = self.measure_share(count, late_s=0.02)
                self.assertLess(share, 1.2 / PACE_FACTOR)
                self.assertGreater(share, 0.8 / PACE_FACTOR)

    # Guards against work without a receive, as on many small chunks of one read.
    def test_work_on_bytes_that_were_read_before_is_paced_too(self):
        share = self.measure_share(10, lambda stream: stream.finish_turn())
        self.assertLess(share, 1.2 / PACE_FACTOR)

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
    """Only streams that have much data ready are delayed."""

    # Guards against sound streams that wait for bytes of others.
    def test_small_parts_that_arrive_one_by_one_are_not_delayed(self):
        async def run():
            loop = asyncio.get_running_loop()
            stream, _ = build_stream()
            waited = []
            for _ in range(1_000):
                loop.pause(WORK_S)
                stream_due = loop.time() + WORK_S
                loop.call_later(WORK_S, stream.data_received, b'x' * 1_000)
                await stream.receive()
                waited.append(loop.time() - stream_due)
            return max(waited)

        self.assertLess(run_virtually(run), WORK_S)

    def measure_waits(self, count, size, turns):
        """Return the longest delay of a stream that waits for each group of parts.

        :param count: number of parts that arrive together.
        :param turns: number of turns that a group takes beyond its reads.
        """

        async def run():
            loop = asyncio.get_running_loop()
            stream, _ = build_stream()
            delays = [0.0]

            def arrive():
                for _ in range(count):
                    stream.data_received(b'x' * size)

            for _ in range(50):
                loop.call_later(WORK_S, arrive)
                await stream.receive()
                steps = [stream.receive] * (count - 1) + [stream.finish_turn] * turns
                for step in steps:
                    loop.pause(WORK_S)
                    began = loop.time()
                    await step()
                    delays.append(loop.time() - began)
            return max(delays)

        return run_virtually(run)

    # Guards against sound streams that are paced for what they brought before a wait.
    def test_stream_that_waits_for_each_group_of_parts_is_not_delayed(self):
        self.assertLess(self.measure_waits(4, 10_000, 0), WORK_S)

    def test_stream_that_waits_after_each_of_its_turns_is_not_delayed(self):
        self.assertLess(self.measure_waits(1, 100, 3), WORK_S)

    # Guards against a reader that is delayed for the time in which its client read.
    def test_time_that_a_reader_waited_elsewhere_is_not_all_work(self):
        async def run():
            loop = asyncio.get_running_loop()
            flood = Flood(b'', b'x')
            flood.limit = None
            waited = []
            for _ in range(40):
                await asyncio.sleep(1.0)
                began = loop.time()
                await flood.stream.receive()
                waited.append(loop.time() - began)
            return max(waited)

        self.assertLessEqual(run_virtually(run), 1.1 * PACE_FACTOR * MAX_TURN_S)

    def test_delayed_read_ends_at_its_deadline_with_its_bytes(self):
        async def run():
            loop = asyncio.get_running_loop()
            flood = Flood(b'', b'x', READ_BYTES)
            flood.limit = None
            for _ in range(40):
                loop.pause(MAX_TURN_S)
                await flood.stream.receive()
            loop.pause(MAX_TURN_S)
            began = loop.time()
            data = await flood.stream.receive(began + 0.001)
            return len(data), loop.time() - began

        size, waited = run_virtually(run)
        self.assertEqual(size, READ_BYTES)
        self.assertLess(waited, 0.002)
