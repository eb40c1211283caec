"""Builders and readers of calls on a running system."""

from __future__ import annotations

import json
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx

from standins.engine import make_token
from standins.harness import CALLER_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.harness import Harness

__all__ = ['Answer', 'call_stream', 'expect_tokens', 'in_background']

_POOL = ThreadPoolExecutor(32)


@dataclass(frozen=True)
class Answer:
    """What a caller saw of a request.

    :param whole: whether the end mark came, or the whole body without a stream.
    """

    status: int
    text: str
    whole: bool
    outcome: str
    error: dict[str, Any]


def expect_tokens(prompt: str, count: int) -> str:
    """Return the text that the stand-in makes for a prompt."""
    return ''.join(make_token(prompt, place) for place in range(count))


def call_stream(
    harness: Harness,
    node: str,
    body: dict[str, Any],
    on_text: Callable[[str, str], None] | None = None,
    **headers: str,
) -> Answer:
    """Send a streamed chat request and read it to its end."""
    url = f'{harness.entry(node)}/v1/chat/completions'
    headers['Authorization'] = f'Bearer {CALLER_KEY}'
    text, whole, error = '', False, {}
    with (
        httpx.Client(timeout=90, trust_env=False) as client,
        client.stream(
            'POST', url, json={**body, 'stream': True}, headers=headers
        ) as reply,
    ):
        if reply.status_code != 200:
            error = json.loads(reply.read())['error']
            return Answer(reply.status_code, '', False, error['outcome'], error)
        try:
            for line in reply.iter_lines():
                data = line.removeprefix('data: ')
                if data == '[DONE]':
                    whole = True
                elif data:
                    chunk = json.loads(data)
                    error = chunk.get('error', error)
                    if not error:
                        text += chunk['choices'][0]['delta'].get('content', '')
                    if on_text:
                        on_text(text, reply.headers['x-request-id'])
        except httpx.HTTPError as problem:
            error = {'outcome': 'cut', 'message': repr(problem)}
    outcome = 'answered' if whole else error.get('outcome', 'cut')
    return Answer(200, text, whole, outcome, error)


def in_background(work: Callable[[], Any]) -> Future[Any]:
    """Run a call in a thread of its own."""
    return _POOL.submit(work)
