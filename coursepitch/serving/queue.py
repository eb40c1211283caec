"""Bounded queue of requests that wait for a replica: pure decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ['Waiting', 'choose_evicted', 'choose_next', 'estimate_wait']


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits.

    :param urgency: 0 to 7, 0 first.  Source: RFC 9218.
    :param leave_at: monotonic time at which it is given up.
    """

    request: str
    customer: str
    group: str
    urgency: int
    arrived_at: float
    leave_at: float


def choose_next(
    waiting: Sequence[Waiting], in_flight: Mapping[str, int], group: str
) -> Waiting | None:
    """Return the request to serve next in a group.

    The more urgent first; among these the customer with the fewest requests
    in flight, so that a large one cannot starve a small one; then the oldest.
    """
    here = [item for item in waiting if item.group == group]
    return min(
        here,
        key=lambda item: (
            item.urgency,
            in_flight.get(item.customer, 0),
            item.arrived_at,
        ),
        default=None,
    )


def choose_evicted(waiting: Sequence[Waiting], newcomer: Waiting) -> Waiting:
    """Return the request to give up when the queue is full.

    The least urgent goes first; among these one of the customer that has the
    most waiting; then the newest.  It may be the newcomer itself.
    """
    everyone = [*waiting, newcomer]
    counts: dict[str, int] = {}
    for item in everyone:
        counts[item.customer] = counts.get(item.customer, 0) + 1
    return max(
        everyone,
        key=lambda item: (item.urgency, counts[item.customer], item.arrived_at),
    )


def estimate_wait(ahead: int, completions_per_s: float) -> float:
    """Return the seconds until a request with so many ahead is served.

    Nothing is known without completions; the wait is then taken as short.
    """
    if completions_per_s <= 0:
        return 0.0
    return (ahead + 1) / completions_per_s
