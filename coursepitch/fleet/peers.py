"""State received from peers: loads, confirmations and store revisions.

A confirmation that a peer got from the store is valid for this node too, if its age
is counted from the peer's request or earlier.  The two clocks are not compared: a
peer's heartbeat echoes the reading of this node's clock that the peer received last.
So the heartbeat was created after that reading, and whatever the peer did ``x``
seconds before creating the heartbeat happened no earlier than ``x`` seconds before
that reading.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from coursepitch.fleet.messages import OtherLoads

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Heartbeat

Number = TypeVar('Number', int, float)

__all__ = ['Confirmation', 'PeerRegistry']

#: Seconds without a heartbeat after which a peer's state no longer counts.
FORGET_S = 1.2

#: Maximum age in seconds of a peer's confirmation for its watch to be trusted.
TRUSTED_CONFIRMATION_S = 2.0

#: Seconds for which this node may lag behind a peer's revision before it asks the
#: store itself: the changes may be in transit.
LAG_S = 0.3

#: Sums up to this value are rounding errors of zero.
ROUNDING_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Proof that a configuration was the newest in the store.

    :param asked_at: reading of this node's clock, no later than the read request.
    """

    revision: int
    asked_at: float


@dataclass(eq=False)
class _Peer:
    received_at: float
    beat: Heartbeat
    confirmed_at: float = float('-inf')


