"""Weighted fair sharing of work between customers, by virtual time.

Each customer has a start tag, the virtual time at which its next request starts.  The
customer with the lowest tag is served next, and the work of its request, divided by its
weight, is added to its tag.  Virtual time is the tag of the customer served last.  A
customer that had nothing to serve starts at the present virtual time, so that it
neither saves up time nor has to catch up (Goyal, Vin and Cheng, "Start-time fair
queueing", 1996).
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ['VirtualTime']

#: Customers above which tags that have no effect any more are dropped.
MAX_IDLE_TAGS = 1_024


@dataclass(eq=False)
class VirtualTime:
    """Virtual time and the finish tags of customers."""

    now: float = 0.0
    _finish_tags: dict[str, float] = field(default_factory=dict)

    def find_start(self, customer: str) -> float:
        """Return the start tag of a customer that has nothing waiting."""
        return max(self.now, self._finish_tags.get(customer, 0.0))

    def charge(self, customer: str, start: float, cost: float) -> float:
        """Charge a customer for a request; return the start tag of its next one.

        :param start: start tag of the request.
        :param cost: work of the request, divided by the customer's weight.
        """
        self.now = max(self.now, start)
        finish = start + cost
        self._finish_tags[customer] = finish
        if len(self._finish_tags) > MAX_IDLE_TAGS:
            self._drop_past_tags()
        return finish

    def _drop_past_tags(self) -> None:
        self._finish_tags = {
            name: tag for name, tag in self._finish_tags.items() if tag > self.now
        }
