"""Whether a node may serve, and when a change counts as accepted.

Both are judged together: a change is accepted only when no node can still
serve on an older revision.  Source: design note ``configuration``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    'MARGIN_S',
    'Acceptance',
    'PeerState',
    'Permit',
    'advance_acceptance',
    'judge_permit',
]

#: Seconds added to every wait for another node's permit, for clock drift.
MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class PeerState:
    """What is known of another node, in local monotonic time.

    :param stated_at: time, at the latest, at which it stated this.
    :param contact_at: time, at the latest, at which the service confirmed to
        it that ``in_force`` was the newest revision; ``None`` for never.
    """

    in_force: int
    stated_at: float
    contact_at: float | None


@dataclass(frozen=True, slots=True)
class Permit:
    """Whether to serve, on what ground, and who is known to be in touch."""

    granted: bool
    ground: str


def judge_permit(
    in_force: int,
    contact_at: float | None,
    me: str,
    registered: frozenset[str],
    peers: Mapping[str, PeerState],
    now: float,
    permit_s: float,
) -> Permit:
    """Return whether a node may serve on the revision it has in force.

    There are three grounds: the service confirmed the revision a short time
    ago; it did so to a peer; or more than half of the registered nodes were
    heard a short time ago and none of them has the service, which is an
    outage, in which nothing can be recorded.
    """
    since = now - permit_s
    if contact_at is not None and contact_at > since:
        return Permit(True, 'service')
    if any(
        peer.contact_at is not None
        and peer.contact_at > since
        and peer.in_force <= in_force
        for peer in peers.values()
    ):
        return Permit(True, 'peer')
    heard = {name: peer for name, peer in peers.items() if peer.stated_at > since}
    if any(peer.in_force > in_force for peer in heard.values()):
        return Permit(False, 'behind a peer')
    votes = (set(heard) | {me}) & registered
    if 2 * len(votes) > len(registered) > 0:
        return Permit(True, 'outage')
    return Permit(False, 'cut off')


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Progress of the newest revisions towards acceptance.

    :param accepted: newest accepted revision.
    :param majority: for each revision not yet accepted, the local time at
        which more than half of the registered nodes were first seen with it.
    """

    accepted: int = 0
    majority: tuple[tuple[int, float], ...] = ()


def advance_acceptance(
    state: Acceptance,
    newest: int,
    registered: frozenset[str],
    in_force: Mapping[str, int],
    now: float,
    permit_s: float,
) -> Acceptance:
    """Return the state after a look at the revisions in force.

    A revision is accepted when all registered nodes have it in force, or when
    more than half have had it for longer than a permit lasts: then a node
    without it has lost its permit, and no set of nodes large enough to go on
    in an outage is without a node that has it.
    """
    if not registered:
        return state
    revisions = sorted((in_force.get(name, 0) for name in registered), reverse=True)
    everywhere = min(revisions[-1], newest)
    with_majority = min(revisions[len(revisions) // 2], newest)
    seen = [item for item in state.majority if item[0] > state.accepted]
    if with_majority > max([state.accepted, *(item[0] for item in seen)]):
        seen.append((with_majority, now))
    waited = now - permit_s - MARGIN_S
    settled = [revision for revision, since in seen if since <= waited]
    accepted = max([state.accepted, everywhere, *settled])
    return Acceptance(accepted, tuple(item for item in seen if item[0] > accepted))
