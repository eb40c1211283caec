"""Watch of a prefix in the key-value service that continues after outages."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from coursepitch.errors import CodecError, UnavailableError
from coursepitch.platform.kv import Unavailable, compute_backoff_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from coursepitch.platform.kv import Events, KeyValue

__all__ = ['follow_prefix']


async def follow_prefix(
    kv: KeyValue, prefix: str, wait_s: float, take: Callable[[Events], Awaitable[None]]
) -> None:
    """List a prefix, then report its changes until cancelled.

    An unavailable service is retried with jittered exponential back-off.  If
    ``take`` raises an error, the prefix is listed again.

    :param wait_s: maximum time in seconds that one watch call waits for a change.
    :param take: callback that receives the listing and each batch of changes.
    """
    after = -1
    attempt = 0
    while True:
        if after < 0:
            found = await kv.list_prefix(prefix)
        else:
            found = await kv.watch(prefix, after, wait_s)
        if isinstance(found, Unavailable):
            attempt += 1
            await anyio.sleep(compute_backoff_s(attempt, random.random()))
            continue
        try:
            await take(found)
        except (UnavailableError, CodecError):
            attempt += 1
            after = -1
            await anyio.sleep(compute_backoff_s(attempt, random.random()))
            continue
        attempt = 0
        after = found.revision
