"""Backoffs, in which instances accept no requests from this node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch.fleet.instances import REMEMBERED_S

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['InstanceBackoffs', 'Backoff']


@dataclass(eq=False, slots=True)
class Backoff:
    """A backoff, kept until the instance has served a request again.

    :param until: monotonic time at which the backoff ends.
    :param listed_at: monotonic time at which the instance was last listed.
    :param trial_running: whether the trial request, the first after the backoff, is
        running.
    """

    instance: str
    until: float
    listed_at: float
    trial_running: bool = False


@dataclass(eq=False)
class InstanceBackoffs:
    """Backoffs that instances requested from this node.

    After a backoff a single trial request is sent, and others only once it is served:
    if all waiting requests were sent at once, they would be rejected again.
    """

    clock: Clock
    _backoffs: dict[str, Backoff] = field(default_factory=dict)

    def note(self, instance: str, backoff_s: float) -> None:
        """Record a backoff; it never shortens one that is already active.

        :param backoff_s: seconds from now.
        """
        now = self.clock()
        until = now + backoff_s
        known = self._backoffs.setdefault(instance, Backoff(instance, until, now))
        known.until = max(known.until, until)

    def find_left_s(self, instance: str) -> float:
        """Return the seconds until an instance's backoff ends; 0 without one."""
        backoff = self._backoffs.get(instance)
        return max(0.0, backoff.until - self.clock()) if backoff else 0.0

    def is_closed(self, instance: str) -> bool:
        """Whether an instance is backed off, or its trial request is running."""
        backoff = self._backoffs.get(instance)
        return backoff is not None and (
            backoff.trial_running or backoff.until > self.clock()
        )

    def begin_trial(self, instance: str) -> Backoff | None:
        """Record that a request is sent; return the backoff that it is the trial of."""
        backoff = self._backoffs.get(instance)
        if backoff is not None:
            backoff.trial_running = True
        return backoff

    def end_trial(self, backoff: Backoff, served: bool) -> None:
        """Record whether the trial request after a backoff was served."""
        if self._backoffs.get(backoff.instance) is not backoff:
            return
        backoff.trial_running = False
        if served and backoff.until <= self.clock():
            del self._backoffs[backoff.instance]

    def note_restart(self, instance: str) -> None:
        """Drop the backoff of an instance that restarted."""
        self._backoffs.pop(instance, None)

    def count_active(self) -> int:
        """Return the number of instances that are backed off now."""
        now = self.clock()
        return sum(backoff.until > now for backoff in self._backoffs.values())

    def forget(self, present: set[str]) -> None:
        """Drop instances unlisted for :data:`REMEMBERED_S`, as entries may return."""
        now = self.clock()
        for name, backoff in list(self._backoffs.items()):
            if name in present:
                backoff.listed_at = now
            elif now - backoff.listed_at > REMEMBERED_S:
                del self._backoffs[name]
