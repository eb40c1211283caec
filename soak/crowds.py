"""Crowds of clients that keep to no limit, in a run."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from tests.whole import crowds
from tests.whole.platform_base import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.whole.platform_base import Node

__all__ = ['MEMORY_MB', 'hold_on']

#: Memory of a node in MB that its settings tell, so that a small crowd is too much: a
#: quarter of it for bytes, and 122 connections.
MEMORY_MB = 16

#: Clients of a crowd, which leave connections for all other clients of its node.
MEMBERS = 50

#: Bytes of a body, just below the limit, and of chunks.
BODY_BYTES = 99_000
LARGE_CHUNK = 9_000
SMALL_CHUNK = 16


def _build_head(name: str, line: str) -> bytes:
    """Return the head of a request that is never whole."""
    lines = [f'{key}: {value}' for key, value in build_headers(name).items()]
    return '\r\n'.join(['POST /once/x HTTP/1.1', *lines, line, '', '']).encode()


#: What each client sends, by the mode of the fault.
_MEMBERS: dict[str, Callable[[Callable[[str], bytes]], Iterator[bytes]]] = {
    'short': partial(crowds.send_short, size=BODY_BYTES),
    'chunks': partial(crowds.send_chunks, size=BODY_BYTES, chunk=LARGE_CHUNK),
    'small chunks': partial(crowds.send_chunks, size=BODY_BYTES, chunk=SMALL_CHUNK),
    'too much': partial(crowds.send_too_much, size=8 * BODY_BYTES, chunk=LARGE_CHUNK),
    'silent': crowds.send_nothing,
}


def hold_on(node: Node, mode: str, seconds: float, name: str) -> None:
    """Let a crowd send, and hold its connections for some seconds.

    :param name: beginning of the ids of its requests.
    """
    build_members = _MEMBERS[mode]
    members = [
        build_members(partial(_build_head, f'{name}-{number}'))
        for number in range(MEMBERS)
    ]

    async def run() -> None:
        address = ('127.0.0.1', node.ports['clients'])
        crowd = crowds.Crowd(address, members)
        try:
            # The run has no bound of its own on the time that a node reads slowly for.
            async with asyncio.timeout(seconds):
                await crowd.send()
                await asyncio.sleep(seconds)
        except TimeoutError:
            pass
        finally:
            crowd.close()

    asyncio.run(run())
