"""Tracks for how long the store has answered without a gap, as seen by one node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['StoreContact']

#: Maximum seconds between two responses of the store for it to count as available
#: throughout.  In normal operation a node learns of one at least every 1.6 s.  An entry
#: expires after three heartbeats of 1.2 s without a write, two of them missed.
GAP_S = 2.0


@dataclass(eq=False)
class StoreContact:
    """The period up to now in which the store answered any node.

    Unanswered requests of a single node don't prove an outage: the store was available
    as long as it answered some node.

    :param since: when the first answered request after the last gap was sent.
    :param newest: when the newest answered request was sent.
    """

    clock: Clock
    since: float = float('-inf')
    newest: float = float('-inf')

    def note_answered(self, asked_at: float) -> bool:
        """Record that the store answered a request that was sent at that time.

        :return: whether this ended a gap.
        """
        if asked_at <= self.newest:
            return False
        gap = asked_at - self.newest > GAP_S
        if gap:
            self.since = asked_at
        self.newest = asked_at
        return gap

    @property
    def uptime_s(self) -> float:
        """Seconds for which the store has answered without a gap, up to now."""
        now = self.clock()
        return 0.0 if now - self.newest > GAP_S else now - self.since
