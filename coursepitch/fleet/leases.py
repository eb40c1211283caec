"""The leases of a node: one for its entry, and one while it is the leader."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.nodes import NodeLocation, encode_place
from coursepitch.fleet.view import LEADER_KEY, NODE_PREFIX
from coursepitch.platform.kv import Condition, Conflict, Swapped, Unavailable, Write

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.view import FleetView
    from coursepitch.platform.kv import KeyValue

__all__ = ['Lease', 'NodeLeases']

#: Length and renewal interval in seconds of the lease of a node's entry.  Nodes detect
#: each other's end by their links; a stale entry only makes shares of limits smaller
#: for some seconds.
NODE_LEASE_S = 6.0
NODE_RENEW_S = 2.0

#: Length and renewal interval in seconds of the leader's lease: a shorter one speeds
#: up failover, but each renewal is charged.
LEAD_LEASE_S = 2.2
LEAD_RENEW_S = 0.7

#: Seconds between two attempts while the store does not answer.
RETRY_S = 0.3

#: Safety margin in seconds by which the local estimate of a lease ends early, as
#: clocks may run at different rates.
LEASE_MARGIN_S = 0.2

#: Maximum seconds between two checks whether there is a leader; a change of the view
#: triggers a check as well.
VACANCY_CHECK_S = 0.5

#: Seconds between the campaigns of two nodes, and the maximum delay of a campaign.
#: The store answers one in some 10 ms, and the result is relayed in another 10.
CAMPAIGN_STAGGER_S = 0.03
MAX_CAMPAIGN_DELAY_S = 1.0

#: Seconds for which a node that has taken the lead back does not resign again.
RESIGN_PAUSE_S = 10.0

#: Further delay in seconds of the campaign of a node that reaches no instances, so that
#: it only leads if no other node does.
IMPAIRED_DELAY_S = 1.1


class Lease:
    """A lease, with a local estimate of when it ends."""

    def __init__(self, kv: KeyValue, length_s: float, clock: Clock) -> None:
        self._kv = kv
        self._length_s = length_s
        self._clock = clock
        self._until = float('-inf')
        self.name = ''

    @property
    def held(self) -> bool:
        """Whether the lease is certainly still valid."""
        return bool(self.name) and self._clock() < self._until

    async def grant(self) -> bool:
        """Request a new lease; return whether it was granted."""
        asked_at = self._clock()
        name = await self._kv.grant(self._length_s)
        if isinstance(name, Unavailable):
            return False
        self.name = name
        self._until = asked_at + self._length_s - LEASE_MARGIN_S
        return True

    async def renew(self) -> bool:
        """Renew the lease; clear its name if it has expired."""
        asked_at = self._clock()
        result = await self._kv.renew(self.name)
        if isinstance(result, Unavailable):
            return False
        if not result:
            log.emit(events.LEASE_LOST)
            self.name = ''
            return False
        self._until = asked_at + self._length_s - LEASE_MARGIN_S
        return True

    async def end(self) -> None:
        """Revoke the lease, which deletes the entries attached to it."""
        if self.name:
            await self._kv.revoke(self.name)


class NodeLeases:
    """Keeps the node listed, and campaigns for leadership when it is vacant.

    :param me: name of the node.  ``place`` has to be set before the tasks run.
    :param wake: called when the view changed.
    """

    def __init__(
        self,
        me: str,
        kv: KeyValue,
        view: FleetView,
        wake: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._me = me
        self._kv = kv
        self._view = view
        self._wake = wake
        self._node_lease = Lease(kv, NODE_LEASE_S, clock)
        self._leader_lease = Lease(kv, LEAD_LEASE_S, clock)
        self._lead_revision = 0
        self._listed_revision = 0
        self._resigned_at = float('-inf')
        self._clock = clock
        self._ending = False
        self._store_back = anyio.Event()
        self.place = NodeLocation('')
        #: Whether this node should give up the lead, as another one can do more.
        self.should_resign: Callable[[], bool] = lambda: False
        #: Whether any other node should be preferred as the leader.
        self.is_impaired: Callable[[], bool] = lambda: False
        #: Waits until the view changes, at most so many seconds.
        self.wait_changed: Callable[[float], Awaitable[None]] = anyio.sleep

    def is_leader(self) -> bool:
        """Whether the node is the leader, by its local estimate of its lease."""
        view = self._view
        held = view.leader == self._me and view.leader_revision == self._lead_revision
        return (
            held
            and self._lead_revision > 0
            and self._leader_lease.held
            and not self._ending
        )

    def is_listed(self) -> bool:
        """Whether the lease of the node's entry is certainly still valid."""
        return self._node_lease.held

    def note_store_back(self) -> None:
        """Wake the tasks that wait for a retry, as the store answers again.

        Without this, no node was leader for 3.1 s after an outage of 7 s in which all
        leases expired: each node waited out its retry pause (7 nodes, one run).
        """
        back, self._store_back = self._store_back, anyio.Event()
        back.set()

    async def _wait_store_back(self, limit_s: float) -> None:
        """Wait until the store answers again, or until the timeout in seconds."""
        back = self._store_back
        with anyio.move_on_after(limit_s):
            await back.wait()

    # -- the node's entry ------------------------------------------------------------

    async def keep_listed(self) -> None:
        """Keep the node listed until cancelled."""
        attempt = 0
        while not self._ending:
            listed = bool(self._node_lease.name)
            if await self.renew_listing():
                attempt = 0
                self._wake()
                await anyio.sleep(NODE_RENEW_S)
            elif listed and not self._node_lease.name:
                # The store reported the lease as expired, so it grants a new one.
                attempt = 0
            else:
                pause_s = min(NODE_RENEW_S, RETRY_S * (1 << min(attempt, 8)))
                await self._wait_store_back(pause_s)
                attempt += 1

    async def renew_listing(self) -> bool:
        """Renew the lease of the node's entry, or list the node again.

        :return: whether the node is listed.
        """
        if not self._node_lease.name:
            return await self._list()
        if not await self._node_lease.renew():
            return False
        return not self._is_missing() or await self._write_entry()

    async def _list(self) -> bool:
        if not await self._node_lease.grant():
            return False
        if await self._write_entry():
            return True
        # The write may still be carried out, and would replace that of another lease.
        await self._node_lease.end()
        self._node_lease.name = ''
        return False

    async def _write_entry(self) -> bool:
        value = encode_place(self.place)
        write = Write(NODE_PREFIX + self._me, value, self._node_lease.name)
        result = await self._kv.transact([], [write])
        if not isinstance(result, Swapped):
            return False
        self._listed_revision = result.revision
        return True

    def _is_missing(self) -> bool:
        """Whether the node's entry has gone although its lease is valid."""
        view = self._view
        return view.received_revision >= self._listed_revision and not view.has_entry(
            self._me
        )

    # -- leadership ------------------------------------------------------------------

    async def keep_leading(self) -> None:
        """Renew leadership while it is held; campaign when it is vacant.

        Before its first listing a node does not know whether there is a leader.  When
        nodes campaigned without it, each of 74 that started at once made two calls to
        the store in vain.
        """
        while not self._ending:
            if self._lead_revision and self._leader_lease.name:
                await self._renew_lead()
            elif self._view.received_revision and self._is_vacant():
                await self._campaign()
            else:
                await self.wait_changed(VACANCY_CHECK_S)

    async def _renew_lead(self) -> None:
        now = self._clock()
        if self.should_resign() and now - self._resigned_at >= RESIGN_PAUSE_S:
            self._resigned_at = now
            await self._resign()
            return
        good = await self._leader_lease.renew()
        if not self._leader_lease.name:
            self._lead_revision = 0
        elif good:
            await anyio.sleep(LEAD_RENEW_S)
        else:
            await self._wait_store_back(RETRY_S)

    async def _resign(self) -> None:
        """End the lead, so that another node can take it at once."""
        self._lead_revision = 0
        self._view.leader = ''
        log.emit(events.LEADERSHIP_RESIGNED)
        await self._leader_lease.end()
        self._leader_lease.name = ''
        self._wake()

    def _is_vacant(self) -> bool:
        """Whether there is no leader, or it is an earlier incarnation of this node."""
        return self._view.leader in ('', self._me) and self._node_lease.held

    def _find_campaign_rank(self) -> int:
        """Return how many nodes campaign before this one; the order varies."""
        salt = str(self._view.leader_changed_at)
        ranked = sorted(
            self._view.nodes, key=lambda name: zlib.crc32((name + salt).encode())
        )
        return ranked.index(self._me) if self._me in ranked else len(ranked)

    async def _campaign(self) -> None:
        """Campaign for leadership; nodes do so one after the other."""
        if not self._view.leader:
            delay_s = self._find_campaign_rank() * CAMPAIGN_STAGGER_S
            delay_s = min(delay_s, MAX_CAMPAIGN_DELAY_S)
            if self.is_impaired():
                delay_s += IMPAIRED_DELAY_S
            await anyio.sleep(delay_s)
        # Checked again after the grant: another node may have become leader in the
        # meantime, and must not be replaced.
        granted = self._is_vacant() and await self._leader_lease.grant()
        if not granted or not self._is_vacant():
            self._leader_lease.name = ''
            await anyio.sleep(CAMPAIGN_STAGGER_S)
            return
        expected = self._view.leader_revision if self._view.leader else 0
        write = Write(LEADER_KEY, self._me, self._leader_lease.name)
        result = await self._kv.transact([Condition(LEADER_KEY, expected)], [write])
        if isinstance(result, Conflict):
            self._view.apply_entry(result.current)
        if isinstance(result, Swapped):
            self._lead_revision = result.revision
            self._view.leader = self._me
            self._view.leader_revision = result.revision
            log.emit(events.LEADERSHIP_ACQUIRED, revision=result.revision)
        else:
            self._leader_lease.name = ''
            await anyio.sleep(RETRY_S)
        self._wake()

    async def end(self) -> None:
        """End the leases, so that another node can become leader at once."""
        self._ending = True
        await self._leader_lease.end()
        await self._node_lease.end()
