"""Processor time per decision on waiting requests."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench.pure import time_call
from coursepitch.scheduling.waiting import WaitingQueue, WaitingRequest

if TYPE_CHECKING:
    from bench.figures import Book

REQUESTS = 10_000
CUSTOMERS = 500


def build_request(rng: random.Random) -> WaitingRequest:
    """Return a request of a random customer and urgency."""
    deadline_at = 1e6 + rng.random()
    customer = f'c{int(CUSTOMERS * rng.random() ** 2)}'
    return WaitingRequest(
        customer, rng.randrange(3), 0.1 + rng.random(), deadline_at, deadline_at
    )


def build_queue(rng: random.Random, max_size: int) -> WaitingQueue:
    """Return a queue of waiting requests that has a measured completion rate."""
    queue = WaitingQueue(max_size)
    for _ in range(REQUESTS):
        queue.offer(build_request(rng), 0.0)
    for number in range(100):
        queue.note_completion(0.5, 0.01 * number)
    return queue


def measure(book: Book) -> None:
    """Measure each kind of decision with a queue of constant length."""
    rng = random.Random(1)
    name = f'{REQUESTS} waiting requests of {CUSTOMERS} customers'
    queue = build_queue(rng, 2 * REQUESTS)

    def serve() -> None:
        queue.offer(build_request(rng), 1.0)
        queue.note_completion(0.5, 1.0)
        queue.take_next(1.0, lambda request: True)

    def cancel() -> None:
        request = build_request(rng)
        queue.offer(request, 1.0)
        queue.is_too_late(request, 1.0)
        queue.remove(request)

    full = build_queue(rng, REQUESTS)
    cases = (
        ('arrival, completion and start', serve),
        ('arrival, estimate and cancellation', cancel),
        (
            'search where nothing can start',
            lambda: queue.take_next(1.0, lambda request: False),
        ),
        ('arrival at a full queue', lambda: full.offer(build_request(rng), 1.0)),
        ('check for requests that are too late', lambda: queue.expire(1.0)),
    )
    for word, work in cases:
        book.note('waiting', f'{word}, {name}', time_call(work), 'us')
