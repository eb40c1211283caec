"""Simulation of many nodes that choose among the heads of one model.

Each node knows its own requests at once and those of all other nodes with a delay.
Engines run passes as the operators' figures say.  Network delays are constant, and
there are no losses.
"""

from __future__ import annotations

import collections
import heapq
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from coursepitch.gateway.router import ZONE_COST_PER_SLOT

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.config.routes import EngineProfile, ModelProfile

#: Seconds between two snapshots of the loads, and age of the snapshot that nodes use.
SNAPSHOT_S = 0.05
DELAY_S = 0.4

#: Seconds from a node to an engine, and from the end of a pass to the first event at
#: the client.  With few requests the median time to the first event is then 0.13 s.
SEND_S = 0.02
RETURN_S = 0.05

#: Interval of checks for a group, and share of the objective after which a request is
#: refused, as in the gateway.
CHECK_S = 0.02
WAIT_SHARE = 0.2

#: Seconds for which an idle connection is kept.
IDLE_S = 10.0

#: Time constant in seconds of a node's average of its arrivals, as in the gateway.
AVERAGING_S = 4.0

#: Sigma of the log-normal distribution of prompts and answers.
SIGMA = 0.5

#: Seconds before the first request that counts.
WARM_UP_S = 3.0


@dataclass(frozen=True)
class Scene:
    """Nodes, heads and demand of one model.

    :param per_s: requests per second outside of bursts.
    :param bursts: bounds of the factor on the rate in bursts.
    """

    engine: EngineProfile
    model: ModelProfile
    nodes: int
    heads: int
    per_s: float
    prompt: float
    longest_prompt: float
    answer: float
    objective_s: float
    seconds: float = 23.0
    bursts: tuple[float, float] = (1.7, 2.0)
    burst_every_s: float = 7.0
    burst_s: float = 3.0
    delay_s: float = DELAY_S
    zones: int = 3


@dataclass(eq=False)
class Request:
    """A request; ``unread`` and ``unwritten`` are tokens."""

    node: int
    arrived_at: float
    prompt: float
    answer: float
    in_burst: bool
    head: int = -1
    unread: float = 0.0
    unwritten: float = 0.0
    held: bool = False
    first_at: float | None = None


class Load(NamedTuple):
    """Load of a head as a node knows it.

    :param own: the node's own requests in flight.
    :param others: those of other nodes, ``DELAY_S`` ago.
    :param own_tokens: its own prompt tokens that await a first event.
    :param others_tokens: those of other nodes, ``DELAY_S`` ago.
    """

    own: int
    others: int
    own_tokens: float
    others_tokens: float


class Choice(NamedTuple):
    """What a node knows when it chooses.

    :param costs: cost of each head's zone, in requests.
    :param arrivals: estimate of the requests of all nodes in ``DELAY_S``.
    :param connected: heads to which the node has an idle connection.
    :param fresh: the present load of all nodes, which no real node knows.
    """

    scene: Scene
    loads: list[Load]
    costs: list[float]
    arrivals: float
    prompt: float
    random: random.Random
    fresh: list[Load]
    connected: frozenset[int]


@dataclass(eq=False)
class _Head:
    pace: float
    requests: list[Request] = field(default_factory=list)
    busy: bool = False


@dataclass(eq=False)
class Result:
    """What clients got: shares of requests in time, of all and of those in bursts.

    :param reused: share of requests on connections that were open.
    :param crossed: share of requests sent to another zone.
    """

    in_time: float
    in_time_in_bursts: float
    refused: float
    first_events: list[float]
    in_flight: list[int]
    reused: float
    crossed: float


