"""Availability zones that operators evacuate, as known to one node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['Evacuations']

#: Fraction of the evacuation time for which a zone is still used where no other zone
#: has room, if the age of the request is known.  With 5 s and both watches of the
#: store silent, a request reaches the last node after 3.1 s (2.7 s until the watch is
#: found to be silent, a listing and two links), by calculation; 1 s of use leaves
#: 0.9 s.
USE_FRACTION = 0.2


@dataclass(eq=False)
class Evacuations:
    """Zones whose evacuation is requested, and when each of them is closed.

    :param evacuate_s: seconds after a request within which requests may still arrive
        in the zone; 0 if the deployment has no evacuations.
    """

    clock: Clock
    evacuate_s: float = 0.0
    _closes_at: dict[str, float] = field(default_factory=dict)
    _closed: set[str] = field(default_factory=set)

    @property
    def enabled(self) -> bool:
        """Whether the deployment has evacuations."""
        return self.evacuate_s > 0

    @property
    def is_any_requested(self) -> bool:
        """Whether any evacuation is requested."""
        return bool(self._closes_at)

    def set_bound(self, evacuate_s: float) -> None:
        """Set the evacuation time in seconds; 0 drops all requests."""
        self.evacuate_s = evacuate_s
        if not self.enabled:
            self._closes_at.clear()
            self._closed.clear()

    def note_requested(self, zone: str, known_age: bool) -> bool:
        """Record the request to evacuate a zone.

        :param known_age: whether the request was written only a moment ago; if not,
            the zone is closed at once.
        :return: whether this was not known before.
        """
        if not self.enabled or zone in self._closes_at:
            return False
        use_s = self.evacuate_s * USE_FRACTION if known_age else 0.0
        self._closes_at[zone] = self.clock() + use_s
        return True

    def note_withdrawn(self, zone: str) -> bool:
        """Record that a request was withdrawn; ``False`` if none was known."""
        self._closed.discard(zone)
        return self._closes_at.pop(zone, None) is not None

    def is_requested(self, zone: str) -> bool:
        """Whether a zone gets no new groups, and its instances are used last."""
        return zone in self._closes_at

    def is_closed(self, zone: str) -> bool:
        """Whether nothing is sent to a zone."""
        closes_at = self._closes_at.get(zone)
        return closes_at is not None and closes_at <= self.clock()

    def find_left_s(self, zone: str) -> float:
        """Return the seconds until a zone is closed; 0 if it is or stays open."""
        return max(0.0, self._closes_at.get(zone, 0.0) - self.clock())

    def list_requested(self) -> tuple[str, ...]:
        """Return the zones whose evacuation is requested."""
        return tuple(self._closes_at)

    def list_closed(self) -> list[str]:
        """Return the closed zones."""
        return [zone for zone in self._closes_at if self.is_closed(zone)]

    def take_newly_closed(self) -> list[str]:
        """Return the zones that were closed since the last call."""
        found = [zone for zone in self.list_closed() if zone not in self._closed]
        self._closed.update(found)
        return found
