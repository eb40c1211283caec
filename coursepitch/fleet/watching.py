"""One watch of all keys of the store, ended when it is found to be silent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.platform.kv import Unavailable

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.fleet.view import FleetView
    from coursepitch.platform.kv import Events, KeyValue

__all__ = ['GuardedWatch']

#: Seconds for which one watch waits.
WATCH_S = 10.0

#: Seconds for which the store may be ahead of what a waiting watch has told before
#: the watch counts as silent: an open connection may go silent for good without a
#: sign.  Source: changes come within some milliseconds of a watch, and the next
#: watch begins at most 0.7 s after an answer.
WATCH_LAG_S = 1.5


@dataclass(eq=False)
class GuardedWatch:
    """The watch of one node; other calls tell it how far the store is."""

    kv: KeyValue
    view: FleetView
    clock: Clock
    _scope: anyio.CancelScope | None = None
    _ahead: tuple[int, float] | None = None
    _silent: bool = False

    async def wait(self, after: int) -> Events | Unavailable | None:
        """Return what the watch told; ``None`` if it was silent while changes came.

        :param after: store revision after which changes are wanted.
        """
        self._ahead = None
        self._silent = False
        with anyio.CancelScope() as scope:
            self._scope = scope
            return await self.kv.watch('', after, WATCH_S)
        return None if self._silent else Unavailable('watch: begun before a gap')

    def note_store_revision(self, revision: int) -> None:
        """End a watch that says nothing of changes which the store has made.

        :param revision: the store's, as another call told it.
        """
        heard = self.view.heard_revision
        if revision <= heard:
            self._ahead = None
        elif self._ahead is None or self._ahead[0] != heard:
            self._ahead = (heard, self.clock())
        elif self.clock() - self._ahead[1] >= WATCH_LAG_S:
            log.emit(events.WATCH_SILENT, heard=heard, revision=revision)
            self._silent = True
            self.end()

    def end(self) -> None:
        """End the watch, if one waits, so that it is begun anew."""
        self._ahead = None
        if self._scope is not None:
            self._scope.cancel()
