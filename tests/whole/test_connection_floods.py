"""A node that gets most new connections, while others have room."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from dataclasses import dataclass

from tests.whole.platform_base import PlatformCase, build_headers

#: Seconds within which nodes that are in touch react.
CONTACT_S = 3.0

#: Share of the usual rate at which users expect requests that were read to be served.
READ_SHARE = 0.75

#: Connections a second over all nodes, and then to one node.
USUAL_RATE = 60.0
FLOOD_RATE = 400.0

#: Seconds of both.
USUAL_S = 4.0
FLOOD_S = 9.0

#: Seconds for which the node that gets most of them is stopped, and for which it runs,
#: in turn: so that a test brings a node to its limit.
STOPPED_S = 0.024
RUNNING_S = 0.006

#: Seconds for which a client waits.
PATIENCE_S = 2.0

#: Tries of a client whose connection is closed with the request unread.
TRIES = 4


@dataclass
class Call:
    """A request and what its client got.

    :param at: when it was sent first, by the machine's steady clock.
    :param read: whether the first node took it.
    :param served: whether a node that took it answered in time.
    :param tries: nodes that it was sent to.
    """

    at: float
    read: bool = False
    served: bool = False
    tries: int = 0


class FloodTest(PlatformCase):
    """Four nodes before groups of two of 40 instances."""

    nodes = ('n1', 'n2', 'n3', 'n4')
    engines = 40
    events = 2

    async def send_once(self, node, request):
        """Send a request on a connection of its own; return its answer, if any."""
        headers = build_headers(
            request,
            **{
                'X-Deadline-Ms': str(int(PATIENCE_S * 1000)),
                'Content-Length': '1',
                'Connection': 'close',
            },
        )
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
        port = self.running[node].ports['clients']
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            writer.write(f'POST /stream/x HTTP/1.1\r\n{lines}\r\nx'.encode())
            return await reader.read()
        finally:
            writer.close()

    async def send_until_read(self, call, node, number):
        """Send a request, again to others while it is closed unread."""
        nodes = [node, *random.sample([n for n in self.nodes if n != node], TRIES - 1)]
        for place in nodes:
            call.tries += 1
            try:
                async with asyncio.timeout(PATIENCE_S):
                    answer = await self.send_once(place, f'flood-{number}-{place}')
            except TimeoutError:
                call.read = True
                return
            except OSError:
                continue
            call.read = call.read or bool(answer)
            call.served = answer.startswith(b'HTTP/1.1 200')
            if answer:
                return

    async def slow_down(self, node):
        """Let a node run for a part of the time."""
        process = self.running[node].process
        try:
            while True:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(STOPPED_S)
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(RUNNING_S)
        finally:
            process.send_signal(signal.SIGCONT)

    async def play(self):
        """Return the calls before one node gets most connections, and from then on."""
        calls, tasks = [], set()
        slowing = asyncio.create_task(self.slow_down(self.nodes[0]))
        began = time.monotonic()
        while (since := time.monotonic() - began) < USUAL_S + FLOOD_S:
            flooded = since >= USUAL_S
            node = self.nodes[0] if flooded else random.choice(self.nodes)
            call = Call(time.monotonic())
            calls.append(call)
            task = asyncio.create_task(self.send_until_read(call, node, len(calls)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            rate = FLOOD_RATE if flooded else USUAL_RATE
            due = began + (
                len(calls) / USUAL_RATE
                if not flooded
                else USUAL_S + (len(calls) - USUAL_S * USUAL_RATE) / rate
            )
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
        slowing.cancel()
        before = [item for item in calls if item.at < began + USUAL_S]
        later = [item for item in calls if item.at >= began + USUAL_S + CONTACT_S]
        return before, later

    # Guards against a node that reads what it can't serve, while its peers are idle.
    def test_node_serves_what_it_reads(self):
        before, later = asyncio.run(self.play())
        usual = sum(item.served for item in before) / len(before)
        read = [item for item in later if item.read]
        served = sum(item.served for item in read) / len(read)
        told = f'{len(later)} later, {len(read)} read, {served:.2f} of these served'
        self.assertGreaterEqual(served, READ_SHARE * usual, told)
        self.assertGreater(len(read), MIN_READ, told)


#: Requests that clients must at least have got read, at any node.
MIN_READ = USUAL_RATE * (FLOOD_S - CONTACT_S)
