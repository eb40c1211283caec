"""Results of attempts and the retry policy, as pure functions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import httpx

from coursepitch.serving.outcomes import Outcome

__all__ = [
    'AttemptResult',
    'NextStep',
    'RetryBudget',
    'RetryState',
    'classify_error',
    'decide_next',
]


class AttemptResult(Enum):
    """Result of an attempt, as far as this node knows it."""

    NOTHING_SENT = 'no byte left this node'
    REFUSED = 'the target said that it did not run it'
    NO_HEAD = 'bytes left, and no head of an answer came'
    CUT = 'the answer ended before its end mark'
    WRONG = 'the answer is of another request'
    WHOLE = 'the answer came whole'


_OUTCOMES = {
    AttemptResult.NOTHING_SENT: Outcome.NOT_RUN,
    AttemptResult.REFUSED: Outcome.NOT_RUN,
    AttemptResult.NO_HEAD: Outcome.UNKNOWN,
    AttemptResult.CUT: Outcome.UNKNOWN,
    AttemptResult.WRONG: Outcome.UNKNOWN,
    AttemptResult.WHOLE: Outcome.ANSWERED,
}


class NextStep(Enum):
    """The step that follows an attempt."""

    FINISH = 'finish'
    RETRY = 'retry on another replica'
    REOPEN = 'reopen the stream of the same run'
    CONTINUE = 'continue on another replica'
    FAIL = 'fail'


@dataclass(frozen=True, slots=True)
class RetryState:
    """State of a request after an attempt, from which the next step follows.

    :param attempts: attempts made so far.
    :param max_attempts: largest number of attempts.
    :param chunks_sent: number of chunks already sent to the caller.
    :param reopened: whether the stream was already reopened since its last
        new chunk.
    """

    result: AttemptResult
    repeatable: bool
    attempts: int
    max_attempts: int
    chunks_sent: int = 0
    reopened: bool = False

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request, judged by this attempt alone."""
        return _OUTCOMES[self.result]


def classify_error(error: Exception) -> AttemptResult:
    """Classify an error of the HTTP library.

    Only errors raised before the first byte is sent prove that the target did
    not receive the request.
    """
    connection_errors = httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout
    if isinstance(
        error, connection_errors | httpx.UnsupportedProtocol | httpx.InvalidURL
    ):
        return AttemptResult.NOTHING_SENT
    return AttemptResult.NO_HEAD


def decide_next(state: RetryState, has_budget: bool) -> NextStep:
    """Return the step that follows an attempt.

    A request that is not repeatable is sent to another replica only if it
    certainly did not run.  Reopening the stream of its own run is always allowed.

    :param has_budget: whether the retry budget allows another attempt.
    """
    if state.result is AttemptResult.WHOLE:
        return NextStep.FINISH
    may_retry = state.attempts < state.max_attempts and has_budget
    if state.outcome is Outcome.NOT_RUN and not state.chunks_sent:
        return NextStep.RETRY if may_retry else NextStep.FAIL
    if state.result is AttemptResult.CUT and not state.reopened:
        return NextStep.REOPEN
    if not state.repeatable or not may_retry:
        return NextStep.FAIL
    return NextStep.CONTINUE if state.chunks_sent else NextStep.RETRY


class RetryBudget:
    """Limits retries to a ratio of first attempts, plus a burst.

    Retries can therefore increase an overload only by that ratio.  Source: the
    retry budgets described in the documentation of Finagle.

    :param ratio: retries allowed for each first attempt.
    :param burst: retries allowed at once.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def allows_retry(self) -> bool:
        """Return whether a retry is allowed."""
        return self._tokens >= 1.0

    def withdraw(self) -> None:
        """Count a retry."""
        self._tokens = max(0.0, self._tokens - 1.0)
