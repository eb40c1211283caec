"""A node's session with the platform's store.

It follows all keys, confirms the configuration once a second, and holds the
lease under which the node is listed and may lead.  A watch that hears nothing
proves nothing: only the confirmation, a linearizable question about the
configuration itself, lets the node go on serving, and its age counts from the
moment at which the question was sent.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.view import LEADER_KEY, LOST_PREFIX, NODE_PREFIX, FleetView
from coursepitch.platform.configuration import CONFIGURATION_KEY
from coursepitch.platform.kv import (
    Condition,
    Conflict,
    Rejected,
    Swapped,
    Unavailable,
    Write,
    back_off,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.platform.kv import KeyValue

__all__ = ['FleetSession']

#: Seconds between two confirmations of the configuration.  Source: a change has
#: to be acted on within 2 s, and a watch may miss it without a sign.
CONFIRM_S = 1.0

#: Part of the bound after which a node that can't confirm its configuration
#: hands its clients on, while it still serves: the balancer takes a second or
#: two to take it out, and open connections stay where they are.
FADING_PART = 0.6

#: Seconds between two tries while the store gives no answer.
CONFIRM_RETRY_S = 0.3

#: Length in seconds of the node's lease, and how often it is renewed.
LEASE_S = 2.2
RENEW_S = 0.7

#: Seconds for which one watch waits.
WATCH_S = 10.0

#: Shortest time in seconds between two watches, so that bursts of changes come
#: in one answer: each answer costs a call.  The leader looks sooner; others are
#: told of what matters over the links between nodes.
LEADER_GAP_S = 0.05
WATCH_GAP_S = 0.7

#: Seconds between two looks for such news.
NEWS_LOOK_S = 0.04

#: Seconds by which the node's own reckoning of its lease ends early, for clocks
#: that run at different rates.
LEASE_MARGIN_S = 0.2


class FleetSession:
    """View of the store, with the tasks that keep it fresh.

    :param name: name of the node.  Its ``peer_address`` is set before it runs.
    :param serve_bound_s: age of the last confirmation past which the node
        must not act on its configuration.
    """

    def __init__(
        self,
        name: str,
        kv: KeyValue,
        serve_bound_s: float,
        clock: Clock,
    ) -> None:
        self.view = FleetView(clock)
        self.kv = kv
        self._name = name
        self.peer_address = ''
        #: Newest revision that other nodes tell to act on.
        self.read_news: Callable[[], int] = lambda: 0
        self._bound_s = serve_bound_s
        self._clock = clock
        self._confirmed_at = float('-inf')
        self._lease = ''
        self._lease_until = float('-inf')
        self._up = True
        self._ending = False
        self._changed = anyio.Event()
        self._reported: dict[str, float] = {}

    # -- what others ask -----------------------------------------------------------

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the newest confirmation of the configuration was asked."""
        return self._clock() - self._confirmed_at

    def is_fresh(self) -> bool:
        """Whether the node may act on its configuration at this moment."""
        return self.view.table is not None and self.confirmation_age_s < self._bound_s

    def is_fading(self) -> bool:
        """Whether the confirmation is so old that clients should go elsewhere."""
        return self.confirmation_age_s >= self._bound_s * FADING_PART

    def is_leader(self) -> bool:
        """Whether the node holds the lead, by its own reckoning of its lease."""
        held = self.view.leader == self._name and self.view.leader_revision > 0
        return held and self._clock() < self._lease_until and not self._ending

    @property
    def lease(self) -> str:
        """Name of the node's lease; empty without one."""
        return self._lease if self._clock() < self._lease_until else ''

    def count_nodes(self) -> int:
        """Return the number of listed nodes, at least this one."""
        return max(1, len(self.view.nodes))

    async def wait_changed(self, limit_s: float) -> None:
        """Wait until the view changes, at most so long."""
        changed = self._changed
        with anyio.move_on_after(limit_s):
            await changed.wait()

    def wake(self) -> None:
        """Wake those that wait for a change of the view."""
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    # -- tasks ---------------------------------------------------------------------

    async def run(self) -> None:
        """Keep view, confirmation and lease until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._keep_confirmed)
            group.start_soon(self._keep_lease)
            group.start_soon(self._sweep)
            group.start_soon(self._keep_campaigning)

    async def _follow(self) -> None:
        """List all keys, then watch them from there."""
        attempt = 0
        after = -1
        while True:
            if after < 0:
                found = await self.kv.list_prefix('')
            else:
                found = await self.kv.watch('', after, WATCH_S)
            if isinstance(found, Unavailable):
                attempt += 1
                await anyio.sleep(back_off(attempt, random.random(), 0.05, 0.5))
                continue
            attempt = 0
            after = max(after, found.revision)
            if found.entries or found.complete:
                self.view.take(found)
                self.wake()
            await self._wait_gap()

    async def _wait_gap(self) -> None:
        """Wait before the next watch, unless there is news."""
        until = self._clock() + WATCH_GAP_S
        if self.is_leader() or not self.view.leader:
            until = self._clock() + LEADER_GAP_S
        while self._clock() < until:
            await anyio.sleep(NEWS_LOOK_S)
            if self.read_news() > self.view.heard_revision:
                return

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(0.25)
            self.view.sweep()

    async def _keep_confirmed(self) -> None:
        while True:
            good = await self.confirm()
            await anyio.sleep(CONFIRM_S if good else CONFIRM_RETRY_S)

    async def confirm(self) -> bool:
        """Ask whether the configuration in force is the newest there is."""
        table = self.view.table
        revision = 0 if table is None else table.revision
        asked_at = self._clock()
        condition = Condition(CONFIGURATION_KEY, revision)
        result = await self.kv.transact([condition])
        if isinstance(result, Unavailable | Rejected):
            self._note_outage(result.reason)
            return False
        self._note_answer()
        if isinstance(result, Conflict):
            self.view.take_configuration(result.current)
            self.wake()
            table = self.view.table
            if table is None or table.revision < result.current.revision:
                return False
        elif table is None:
            return False
        self._confirmed_at = max(self._confirmed_at, asked_at)
        return True

    def _note_outage(self, reason: str) -> None:
        self.view.note_outage()
        if self._up:
            self._up = False
            log.emit(events.SERVICE_LOST, reason=reason)

    def _note_answer(self) -> None:
        if not self._up:
            self._up = True
            log.emit(events.SERVICE_BACK)

    # -- lease and lead ---------------------------------------------------------------

    async def _keep_lease(self) -> None:
        while not self._ending:
            good = await (self._renew() if self._lease else self._grant())
            if good:
                self.wake()
            await anyio.sleep(RENEW_S if good else CONFIRM_RETRY_S)

    async def _grant(self) -> bool:
        asked_at = self._clock()
        lease = await self.kv.grant(LEASE_S)
        if isinstance(lease, Unavailable):
            return False
        key = NODE_PREFIX + self._name
        result = await self.kv.transact([], [Write(key, self.peer_address, lease)])
        if not isinstance(result, Swapped):
            return False
        self._lease = lease
        self._lease_until = asked_at + LEASE_S - LEASE_MARGIN_S
        return True

    async def _renew(self) -> bool:
        asked_at = self._clock()
        result = await self.kv.renew(self._lease)
        if isinstance(result, Unavailable):
            return False
        if not result:
            log.emit(events.LEASE_LOST)
            self._lease = ''
            return False
        self._lease_until = asked_at + LEASE_S - LEASE_MARGIN_S
        return True

    async def _keep_campaigning(self) -> None:
        while not self._ending:
            await self._campaign()
            await self.wait_changed(RENEW_S)

    async def _campaign(self) -> None:
        """Take the lead if nobody holds it; one node after the other tries."""
        if self.view.leader or not self.lease or self._ending:
            return
        names = sorted(self.view.nodes)
        place = names.index(self._name) if self._name in names else len(names)
        await anyio.sleep(min(place, 8) * 0.04)
        if self.view.leader or not self.lease:
            return
        write = Write(LEADER_KEY, self._name, self.lease)
        result = await self.kv.transact([Condition(LEADER_KEY, 0)], [write])
        if isinstance(result, Conflict):
            self.view.take_entry(result.current)
        if isinstance(result, Swapped):
            self.view.leader = self._name
            self.view.leader_revision = result.revision
            log.emit(events.LEAD_TAKEN, revision=result.revision)
        self.wake()

    async def end(self) -> None:
        """End the lease, so that another node leads at once."""
        self._ending = True
        if self._lease:
            await self.kv.revoke(self._lease)

    # -- lost instances ---------------------------------------------------------------

    async def report_lost(self, instance: str) -> None:
        """Tell all nodes that an instance does not answer, once."""
        if instance in self.view.lost or instance in self._reported:
            return
        self._reported[instance] = self._clock()
        key = LOST_PREFIX + instance
        result = await self.kv.transact([Condition(key, 0)], [Write(key, self._name)])
        if isinstance(result, Swapped):
            self.view.lost.add(instance)
            self.view.version += 1
            self.wake()
        self._reported.pop(instance, None)

    async def clear_lost(self, instance: str) -> None:
        """Tell all nodes that an instance answers after all, or is gone."""
        result = await self.kv.transact([], [Write(LOST_PREFIX + instance, None)])
        if isinstance(result, Swapped):
            self.view.lost.discard(instance)
            self.view.version += 1
            self.wake()
