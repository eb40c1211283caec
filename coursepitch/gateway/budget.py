"""The budget for second sends, which all nodes share without talking.

In each window, the sends of a service beyond the first of each request may be
a share of the requests plus a constant.  A node takes the share of its own
requests and an equal part of the constant.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['RetryBudget']

#: Part of the budget that is used, as nodes count live nodes a little late.
USED_PART = 0.7


@dataclass(eq=False)
class _Window:
    firsts: collections.deque[float] = field(default_factory=collections.deque)
    agains: collections.deque[float] = field(default_factory=collections.deque)


@dataclass(eq=False)
class RetryBudget:
    """Counts first and second sends by service over a sliding window.

    :param ratio: second sends for each request.
    :param extra: second sends a window over all nodes, whatever the traffic.
    """

    ratio: float
    extra: float
    window_s: float
    clock: Clock
    _windows: dict[str, _Window] = field(default_factory=dict)

    def note_request(self, service: str) -> None:
        """Count a request for a service."""
        window = self._windows.setdefault(service, _Window())
        window.firsts.append(self.clock())

    def take(self, service: str, nodes: int, request: str = '') -> bool:
        """Take one second send; ``False`` if the budget is used up.

        :param request: id of the request, for the log.
        """
        window = self._windows.setdefault(service, _Window())
        start = self.clock() - self.window_s
        for times in (window.firsts, window.agains):
            while times and times[0] < start:
                times.popleft()
        bound = self.ratio * len(window.firsts) + self.extra / max(1, nodes)
        granted = len(window.agains) + 1 <= bound * USED_PART
        log.emit(
            events.SEND_AGAIN,
            request=request,
            service=service,
            granted=granted,
            spent=len(window.agains),
            requests=len(window.firsts),
            bound=round(bound * USED_PART, 2),
            nodes=nodes,
        )
        if granted:
            window.agains.append(self.clock())
        return granted
