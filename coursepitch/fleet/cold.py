"""Instances that are cold after a start, and requests to them that need no permit.

A cold instance takes a limited number of requests per second from all nodes together.
The limit is enforced like the one that an instance sets itself: by permits of the
leader, see :mod:`coursepitch.fleet.send_permits`.  A part of it is used without asking
the leader: a few nodes, chosen by hash for each instance, may each send a request now
and then.  These requests don't wait for the leader, and are sent while there is none.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coursepitch.clock import Clock
    from coursepitch.config.routes import Service

__all__ = [
    'COUNTED_S',
    'MAX_CONFIRMATION_AGE_S',
    'MAX_LEASE_GAP_S',
    'SETTLE_S',
    'UNASKED_INTERVAL_S',
    'ColdInstances',
    'UnaskedSends',
    'count_unasked_nodes',
    'find_granted_rate',
]

#: Fraction of a limit that is used without permits.  At 23 requests per second, this is
#: 7.3 per second for an instance, where callers need about 5.
UNASKED_FRACTION = 1 / 3

#: Seconds between two such requests of a node to an instance, so that at most one
#: arrives in any second: a second, the validity of a permit (0.25 s), the difference
#: between the delivery times of two requests (0.15 s) and a margin.
UNASKED_INTERVAL_S = 1.5

#: Seconds for which a node must be listed before it sends without asking.  It is then
#: known to all others that do so, as their lists are at most 7 s old: 5 s by the age of
#: the confirmation, and 2 s for the delivery of changes.
SETTLE_S = 12.0

#: Greatest age in seconds of a node's confirmation with which it sends without asking.
MAX_CONFIRMATION_AGE_S = 5.0

#: Longest time in seconds between the end of a node's lease and the next one, after
#: which it need not wait again.  With more, a node that starts meanwhile might not know
#: it: with the 18 s of :class:`coursepitch.fleet.shares.LimitShare`, four nodes took
#: three places (simulated, nodes that are cut off at random).
MAX_LEASE_GAP_S = 3.0

#: Seconds for which a node counts after it was last listed.  It may send for 5 s more.
COUNTED_S = 30.0

#: Minimum seconds by which a response must extend the known time before other nodes are
#: told: entries tell them soon, and a time that arrives over several links seems to end
#: later each time.
MIN_TOLD_EXTENSION_S = 0.5


def count_unasked_nodes(limit: float) -> int:
    """Return how many nodes may send to a cold instance without asking.

    :param limit: requests per second that the instance takes while it is cold.
    """
    return int(limit * UNASKED_FRACTION * UNASKED_INTERVAL_S)


def find_granted_rate(limit: float) -> float:
    """Return the requests per second for which the leader grants permits.

    :param limit: requests per second that the instance takes while it is cold.
    """
    return limit - count_unasked_nodes(limit) / UNASKED_INTERVAL_S


@dataclass(eq=False)
class ColdInstances:
    """Times until which instances are cold, and their limits meanwhile.

    The newest entry of an instance replaces what earlier entries said.  Times from
    responses and peers only extend this, as such a message may be older than the entry.

    :param find_service: returns the service of a listed instance.
    :param logs_changes: returns whether this node logs changes of instances.
    """

    clock: Clock
    find_service: Callable[[str], Service | None]
    logs_changes: Callable[[], bool] = lambda: True
    _listed_until: dict[str, float] = field(default_factory=dict)
    _told_until: dict[str, float] = field(default_factory=dict)
    _since: dict[str, float] = field(default_factory=dict)
    _reported: set[str] = field(default_factory=set)

    def note_entry(self, instance: str, left_s: float) -> None:
        """Record for how long an instance stays cold by its newest entry.

        The entry's age is not known, so the time is at most that much too long.
        """
        if left_s <= 0:
            self._listed_until.pop(instance, None)
            return
        self._note_cold(instance)
        self._listed_until[instance] = self.clock() + left_s

    def note_told(self, instance: str, left_s: float) -> bool:
        """Record what a response or a peer says; return whether it was not known.

        Values above ``cold_s`` of the service are malformed and count as ``cold_s``, as
        no later message shortens them.
        """
        service = self.find_service(instance)
        if service is None or service.cold_per_s <= 0:
            return False
        left_s = min(left_s, service.cold_s)
        if left_s <= self.find_left_s(instance):
            return False
        news = left_s >= self.find_left_s(instance) + MIN_TOLD_EXTENSION_S
        self._note_cold(instance)
        self._told_until[instance] = self.clock() + left_s
        return news

    def note_restart(self, instance: str) -> None:
        """Drop what was known of the instance's earlier incarnation."""
        self._listed_until.pop(instance, None)
        self._told_until.pop(instance, None)

    def _note_cold(self, instance: str) -> None:
        if not self.find_left_s(instance):
            self._since[instance] = self.clock()

    def find_left_s(self, instance: str) -> float:
        """Return the seconds until an instance is warm; 0 if it is."""
        if instance not in self._listed_until and instance not in self._told_until:
            return 0.0
        until = max(
            self._listed_until.get(instance, 0.0), self._told_until.get(instance, 0.0)
        )
        return max(0.0, until - self.clock())

    def find_limit(self, instance: str) -> float | None:
        """Return the requests per second that an instance takes while it is cold.

        ``None`` if it is warm or its service has no such limit.
        """
        if not self.find_left_s(instance):
            return None
        service = self.find_service(instance)
        return (service.cold_per_s or None) if service else None

    def find_since(self, instance: str) -> float:
        """Return the monotonic time at which an instance became known to be cold."""
        return self._since.get(instance, self.clock())

    def list_cold(self) -> set[str]:
        """Return the instances with a limit while they are cold."""
        known = self._listed_until.keys() | self._told_until.keys()
        return {name for name in known if self.find_limit(name) is not None}

    def sweep(self) -> None:
        """Log the instances that became cold or warm, and drop times that are over."""
        cold = self.list_cold()
        if self.logs_changes():
            for name in sorted(cold - self._reported):
                left_s = round(self.find_left_s(name), 3)
                limit = self.find_limit(name)
                log.emit(
                    events.INSTANCE_COLD, instance=name, left_s=left_s, limit=limit
                )
            for name in sorted(self._reported - cold):
                log.emit(events.INSTANCE_WARM, instance=name)
        self._reported = cold
        now = self.clock()
        for times in (self._listed_until, self._told_until):
            for name in [name for name, until in times.items() if until <= now]:
                del times[name]
        known = self._listed_until.keys() | self._told_until.keys()
        for name in [name for name in self._since if name not in known]:
            del self._since[name]


