"""A simulated load on a few slots: customers of different sizes and urgencies."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from coursepitch.scheduling.waiting import WaitingQueue, WaitingRequest


@dataclass
class Source:
    """Requests of one customer and urgency.

    :param rate: requests per second.
    :param work: seconds for which a request occupies a slot.
    :param patience_s: seconds for which a request may wait.
    """

    customer: str
    urgency: int
    rate: float
    work: float
    patience_s: float = 1.0


@dataclass
class Received:
    """What the callers of a source got."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    waits: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Share of the requests that were served."""
        return self.served / max(1, self.asked)


class FirstInFirstOut:
    """Queue without urgencies and customers, to compare with."""

    def __init__(self) -> None:
        self._items: list[WaitingRequest] = []

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, request, now):
        self._items.append(request)

    def take_next(self, now, can_start):
        if self._items and can_start(self._items[0]):
            return self._items.pop(0)
        return None

    def expire(self, now):
        gone = [item for item in self._items if item.expires_at <= now]
        self._items = [item for item in self._items if item.expires_at > now]
        return gone

    def note_completion(self, work, now):
        pass


def play(
    sources: list[Source], slots: int, seconds: float, seed: int, queue=None
) -> dict[tuple[str, int], Received]:
    """Play a load and return what callers got, by customer and urgency."""
    rng = random.Random(seed)
    queue = WaitingQueue(10_000) if queue is None else queue
    received = {(item.customer, item.urgency): Received() for item in sources}
    arrivals, number = [], 0
    for source in sources:
        at = rng.expovariate(source.rate)
        while at < seconds:
            arrivals.append((at, number, source))
            number += 1
            at += rng.expovariate(source.rate)
    # Events are arrivals and ends of requests; ends carry no source.
    pending = list(arrivals)
    heapq.heapify(pending)
    offered: dict[int, float] = {}
    running = 0

    def has_free_slot(request: WaitingRequest) -> bool:
        return running < slots

    while pending:
        now, _, event = heapq.heappop(pending)
        if isinstance(event, Source):
            request = WaitingRequest(
                event.customer,
                event.urgency,
                event.work,
                now + event.patience_s,
                now + event.patience_s,
            )
            received[event.customer, event.urgency].asked += 1
            offered[id(request)] = now
            queue.offer(request, now)
        else:
            running -= 1
            queue.note_completion(event, now)
        for request in queue.expire(now):
            received[request.customer, request.urgency].refused += 1
        while True:
            started = queue.take_next(now, has_free_slot)
            if started is None:
                break
            running += 1
            number += 1
            heapq.heappush(pending, (now + started.work, number, started.work))
            got = received[started.customer, started.urgency]
            got.served += 1
            got.waits.append(now - offered[id(started)])
        if running < slots and len(queue):
            raise AssertionError('a request waits while a slot is free')
    return received
