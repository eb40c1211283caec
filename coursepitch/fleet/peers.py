"""What other nodes told: loads, confirmations and how far they have heard.

A confirmation that a peer got from the store holds for this node too, if its
age counts from no later than when the peer asked.  The two clocks are not
compared: a heartbeat from a peer carries back the reading of this node's clock
that the peer had received before it made the heartbeat.  So the heartbeat was
made after that reading, and what the peer did ``x`` seconds before it made the
heartbeat happened no earlier than ``x`` seconds before that reading.
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

__all__ = ['Confirmation', 'PeerBook']

#: Seconds after which what a peer told no longer counts: three heartbeats that
#: did not arrive.
FORGET_S = 1.2

#: Age in seconds of a peer's confirmation past which its watch is not trusted.
SOUND_S = 2.0

#: Seconds by which this node may lag behind what a peer has heard before it
#: asks the store itself: the message may be on its way.
LAG_S = 0.3


#: Sums at or below which nothing is left but rounding.
TINY = 1e-9


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A configuration was in force in the store.

    :param asked_at: reading of this node's clock, no later than the question.
    """

    revision: int
    asked_at: float


@dataclass(eq=False)
class _Peer:
    heard_at: float
    beat: Heartbeat
    confirmed_at: float = float('-inf')


@dataclass(eq=False)
class PeerBook:
    """The newest heartbeat of each linked peer, and sums over them.

    :param incarnation: of this node; peers' echoes of another one don't count.
    """

    incarnation: int
    clock: Clock
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _counts: dict[str, int] = field(default_factory=dict)
    _work: dict[str, float] = field(default_factory=dict)
    _told: OtherLoads | None = None
    _own: Heartbeat | None = None
    _behind_since: float | None = None

    def note_own(self, beat: Heartbeat) -> None:
        """Note what this node tells of itself, for the sums it tells others."""
        self._own = beat

    def take(self, beat: Heartbeat) -> Confirmation | None:
        """Take a heartbeat; return the confirmation that follows from it."""
        now = self.clock()
        self._drop(beat.node)
        peer = self._peers[beat.node] = _Peer(now, beat)
        _add(self._counts, beat.counts, 1)
        _add(self._work, beat.work, 1)
        self._choose_told()
        if beat.asked_at is None or beat.echo_incarnation != self.incarnation:
            return None
        age_s = beat.sent_at - beat.asked_at
        if age_s < 0 or beat.echo_at > now:
            return None
        peer.confirmed_at = beat.echo_at - age_s
        return Confirmation(beat.table_revision, peer.confirmed_at)

    def forget_silent(self) -> None:
        """Drop the peers that told nothing for too long."""
        start = self.clock() - FORGET_S
        silent = [name for name, item in self._peers.items() if item.heard_at < start]
        for node in silent:
            self._drop(node)
        self._choose_told()

    def _drop(self, node: str) -> None:
        peer = self._peers.pop(node, None)
        if peer is not None:
            _add(self._counts, peer.beat.counts, -1)
            _add(self._work, peer.beat.work, -1)

    def _choose_told(self) -> None:
        """Choose the sum that covers most nodes, unless this node hears more."""
        told = [item.beat.others for item in self._peers.values() if item.beat.others]
        best = max(told, key=lambda item: item.nodes, default=None)
        self._told = best if best and best.nodes > len(self._peers) else None

    # -- what others ask ----------------------------------------------------------

    def list_heard(self) -> set[str]:
        """Return the peers that told something just now."""
        return set(self._peers)

    def count_others(self) -> int:
        """Return how many other nodes are known to live."""
        return self._told.nodes if self._told else len(self._peers)

    def read_echo(self, node: str) -> tuple[int, float]:
        """Return what to echo to a peer: its incarnation and its clock's reading."""
        peer = self._peers.get(node)
        return (0, 0.0) if peer is None else (peer.beat.incarnation, peer.beat.sent_at)

    def sum_others(self, node: str) -> OtherLoads | None:
        """Return the loads of this node and of all others, but for one of them.

        ``None`` unless that one asked for them.  What this node is told of stands in
        for what it hears itself where it covers more nodes.
        """
        peer = self._peers.get(node)
        if peer is None or not peer.beat.wants_others:
            return None
        told = self._told
        nodes = told.nodes if told else len(self._peers)
        counts = dict(told.counts if told else self._counts)
        work = dict(told.work if told else self._work)
        _add(counts, peer.beat.counts, -1)
        _add(work, peer.beat.work, -1)
        if self._own is not None:
            _add(counts, self._own.counts, 1)
            _add(work, self._own.work, 1)
        return OtherLoads(nodes, counts, work)

    def is_relay(self, node: str) -> bool:
        """Whether a peer tells others what it wants to be told."""
        peer = self._peers.get(node)
        return peer is not None and peer.beat.wants_others and peer.beat.watching

    def wants_changes(self, node: str) -> bool:
        """Whether a peer is to be told of changes: it asked, or others follow it."""
        peer = self._peers.get(node)
        return peer is not None and (peer.beat.wants_others or peer.beat.watching)

    def count(self, instance: str) -> int:
        """Return the requests in flight from other nodes at an instance."""
        counts = self._told.counts if self._told else self._counts
        return counts.get(instance, 0)

    def read_work(self, own: dict[str, float]) -> dict[str, float]:
        """Return the work of all nodes by model."""
        total = dict(own)
        _add(total, self._told.work if self._told else self._work, 1)
        return total

    def find_steady_s(self) -> float:
        """Return the longest time for which a peer knows that the store answered."""
        start = self.clock() - FORGET_S
        heard = (item for item in self._peers.values() if item.heard_at >= start)
        return max((item.beat.steady_s for item in heard), default=0.0)

    def find_ahead(self, heard: int) -> str:
        """Return the peer that heard furthest, if it is ahead; empty for none.

        :param heard: store revision up to which this node heard of all changes.
        """
        start = self.clock() - FORGET_S
        ahead = [
            (item.beat.heard, name)
            for name, item in self._peers.items()
            if item.heard_at >= start and item.beat.heard > heard
        ]
        return max(ahead, default=(0, ''))[1]

    def find_newest_heard(self) -> int:
        """Return the newest store revision that a peer has heard of; 0 for none."""
        return max((item.beat.heard for item in self._peers.values()), default=0)

    def find_table(self, revision: int) -> str:
        """Return a peer with the newest configuration, if newer than this one's.

        Any of those that have it, so that not all nodes ask the same; empty for
        none.
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

    def is_told(self, heard: int) -> bool:
        """Whether peers pass on all changes, so that there is no need to ask.

        :param heard: store revision up to which this node heard of all changes.
        """
        now = self.clock()
        sound = [
            item.beat.heard
            for item in self._peers.values()
            if item.beat.watching
            and now - item.heard_at < FORGET_S
            and now - item.confirmed_at < SOUND_S
        ]
        if not sound:
            self._behind_since = None
            return False
        if heard >= max(sound):
            self._behind_since = None
            return True
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since < LAG_S


def _add(total: dict[str, Number], part: Mapping[str, Number], sign: int) -> None:
    """Add one map of numbers to another, or take it away; nothings are left out."""
    for name, value in part.items():
        left = total.get(name, 0) + sign * value
        if left > TINY:
            total[name] = left
        else:
            total.pop(name, None)
