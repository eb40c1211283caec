"""Problem documents of refusals that a status alone does not explain."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

__all__ = ['PROBLEM_TYPE', 'Problem', 'render_problem']

#: Media type of a problem document.  Source: RFC 9457.
PROBLEM_TYPE = b'application/problem+json'


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a request is not run, or not run again.

    :param outcome: what became of this very request: ``not-run`` or ``unknown``.
    :param ended: instances that ended while they ran it, now or earlier.
    :param fingerprint: by which operators find it in logs.
    :param again_s: seconds after which it is tried again; 0 for unsaid.
    """

    title: str
    detail: str
    outcome: str
    ended: int
    fingerprint: str
    again_s: float = 0.0


def render_problem(problem: Problem, status: int) -> bytes:
    """Return a problem document."""
    data: dict[str, object] = {
        'title': problem.title,
        'status': status,
        'detail': problem.detail,
        'outcome': problem.outcome,
        'instances_ended': problem.ended,
        'fingerprint': problem.fingerprint,
    }
    if problem.again_s:
        data['retry_after_s'] = round(problem.again_s, 1)
    return orjson.dumps(data)
