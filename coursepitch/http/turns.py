"""Limit on the work that one connection does in a turn of the event loop."""

from __future__ import annotations

import asyncio

__all__ = ['MAX_TURN_S', 'REST_S', 'TurnLimiter']

#: Seconds for which a connection works before it leaves the event loop to others.  A
#: request passes through the loop some ten times, and each time may wait for a turn of
#: each such connection.
MAX_TURN_S = 0.002

#: Seconds for which a connection rests after a whole turn: it takes a quarter of the
#: loop's time.
REST_S = 0.006


class TurnLimiter:
    """Measures the turns of a connection."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time()

    def begin(self) -> None:
        """Begin a turn, just after a wait."""
        self._began_at = self._loop.time()

    async def give_way(self) -> None:
        """Rest if the turn is over; nothing else may be awaited in a turn."""
        if self._loop.time() - self._began_at > MAX_TURN_S:
            await asyncio.sleep(REST_S)
            self.begin()
