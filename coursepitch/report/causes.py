"""Classification of requests by why they were late, rejected or failed.

The reasons are recognized by words in the log, so these must match the texts that
the current version and older versions of the gateway log.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.report.requests import RequestRecord

__all__ = ['Cause', 'find_cause']

#: Seconds from arrival to the first send above which a request counts as queued.
#: A request that is not queued is sent within a few milliseconds.
QUEUED_THRESHOLD_S = 0.05


class Cause(enum.Enum):
    """Why a request ended as it did; the values appear in reports."""

    IN_TIME = 'in time'
    CLIENT_ERROR = "the client's own request"
    NOT_CONFIRMED = 'refused: configuration not confirmed'
    NOTHING_AVAILABLE = 'refused: nothing is open'
    NO_CAPACITY = 'refused: no room'
    RETRY_BUDGET = 'refused or failed: budget for second sends used up'
    REFUSED = 'refused: other'
    OUTCOME_UNKNOWN = 'failed: outcome unknown'
    TARGET_FAILED = 'failed at the target'
    STREAM_INTERRUPTED = 'cut in the answer'
    LEFT_BEFORE_SEND = 'client left before a send'
    LEFT_BEFORE_RESPONSE = 'client left, no answer had begun'
    LEFT_DURING_RESPONSE = 'client left in the answer'
    LATE_QUEUED = 'late: waited for a place'
    LATE_RETRIED = 'late: sent again'
    LATE_TARGET = 'late: slow at the target'
    PAUSE_RESUMED = 'late: pause when it went on elsewhere'
    PAUSE_TARGET = 'late: pause at the target'


def find_cause(record: RequestRecord) -> Cause:
    """Return the cause of how a request ended."""
    if record.outcome == 'answered':
        return _classify_answer(record)
    if record.outcome == 'client left':
        return _classify_disconnect(record)
    if record.outcome == 'cut':
        return Cause.STREAM_INTERRUPTED
    if 'budget' in record.reason:
        return Cause.RETRY_BUDGET
    if record.outcome == 'unknown':
        return Cause.OUTCOME_UNKNOWN
    return _classify_rejection(record)


def _classify_rejection(record: RequestRecord) -> Cause:
    if record.status not in (429, 503):
        return Cause.CLIENT_ERROR
    if 'not confirmed' in record.reason:
        return Cause.NOT_CONFIRMED
    if 'no group' in record.reason or 'no instance' in record.reason:
        return Cause.NOTHING_AVAILABLE
    if 'full' in record.reason or 'in time' in record.reason:
        return Cause.NO_CAPACITY
    return Cause.REFUSED


def _classify_disconnect(record: RequestRecord) -> Cause:
    if record.held_s is None:
        return Cause.LEFT_BEFORE_SEND
    return (
        Cause.LEFT_BEFORE_RESPONSE
        if record.first_s is None
        else Cause.LEFT_DURING_RESPONSE
    )


def _classify_answer(record: RequestRecord) -> Cause:
    if record.status >= 500:
        return Cause.TARGET_FAILED
    first_s = record.took_s if record.first_s is None else record.first_s
    if record.objective_s and first_s > record.objective_s:
        if len(record.loads) > 1:
            return Cause.LATE_RETRIED
        queued = record.held_s is not None and record.held_s > QUEUED_THRESHOLD_S
        return Cause.LATE_QUEUED if queued else Cause.LATE_TARGET
    if record.pause_limit_s and record.pause_s > record.pause_limit_s:
        return Cause.PAUSE_RESUMED if record.resumed else Cause.PAUSE_TARGET
    return Cause.IN_TIME
