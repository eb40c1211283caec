"""Parsing and validation of requests for a model."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from coursepitch.errors import RequestError
from coursepitch.serving.routing import hash_prefix

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.serving.identity import Identity

__all__ = [
    'ModelRequest',
    'RequestOptions',
    'join_prompt',
    'parse_body',
    'parse_options',
]

#: Largest length of an idempotency key in characters.
MAX_KEY_CHARS = 256

#: Characters of a token on average, and prompt tokens that take as long as a token of
#: the response.  Source: engines of users read 46,000 tokens per second, and write one
#: in 1.24 ms of their time if eight requests share a step.
CHARS_PER_TOKEN = 4
READ_TOKENS_PER_WRITTEN = 57

#: Response tokens of a request without a limit.
DEFAULT_MAX_TOKENS = 16

#: Urgency of a request without one.  Source: RFC 9218, section 4.1.
DEFAULT_URGENCY = 3


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options that a caller sets in the headers of a request.

    :param idempotency_key: empty if there is none.
        Source: draft-ietf-httpapi-idempotency-key-header.
    :param repeatable: whether the request may run more than once.
    :param urgency: 0 to 7.  Source: RFC 9218, ``Priority: u=``.
    :param deadline_s: seconds from the arrival.  Source: RFC 7240, ``Prefer: wait=``.
    """

    idempotency_key: str
    repeatable: bool
    urgency: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A request for a model.

    :param request_id: identifier of the request.
    :param groups: groups that can serve it.
    :param path: path of the URL, passed to the target unchanged.
    :param arrived_at: monotonic time.
    :param deadline_at: monotonic time.
    """

    request_id: str
    identity: Identity
    groups: tuple[str, ...]
    path: str
    body: dict[str, Any]
    stream: bool
    repeatable: bool
    urgency: int
    arrived_at: float
    deadline_at: float

    @property
    def queue_name(self) -> str:
        """Name of the queue in which the request waits, made of its groups."""
        return ','.join(self.groups)

    @property
    def work(self) -> float:
        """Predicted work, in tokens of a response."""
        read = len(join_prompt(self.body)) / CHARS_PER_TOKEN
        return float(_read_max_tokens(self.body)) + read / READ_TOKENS_PER_WRITTEN

    @property
    def prefix_hash(self) -> str:
        """Hash of the first characters of the prompt."""
        return hash_prefix(join_prompt(self.body))


def join_prompt(body: Mapping[str, Any]) -> str:
    """Return the prompt or all messages of a request as one string."""
    if 'prompt' in body:
        return str(body['prompt'])
    messages = body.get('messages', ())
    return '\n'.join(str(item.get('content', '')) for item in messages)


def parse_body(raw: bytes, *, chat: bool) -> dict[str, Any]:
    """Parse and validate the body of a request for a model.

    :raises RequestError: the body is invalid; names the first invalid field.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise RequestError(f'body: invalid JSON: {error}') from error
    if not isinstance(body, dict):
        raise RequestError('body: must be a JSON object')
    if not isinstance(body.get('model'), str):
        raise RequestError('model: missing or not a string')
    if not isinstance(body.get('stream', False), bool):
        raise RequestError('stream: must be true or false')
    if body.get('n', 1) != 1:
        raise RequestError('n: only 1 is supported')
    if chat:
        _check_messages(body.get('messages'))
    elif not isinstance(body.get('prompt'), str):
        raise RequestError('prompt: missing or not a string')
    limit = _read_max_tokens(body)
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        raise RequestError('max_tokens: must be a positive integer')
    return body


def _read_max_tokens(body: Mapping[str, Any]) -> Any:
    default = body.get('max_completion_tokens', DEFAULT_MAX_TOKENS)
    return body.get('max_tokens', default)


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        raise RequestError('messages: missing, empty or not a list')
    for index, item in enumerate(messages):
        if not isinstance(item, dict) or not isinstance(item.get('role'), str):
            raise RequestError(f'messages[{index}]: missing role')


def parse_options(
    headers: Mapping[str, str], default_deadline_s: float, repeatable: bool = True
) -> RequestOptions:
    """Parse the options that a caller sets in headers.

    :param default_deadline_s: deadline in seconds without one, and the largest.
    :param repeatable: whether a request without a header for it may run more
        than once.
    :raises RequestError: a header is malformed, or a required idempotency key
        is missing.
    """
    key = headers.get('idempotency-key', '').strip().strip('"')
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise RequestError(
            f'Idempotency-Key: must be at most {MAX_KEY_CHARS} printable characters'
        )
    repeatable_mark = headers.get('coursepitch-repeatable')
    if repeatable_mark is not None:
        if repeatable_mark.strip() not in ('?0', '?1'):
            raise RequestError('Coursepitch-Repeatable: must be ?0 or ?1')
        repeatable = repeatable_mark.strip() == '?1'
    if not repeatable and not key:
        raise RequestError(
            'Idempotency-Key: required for a request that is not repeatable'
        )
    return RequestOptions(
        key,
        repeatable and not key,
        _parse_urgency(headers.get('priority', '')),
        _parse_deadline(headers.get('prefer', ''), default_deadline_s),
    )


def _parse_urgency(text: str) -> int:
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name == 'u':
            if value not in {'0', '1', '2', '3', '4', '5', '6', '7'}:
                raise RequestError('Priority: u must be 0 to 7')
            return int(value)
    return DEFAULT_URGENCY


def _parse_deadline(text: str, default_s: float) -> float:
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name == 'wait':
            try:
                seconds = float(value)
            except ValueError as error:
                raise RequestError('Prefer: wait must be a number') from error
            if not math.isfinite(seconds) or seconds <= 0:
                raise RequestError('Prefer: wait must be greater than 0')
            return min(seconds, default_s)
    return default_s
