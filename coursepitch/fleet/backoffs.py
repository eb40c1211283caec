"""Times for which instances want no requests from this node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch.fleet.instances import REMEMBERED_S

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['InstanceBackoffs', 'Backoff']


@dataclass(eq=False, slots=True)
class Backoff:
    """A backoff, and what follows until the instance has served a request again.

    :param until: monotonic time at which it ends.
    :param listed_at: monotonic time at which the instance was listed last.
    :param trying: whether the first request after it is under way.
    """

    instance: str
    until: float
    listed_at: float
    trying: bool = False


@dataclass(eq=False)
class InstanceBackoffs:
    """Backoffs that instances asked this node for.

    After a backoff one request is sent, and others follow once it is served: all that
    waited would be rejected again.
    """

    clock: Clock
    _backoffs: dict[str, Backoff] = field(default_factory=dict)

    def note(self, instance: str, backoff_s: float) -> None:
        """Take that an instance asks for a backoff; a shorter one ends none earlier.

        :param backoff_s: seconds from now.
        """
        now = self.clock()
        until = now + backoff_s
        known = self._backoffs.setdefault(instance, Backoff(instance, until, now))
        known.until = max(known.until, until)

    def find_left_s(self, instance: str) -> float:
        """Return the seconds until a backoff ends; 0 without one."""
        backoff = self._backoffs.get(instance)
        return max(0.0, backoff.until - self.clock()) if backoff else 0.0

    def is_closed(self, instance: str) -> bool:
        """Whether an instance is backed off, or tried again by one request."""
        backoff = self._backoffs.get(instance)
        return backoff is not None and (backoff.trying or backoff.until > self.clock())

    def begin_trial(self, instance: str) -> Backoff | None:
        """Note that a request leaves; return the backoff that it is the first after."""
        backoff = self._backoffs.get(instance)
        if backoff is not None:
            backoff.trying = True
        return backoff

    def end_trial(self, backoff: Backoff, served: bool) -> None:
        """Take whether the first request after a backoff was served."""
        if self._backoffs.get(backoff.instance) is not backoff:
            return
        backoff.trying = False
        if served and backoff.until <= self.clock():
            del self._backoffs[backoff.instance]

    def note_restart(self, instance: str) -> None:
        """Forget the backoff of an instance that started again."""
        self._backoffs.pop(instance, None)

    def count_active(self) -> int:
        """Return how many instances are backed off now."""
        now = self.clock()
        return sum(backoff.until > now for backoff in self._backoffs.values())

    def forget(self, present: set[str]) -> None:
        """Drop instances that are gone for a while; their entries may be back soon."""
        now = self.clock()
        for name, backoff in list(self._backoffs.items()):
            if name in present:
                backoff.listed_at = now
            elif now - backoff.listed_at > REMEMBERED_S:
                del self._backoffs[name]
