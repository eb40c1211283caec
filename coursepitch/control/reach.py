"""Detection that a node reaches no engine, so that it concludes nothing about any."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from coursepitch.clock import Clock

__all__ = ['EngineReach']

#: Seconds between two checks of one random engine.
CHECK_INTERVAL_S = 0.5

#: Number of engines that are checked before the node counts as cut off.
CHECKED_ENGINES = 4

#: Seconds for which an engine that answered some node is checked.
REMEMBERED_S = 30.0


class EngineReach:
    """Checks engines that answered this node or another one recently.

    :param check: returns whether the engine at an address answers this node.
    :param list_answering: returns the addresses of the engines that answer, as any
        node observed.
    :ivar is_cut_off: whether no engine answers this node.
    """

    def __init__(
        self,
        check: Callable[[str], Awaitable[bool]],
        list_answering: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        self._check = check
        self._list_answering = list_answering
        self._clock = clock
        self._answered_at: dict[str, float] = {}
        self._confirming: anyio.Event | None = None
        self.is_cut_off = False

    async def run(self) -> None:
        """Check one engine after the other until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            known = self._list_known()
            if known and not await self._check(random.choice(known)):
                await self.confirm()
            elif self.is_cut_off:
                self._note(False)

    async def confirm(self) -> bool:
        """Return whether this node reaches any of several engines now."""
        if self._confirming is not None:
            await self._confirming.wait()
            return not self.is_cut_off
        known = self._list_known()
        chosen = random.sample(known, min(CHECKED_ENGINES, len(known)))
        if not chosen:
            return True
        done = self._confirming = anyio.Event()
        reached = False
        try:
            async with anyio.create_task_group() as tasks:

                async def check(address: str) -> None:
                    nonlocal reached
                    if await self._check(address):
                        reached = True
                        tasks.cancel_scope.cancel()

                for address in chosen:
                    tasks.start_soon(check, address)
        finally:
            self._confirming = None
            done.set()
        self._note(not reached)
        return reached

    def _list_known(self) -> list[str]:
        """Return the addresses of the engines that answered recently."""
        now = self._clock()
        if not self.is_cut_off:
            # Of a node that is cut off, the last observations are kept.
            start = now - REMEMBERED_S
            self._answered_at = {
                address: at for address, at in self._answered_at.items() if at > start
            }
        self._answered_at.update(dict.fromkeys(self._list_answering(), now))
        return list(self._answered_at)

    def _note(self, is_cut_off: bool) -> None:
        if is_cut_off == self.is_cut_off:
            return
        self.is_cut_off = is_cut_off
        log.emit(events.ENGINES_LOST if is_cut_off else events.ENGINES_REACHED)
