"""Problem documents for refusals that need more than a status."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

__all__ = ['PROBLEM_TYPE', 'Problem', 'render_problem']

#: Media type of a problem document.  Source: RFC 9457.
PROBLEM_TYPE = b'application/problem+json'


@dataclass(frozen=True, slots=True)
class Problem:
    """Explanation of why a request is not executed or not retried.

    :param outcome: outcome of this request, ``not-run`` or ``unknown``.
    :param instances_ended: instances that ended while executing it, now or earlier.
    :param fingerprint: fingerprint under which operators find the request in logs.
    :param retry_after_s: seconds after which a retry is accepted; 0 to omit them.
    :param part: part of the prompt that is the reason; empty if there is none.
    """

    title: str
    detail: str
    outcome: str
    instances_ended: int
    fingerprint: str
    retry_after_s: float = 0.0
    part: str = ''


def render_problem(problem: Problem, status: int) -> bytes:
    """Return a problem document as JSON."""
    data: dict[str, object] = {
        'title': problem.title,
        'status': status,
        'detail': problem.detail,
        'outcome': problem.outcome,
        'instances_ended': problem.instances_ended,
        'fingerprint': problem.fingerprint,
    }
    if problem.part:
        data['part'] = problem.part
    if problem.retry_after_s:
        data['retry_after_s'] = round(problem.retry_after_s, 1)
    return orjson.dumps(data)
