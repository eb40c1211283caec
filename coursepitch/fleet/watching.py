"""A watch on all keys of the store, repeated when it stays behind the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.pause_detector import sleep_running
from coursepitch.platform.kv import Events, Unavailable

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.fleet.view import FleetView
    from coursepitch.platform.kv import KeyValue

__all__ = ['GuardedWatch']

#: Seconds for which one watch request waits for changes.
WATCH_S = 10.0

#: Shortest time in seconds for which a watch may be behind the store before it is sent
#: again over another connection: a connection may stall for good without an error.  A
#: watch delivers changes within some milliseconds.
REPEAT_S = 0.3

#: Factor on the time of another call, for a store that answers slowly.
REPEAT_FACTOR = 2.0

#: Seconds for which the store may be ahead of a pending watch, and of the one that
#: repeats it, before both count as silent.
WATCH_LAG_S = 1.5


@dataclass(eq=False)
class GuardedWatch:
    """The watch of one node, supervised by the store revisions of other calls."""

    kv: KeyValue
    view: FleetView
    clock: Clock
    _scope: anyio.CancelScope | None = None
    #: Newest known revision of the store, and for how long a watch may be behind it.
    _newest: int = 0
    _repeat_s: float = REPEAT_S
    _advanced: anyio.Event = field(default_factory=anyio.Event)

    async def wait(self, after: int) -> Events | Unavailable | None:
        """Return the changes of a watch; ``None`` if it missed changes.

        A watch that stays behind the store is sent again over a new connection, and the
        first response of the two counts: the store may be slow as well.

        :param after: store revision after which changes are requested.
        """
        found: list[Events | Unavailable | None] = []
        async with anyio.create_task_group() as tasks:
            self._scope = tasks.cancel_scope

            def finish(result: Events | Unavailable | None) -> None:
                found.append(result)
                tasks.cancel_scope.cancel()

            async def ask() -> None:
                finish(await self.kv.watch('', after, WATCH_S))

            async def repeat() -> None:
                result = await self.kv.watch('', after, WATCH_S, new_connection=True)
                if isinstance(result, Events):
                    finish(result)

            async def supervise() -> None:
                repeat_s = await self._wait_behind(None)
                self._log(events.WATCH_REPEATED)
                tasks.start_soon(repeat)
                await self._wait_behind(max(repeat_s, WATCH_LAG_S - repeat_s))
                self._log(events.WATCH_SILENT)
                finish(None)

            tasks.start_soon(ask)
            tasks.start_soon(supervise)
        self._scope = None
        return found[0] if found else Unavailable('watch: started before an outage')

    async def _wait_behind(self, limit_s: float | None) -> float:
        """Wait until the watch has been behind the store for long, without progress.

        :param limit_s: the time in seconds; by default, that in which a store as fast
            as now delivers changes.
        :return: the time that was applied.
        """
        while True:
            while self._newest <= self.view.received_revision:
                self._advanced = anyio.Event()
                await self._advanced.wait()
            heard = self.view.received_revision
            time_s = self._repeat_s if limit_s is None else limit_s
            await sleep_running(self.clock, time_s)
            if self.view.received_revision == heard:
                return time_s

    def note_store_revision(self, revision: int, took_s: float | None = None) -> None:
        """Record a known revision of the store, up to which a watch must deliver.

        :param revision: store revision, as returned by another call.
        :param took_s: seconds that this call of the node took, if it was one.
        """
        if took_s is not None:
            self._repeat_s = min(WATCH_LAG_S, max(REPEAT_S, took_s * REPEAT_FACTOR))
        if revision > self._newest:
            self._newest = revision
            self._advanced.set()

    def _log(self, event: events.Event) -> None:
        log.emit(event, heard=self.view.received_revision, revision=self._newest)

    def end(self) -> None:
        """Cancel a pending watch, so that it is started again."""
        if self._scope is not None:
            self._scope.cancel()
