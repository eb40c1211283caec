"""Choice of a replica by weighted costs."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.peers.topology import pick_first

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coursepitch.config.settings import RoutingSettings
    from coursepitch.serving.servable import ServableReplica

__all__ = ['Choice', 'choose_replica', 'hash_prefix']

#: Characters at the start of a prompt that form the key for cache affinity.
PREFIX_CHARS = 256


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen replica and the costs of all candidates."""

    replica: ServableReplica
    costs: dict[str, float]

    def format_costs(self) -> str:
        """Return the costs as a string for the log."""
        parts = [f'{name}={cost:.2f}' for name, cost in sorted(self.costs.items())]
        return ' '.join(parts)


def hash_prefix(prompt: str) -> str:
    """Return the hash of a prompt's prefix."""
    return hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()[:16]


def choose_replica(
    candidates: Iterable[ServableReplica],
    prefix_hash: str,
    zone: str,
    in_flight: Mapping[str, int],
    slowness: Mapping[str, float],
    weights: RoutingSettings,
) -> Choice | None:
    """Return the replica with the lowest cost, or ``None`` if all are at their limit.

    Rendezvous hashing selects the replica that is assumed to have a prefix in its
    cache: all nodes select the same one without communication or cache events.
    The bonus of this replica is bounded, so load still moves requests away.

    :param prefix_hash: hash of the prompt's prefix; empty for no affinity.
    :param zone: availability zone of this node.
    :param in_flight: requests of this node by replica.
    :param slowness: time to the first chunk relative to the group's median.
    """
    available = [
        item
        for item in candidates
        if in_flight.get(item.name, 0) < weights.replica_limit
    ]
    if not available:
        return None
    preferred = ''
    if prefix_hash:
        preferred = pick_first(prefix_hash, [item.name for item in available])
    costs = {}
    for item in available:
        load = max(in_flight.get(item.name, 0), item.reported_load)
        cost = weights.load_weight * load
        cost += weights.zone_weight * (item.availability_zone != zone)
        cost += weights.slow_weight * max(0.0, slowness.get(item.name, 1.0) - 1.0)
        cost -= weights.prefix_weight * (item.name == preferred)
        costs[item.name] = cost
    best = min(available, key=lambda item: (costs[item.name], item.name))
    return Choice(best, costs)
