"""Times of a graceful shutdown, which requests have to keep to.

A shutdown ends at a known time.  What is begun must be over by then: a response that is
broken off is lost, whereas another node can take a request that was refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.config.routes import Route

__all__ = ['RETRY_AFTER_S', 'StopSchedule']

#: Seconds of a shutdown in which requests may begin whatever time they have.  Source:
#: the load balancer sends some for up to two seconds; after three, the platform's rules
#: want each response whole.  The rest is a margin for what is on its way.
OPEN_S = 2.5

#: Most time of a call that may be repeated, as a multiple of its objective.  One that
#: takes longer gets a whole error response at the end, unlike a stream, which has
#: begun, and its client may send it again.
CALL_OBJECTIVE_FACTOR = 2.0

#: Retry-After in seconds of a node that stops: others take the request at once.
RETRY_AFTER_S = 0.05


@dataclass(eq=False)
class StopSchedule:
    """When a graceful shutdown began, and when it ends.

    :param began_at: monotonic time of the signal; infinity before it.
    :param end_at: monotonic time at which requests under way are ended.
    """

    began_at: float = float('inf')
    end_at: float = float('inf')

    @property
    def has_begun(self) -> bool:
        """Whether the node is stopping."""
        return self.began_at < float('inf')

    def begin(self, now: float, end_at: float) -> None:
        """Begin the shutdown."""
        self.began_at, self.end_at = now, end_at

    def find_latest_start(
        self, route: Route | None, timeout_s: float, *, streamed: bool
    ) -> float:
        """Return the monotonic time from which a request may not begin.

        A stream has to be whole by the end whatever its instance does.  So has a call
        that may not be repeated: a refusal lets its client send it to another node,
        whereas nobody can tell whether one that is cut off has run.

        :param timeout_s: seconds from its beginning to its deadline.
        """
        if not self.has_begun:
            return float('inf')
        if route is not None and route.repeatable and not streamed:
            timeout_s = min(timeout_s, route.objective_s * CALL_OBJECTIVE_FACTOR)
        return max(self.began_at + OPEN_S, self.end_at - timeout_s)
