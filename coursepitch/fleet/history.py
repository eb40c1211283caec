"""Recent changes of the store, kept for peers that missed some."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.platform.kv import Entry

__all__ = ['ChangeHistory']

#: Maximum number of entries kept: enough for some seconds in which everything changes;
#: 2 MB at 400 bytes each.
MAX_ENTRIES = 5_000

#: Maximum number of steps kept: ten per second, for longer than a lease lasts.
MAX_STEPS = 200


@dataclass(frozen=True, slots=True)
class _Step:
    """All changes after one revision of the store, up to another."""

    after: int
    revision: int
    entries: tuple[Entry, ...]


@dataclass(eq=False)
class ChangeHistory:
    """The newest changes, as a sequence of steps without gaps."""

    _steps: collections.deque[_Step] = field(default_factory=collections.deque)
    _count: int = 0

    def append(self, after: int, revision: int, entries: tuple[Entry, ...]) -> None:
        """Append the changes after one revision of the store, up to another.

        A step that does not continue the last one replaces the history.
        """
        if revision <= after:
            return
        if self._steps and self._steps[-1].revision != after:
            self._steps.clear()
            self._count = 0
        self._steps.append(_Step(after, revision, entries))
        self._count += len(entries)
        while len(self._steps) > MAX_STEPS or self._count > MAX_ENTRIES:
            self._count -= len(self._steps.popleft().entries)

    def list_since(self, after: int) -> tuple[Entry, ...] | None:
        """Return all changes after a revision; ``None`` if some are not kept."""
        if not self._steps or not self._steps[0].after <= after:
            return None
        return tuple(
            entry
            for step in self._steps
            for entry in step.entries
            if entry.changed_at > after
        )
