"""Response time statistics of models, from which timeouts are derived.

A group with a dead member continues to accept requests but does not respond.  How soon
that can be told from a slow response depends on the model, its prompts and the load.
So each node keeps the times of the latest successful responses of each model, and
derives its timeouts from the longest of them, within fixed bounds.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

__all__ = ['ReplyTimes']

#: Number of successful responses whose times are kept per model, and the fewest from
#: which timeouts are derived.
MAX_SAMPLES = 60
MIN_SAMPLES = 20

#: Longest silence of a head in seconds before its group is probed.  Source: on users'
#: engines the events of a stream arrive about every 50 ms, and a step that reads long
#: prompts takes up to 150 ms.
MAX_QUIET_S = 0.25

#: Longest silence of a head in seconds before its group is probed for a request whose
#: response has not started.  The request may be queued, and streams that have started
#: detect a dead group sooner.  Source: with 58 nodes, few nodes have two requests at
#: one head, and 0.25 s caused 1.4 probes per request.
MAX_FIRST_QUIET_S = 0.45

#: Longest time in seconds without an event before a request is sent to another group
#: although all members of its group respond: its response or its connection is lost.
#: Source: unless groups are full, 99.9 % of first events arrive within 0.7 s on days
#: with losses, and clients abandon a stream after two seconds.
MAX_OVERDUE_S = 1.0

#: Lower bounds in seconds of the three timeouts above: a probe takes some milliseconds,
#: and a machine with half a core may be busy with other work for 0.1 s.
MIN_QUIET_S = 0.12
MIN_FIRST_QUIET_S = 0.2
MIN_OVERDUE_S = 0.4

#: Factors of the same three timeouts.  The first multiplies the longest pause of the
#: responses kept, the other two their longest time to a first event.  Source: the
#: longest pause of a response and its time to the first event, with 68 nodes in one
#: day; the high percentiles include dead groups.  Of 2,450 responses of a model with
#: small groups, the medians are 0.04 and 0.17 s, the 99th percentiles 0.08 and 0.23 s,
#: and the 99.9th percentiles 0.26 and 0.26 s.  Of 612 responses of a model with large
#: groups, the medians are 0.10 and 0.28 s, and the 99th percentiles 0.24 and 0.52 s.
QUIET_FACTOR = 1.3
FIRST_QUIET_FACTOR = 1.2
OVERDUE_FACTOR = 1.8


@dataclass(eq=False)
class _Times:
    """Times of one model.

    :param longest: the longest time to a first event and the longest pause kept, once
        there are enough samples.  They are looked up for each event of a stream, but
        change only with a response.
    """

    first_events_s: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    pauses_s: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    longest: tuple[float, float] | None = None


@dataclass(eq=False)
class ReplyTimes:
    """Times of the latest successful responses of each model."""

    _models: dict[str, _Times] = field(default_factory=dict)

    def note(self, model: str, first_s: float, pause_s: float) -> None:
        """Record a response that was complete without a retry.

        :param first_s: seconds from the send to the first event.
        :param pause_s: longest pause in seconds between two events.
        """
        times = self._models.setdefault(model, _Times())
        times.first_events_s.append(first_s)
        times.pauses_s.append(pause_s)
        if len(times.first_events_s) >= MIN_SAMPLES:
            times.longest = max(times.first_events_s), max(times.pauses_s)

    def find_quiet_limit_s(self, model: str) -> float:
        """Return the silence of a head in seconds before its group is probed."""
        longest = self._find_longest(model)
        if longest is None:
            return MAX_QUIET_S
        return min(MAX_QUIET_S, max(MIN_QUIET_S, longest[1] * QUIET_FACTOR))

    def find_first_quiet_limit_s(self, model: str) -> float:
        """Return the same limit for a request whose response has not started."""
        longest = self._find_longest(model)
        if longest is None:
            return MAX_FIRST_QUIET_S
        return min(
            MAX_FIRST_QUIET_S, max(MIN_FIRST_QUIET_S, longest[0] * FIRST_QUIET_FACTOR)
        )

    def find_overdue_limit_s(self, model: str) -> float:
        """Return the seconds without an event after which a request may be resent."""
        longest = self._find_longest(model)
        if longest is None:
            return MAX_OVERDUE_S
        return min(MAX_OVERDUE_S, max(MIN_OVERDUE_S, longest[0] * OVERDUE_FACTOR))

    def _find_longest(self, model: str) -> tuple[float, float] | None:
        """Return the longest time to a first event and the longest pause kept."""
        times = self._models.get(model)
        return None if times is None else times.longest
