"""Registered nodes that show no sign of life, and for how long."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.clock import Clock

__all__ = ['SilentNodes']

#: Longest time in seconds between two observations.  After a longer one the process was
#: suspended, and knows nothing of the time in between.
MAX_GAP_S = 3.0


@dataclass(eq=False)
class SilentNodes:
    """Measures for how long nodes have been silent.

    Every node measures, not only the holder of the cluster duty, so that the time does
    not begin anew when the duty moves.
    """

    clock: Clock
    _since: dict[str, float] = field(default_factory=dict)
    _observed_at: float = float('-inf')

    def observe(self, silent: Iterable[str]) -> None:
        """Record which nodes are silent now."""
        now = self.clock()
        if now - self._observed_at > MAX_GAP_S:
            self._since.clear()
        self._observed_at = now
        self._since = {name: self._since.get(name, now) for name in silent}

    def list_silent(self, limit_s: float) -> list[str]:
        """Return the nodes that have been silent for longer than a time, sorted."""
        now = self.clock()
        return sorted(
            name for name, since in self._since.items() if now - since > limit_s
        )
