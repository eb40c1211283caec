"""Times for which instances want no requests from this node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch.fleet.instances import REMEMBERED_S

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['InstanceRests', 'Rest']


@dataclass(eq=False, slots=True)
class Rest:
    """A rest, and what follows until the instance has served a request again.

    :param until: monotonic time at which it ends.
    :param listed_at: monotonic time at which the instance was listed last.
    :param trying: whether the first request after it is under way.
    """

    instance: str
    until: float
    listed_at: float
    trying: bool = False


@dataclass(eq=False)
class InstanceRests:
    """Rests that instances asked this node for.

    After a rest one request is sent, and others follow once it is served: all that
    waited would be rejected again.
    """

    clock: Clock
    _rests: dict[str, Rest] = field(default_factory=dict)

    def note(self, instance: str, rest_s: float) -> None:
        """Take that an instance asks for a rest; a shorter one ends none earlier.

        :param rest_s: seconds from now.
        """
        now = self.clock()
        until = now + rest_s
        known = self._rests.setdefault(instance, Rest(instance, until, now))
        known.until = max(known.until, until)

    def find_left_s(self, instance: str) -> float:
        """Return the seconds until a rest ends; 0 without one."""
        rest = self._rests.get(instance)
        return max(0.0, rest.until - self.clock()) if rest else 0.0

    def is_closed(self, instance: str) -> bool:
        """Whether an instance rests, or the first request after that is under way."""
        rest = self._rests.get(instance)
        return rest is not None and (rest.trying or rest.until > self.clock())

    def begin_trial(self, instance: str) -> Rest | None:
        """Note that a request leaves; return the rest that it is the first after."""
        rest = self._rests.get(instance)
        if rest is not None:
            rest.trying = True
        return rest

    def end_trial(self, rest: Rest, served: bool) -> None:
        """Take whether the first request after a rest was served."""
        if self._rests.get(rest.instance) is not rest:
            return
        rest.trying = False
        if served and rest.until <= self.clock():
            del self._rests[rest.instance]

    def note_restart(self, instance: str) -> None:
        """Forget the rest of an instance that started again."""
        self._rests.pop(instance, None)

    def count_resting(self) -> int:
        """Return how many instances rest now."""
        now = self.clock()
        return sum(rest.until > now for rest in self._rests.values())

    def forget(self, present: set[str]) -> None:
        """Drop rests of instances that are gone; a running one may be back soon."""
        now = self.clock()
        for name, rest in list(self._rests.items()):
            if name in present:
                rest.listed_at = now
            elif rest.until <= now or now - rest.listed_at > REMEMBERED_S:
                del self._rests[name]