@dataclass(eq=False)
class PeerRegistry:
    """The newest heartbeat of each linked peer, and sums over them.

    :param incarnation: incarnation of this node; echoes of any other are ignored.
    """

    incarnation: int
    clock: Clock
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _counts: dict[str, int] = field(default_factory=dict)
    _work: dict[str, float] = field(default_factory=dict)
    _received_sum: OtherLoads | None = None
    _own_heartbeat: Heartbeat | None = None
    _lagging_since: float | None = None

    def note_own(self, beat: Heartbeat) -> None:
        """Record this node's own heartbeat, for the sums that it sends to peers."""
        self._own_heartbeat = beat

    def take(self, beat: Heartbeat) -> Confirmation | None:
        """Record a heartbeat; return the confirmation it proves, if any."""
        now = self.clock()
        self._remove(beat.node)
        peer = self._peers[beat.node] = _Peer(now, beat)
        _add(self._counts, beat.counts, 1)
        _add(self._work, beat.work, 1)
        self._select_received_sum()
        if beat.asked_at is None or beat.echo_incarnation != self.incarnation:
            return None
        age_s = beat.sent_at - beat.asked_at
        if age_s < 0 or beat.echo_at > now:
            return None
        peer.confirmed_at = beat.echo_at - age_s
        return Confirmation(beat.table_revision, peer.confirmed_at)

    def forget_silent(self) -> None:
        """Remove the peers whose last heartbeat is too old."""
        start = self.clock() - FORGET_S
        silent = [
            name for name, item in self._peers.items() if item.received_at < start
        ]
        for node in silent:
            self._remove(node)
        self._select_received_sum()

    def _remove(self, node: str) -> None:
        peer = self._peers.pop(node, None)
        if peer is not None:
            _add(self._counts, peer.beat.counts, -1)
            _add(self._work, peer.beat.work, -1)

    def _select_received_sum(self) -> None:
        """Select the received sum that covers most nodes.

        Select none if this node hears at least as many peers itself.
        """
        received = [
            item.beat.others for item in self._peers.values() if item.beat.others
        ]
        best = max(received, key=lambda item: item.nodes, default=None)
        self._received_sum = best if best and best.nodes > len(self._peers) else None

    # -- queries -------------------------------------------------------------------

    def list_heard(self) -> set[str]:
        """Return the peers with a recent heartbeat."""
        return set(self._peers)

    def count_others(self) -> int:
        """Return how many other nodes are known to be alive."""
        return self._received_sum.nodes if self._received_sum else len(self._peers)

    def read_echo(self, node: str) -> tuple[int, float]:
        """Return what to echo to a peer: its incarnation and its clock reading."""
        peer = self._peers.get(node)
        return (0, 0.0) if peer is None else (peer.beat.incarnation, peer.beat.sent_at)

    def sum_others(self, node: str) -> OtherLoads | None:
        """Return the summed loads of this node and all others except one peer.

        ``None`` unless that peer requested them.  A received sum is used instead of
        this node's own where it covers more nodes.
        """
        peer = self._peers.get(node)
        if peer is None or not peer.beat.wants_others:
            return None
        received = self._received_sum
        nodes = received.nodes if received else len(self._peers)
        counts = dict(received.counts if received else self._counts)
        work = dict(received.work if received else self._work)
        _add(counts, peer.beat.counts, -1)
        _add(work, peer.beat.work, -1)
        if self._own_heartbeat is not None:
            _add(counts, self._own_heartbeat.counts, 1)
            _add(work, self._own_heartbeat.work, 1)
        return OtherLoads(nodes, counts, work)

    def is_relay(self, node: str) -> bool:
        """Whether a peer requests loads and forwards them to others."""
        peer = self._peers.get(node)
        return peer is not None and peer.beat.wants_others and peer.beat.watching

    def wants_changes(self, node: str) -> bool:
        """Whether a peer needs changes: it requests loads, or relays to others."""
        peer = self._peers.get(node)
        return peer is not None and (peer.beat.wants_others or peer.beat.watching)

    def count(self, instance: str) -> int:
        """Return the other nodes' requests in flight at an instance."""
        counts = self._received_sum.counts if self._received_sum else self._counts
        return counts.get(instance, 0)

    def find_mean_in_flight(self) -> float:
        """Return the mean of the other nodes' requests in flight; infinite for none."""
        counts = self._received_sum.counts if self._received_sum else self._counts
        nodes = self.count_others()
        return sum(counts.values()) / nodes if nodes else float('inf')

    def read_work(self, own: dict[str, float]) -> dict[str, float]:
        """Return the incoming work of all nodes by model.

        :param own: this node's part, in instance-seconds per second.
        """
        total = dict(own)
        _add(total, self._received_sum.work if self._received_sum else self._work, 1)
        return total

    def find_store_uptime_s(self) -> float:
        """Return the longest time in seconds for which a peer saw the store answer."""
        start = self.clock() - FORGET_S
        recent = (item for item in self._peers.values() if item.received_at >= start)
        return max((item.beat.store_uptime_s for item in recent), default=0.0)

    def find_peer_ahead(self, revision: int) -> str:
        """Return the peer with the newest revision, if newer; empty for none.

        :param revision: store revision up to which this node received all changes.
        """
        start = self.clock() - FORGET_S
        ahead = [
            (item.beat.received_revision, name)
            for name, item in self._peers.items()
            if item.received_at >= start and item.beat.received_revision > revision
        ]
        return max(ahead, default=(0, ''))[1]

    def find_newest_revision(self) -> int:
        """Return the newest store revision that a peer has received; 0 for none."""
        return max(
            (item.beat.received_revision for item in self._peers.values()), default=0
        )

    def find_newer_table(self, revision: int) -> str:
        """Return a peer with the newest configuration, if newer; empty for none.

        Chosen at random among the peers that have it, to spread the requests.

        :param revision: store revision of this node's configuration.
        """
        newest = max(
            (item.beat.table_revision for item in self._peers.values()), default=0
        )
        if newest <= revision:
            return ''
        have = [
            name
            for name, item in self._peers.items()
            if item.beat.table_revision == newest
        ]
        return random.choice(have)

    def is_relayed(self, revision: int) -> bool:
        """Whether peers relay all changes, so that this node needs no watch.

        :param revision: store revision up to which this node received all changes.
        """
        now = self.clock()
        trusted = [
            item.beat.received_revision
            for item in self._peers.values()
            if item.beat.watching
            and now - item.received_at < FORGET_S
            and now - item.confirmed_at < TRUSTED_CONFIRMATION_S
        ]
        if not trusted:
            self._lagging_since = None
            return False
        if revision >= max(trusted):
            self._lagging_since = None
            return True
        if self._lagging_since is None:
            self._lagging_since = now
        return now - self._lagging_since < LAG_S


def _add(total: dict[str, Number], part: Mapping[str, Number], sign: int) -> None:
    """Add or subtract a mapping of numbers in place; drop sums of zero."""
    for name, value in part.items():
        left = total.get(name, 0) + sign * value
        if left > ROUNDING_ERROR:
            total[name] = left
        else:
            total.pop(name, None)
