"""Why a request was late, refused or failed, from its story."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.report.requests import RequestStory

__all__ = ['Cause', 'find_cause']

#: Seconds from arrival to the first send past which a request waited for a place.
#: Source: a send that waits for nothing leaves within some milliseconds.
HELD_S = 0.05


class Cause(enum.Enum):
    """What decided how a request ended."""

    IN_TIME = 'in time'
    CLIENT = "the client's own request"
    NOT_CONFIRMED = 'refused: configuration not confirmed'
    NOTHING_OPEN = 'refused: nothing is open'
    FULL = 'refused: no room'
    BUDGET = 'refused or failed: budget for second sends used up'
    REFUSED = 'refused: other'
    FAILED = 'failed: outcome unknown'
    FAILED_THERE = 'failed at the target'
    CUT = 'cut in the answer'
    LEFT_WAITING = 'client left before a send'
    LEFT_SILENT = 'client left, no answer had begun'
    LEFT_MIDWAY = 'client left in the answer'
    LATE_HELD = 'late: waited for a place'
    LATE_AGAIN = 'late: sent again'
    LATE_ENGINE = 'late: slow at the target'
    PAUSE_RESUMED = 'late: pause when it went on elsewhere'
    PAUSE_ENGINE = 'late: pause at the target'


def find_cause(story: RequestStory) -> Cause:
    """Return why a request ended as it did."""
    if story.outcome == 'answered':
        return _judge_answer(story)
    if story.outcome == 'client left':
        return _judge_leaving(story)
    if story.outcome == 'cut':
        return Cause.CUT
    if 'budget' in story.reason:
        return Cause.BUDGET
    if story.outcome == 'unknown':
        return Cause.FAILED
    return _judge_refusal(story)


def _judge_refusal(story: RequestStory) -> Cause:
    if story.status not in (429, 503):
        return Cause.CLIENT
    if 'not confirmed' in story.reason:
        return Cause.NOT_CONFIRMED
    if 'no group' in story.reason or 'no instance' in story.reason:
        return Cause.NOTHING_OPEN
    if 'full' in story.reason or 'in time' in story.reason:
        return Cause.FULL
    return Cause.REFUSED


def _judge_leaving(story: RequestStory) -> Cause:
    if story.held_s is None:
        return Cause.LEFT_WAITING
    return Cause.LEFT_SILENT if story.first_s is None else Cause.LEFT_MIDWAY


def _judge_answer(story: RequestStory) -> Cause:
    if story.status >= 500:
        return Cause.FAILED_THERE
    first_s = story.took_s if story.first_s is None else story.first_s
    if story.objective_s and first_s > story.objective_s:
        if len(story.loads) > 1:
            return Cause.LATE_AGAIN
        held = story.held_s is not None and story.held_s > HELD_S
        return Cause.LATE_HELD if held else Cause.LATE_ENGINE
    if story.pause_limit_s and story.pause_s > story.pause_limit_s:
        return Cause.PAUSE_RESUMED if story.resumed else Cause.PAUSE_ENGINE
    return Cause.IN_TIME
