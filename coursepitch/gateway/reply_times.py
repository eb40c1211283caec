"""How long answers usually take, learned from those that went well.

A group whose member died goes on taking requests and answers nothing.  How soon that
can be told from an answer that takes its time depends on the model: its pace, the
prompts it reads, the load.  So each node keeps, by model, the longest of the newest
good times, and asks a group that takes a part longer; the constants are the most.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

__all__ = ['ReplyTimes']

#: Good answers whose times are kept by model, and the fewest that say anything.
KEPT = 60
FEWEST = 20

#: Seconds in which nothing came from a head after which its group is asked, at most.
#: Source: on the users' engines the events of a stream come about every 50 ms, and a
#: pass that reads long prompts takes up to 150 ms.
QUIET_S = 0.25

#: The same for a request whose answer has not begun, at most: it may wait for its turn,
#: and where its group is dead, streams that had begun there tell so sooner.  Source:
#: on 58 nodes few have two requests at one head, and with 0.25 s for all there were 1.4
#: questions a request.
FIRST_QUIET_S = 0.45

#: Seconds without an event after which a request goes elsewhere although all members
#: of its group answer, at most: its answer is lost, or its connection silent.  Source:
#: where there is room, 99.9 in 100 first events come within 0.7 s on days of losses,
#: and clients give a stream up after two seconds.
OVERDUE_S = 1.0

#: The same three at least, in seconds: a question takes some milliseconds, and a
#: machine of half a core may be busy with something else for 0.1 s.
LEAST_QUIET_S = 0.12
LEAST_FIRST_QUIET_S = 0.2
LEAST_OVERDUE_S = 0.4

#: Times the longest pause, and the longest time to a first event, of those kept.
#: Source: of 2,450 answers of a model of small groups the longest pause is 0.04 s in
#: the middle, 0.08 s for 99 in 100 and 0.26 s for 999 in 1,000, the time to the first
#: event 0.17, 0.23 and 0.26 s; of 612 of a model of large ones 0.10 and 0.28 s, and
#: 0.24 and 0.52 s for 99 in 100 (68 nodes, one day, dead groups among the last).
QUIET_PART = 1.3
FIRST_QUIET_PART = 1.2
OVERDUE_PART = 1.8


@dataclass(eq=False)
class _Times:
    firsts: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=KEPT)
    )
    pauses: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=KEPT)
    )


@dataclass(eq=False)
class ReplyTimes:
    """The newest times of good answers, by model."""

    _models: dict[str, _Times] = field(default_factory=dict)

    def note(self, model: str, first_s: float, pause_s: float) -> None:
        """Take an answer that one send brought whole.

        :param first_s: seconds from the send to the first event.
        :param pause_s: longest pause in seconds between two events.
        """
        times = self._models.setdefault(model, _Times())
        times.firsts.append(first_s)
        times.pauses.append(pause_s)

    def find_quiet_s(self, model: str) -> float:
        """Return for how long a head may be silent before its group is asked."""
        longest = self._find_longest(model)
        if longest is None:
            return QUIET_S
        return min(QUIET_S, max(LEAST_QUIET_S, longest[1] * QUIET_PART))

    def find_first_quiet_s(self, model: str) -> float:
        """Return the same for a request whose answer has not begun."""
        longest = self._find_longest(model)
        if longest is None:
            return FIRST_QUIET_S
        return min(
            FIRST_QUIET_S, max(LEAST_FIRST_QUIET_S, longest[0] * FIRST_QUIET_PART)
        )

    def find_overdue_s(self, model: str) -> float:
        """Return after how long without an event a request may go elsewhere."""
        longest = self._find_longest(model)
        if longest is None:
            return OVERDUE_S
        return min(OVERDUE_S, max(LEAST_OVERDUE_S, longest[0] * OVERDUE_PART))

    def _find_longest(self, model: str) -> tuple[float, float] | None:
        """Return the longest time to a first event and pause of those kept."""
        times = self._models.get(model)
        if times is None or len(times.firsts) < FEWEST:
            return None
        return max(times.firsts), max(times.pauses)
