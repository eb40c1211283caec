"""Decide when a configuration change is in force on every node that may serve.

A node serves only if the key-value service confirmed its revision, to the node
itself or to a peer, within a fixed bound.  A change recorded longer ago than this
bound is therefore in force on every serving node and counts as accepted.  It is
accepted earlier if all registered nodes are known to have applied it.  Source:
design note ``configuration``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['CLOCK_MARGIN_S', 'Acceptance', 'advance_acceptance', 'is_confirmed']

#: Seconds added to the bound to allow for clock drift between nodes.
CLOCK_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The newest accepted revision and the revisions pending acceptance.

    :param accepted: newest accepted revision.
    :param pending: pending revisions, each with the local time in seconds at which
        this node first learned that it had been recorded.
    """

    accepted: int = 0
    pending: tuple[tuple[int, float], ...] = ()


def is_confirmed(contact_at: float | None, now: float, bound_s: float) -> bool:
    """Return whether a node may serve with its current revision.

    :param contact_at: upper bound on the local time in seconds at which the service
        last confirmed that no newer revision existed; ``None`` if it never did.
    :param now: local time in seconds.
    :param bound_s: seconds for which a confirmation stays valid.
    """
    return contact_at is not None and now - contact_at < bound_s


def advance_acceptance(
    state: Acceptance,
    newest: int,
    in_force: Iterable[int],
    now: float,
    bound_s: float,
) -> Acceptance:
    """Return the acceptance state updated with the revisions in force.

    :param state: acceptance state before the update.
    :param newest: newest revision known to be recorded.
    :param in_force: the revision that each registered node is known to have in
        force.
    :param now: local time in seconds.
    :param bound_s: seconds for which a confirmation stays valid.
    """
    pending = state.pending
    if newest > max([state.accepted, *(revision for revision, _ in pending)]):
        pending = (*pending, (newest, now))
    recorded_before = now - bound_s - CLOCK_MARGIN_S
    expired = [revision for revision, since in pending if since <= recorded_before]
    in_force_everywhere = min([newest, *in_force])
    accepted = max([state.accepted, in_force_everywhere, *expired])
    return Acceptance(accepted, tuple(item for item in pending if item[0] > accepted))
