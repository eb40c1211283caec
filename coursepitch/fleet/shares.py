"""The part of a limit over all nodes that one node may use by itself.

A limit over a sliding window holds for what all processes did in it, also those that
are gone.  So a node's part has to leave room for every node that may still use one,
and a process must not use the part that an earlier start of its node has used.

What a limit allows for traffic is split in the same way: a process in its first window
lives on a small part that all others leave to it, as the one before it may have used
the rest at once; and a node to which the traffic of dead ones comes uses that much
less of it, as these may have used theirs.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.clock import Clock

__all__ = ['LimitPart', 'LimitShare']

#: Parts of what a limit allows for a node's traffic that it uses once it has run for a
#: window, and before that.  Together they leave a tenth: a send leaves up to a second,
#: a tenth of the users' windows, after it was granted.  58 nodes that all spend what
#: they can, of which nine tenths are killed, spend 0.90 of what users allow; with 0.9
#: for both parts 1.34 (simulated).
SETTLED_PART = 0.75
STARTING_PART = 0.15

#: Seconds for which a node that is heard no more counts as live: a peer that sums up
#: for others may be lost, and its heirs hear all again within that.
LIVE_LAG_S = 2.0

#: Windows for which a node that is no longer listed counts.  One is for what it has
#: used, one for what it uses in the windows of others, and one in which a node that
#: can't renew its lease may go on.
COUNTED_WINDOWS = 3

#: Seconds after which all nodes know of a change of the list.  Source: 0.7 s between
#: two watches, and 0.65 s until a node that missed a message asks the store.
LIST_LAG_S = 2.0

#: Seconds after which all nodes of a system's first start know of each other.  Source:
#: they start within 0.3 s, and hear of changes within 0.7 s.
FIRST_LIST_S = 1.0


@dataclass(frozen=True, slots=True)
class LimitPart:
    """What a node may use of a limit that all nodes share.

    :param constant: part of what is allowed whatever the traffic, from 0 to 1.
    :param traffic: part of what is allowed for this node's own traffic, from 0 to 1.
    """

    constant: float
    traffic: float


@dataclass(eq=False)
class LimitShare:
    """One node's part of a limit over windows of a length.

    A node has a part once its lease has been running for a window, so that an earlier
    start of it used nothing in the same window: with a part from the start on, nine
    nodes that were killed three times within ten seconds made 447 second sends where
    391 were allowed.  It keeps it for a while when the store can't be reached, as the
    others count it for longer than that.

    On the whole system's first start there was no earlier start, so that no node has
    to wait.

    :param window_s: length of the windows.
    :param first_start: whether this is the whole system's first start.
    """

    window_s: float
    clock: Clock
    first_start: bool = False
    _seen: dict[str, float] = field(default_factory=dict)
    _live: dict[int, float] = field(default_factory=dict)
    _started_at: float = float('-inf')
    _listed_since: float = float('inf')
    _listed_at: float = float('-inf')

    def __post_init__(self) -> None:
        self._started_at = self.clock()

    def note_live(self, count: int) -> None:
        """Note how many nodes are heard now, this one too."""
        self._live[count] = self.clock()

    def note_nodes(self, names: Iterable[str]) -> None:
        """Note which nodes are listed now."""
        now = self.clock()
        for name in names:
            self._seen[name] = now

    def note_listed(self) -> None:
        """Note that the lease under which this node is listed runs."""
        now = self.clock()
        if now - self._listed_at > self._kept_s:
            self._listed_since = now
        self._listed_at = now

    @property
    def _kept_s(self) -> float:
        """Seconds without a lease for which the node keeps its part."""
        return (COUNTED_WINDOWS - 1) * self.window_s - LIST_LAG_S

    def count(self) -> int:
        """Return the number of nodes that may use a part in this window."""
        start = self.clock() - COUNTED_WINDOWS * self.window_s
        for name in [name for name, at in self._seen.items() if at < start]:
            del self._seen[name]
        return max(1, len(self._seen))

    def find_part(self) -> LimitPart:
        """Return what this node may use now."""
        return LimitPart(self._find_constant(), self._find_traffic())

    def _find_constant(self) -> float:
        now = self.clock()
        if now - self._listed_at > self._kept_s:
            return 0.0
        wait_s = FIRST_LIST_S if self.first_start else self.window_s + LIST_LAG_S
        if now - self._listed_since < wait_s:
            return 0.0
        return 1.0 / self.count()

    def _find_traffic(self) -> float:
        now = self.clock()
        if not self.first_start and now - self._started_at < self.window_s + LIST_LAG_S:
            return STARTING_PART
        self._live = {
            count: at for count, at in self._live.items() if now - at < LIVE_LAG_S
        }
        live = max(self._live, default=1)
        return SETTLED_PART * min(1.0, live / self.count())
