"""One node's share of a limit that applies to all nodes together.

A limit over a sliding window counts what all processes did in it, including those that
have ended.  So a node's share must leave room for every node that may still use one,
and a process must not use the share that an earlier process of its node has used.

The part of a limit that is proportional to traffic is divided in the same way.  A
process uses only a small share in its first window, which the others leave unused, as
the process before it may have used all the rest.  And a node that takes over traffic of
dead nodes uses a smaller fraction of it, as these may already have used their shares.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.clock import Clock

__all__ = ['LimitFractions', 'LimitShare']

#: Fractions of the allowance for a node's traffic that it uses once it has run for a
#: window, and before that.  Together they leave a tenth unused, as a request may be
#: sent up to a second, a tenth of the users' windows, after it was granted.  Simulated:
#: 58 nodes that use all they can, of which nine tenths are killed, use 0.90 of what
#: users allow, and 1.34 if both fractions are 0.9.
SETTLED_FRACTION = 0.75
STARTING_FRACTION = 0.15

#: Seconds for which a node counts as live after it was last heard of.  A peer that
#: aggregates reports of others may be lost, and its successors hear from all within
#: this time.
LIVE_TIMEOUT_S = 2.0

#: Windows for which a node that is no longer listed still counts: one for what it has
#: used, one for what it uses in the windows of other nodes, and one for which a node
#: that can't renew its lease may continue.
COUNTED_WINDOWS = 3

#: Seconds after which all nodes know of a change to the list of nodes: 0.7 s between
#: two watches, and 0.65 s until a node that missed a message asks the store.
LIST_LAG_S = 2.0

#: Seconds after which all nodes know each other at the system's first start: they start
#: within 0.3 s of each other and hear of changes within 0.7 s.
FIRST_START_LAG_S = 1.0


@dataclass(frozen=True, slots=True)
class LimitFractions:
    """A node's share of a limit that all nodes have in common.

    :param constant: fraction, from 0 to 1, of the allowance that is independent of
        traffic.
    :param traffic: fraction, from 0 to 1, of the allowance for this node's own traffic.
    """

    constant: float
    traffic: float


@dataclass(eq=False)
class LimitShare:
    """Computes one node's share of a limit over a sliding window.

    A node gets a share once its lease has been active for a window, so that no earlier
    process of the node can have used the share in the same window.  With a share from
    the start, nine nodes that were killed three times within ten seconds made 447
    retries where 391 were allowed.  A node keeps its share for some time while the
    store is unreachable, as the others count it for longer than that.

    At the first start of the whole system there was no earlier process, so no node has
    to wait for a window.

    :param window_s: length of the window in seconds.
    :param first_start: whether this is the first start of the whole system.
    """

    window_s: float
    clock: Clock
    first_start: bool = False
    _last_listed_at: dict[str, float] = field(default_factory=dict)
    _live: dict[int, float] = field(default_factory=dict)
    _started_at: float = float('-inf')
    _lease_active_since: float = float('inf')
    _lease_active_at: float = float('-inf')

    def __post_init__(self) -> None:
        self._started_at = self.clock()

    def note_live(self, count: int) -> None:
        """Record how many nodes are heard from now, including this one."""
        self._live[count] = self.clock()

    def note_nodes(self, names: Iterable[str]) -> None:
        """Record which nodes are listed now."""
        now = self.clock()
        for name in names:
            self._last_listed_at[name] = now

    def note_listed(self) -> None:
        """Record that the lease under which this node is listed is active."""
        now = self.clock()
        if now - self._lease_active_at > self._share_kept_s:
            self._lease_active_since = now
        self._lease_active_at = now

    @property
    def _share_kept_s(self) -> float:
        """Seconds without a lease for which the node keeps its share."""
        return (COUNTED_WINDOWS - 1) * self.window_s - LIST_LAG_S

    def count(self) -> int:
        """Return the number of nodes that may use a share in this window."""
        start = self.clock() - COUNTED_WINDOWS * self.window_s
        for name in [name for name, at in self._last_listed_at.items() if at < start]:
            del self._last_listed_at[name]
        return max(1, len(self._last_listed_at))

    def find_fractions(self) -> LimitFractions:
        """Return this node's current share."""
        return LimitFractions(self._find_constant(), self._find_traffic())

    def find_settled_at(self) -> float:
        """Return the time from which the node uses its whole share.

        Infinite while its lease is not active.
        """
        if self.clock() - self._lease_active_at > self._share_kept_s:
            return float('inf')
        return max(self._lease_active_since, self._traffic_since) + self._wait_s

    @property
    def _wait_s(self) -> float:
        """Seconds from the activation of the lease to the use of a share."""
        return FIRST_START_LAG_S if self.first_start else self.window_s + LIST_LAG_S

    @property
    def _traffic_since(self) -> float:
        """Time from which the node may count its own traffic."""
        return float('-inf') if self.first_start else self._started_at

    def _find_constant(self) -> float:
        now = self.clock()
        if now - self._lease_active_at > self._share_kept_s:
            return 0.0
        if now - self._lease_active_since < self._wait_s:
            return 0.0
        return 1.0 / self.count()

    def _find_traffic(self) -> float:
        now = self.clock()
        if now - self._traffic_since < self._wait_s:
            return STARTING_FRACTION
        self._live = {
            count: at for count, at in self._live.items() if now - at < LIVE_TIMEOUT_S
        }
        live = max(self._live, default=1)
        return SETTLED_FRACTION * min(1.0, live / self.count())
