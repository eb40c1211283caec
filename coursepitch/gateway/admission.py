"""Admission of requests: each waits in a queue until a target has room.

Waiting requests are woken by freed capacity, by changes of the view and by newer loads
of peers.  A node that has waiting requests also checks them at an interval, for
conditions that end with time alone: backoffs, the avoidance of instances that failed,
denied permits, and the confirmation of the configuration.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

import anyio
from anyio.lowlevel import checkpoint_if_cancelled

from coursepitch import events, log
from coursepitch.scheduling.waiting import WaitingQueue, WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Hashable

    from coursepitch.clock import Clock
    from coursepitch.fleet.session import FleetSession
    from coursepitch.gateway.job import Job
    from coursepitch.gateway.load_tracker import LoadTracker
    from coursepitch.gateway.send_gate import SendGate
    from coursepitch.metrics import Metrics

__all__ = ['Admission', 'Denial', 'Denied', 'Terms']

Target = TypeVar('Target')

#: Largest number of waiting requests of a service and model.  Each holds a connection
#: and its body in memory.
MAX_WAITING = 1_000

#: Interval in seconds of checks of waiting requests.
CHECK_INTERVAL_S = 0.02

#: Share of a client's time left up to which a Retry-After is lengthened by its jitter.
#: Clients return only if it is at most a third of that time.
HONOURED_SHARE = 0.3

#: Lines about decisions in one second; beyond them, decisions are counted by reason.
MAX_LINES_PER_S = 20


class Denial(enum.Enum):
    """Why a request gets no target, for logs and counters."""

    EXPIRED = 'wait over'
    LATE = 'known to be late'
    EVICTED = 'evicted'
    FULL = 'queue full'
    CLOSED = 'targets closed'
    UNCONFIRMED = 'unconfirmed'
    REMOVED = 'service removed'


#: Denials that depend on the queue and not on the targets.
QUEUE_DENIALS = frozenset({Denial.EXPIRED, Denial.LATE, Denial.EVICTED, Denial.FULL})


@dataclass(frozen=True, slots=True)
class Denied:
    """No target for a request.

    :param retry_after_s: Retry-After in seconds.
    """

    denial: Denial
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Terms:
    """How a request waits for its next target.

    :param expires_at: time at which it stops waiting.
    :param list_targets: returns the names of the instances that could serve it.
    :param least_retry_after_s: shortest Retry-After in seconds, without jitter.
    :param constraint: equal for requests that can start at the same targets.
    :param refuse_late: whether it is refused before its wait is over if it is known
        that no target has room in time.
    """

    expires_at: float
    list_targets: Callable[[], Collection[str]]
    least_retry_after_s: float
    constraint: Hashable = None
    refuse_late: bool = True


@dataclass(eq=False, slots=True)
class _Entry:
    """A request that asks for a target.

    :param start: chooses a target and returns its name; ``None`` without one.
    :param ready: set when the wait ends; ``None`` while it has not begun.
    :param reserved: name of the chosen target, which counts the request as in flight.
    """

    job: Job
    request: WaitingRequest
    terms: Terms
    start: Callable[[], str | None]
    since: float
    ready: anyio.Event | None = None
    reserved: str = ''
    denial: Denial | None = None

    def finish(self) -> None:
        if self.ready is not None:
            self.ready.set()


@dataclass(eq=False, slots=True)
class _Queue:
    service: str
    waiting: WaitingQueue = field(default_factory=lambda: WaitingQueue(MAX_WAITING))
    entries: dict[WaitingRequest, _Entry] = field(default_factory=dict)


class Admission:
    """Give requests their targets, in the order of the queue of their service.

    :param random_fraction: returns a random number from 0 to 1, for the jitter of
        Retry-After.
    """

    def __init__(
        self,
        session: FleetSession,
        gate: SendGate,
        load_tracker: LoadTracker,
        metrics: Metrics,
        clock: Clock,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._session = session
        self._gate = gate
        self._load_tracker = load_tracker
        self._metrics = metrics
        self._clock = clock
        self._random_fraction = random_fraction
        self._queues: dict[tuple[str, str], _Queue] = {}
        self._log = DecisionLog(clock)
        self._has_work: anyio.Event | None = None

    # -- requests ---------------------------------------------------------------------

    async def acquire(
        self,
        job: Job,
        terms: Terms,
        choose: Callable[[], tuple[str, Target] | None],
        choose_last: Callable[[], tuple[str, Target] | None] | None = None,
    ) -> Target | Denied:
        """Return a target for a request, after a wait if necessary.

        :param choose: returns a target that has room with its name, or ``None``.
        :param choose_last: the same for a request that would be denied because of the
            queue: a target that may have room although its bound is reached.
        """
        now = self._clock()
        queue = self._find_queue(job)
        if now >= job.deadline_at or not self._session.is_fresh():
            return self._build_denied(queue, job, terms, Denial.UNCONFIRMED)
        found: list[Target] = []

        def start() -> str | None:
            chosen = choose()
            if chosen is None:
                return None
            found.append(chosen[1])
            return chosen[0]

        entry = _Entry(job, _build_request(job, terms), terms, start, now)
        self._offer(queue, entry, now)
        if entry.ready is not None:
            await self._wait(queue, entry)
        if entry.reserved:
            # The caller counts the request as in flight itself when it is sent.
            self._load_tracker.end(entry.reserved)
            self._note_admitted(entry)
            return found[-1]
        denial = entry.denial or Denial.EXPIRED
        if denial in QUEUE_DENIALS and choose_last is not None:
            chosen = choose_last()
            if chosen is not None:
                self._note_admitted(entry)
                return chosen[1]
        self._note_denied(entry, denial)
        return self._build_denied(queue, job, terms, denial)

    def note_end(self, job: Job, *, completed: bool) -> None:
        """Let waiting requests have the capacity that a request has freed.

        :param completed: whether it was answered; its work then counts towards the
            completion rate.
        """
        queue = self._find_queue(job)
        now = self._clock()
        if completed:
            queue.waiting.note_completion(job.work, now)
        self._dispatch(queue, now)

    def note_loads(self) -> None:
        """Serve waiting requests after the loads of peers have changed."""
        now = self._clock()
        for queue in self._queues.values():
            self._dispatch(queue, now)

    def count_waiting(self) -> dict[int, int]:
        """Return the number of waiting requests by urgency."""
        counts: dict[int, int] = {}
        for queue in self._queues.values():
            for request in queue.entries:
                counts[request.urgency] = counts.get(request.urgency, 0) + 1
        return counts

    # -- checks of waiting requests ---------------------------------------------------

    async def run(self) -> None:
        """Check waiting requests until cancelled; idle while none waits."""
        while True:
            self._has_work = anyio.Event()
            if not self._is_waiting() and not self._log.has_counts():
                await self._has_work.wait()
            await self._session.wait_changed(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Serve waiting requests, or deny those that cannot be served."""
        now = self._clock()
        table = self._session.view.table
        for queue in self._queues.values():
            if queue.entries and (table is None or queue.service not in table.services):
                self._deny_all(queue, Denial.REMOVED)
            self._dispatch(queue, now)
            for request in queue.waiting.expire(now):
                over = request.expires_at <= now
                denial = Denial.EXPIRED if over else Denial.LATE
                self._deny(queue, request, denial)
            self._deny_closed(queue, now)
        self._log.flush()

    def _is_waiting(self) -> bool:
        return any(queue.entries for queue in self._queues.values())

    def _deny_closed(self, queue: _Queue, now: float) -> None:
        """Deny requests whose targets are closed for longer than these can wait."""
        for request in queue.waiting.list_by_expiry():
            entry = queue.entries[request]
            if not self._are_closed(entry, now):
                # Those that can wait for longer are not denied either.
                return
            queue.waiting.remove(request)
            self._deny(queue, request, Denial.CLOSED)

    def _are_closed(self, entry: _Entry, now: float) -> bool:
        targets = entry.terms.list_targets()
        return self._gate.are_closed(targets, entry.request.expires_at - now)

    # -- internals --------------------------------------------------------------------

    def _find_queue(self, job: Job) -> _Queue:
        engine = job.service.engine
        model = job.fields.model
        if engine is None or engine.find_model(model) is None:
            # Clients choose the name of the model; unknown ones share a queue.
            model = ''
        key = (job.service.name, model)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue(job.service.name)
        return queue

    def _offer(self, queue: _Queue, entry: _Entry, now: float) -> None:
        """Let a request start, begin to wait, or be denied."""
        request = entry.request
        offer = queue.waiting.offer(request, now)
        if offer.evicted is not None:
            self._deny(queue, offer.evicted, Denial.EVICTED)
        if not offer.accepted:
            entry.denial = Denial.FULL
            return
        queue.entries[request] = entry
        self._dispatch(queue, now)
        if entry.reserved or entry.denial is not None:
            return
        request.expected_s = queue.waiting.estimate_wait_s(request, now)
        if request.expires_at <= now:
            entry.denial = Denial.EXPIRED
        elif self._are_closed(entry, now):
            entry.denial = Denial.CLOSED
        elif queue.waiting.is_too_late(request, now):
            entry.denial = Denial.LATE
        if entry.denial is not None:
            self._withdraw(queue, entry)
            return
        entry.ready = anyio.Event()
        if self._has_work is not None:
            self._has_work.set()

    async def _wait(self, queue: _Queue, entry: _Entry) -> None:
        if entry.ready is None:
            return
        try:
            with anyio.move_on_after(entry.request.expires_at - self._clock()):
                await entry.ready.wait()
            # A client that left after a target was reserved must not be served.
            await checkpoint_if_cancelled()
        except BaseException:
            # The target may have been reserved just before the cancellation.
            if entry.reserved:
                self._load_tracker.end(entry.reserved)
                self._dispatch(queue, self._clock())
            raise
        finally:
            self._withdraw(queue, entry)

    def _withdraw(self, queue: _Queue, entry: _Entry) -> None:
        """Remove a request that no longer waits, if it still does."""
        if queue.entries.pop(entry.request, None) is not None:
            queue.waiting.remove(entry.request)

    def _dispatch(self, queue: _Queue, now: float) -> None:
        """Start waiting requests for as long as targets have room."""
        if queue.entries and not self._session.is_fresh():
            self._deny_all(queue, Denial.UNCONFIRMED)

        def can_start(request: WaitingRequest) -> bool:
            entry = queue.entries[request]
            name = entry.start()
            if name is None:
                return False
            # Counted at once, so that no other request gets the same slot.
            self._load_tracker.begin(name)
            entry.reserved = name
            return True

        while queue.entries:
            request = queue.waiting.take_next(now, can_start)
            if request is None:
                return
            queue.entries.pop(request).finish()

    def _deny(self, queue: _Queue, request: WaitingRequest, denial: Denial) -> None:
        """End the wait of a request that was removed from the queue."""
        entry = queue.entries.pop(request)
        entry.denial = denial
        entry.finish()

    def _deny_all(self, queue: _Queue, denial: Denial) -> None:
        for request in queue.waiting.list_by_expiry():
            queue.waiting.remove(request)
            self._deny(queue, request, denial)

    def _build_denied(
        self, queue: _Queue, job: Job, terms: Terms, denial: Denial
    ) -> Denied:
        now = self._clock()
        retry_after_s = queue.waiting.find_retry_after_s(
            now,
            terms.least_retry_after_s,
            (job.deadline_at - now) * HONOURED_SHARE,
            self._random_fraction(),
        )
        return Denied(denial, retry_after_s)

    # -- records ----------------------------------------------------------------------

    def _note_admitted(self, entry: _Entry) -> None:
        urgency = {'urgency': str(entry.request.urgency)}
        self._metrics.admitted.inc(urgency)
        if entry.ready is None:
            return
        waited_s = self._clock() - entry.since
        self._metrics.admission_wait.observe(urgency, waited_s)
        self._metrics.expected_wait.observe(urgency, entry.request.expected_s)
        self._log_decision(entry, 'admitted')

    def _note_denied(self, entry: _Entry, denial: Denial) -> None:
        urgency = str(entry.request.urgency)
        self._metrics.denied.inc({'urgency': urgency, 'reason': denial.value})
        self._log_decision(entry, denial.value)

    def _log_decision(self, entry: _Entry, decision: str) -> None:
        request = entry.request
        self._log.note(
            decision,
            request=entry.job.fields.request,
            customer=request.customer,
            urgency=request.urgency,
            waited_s=round(self._clock() - entry.since, 4),
            expected_s=round(request.expected_s, 4),
            waiting=len(self._find_queue(entry.job).entries),
        )


