"""Load and health of instances, as observed by this node's own requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance

__all__ = ['LoadTracker']

#: Seconds for which an instance is avoided after one failure.  Each further
#: consecutive failure doubles the time, up to the maximum.
INITIAL_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 6.0

#: Weight of a new sample in the moving average of slowness.
SAMPLE_WEIGHT = 0.25

#: Lower bound of slowness.
MIN_SLOWNESS = 0.5

#: Time constant in seconds of the decay of slowness.  An instance may have become
#: faster, which only another response shows, so it must get requests again.
SLOWNESS_DECAY_S = 10.0


@dataclass(eq=False)
class _Record:
    in_flight: int = 0
    failures: int = 0
    avoided_until: float = float('-inf')
    slowness: float = 1.0
    sampled_at: float = float('-inf')
    answered_send_at: float = float('-inf')


@dataclass(eq=False)
class LoadTracker:
    """Track requests in flight, failures and slowness of each instance.

    :param count_peers: returns the requests in flight to an instance from other nodes.
    """

    clock: Clock
    count_peers: Callable[[str], int] = lambda instance: 0
    _records: dict[str, _Record] = field(default_factory=dict)
    _outdated: dict[str, FleetInstance] = field(default_factory=dict)

    def _record(self, instance: str) -> _Record:
        return self._records.setdefault(instance, _Record())

    def begin(self, instance: str) -> None:
        """Count a request as in flight to an instance."""
        self._record(instance).in_flight += 1

    def end(self, instance: str) -> None:
        """Remove a finished request from the count in flight."""
        self._record(instance).in_flight -= 1

    def count_in_flight(self, instance: str) -> int:
        """Return the requests in flight to an instance, including those of peers."""
        return self._record(instance).in_flight + self.count_peers(instance)

    def count_other_nodes(self, instance: str) -> int:
        """Return the requests in flight to an instance from other nodes."""
        return self.count_peers(instance)

    def count_own(self) -> dict[str, int]:
        """Return this node's requests in flight by instance."""
        return {
            name: item.in_flight
            for name, item in self._records.items()
            if item.in_flight
        }

    def note_response_start(self, instance: str, sent_at: float) -> None:
        """Record that the response to a request sent at that time has started."""
        record = self._record(instance)
        record.answered_send_at = max(record.answered_send_at, sent_at)

    def was_overtaken(self, instance: str, sent_at: float) -> bool:
        """Whether a request sent later already has the start of its response."""
        return self._record(instance).answered_send_at > sent_at

    def note_failure(self, instance: str) -> None:
        """Record a failure, and avoid the instance for some time."""
        record = self._record(instance)
        record.failures += 1
        avoidance_s = min(
            MAX_AVOIDANCE_S, INITIAL_AVOIDANCE_S * 2 ** min(record.failures - 1, 8)
        )
        record.avoided_until = self.clock() + avoidance_s

    def avoid(self, instance: str, seconds: float) -> None:
        """Avoid an instance for some seconds after it rejected another node."""
        record = self._record(instance)
        record.avoided_until = max(record.avoided_until, self.clock() + seconds)

    def note_success(self, instance: str, slowness: float | None = None) -> None:
        """Record a successful response.

        :param slowness: ratio of its duration to the expected duration.
        """
        record = self._record(instance)
        record.failures = 0
        record.avoided_until = float('-inf')
        if slowness is not None:
            before = self.slowness(instance)
            sample = max(MIN_SLOWNESS, slowness)
            record.slowness = before + SAMPLE_WEIGHT * (sample - before)
            record.sampled_at = self.clock()

    def note_restart(self, instance: str) -> None:
        """Reset the record of a restarted instance, except its requests in flight."""
        record = self._record(instance)
        self._records[instance] = _Record(in_flight=record.in_flight)
        self._outdated.pop(instance, None)

    def note_outdated(self, instance: FleetInstance) -> None:
        """Record that an instance no longer matches its entry in the store.

        The instance is avoided until its entry changes.  Otherwise a node that gets no
        updates keeps sending to heads that have left: with a third of the nodes cut off
        for a day, 99 of 3,654 requests were refused because such sends had used up the
        retry budget.
        """
        self._outdated[instance.name] = instance

    def is_outdated(self, instance: FleetInstance) -> bool:
        """Whether an instance is known not to match its present entry."""
        return self._outdated.get(instance.name) is instance

    def is_avoided(self, instance: str) -> bool:
        """Whether an instance is avoided after a recent failure."""
        return self._record(instance).avoided_until > self.clock()

    def slowness(self, instance: str) -> float:
        """Return the slowness of an instance; 1 means as fast as expected."""
        record = self._record(instance)
        if record.sampled_at == float('-inf'):
            return record.slowness
        age_s = self.clock() - record.sampled_at
        above = record.slowness - MIN_SLOWNESS
        return MIN_SLOWNESS + above * math.exp(-age_s / SLOWNESS_DECAY_S)

    def forget(self, present: set[str]) -> None:
        """Drop the records of instances that are gone and have nothing in flight.

        :param present: names of the instances that are listed.
        """
        for name in list(self._records):
            if name not in present and self._records[name].in_flight <= 0:
                del self._records[name]
        for name in [name for name in self._outdated if name not in present]:
            del self._outdated[name]
