"""Rate limits that instances name in their answers, as this node knows them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['LimitReading', 'RateLimits']


@dataclass(frozen=True, slots=True)
class LimitReading:
    """What an instance said of its limit.

    :param limit: requests a second that it takes from all nodes together; ``None`` for
        as many as come.
    :param read_at: monotonic time at which a node read it in an answer.
    :param read_by: that node.
    """

    limit: float | None
    read_at: float
    read_by: str


@dataclass(eq=False)
class RateLimits:
    """The newest reading of each instance that names a limit, or did.

    :param me: name of this node.
    """

    me: str
    clock: Clock
    _readings: dict[str, LimitReading] = field(default_factory=dict)
    _damaged: dict[str, str] = field(default_factory=dict)

    def find(self, instance: str) -> float | None:
        """Return the limit of an instance in requests a second; ``None`` for none."""
        reading = self._readings.get(instance)
        return None if reading is None else reading.limit

    def note_answer(self, instance: str, limit: float | None) -> bool:
        """Take what an answer of an instance says; return whether that is news."""
        return self.take(instance, LimitReading(limit, self.clock(), self.me))

    def note_damaged(self, instance: str, value: str) -> None:
        """Log a limit that can't be read, once until it is another one."""
        if self._damaged.get(instance) != value:
            self._damaged[instance] = value
            log.emit(events.LIMIT_DAMAGED, instance=instance, value=value)

    def note_restart(self, instance: str) -> None:
        """Forget the limit of an instance that started again."""
        reading = LimitReading(None, self.clock(), self.me)
        self.take(instance, reading)
        self._readings[instance] = reading

    def take(self, instance: str, reading: LimitReading) -> bool:
        """Take a reading unless a newer one is known; return whether it is news."""
        known = self._readings.get(instance)
        before = None if known is None else known.limit
        if known is None and reading.limit is None:
            return False
        if known is not None and reading.read_at < known.read_at:
            return False
        self._readings[instance] = reading
        if reading.limit == before:
            return False
        log.emit(
            events.INSTANCE_LIMITED,
            instance=instance,
            limit=reading.limit,
            before=before,
            read_by=reading.read_by,
            age=round(self.clock() - reading.read_at, 3),
        )
        return True

    def forget(self, present: set[str]) -> None:
        """Drop what is known of instances that are gone."""
        for known in (self._readings, self._damaged):
            for name in [name for name in known if name not in present]:
                del known[name]
