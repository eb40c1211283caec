"""Cost of control by number of nodes, and times of reaction to failures."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

from bench.figures import fit_slope
from bench.processes import read_cpu_s, read_rss_mb
from bench.system import GROUP, count_serving, open_system
from standins.harness import OPERATOR_KEY

if TYPE_CHECKING:
    from bench.figures import Book
    from standins.harness import Harness

QUIET_S = 12.0
OUTAGE_S = 60.0


def measure(book: Book) -> None:
    """Measure idle cost and reaction times."""
    measure_idle(book)
    measure_reactions(book)


def measure_outage(book: Book) -> None:
    """Live through a minute without the service, with a member killed in it."""
    bound = {'platform': {'confirm_bound_s': str(2 * OUTAGE_S)}}
    with open_system(3, 3, instances=2, spares=1, settings=bound) as harness:
        names = [f'n{n}' for n in range(3)]
        body = {'model': GROUP, 'messages': [{'role': 'user', 'content': 'x'}]}
        replica = harness.replicas('n0', GROUP)[0]
        harness.set_fault('kv', mode='down')
        started = time.perf_counter()
        statuses = []
        killed = False
        while time.perf_counter() - started < OUTAGE_S:
            for name in names:
                statuses.append(harness.call(name, body).status_code)
            if not killed and time.perf_counter() - started > OUTAGE_S / 2:
                harness.processes[replica['instances'][1]].kill()
                killed = True
        harness.set_fault('kv', mode='none')
        back = harness.wait_for(lambda: count_serving(harness, 'n0') == 3, 'repaired')
        good = statuses.count(200) / len(statuses)
        book.note(
            'outage', 'requests in a minute without the service', len(statuses), ''
        )
        book.note('outage', 'share answered', good, 'share')
        book.note('outage', 'whole replica again after the outage', back, 's')


def measure_checks(book: Book) -> None:
    """Measure the processor time of one node by the instances it checks."""
    points = []
    for replicas in (1, 4, 8):
        with open_system(1, replicas, instances=2) as harness:
            pid = harness.processes['n0'].process.pid
            time.sleep(3)
            spent, started = read_cpu_s(pid), time.perf_counter()
            time.sleep(QUIET_S)
            spent, took = read_cpu_s(pid) - spent, time.perf_counter() - started
            points.append((2.0 * replicas, 100 * spent / took))
    slope, intercept = fit_slope(points)
    # Two checks a second of each instance, by the default settings.
    book.note('checks', 'processor per check of an instance', slope / 2 * 1e4, 'us')
    book.note('checks', 'processor of a node without checks', intercept, '% of a core')
    book.draw('% of a core by instances', points)


def read_bytes(harness: Harness, node: str) -> dict[str, float]:
    """Return the bytes on a node's links by direction."""
    url = f'{harness.admin(node)}/metrics'
    headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
    text = harness.client.get(url, headers=headers).text
    found = {}
    for line in text.splitlines():
        if line.startswith('coursepitch_peer_bytes_total{'):
            direction = line.split('"')[1]
            found[direction] = float(line.rsplit(' ', 1)[1])
    return found


def measure_idle(book: Book) -> None:
    """Measure bytes, processor and memory of idle nodes, and service calls."""
    sent, cpu, calls = [], [], []
    for count in (3, 6, 12, 24):
        with open_system(count, 3, instances=2) as harness:
            names = [f'n{n}' for n in range(count)]
            time.sleep(8)
            pids = [harness.processes[name].process.pid for name in names]
            before = [read_bytes(harness, name) for name in names]
            spent = [read_cpu_s(pid) for pid in pids]
            kv = sum(harness.stats('kv')['calls'].values())
            started = time.perf_counter()
            time.sleep(QUIET_S)
            took = time.perf_counter() - started
            kv = sum(harness.stats('kv')['calls'].values()) - kv
            after = [read_bytes(harness, name) for name in names]
            spent = [
                read_cpu_s(pid) - old for pid, old in zip(pids, spent, strict=True)
            ]
            out = sum(a['out'] - b['out'] for a, b in zip(after, before, strict=True))
            rss = sum(read_rss_mb(pid) for pid in pids) / count
            sent.append((float(count), out / took / count / 1000))
            cpu.append((float(count), 100 * sum(spent) / took / count))
            calls.append((float(count), kv / took))
            book.note(
                'control', f'bytes sent per node at {count} nodes', sent[-1][1], 'kB/s'
            )
            book.note(
                'control',
                f'processor per node at {count} nodes',
                cpu[-1][1],
                '% of a core',
            )
            book.note(
                'control',
                f'most of one node at {count} nodes',
                100 * max(spent) / took,
                '% of a core',
            )
            book.note('control', f'memory per node at {count} nodes', rss, 'MB')
            book.note(
                'control', f'service calls of all at {count} nodes', kv / took, '1/s'
            )
    for name, points, unit in (
        ('bytes sent per node', sent, 'kB/s'),
        ('processor per node', cpu, '% of a core'),
        ('service calls of all', calls, '1/s'),
    ):
        slope, intercept = fit_slope(points)
        book.note('control', f'{name}: slope per node', slope, unit)
        book.note('control', f'{name}: intercept', intercept, unit)
        book.draw(f'{name}, {unit}', points)


