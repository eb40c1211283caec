"""Instances that said in an answer that they are about to end."""

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
class _Leaving:
    born: int
    listed_at: float


@dataclass(eq=False)
class LeavingInstances:
    """Starts of instances that leave, whatever their entries say.

    An instance that said so never takes it back; a later start of it is another one.
    """

    clock: Clock
    _told: dict[str, _Leaving] = field(default_factory=dict)

    def note(self, name: str, born: int) -> bool:
        """Take that a start of an instance leaves; ``False`` if it is no news.

        :param born: Unix millisecond of the start; 0 where it isn't told.
        """
        known = self._told.get(name)
        if known is not None and born <= known.born:
            return False
        self._told[name] = _Leaving(born, self.clock())
        return True

    def has(self, instance: FleetInstance) -> bool:
        """Whether this start of an instance leaves."""
        known = self._told.get(instance.name)
        return known is not None and instance.born <= known.born

    def list_all(self) -> tuple[tuple[str, int], ...]:
        """Return the instances with their starts."""
        return tuple((name, item.born) for name, item in self._told.items())

    def forget_old(self, present: Iterable[str]) -> None:
        """Drop instances that have not been listed for a while."""
        now = self.clock()
        for name in present:
            if name in self._told:
                self._told[name].listed_at = now
        old = now - REMEMBERED_S
        for name in [name for name, item in self._told.items() if item.listed_at < old]:
            del self._told[name]
