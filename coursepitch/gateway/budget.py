"""The retry budget, which all nodes share without coordination.

In each window, the retries of a service may amount to a ratio of its requests plus a
constant.  A node uses its share of both, see :mod:`coursepitch.fleet.shares`, because
it knows neither what its own process used before a restart nor what was used by nodes
that have gone.  A node that started recently borrows retries from its peers, see
:mod:`coursepitch.fleet.retry_loans`.
"""

from __future__ import annotations

import collections
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.fleet.shares import LimitFractions

__all__ = ['RetryBudget']

#: Share of the constant that is used.  The rest is a margin for partitioned nodes,
#: which do not learn of added nodes and so divide the constant by too few.
EXTRA_SHARE = 0.8

#: Largest share of a node's retries in a window that it lends to peers.
LENT_SHARE = 0.5


@dataclass(eq=False)
class _Window:
    first_sends: collections.deque[float] = field(default_factory=collections.deque)
    retries: collections.deque[float] = field(default_factory=collections.deque)
    lent: collections.deque[float] = field(default_factory=collections.deque)


@dataclass(eq=False)
class RetryBudget:
    """Limit the retries of each service over a sliding window.

    :param ratio: retries allowed per request.
    :param extra: retries allowed per window over all nodes, whatever the traffic.
    :param window_s: length of the window in seconds.
    :param offset: random number from 0 to 1 that is added to the limit before rounding
        down, so that rounding loses nothing over all nodes.  Without it, 150 nodes
        with a limit of 0.73 each sent no retries; with it, 105 in a window.
    """

    ratio: float
    extra: float
    window_s: float
    clock: Clock
    offset: float = field(default_factory=random.random)
    _windows: dict[str, _Window] = field(default_factory=dict)

    def note_request(self, service: str) -> None:
        """Count the first send of a request."""
        window = self._windows.setdefault(service, _Window())
        window.first_sends.append(self.clock())

    def has_room(self, service: str, share: LimitFractions) -> bool:
        """Whether a retry could be taken now.

        :param share: this node's share of the budget.
        """
        window = self._read_window(service)
        return len(window.retries) + 1 <= self._find_bound(window, share) + self.offset

    def take(self, service: str, share: LimitFractions, request: str = '') -> bool:
        """Take one retry; return ``False`` if the budget is used up.

        :param share: this node's share of the budget.
        :param request: id of the request, for the log.
        """
        window = self._read_window(service)
        bound = self._find_bound(window, share)
        granted = self.has_room(service, share)
        log.emit(
            events.RETRY_REQUESTED,
            request=request,
            service=service,
            granted=granted,
            spent=len(window.retries),
            requests=len(window.first_sends),
            bound=round(bound, 2),
            part=round(share.constant, 4),
            traffic=round(share.traffic, 3),
        )
        if granted:
            window.retries.append(self.clock())
        return granted

    def lend(self, service: str, share: LimitFractions, peer: str) -> bool:
        """Take one retry on behalf of a peer; return ``False`` if none is left to lend.

        Retries that are lent count as this node's own, and are at most
        :data:`LENT_SHARE` of them, so that its own requests keep the rest.

        :param share: this node's share of the budget.
        """
        window = self._read_window(service)
        bound = self._find_bound(window, share)
        granted = (
            len(window.retries) + 1 <= bound + self.offset
            and len(window.lent) + 1 <= bound * LENT_SHARE + self.offset
        )
        log.emit(
            events.RETRY_LENT,
            peer=peer,
            service=service,
            granted=granted,
            spent=len(window.retries),
            lent=len(window.lent),
            bound=round(bound, 2),
        )
        if granted:
            window.retries.append(self.clock())
            window.lent.append(self.clock())
        return granted

    def _read_window(self, service: str) -> _Window:
        """Return the current window of a service, without what is older."""
        window = self._windows.setdefault(service, _Window())
        start = self.clock() - self.window_s
        for times in (window.first_sends, window.retries, window.lent):
            while times and times[0] < start:
                times.popleft()
        return window

    def _find_bound(self, window: _Window, share: LimitFractions) -> float:
        """Return the largest number of retries of this node in a window."""
        bound = self.ratio * share.traffic * len(window.first_sends)
        return bound + self.extra * EXTRA_SHARE * share.constant
