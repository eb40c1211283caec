"""What an attempt came to, and what may follow: pure decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import httpx

from coursepitch.serving.outcomes import Outcome

__all__ = ['Next', 'RetryBudget', 'Seen', 'State', 'classify_error', 'decide_next']


class Seen(Enum):
    """What was observed of an attempt on the wire."""

    NOTHING_SENT = 'no byte left this node'
    REFUSED = 'the target said that it did not run it'
    NO_HEAD = 'bytes left, and no head of an answer came'
    CUT = 'the answer ended before its end mark'
    WRONG = 'the answer is of another request'
    WHOLE = 'the answer came whole'


_OUTCOMES = {
    Seen.NOTHING_SENT: Outcome.NOT_RUN,
    Seen.REFUSED: Outcome.NOT_RUN,
    Seen.NO_HEAD: Outcome.UNKNOWN,
    Seen.CUT: Outcome.UNKNOWN,
    Seen.WRONG: Outcome.UNKNOWN,
    Seen.WHOLE: Outcome.ANSWERED,
}


class Next(Enum):
    """What follows an attempt."""

    FINISH = 'finish'
    RETRY = 'attempt again on another replica'
    REJOIN = 'read on from the same run on the same replica'
    CONTINUE = 'run the rest on another replica'
    FAIL = 'tell the caller'


@dataclass(frozen=True, slots=True)
class State:
    """A request after an attempt.

    :param passed: chunks that the caller already has.
    :param rejoined: whether reading on was tried since the last progress.
    """

    seen: Seen
    repeatable: bool
    attempts: int
    most_attempts: int
    passed: int = 0
    rejoined: bool = False

    @property
    def outcome(self) -> Outcome:
        """What is known of the request from this attempt alone."""
        return _OUTCOMES[self.seen]


def classify_error(error: Exception) -> Seen:
    """Return what an error of the HTTP library says of an attempt.

    Only errors from before the first byte say that nothing was sent.
    """
    before = httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout
    if isinstance(error, before | httpx.UnsupportedProtocol | httpx.InvalidURL):
        return Seen.NOTHING_SENT
    return Seen.NO_HEAD


def decide_next(state: State, budget_left: bool) -> Next:
    """Return what follows an attempt.

    A request that is not repeatable may go to another replica only while it
    surely did not run; its own run may be read on.
    """
    if state.seen is Seen.WHOLE:
        return Next.FINISH
    may_try = state.attempts < state.most_attempts and budget_left
    if state.outcome is Outcome.NOT_RUN and not state.passed:
        return Next.RETRY if may_try else Next.FAIL
    if state.seen is Seen.CUT and not state.rejoined:
        return Next.REJOIN
    if not state.repeatable or not may_try:
        return Next.FAIL
    return Next.CONTINUE if state.passed else Next.RETRY


class RetryBudget:
    """Retries allowed: a ratio of first attempts, with a burst.

    So retries can add only that ratio to an overload.  Source: the retry
    budgets of Finagle, as described in its documentation.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def has_left(self) -> bool:
        """Return whether a retry is allowed."""
        return self._tokens >= 1.0

    def withdraw(self) -> None:
        """Count a retry."""
        self._tokens = max(0.0, self._tokens - 1.0)
