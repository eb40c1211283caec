"""Selection of replicas from the cluster state that this node knows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coursepitch.serving.routing import Choice, choose_replica
from coursepitch.serving.servable import (
    ServableReplica,
    is_excluded_after_failure,
    list_servable_replicas,
)
from coursepitch.serving.slowness import SlownessMeter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.clock import Clock
    from coursepitch.config.settings import RoutingSettings
    from coursepitch.peers.hub import PeerHub

__all__ = ['ReplicaSelector']

#: Seconds for which the list of replicas is cached.
CACHE_S = 0.05


class ReplicaSelector:
    """Selects replicas by reported health and by this node's own calls.

    :param zone: availability zone of this node.
    :param evidence_limit_s: age in seconds above which a health report is ignored.
    """

    def __init__(
        self,
        hub: PeerHub,
        zone: str,
        weights: RoutingSettings,
        evidence_limit_s: float,
        clock: Clock,
    ) -> None:
        self._hub = hub
        self._zone = zone
        self._weights = weights
        self._evidence_limit_s = evidence_limit_s
        self._clock = clock
        self._failed_at: dict[str, float] = {}
        self._silent_at: dict[str, float] = {}
        self._slowness = SlownessMeter()
        self._cached_groups: dict[str, list[ServableReplica]] = {}
        self._cached_at = 0.0
        self._cached_expected: dict[str, list[ServableReplica]] = {}
        self._expected_at = float('-inf')

    def list_servable_replicas(self, groups: tuple[str, ...]) -> list[ServableReplica]:
        """Return the replicas of the given groups that can serve now."""
        now = self._clock()
        hold_s = self._weights.failure_hold_s
        return [
            item
            for group in groups
            for item in self._list_by_group(now).get(group, ())
            if now - item.reported_at <= self._evidence_limit_s
            if not is_excluded_after_failure(item, self._failed_at, now, hold_s)
            if not is_excluded_after_failure(item, self._silent_at, now, hold_s)
        ]

    def count_expected(self, groups: tuple[str, ...]) -> int:
        """Return the number of replicas that can serve or may serve again.

        These include replicas that only silence speaks against, or the age of the last
        report, which the table of records bounds.
        """
        now = self._clock()
        hold_s = self._weights.failure_hold_s
        return sum(
            not is_excluded_after_failure(item, self._failed_at, now, hold_s)
            for group in groups
            for item in self._list_expected_by_group(now).get(group, ())
        )

    def _list_expected_by_group(self, now: float) -> dict[str, list[ServableReplica]]:
        """Return the replicas whose end is not proven by group, cached as above."""
        if now - self._expected_at < CACHE_S:
            return self._cached_expected
        # A report is old if no engine answers, or if this node stood still; either way
        # a new one is to be expected.
        self._cached_expected = self._read_by_group(now, math.inf, with_silent=True)
        self._expected_at = now
        return self._cached_expected

    def _list_by_group(self, now: float) -> dict[str, list[ServableReplica]]:
        """Return all replicas by group, cached for a short time.

        With 800 replicas building the list takes milliseconds, while health
        reports arrive only a few times a second.
        """
        if self._cached_groups and now - self._cached_at < CACHE_S:
            return self._cached_groups
        self._cached_groups = self._read_by_group(now, self._evidence_limit_s)
        self._cached_at = now
        return self._cached_groups

    def _read_by_group(
        self, now: float, limit_s: float, *, with_silent: bool = False
    ) -> dict[str, list[ServableReplica]]:
        found = list_servable_replicas(
            self._hub.records('domain'),
            self._hub.records('load'),
            self._hub.records('fleet'),
            now,
            limit_s,
            with_silent=with_silent,
        )
        by_group: dict[str, list[ServableReplica]] = {}
        for item in found:
            by_group.setdefault(item.group, []).append(item)
        return by_group

    def choose(
        self,
        groups: tuple[str, ...],
        prefix_hash: str,
        in_flight: Mapping[str, int],
        tried: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Choose a replica that has not been tried.

        :param in_flight: requests of this node by replica.
        :param tried: names of replicas to leave out.
        """
        found = [
            item
            for item in self.list_servable_replicas(groups)
            if item.name not in tried
        ]
        names = [item.name for item in found]
        slowness = self._slowness.read(names, self._clock())
        return choose_replica(
            found, prefix_hash, self._zone, in_flight, slowness, self._weights
        )

    def record_failure(self, replica: str) -> None:
        """Record a failed call, which invalidates earlier health reports."""
        self._failed_at = self._add_time(self._failed_at, replica)

    def record_silence(self, replica: str) -> None:
        """Record a silent call: others are chosen until a later report on the replica.

        It may go on, so requests wait for it where no other replica serves.
        """
        self._silent_at = self._add_time(self._silent_at, replica)

    def _add_time(self, times: Mapping[str, float], replica: str) -> dict[str, float]:
        now = self._clock()
        kept = {name: at for name, at in times.items() if at > now - 60}
        return {**kept, replica: now}

    def record_first_chunk(self, replica: str, seconds: float) -> None:
        """Record a time to the first chunk."""
        self._slowness.add_sample(replica, seconds, self._clock())
