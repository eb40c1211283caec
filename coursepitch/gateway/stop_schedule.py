"""Times of a graceful shutdown, which requests have to keep to."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ['StopSchedule']


@dataclass(eq=False)
class StopSchedule:
    """When a graceful shutdown began, and when it ends.

    :param began_at: monotonic time of the signal; infinity before it.
    :param end_at: monotonic time at which requests under way are ended.
    """

    began_at: float = float('inf')
    end_at: float = float('inf')

    @property
    def has_begun(self) -> bool:
        """Whether the node is stopping."""
        return self.began_at < float('inf')

    def begin(self, now: float, end_at: float) -> None:
        """Begin the shutdown."""
        self.began_at, self.end_at = now, end_at
