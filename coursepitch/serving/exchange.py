"""One caller's request on its way, as frozen data."""

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

__all__ = ['Exchange', 'Wishes', 'fold_prompt', 'parse_body', 'read_wishes']

#: Longest idempotency key in characters.
KEY_LIMIT = 256

#: Urgency when the caller names none.  Source: RFC 9218, section 4.1.
USUAL_URGENCY = 3


@dataclass(frozen=True, slots=True)
class Wishes:
    """What the headers of a request ask for.

    :param idempotency_key: empty without one.
        Source: draft-ietf-httpapi-idempotency-key-header.
    :param urgency: 0 to 7.  Source: RFC 9218, ``Priority: u=``.
    :param deadline_s: seconds.  Source: RFC 7240, ``Prefer: wait=``.
    """

    idempotency_key: str
    repeatable: bool
    urgency: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request for a model.

    :param pool: groups that may serve it, as one name for the queue.
    :param deadline_at: monotonic time.
    """

    request: str
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
    def pool(self) -> str:
        """Name of the queue in which the request waits."""
        return ','.join(self.groups)

    @property
    def prefix(self) -> str:
        """Name of the prompt's prefix."""
        return hash_prefix(fold_prompt(self.body))


def fold_prompt(body: Mapping[str, Any]) -> str:
    """Return the prompt of a request as one text."""
    if 'prompt' in body:
        return str(body['prompt'])
    messages = body.get('messages', ())
    return '\n'.join(str(item.get('content', '')) for item in messages)


def parse_body(raw: bytes, *, chat: bool) -> dict[str, Any]:
    """Return the checked body of a request for a model.

    :raises RequestError: with the place of the first finding.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise RequestError(f'body: no JSON: {error}') from error
    if not isinstance(body, dict):
        raise RequestError('body: not an object')
    if not isinstance(body.get('model'), str):
        raise RequestError('model: missing or not a text')
    if not isinstance(body.get('stream', False), bool):
        raise RequestError('stream: not true or false')
    if body.get('n', 1) != 1:
        raise RequestError('n: only 1 is served')
    if chat:
        _check_messages(body.get('messages'))
    elif not isinstance(body.get('prompt'), str):
        raise RequestError('prompt: missing or not a text')
    limit = body.get('max_tokens', body.get('max_completion_tokens', 16))
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        raise RequestError('max_tokens: not a whole number from 1')
    return body


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        raise RequestError('messages: missing, empty or not a list')
    for place, item in enumerate(messages):
        if not isinstance(item, dict) or not isinstance(item.get('role'), str):
            raise RequestError(f'messages[{place}]: no role')


def read_wishes(
    headers: Mapping[str, str], default_deadline_s: float, repeatable: bool = True
) -> Wishes:
    """Return what the headers ask for.

    :param repeatable: whether requests of this kind may run twice by default.
    :raises RequestError: a header is malformed.
    """
    key = headers.get('idempotency-key', '').strip().strip('"')
    if len(key) > KEY_LIMIT or not key.isprintable():
        raise RequestError(
            f'Idempotency-Key: not up to {KEY_LIMIT} printable characters'
        )
    marked = headers.get('coursepitch-repeatable')
    if marked is not None:
        if marked.strip() not in ('?0', '?1'):
            raise RequestError('Coursepitch-Repeatable: not ?0 or ?1')
        repeatable = marked.strip() == '?1'
    if not repeatable and not key:
        raise RequestError(
            'Idempotency-Key: missing, and a request that is not repeatable needs one'
        )
    return Wishes(
        key,
        repeatable and not key,
        _read_urgency(headers.get('priority', '')),
        _read_deadline(headers.get('prefer', ''), default_deadline_s),
    )


def _read_urgency(text: str) -> int:
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name == 'u':
            if value not in {'0', '1', '2', '3', '4', '5', '6', '7'}:
                raise RequestError('Priority: u is not 0 to 7')
            return int(value)
    return USUAL_URGENCY


def _read_deadline(text: str, default_s: float) -> float:
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name == 'wait':
            try:
                seconds = float(value)
            except ValueError as error:
                raise RequestError('Prefer: wait is no number') from error
            if not math.isfinite(seconds) or seconds <= 0:
                raise RequestError('Prefer: wait is not above 0')
            return min(seconds, default_s)
    return default_s
