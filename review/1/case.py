"""Late orders reopen the head of an ended group, and it is sent into another one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand import TROUBLE, Replica, System, build_configuration, main  # noqa: E402

#: Seconds after which the first order to join and the first to open are carried out.
JOIN_LATE_S = 8.0
OPEN_LATE_S = 8.0


class LateReplica(Replica):
    """Leaves its first order to join as a head, and to open, unanswered."""

    late: bool = False
    left: set[str]

    async def answer_order(self, order: dict[str, Any]) -> int | None:
        """Return the status of an order; ``None`` for no answer."""
        kind = order['operation']
        delays_s = {'join': JOIN_LATE_S, 'open': OPEN_LATE_S}
        is_first = kind in delays_s and kind not in self.left
        if kind == 'join':
            # Groups of one replica, which only load weights, are left alone.
            is_first &= order['members'][0] == self.name and len(order['members']) > 1
        if self.late and is_first:
            self.left.add(kind)
            self.note(f'leaves the order {kind} of {order["group"]} unanswered')
            self.system.spawn(self._carry_out_late(order, delays_s[kind]))
            return None
        return await super().answer_order(order)

    async def _carry_out_late(self, order: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.carry_out(order, f' (sent {delay_s:g} s ago)')


def is_open(replica: Replica) -> bool:
    """Whether a replica is the head of an open group."""
    return replica.group is not None and replica.group['state'] == 'open'


async def add(system: System, label: str, domain: str, late: bool = False) -> Replica:
    """Start a replica of the model service."""
    replica = LateReplica(system, 'pool', domain=domain, engine=True)
    replica.label, replica.late, replica.left = label, late, set()
    await replica.start()
    return replica


async def play(system: System) -> None:
    """Start a group, take one of its replicas away, and add one later."""
    await system.start(build_configuration(), ['a', 'b', 'c'])
    steady = [await add(system, f'steady-{number}', 'd0') for number in range(4)]
    await system.wait_ready()
    await system.wait_for(lambda: any(map(is_open, steady)), 'the first group is open')
    # As in the deployments, traffic begins 12 s after the nodes.
    await asyncio.sleep(8)
    new = [await add(system, f'new-{number}', 'd1', TROUBLE) for number in range(4)]
    await system.wait_for(lambda: any(map(is_open, new)), 'the second group is open')
    head = next(item for item in new if is_open(item))
    other = next(item for item in new if item is not head)
    await asyncio.sleep(1)
    other.drain()
    await system.wait_for(lambda: not is_open(head), 'the head has closed')
    await asyncio.sleep(3)
    other.end()
    if TROUBLE:
        await system.wait_for(lambda: is_open(head), 'a late order opens the head')
    else:
        await asyncio.sleep(8)
    last = await add(system, 'new-4', 'd1')
    await system.wait_for(
        lambda: bool(system.breaks) or last.group is not None,
        'the last replica is in a group',
    )
    await asyncio.sleep(2)


main(FOLDER, play)
