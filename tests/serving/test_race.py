"""Attempts that are read until one makes progress."""

from __future__ import annotations

import time
import unittest
from types import SimpleNamespace

import anyio

from coursepitch.serving.attempts import NextStep
from coursepitch.serving.race import AttemptRace, Reading, SilenceLimits


async def stay_silent():
    """Yield no part of an answer."""
    await anyio.sleep_forever()
    yield {}


async def answer():
    """Yield one part of an answer."""
    yield {'text': 'x'}


async def run_late():
    """Let all timeouts of this loop pass late."""
    while True:
        time.sleep(0.25)  # noqa: ASYNC251
        await anyio.sleep(0)


def build_reading(parts):
    """Return the reading of an attempt without a head."""
    attempt = SimpleNamespace(head_at=None, is_whole=False, is_declined=False)
    return Reading(attempt, None, NextStep.RETRY, parts)


class OverloadTest(unittest.TestCase):
    """Attempts in a process whose timeouts all pass late."""

    # Guards against an overloaded process that never finds an engine silent.
    def test_another_attempt_is_made_though_all_timeouts_pass_late(self):
        silent, other = build_reading(stay_silent()), build_reading(answer())

        async def fail(reading):
            return None

        async def find_other():
            return other

        async def run():
            race = AttemptRace(
                [silent],
                SilenceLimits(0.01, 0.01),
                lambda reading: None,
                fail,
                find_other,
                anyio.current_time,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_late)
                with anyio.fail_after(20.0):
                    found = await race.wait()
                tasks.cancel_scope.cancel()
            return found

        self.assertEqual(anyio.run(run), (other, {'text': 'x'}))


if __name__ == '__main__':
    unittest.main()
