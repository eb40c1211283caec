"""Event loop that tells since when an event may have waited to be processed.

A busy process reads a request later than it came.  Its client counts from when it sent
the request, so a deadline that is counted from the read lasts longer than the client.
"""

from __future__ import annotations

import asyncio
import selectors
import weakref
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = [
    'TimedSelector',
    'build_event_loop',
    'find_event_time',
    'find_poll_time',
]

#: Seconds from which a call of the selector has waited for its events; a shorter one
#: found them there.
MIN_WAIT_S = 0.0005


class TimedSelector(selectors.DefaultSelector):
    """Selector that knows when the events that it reported last can have come.

    :ivar event_time: earliest such time: the end of the call before, or of this one if
        it had to wait for them.
    :ivar polled_at: end of the last call.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self.polled_at = self.event_time = clock()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events that are there, or wait for some."""
        called_at = self._clock()
        found = super().select(timeout)
        now = self._clock()
        has_waited = now - called_at >= MIN_WAIT_S
        self.event_time = now if has_waited else self.polled_at
        self.polled_at = now
        return found


_selectors: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, TimedSelector] = (
    weakref.WeakKeyDictionary()
)


def build_event_loop(clock: Clock) -> asyncio.AbstractEventLoop:
    """Return an event loop for whose events :func:`find_event_time` tells the time."""
    selector = TimedSelector(clock)
    loop = asyncio.SelectorEventLoop(selector)
    _selectors[loop] = selector
    return loop


def find_event_time(loop: asyncio.AbstractEventLoop) -> float:
    """Return the earliest time at which the events processed now can have come.

    :return: a reading of the clock of the event loop's builder; infinity for an event
        loop that does not tell.
    """
    selector = _selectors.get(loop)
    return float('inf') if selector is None else selector.event_time


def find_poll_time(loop: asyncio.AbstractEventLoop) -> float:
    """Return the time at which an event loop last looked for events.

    :return: as of :func:`find_event_time`.
    """
    selector = _selectors.get(loop)
    return float('inf') if selector is None else selector.polled_at
