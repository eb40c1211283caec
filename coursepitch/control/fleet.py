"""Task that reads the platform's instance list and publishes it to all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.control.duties import CLUSTER_DUTY, get_holder, should_observe
from coursepitch.peers.records import FleetBody, NodeBody
from coursepitch.peers.topology import compute_node_interval
from coursepitch.platform.kv import Unavailable

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.control.session import Session
    from coursepitch.peers.hub import PeerHub
    from coursepitch.platform.instances import Instance, InstanceList

__all__ = [
    'InstanceListReader',
    'find_peer_reached_at',
    'list_live_nodes',
    'list_nodes_with_paths',
]

#: Seconds between two reads of the list.
READ_INTERVAL_S = 0.5

#: A node counts as live if its last record is younger than this many publishing
#: intervals.
LIVE_INTERVALS = 6


def list_live_nodes(hub: PeerHub, now: float) -> list[str]:
    """Return the nodes heard from recently."""
    records = hub.records('node')
    limit_s = LIVE_INTERVALS * compute_node_interval(len(records))
    return [item.key.subject for item in records if now - item.made_at < limit_s]


def list_nodes_with_paths(hub: PeerHub, now: float) -> list[str]:
    """Return the nodes heard from recently that reach engines."""
    cut_off = {
        item.key.subject
        for item in hub.records('node')
        if isinstance(item.body, NodeBody) and item.body.cut_off
    }
    return [name for name in list_live_nodes(hub, now) if name not in cut_off]


def find_peer_reached_at(hub: PeerHub, me: str) -> float:
    """Return a time at or before the newest check by a peer that an engine answered.

    :return: monotonic time; minus infinity if no peer told of one.
    """
    times = [
        item.made_at
        for item in hub.records('node')
        if item.key.origin != me and isinstance(item.body, NodeBody)
        if item.body.reaches
    ]
    return max(times, default=float('-inf'))


class InstanceListReader:
    """Reads the instance list and keeps this node's latest copy.

    The holder of the cluster duty reads the list.  If the holder is silent, for
    example in an outage of the key-value service or because it lost its peer links,
    another node takes over.
    """

    def __init__(
        self,
        me: str,
        session: Session,
        hub: PeerHub,
        source: InstanceList,
        clock: Clock,
    ) -> None:
        self._me = me
        self._session = session
        self._hub = hub
        self._source = source
        self._clock = clock
        self._reading = False
        self._leaving: frozenset[str] = frozenset()
        self.instances: tuple[Instance, ...] = ()

    async def run(self) -> None:
        """Read the list while this node is responsible for it, until cancelled."""
        while True:
            self._reading = self._should_read()
            if self._reading:
                await self.read()
            await anyio.sleep(READ_INTERVAL_S)

    def _should_read(self) -> bool:
        now = self._clock()
        view = self._session.view.value
        holder = get_holder(view, CLUSTER_DUTY, self._me, now)
        read_at = {
            item.key.origin: item.made_at
            for item in self._hub.records('fleet')
            if item.key.origin != self._me
        }
        live = list_live_nodes(self._hub, now)
        return should_observe(
            self._me, CLUSTER_DUTY, holder, self._reading, read_at, live, now
        )

    async def read(self) -> None:
        """Read the list once and publish its domains and leaving instances."""
        asked_at = self._clock()
        listed = await self._source.read()
        if isinstance(listed, Unavailable):
            return
        self.instances = listed
        leaving = frozenset(item.name for item in listed if item.leaving)
        for name in sorted(leaving - self._leaving):
            log.emit(events.INSTANCE_LEAVING, instance=name)
        self._leaving = leaving
        domains = tuple(sorted({item.domain for item in listed}))
        body = FleetBody(domains, tuple(sorted(leaving)))
        self._hub.publish('fleet', 'instances', body, asked_at)
