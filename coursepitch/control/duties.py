"""Assignment of duties to nodes.

A duty is a role that one node at a time holds under its lease.  Duties are spread
over the nodes by rank.
"""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.control.session import DUTY_PREFIX, parse_duty
from coursepitch.peers.topology import pick_first, rank_nodes
from coursepitch.platform.kv import Swapped, Unavailable, swap_with_readback

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from coursepitch.clock import Clock
    from coursepitch.control.session import Session
    from coursepitch.control.view import ClusterView
    from coursepitch.platform.kv import KeyValue

__all__ = [
    'CLUSTER_DUTY',
    'DutyManager',
    'choose_duty_to_hand_over',
    'domain_duty',
    'holds_duty',
    'list_reachable',
    'get_holder',
    'prefer_nodes_with_paths',
    'should_observe',
    'should_take_duty',
]

#: Duty of writing snapshots, removing dead nodes and placing replicas.
CLUSTER_DUTY = 'cluster'

_DOMAIN_DUTY_PREFIX = 'domain.'

#: Seconds for which a node must be live before duties move to it.
MIN_LIVE_S = 5.0

#: Another node starts to observe a domain once the newest observation is older than
#: this many publishing intervals, but not before ``MIN_SILENCE_S`` seconds.
SILENCE_INTERVALS = 2.5
MIN_SILENCE_S = 1.5


def domain_duty(domain: str) -> str:
    """Return the name of the duty for a fabric domain."""
    return _DOMAIN_DUTY_PREFIX + domain


def holds_duty(view: ClusterView, duty: str, me: str, now: float) -> bool:
    """Return whether this node is certain to hold a duty.

    Checked before each order.
    """
    held = view.duties.get(duty)
    if held is None or held.holder != me or held.lease != view.lease.name:
        return False
    return view.lease.is_held(now)


def get_holder(view: ClusterView, duty: str, me: str, now: float) -> str:
    """Return the holder of a duty, or an empty string.

    This node is returned only if it is certain to hold the duty.
    """
    held = view.duties.get(duty)
    if held is None or (held.holder == me and not holds_duty(view, duty, me, now)):
        return ''
    return held.holder


def list_reachable(
    me: str, settled: Iterable[str], heard: Iterable[str]
) -> frozenset[str]:
    """Return the nodes among which this node distributes duties.

    These are the eligible nodes that this node hears from, including itself, or
    none if it hears from half of them or fewer.  A node cut off from its peers
    sees neither their observations nor their revisions, so it neither takes duties
    nor is assigned any.

    :param settled: nodes that have been live and registered for ``MIN_LIVE_S``.
    :param heard: nodes that this node currently hears from.
    """
    everyone = frozenset(settled) | {me}
    reachable = everyone & (frozenset(heard) | {me})
    return reachable if 2 * len(reachable) > len(everyone) else frozenset()


def prefer_nodes_with_paths(
    reachable: frozenset[str], with_paths: Iterable[str]
) -> frozenset[str]:
    """Return the nodes that reach engines, or all if none does.

    They may be few: unlike a node without peers, one without paths to the engines knows
    the others' observations and revisions, and counts among the reachable ones.
    """
    return reachable & frozenset(with_paths) or reachable


def should_take_duty(
    view: ClusterView, duty: str, me: str, reachable: frozenset[str]
) -> bool:
    """Return whether this node should take a duty that nobody holds."""
    if not view.is_loaded or duty in view.duties or me not in view.eligible_nodes():
        return False
    return bool(reachable) and pick_first(duty, reachable) == me


def choose_duty_to_hand_over(
    held: Iterable[str], me: str, reachable: frozenset[str]
) -> str | None:
    """Return a held duty that should move to another node, or ``None``."""
    for duty in sorted(held):
        if not reachable or pick_first(duty, reachable) != me:
            return duty
    return None


def should_observe(
    me: str,
    domain: str,
    holder: str,
    observing: bool,
    observed_at: Mapping[str, float],
    live: Iterable[str],
    now: float,
    interval_s: float = 0.5,
) -> bool:
    """Return whether this node should observe a domain.

    The holder of the domain's duty observes it.  If the holder is silent, for
    example in an outage of the key-value service in which no duty can be held, one
    of the live nodes takes over.  Observing requires no lease, because duplicate
    observations from two nodes are harmless.

    :param holder: this node's name only if it is certain to hold the duty.
    :param observing: whether this node currently observes the domain.
    :param observed_at: time of the last observation by each other node.
    :param live: nodes heard from recently.
    :param interval_s: seconds between two observations by the same node.
    """
    if holder == me:
        return True
    ranked = rank_nodes(domain, {*live, me})
    silence_s = max(MIN_SILENCE_S, SILENCE_INTERVALS * interval_s)
    fresh = {name for name, made_at in observed_at.items() if now - made_at < silence_s}
    if not fresh:
        return observing or ranked[0] == me
    if holder in fresh or not observing:
        return False
    higher_ranked = ranked[: ranked.index(me)]
    return not fresh & set(higher_ranked)