class SimulatedHeads:
    """One run; deterministic for a seed, with the same requests for all choices.

    :param choose: returns the index of a head, or -1 to wait for a place.
    :param hold: returns for how long a node holds a request before it chooses.
    """

    def __init__(
        self,
        scene: Scene,
        choose: Callable[[Choice], int],
        seed: int,
        hold: Callable[[Choice], float] = lambda choice: 0.0,
    ) -> None:
        self.scene, self.choose, self.hold = scene, choose, hold
        self.random = random.Random(seed + 1_000_000)
        self.now = 0.0
        self.heads = [_Head(scene.model.pace) for _ in range(scene.heads)]
        self.own = [[[0, 0.0] for _ in range(scene.heads)] for _ in range(scene.nodes)]
        self.total = [[0, 0.0] for _ in range(scene.heads)]
        self.snapshots = collections.deque([([], [])])
        self.rates = [scene.per_s / scene.nodes] * scene.nodes
        self.rated_at = [0.0] * scene.nodes
        self.queue: list = []
        self.number = 0
        self.done: list[Request] = []
        self.refused = 0
        self.counts: list[int] = []
        self.idle: list[dict[int, list[float]]] = [{} for _ in range(scene.nodes)]
        self.reused = 0
        self.crossed = 0

    def push(self, at, action, *parts):
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, action, parts))

    def plan_arrivals(self, seed):
        """Schedule the requests of a seed."""
        scene, chance = self.scene, random.Random(seed)
        factor, now = 1.0, 0.0
        next_burst, ends = WARM_UP_S + 1.0, -1.0
        while now < scene.seconds:
            in_burst = now < ends
            now += chance.expovariate(scene.per_s * (factor if in_burst else 1.0))
            if now >= next_burst:
                factor = chance.uniform(*scene.bursts)
                ends, next_burst = now + scene.burst_s, now + scene.burst_every_s
            prompt = self.draw(chance, scene.prompt)
            while prompt > scene.longest_prompt:
                prompt = self.draw(chance, scene.prompt)
            request = Request(
                chance.randrange(scene.nodes),
                now,
                prompt,
                max(1.0, self.draw(chance, scene.answer)),
                now < ends,
            )
            self.push(now, self.arrive, request)

    @staticmethod
    def draw(chance, mean):
        return chance.lognormvariate(math.log(mean) - SIGMA**2 / 2, SIGMA)

    def run(self, seed):
        """Run to the end of the scene; return what the clients got."""
        self.plan_arrivals(seed)
        for step in range(int(self.scene.seconds / SNAPSHOT_S)):
            self.push(step * SNAPSHOT_S, self.take_snapshot)
        while self.queue:
            self.now, _, action, parts = heapq.heappop(self.queue)
            action(*parts)
        return self.summarize()

    def summarize(self):
        counted = [item for item in self.done if item.arrived_at >= WARM_UP_S]
        objective_s = self.scene.objective_s

        def share(items):
            good = sum(
                item.first_at is not None
                and item.first_at - item.arrived_at <= objective_s
                for item in items
            )
            return good / max(1, len(items))

        return Result(
            share(counted),
            share([item for item in counted if item.in_burst]),
            self.refused / max(1, len(counted)),
            sorted(
                item.first_at - item.arrived_at
                for item in counted
                if item.first_at is not None
            ),
            sorted(self.counts),
            self.reused / max(1, len(self.done)),
            self.crossed / max(1, len(self.done)),
        )

    def take_snapshot(self):
        totals = [tuple(row) for row in self.total]
        owns = [
            {head: tuple(row) for head, row in enumerate(rows) if row[0]}
            for rows in self.own
        ]
        self.snapshots.append((totals, owns))
        while len(self.snapshots) > self.scene.delay_s / SNAPSHOT_S + 1:
            self.snapshots.popleft()

    # -- a node -----------------------------------------------------------------------

    def build_choice(self, request):
        node, scene = request.node, self.scene
        totals, owns = self.snapshots[0]
        before = owns[node] if owns else {}
        loads = []
        for head, own in enumerate(self.own[node]):
            total = totals[head] if totals else (0, 0.0)
            mine = before.get(head, (0, 0.0))
            loads.append(
                Load(
                    own[0],
                    total[0] - mine[0],
                    own[1],
                    max(0.0, total[1] - mine[1]),
                )
            )
        cost = ZONE_COST_PER_SLOT * scene.engine.slots
        costs = [
            0.0 if head % scene.zones == node % scene.zones else cost
            for head in range(scene.heads)
        ]
        decay = math.exp((self.rated_at[node] - self.now) / AVERAGING_S)
        arrivals = self.rates[node] * decay * scene.nodes * DELAY_S
        fresh = [Load(row[0], 0, row[1], 0.0) for row in self.total]
        connected = frozenset(
            head
            for head, ended in self.idle[node].items()
            if any(at > self.now - IDLE_S for at in ended)
        )
        return Choice(
            scene,
            loads,
            costs,
            arrivals,
            request.prompt,
            self.random,
            fresh,
            connected,
        )

    def arrive(self, request):
        node = request.node
        decay = math.exp((self.rated_at[node] - self.now) / AVERAGING_S)
        self.rates[node] = self.rates[node] * decay + 1 / AVERAGING_S
        self.rated_at[node] = self.now
        self.place(request)

    def place(self, request):
        choice = self.build_choice(request)
        if not request.held:
            request.held = True
            hold_s = self.hold(choice)
            if hold_s > 0:
                self.push(self.now + hold_s, self.place, request)
                return
        head = self.choose(choice)
        if head < 0:
            if self.now - request.arrived_at >= self.scene.objective_s * WAIT_SHARE:
                self.refused += request.arrived_at >= WARM_UP_S
                self.done.append(request)
            else:
                self.push(self.now + CHECK_S, self.place, request)
            return
        request.head = head
        self.crossed += choice.costs[head] > 0
        idle = self.idle[request.node].setdefault(head, [])
        if idle:
            self.reused += idle.pop() > self.now - IDLE_S
        request.unread, request.unwritten = request.prompt, request.answer
        for row in (self.own[request.node][head], self.total[head]):
            row[0] += 1
            row[1] += request.prompt
        if request.in_burst:
            self.counts.append(self.total[head][0])
        self.push(self.now + SEND_S, self.reach, request)

    def note_first(self, request):
        for row in (self.own[request.node][request.head], self.total[request.head]):
            row[1] -= request.prompt

    def end(self, request):
        for row in (self.own[request.node][request.head], self.total[request.head]):
            row[0] -= 1
        self.idle[request.node][request.head].append(self.now)
        self.done.append(request)

    # -- an engine --------------------------------------------------------------------

    def reach(self, request):
        head = self.heads[request.head]
        head.requests.append(request)
        if not head.busy:
            self.run_pass(head)

    def run_pass(self, head):
        """Run one pass over the requests that have slots."""
        engine = self.scene.engine
        running = head.requests[: engine.slots]
        if not running:
            head.busy = False
            return
        head.busy = True
        budget, read_s = engine.chunk * engine.stride, 0.0
        for item in running:
            part = min(item.unread, budget)
            budget -= part
            item.unread -= part
            read_s += part / engine.read_per_s + part**2 / 2e6 * engine.pairs_s
        writing = [item for item in running if item.unread <= 0]
        context = sum(item.prompt for item in writing) / 1000
        step_s = engine.step_s + len(writing) * engine.sequence_s
        step_s += context * engine.context_s
        took_s = (engine.stride * step_s + read_s) * head.pace
        self.push(self.now + took_s, self.finish_pass, head, writing)

    def finish_pass(self, head, writing):
        for item in writing:
            if item.first_at is None:
                item.first_at = self.now + RETURN_S
                self.push(item.first_at, self.note_first, item)
            item.unwritten -= self.scene.engine.stride
            if item.unwritten <= 0:
                self.push(self.now + RETURN_S, self.end, item)
        head.requests = [item for item in head.requests if item.unwritten > 0]
        self.run_pass(head)
