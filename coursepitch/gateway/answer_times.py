"""Shortest time in which an instance can answer, as this node sees it at present.

One late answer tells something about its instance.  If the fastest of all is late, the
way from this node is slow, and a request whose client does not wait for so long can't
be answered in time by any instance.
"""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['AnswerTimes', 'PendingAnswer']

#: Newest answers that are kept.
MAX_ANSWERS = 256

#: Seconds for which an answer counts.  Nothing is concluded from older ones, so that
#: requests are sent again once the way may have become faster.
RECENT_S = 2.0

#: Fewest answers from which a conclusion is drawn, and fewest silent instances while
#: no other one answers, also as a share of those that were sent to lately: some may
#: have failed together.
MIN_ANSWERS = 3
MIN_SILENT = 2
MIN_SILENT_SHARE = 0.5


@dataclass(frozen=True, eq=False, slots=True)
class PendingAnswer:
    """A request that was sent to an instance and is not answered yet."""

    instance: str
    sent_at: float


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of an instance.

    :param at: monotonic time at which it came.
    :param taken_s: seconds since the send.
    """

    instance: str
    at: float
    taken_s: float


class AnswerTimes:
    """Times of the answers of all instances, rejections included."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending: dict[PendingAnswer, None] = {}
        self._recent: collections.deque[_Answer] = collections.deque(maxlen=MAX_ANSWERS)

    def begin(self, instance: str) -> PendingAnswer:
        """Record that a request is sent."""
        pending = PendingAnswer(instance, self._clock())
        self._pending[pending] = None
        return pending

    def note_answer(self, pending: PendingAnswer) -> None:
        """Record that the head of a response has arrived."""
        now = self._clock()
        self._drop_old(now)
        self._recent.append(_Answer(pending.instance, now, now - pending.sent_at))

    def end(self, pending: PendingAnswer) -> None:
        """Record that a request is answered, or given up."""
        self._pending.pop(pending, None)

    def find_shortest_s(self) -> float:
        """Return the shortest possible time in seconds; 0 if it is unknown."""
        now = self._clock()
        self._drop_old(now)
        shortest_s = min((item.taken_s for item in self._recent), default=0.0)
        missing = MIN_ANSWERS - len(self._recent)
        if self._recent and missing > 0:
            # Instances that have been silent for longer stand in for the answers.
            shortest_s = min(shortest_s, self._find_silence_s(now, missing))
        answered_at = self._recent[-1].at if self._recent else float('-inf')
        names = {item.instance for item in self._pending}
        names.update(item.instance for item in self._recent)
        count = max(MIN_SILENT, math.ceil(len(names) * MIN_SILENT_SHARE))
        return max(shortest_s, self._find_silence_s(now, count, answered_at))

    def _find_silence_s(
        self, now: float, count: int, since: float = float('-inf')
    ) -> float:
        """Return the seconds for which so many instances have been silent.

        :param since: time from which sends are looked at.
        """
        silent: set[str] = set()
        for pending in self._pending:
            if pending.sent_at > since:
                silent.add(pending.instance)
            if len(silent) >= count:
                return now - pending.sent_at
        return 0.0

    def _drop_old(self, now: float) -> None:
        while self._recent and self._recent[0].at < now - RECENT_S:
            self._recent.popleft()
