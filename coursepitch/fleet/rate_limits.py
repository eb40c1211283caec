"""Rate limits that instances announce in their answers, shared between nodes.

A limit applies to all nodes together, so the node that reads one tells all others over
the peer links: once per change, not per answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log
from coursepitch.fleet.limit_messages import LimitReport, ReportedLimit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Message

__all__ = ['LimitReading', 'RateLimits']

#: Smallest difference in seconds between two stamps of a node, far below its clock's
#: resolution.
MIN_STAMP_STEP_S = 1e-6


@dataclass(frozen=True, slots=True)
class LimitReading:
    """An instance's rate limit as read from one of its answers.

    :param limit: requests per second that the instance accepts from all nodes together;
        ``None`` for no limit.
    :param read_at: monotonic time of this node at which the answer was read; slightly
        too late for a peer's reading, as the message's delay is not known.
    :param read_by: node that read it.
    :param origin: incarnation of that node.
    :param stamp: monotonic time of that node, increased where needed to be unique.
    """

    limit: float | None
    read_at: float
    read_by: str
    origin: int
    stamp: float


@dataclass(eq=False)
class RateLimits:
    """The newest reading of each instance that has, or had, a rate limit.

    :param me: name of this node.
    :param incarnation: incarnation of this node.
    """

    me: str
    incarnation: int
    clock: Clock
    #: Sends a message to one peer, or to all.
    tell: Callable[[Message, str], None] = lambda message, node: None
    #: Whether peers rely on this node to forward messages.
    is_watching: Callable[[], bool] = lambda: False
    #: Returns the limit of an instance while it is cold, ``None`` if it is warm.
    find_cold: Callable[[str], float | None] = lambda instance: None
    _readings: dict[str, LimitReading] = field(default_factory=dict)
    _newest: dict[str, dict[int, float]] = field(default_factory=dict)
    _damaged: dict[str, str] = field(default_factory=dict)
    _stamp: float = float('-inf')

    def find(self, instance: str) -> float | None:
        """Return the limit of an instance in requests per second; ``None`` for none.

        This is the lower of the limit that it set and its limit while it is cold.
        """
        announced = self._find_announced(instance)
        cold = self.find_cold(instance)
        if cold is None:
            return announced
        return cold if announced is None else min(announced, cold)

    def _find_announced(self, instance: str) -> float | None:
        reading = self._readings.get(instance)
        return None if reading is None else reading.limit

    def is_by_cold(self, instance: str) -> bool:
        """Whether an instance is cold and set no lower limit itself."""
        cold = self.find_cold(instance)
        if cold is None:
            return False
        announced = self._find_announced(instance)
        return announced is None or cold <= announced

    def count_limited(self) -> int:
        """Return the number of instances with a limit."""
        return sum(item.limit is not None for item in self._readings.values())

    # -- readings of this node -------------------------------------------------------

    def note_answer(self, instance: str, limit: float | None) -> None:
        """Record the limit in an instance's answer; tell all nodes if it changed."""
        known = self._readings.get(instance)
        if known is None and limit is None:
            return
        if self._record_reading(instance, self._build_reading(limit)):
            self._send_readings([instance], '')

    def note_damaged(self, instance: str, value: str) -> None:
        """Log a malformed limit once until its value changes."""
        if self._damaged.get(instance) != value:
            self._damaged[instance] = value
            log.emit(events.LIMIT_DAMAGED, instance=instance, value=value)

    def note_restart(self, instance: str) -> None:
        """Drop the limit of an instance that restarted.

        Earlier readings that still arrive from peers are ignored.
        """
        self._record_reading(instance, self._build_reading(None))

    def _build_reading(self, limit: float | None) -> LimitReading:
        """Return a new reading of this node; stamps strictly increase."""
        now = self.clock()
        self._stamp = max(now, self._stamp + MIN_STAMP_STEP_S)
        return LimitReading(limit, now, self.me, self.incarnation, self._stamp)

    # -- messages of peers -----------------------------------------------------------

    def take(self, told: LimitReport) -> None:
        """Process a peer's readings; forward changes if peers rely on this node."""
        news = [row.instance for row in told.rows if self.take_row(row)]
        if news and self.is_watching():
            self._send_readings(news, '')

    def take_row(self, row: ReportedLimit) -> bool:
        """Process one reading of a peer; return whether it changed the limit."""
        read_at = self.clock() - max(0.0, row.age_s)
        origin = (row.read_by, row.origin, row.stamp)
        return self._record_reading(
            row.instance, LimitReading(row.limit, read_at, *origin)
        )

    def send_all(self, node: str) -> None:
        """Send all readings to a peer whose link came up."""
        if self._readings:
            self._send_readings(self._readings, node)

    def describe(self, instance: str) -> ReportedLimit | None:
        """Return the newest reading of an instance in the form sent to peers."""
        reading = self._readings.get(instance)
        if reading is None:
            return None
        age_s = self.clock() - reading.read_at
        origin = (reading.read_by, reading.origin, reading.stamp)
        return ReportedLimit(instance, reading.limit, age_s, *origin)

    def _send_readings(self, instances: Iterable[str], node: str) -> None:
        rows = (self.describe(name) for name in instances)
        told = tuple(row for row in rows if row is not None)
        self.tell(LimitReport(self.me, told), node)

    def _record_reading(self, instance: str, reading: LimitReading) -> bool:
        """Record a reading unless a newer one is known; return whether it is a change.

        Each reading is accepted only once, identified by the clock of the node that
        read it.  Comparing ages is not enough: they grow with each link, and two
        readings could replace each other endlessly in a cycle of links.
        """
        newest = self._newest.setdefault(instance, {})
        if reading.stamp <= newest.get(reading.origin, float('-inf')):
            return False
        newest[reading.origin] = reading.stamp
        known = self._readings.get(instance)
        if known is not None and reading.read_at < known.read_at:
            return False
        self._readings[instance] = reading
        before = None if known is None else known.limit
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
        """Drop the state of instances that are no longer listed."""
        for known in (self._readings, self._newest, self._damaged):
            for name in [name for name in known if name not in present]:
                del known[name]
