"""A stream of a plain service is continued by its requester after a reset."""

from __future__ import annotations

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_2

EVENTS = 20
CUT_AFTER = 8
MACHINES = 10
STREAMS = 8


def read_ids(body: bytes) -> list[int]:
    """Return the ids of the whole events of a body."""
    whole = body[: body.rfind(b'\n\n') + 2]
    return [int(found) for found in re.findall(rb'(?m)^id: (\d+)$', whole)]


def cut_inside(data: bytes) -> int | None:
    """Return where the answer is cut: inside the event after ``CUT_AFTER``."""
    found = data.find(f'id: {CUT_AFTER + 1}\n'.encode())
    return None if found < 0 else found + 5


async def read_stream(
    case: stand_2.Case, request: str, port: int, ports: list[int]
) -> bool:
    """Read a stream, and go on after a reset; return whether its events are wrong."""
    case.note(f'sent {request}: POST /events/{EVENTS} to n1')
    answer = await stand_2.call(port, 'POST', f'/events/{EVENTS}', request, limit_s=8)
    got = read_ids(answer.body)
    case.note(
        f'answer of {request}: {answer.status}, events {got}, '
        f'complete {answer.complete} {answer.error}'
    )
    if answer.status == 200 and not answer.complete and got:
        again, last = f'{request}-again', str(got[-1])
        case.note(f'sent {again} to n2 with Last-Event-Id: {last}')
        answer = await stand_2.call(
            ports[1],
            'POST',
            f'/events/{EVENTS}',
            again,
            limit_s=8,
            Last_Event_Id=last,
        )
        more = read_ids(answer.body)
        case.note(
            f'answer of {again}: {answer.status}, events {more}, '
            f'complete {answer.complete} {answer.error}'
        )
        got += more
    if not answer.complete or answer.status != 200:
        case.note(f'{request} was not completed, which is not what is checked')
        return False
    wrong = got != list(range(1, EVENTS + 1))
    case.note(f'all events of {request}: {got}{" WRONG" if wrong else ""}')
    return wrong


async def play(case: stand_2.Case) -> bool:
    """Return whether ORDER was broken."""
    case.start_store()
    routes = [
        stand_2.route(
            'stream', '/events/', 'streaming', 'log', resumable=True, gap_aim_ms=300
        )
    ]
    await case.write('op/config', stand_2.configuration(routes, ['log']))
    replicas = [await case.start_replica('log') for _ in range(3)]
    # One machine of ten, and half of its connections, as the pages' shares have it.
    for number in range(MACHINES):
        zone = 'abc'[number % 3]
        case.start_node(f'n{number + 1}', zone, case.store, bootstrap=True)
    await case.wait_ready()
    ports = [node['clients'] for node in case.nodes.values()]
    proxy = stand_2.Proxy(ports[0], cut_inside if stand_2.TROUBLE else None)
    await proxy.start()
    found = await asyncio.gather(
        *(
            read_stream(
                case, f'stream-{number}', ports[0] if number % 2 else proxy.port, ports
            )
            for number in range(STREAMS)
        )
    )
    broken = any(found)
    for replica in replicas:
        for event in replica.events():
            case.note(f'replica {replica.name}: {event}', event['at'])
    return broken


if __name__ == '__main__':
    stand_2.run_case(__file__, play)
