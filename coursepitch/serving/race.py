"""Race of the attempts that may still deliver the answer to a request.

A silent engine may have ended or may be about to go on, and silence does not tell
which.  So an attempt that is silent is kept while another one is tried, and the first
one to make progress delivers the answer.  An attempt ends when its failure is proven,
when another one makes progress, or with its request; never by silence.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from coursepitch.fleet.pause_detector import TimeoutFilter
from coursepitch.serving.attempts import NextStep

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable

    from coursepitch.clock import Clock
    from coursepitch.serving.routing import Choice
    from coursepitch.serving.runs import Attempt

__all__ = ['AttemptRace', 'Reading', 'SilenceLimits']


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """Seconds of silence after which an attempt is suspected of having failed.

    :param head_s: silence before the head of the answer.
    :param gap_s: silence after it, and of a stream that is reopened.
    """

    head_s: float
    gap_s: float


@dataclass(eq=False)
class Reading:
    """One connection on which the answer of an attempt is read.

    :param parts: yields the parts of the answer, in order.
    :param since: monotonic time from which silence counts.
    :param suspected: whether the attempt may have failed, as it makes no progress.
    :param pending: reads the next part; goes on while others are read as well.
    """

    attempt: Attempt
    choice: Choice
    step: NextStep
    parts: AsyncGenerator[dict[str, Any], None]
    since: float = 0.0
    suspected: bool = False
    pending: asyncio.Task[dict[str, Any] | None] | None = None

    def read_on(self, now: float) -> asyncio.Task[dict[str, Any] | None]:
        """Return the task that reads the next part; begin it if there is none."""
        if self.pending is None:
            self.since = now
            self.pending = asyncio.create_task(self._read())
        return self.pending

    async def _read(self) -> dict[str, Any] | None:
        return await anext(self.parts, None)

    def take_part(self) -> dict[str, Any] | None:
        """Return the part that was read, or ``None`` after the last one."""
        assert self.pending is not None, 'a read has been begun'
        part = self.pending.result()
        self.pending = None
        return part

    async def close(self) -> None:
        """Stop reading and close the connection."""
        if self.pending is not None:
            self.pending.cancel()
            await asyncio.gather(self.pending, return_exceptions=True)
        await self.parts.aclose()

    def find_limit_at(self, limits: SilenceLimits) -> float:
        """Return the monotonic time at which it has been silent for too long."""
        if self.attempt.head_at is not None:
            return max(self.since, self.attempt.head_at) + limits.gap_s
        reopened = self.step is NextStep.REOPEN
        return self.since + (limits.gap_s if reopened else limits.head_s)


class AttemptRace:
    """Wait until an attempt makes progress; try another one while all are suspected.

    :param readings: what is read; changed as attempts fail and others are tried.
    :param suspect: notes a suspected reading; returns one to be read beside it, if any.
    :param fail: notes a failed reading; returns one to be read in its place, if any.
    :param find_other: returns another reading once there is an attempt to make.
    """

    def __init__(
        self,
        readings: list[Reading],
        limits: SilenceLimits,
        suspect: Callable[[Reading], Reading | None],
        fail: Callable[[Reading], Awaitable[Reading | None]],
        find_other: Callable[[], Awaitable[Reading]],
        clock: Clock,
    ) -> None:
        self._readings = readings
        self._limits = limits
        self._suspect = suspect
        self._fail = fail
        self._find_other = find_other
        self._clock = clock
        self._timeouts = TimeoutFilter()
        self._finding: asyncio.Task[Reading] | None = None

    async def wait(self) -> tuple[Reading, dict[str, Any] | None]:
        """Return the first reading that has a part, and the part.

        The part is ``None`` where the reading has ended: whole, as the last one, or
        with an answer that no other one would better.
        """
        try:
            while True:
                await self._wait_for_any()
                self._add_found()
                for reading in tuple(self._readings):
                    if reading.pending is None or not reading.pending.done():
                        continue
                    part = reading.take_part()
                    if part is not None or reading.attempt.is_whole:
                        return reading, part
                    is_last = len(self._readings) == 1 and not self._has_found()
                    if is_last or reading.attempt.is_declined:
                        return reading, None
                    self._readings.remove(reading)
                    self._add(await self._fail(reading))
                self._suspect_silent()
        finally:
            # Dropped with the others if it was found in the meantime.
            self._add_found()
            if self._finding is not None:
                self._finding.cancel()

    async def _wait_for_any(self) -> None:
        """Wait until a part or another reading is there, or a silence is too long."""
        now = self._clock()
        tasks: set[asyncio.Task[Any]] = {item.read_on(now) for item in self._readings}
        wait_s = None
        limits = [
            item.find_limit_at(self._limits)
            for item in self._readings
            if not item.suspected
        ]
        if limits:
            # The head of an answer may arrive meanwhile, and end the wait earlier.
            wait_s = min(max(0.0, min(limits) - now), self._limits.gap_s)
        elif self._finding is None:
            self._finding = asyncio.create_task(self._begin_other())
        if self._finding is not None:
            tasks.add(self._finding)
        await asyncio.wait(tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        if wait_s is not None and not self._timeouts.holds(wait_s, self._clock() - now):
            # What arrived while this process stood still is yet to be read.
            for item in self._readings:
                item.since = self._clock()

    async def _begin_other(self) -> Reading:
        return await self._find_other()

    def _has_found(self) -> bool:
        return self._finding is not None and self._finding.done()

    def _add_found(self) -> None:
        if self._finding is not None and self._finding.done():
            self._add(self._finding.result())
            self._finding = None

    def _add(self, reading: Reading | None) -> None:
        if reading is not None:
            self._readings.append(reading)

    def _suspect_silent(self) -> None:
        now = self._clock()
        for reading in tuple(self._readings):
            if reading.suspected or reading.pending is None:
                continue
            if reading.find_limit_at(self._limits) <= now:
                reading.suspected = True
                self._add(self._suspect(reading))
