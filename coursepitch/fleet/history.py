"""The newest changes of the store, for peers that missed some."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.platform.kv import Entry

__all__ = ['ChangeHistory']

#: Most entries that are kept: those of some seconds in which everything changes, at
#: most 2 MB at 400 bytes each.
KEPT_ENTRIES = 5_000

#: Most steps that are kept.  Source: ten a second for longer than a lease runs.
KEPT_STEPS = 200


@dataclass(frozen=True, slots=True)
class _Step:
    after: int
    revision: int
    entries: tuple[Entry, ...]


@dataclass(eq=False)
class ChangeHistory:
    """What was heard last, in steps that follow on each other."""

    _steps: collections.deque[_Step] = field(default_factory=collections.deque)
    _count: int = 0

    def note(self, after: int, revision: int, entries: tuple[Entry, ...]) -> None:
        """Note changes after one revision of the store, up to another."""
        if revision <= after:
            return
        if self._steps and self._steps[-1].revision != after:
            self._steps.clear()
            self._count = 0
        self._steps.append(_Step(after, revision, entries))
        self._count += len(entries)
        while len(self._steps) > KEPT_STEPS or self._count > KEPT_ENTRIES:
            self._count -= len(self._steps.popleft().entries)

    def list_since(self, after: int) -> tuple[Entry, ...] | None:
        """Return all changes after a revision; ``None`` if they are not all kept."""
        if not self._steps or not self._steps[0].after <= after:
            return None
        return tuple(
            entry
            for step in self._steps
            for entry in step.entries
            if entry.changed_at > after
        )
