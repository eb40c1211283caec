"""For how long the store has answered without a gap, as one node knows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['StoreContact']

#: Seconds between two answers of the store beyond which it may have been away.
#: Source: in calm times a node hears of one every 1.6 s at least; an entry lapses
#: after three heartbeats without a write, so that two of 1.2 s each were missed.
GAP_S = 2.0


@dataclass(eq=False)
class StoreContact:
    """The span up to now in which the store answered, here or elsewhere.

    That one node's questions stay unanswered says nothing of the store: it stood for
    as long as anybody knows it to have answered.

    :param since: when the first question after the newest gap was sent.
    :param newest: when the newest question that the store answered was sent.
    """

    clock: Clock
    since: float = float('-inf')
    newest: float = float('-inf')

    def note_answered(self, asked_at: float) -> bool:
        """Note that the store answered a question that was sent at that time.

        :return: whether a gap ended with it.
        """
        if asked_at <= self.newest:
            return False
        gap = asked_at - self.newest > GAP_S
        if gap:
            self.since = asked_at
        self.newest = asked_at
        return gap

    @property
    def steady_s(self) -> float:
        """Seconds up to now for which the store has answered without a gap."""
        now = self.clock()
        return 0.0 if now - self.newest > GAP_S else now - self.since
