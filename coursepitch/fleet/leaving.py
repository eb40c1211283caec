"""Instances that announced in an answer that they are shutting down."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch.fleet.instances import REMEMBERED_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance

__all__ = ['LeavingInstances']


@dataclass(slots=True)
class _LeavingRun:
    born: int
    listed_at: float


@dataclass(eq=False)
class LeavingInstances:
    """Incarnations of instances that are shutting down, regardless of their entries.

    An incarnation never withdraws the announcement, which does not apply to the
    instance once it has restarted.
    """

    clock: Clock
    _announced: dict[str, _LeavingRun] = field(default_factory=dict)

    def note(self, name: str, born: int) -> bool:
        """Record that an incarnation of an instance is shutting down.

        :param born: start of the incarnation in Unix milliseconds; 0 if unknown.
        :return: whether this was not known before.
        """
        known = self._announced.get(name)
        if known is not None and born <= known.born:
            return False
        self._announced[name] = _LeavingRun(born, self.clock())
        return True

    def has(self, instance: FleetInstance) -> bool:
        """Whether this incarnation of an instance is shutting down."""
        known = self._announced.get(instance.name)
        return known is not None and instance.born <= known.born

    def list_all(self) -> tuple[tuple[str, int], ...]:
        """Return the names of the instances and the starts of their incarnations."""
        return tuple((name, item.born) for name, item in self._announced.items())

    def forget_old(self, present: Iterable[str]) -> None:
        """Drop instances that have not been listed for :data:`REMEMBERED_S`."""
        now = self.clock()
        for name in present:
            if name in self._announced:
                self._announced[name].listed_at = now
        old = now - REMEMBERED_S
        for name in [
            name for name, item in self._announced.items() if item.listed_at < old
        ]:
            del self._announced[name]
