"""What a node knows of the load and the health of instances from its own sends."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance

__all__ = ['LoadBoard']

#: Seconds for which an instance is passed over after one failure; each further
#: failure in a row doubles it, up to the most.
HOLD_S = 0.5
MOST_HOLD_S = 6.0

#: Weight of a new sample in the average of how slow an instance is.
SAMPLE_WEIGHT = 0.25

#: Lowest slowness of an instance.
LEAST_SLOWNESS = 0.5

#: Seconds after which what is known of a slow instance counts for a third of what it
#: did: it may have become faster, and only a new answer tells.
SLOWNESS_FADES_S = 10.0


@dataclass(eq=False)
class _Record:
    in_flight: int = 0
    failures: int = 0
    held_until: float = float('-inf')
    slowness: float = 1.0
    sampled_at: float = float('-inf')
    begun_sent_at: float = float('-inf')


@dataclass(eq=False)
class LoadBoard:
    """Requests in flight, failures and slowness by instance.

    :param count_peers: returns the requests in flight from other nodes.
    """

    clock: Clock
    count_peers: Callable[[str], int] = lambda instance: 0
    _records: dict[str, _Record] = field(default_factory=dict)
    _outdated: dict[str, FleetInstance] = field(default_factory=dict)

    def _record(self, instance: str) -> _Record:
        return self._records.setdefault(instance, _Record())

    def begin(self, instance: str) -> None:
        """Count a request that is sent to an instance."""
        self._record(instance).in_flight += 1

    def end(self, instance: str) -> None:
        """Count a request that ended there."""
        self._record(instance).in_flight -= 1

    def count(self, instance: str) -> int:
        """Return the requests in flight there, those of peers among them."""
        return self._record(instance).in_flight + self.count_peers(instance)

    def own_counts(self) -> dict[str, int]:
        """Return this node's requests in flight by instance."""
        return {
            name: item.in_flight
            for name, item in self._records.items()
            if item.in_flight
        }

    def note_begun(self, instance: str, sent_at: float) -> None:
        """Note that the answer to a request sent at that time has begun."""
        record = self._record(instance)
        record.begun_sent_at = max(record.begun_sent_at, sent_at)

    def was_overtaken(self, instance: str, sent_at: float) -> bool:
        """Whether an answer has begun there whose request was sent later."""
        return self._record(instance).begun_sent_at > sent_at

    def note_failure(self, instance: str) -> None:
        """Pass an instance over for a while."""
        record = self._record(instance)
        record.failures += 1
        hold_s = min(MOST_HOLD_S, HOLD_S * 2 ** min(record.failures - 1, 8))
        record.held_until = self.clock() + hold_s

    def hold(self, instance: str, seconds: float) -> None:
        """Pass an instance over for some seconds, as another node was turned away."""
        record = self._record(instance)
        record.held_until = max(record.held_until, self.clock() + seconds)

    def note_success(self, instance: str, slowness: float | None = None) -> None:
        """Note a good answer.

        :param slowness: its time over the time expected.
        """
        record = self._record(instance)
        record.failures = 0
        record.held_until = float('-inf')
        if slowness is not None:
            before = self.slowness(instance)
            sample = max(LEAST_SLOWNESS, slowness)
            record.slowness = before + SAMPLE_WEIGHT * (sample - before)
            record.sampled_at = self.clock()

    def note_restart(self, instance: str) -> None:
        """Forget what is known of an instance that started again, but what is sent."""
        record = self._record(instance)
        self._records[instance] = _Record(in_flight=record.in_flight)
        self._outdated.pop(instance, None)

    def note_outdated(self, instance: FleetInstance) -> None:
        """Note that an instance is no longer what its entry says.

        It is passed over until another entry comes.  A node that hears of no changes
        went on sending to heads that had left: of 3,654 requests of a day on which
        a third of the nodes were cut off, 99 were refused as the budget for second
        sends was spent on them.
        """
        self._outdated[instance.name] = instance

    def is_outdated(self, instance: FleetInstance) -> bool:
        """Whether an instance is known to be something else than its entry says."""
        return self._outdated.get(instance.name) is instance

    def is_held(self, instance: str) -> bool:
        """Whether an instance failed just now."""
        return self._record(instance).held_until > self.clock()

    def slowness(self, instance: str) -> float:
        """Return how slow an instance is: 1 is as expected."""
        record = self._record(instance)
        if record.sampled_at == float('-inf'):
            return record.slowness
        age_s = self.clock() - record.sampled_at
        above = record.slowness - LEAST_SLOWNESS
        return LEAST_SLOWNESS + above * math.exp(-age_s / SLOWNESS_FADES_S)

    def forget(self, present: set[str]) -> None:
        """Drop what is known of instances that are gone and idle."""
        for name in list(self._records):
            if name not in present and self._records[name].in_flight <= 0:
                del self._records[name]
        for name in [name for name in self._outdated if name not in present]:
            del self._outdated[name]
