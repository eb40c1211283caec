"""Whether this process ran all the time, or stood still for a while."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['Standstill']

#: Seconds between two ticks from which the process stood still.  Source: ticks come
#: every 0.25 s, and a node that is late by three is behind with all that it hears.
STAND_S = 1.0


@dataclass(eq=False)
class Standstill:
    """Ticks of a process; what it sees just after it stood still is old.

    A process that was stopped, starved or on a suspended machine finds its connections
    closed and takes instances that were replaced meanwhile for crashed ones.
    """

    clock: Clock
    _ticked_at: float | None = None
    _since: float = float('-inf')

    def note_tick(self) -> None:
        """Note that the process runs now."""
        now = self.clock()
        if self._ticked_at is not None and now - self._ticked_at >= STAND_S:
            self._since = now
        self._ticked_at = now

    def has_run_since(self, at: float) -> bool:
        """Whether the process ran without a break since a reading of the clock."""
        self.note_tick()
        return self._since <= at
