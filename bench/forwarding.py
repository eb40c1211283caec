"""Processor time of a node per forwarded request and event, per start, and when idle.

A node runs as a process between clients and an engine stand-in.  Streams of two
lengths are read; the slope is the cost of an event, and the rest that of a request.
Figures of the previous run, if there are any, are printed as ``before``.
"""

from __future__ import annotations

import json
import socket
import statistics
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import httpx

from bench.figures import FOLDER
from coursepitch.http import ConnectionPool
from tests.whole.platform_base import KEY, PlatformCase

if TYPE_CHECKING:
    from bench.figures import Book

PART = 'forwarding'

#: Events of a stream, as in the days of the first deployment, and four times as many.
EVENTS = 28
MANY_EVENTS = 112

#: Requests of a measurement, and connections that send them one after the other.  Ten
#: connections with streams of 0.6 s give about 15 requests per second.
REQUESTS = 200
CLIENTS = 10

#: Connections to an instance that are opened and closed.
CONNECTIONS = 1_500

#: Seconds for which an idle node is observed, and number of starts.
IDLE_S = 5.0
STARTS = 5


class Short(PlatformCase):
    """A node before streams of 28 events of 85 bytes."""

    nodes = ('n1',)
    events = EVENTS
    event_bytes = 85


class Long(Short):
    """A node before streams of 112 such events."""

    events = MANY_EVENTS


def read_cpu_s(pid: int) -> float:
    """Return the processor time of all threads of a process, to the nanosecond."""
    threads = Path(f'/proc/{pid}/task').iterdir()
    return (
        sum(int((item / 'schedstat').read_text().split()[0]) for item in threads) / 1e9
    )


def send_requests(case: type[PlatformCase], count: int, fresh: bool) -> None:
    """Send requests over several connections at a time.

    :param fresh: whether each request gets a connection of its own.
    """
    node = case.running['n1']
    failures: list[int] = []

    def send(place: int) -> None:
        with httpx.Client(timeout=15, trust_env=False) as client:
            for number in range(count // CLIENTS):
                headers = {
                    'Host': 'a.example',
                    'X-Request-Id': f'b{place}-{number}-{time.monotonic_ns()}',
                    'X-Deadline-Ms': '8000',
                    'X-Model': 'm',
                    'X-Token-Usage': '100,20',
                    'Authorization': f'Bearer {KEY}',
                }
                if fresh:
                    headers['Connection'] = 'close'
                reply = client.post(f'{node.url}/stream/x', headers=headers)
                if reply.status_code != 200:
                    failures.append(reply.status_code)

    threads = [threading.Thread(target=send, args=(k,)) for k in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise RuntimeError(f'requests failed with {failures}')


def measure_requests(case: type[PlatformCase]) -> dict[str, float]:
    """Return the processor seconds of a request, and of an idle second."""
    case.setUpClass()
    try:
        pid = case.running['n1'].process.pid
        send_requests(case, CLIENTS * 2, fresh=False)
        before = read_cpu_s(pid)
        time.sleep(IDLE_S)
        found = {'idle': (read_cpu_s(pid) - before) / IDLE_S}
        for name, fresh in (('kept', False), ('new', True)):
            before, began = read_cpu_s(pid), time.monotonic()
            send_requests(case, REQUESTS, fresh)
            spent, lasted = read_cpu_s(pid) - before, time.monotonic() - began
            found[name] = (spent - found['idle'] * lasted) / REQUESTS
        return found
    finally:
        case.doClassCleanups()


async def open_connections(address: str) -> float:
    """Return the processor seconds of this thread for a connection to an instance."""
    pool = ConnectionPool()
    spent = 0.0
    for _ in range(CONNECTIONS):
        before = time.thread_time()
        pool.discard(await pool.acquire(address, fresh=True))
        spent += time.thread_time() - before
    return spent / CONNECTIONS


def measure_connections() -> float:
    """Return the same for connections to a listener in another thread."""
    with socket.create_server(('127.0.0.1', 0), backlog=512) as listener:

        def accept() -> None:
            for _ in range(CONNECTIONS):
                listener.accept()[0].close()

        thread = threading.Thread(target=accept)
        thread.start()
        found = anyio.run(open_connections, f'127.0.0.1:{listener.getsockname()[1]}')
        thread.join()
        return found


def measure_start() -> float:
    """Return the median processor seconds of the imports of a node."""
    code = (
        'import coursepitch.gateway_application, time; '
        'print(time.clock_gettime(time.CLOCK_PROCESS_CPUTIME_ID))'
    )
    command = [sys.executable, '-c', code]
    return statistics.median(
        float(subprocess.run(command, check=True, capture_output=True).stdout)
        for _ in range(STARTS)
    )


def read_previous() -> dict[str, float]:
    """Return the figures of the previous run by name."""
    path = FOLDER / f'{PART}.json'
    if not path.exists():
        return {}
    return {item['name']: item['value'] for item in json.loads(path.read_text())}


def measure(book: Book) -> None:
    """Measure forwarding, idling and starting."""
    previous = read_previous()
    short, long = measure_requests(Short), measure_requests(Long)
    event_s = (long['kept'] - short['kept']) / (MANY_EVENTS - EVENTS)
    figures = (
        ('processor for an event', event_s * 1e6, 'us'),
        ('processor for a request of 28 events', short['kept'] * 1000, 'ms'),
        ('processor for it on a new connection', short['new'] * 1000, 'ms'),
        (
            'processor for a connection to an instance',
            measure_connections() * 1e6,
            'us',
        ),
        ('processor of an idle node per second', short['idle'] * 1000, 'ms'),
        ('processor for the imports of a start', measure_start() * 1000, 'ms'),
    )
    for name, value, unit in figures:
        if name in previous:
            print(f'{"before":<12} {name:<58} {previous[name]:>12.4g} {unit}')
        book.note(PART, name, value, unit)
