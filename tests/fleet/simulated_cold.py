"""Simulation of nodes that send to groups of which many heads become cold at once.

Each node runs the real code for cold instances, permits, requests without permits and,
on the leader, grants.  Entries and messages are delayed, and the leader may be gone.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass

from coursepitch.config.routes import Service
from coursepitch.fleet.cold import ColdInstances, UnaskedSends
from coursepitch.fleet.rate_limits import RateLimits
from coursepitch.fleet.send_permits import SendGranter, SendPermits

#: Longest delay in seconds of a message between two nodes, of an entry to the leader
#: and of an entry to the other nodes.
DELAY_S = 0.004
LEADER_ENTRY_S = 0.1
ENTRY_S = 0.8

#: Interval of an instance's heartbeats in seconds.
HEARTBEAT_S = 1.2

#: Seconds for which a request waits for a group, and between two checks.
WAIT_S = 0.05
CHECK_S = 0.02


@dataclass(eq=False)
class Head:
    """Head of a group; it fails nothing, so that all requests are counted.

    :param arrivals: times at which requests arrived.
    """

    name: str
    slots: int
    in_flight: int = 0

    def __post_init__(self):
        self.arrivals = []


class Node:
    """A node with the real state of cold instances and permits."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.knows_leader = True
        clock = fleet.read_clock
        self.limits = RateLimits(name, next(fleet.order), clock)
        self.cold = ColdInstances(clock, lambda name: fleet.service, lambda: False)
        if fleet.enforces:
            self.limits.find_cold = self.cold.find_limit
        self.unasked = UnaskedSends(name, clock, lambda: 0.0)
        self.unasked.may_send = lambda: True
        granter = SendGranter(
            self.limits, self.read_term, clock, fleet.random.random, self.cold
        )
        self.permits = SendPermits(
            name,
            self.limits,
            granter,
            lambda: fleet.leader if self.knows_leader else '',
            clock,
            self.tell,
            fleet.count,
            self.cold,
            self.unasked if fleet.sends_unasked else None,
            lambda: fleet.now < fleet.heard_until,
        )

    def read_term(self):
        return self.fleet.term if self.name == self.fleet.leader else 0

    def tell(self, message, node):
        self.fleet.carry(node, message)


