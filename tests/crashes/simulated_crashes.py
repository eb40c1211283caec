"""Nodes before heads of groups that crash, in simulated time, without processes.

Each node has its own reports and conclusions; messages between nodes take some time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from coursepitch.crashes.reports import CrashReporter
from coursepitch.crashes.suspects import Crash, SuspectTable, Traits
from coursepitch.crashes.trials import PartTrials, TrialRequest
from coursepitch.fleet.messages import decode_message, encode_message
from coursepitch.fleet.view import FleetView
from coursepitch.gateway.crash_detector import PROVEN_S
from coursepitch.gateway.job import MAX_CRASHES

#: Seconds of a message between two nodes, at most; seconds until a node has found out
#: that an instance ended, at most; seconds until an instance is back.
MESSAGE_S = 0.04
DETECTION_S = 0.06
RETURN_S = 3.0

#: Seconds until a run has its first event; from then to the crash of its instance, if
#: it is one that crashes it; mean seconds that other runs write.
READ_S = 0.2
CRASH_S = 0.1
WRITE_S = 0.8

#: Seconds after which a request that an instance took along runs again.
RETRY_S = 0.06

CONTACT_S = 3.0


@dataclass
class Request:
    """A request and what becomes of it.

    :param bad: whether its run crashes the instance.
    """

    number: int
    at: float
    node: int
    customer: str
    parts: tuple[str, ...]
    bad: bool
    attempts: int = 0
    crashes: int = 0
    began_at: float = 0.0
    ends_at: float = 0.0
    outcome: str = ''

    @property
    def traits(self):
        return Traits(f'f{self.number}', self.customer, 'pool/m', self.parts)


@dataclass
class Load:
    """What is sent.

    :param rate: sound requests a second.
    :param bad_rate: requests a second with a part that crashes instances.
    :param bad_parts: these parts.
    :param first: whether the part comes first in the prompt.
    :param documents: parts of which each sound request has one, drawn by popularity.
    :param waves: times, seconds and shares of crashes for another reason.
    """

    rate: float = 60.0
    bad_rate: float = 5.0
    bad_from: float = 5.0
    bad_parts: tuple[str, ...] = ('bad',)
    bad_customers: tuple[str, ...] = ('c0',)
    first: bool = False
    customers: int = 4
    documents: int = 40
    waves: tuple[tuple[float, float, float], ...] = ()


@dataclass
class SimulatedFleet:
    """Nodes and heads, and all that happens in order of time."""

    load: Load
    nodes: int = 9
    heads: int = 40
    seed: int = 1
    seconds: float = 25.0
    now: float = 0.0
    requests: list[Request] = field(default_factory=list)
    bad_ends: list[float] = field(default_factory=list)
    bad_arrivals: list[float] = field(default_factory=list)
    bytes: int = 0

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.order = itertools.count()
        self.due = []
        self.running = {name: {} for name in range(self.heads)}
        self.born = dict.fromkeys(self.running, 1)
        self.reporters = [self._build_node(number) for number in range(self.nodes)]
        table = self.reporters[0].table
        self.granted = []
        self.trials = PartTrials(
            'n0', lambda: 'n0', table.is_trial_due, lambda: self.now
        )
        self.trials.tell = lambda reply, node: self.granted.append(reply.granted)

    def _build_node(self, number):
        def clock():
            return self.now

        table = SuspectTable(clock)
        reporter = CrashReporter(f'n{number}', table, None, FleetView(clock), clock)

        def send(message, _node):
            data = encode_message(message)
            for other, peer in enumerate(self.reporters):
                if other != number:
                    self.bytes += len(data)
                    delay_s = self.random.random() * MESSAGE_S
                    self.call_in(delay_s, lambda p=peer: p.take(decode_message(data)))

        reporter.send = send
        reporter.table = table
        return reporter

    def call_in(self, seconds, work):
        heapq.heappush(self.due, (self.now + seconds, next(self.order), work))

    # -- requests ---------------------------------------------------------------------

    def build_request(self, bad):
        customer = f'c{self.random.randrange(self.load.customers)}'
        if bad:
            customer = self.random.choice(self.load.bad_customers)
            third = self.random.choice(self.load.bad_parts)
        else:
            third = f'd{int(self.load.documents * self.random.random() ** 3)}'
        number = len(self.requests)
        shared = (f'system-{customer}', 'tools')
        parts = (third, *shared) if self.load.first else (*shared, third)
        return Request(
            number,
            self.now,
            self.random.randrange(self.nodes),
            customer,
            (*parts, f'own-{number}'),
            bad,
        )

    def arrive(self, bad):
        request = self.build_request(bad)
        self.requests.append(request)
        self.run(request)

    def run(self, request):
        """Send a request to a head, unless it is refused."""
        if self.is_refused(request):
            request.outcome = 'refused'
            return
        up = [name for name, items in self.running.items() if items is not None]
        if not up:
            request.outcome = 'no head'
            return
        head = self.random.choice(up)
        request.attempts += 1
        if request.bad:
            self.bad_arrivals.append(self.now)
        request.began_at = self.now + READ_S
        write_s = CRASH_S if request.bad else self.random.expovariate(1 / WRITE_S)
        request.ends_at = request.began_at + write_s
        self.running[head][request.number] = request
        born = self.born[head]
        self.call_in(
            request.ends_at - self.now, lambda: self.end_run(request, head, born)
        )

    def is_refused(self, request):
        """Whether a node refuses a request; the leader answers at once."""
        table = self.reporters[request.node].table
        if table.find_refused_s(request.traits.fingerprint) > 0:
            return True
        part = table.find_crashing_part(request.traits)
        if part is None:
            return False
        if table.find_part_refused_s(part) > 0:
            return True
        leader = self.trials
        leader.answer(TrialRequest('node', 0, part.name))
        return not self.granted.pop()

    def end_run(self, request, head, born):
        if self.born[head] != born or request.number not in (self.running[head] or {}):
            return
        if request.bad:
            self.bad_ends.append(self.now)
            self.crash(head)
            return
        del self.running[head][request.number]
        request.outcome = 'answered'
        reporter = self.reporters[request.node]
        reporter.note_answered(request.traits.fingerprint)
        reporter.note_sound(request.traits, 'v1')

    # -- crashes ----------------------------------------------------------------------

    def crash(self, head):
        taken, self.running[head] = self.running[head], None
        if taken is None:
            return
        at, born = self.now, self.born[head]
        for request in taken.values():
            self.call_in(
                self.random.random() * DETECTION_S,
                lambda r=request: self.note_crash(r, head, born, at),
            )
        self.call_in(RETURN_S, lambda: self.come_back(head))

    def come_back(self, head):
        self.born[head] += 1
        self.running[head] = {}

    def note_crash(self, request, head, born, at):
        """Let a node find out that an instance crashed with a request."""
        reporter = self.reporters[request.node]
        traits = request.traits
        parts = traits.parts
        if at - request.began_at >= PROVEN_S:
            reporter.note_sound(traits, 'v1')
            parts = ()
        request.crashes += 1
        reporter.note_crash(
            Crash(
                traits.fingerprint,
                traits.customer,
                f'h{head}',
                born,
                self.now,
                f'n{request.node}',
                'v1',
                traits.workload,
                parts,
                reporter.list_sound_parts(traits, 'v1'),
            )
        )
        reporter.tell_waiting()
        if request.crashes >= MAX_CRASHES:
            request.outcome = 'broken off'
            return
        fresh = at < request.began_at + 0.05
        self.call_in(RETRY_S if fresh else 0.0, lambda: self.run(request))

    def sweep(self):
        for reporter in self.reporters:
            reporter.table.sweep()
            reporter.tell_waiting()
        self.call_in(1.0, self.sweep)

    # -- all --------------------------------------------------------------------------

    def play(self):
        """Let all happen in order of time."""
        for bad, rate, since in (
            (False, self.load.rate, 0.0),
            (True, self.load.bad_rate, self.load.bad_from),
        ):
            at = since
            while rate and at < self.seconds:
                self.call_in(at, lambda bad=bad: self.arrive(bad))
                at += self.random.expovariate(rate)
        for at, together_s, share in self.load.waves:
            for head in self.random.sample(range(self.heads), int(share * self.heads)):
                when = at + self.random.random() * together_s
                self.call_in(when, lambda head=head: self.crash(head))
        self.sweep()
        while self.due and self.due[0][0] < self.seconds:
            self.now, _, work = heapq.heappop(self.due)
            work()
        return self

    def list_late_arrivals(self):
        """Return the arrivals of requests with the part once users expect none."""
        if len(self.bad_ends) < 5:
            return []
        known_at = self.bad_ends[4] + CONTACT_S
        return [at for at in self.bad_arrivals if at > known_at]

    def count_sound(self, since=0.0, customer=''):
        """Return the sound requests since a time, and those refused by a part."""
        sound = [
            item
            for item in self.requests
            if not item.bad and item.at >= since and customer in ('', item.customer)
        ]
        return len(sound), sum(item.outcome == 'refused' for item in sound)
