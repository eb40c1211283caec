"""Cost and behaviour of serving: added time, slopes, overload, prefixes."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

import anyio

from bench.figures import fit_slope, percentile
from bench.load import Sample, build_body, build_client, run_closed, run_open, send_one
from bench.processes import read_cpu_s, read_rss_mb
from bench.system import GROUP, open_system
from standins.harness import CALLER_KEY

if TYPE_CHECKING:
    from bench.figures import Book
    from standins.harness import Harness

PATH = '/v1/chat/completions'
HEADERS = {'Authorization': f'Bearer {CALLER_KEY}'}


def measure(book: Book) -> None:
    """Measure all parts of serving."""
    measure_added_time(book)
    measure_slopes(book)
    measure_memory(book)
    measure_prefixes(book)


def find_direct(harness: Harness) -> list[tuple[str, dict[str, str]]]:
    """Return URL and headers to reach each replica without a node."""
    found = []
    for replica in harness.replicas('n0', GROUP):
        port = harness.processes[replica['instances'][0]].told['port']
        url = f'http://127.0.0.1:{port}{PATH}'
        found.append((url, {'x-claim': replica['name']}))
    return found


def measure_added_time(book: Book) -> None:
    """Compare streams through a node with streams straight from the target."""
    with open_system(1, 4, token_s=0.02, slots=1000) as harness:
        direct = find_direct(harness)
        through = [(harness.entry('n0') + PATH, HEADERS)]
        for concurrency, rounds in ((1, 30), (20, 8)):
            for _ in range(1):
                near = anyio.run(run_closed, direct, concurrency, rounds, 20)
                far = anyio.run(run_closed, through, concurrency, rounds, 20)
            for share, word in ((0.5, 'median'), (0.99, '99th')):
                first = percentile([s.first for s in far], share)
                first -= percentile([s.first for s in near], share)
                gap = percentile([g for s in far for g in s.gaps], share)
                gap -= percentile([g for s in near for g in s.gaps], share)
                at = f'at concurrency {concurrency}'
                book.note(
                    'serving', f'added to first token, {word} {at}', 1e3 * first, 'ms'
                )
                book.note(
                    'serving', f'added between tokens, {word} {at}', 1e3 * gap, 'ms'
                )


def measure_slopes(book: Book) -> None:
    """Measure the processor time of a node per request and per chunk."""
    with open_system(1, 8, token_s=0.02, slots=10_000, settings=WIDE) as harness:
        pid = harness.processes['n0'].process.pid
        through = [(harness.entry('n0') + PATH, HEADERS)]
        by_chunks = []
        curve = []
        for concurrency in (1, 10, 50, 100, 200):
            tokens = 20
            before, started = read_cpu_s(pid), time.perf_counter()
            rounds = max(3, 200 // concurrency)
            samples = anyio.run(run_closed, through, concurrency, rounds, tokens)
            spent, took = read_cpu_s(pid) - before, time.perf_counter() - started
            whole = sum(s.whole for s in samples)
            book.note(
                'serving',
                f'whole answers at concurrency {concurrency}',
                whole / len(samples),
                'share',
            )
            book.note(
                'serving',
                f'chunks/s at concurrency {concurrency}',
                whole * tokens / took,
                '1/s',
            )
            per_request = spent / max(1, whole) * 1e6
            book.note(
                'serving',
                f'processor per request of 20 chunks at {concurrency}',
                per_request,
                'us',
            )
            curve.append((float(concurrency), whole * tokens / took))
        for tokens in (2, 50, 100):
            before = read_cpu_s(pid)
            samples = anyio.run(run_closed, through, 40, 5, tokens)
            spent = read_cpu_s(pid) - before
            whole = sum(s.whole for s in samples)
            by_chunks.append((float(tokens), spent / max(1, whole) * 1e6))
        slope, intercept = fit_slope(by_chunks)
        book.note('serving', 'processor per chunk (slope)', slope, 'us')
        book.note('serving', 'processor per request (intercept)', intercept, 'us')
        book.draw('chunks/s by concurrency', curve)
        book.draw('processor us by chunks', by_chunks)


WIDE = {
    'routing': {'replica_limit': '1000'},
    'entry': {'queue_limit': '10000', 'queue_wait_s': '30'},
}


def measure_memory(book: Book) -> None:
    """Measure the memory of a node per open stream."""
    with open_system(1, 4, token_s=0.5, slots=10_000, settings=WIDE) as harness:
        pid = harness.processes['n0'].process.pid
        url = harness.entry('n0') + PATH
        points = [(0.0, read_rss_mb(pid))]

        async def hold(count: int) -> float:
            async with build_client() as client, anyio.create_task_group() as group:
                for place in range(count):
                    body = build_body(f'hold {place}', 100)
                    group.start_soon(send_one, client, url, body, HEADERS)
                await anyio.sleep(6)
                size = read_rss_mb(pid)
                group.cancel_scope.cancel()
            return size

        for count in (200, 400, 600):
            points.append((float(count), anyio.run(hold, count)))
        slope, intercept = fit_slope(points)
        book.note('serving', 'memory of a node without streams', intercept, 'MB')
        book.note('serving', 'memory per open stream', slope * 1000, 'kB')
        book.draw('MB by open streams', points)


def describe(samples: list[Sample], seconds: float) -> tuple[float, float, float]:
    """Return whole answers a second, share refused, and the median total.

    The seconds include the time until the last answer came.
    """
    whole = [s for s in samples if s.whole]
    seconds += max(s.total for s in samples)
    refused = sum(s.status in (429, 503) for s in samples) / max(1, len(samples))
    median = statistics.median([s.total for s in whole]) if whole else 0.0
    return len(whole) / seconds, refused, median


def measure_overload(book: Book) -> None:
    """Measure goodput at parts and multiples of the targets' capacity.

    Two replicas of 2 slots and 20 tokens of 20 ms serve 10 requests/s, few
    enough that the node is not what is overloaded.
    """
    capacity, seconds = 10.0, 8.0
    tight = {
        'routing': {'replica_limit': '2'},
        'entry': {'queue_limit': '16', 'queue_wait_s': '2'},
    }
    with open_system(1, 2, token_s=0.02, slots=2, settings=tight) as harness:
        urls = [harness.entry('n0') + PATH]
        curve = []
        for factor in (0.5, 1.0, 2.0, 3.0):
            samples = anyio.run(run_open, urls, factor * capacity, seconds, 20)
            good, refused, median = describe(samples, seconds)
            at = f'at {factor:g} x capacity'
            book.note('overload', f'whole answers {at}', good, '1/s')
            book.note('overload', f'refused {at}', refused, 'share')
            book.note('overload', f'median of whole answers {at}', median, 's')
            curve.append((factor, good))
        book.draw('goodput/s by load factor', curve)
        measure_flood(book, urls)
        measure_slow_replica(book, harness, urls)
    for ratio in ('0', '0.1', '1'):
        measure_budget(book, ratio)


def measure_flood(book: Book, urls: list[str]) -> None:
    """Measure a small customer while a large one floods at twice the capacity."""

    async def both() -> tuple[list[Sample], list[Sample]]:
        results: dict[str, list[Sample]] = {}

        async def run(name: str, rate: float, key: str) -> None:
            results[name] = await run_open(urls, rate, 8.0, 20, key)

        async with anyio.create_task_group() as group:
            group.start_soon(run, 'large', 20.0, 'large-key')
            group.start_soon(run, 'small', 1.0, CALLER_KEY)
        return results['small'], results['large']

    small, large = anyio.run(both)
    for name, samples in (('small', small), ('large', large)):
        whole = sum(s.whole for s in samples) / len(samples)
        book.note('overload', f'flood: share answered, {name} customer', whole, 'share')
    waits = [s.total for s in small if s.whole]
    if waits:
        book.note(
            'overload',
            'flood: median time, small customer',
            statistics.median(waits),
            's',
        )


def measure_slow_replica(book: Book, harness: Harness, urls: list[str]) -> None:
    """Measure times with one of two replicas ten times slower."""
    leader = harness.replicas('n0', GROUP)[0]['instances'][0]
    harness.set_fault(leader, slow=10)
    anyio.run(run_open, urls, 4.0, 3.0, 20)
    samples = anyio.run(run_open, urls, 4.0, 6.0, 20)
    harness.set_fault(leader)
    totals = [s.total for s in samples if s.whole]
    slow = sum(total > 1.0 for total in totals) / max(1, len(totals))
    book.note('overload', 'one replica 10 x slower: share sent to it', slow, 'share')
    book.note(
        'overload', 'one replica 10 x slower: median', statistics.median(totals), 's'
    )


def measure_budget(book: Book, ratio: str) -> None:
    """Measure attempts per request while the targets refuse what comes."""
    settings = {
        'routing': {'retry_ratio': ratio, 'retry_burst': '0' if ratio == '0' else '5'}
    }
    settings['routing']['failure_hold_s'] = '0.2'
    settings['entry'] = {'queue_wait_s': '1'}
    with open_system(1, 4, token_s=0.01, settings=settings) as harness:
        for item in harness.instances[:2]:
            harness.set_fault(item['id'], refuse=True)
        urls = [harness.entry('n0') + PATH]
        samples = anyio.run(run_open, urls, 30.0, 5.0, 10)
        whole = sum(s.whole for s in samples) / len(samples)
        name = f'half of the replicas refuse, retry ratio {ratio}: answered'
        book.note('overload', name, whole, 'share')


def measure_prefixes(book: Book) -> None:
    """Measure hits in the engines' prefix caches, by prefix and by load alone."""
    prompts = [f'shared text {n % 24} ' * 20 for n in range(480)]
    for weight in ('3', '0'):
        settings = {'routing': {'prefix_weight': weight}}
        with open_system(
            2, 4, token_s=0.005, slots=16, cache=8, settings=settings
        ) as harness:
            targets = [(harness.entry(f'n{n}') + PATH, HEADERS) for n in range(2)]
            anyio.run(run_closed, targets, 8, 60, 4, prompts)
            hits = sum(
                harness.stats(item['id'])['prefix_hits'] for item in harness.instances
            )
            runs = sum(harness.count_runs().values())
            book.note(
                'prefix', f'hits with prefix weight {weight}', hits / runs, 'share'
            )
