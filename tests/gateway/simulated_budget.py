"""The retry budget of a node in a simulated fleet."""

from __future__ import annotations

import contextlib
from bisect import bisect_right
from functools import partial
from types import SimpleNamespace

from coursepitch.fleet.freshness import Freshness
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.retry_loans import RetryRequest
from coursepitch.fleet.session import FleetSession
from coursepitch.gateway.attempts import Retry, lend_retry, obtain_retry, take_retry
from coursepitch.gateway.budget import RetryBudget
from coursepitch.platform.kv import Swapped

RATIO = 0.2
EXTRA = 136.0
WINDOW_S = 10.0
SERVICE = 'pool'


class FakeStore:
    """Store that grants every lease and accepts every write."""

    async def grant(self, ttl_s):
        return '7'

    async def renew(self, lease):
        return True

    async def transact(self, conditions, writes=()):
        return Swapped(5)


class FakeBook:
    """Heartbeat book with a settable number of other nodes."""

    others = 0
    heard = ()

    def list_heard(self):
        return self.heard

    def count_others(self):
        return self.others


def run_to_end(work):
    """Run a coroutine that never suspends."""
    with contextlib.suppress(StopIteration):
        work.send(None)


def build_job(deadline_at=float('-inf')):
    """Return a request that needs a retry.

    :param deadline_at: monotonic time of its deadline.
    """
    return SimpleNamespace(
        service=SimpleNamespace(name=SERVICE),
        fields=SimpleNamespace(request='r'),
        last_reason='',
        deadline_at=deadline_at,
    )


class Node:
    """The retry budget of one process of a node."""

    def __init__(self, name, clock, extra=None):
        self.session = FleetSession(name, FakeStore(), Freshness(4.0, clock), clock)
        self.session.book = FakeBook()
        self.session.loans.list_peers = lambda: self.session.book.list_heard()
        self.budget = RetryBudget(RATIO, extra or EXTRA, WINDOW_S, clock)
        self.components = SimpleNamespace(
            session=self.session, budget=self.budget, clock=clock
        )

    def update_listing(self, names):
        """Register the node, and set the nodes that it sees as listed."""
        nodes = self.session.view.nodes
        for name in set(nodes) - set(names):
            del nodes[name]
        for name in names:
            nodes[name] = NodeLocation('a:1')
        run_to_end(self.session.leases.renew_listing())
        self.session.book.others = len(names) - 1
        self.session.find_share()

    def use_budget(self, requests):
        """Take retries until the budget is used up; return their number.

        :param requests: requests that arrived at the node just before.
        """
        for _ in range(requests):
            self.budget.note_request(SERVICE)
        return self.take_retries()

    def take_retries(self, most=100_000):
        """Take up to a number of retries; return how many were granted."""
        job = build_job()
        count = 0
        while count < most and take_retry(self.components, job):
            count += 1
        return count


class LendingFleet:
    """Nodes that link to two of them, as peers do, and borrow retries over the links.

    Messages arrive at once.

    :param names: nodes that run from the start.
    """

    def __init__(self, names):
        self.now = 100.0
        self.nodes = {}
        self.first_sends = []
        self.retries = []
        #: Messages to these nodes are lost.
        self.unreachable = set()
        for name in names:
            self.start(name)

    def clock(self):
        return self.now

    def start(self, name):
        """Start the process of a node; one that runs is killed."""
        node = self.nodes[name] = Node(name, self.clock)
        loans = node.session.loans
        loans.tell = self.deliver
        loans.lend = partial(lend_retry, node.components)
        self.update()

    def kill(self, name):
        """Kill the process of a node."""
        del self.nodes[name]
        self.update()

    def update(self):
        """Let all nodes see which ones run."""
        names = sorted(self.nodes)
        for name, node in self.nodes.items():
            node.update_listing(names)
            node.session.book.heard = [peer for peer in names[:3] if peer != name][:2]

    def advance(self, seconds):
        """Let time pass, in steps of a quarter of a second."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + 0.25)
            self.update()

    def deliver(self, message, name):
        """Deliver a message, unless its receiver is gone or unreachable."""
        if name not in self.nodes or name in self.unreachable:
            return
        loans = self.nodes[name].session.loans
        if isinstance(message, RetryRequest):
            loans.answer(message)
        else:
            loans.take_answer(message)

    def request(self, name, count):
        """Let requests arrive at a node."""
        for _ in range(count):
            self.nodes[name].budget.note_request(SERVICE)
            self.first_sends.append(self.now)

    async def retry(self, name, count):
        """Let a node send retries; return how many it may send."""
        taken = 0
        for _ in range(count):
            found = await obtain_retry(self.nodes[name].components, build_job())
            if found is Retry.TAKEN:
                taken += 1
                self.retries.append(self.now)
        return taken

    def find_excess(self):
        """Return by how many retries a window exceeds the budget at most.

        The requests are counted in the window itself, the one before it, or the one
        half a window before it, as users do.
        """

        def count(times, end):
            return bisect_right(times, end) - bisect_right(times, end - WINDOW_S)

        return max(
            (
                count(self.retries, at)
                - EXTRA
                - RATIO
                * max(
                    count(self.first_sends, at - back_s)
                    for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
                )
                for at in set(self.retries)
            ),
            default=-EXTRA,
        )