def _build_request(job: Job, terms: Terms) -> WaitingRequest:
    resumed = job.reply.started
    return WaitingRequest(
        customer=job.customer.name if job.customer else '',
        urgency=job.urgency,
        work=job.work,
        deadline_at=job.first_arrived_at + job.route.objective_s,
        expires_at=terms.expires_at,
        resumed=resumed,
        constraint=terms.constraint,
        refuse_late=terms.refuse_late and not resumed,
    )


class DecisionLog:
    """Write one line per decision, up to a number of lines per second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = -1
        self._lines = 0
        self._counts: dict[str, int] = {}

    def note(self, decision: str, **fields: object) -> None:
        """Write a line, or count the decision if there were too many lines."""
        self.flush()
        if self._lines < MAX_LINES_PER_S:
            self._lines += 1
            log.emit(events.ADMISSION_DECIDED, decision=decision, **fields)
        else:
            self._counts[decision] = self._counts.get(decision, 0) + 1

    def has_counts(self) -> bool:
        """Whether decisions were counted that no line reports yet."""
        return bool(self._counts)

    def flush(self) -> None:
        """Report the decisions counted in an earlier second."""
        second = int(self._clock())
        if second == self._second:
            return
        self._second = second
        self._lines = 0
        counts, self._counts = self._counts, {}
        for decision, count in sorted(counts.items()):
            log.emit(events.ADMISSIONS_COUNTED, decision=decision, count=count)
