"""Admission control: slots on replicas and the queues of waiting requests."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from coursepitch.scheduling.waiting import WaitingQueue, WaitingRequest
from coursepitch.serving import outcomes
from coursepitch.serving.outcomes import Problem, RefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.serving.routing import Choice

__all__ = ['Admission', 'QueuedRequest', 'Slot', 'build_no_replica']

#: Shortest Retry-After in seconds, without jitter.
LEAST_RETRY_AFTER_S = 1.0


@dataclass(eq=False, slots=True)
class QueuedRequest(WaitingRequest):
    """A request for a slot.

    :param request_id: identifier of the request.
    :param group: name of the queue: the groups that can serve the request.
    """

    request_id: str = ''
    group: str = ''


@dataclass(eq=False)
class Slot:
    """A unit of a replica's concurrency limit, held by one request.

    :param work: predicted work of the request.
    """

    customer: str
    group: str
    choice: Choice
    work: float = 1.0


@dataclass(eq=False)
class _QueueEntry:
    """A queued request and the event that ends its wait."""

    request: QueuedRequest
    ready: anyio.Event = field(default_factory=anyio.Event)
    choice: Choice | None = None
    problem: Problem | None = None


class Admission:
    """Tracks the slots in use on this node and its queues of requests.

    :param queue_limit: largest number of queued requests of all queues.
    :param queue_wait_s: longest wait in the queue in seconds.
    :param random_fraction: returns a random number from 0 to 1, for the jitter of
        Retry-After.
    """

    def __init__(
        self,
        queue_limit: int,
        queue_wait_s: float,
        clock: Clock,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._queue_limit = queue_limit
        self._queue_wait_s = queue_wait_s
        self._clock = clock
        self._random_fraction = random_fraction
        self._queues: dict[str, WaitingQueue] = {}
        self._entries: dict[WaitingRequest, _QueueEntry] = {}
        self.in_flight_by_replica: dict[str, int] = {}
        self.in_flight_by_customer: dict[str, int] = {}

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._entries)

    async def acquire(
        self,
        request: QueuedRequest,
        choose: Callable[[], Choice | None],
        capacity: Callable[[], int],
    ) -> Slot:
        """Return a slot, waiting in the queue if all are in use.

        A request also waits while others wait for the same group.

        :param choose: returns a replica below its limit, or ``None``.
        :param capacity: returns the number of replicas that can serve the group, or may
            serve it again.
        :raises RefusedError: no replica serves the group, the queue is full, the wait
            would be or was too long, or waiting was proven to be in vain.
        """
        queue = self._find_queue(request.group)
        now = self._clock()
        others_wait = len(queue) > 0
        queue.offer(request, now)
        choice = None if others_wait else choose()
        if choice is not None:
            # Taken from the queue, so that its customer is charged for it.
            queue.take_next(now, lambda waiting: True)
            return self._allocate(request, choice)
        if not capacity():
            queue.remove(request)
            raise RefusedError(build_no_replica(request.request_id))
        return await self._wait(queue, request)

    async def _wait(self, queue: WaitingQueue, request: QueuedRequest) -> Slot:
        entry = self._entries[request] = _QueueEntry(request)
        if queue.is_too_late(request, self._clock()):
            self._remove(entry)
        elif len(self._entries) > self._queue_limit:
            self._evict()
        try:
            if request in self._entries:
                with anyio.move_on_after(request.expires_at - self._clock()):
                    await entry.ready.wait()
        except BaseException:
            # The slot may have been assigned just before the cancellation.
            if entry.choice is not None:
                self.release(self._build_slot(request, entry.choice))
            raise
        finally:
            if request in self._entries:
                self._remove(entry)
        if entry.choice is None:
            raise RefusedError(entry.problem or self._build_overloaded(request))
        return self._build_slot(request, entry.choice)

    def _find_queue(self, group: str) -> WaitingQueue:
        queue = self._queues.get(group)
        if queue is None:
            # The number of waiting requests is limited over all queues.
            queue = self._queues[group] = WaitingQueue(self._queue_limit + 1)
        return queue

    def _remove(self, entry: _QueueEntry) -> None:
        self._queues[entry.request.group].remove(entry.request)
        del self._entries[entry.request]

    def _evict(self) -> None:
        """Remove the least urgent request of all queues, which may be the newest."""
        queues = [queue for queue in self._queues.values() if len(queue)]
        queue = max(queues, key=_find_eviction_key)
        entry = self._entries[queue.find_least_wanted()]
        self._remove(entry)
        entry.ready.set()

    def _build_overloaded(self, request: QueuedRequest) -> Problem:
        retry_after_s = self._find_queue(request.group).find_retry_after_s(
            self._clock(), LEAST_RETRY_AFTER_S, math.inf, self._random_fraction()
        )
        return Problem(outcomes.OVERLOADED, request.request_id, '', retry_after_s)

    def _build_slot(self, request: QueuedRequest, choice: Choice) -> Slot:
        return Slot(request.customer, request.group, choice, request.work)

    def _allocate(self, request: QueuedRequest, choice: Choice) -> Slot:
        slot = self._build_slot(request, choice)
        name = choice.replica.name
        self.in_flight_by_replica[name] = self.in_flight_by_replica.get(name, 0) + 1
        self.in_flight_by_customer[slot.customer] = (
            self.in_flight_by_customer.get(slot.customer, 0) + 1
        )
        return slot

    def release(self, slot: Slot, *, completed: bool = False) -> None:
        """Release a slot; :meth:`assign_slots` then assigns it to a queued request.

        :param completed: whether the request was answered; it then counts
            towards the completion rate.
        """
        name = slot.choice.replica.name
        self.in_flight_by_replica[name] -= 1
        if not self.in_flight_by_replica[name]:
            del self.in_flight_by_replica[name]
        self.in_flight_by_customer[slot.customer] -= 1
        if not self.in_flight_by_customer[slot.customer]:
            del self.in_flight_by_customer[slot.customer]
        if completed:
            self._find_queue(slot.group).note_completion(slot.work, self._clock())

    def move(self, slot: Slot, choice: Choice) -> None:
        """Move a slot to another replica for a retry."""
        old, new = slot.choice.replica.name, choice.replica.name
        self.in_flight_by_replica[old] -= 1
        if not self.in_flight_by_replica[old]:
            del self.in_flight_by_replica[old]
        self.in_flight_by_replica[new] = self.in_flight_by_replica.get(new, 0) + 1
        slot.choice = choice

    def assign_slots(
        self, group: str, choose: Callable[[QueuedRequest], Choice | None]
    ) -> None:
        """Assign free slots to the queued requests of a group.

        Requests that are known to be served too late are refused.

        :param choose: returns a replica below its limit, or ``None``.
        """
        queue = self._find_queue(group)
        now = self._clock()

        def can_start(request: WaitingRequest) -> bool:
            entry = self._entries[request]
            entry.choice = choose(entry.request)
            return entry.choice is not None

        while (request := queue.take_next(now, can_start)) is not None:
            entry = self._entries.pop(request)
            if entry.choice is not None:
                self._allocate(entry.request, entry.choice)
            entry.ready.set()
        for request in queue.expire(now):
            self._entries.pop(request).ready.set()

    def refuse_queued(
        self, build_problem: Callable[[str], Problem], group: str | None = None
    ) -> None:
        """Refuse queued requests.

        :param build_problem: returns the refusal of a request by its identifier.
        :param group: group whose requests are refused; ``None`` for all.
        """
        for entry in tuple(self._entries.values()):
            if group not in (None, entry.request.group):
                continue
            self._remove(entry)
            entry.problem = build_problem(entry.request.request_id)
            entry.ready.set()

    def list_queued_groups(self) -> set[str]:
        """Return the groups that have queued requests."""
        return {entry.request.group for entry in self._entries.values()}


def build_no_replica(request_id: str) -> Problem:
    """Return the refusal of a request that no replica is expected to serve."""
    return Problem(outcomes.NO_REPLICA, request_id, '', 2.0)


def _find_eviction_key(queue: WaitingQueue) -> tuple[tuple[bool, int], float]:
    """Return the sort key of a queue's least wanted request, the largest goes first."""
    request = queue.find_least_wanted()
    return (request.rank, queue.find_customer_work(request))
