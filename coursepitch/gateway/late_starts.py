"""Work for requests that wait for long, which most requests do without."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.session import FleetSession

__all__ = ['LateStarts']

#: Longest time in seconds between two looks.  No function is due sooner after it was
#: added, so that it need not wake the task that looks.
MAX_WAIT_S = 0.2


@dataclass(eq=False, slots=True)
class _Start:
    """A function to call.

    :param due_at: monotonic time from which it is called.
    :param is_early: whether it is called before, asked once the view changes.
    """

    due_at: float
    is_early: Callable[[], bool]
    start: Callable[[], object]


class LateStarts:
    """Call functions once they are due, unless they are withdrawn before.

    One task waits for all requests: a task for each is a cost of every request, and few
    wait until anything is due.
    """

    def __init__(self, session: FleetSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock
        self._starts: set[_Start] = set()

    def add(
        self,
        delay_s: float,
        start: Callable[[], object],
        is_early: Callable[[], bool] = lambda: False,
    ) -> Callable[[], None]:
        """Call a function later; return a function that prevents it.

        :param delay_s: seconds until it is called.
        :param is_early: whether it is called sooner, asked once the view changes.
        """
        due_at = self._clock() + max(delay_s, MAX_WAIT_S)
        item = _Start(due_at, is_early, start)
        self._starts.add(item)
        return partial(self._starts.discard, item)

    async def run(self) -> None:
        """Call the functions that are due, until cancelled."""
        while True:
            due_at = min((item.due_at for item in self._starts), default=float('inf'))
            left_s = max(0.0, due_at - self._clock())
            await self._session.wait_changed(min(left_s, MAX_WAIT_S))
            now = self._clock()
            found = [
                item for item in self._starts if item.due_at <= now or item.is_early()
            ]
            for item in found:
                self._starts.discard(item)
                item.start()