def measure_reactions(book: Book) -> None:
    """Measure seconds from a failure to what has to follow, on nine nodes."""
    with open_system(9, 3, instances=2, spares=1) as harness:
        names = [f'n{n}' for n in range(9)]
        for turn in range(3):
            measure_change(book, harness, names, turn)
        for turn in range(3):
            measure_member(book, harness, names, turn)
        measure_leaving(book, harness, names)
        measure_takeover(book, harness)


def measure_change(book: Book, harness: Harness, names: list[str], turn: int) -> None:
    """Measure a change until it is in force everywhere, and until accepted."""
    started = time.perf_counter()
    data = harness.apply('n0', 'customer', f'probe-{turn}', burst=5 + turn)
    version = data['resource_version']

    def in_force() -> bool:
        found = [harness.operate(n, 'GET', 'status').json() for n in names]
        return all(item['revision'] >= version for item in found)

    harness.wait_for(in_force, 'in force everywhere')
    book.note(
        'reaction',
        f'change in force on 9 nodes ({turn})',
        time.perf_counter() - started,
        's',
    )
    harness.wait_converged('n8', 'customer', f'probe-{turn}')
    book.note(
        'reaction',
        f'change accepted, seen by another ({turn})',
        time.perf_counter() - started,
        's',
    )


def wait_out(harness: Harness, names: list[str], replica: str) -> None:
    """Wait until no node routes to a replica."""

    def is_out() -> bool:
        return all(
            not item['serving']
            for name in names
            for item in harness.replicas(name, GROUP)
            if item['name'] == replica
        )

    harness.wait_for(is_out, 'out everywhere')


def measure_member(book: Book, harness: Harness, names: list[str], turn: int) -> None:
    """Measure the loss of a member until no node routes to its replica."""
    replica = next(i for i in harness.replicas('n0', GROUP) if i['serving'])
    victim = replica['instances'][1]
    started = time.perf_counter()
    harness.processes[victim].kill()

    wait_out(harness, names, replica['name'])
    book.note(
        'reaction',
        f'killed member: replica out on 9 nodes ({turn})',
        time.perf_counter() - started,
        's',
    )
    harness.wait_for(lambda: count_serving(harness, 'n0') == 3, 'whole again')
    book.note(
        'reaction',
        f'killed member: whole replica again ({turn})',
        time.perf_counter() - started,
        's',
    )
    harness.restart_engine(victim)


def measure_leaving(book: Book, harness: Harness, names: list[str]) -> None:
    """Measure a leaving instance until no node gives its replica work."""
    replica = next(i for i in harness.replicas('n0', GROUP) if i['serving'])
    started = time.perf_counter()
    harness.list_state(replica['instances'][1], 'leaving')

    wait_out(harness, names, replica['name'])
    took = time.perf_counter() - started
    book.note(
        'reaction',
        'leaving instance: no new work on 9 nodes (list lags 0.5 s)',
        took,
        's',
    )


def measure_takeover(book: Book, harness: Harness) -> None:
    """Measure a paused holder until another node holds the cluster duty."""

    def read_holder() -> str:
        return str(
            harness.operate('n8', 'GET', 'status').json()['duties'].get('cluster', '')
        )

    holder = read_holder()
    if holder == 'n8':
        return
    started = time.perf_counter()
    harness.processes[holder].send(signal.SIGSTOP)
    harness.wait_for(lambda: read_holder() not in ('', holder), 'taken over')
    book.note(
        'reaction',
        'paused holder: duty taken over (lease 3 s)',
        time.perf_counter() - started,
        's',
    )
    harness.processes[holder].send(signal.SIGCONT)
