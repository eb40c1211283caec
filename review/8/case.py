"""A replica drains some seconds after connections to the store went silent.

Several systems of two nodes each are played, one trial each: how long a node takes to
find out depends on the phase of its questions to the store.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_2

BATCHES = 3
SYSTEMS = 4
#: Seconds of calm traffic before the disruption.
CALM_S = 3.0
#: Seconds without a byte after which a connection is one of those that go silent.
IDLE_S = 1.5
#: contact_ms of the deployment, and a little more: by then the silence, which counts as
#: a reset of the machines' connections, no longer takes a machine out of touch.
WAIT_S = 3.2
DRAIN_S = 2.0
#: How long a replica that drains serves on: drain_ms and a little longer, so that what
#: reaches it in time ends well before.
SERVES_ON_S = 2.45
WORK_MS = 400
PER_S = 60
REPLICAS = 7


async def press(case: stand_2.Case, answers: dict[str, tuple[str, int]]) -> None:
    """Send requests to both nodes in turn, until cancelled."""
    nodes = list(case.nodes)
    tasks: set[asyncio.Task] = set()

    async def send(number: int) -> None:
        node = nodes[number % len(nodes)]
        request = f'{node}-{number}'
        kind = 'once' if number % 4 < 2 else 'again'
        answer = await stand_2.call(
            case.nodes[node]['clients'],
            'POST',
            f'/{kind}/{number}',
            request,
            limit_s=4,
        )
        answers[request] = kind, answer.status if answer.complete else 0

    number = 0
    while True:
        task = asyncio.ensure_future(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1 / PER_S)


async def try_once(case: stand_2.Case, name: str) -> bool:
    """Play one system; return whether DRAIN was broken."""
    case.start_store()
    routes = [
        stand_2.route('once', '/once/', 'non_idempotent', 'log', timeout_ms=4000),
        stand_2.route('again', '/again/', 'idempotent', 'log', timeout_ms=4000),
    ]
    await case.write('op/config', stand_2.configuration(routes, ['log']))
    replicas = [
        await case.start_replica('log', work_ms=WORK_MS) for _ in range(REPLICAS)
    ]
    proxies = {}
    for node, zone in ((f'{name}-n1', 'a'), (f'{name}-n2', 'b')):
        proxies[node] = stand_2.Proxy(case.store)
        await proxies[node].start()
        case.start_node(node, zone, proxies[node].port, bootstrap=True)
    await case.wait_ready()
    answers: dict[str, tuple[str, int]] = {}
    pressing = asyncio.ensure_future(press(case, answers))
    await asyncio.sleep(CALM_S)
    if stand_2.TROUBLE:
        for node, proxy in proxies.items():
            count = proxy.silence(IDLE_S)
            case.note(
                f'{count} connection(s) of {node} to the store over which nothing went '
                'lately go silent; new ones work'
            )
    await asyncio.sleep(WAIT_S)
    leaving = replicas[0]
    ack = await leaving.drain()
    case.note(f'{name}: {leaving.name} drains, acknowledged', ack)
    await asyncio.sleep(SERVES_ON_S)
    leaving.process.send_signal(signal.SIGKILL)
    await case.write(f'servers/{leaving.name}', None)
    await asyncio.sleep(0.6)
    pressing.cancel()
    since = {
        event['request']: event['arrived'] - ack
        for event in leaving.events()
        if event.get('arrived', 0) > ack
    }
    late = {request: after for request, after in since.items() if after > DRAIN_S}
    case.note(
        f'{name}: {len(since)} requests reached it after that, the last '
        f'{max(since.values(), default=0):.3f} s after; {len(late)} later than drain_ms'
    )
    for request, after in late.items():
        kind, status = answers.get(request, ('?', -1))
        case.note(
            f'{name}: {request} ({kind}) reached it {after - DRAIN_S:.3f} s too late; '
            f'its client got status {status}',
            ack + after,
        )
    counts: dict[tuple[str, int], int] = {}
    for found in answers.values():
        counts[found] = counts.get(found, 0) + 1
    case.note(f'{name}: answers by kind and status: {sorted(counts.items())}')
    return bool(late)


async def play(case: stand_2.Case) -> bool:
    """Return whether DRAIN was broken in any system."""
    broken = []
    for batch in range(BATCHES):
        before = len(case.processes)
        trials = [
            try_once(case.fork(), f'system-{batch * SYSTEMS + number + 1}')
            for number in range(SYSTEMS)
        ]
        broken += await asyncio.gather(*trials)
        for process in case.processes[before:]:
            process.kill()
    case.note(f'broken in {sum(broken)} of {len(broken)} systems')
    return any(broken)


if __name__ == '__main__':
    stand_2.run_case(__file__, play)
