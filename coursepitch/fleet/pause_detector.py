"""Detection of pauses in which this process did not run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['PauseDetector', 'TimeoutFilter', 'has_passed_late', 'sleep_running']

#: Seconds between two ticks that count as a pause.  Ticks come every 0.25 s, and a
#: node that missed three of them is late in processing all its messages.
PAUSE_THRESHOLD_S = 1.0

#: Seconds by which a timeout may pass late while the process runs: on a busy machine a
#: turn of its event loop takes some tens of milliseconds.
MAX_TIMEOUT_DELAY_S = 0.1


@dataclass(eq=False)
class PauseDetector:
    """Detector of pauses, after which what the process observes is out of date.

    A process that was stopped, was starved of CPU time or ran on a suspended machine
    finds its connections closed, and would mistake instances that were replaced
    meanwhile for crashed ones.
    """

    clock: Clock
    _ticked_at: float | None = None
    _since: float = float('-inf')

    def note_tick(self) -> None:
        """Record that the process runs now."""
        now = self.clock()
        if self._ticked_at is not None and now - self._ticked_at >= PAUSE_THRESHOLD_S:
            self._since = now
        self._ticked_at = now

    def has_run_since(self, at: float) -> bool:
        """Whether the process has run without a pause since a reading of the clock."""
        self.note_tick()
        return self._since <= at


def has_passed_late(timeout_s: float, took_s: float) -> bool:
    """Whether a timeout passed so late that this process did not run meanwhile.

    What was awaited may then have arrived in time without having been processed.

    :param took_s: seconds from the beginning until the timeout was processed.
    """
    return took_s > timeout_s + MAX_TIMEOUT_DELAY_S


class TimeoutFilter:
    """Tell which timeouts of one wait hold: not the first that passes late.

    A pause makes one timeout late.  An overloaded process is late time after time, and
    would otherwise never find anything silent.
    """

    def __init__(self) -> None:
        self._was_late = False

    def holds(self, timeout_s: float, took_s: float) -> bool:
        """Whether a timeout tells that nothing arrived while this process ran.

        A wait that ended before its timeout tells nothing of the process.

        :param took_s: seconds from the beginning until the timeout was processed.
        """
        if took_s < timeout_s:
            return True
        late = has_passed_late(timeout_s, took_s)
        holds = self._was_late or not late
        self._was_late = late
        return holds


async def sleep_running(
    clock: Clock, seconds: float, since: float | None = None
) -> None:
    """Sleep until this process has run for some seconds without a pause.

    :param since: monotonic time since which it has run; now by default.
    """
    timeouts = TimeoutFilter()
    began_at = clock() if since is None else since
    while True:
        asked_at = clock()
        left_s = max(0.0, began_at + seconds - asked_at)
        await anyio.sleep(left_s)
        began_at = clock()
        if timeouts.holds(left_s, began_at - asked_at):
            return
