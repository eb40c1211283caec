"""The part of a limit over all nodes that one node may use by itself.

A limit over a sliding window holds for what all processes did in it, also those that
are gone.  So a node's part has to leave room for every node that may still use one,
and a process must not use the part that an earlier start of its node has used.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.clock import Clock

__all__ = ['LimitShare']

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
    _listed_since: float = float('inf')
    _listed_at: float = float('-inf')

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

    def find_part(self) -> float:
        """Return the part of the limit that this node may use, from 0 to 1."""
        now = self.clock()
        if now - self._listed_at > self._kept_s:
            return 0.0
        wait_s = FIRST_LIST_S if self.first_start else self.window_s + LIST_LAG_S
        if now - self._listed_since < wait_s:
            return 0.0
        return 1.0 / self.count()
