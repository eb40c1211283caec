"""Choice of a replica: one pure function with weights from the settings."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.peers.topology import pick_first

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coursepitch.config.settings import RoutingSettings
    from coursepitch.serving.evidence import Servable

__all__ = ['Choice', 'choose_replica', 'hash_prefix']

#: Characters at the start of a prompt that decide which cache may hold it.
PREFIX_CHARS = 256


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen replica and the costs of all that were weighed."""

    replica: Servable
    costs: dict[str, float]

    def explain(self) -> str:
        """Return the costs as a text for the time line."""
        parts = [f'{name}={cost:.2f}' for name, cost in sorted(self.costs.items())]
        return ' '.join(parts)


def hash_prefix(prompt: str) -> str:
    """Return the name of a prompt's prefix."""
    return hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()[:16]


def choose_replica(
    candidates: Iterable[Servable],
    prefix: str,
    zone: str,
    in_flight: Mapping[str, int],
    slowness: Mapping[str, float],
    weights: RoutingSettings,
) -> Choice | None:
    """Return the cheapest replica, or ``None`` when all are at their limit.

    The replica that ranks first for a prefix by rendezvous hashing is taken
    to hold it: all nodes agree on it without a word, and no cache events are
    needed.  Its gain is bounded, so load moves requests away.

    :param in_flight: requests of this node on each replica.
    :param slowness: time to the first chunk relative to the group, 1 is usual.
    """
    open_ones = [
        item
        for item in candidates
        if in_flight.get(item.name, 0) < weights.replica_limit
    ]
    if not open_ones:
        return None
    preferred = ''
    if prefix:
        preferred = pick_first(prefix, [item.name for item in open_ones])
    costs = {}
    for item in open_ones:
        load = max(in_flight.get(item.name, 0), item.reported)
        cost = weights.load_weight * load
        cost += weights.zone_weight * (item.availability_zone != zone)
        cost += weights.slow_weight * max(0.0, slowness.get(item.name, 1.0) - 1.0)
        cost -= weights.prefix_weight * (item.name == preferred)
        costs[item.name] = cost
    best = min(open_ones, key=lambda item: (costs[item.name], item.name))
    return Choice(best, costs)
