"""Engines that answer control calls with bytes without end."""

from __future__ import annotations

import time
import unittest

import anyio

from coursepitch.errors import TargetError
from coursepitch.targets.engine import EngineControl
from coursepitch.util.bounded_http import drain_body
from tests.serving.floods import BODIES, CHUNKED, HEADS, Flood, list_floods

#: Time limit of a call, and time within which it must have ended, in seconds.
TIMEOUT_S = 0.5
ENDED_S = 1.5

#: Bytes that an engine can send before it sees that its caller has closed: those that
#: are read, and the buffers of both sockets.
MAX_SENT_BYTES = 16_777_216


def run_call(flood, call):
    """Return the result of a call, and whether it and the engine ended in time."""

    async def main():
        engines = EngineControl(TIMEOUT_S)
        result, left = None, False
        async with anyio.create_task_group() as tasks:
            await flood.listen(tasks)
            with anyio.move_on_after(ENDED_S) as scope:
                result = await call(engines, flood.address)
            if not scope.cancelled_caught:
                with anyio.move_on_after(ENDED_S):
                    await flood.left.wait()
                    left = True
            tasks.cancel_scope.cancel()
        await engines.close()
        return result, not scope.cancelled_caught, left

    return anyio.run(main)


class EndlessReportTest(unittest.TestCase):
    """Checks of an engine end by a limit of the whole call."""

    # Guards against an engine that holds the round of its observer for ever.
    def test_check_ends_whatever_the_engine_sends(self):
        for kind, flood in list_floods(HEADS | BODIES):
            with self.subTest(kind):
                check, ended, left = run_call(flood, EngineControl.check)
                self.assertEqual((ended, left), (True, True))
                self.assertFalse(check.answered)
                self.assertLess(flood.sent, MAX_SENT_BYTES)

    # Guards against engines that are proven to fail and count as silent.
    def test_engine_that_sends_more_than_a_report_has_failed(self):
        for kind in (*HEADS, 'one_byte', 'line_breaks', 'chunks'):
            with self.subTest(kind):
                flood = Flood(*(HEADS | BODIES)[kind])
                check, _, _ = run_call(flood, EngineControl.check)
                self.assertEqual((check.failures, check.silent_s), (1, 0.0))

    # Guards against a head that is read to its limits though it is proven wrong.
    def test_head_that_is_proven_wrong_fails_before_the_limit(self):
        for kind in ('status_line', 'interim'):
            with self.subTest(kind):
                flood = Flood(*HEADS[kind], (10, 0.005))
                check, _, _ = run_call(flood, EngineControl.check)
                self.assertEqual((check.failures, check.silent_s), (1, 0.0))

    # Guards against sound engines whose checks are held up by a sick one.
    def test_loop_goes_on_beside_endless_bytes(self):
        kinds = {
            'interim': HEADS['interim'],
            'chunks': (CHUNKED + b'1\r\n{\r\n', b'4\r\n    \r\n'),
        }
        for kind, unit in kinds.items():
            with self.subTest(kind):
                self.assertLess(measure_turn(Flood(*unit)), 0.1)


def measure_turn(flood):
    """Return the longest turn of the event loop in seconds during a check."""

    async def main():
        engines = EngineControl(TIMEOUT_S)
        longest = 0.0

        async def watch():
            nonlocal longest
            while True:
                # Processor time, as other processes may run meanwhile.
                at = time.thread_time()
                await anyio.sleep(0)
                longest = max(longest, time.thread_time() - at)

        async with anyio.create_task_group() as tasks:
            await flood.listen(tasks)
            tasks.start_soon(watch)
            with anyio.move_on_after(ENDED_S):
                await engines.check(flood.address)
            tasks.cancel_scope.cancel()
        await engines.close()
        return longest

    return anyio.run(main)


class EndlessCommandTest(unittest.TestCase):
    """Commands to an engine end by a limit of the whole call."""

    async def _release(self, engines, address):
        return await self._catch(engines.release(address, 'r', 1))

    async def _catch(self, command):
        try:
            await command
        except TargetError:
            return 'refused'
        return 'accepted'

    # Guards against a controller that waits for the end of a command for ever.
    def test_command_without_a_whole_head_fails_within_its_limit(self):
        for kind, flood in list_floods(HEADS):
            with self.subTest(kind):
                found = run_call(flood, self._release)
                self.assertEqual(found, ('refused', True, True))

    def test_command_that_was_accepted_does_not_wait_for_its_body(self):
        for kind, flood in list_floods(BODIES):
            with self.subTest(kind):
                found = run_call(flood, self._release)
                self.assertEqual(found, ('accepted', True, True))


class DrainTest(unittest.TestCase):
    """The rest of a body that tells nothing is read within a bound."""

    # Guards against a rest that is always ready, so that no time limit ends it.
    def test_rest_is_given_up_after_some_bytes(self):
        read = []

        async def yield_pieces():
            for number in range(1_000):
                read.append(number)
                yield b'x' * 1_000

        anyio.run(drain_body, yield_pieces())
        self.assertLess(len(read), 10)


if __name__ == '__main__':
    unittest.main()
