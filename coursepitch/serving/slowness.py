"""Relative slowness of the replicas of a group."""

from __future__ import annotations

import statistics

__all__ = ['SlownessMeter']

#: Weight of a new sample in the exponential moving average.
_SMOOTHING = 0.3

#: Seconds in which the excess slowness of a replica without new samples halves,
#: so that a replica that was avoided is tried again.
HALF_LIFE_S = 5.0


class SlownessMeter:
    """Moving average of the time to the first chunk for each replica."""

    def __init__(self) -> None:
        self._averages: dict[str, tuple[float, float]] = {}

    def add_sample(self, replica: str, seconds: float, now: float) -> None:
        """Add a sample, in seconds."""
        previous = self._averages.get(replica)
        average = (
            seconds
            if previous is None
            else previous[0] + _SMOOTHING * (seconds - previous[0])
        )
        self._averages[replica] = (average, now)

    def read(self, replicas: list[str], now: float) -> dict[str, float]:
        """Return the slowness of each replica, 1 being the median or faster.

        The result is empty if fewer than two replicas have samples.
        """
        known = {
            name: self._averages[name] for name in replicas if name in self._averages
        }
        if len(known) < 2:
            return {}
        median = statistics.median_low([average for average, _ in known.values()])
        if median <= 0:
            return {}
        result = {}
        for name, (average, updated_at) in known.items():
            decay = 0.5 ** ((now - updated_at) / HALF_LIFE_S)
            result[name] = 1.0 + max(0.0, average / median - 1.0) * decay
        return result

    def retain(self, replicas: set[str]) -> None:
        """Drop the averages of all other replicas."""
        self._averages = {n: v for n, v in self._averages.items() if n in replicas}
