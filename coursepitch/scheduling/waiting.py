"""The queue of requests that wait for a target of one service and model.

Requests whose responses have begun are served first, then requests by urgency.  Within
an urgency, customers share the work as :mod:`coursepitch.scheduling.fairness` says, and
the requests of one customer are served by earliest deadline.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch.scheduling.fairness import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterator

__all__ = ['Offer', 'WaitingQueue', 'WaitingRequest']

#: Time constant in seconds of the measured completion rate.
RATE_AVERAGING_S = 5.0

#: Completions from which on the rate counts as measured.  With fewer, requests wait as
#: long as they may: a wrong refusal costs more than a wait that is in vain.
MIN_COMPLETIONS = 4.0

#: Expected wait, as a multiple of the time left, from which on a request cannot be
#: served in time.  The rate varies with the lengths of responses, and a request must
#: not be refused unless it is known that it would be late.
LATE_FACTOR = 1.5

#: Customers whose work is added up to estimate a wait; with more, every n-th counts.
ESTIMATED_CUSTOMERS = 32

#: Requests that one search for a startable request examines, those of one customer, and
#: the different constraints that it tries.
MAX_EXAMINED = 64
MAX_EXAMINED_PER_CUSTOMER = 4
MAX_CONSTRAINTS = 8

#: Waiting requests that one call of ``expire`` refuses as too late.
MAX_LATE_PER_CALL = 8

#: Longest Retry-After in seconds, and its jitter as a share of the time.
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.5


@dataclass(eq=False, slots=True)
class WaitingRequest:
    """A request that waits, or is about to.

    :param urgency: 0 is the most urgent.
    :param work: predicted work, in the unit of the queue's completions.
    :param deadline_at: time until which its response is wanted.
    :param expires_at: time at which it stops waiting.
    :param resumed: whether its response has begun and was interrupted.
    :param constraint: equal for requests that can start at the same targets.
    :param refuse_late: whether it is refused as soon as it is known to be late.
    :param weight: share of its customer in relation to others.
    :param expected_s: wait that was expected when it began to wait.
    :param number: order of arrival, set by the queue.
    """

    customer: str
    urgency: int
    work: float
    deadline_at: float
    expires_at: float
    resumed: bool = False
    constraint: Hashable = None
    refuse_late: bool = True
    weight: float = 1.0
    expected_s: float = 0.0
    number: int = 0

    @property
    def rank(self) -> tuple[bool, int]:
        """Sort key of its level: resumed requests first, then by urgency."""
        return (not self.resumed, self.urgency)


@dataclass(frozen=True, slots=True)
class Offer:
    """Result of an offer.

    :param accepted: whether the request waits now.
    :param evicted: request that was removed in its favour, if any.
    """

    accepted: bool
    evicted: WaitingRequest | None = None


@dataclass(eq=False, slots=True)
class _Customer:
    """Waiting requests of a customer in one level, by deadline."""

    name: str
    start: float
    requests: list[tuple[float, int, WaitingRequest]] = field(default_factory=list)
    work: float = 0.0

    @property
    def sort_key(self) -> tuple[float, int, str]:
        return (self.start, self.requests[0][1], self.name)


class _Level:
    """Waiting requests of one rank."""

    def __init__(self) -> None:
        self.virtual_time = VirtualTime()
        self.customers: dict[str, _Customer] = {}
        self.work = 0.0
        self._order: list[tuple[float, int, str]] = []
        self._by_work: list[tuple[float, str]] = []

    def add(self, request: WaitingRequest) -> None:
        name = request.customer
        customer = self.customers.get(name)
        if customer is None:
            customer = _Customer(name, self.virtual_time.find_start(name))
            self.customers[name] = customer
        else:
            self._take_out(customer)
        insort(customer.requests, (request.deadline_at, request.number, request))
        customer.work += request.work
        self.work += request.work
        self._put_back(customer)

    def remove(self, request: WaitingRequest) -> None:
        customer = self.customers[request.customer]
        self._take_out(customer)
        self._drop(customer, request)
        self._put_back(customer)

    def start(self, request: WaitingRequest) -> None:
        """Remove a request that starts, and charge its customer."""
        customer = self.customers[request.customer]
        self._take_out(customer)
        self._drop(customer, request)
        customer.start = self.virtual_time.charge(
            customer.name, customer.start, request.work / request.weight
        )
        self._put_back(customer)

    def _take_out(self, customer: _Customer) -> None:
        """Remove a customer from the sorted lists before its keys change."""
        del self._order[bisect_left(self._order, customer.sort_key)]
        place = bisect_left(self._by_work, (customer.work, customer.name))
        del self._by_work[place]

    def _drop(self, customer: _Customer, request: WaitingRequest) -> None:
        place = bisect_left(customer.requests, (request.deadline_at, request.number))
        del customer.requests[place]
        customer.work -= request.work
        self.work -= request.work

    def _put_back(self, customer: _Customer) -> None:
        if customer.requests:
            insort(self._order, customer.sort_key)
            insort(self._by_work, (customer.work, customer.name))
        else:
            del self.customers[customer.name]
        if not self.customers:
            # Removes the rounding errors of the additions.
            self.work = 0.0

    def list_first(self) -> Iterator[WaitingRequest]:
        """Return the first requests of each customer, in the order of service."""
        for _, _, name in self._order:
            requests = self.customers[name].requests
            for _, _, request in requests[:MAX_EXAMINED_PER_CUSTOMER]:
                yield request

    def find_largest(self) -> _Customer:
        """Return the customer with the most work waiting."""
        return self.customers[self._by_work[-1][1]]

    def estimate_work_ahead(self, request: WaitingRequest) -> float:
        """Estimate the work of this level that is served before a waiting request."""
        customer = self.customers[request.customer]
        place = bisect_left(customer.requests, (request.deadline_at, request.number))
        own = place * customer.work / len(customer.requests)
        start = customer.start + own / request.weight
        step = 1 + len(self._order) // ESTIMATED_CUSTOMERS
        others = 0.0
        for tag, _, name in self._order[::step]:
            if tag >= start:
                break
            if name != customer.name:
                others += min(self.customers[name].work, start - tag)
        return own + min(others * step, self.work - customer.work)


class _CompletionRate:
    """Work completed per second in the time in which requests waited.

    The rate at other times says how much was asked for, not how much is possible.
    """

    def __init__(self) -> None:
        self._work = 0.0
        self._count = 0.0
        self._waited_s = 0.0
        self._updated_at = -math.inf

    def advance(self, now: float, *, waiting: bool) -> None:
        """Let time pass.

        :param waiting: whether requests have waited since the last call.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        decay = math.exp(-elapsed_s / RATE_AVERAGING_S)
        self._work *= decay
        self._count *= decay
        self._waited_s *= decay
        if waiting:
            self._waited_s += elapsed_s
        self._updated_at = now

    def note(self, work: float) -> None:
        self._work += work
        self._count += 1

    @property
    def work_per_s(self) -> float:
        """Work per second; 0 if too little was measured."""
        if self._count < MIN_COMPLETIONS or self._waited_s <= 0:
            return 0.0
        return self._work / self._waited_s

    @property
    def mean_work(self) -> float:
        return self._work / self._count if self._count else 0.0


