"""Outcomes of requests and the numbered refusals returned to callers."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from enum import Enum

from starlette.responses import Response

from coursepitch.errors import CoursepitchError

__all__ = ['REFUSALS', 'Outcome', 'Problem', 'Refusal', 'RefusedError', 'build_refusal']


class Outcome(Enum):
    """Outcome of a request, as far as it is known."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Refusal:
    """One kind of refusal.

    :param number: stable number of the refusal.
    :param name: value of ``code`` in the response body.
    :param status: HTTP status.
    :param outcome: outcome of the request that is reported to the caller.
    :param text: message for people.
    :param openai_type: value of ``type`` in the response body, read by OpenAI
        clients.
    """

    number: int
    name: str
    status: int
    outcome: Outcome
    text: str
    openai_type: str = 'server_error'


def _refusal(
    number: int,
    name: str,
    status: int,
    outcome: Outcome,
    text: str,
    openai_type: str = '',
) -> Refusal:
    default = 'invalid_request_error' if status < 429 else 'server_error'
    return Refusal(number, name, status, outcome, text, openai_type or default)


_NOT_RUN, _UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN

BAD_REQUEST = _refusal(4000, 'bad_request', 400, _NOT_RUN, 'The request is malformed.')
NO_KEY = _refusal(
    4010, 'invalid_api_key', 401, _NOT_RUN, 'The key is missing or unknown.'
)
NOT_FOUND = _refusal(
    4040,
    'model_not_found',
    404,
    _NOT_RUN,
    'The model or service does not exist or is not accessible.',
)
IN_PROGRESS = _refusal(
    4090,
    'already_running',
    409,
    _UNKNOWN,
    'A request with this idempotency key is running, or its outcome is unknown.',
)
TOO_LARGE = _refusal(4130, 'too_large', 413, _NOT_RUN, 'The request is too large.')
KEY_REUSED = _refusal(
    4220,
    'idempotency_key_reused',
    422,
    _NOT_RUN,
    'The idempotency key was used for a different request.',
)
RATE_LIMITED = _refusal(
    4290,
    'rate_limited',
    429,
    _NOT_RUN,
    'A limit of the customer or caller is exceeded.',
    'rate_limit_error',
)
OVERLOADED = _refusal(
    5031,
    'overloaded',
    503,
    _NOT_RUN,
    'There are too many requests to serve this one in time.',
)
NO_REPLICA = _refusal(
    5032, 'no_replica', 503, _NOT_RUN, 'No complete replica is serving.'
)
NOT_READY = _refusal(5033, 'not_ready', 503, _NOT_RUN, 'This node is not ready.')
NO_RECORD = _refusal(
    5034,
    'cannot_record',
    503,
    _NOT_RUN,
    'The idempotency key cannot be recorded now.',
)
TARGET_REFUSED = _refusal(
    5035, 'target_refused', 503, _NOT_RUN, 'All targets refused the request.'
)
TARGET_FAILED = _refusal(
    5020,
    'target_failed',
    502,
    _UNKNOWN,
    'The target failed while processing the request.',
)
WRONG_ANSWER = _refusal(
    5021,
    'wrong_answer',
    502,
    _UNKNOWN,
    'The target returned the answer to another request.',
)
STREAM_CUT = _refusal(5022, 'stream_cut', 502, _UNKNOWN, 'The answer ended early.')
ENDS_ENGINES = _refusal(
    5001,
    'ends_engines',
    500,
    _NOT_RUN,
    'Engines end when they begin to run such requests.',
)
DEADLINE = _refusal(
    5040,
    'deadline',
    504,
    _UNKNOWN,
    'The deadline passed while the request was running.',
)
DEADLINE_WAITING = _refusal(
    5041,
    'deadline_waiting',
    504,
    _NOT_RUN,
    'The deadline passed before the request ran.',
)
STOPPED = _refusal(
    5036, 'node_stopped', 503, _UNKNOWN, 'The node was stopped immediately.'
)

#: All refusals by number.
REFUSALS: dict[int, Refusal] = {
    value.number: value
    for value in list(globals().values())
    if isinstance(value, Refusal)
}


@dataclass(frozen=True, slots=True)
class Problem:
    """A refusal of one request.

    :param request_id: identifier of the request.
    :param detail: reason added to the message; must not contain secrets.
    :param retry_after_s: seconds after which a retry may succeed, or ``None``.
    """

    refusal: Refusal
    request_id: str
    detail: str = ''
    retry_after_s: float | None = None

    def render(self) -> bytes:
        """Return the JSON body, in the error format of the OpenAI API."""
        refusal = self.refusal
        message = f'{refusal.text} {self.detail}'.strip()
        error = {
            'message': message,
            'type': refusal.openai_type,
            'code': refusal.name,
            'number': refusal.number,
            'outcome': refusal.outcome.value,
            'request': self.request_id,
            'param': None,
        }
        return json.dumps({'error': error}).encode()


class RefusedError(CoursepitchError):
    """Raised to refuse a request."""

    category = 'refused'

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.refusal.name)
        self.problem = problem


def build_refusal(problem: Problem) -> Response:
    """Return the HTTP response for a refusal.

    ``x-should-retry`` tells OpenAI clients, which retry automatically, whether a
    retry is safe.
    """
    refusal = problem.refusal
    headers = {
        'coursepitch-outcome': refusal.outcome.value,
        'x-request-id': problem.request_id,
        'x-should-retry': 'false',
    }
    if problem.retry_after_s is not None:
        headers['retry-after'] = str(max(1, math.ceil(problem.retry_after_s)))
        safe = refusal.outcome is Outcome.NOT_RUN
        headers['x-should-retry'] = 'true' if safe else 'false'
    return Response(
        problem.render(),
        refusal.status,
        headers,
        'application/json',
    )
