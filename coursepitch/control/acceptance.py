"""When a recorded change counts as accepted: in force on all that may serve.

A node serves only while the service confirmed its revision, to itself or to a
peer, less than a bound ago.  So a change that was recorded longer ago than that
is in force wherever anybody serves; it is accepted sooner when all registered
nodes are known to have it.  Source: design note ``configuration``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['MARGIN_S', 'Acceptance', 'advance_acceptance', 'is_confirmed']

#: Seconds added to the bound, for clocks that run at different rates.
MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Progress of the newest revisions towards acceptance.

    :param accepted: newest accepted revision.
    :param seen: for each revision not yet accepted, the local time at which it
        was first known to be recorded.
    """

    accepted: int = 0
    seen: tuple[tuple[int, float], ...] = ()


def is_confirmed(contact_at: float | None, now: float, bound_s: float) -> bool:
    """Return whether a node may serve on the revision it has in force.

    :param contact_at: local time, at the latest, at which the service confirmed
        that there was no newer one; ``None`` for never.
    """
    return contact_at is not None and now - contact_at < bound_s


def advance_acceptance(
    state: Acceptance,
    newest: int,
    in_force: Iterable[int],
    now: float,
    bound_s: float,
) -> Acceptance:
    """Return the state after a look at the revisions in force.

    :param newest: newest revision known to be recorded.
    :param in_force: what each registered node is known to have in force.
    """
    seen = state.seen
    if newest > max([state.accepted, *(revision for revision, _ in seen)]):
        seen = (*seen, (newest, now))
    waited = now - bound_s - MARGIN_S
    settled = [revision for revision, since in seen if since <= waited]
    everywhere = min([newest, *in_force])
    accepted = max([state.accepted, everywhere, *settled])
    return Acceptance(accepted, tuple(item for item in seen if item[0] > accepted))