class WaitingQueue:
    """Requests that wait for a target of one service and model.

    :param max_size: largest number of waiting requests.
    """

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._levels: dict[tuple[bool, int], _Level] = {}
        self._expiry: list[tuple[float, int, WaitingRequest]] = []
        self._rate = _CompletionRate()
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._expiry)

    def __contains__(self, request: WaitingRequest) -> bool:
        place = bisect_left(self._expiry, (request.expires_at, request.number))
        return place < len(self._expiry) and self._expiry[place][2] is request

    # -- arrival and service ----------------------------------------------------------

    def offer(self, request: WaitingRequest, now: float) -> Offer:
        """Let a request wait; if the queue is full, remove the least urgent one.

        Among equally urgent requests, it is the last one of the customer with the most
        work waiting, which may be the new request itself.
        """
        self._advance(now)
        self._arrivals += 1
        request.number = self._arrivals
        self._add(request)
        if len(self) <= self._max_size:
            return Offer(accepted=True)
        victim = self.find_least_wanted()
        self.remove(victim)
        if victim is request:
            return Offer(accepted=False)
        return Offer(accepted=True, evicted=victim)

    def take_next(
        self, now: float, can_start: Callable[[WaitingRequest], bool]
    ) -> WaitingRequest | None:
        """Remove and return the next request that can start, or ``None``.

        A request does not overtake one with the same constraint that cannot start.

        :param can_start: whether a target has room for a request.
        """
        self._advance(now)
        failed: set[Hashable] = set()
        examined = 0
        for level in self._list_levels():
            for request in level.list_first():
                if request.constraint not in failed:
                    if can_start(request):
                        level.start(request)
                        self._forget_expiry(request)
                        return request
                    failed.add(request.constraint)
                examined += 1
                if examined >= MAX_EXAMINED or len(failed) >= MAX_CONSTRAINTS:
                    return None
        return None

    def remove(self, request: WaitingRequest) -> None:
        """Remove a waiting request that does not start."""
        self._levels[request.rank].remove(request)
        self._forget_expiry(request)

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that cannot be served in time.

        These are the requests whose wait has ended, and those that would be served last
        and whose expected wait is too long.
        """
        self._advance(now)
        removed = []
        while self._expiry and self._expiry[0][0] <= now:
            removed.append(self._expiry[0][2])
            self.remove(self._expiry[0][2])
        for _ in range(MAX_LATE_PER_CALL):
            if not self._expiry or not self._rate.work_per_s:
                break
            last = self.find_least_wanted()
            if not self.is_too_late(last, now):
                break
            removed.append(last)
            self.remove(last)
        return removed

    def find_least_wanted(self) -> WaitingRequest:
        """Return the waiting request to give up first."""
        return self._list_levels()[-1].find_largest().requests[-1][2]

    def find_customer_work(self, request: WaitingRequest) -> float:
        """Return the work that waits for a customer with the rank of its request."""
        return self._levels[request.rank].customers[request.customer].work

    def list_by_expiry(self) -> list[WaitingRequest]:
        """Return the waiting requests, those whose wait ends first in front."""
        return [request for _, _, request in self._expiry]

    # -- estimates --------------------------------------------------------------------

    def note_completion(self, work: float, now: float) -> None:
        """Count the work of a completed request towards the completion rate."""
        self._advance(now)
        if self._expiry:
            self._rate.note(work)

    def estimate_wait_s(self, request: WaitingRequest, now: float) -> float:
        """Return the expected wait of a waiting request; 0 if none can be told."""
        self._advance(now)
        rate = self._rate.work_per_s
        if not rate:
            return 0.0
        return (self._estimate_work_ahead(request) + self._rate.mean_work) / rate

    def _estimate_work_ahead(self, request: WaitingRequest) -> float:
        """Estimate the work that is served before a waiting request."""
        ahead = sum(
            level.work for rank, level in self._levels.items() if rank < request.rank
        )
        return ahead + self._levels[request.rank].estimate_work_ahead(request)

    def is_too_late(self, request: WaitingRequest, now: float) -> bool:
        """Whether a waiting request is to be refused as it cannot start in time.

        Only the work ahead of it counts, and not the time until the next completion:
        that may be at any moment, so the first request in line is never too late.
        """
        self._advance(now)
        rate = self._rate.work_per_s
        if not request.refuse_late or not rate:
            return False
        left_s = max(0.0, request.expires_at - now)
        return self._estimate_work_ahead(request) / rate > LATE_FACTOR * left_s

    def find_retry_after_s(
        self, now: float, least_s: float, honoured_s: float, random_fraction: float
    ) -> float:
        """Return the Retry-After in seconds: when the present queue will be empty.

        It is empty once its work is done, or the last waiting request has expired.

        :param least_s: shortest time before the jitter is added.
        :param honoured_s: longest time that the client honours, which the jitter does
            not exceed.
        :param random_fraction: random number from 0 to 1, for the jitter.
        """
        self._advance(now)
        rate = self._rate.work_per_s
        work = sum(level.work for level in self._levels.values())
        wait_s = 0.0
        if rate and self._expiry:
            wait_s = min(work / rate, self._expiry[-1][0] - now, MAX_RETRY_AFTER_S)
        wait_s = max(least_s, wait_s)
        jitter_s = min(wait_s * RETRY_AFTER_JITTER, max(0.0, honoured_s - wait_s))
        return wait_s + jitter_s * random_fraction

    # -- internals --------------------------------------------------------------------

    def _advance(self, now: float) -> None:
        self._rate.advance(now, waiting=bool(self._expiry))

    def _add(self, request: WaitingRequest) -> None:
        self._levels.setdefault(request.rank, _Level()).add(request)
        insort(self._expiry, (request.expires_at, request.number, request))

    def _forget_expiry(self, request: WaitingRequest) -> None:
        del self._expiry[
            bisect_left(self._expiry, (request.expires_at, request.number))
        ]

    def _list_levels(self) -> list[_Level]:
        """Return the levels that have requests, the most urgent first."""
        return [level for _, level in sorted(self._levels.items()) if level.customers]
