"""Bounded load on loopback: streamed requests at a rate or a concurrency."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from standins.harness import CALLER_KEY

__all__ = ['Sample', 'run_closed', 'run_open']


@dataclass
class Sample:
    """What one request saw; times in seconds."""

    status: int = 0
    whole: bool = False
    first: float = 0.0
    total: float = 0.0
    gaps: list[float] = field(default_factory=list)


async def send_one(
    client: httpx.AsyncClient, url: str, body: dict[str, Any], headers: dict[str, str]
) -> Sample:
    """Send one streamed request and time its chunks."""
    sample = Sample()
    started = last = time.perf_counter()
    try:
        async with client.stream('POST', url, json=body, headers=headers) as reply:
            sample.status = reply.status_code
            async for line in reply.aiter_lines():
                if not line.startswith('data: '):
                    continue
                now = time.perf_counter()
                if line == 'data: [DONE]':
                    sample.whole = True
                elif not sample.first:
                    sample.first = now - started
                else:
                    sample.gaps.append(now - last)
                last = now
    except httpx.HTTPError:
        sample.status = sample.status or -1
    sample.total = time.perf_counter() - started
    return sample


def build_body(prompt: str, tokens: int) -> dict[str, Any]:
    """Return the body of a streamed chat request."""
    return {
        'model': 'release-notes',
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': True,
    }


def build_client() -> httpx.AsyncClient:
    """Return a client without limits on connections."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=500)
    return httpx.AsyncClient(timeout=60, limits=limits, trust_env=False)


async def run_closed(
    targets: list[tuple[str, dict[str, str]]],
    concurrency: int,
    rounds: int,
    tokens: int,
    prompts: list[str] | None = None,
) -> list[Sample]:
    """Keep so many requests in flight, each for some rounds."""
    samples: list[Sample] = []
    prompts = prompts or [f'prompt {n}' for n in range(concurrency)]
    async with build_client() as client, anyio.create_task_group() as group:

        async def work(place: int) -> None:
            for turn in range(rounds):
                url, headers = targets[(place + turn) % len(targets)]
                prompt = prompts[(place * rounds + turn) % len(prompts)]
                body = build_body(prompt, tokens)
                headers = {
                    **headers,
                    'x-request-id': f'{place}-{turn}-{time.time_ns()}',
                }
                samples.append(await send_one(client, url, body, headers))

        for place in range(concurrency):
            group.start_soon(work, place)
    return samples


async def run_open(
    urls: list[str], rate: float, seconds: float, tokens: int, key: str = CALLER_KEY
) -> list[Sample]:
    """Start requests at a steady rate, whatever becomes of them."""
    samples: list[Sample] = []
    headers = {'Authorization': f'Bearer {key}'}
    async with build_client() as client, anyio.create_task_group() as group:

        async def work(place: int) -> None:
            url = urls[place % len(urls)]
            body = build_body(f'prompt {place}', tokens)
            samples.append(await send_one(client, url, body, headers))

        started = time.perf_counter()
        for place in range(int(rate * seconds)):
            wait = started + place / rate - time.perf_counter()
            if wait > 0:
                await anyio.sleep(wait)
            group.start_soon(work, place)
    return samples
