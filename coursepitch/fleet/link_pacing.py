"""Share of a node's network link that messages to its peers may take.

A node that many others link to sends each change to all of them.  What it sends to
instances and clients uses the same link and would wait behind.
"""

from __future__ import annotations

import collections
import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['BACKGROUND_SHARE', 'LINK_SHARE', 'LinkPacer', 'PacedQueue', 'Pacing']

#: Share of the link's speed that messages to peers may use, and the part for those in
#: the background.
LINK_SHARE = 0.75
BACKGROUND_SHARE = 0.25

#: Weight of bytes that did not wait.  The heartbeats of a node that hundreds link to
#: alone may take most of the share, and other messages still have to leave.
UNPACED_WEIGHT = 0.5

#: Seconds of that share that may be sent at once.
BURST_S = 0.05

BYTES_PER_MBIT = 125_000


class LinkPacer:
    """Assigns each message the time at which it may be sent, for all links together.

    :param mbit_s: speed of the node's network link in Mbit/s; 0 if it is unknown, and
        nothing waits.
    :param share: share of it that may be used.
    """

    def __init__(
        self, clock: Clock, mbit_s: float = 0.0, share: float = LINK_SHARE
    ) -> None:
        self._clock = clock
        self._bytes_per_s = mbit_s * BYTES_PER_MBIT * share
        self._free_at = float('-inf')

    def reserve(self, size: int) -> float:
        """Return the monotonic time from which a message of some bytes may be sent."""
        now = self._clock()
        if not self._bytes_per_s:
            return now
        begin = max(now, self._free_at)
        self._free_at = begin + size / self._bytes_per_s
        return max(now, begin - BURST_S)

    def note_sent(self, size: int) -> None:
        """Count bytes that did not wait."""
        self.reserve(round(size * UNPACED_WEIGHT))


class Pacing(enum.Enum):
    """How a message waits for the network link."""

    NORMAL = 'normal'
    BACKGROUND = 'background'


@dataclass(eq=False)
class PacedQueue:
    """Messages to one peer that wait for their share of the network link.

    :param messages: encoded messages, each after its kind.
    :param due_at: time from which the first of these may be sent; ``None`` if it has
        none yet.
    """

    messages: collections.deque[tuple[str, bytes]] = field(
        default_factory=collections.deque
    )
    due_at: float | None = None

    def find_delay_s(self, pacer: LinkPacer, now: float) -> float:
        """Return the seconds until the first message; infinity for none."""
        if not self.messages:
            return float('inf')
        if self.due_at is None:
            self.due_at = pacer.reserve(len(self.messages[0][1]))
        return max(0.0, self.due_at - now)

    def take(self) -> tuple[str, bytes]:
        """Return the first message, whose time has come."""
        self.due_at = None
        return self.messages.popleft()