class DutyManager:
    """Acquires free duties that rank this node first and hands over the others.

    :param list_heard: returns the nodes heard from.
    :param list_with_paths: returns those that reach engines; only they get duties, if
        there are any.
    :param should_yield: returns whether this node should hand over all its duties.
    """

    def __init__(
        self,
        me: str,
        session: Session,
        kv: KeyValue,
        clock: Clock,
        list_domains: Callable[[], Iterable[str]],
        list_heard: Callable[[], Iterable[str]],
        list_with_paths: Callable[[], Iterable[str]],
        should_yield: Callable[[], bool] = lambda: False,
    ) -> None:
        self._me = me
        self._session = session
        self._kv = kv
        self._clock = clock
        self._list_domains = list_domains
        self._list_heard = list_heard
        self._list_with_paths = list_with_paths
        self._should_yield = should_yield
        self._held: frozenset[str] = frozenset()
        self._taking_stopped = False
        self._live_since: dict[str, float] = {}
        self._pending_deletions: set[str] = set()

    @property
    def held(self) -> frozenset[str]:
        """Names of the duties held at the last check."""
        return self._held

    def stop_acquiring(self) -> None:
        """Stop acquiring duties because the node is about to stop."""
        self._taking_stopped = True

    async def run(self, interval_s: float) -> None:
        """Acquire and hand over duties until cancelled."""
        while True:
            duties = [CLUSTER_DUTY, *map(domain_duty, self._list_domains())]
            reachable = self._list_reachable()
            await self._take_free_duties(duties, reachable)
            self._update_held(duties)
            await self._hand_over_duty(reachable)
            await anyio.sleep(interval_s * (0.75 + 0.5 * random.random()))

    def _update_held(self, duties: list[str]) -> None:
        view = self._session.view.value
        now = self._clock()
        held = {duty for duty in duties if holds_duty(view, duty, self._me, now)}
        for duty in held - self._held:
            log.emit(events.DUTY_TAKEN, duty=duty, lease=view.lease.name)
        for duty in self._held - held:
            log.emit(events.DUTY_LOST, duty=duty)
        self._held = frozenset(held)

    def _list_reachable(self) -> frozenset[str]:
        now = self._clock()
        live = self._session.view.value.eligible_nodes()
        self._live_since = {n: self._live_since.get(n, now) for n in live}
        settled = [n for n, t in self._live_since.items() if now - t >= MIN_LIVE_S]
        if self._should_yield():
            return frozenset()
        reachable = list_reachable(self._me, settled, self._list_heard())
        return prefer_nodes_with_paths(reachable, self._list_with_paths())

    async def _hand_over_duty(self, reachable: frozenset[str]) -> None:
        """Give up one duty per call so that duties spread to nodes that join."""
        duty = choose_duty_to_hand_over(self._held, self._me, reachable)
        if duty is not None:
            self._session.remove_duty(duty)
            self._pending_deletions.add(duty)
        # A duty that this node has taken again in the meantime must not be deleted.
        self._pending_deletions -= set(self._session.view.value.duties)
        for name in sorted(self._pending_deletions):
            if await self._delete_duty(name):
                self._pending_deletions.discard(name)

    async def _delete_duty(self, duty: str) -> bool:
        """Delete the key of a given-up duty; return whether it is certainly gone.

        No other node can take the duty while the key exists, so the deletion is
        retried if the answer is lost.
        """
        key = DUTY_PREFIX + duty
        entry = await self._kv.get(key)
        if isinstance(entry, Unavailable):
            return False
        held = parse_duty(entry.value) if entry.present else None
        if held is None or held.lease != self._session.view.value.lease.name:
            return True
        return isinstance(await self._kv.swap(key, None, entry.revision), Swapped)

    async def _take_free_duties(
        self, duties: list[str], reachable: frozenset[str]
    ) -> None:
        for duty in duties:
            view = self._session.view.value
            if self._taking_stopped or not view.lease.is_held(self._clock()):
                return
            if not should_take_duty(view, duty, self._me, reachable):
                continue
            text = json.dumps({'holder': self._me, 'lease': view.lease.name})
            key = DUTY_PREFIX + duty
            result = await swap_with_readback(self._kv, key, text, 0, view.lease.name)
            if isinstance(result, Swapped):
                self._session.add_duty(duty, self._me, view.lease.name)