class SimulatedColdFleet:
    """Nodes, a leader and the heads of groups.

    :param nodes: number of nodes.
    :param heads: number of heads.
    :param cold_per_s: limit of a cold instance.
    :param service_s: mean duration of a request.
    :param enforces: whether nodes limit requests to cold instances.
    :param sends_unasked: whether nodes send some requests without permits.
    """

    def __init__(
        self,
        nodes,
        heads,
        cold_per_s=23.0,
        service_s=0.8,
        slots=10,
        seed=1,
        *,
        enforces=True,
        sends_unasked=True,
    ):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.order = itertools.count(1)
        self.due = []
        self.service = Service('pool', '/', 100, None, 3.0, cold_per_s)
        self.service_s = service_s
        self.enforces = enforces
        self.sends_unasked = sends_unasked
        self.term = 1
        self.leader = 'n0'
        self.alive = True
        self.heard_until = float('inf')
        self.heads = {f'h{item}': Head(f'h{item}', slots) for item in range(heads)}
        self.nodes = {f'n{item}': Node(self, f'n{item}') for item in range(nodes)}
        for node in self.nodes.values():
            node.unasked.note_nodes(self.nodes)
            node.permits.granter.note_term()
        self.outcomes = []
        #: Per request: arrival, seconds until it was sent and name of the head, or
        #: ``None`` for a refused one.
        self.requests = []

    def read_clock(self):
        return self.now

    def count(self, outcome):
        self.outcomes.append(outcome)

    def schedule(self, after_s, work):
        heapq.heappush(self.due, (self.now + after_s, next(self.order), work))

    def advance(self, seconds):
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, work = heapq.heappop(self.due)
            work()
        self.now = end

    # -- entries and messages ----------------------------------------------------------

    def make_cold(self, names, seconds=3.0):
        """Let instances become cold; their entries count down at each heartbeat."""
        until = self.now + seconds
        for name in names:
            self._write_entry(name, until)

    def _write_entry(self, name, until):
        left_s = max(0.0, until - self.now)
        for node in self.nodes.values():
            longest_s = LEADER_ENTRY_S if node.name == self.leader else ENTRY_S
            # All nodes receive entries in the order in which they were written.
            after_s = self.random.uniform(0.5, 1.0) * longest_s
            self.schedule(after_s, lambda n=node: n.cold.note_entry(name, left_s))
        if left_s:
            self.schedule(HEARTBEAT_S, lambda: self._write_entry(name, until))

    def carry(self, name, message):
        self.schedule(
            self.random.uniform(0.0005, DELAY_S), lambda: self._arrive(name, message)
        )

    def _arrive(self, name, message):
        if name == self.leader and not self.alive:
            return
        permits = self.nodes[name].permits
        if type(message).__name__ == 'SendRequest':
            permits.answer(message)
        else:
            permits.take_answer(message)

    def lose_leader(self, heard_s=0.0):
        """Let the leader end; nodes notice this some time later."""
        self.alive = False
        self.heard_until = self.now + heard_s

    def elect(self, name):
        """Let another node lead."""
        self.leader, self.alive, self.heard_until = name, True, float('inf')
        self.term += 1
        self.nodes[name].permits.granter.note_term()

    # -- requests ----------------------------------------------------------------------

    def play(self, seconds, rate, names=None):
        """Let requests arrive at nodes; ``names`` are the heads that are open."""
        end = self.now + seconds
        while self.now < end:
            gone = '' if self.alive else self.leader
            nodes = [item for item in self.nodes if item != gone]
            node = self.nodes[self.random.choice(nodes)]
            self._choose(node, self.now, names)
            self.advance(self.random.expovariate(rate))

    def _choose(self, node, arrived_at, names):
        found = [
            head
            for head in self.heads.values()
            if (names is None or head.name in names)
            and head.in_flight < head.slots
            and not node.permits.is_closed(head.name)
        ]
        if not found:
            if self.now - arrived_at >= WAIT_S:
                self.requests.append((arrived_at, None, None))
            else:
                work = (node, arrived_at, names)
                self.schedule(CHECK_S, lambda: self._choose(*work))
            return
        some = self.random.sample(found, min(3, len(found)))
        head = min(some, key=lambda item: item.in_flight)
        free = node.limits.find(head.name) is None
        if free or node.permits.take_unasked(head.name) is not None:
            self._send(head, arrived_at)
        else:
            self._ask(node, head, arrived_at, names)

    def _ask(self, node, head, arrived_at, names):
        permits = node.permits
        question = permits.request_permit(head.name)
        asked_at = self.now
        timeout_s = permits.find_timeout_s(head.name)

        def look():
            if question.grant is None and self.now < asked_at + timeout_s:
                self.schedule(0.0005, look)
                return
            del permits._requests[question.number]
            permit = permits.finish(question)
            if permit is not None and permits.allows(head.name, permit):
                self._send(head, arrived_at)
            else:
                self._choose(node, arrived_at, names)

        look()

    def _send(self, head, arrived_at):
        head.in_flight += 1
        self.requests.append((arrived_at, self.now - arrived_at, head.name))
        # Delivery times differ by up to 0.15 s.
        self.schedule(self.random.choice([0.001, 0.15]), lambda: self._reach(head))
        duration_s = self.random.uniform(0.5, 1.5) * self.service_s
        self.schedule(duration_s, lambda: self._end(head))

    def _reach(self, head):
        head.arrivals.append(self.now)

    def _end(self, head):
        head.in_flight -= 1

    # -- checks ------------------------------------------------------------------------

    def find_most(self, names, start, end, window_s=1.0):
        """Return the most requests that one of the heads got in any window."""
        most = 0
        for name in names:
            times = sorted(at for at in self.heads[name].arrivals if start <= at <= end)
            for place, at in enumerate(times):
                inside = sum(at <= other < at + window_s for other in times[place:])
                most = max(most, inside)
        return most

    def measure_rate(self, names, start, end):
        """Return the requests per second that a head got on average."""
        count = sum(
            start <= at < end for name in names for at in self.heads[name].arrivals
        )
        return count / len(names) / (end - start)

    def list_requests(self, start, end):
        """Return the requests that arrived in a period."""
        return [item for item in self.requests if start <= item[0] < end]
