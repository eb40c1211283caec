"""Simulation of a pool of instances under load and losses, with the leader's real code.

Instances execute orders as the platform's protocol specifies.  A member is ready 0.2 s
after it joined if it had the model in its last group, after ``warm_s`` if its host
has the weights, and after a load otherwise.  Requests arrive at a constant rate, go to
the open group with the fewest in flight, and take as long as the operators' figures
say.  Each is answered in time, answered late (its group lost a member or was
overloaded) or refused.  Network, nodes and delays are not simulated, except for the
detection time of a loss.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from coursepitch.fleet.claims import encode_claims
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.instances import FleetInstance, GroupState, Membership
from coursepitch.fleet.orders import OrderKind, OrderResult
from coursepitch.fleet.view import FleetView, claim_key
from coursepitch.gateway.work import TYPICAL_BATCH_SIZE
from coursepitch.platform.kv import Entry
from tests.fleet.builders import SERVICE, build_service

if TYPE_CHECKING:
    from coursepitch.config.routes import EngineProfile, ModelProfile

#: Seconds per simulation step, and steps between two decisions of the leader.
STEP_S = 0.05
DECISION_STEPS = 2

#: Seconds until all nodes know that an instance was lost.
DETECTION_S = 0.6

#: Sigma of the log-normal distribution of token counts, and its mean for a median of 1.
SIGMA = 0.8
MEAN_PER_MEDIAN = math.exp(SIGMA**2 / 2)

#: Seconds from the end of a request's first pass to its first event, network included,
#: at a pace of 1.  The median time to the first event is 0.15 s at a pace of 0.6 with
#: few requests, of which passes take 0.05 s.
FIRST_EVENT_DELAY_S = 0.15

#: Upper bound of the numbers of instances, for the order in which they are lost.
MAX_INSTANCES = 300

#: Seconds from the announcement that an instance leaves to its end.
LEAVE_NOTICE_S = 2.0

#: Seconds until a member is ready that had the model in its last group.
REJOIN_S = 0.2


@dataclass(frozen=True)
class Demand:
    """Incoming requests for one model.

    :param per_s: requests per second.
    :param prompt: mean number of prompt tokens.
    :param answer: mean number of generated tokens.
    :param worth: value of a request that is answered in time.
    :param objective_s: maximum seconds until the first event of a timely answer.
    """

    model: ModelProfile
    per_s: float
    prompt: float
    answer: float
    worth: float = 1.0
    objective_s: float = 0.4


@dataclass
class _Request:
    """A request at a group.

    :param unread: prompt tokens left to read.
    :param unwritten: tokens left to generate.
    """

    model: str
    arrived_at: float
    unread: float
    unwritten: float
    objective_s: float
    first_at: float | None = None

    @property
    def late(self) -> bool:
        """Whether the first event missed the objective, or never came."""
        return (
            self.first_at is None or self.first_at > self.arrived_at + self.objective_s
        )


@dataclass
class _Group:
    """The engine of an open group, which runs passes over its pending requests.

    :param rounds_up: whether a pass takes at least a step of the simulation.
    """

    pace: float
    requests: list[_Request] = field(default_factory=list)
    pass_ends_at: float = 0.0
    rounds_up: bool = True

    def run_pass(self, engine, now):
        """Run one pass; return the requests that it completed."""
        steps = engine.stride
        chunk = engine.chunk * steps
        reading = 0.0
        for item in self.requests[: engine.slots]:
            part = min(item.unread, chunk - reading)
            item.unread -= part
            reading += part
        writing = [item for item in self.requests[: engine.slots] if item.unread <= 0]
        step_s = engine.step_s + len(writing) * engine.sequence_s
        took_s = (steps * step_s + reading / engine.read_per_s) * self.pace
        started_at = self.pass_ends_at
        if self.rounds_up:
            started_at = max(now, started_at)
        self.pass_ends_at = started_at + took_s
        for item in writing:
            if item.first_at is None:
                item.first_at = self.pass_ends_at + FIRST_EVENT_DELAY_S * self.pace
            item.unwritten -= steps
        ended = [item for item in writing if item.unwritten <= 0]
        self.requests = [item for item in self.requests if item not in ended]
        return ended


@dataclass
class Tally:
    """Requests of one model by outcome."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def share(self) -> float:
        """Share of the requests that were answered in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


@dataclass
class SimulatedPool:
    """The pool, its leader and its clients; deterministic for a seed.

    :param rounds_up_passes: whether each pass of an engine takes at least one step of
        the simulation, 50 ms.  Passes of 25 ms then generate tokens at half the
        engine's rate.  Pools whose figures were measured this way keep it.
    """

    engine: EngineProfile
    demands: tuple[Demand, ...]
    domains: int
    domain_size: int
    seed: int
    rounds_up_passes: bool = True
    now: float = -12.0
    tallies: dict[str, Tally] = field(default_factory=dict)
    open_counts: list[dict[str, int]] = field(default_factory=list)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.loss_random = random.Random(self.seed + 1000)
        self.view = FleetView(lambda: self.now)
        self.view.store_revision = 10
        self.book = GroupController()
        self.service = replace(build_service(), engine=self.engine)
        self.dead_at: dict[str, float] = {}
        self.ready_at: dict[str, float] = {}
        self.opens_at: dict[str, float] = {}
        self.members: dict[str, tuple[str, ...]] = {}
        self.memory: dict[str, str] = {}
        self.joining: dict[str, str] = {}
        self.staging: dict[str, tuple[str, float]] = {}
        self.groups: dict[str, _Group] = {}
        self.debts = [0.0] * len(self.demands)
        self.removed_at: dict[str, float] = {}
        self.added = 0
        for item in self.demands:
            self.tallies[item.model.name] = Tally()
        for place in range(self.domains):
            for _ in range(self.domain_size):
                self.add_instance(f'd{place}')

    # -- the instances ------------------------------------------------------------

    def add_instance(self, domain):
        """Add an empty instance to a domain."""
        self.added += 1
        name = f'i{self.added}'
        zone = 'abc'[int(domain[1:]) % 3]
        self.view.instances[name] = FleetInstance(
            name, SERVICE, f'10.0.0.{self.added}:80', zone, 24, False, domain
        )
        self.view.version += 1

    def change(self, name, **fields):
        """Change fields of an instance's entry."""
        self.view.instances[name] = replace(self.view.instances[name], **fields)
        self.view.version += 1

    def set_state(self, name, state):
        membership = self.view.instances[name].membership
        self.change(name, membership=replace(membership, state=state))

    def lose(self, name):
        """Kill an instance without a notice."""
        self.dead_at[name] = self.now

    def leave(self, name):
        """Announce that an instance leaves; it ends :data:`LEAVE_NOTICE_S` later."""
        self.change(name, draining=True)
        self.removed_at[name] = self.now + LEAVE_NOTICE_S

    def lose_zone(self, zone):
        """Kill all instances of a zone."""
        for name, instance in self.view.instances.items():
            if instance.availability_zone == zone:
                self.dead_at.setdefault(name, self.now)

    def lose_entry(self, name):
        """Delete an instance's entry; it runs on, but gets no more requests."""
        del self.view.instances[name]
        self.view.version += 1

    def list_grouped(self):
        """Return the live instances that are members of groups."""
        claimed = {name for claim in self.view.all_claims() for name in claim.members}
        return sorted(
            name
            for name in claimed
            if name not in self.dead_at and name not in self.removed_at
        )

    def take_order(self, order):
        if order.instance in self.dead_at:
            return OrderResult.UNREACHED
        instance = self.view.instances.get(order.instance)
        if instance is None:
            if order.kind is OrderKind.LEAVE:
                self.cut(order.instance)
            return OrderResult.DONE
        if order.kind is OrderKind.STAGE:
            model = self.engine.find_model(order.model)
            load_s = model.load_s * (0.1 if self.now < 0 else 1.0)
            self.staging[order.instance] = (order.model, self.now + load_s)
            return OrderResult.TAKEN
        if order.kind is OrderKind.JOIN:
            return self.take_join(order, instance)
        held = instance.membership
        if held is None or (held.group, held.epoch) != (order.group, order.epoch):
            return OrderResult.UNFIT
        if order.kind is OrderKind.OPEN:
            self.opens_at.setdefault(order.instance, self.now + self.engine.form_s)
        elif order.kind is OrderKind.LEAVE:
            self.cut(order.instance)
            held_model = self.memory.get(order.instance, '')
            self.change(
                order.instance,
                membership=None,
                models=frozenset(),
                last_model=held_model,
            )
            return OrderResult.DONE
        elif held.state is GroupState.OPEN:
            self.set_state(order.instance, GroupState.CLOSING)
        return OrderResult.TAKEN

    def cut(self, head):
        """Interrupt the requests at a head; they are answered elsewhere, late."""
        group = self.groups.pop(head, None)
        for item in group.requests if group is not None else ():
            self.tallies[item.model].late += 1

    def take_join(self, order, instance):
        held = instance.membership
        if held is not None and held.epoch >= order.epoch:
            return OrderResult.DONE
        name = order.instance
        self.cut(self.members.get(name, (name,))[0])
        model = self.engine.find_model(order.model)
        if self.memory.get(name) == order.model:
            wait_s = REJOIN_S
        elif order.model in instance.staged:
            wait_s = model.warm_s
        else:
            wait_s = model.load_s * (0.1 if self.now < 0 else 1.0)
        self.ready_at[name] = self.now + wait_s
        self.opens_at.pop(name, None)
        self.members[name] = order.members
        rank = order.members.index(name)
        joined = Membership(order.group, order.epoch, rank, GroupState.JOINING)
        held_model = self.memory.get(name, '')
        self.change(name, membership=joined, models=frozenset(), last_model=held_model)
        self.joining[name] = order.model
        return OrderResult.TAKEN

    def settle(self):
        """Apply the state changes of instances that are due."""
        for name, until in list(self.removed_at.items()):
            if until <= self.now and name in self.view.instances:
                self.dead_at[name] = self.now
                self.lose_entry(name)
        for name, (model, until) in list(self.staging.items()):
            if until <= self.now and name in self.view.instances:
                del self.staging[name]
                self.change(name, staged=frozenset({model}))
        for name, until in list(self.ready_at.items()):
            if until <= self.now and name in self.view.instances:
                del self.ready_at[name]
                self.become_ready(name)
        for name, until in list(self.opens_at.items()):
            if until <= self.now and name in self.view.instances:
                del self.opens_at[name]
                held = self.view.instances[name].membership
                if held is not None and held.state is GroupState.READY:
                    self.set_state(name, GroupState.OPEN)

    def become_ready(self, name):
        model = self.memory[name] = self.joining[name]
        staged = self.view.instances[name].staged or frozenset({model})
        self.change(name, models=frozenset({model}), staged=staged, last_model='')
        self.set_state(name, GroupState.READY)

    # -- the leader ---------------------------------------------------------------

    def find_work(self):
        """Return the incoming work by model, as nodes measure it."""
        if self.now < 0:
            return {}
        step_s = self.engine.step_s / TYPICAL_BATCH_SIZE + self.engine.sequence_s
        work: dict[str, float] = {}
        for item in self.demands:
            engine_s = item.prompt / self.engine.read_per_s + item.answer * step_s
            model = item.model
            found = item.per_s * engine_s * model.pace * model.size
            work[model.name] = work.get(model.name, 0.0) + found
        return work

    def lead(self):
        for name, since in self.dead_at.items():
            if self.now - since >= DETECTION_S:
                self.book.unresponsive.add(name)
                self.view.lost.note_stored(name)
        self.view.version += 1
        loads_fast = self.now < 0
        decision = self.book.decide(
            self.view,
            self.service,
            self.find_work(),
            self.now,
            loads_fast=loads_fast,
            instances_stable=True,
        )
        for order in decision.orders:
            self.book.note_result(order, self.take_order(order), self.now)
        for change in decision.changes:
            self.view.store_revision += 1
            key = claim_key(change.service, change.domain)
            entry = Entry(key, encode_claims(change.claims), self.view.store_revision)
            self.view.apply_claims(entry)
            self.book.note_formed(
                item for item in change.claims if item.name in change.added
            )

    # -- the clients --------------------------------------------------------------

    def serve(self):
        """Advance running requests and add new ones, for one step."""
        open_heads = {
            group.head.name: demand.model
            for demand in self.demands
            for group in self.view.list_open(SERVICE, demand.model.name)
        }
        for head, group in list(self.groups.items()):
            if head not in open_heads and self.is_broken(head):
                self.cut(head)  # The loss is detected now.
            elif not self.is_broken(head):
                self.run_passes(group)
                self.note_closed(head, group)
        for head, model in open_heads.items():
            self.groups.setdefault(
                head,
                _Group(
                    model.pace, pass_ends_at=self.now, rounds_up=self.rounds_up_passes
                ),
            )
        for place, demand in enumerate(self.demands):
            heads = [name for name, item in open_heads.items() if item is demand.model]
            self.debts[place] += demand.per_s * STEP_S
            while self.debts[place] >= 1:
                self.debts[place] -= 1
                self.arrive(demand, heads)

    def note_closed(self, head, group):
        instance = self.view.instances.get(head)
        held = instance.membership if instance is not None else None
        closing = held is not None and held.state is GroupState.CLOSING
        if closing and not group.requests:
            self.set_state(head, GroupState.READY)

    def run_passes(self, group):
        while group.requests and group.pass_ends_at <= self.now:
            for item in group.run_pass(self.engine, self.now):
                tally = self.tallies[item.model]
                tally.late += item.late
                tally.in_time += not item.late
        if not group.requests:
            group.pass_ends_at = self.now

    def is_broken(self, head):
        """Whether a group has lost a member, detected or not."""
        members = self.members.get(head, (head,))
        return any(name in self.dead_at for name in members)

    def arrive(self, demand, heads):
        tally = self.tallies[demand.model.name]
        if not heads:
            tally.refused += 1
            return
        loads = {name: len(self.groups[name].requests) for name in heads}
        head = min(heads, key=lambda name: (loads[name], self.random.random()))
        if loads[head] >= self.engine.slots:
            tally.refused += 1
            return
        prompt = (
            self.random.lognormvariate(0.0, SIGMA) * demand.prompt / MEAN_PER_MEDIAN
        )
        answer = (
            self.random.lognormvariate(0.0, SIGMA) * demand.answer / MEAN_PER_MEDIAN
        )
        request = _Request(
            demand.model.name, self.now, prompt, answer, demand.objective_s
        )
        self.groups[head].requests.append(request)

    # -- time ---------------------------------------------------------------------

    def choose_lost(self, count):
        """Return members of groups to lose.

        Where passes are exact, the order in which instances are lost depends on the
        seed only, so that two runs with the same seed differ less by chance.
        """
        grouped = self.list_grouped()
        if self.rounds_up_passes:
            return self.random.sample(grouped, count)
        order = list(range(1, MAX_INSTANCES))
        self.loss_random.shuffle(order)
        found = [f'i{number}' for number in order if f'i{number}' in grouped]
        return found[:count]

    def run(self, until, losses=(), departures=(), additions=()):
        """Run the simulation until a time.

        :param losses: times, and how many members of groups are lost at each.
        :param departures: times at which a member of a group announces that it leaves.
        :param additions: times at which an empty instance is added to some domain.
        """
        waiting = sorted(losses)
        leaving = sorted(departures)
        coming = sorted(additions)
        steps = 0
        while self.now < until:
            while leaving and leaving[0] <= self.now:
                leaving.pop(0)
                self.leave(self.choose_lost(1)[0])
            while coming and coming[0] <= self.now:
                coming.pop(0)
                place = self.loss_random.randrange(self.domains)
                self.add_instance(f'd{place}')
            while waiting and waiting[0][0] <= self.now:
                _, count = waiting.pop(0)
                for name in self.choose_lost(count):
                    self.lose(name)
            self.settle()
            if steps % DECISION_STEPS == 0:
                self.lead()
            if self.now >= 0:
                self.serve()
                if steps % 20 == 0:
                    self.note_counts()
            steps += 1
            self.now = round(self.now + STEP_S, 6)

    def note_counts(self):
        self.open_counts.append(
            {
                item.model.name: len(self.view.list_open(SERVICE, item.model.name))
                for item in self.demands
            }
        )

    def compute_earned_share(self):
        """Return the earned share of the value; late answers count a quarter."""
        earned = owed = 0.0
        for demand in self.demands:
            tally = self.tallies[demand.model.name]
            count = tally.in_time + tally.late + tally.refused
            owed += demand.worth * count
            earned += demand.worth * (tally.in_time + 0.25 * tally.late)
        return earned / owed