@dataclass(eq=False)
class UnaskedSends:
    """Requests that this node may send to cold instances without a permit.

    Each instance has a fixed number of nodes that may, those with the lowest hash of
    both names.  Nodes that are no longer listed count for some time, so that two nodes
    never take the same place.

    :param me: name of this node.
    :param find_age_s: returns the age of this node's confirmation in seconds.
    """

    me: str
    clock: Clock
    find_age_s: Callable[[], float]
    _listed_since: float = float('inf')
    _listed_at: float = float('-inf')
    _last_listed_at: dict[str, float] = field(default_factory=dict)
    _nodes: frozenset[str] = frozenset()
    _ranks: dict[str, int] = field(default_factory=dict)
    _next_at: dict[str, float] = field(default_factory=dict)

    def note_nodes(self, names: Iterable[str]) -> None:
        """Record which nodes are listed now."""
        now = self.clock()
        known = self._last_listed_at
        known.update(dict.fromkeys(names, now))
        old = now - COUNTED_S
        for name in [name for name, at in known.items() if at < old]:
            del known[name]
        nodes = frozenset(known)
        if nodes != self._nodes:
            self._nodes = nodes
            self._ranks.clear()

    def note_listed(self) -> None:
        """Record that the lease under which this node is listed is active."""
        now = self.clock()
        if now - self._listed_at > MAX_LEASE_GAP_S:
            self._listed_since = now
        self._listed_at = now

    def may_send(self) -> bool:
        """Whether all others that send without asking know this node."""
        now = self.clock()
        return (
            now - self._listed_since >= SETTLE_S
            and now - self._listed_at <= MAX_CONFIRMATION_AGE_S
            and self.find_age_s() <= MAX_CONFIRMATION_AGE_S
        )

    def find_next_at(self, instance: str, limit: float) -> float:
        """Return the monotonic time of the next such request; infinite for never.

        :param limit: requests per second that the instance takes while it is cold.
        """
        if self._find_rank(instance) >= count_unasked_nodes(limit):
            return float('inf')
        if not self.may_send():
            return float('inf')
        return self._next_at.get(instance, float('-inf'))

    def take(self, instance: str, limit: float) -> bool:
        """Take one request; return ``False`` if this node has none now."""
        now = self.clock()
        if self.find_next_at(instance, limit) > now:
            return False
        self._next_at[instance] = now + UNASKED_INTERVAL_S
        return True

    def _find_rank(self, instance: str) -> int:
        """Return the number of nodes that come before this one."""
        rank = self._ranks.get(instance)
        if rank is None:
            mine = _hash(instance, self.me)
            rank = sum(_hash(instance, name) < mine for name in self._nodes)
            self._ranks[instance] = rank
        return rank

    def forget(self, present: set[str]) -> None:
        """Drop the state of instances that are no longer listed."""
        for known in (self._ranks, self._next_at):
            for name in [name for name in known if name not in present]:
                del known[name]


def _hash(instance: str, node: str) -> bytes:
    return hashlib.blake2b(f'{instance}\0{node}'.encode(), digest_size=8).digest()
