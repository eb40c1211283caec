"""Notices that instances add to their answers.

These are backoffs, leaving, rate limits, and for how long an instance stays cold.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log
from coursepitch.fleet.messages import MAX_HOPS, NoticeReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.backoffs import InstanceBackoffs
    from coursepitch.fleet.messages import Message
    from coursepitch.fleet.rate_limits import RateLimits
    from coursepitch.fleet.view import FleetView
    from coursepitch.platform.headers import ResponseMetadata

__all__ = ['InstanceNotices']

#: Minimum seconds by which a backoff must extend the known one before other nodes are
#: told.  A shorter one is nearly over when they learn of it, and one that arrives again
#: over several links seems to end some tenths of a second later each time.
MIN_TOLD_EXTENSION_S = 0.5


@dataclass(eq=False)
class InstanceNotices:
    """Handler of the notices in all answers: to requests, probes and orders.

    A backoff applies only to this node; the other nodes are told of it and use the
    instance only while no other has capacity.  All nodes are told that an instance is
    leaving, as its entry may never show it.

    :param me: name of this node.
    """

    me: str
    view: FleetView
    limits: RateLimits
    backoffs: InstanceBackoffs
    clock: Clock
    #: Counts notices by kind.
    count: Callable[[str], None] = lambda kind: None
    #: Sends a message to one peer, or to all.
    tell: Callable[[Message, str], None] = lambda message, node: None
    #: Whether peers rely on this node to forward messages.
    is_watching: Callable[[], bool] = lambda: False
    #: Avoids an instance for some seconds while others have capacity.
    avoid: Callable[[str, float], None] = lambda name, seconds: None
    #: Records for how many seconds an instance stays cold; returns whether this was
    #: not known.
    note_cold: Callable[[str, float], bool] = lambda name, seconds: False
    _told_until: dict[str, float] = field(default_factory=dict)
    _damaged: dict[str, str] = field(default_factory=dict)

    def take(self, name: str, born: int, marks: ResponseMetadata) -> None:
        """Process the notices in an answer.

        An answer that rejects a misdirected request comes from another instance, unless
        it names the instance that was asked.

        :param name: instance that was asked.
        :param born: its start in Unix milliseconds, as known to this node.
        """
        found = self.view.instances.get(name)
        late = found is not None and found.born > born
        if late or (marks.misdirected and marks.instance != name):
            return
        self._take_backoff(name, born, marks)
        if marks.leaving:
            self._take_leaving(name, born)
        if not marks.misdirected:
            self._take_limit(name, marks)
        if marks.cold_left_s and self.note_cold(name, marks.cold_left_s):
            self.tell(
                NoticeReport(self.me, cold=((name, born, marks.cold_left_s),)), ''
            )

    def _take_backoff(self, name: str, born: int, marks: ResponseMetadata) -> None:
        if marks.invalid_retry_after is not None:
            self._note_damaged(name, marks.invalid_retry_after)
        if marks.retry_after_s is None:
            return
        self.count('backoff')
        self.backoffs.note(name, marks.retry_after_s)
        log.emit(events.INSTANCE_BACKOFF, instance=name, backoff_s=marks.retry_after_s)
        if self._is_new_backoff(name, marks.retry_after_s):
            self.tell(
                NoticeReport(self.me, (), ((name, born, marks.retry_after_s),)), ''
            )

    def _note_damaged(self, name: str, value: str) -> None:
        """Log a malformed ``Retry-After`` value once until it changes."""
        self.count('damaged')
        if self._damaged.get(name) != value:
            self._damaged[name] = value
            log.emit(events.BACKOFF_DAMAGED, instance=name, value=value)

    def _is_new_backoff(self, name: str, backoff_s: float) -> bool:
        """Whether a backoff ends later than any that other nodes were told of."""
        until = self.clock() + backoff_s
        if until < self._told_until.get(name, self.clock()) + MIN_TOLD_EXTENSION_S:
            return False
        self._told_until[name] = until
        return True

    def _take_leaving(self, name: str, born: int) -> None:
        if self._note_leaving(name, born, self.me):
            self.tell(NoticeReport(self.me, ((name, born),)), '')

    def _note_leaving(self, name: str, born: int, told_by: str) -> bool:
        """Record an instance that is leaving; return whether this was not known."""
        found = self.view.instances.get(name)
        listed_leaving = found is not None and found.draining
        if not self.view.note_leaving(name, born):
            return False
        self.count('leaving')
        log.emit(
            events.INSTANCE_SAYS_LEAVING,
            instance=name,
            born=born,
            told_by=told_by,
            listed_leaving=listed_leaving,
        )
        return True

    def _take_limit(self, name: str, marks: ResponseMetadata) -> None:
        """Process the rate limit in an answer.

        A rejection without a limit does not lift a known one, as an overloaded instance
        may omit it.
        """
        if marks.invalid_limit is not None:
            self.limits.note_damaged(name, marks.invalid_limit)
        if marks.limit is not None or (
            marks.has_signature and marks.invalid_limit is None
        ):
            self.limits.note_answer(name, marks.limit)

    # -- messages of peers ---------------------------------------------------------

    def take_told(self, told: NoticeReport) -> None:
        """Process a peer's notices; forward new ones if peers rely on this node.

        Seconds that are left are those at the first node that read them, so each link
        makes them end later, and a report may seem new again.
        """
        leaving = tuple(
            (name, born)
            for name, born in told.leaving
            if self._note_leaving(name, born, told.node)
        )
        backoffs = tuple(row for row in told.backoffs if self._take_told_backoff(*row))
        cold = tuple(row for row in told.cold if self._take_told_cold(*row))
        is_due = self.is_watching() and told.hops < MAX_HOPS
        if (leaving or backoffs or cold) and is_due:
            hops = told.hops + 1
            self.tell(NoticeReport(self.me, leaving, backoffs, cold, hops), '')

    def _take_told_cold(self, name: str, born: int, left_s: float) -> bool:
        """Process for how long an instance stays cold; return whether it is news."""
        found = self.view.instances.get(name)
        return found is not None and found.born == born and self.note_cold(name, left_s)

    def _take_told_backoff(self, name: str, born: int, backoff_s: float) -> bool:
        """Process a backoff requested from a peer; return whether it was not known."""
        found = self.view.instances.get(name)
        if (
            found is None
            or found.born != born
            or not self._is_new_backoff(name, backoff_s)
        ):
            return False
        self.avoid(name, backoff_s)
        return True

    def send_all(self, node: str) -> None:
        """Send all leaving instances to a peer whose link came up."""
        starts = self.view.leaving.list_all()
        if starts:
            self.tell(NoticeReport(self.me, starts), node)

    def forget(self, present: set[str]) -> None:
        """Drop the state of instances that are no longer listed."""
        for known in (self._told_until, self._damaged):
            for name in [name for name in known if name not in present]:
                del known[name]
