"""How slow each replica is, relative to the others of its group."""

from __future__ import annotations

import statistics

__all__ = ['SlownessMeter']

#: Weight of a new sample in the moving average.
_GAIN = 0.3

#: Seconds in which a replica's excess slowness halves without new samples, so
#: that a replica that was avoided is tried again.
HALF_LIFE_S = 5.0


class SlownessMeter:
    """Moving averages of the time to the first chunk by replica."""

    def __init__(self) -> None:
        self._averages: dict[str, tuple[float, float]] = {}

    def note(self, replica: str, seconds: float, now: float) -> None:
        """Take one sample."""
        held = self._averages.get(replica)
        average = seconds if held is None else held[0] + _GAIN * (seconds - held[0])
        self._averages[replica] = (average, now)

    def read(self, replicas: list[str], now: float) -> dict[str, float]:
        """Return the slowness of each replica; 1 is the group's median."""
        known = {
            name: self._averages[name] for name in replicas if name in self._averages
        }
        if len(known) < 2:
            return {}
        middle = statistics.median_low([average for average, _ in known.values()])
        if middle <= 0:
            return {}
        result = {}
        for name, (average, seen_at) in known.items():
            fade = 0.5 ** ((now - seen_at) / HALF_LIFE_S)
            result[name] = 1.0 + max(0.0, average / middle - 1.0) * fade
        return result

    def keep(self, replicas: set[str]) -> None:
        """Forget replicas that no longer exist."""
        self._averages = {n: v for n, v in self._averages.items() if n in replicas}
