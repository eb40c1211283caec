"""Processor time of a node on the platform, for a chunk and for a store call.

A node runs as a process with the stand-ins; its processor time is read before
and after streams of many events, and the slope over the events is the cost of a
passed-on chunk.  Store calls are made in this process by the one client.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from coursepitch.metrics import Metrics
from coursepitch.platform.kv import Condition, KeyValue
from tests.whole.platform_base import PlatformCase

if TYPE_CHECKING:
    from bench.figures import Book

#: Requests of each length, and calls.
REQUESTS = 30
CALLS = 500

TICK_S = 0.01


class Few(PlatformCase):
    """A node before streams of 20 events."""

    nodes = ('n1',)
    events = 20


class Many(PlatformCase):
    """A node before streams of 120 events."""

    nodes = ('n1',)
    events = 120


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def measure_requests(case: type[PlatformCase]) -> float:
    """Return the processor time of one request in seconds."""
    case.setUpClass()
    try:
        pid = case.running['n1'].process.pid
        before, began = read_cpu_s(pid), time.monotonic()
        for number in range(REQUESTS):
            case.call('n1', 'POST', '/stream/x', f'b{number}').raise_for_status()
        spent, lasted = read_cpu_s(pid) - before, time.monotonic() - began
        idle_before = read_cpu_s(pid)
        time.sleep(3)
        idle_rate = (read_cpu_s(pid) - idle_before) / 3
        return (spent - idle_rate * lasted) / REQUESTS
    finally:
        case.doClassCleanups()


async def measure_calls(address: str) -> float:
    """Return the processor time of one confirmation in seconds."""
    kv = KeyValue(address, 2.0, 1e9, Metrics())
    await kv.transact([Condition('op/config', 1)])
    before = time.process_time()
    for _ in range(CALLS):
        await kv.transact([Condition('op/config', 1)])
    spent = time.process_time() - before
    await kv.close()
    return spent / CALLS


def measure(book: Book) -> None:
    """Measure a node and the client of the store."""
    few = measure_requests(Few)
    many = measure_requests(Many)
    chunk = (many - few) / (Many.events - Few.events)
    Few.setUpClass()
    try:
        call = anyio.run(measure_calls, f'127.0.0.1:{Few.store}')
    finally:
        Few.doClassCleanups()
    book.note('gateway', 'processor for a passed-on chunk', chunk * 1000, 'ms')
    rest = few - chunk * Few.events
    book.note('gateway', 'processor for a request beside chunks', rest * 1000, 'ms')
    book.note('gateway', 'processor for a store call', call * 1000, 'ms')
