"""A request over all its attempts, as state of the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from coursepitch.serving.attempts import Seen

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from coursepitch.serving.admission import Slot
    from coursepitch.serving.exchange import Exchange

__all__ = ['Attempt', 'Run', 'read_rest', 'read_text']

#: Longest wait in seconds for the end of a body behind its end mark.
REST_S = 0.05


@dataclass(eq=False)
class Attempt:
    """State of one attempt on one replica.

    :param base: chunks that the caller had when the run began.
    """

    name: str
    address: str
    replica: str
    base: int = 0
    seen: Seen = Seen.NOTHING_SENT
    status: int = 0


@dataclass(eq=False)
class Run:
    """State of a request over all its attempts.

    :param texts: text of each chunk that the caller has.
    :param closed: whether the caller has the chunk that gives the reason of
        the end, which comes after the last token and has no place.
    """

    exchange: Exchange
    slot: Slot
    attempts: int = 0
    rejoined: bool = False
    texts: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    current: Attempt | None = None
    finished: bool = False
    closed: bool = False
    ran_somewhere: bool = False


async def read_rest(pieces: AsyncIterator[bytes]) -> None:
    """Read a body to its end, so that its connection can be used again.

    The end is due with the end mark; a target that holds it back does not
    hold up the caller.
    """
    with anyio.move_on_after(REST_S):
        async for _ in pieces:
            pass


def read_text(chunk: dict[str, Any]) -> str:
    """Return the text of a chunk of either kind of completion."""
    choice = chunk['choices'][0]
    if 'text' in choice:
        return str(choice['text'])
    return str(choice.get('delta', {}).get('content') or '')
