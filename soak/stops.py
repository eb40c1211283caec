"""Clients of a node that stops: they keep sending until its process is gone.

Each opens its connections before the signal and uses them in a way that the clients of
a whole run do not: with bodies that end late, a request ahead of the response, or a
first or a further request late in the stop.
"""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from soak.history import StopCall
from tests.whole.raw_clients import RawClient, Reply, build_request, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.whole.platform_base import Node

__all__ = ['SHAPES', 'StopClients', 'is_stop_call']

#: Beginning of the ids of requests.
PREFIX = 'stop-'

#: How requests are sent: with a body that ends late, behind a stream on the same
#: connection, on a connection that was used before, on a new one, and right after a
#: stream that began before the signal.
SHAPES = ('body', 'ahead', 'used', 'new', 'after')

#: Requests of each shape for one stop.
COUNT = 3

#: Paths and methods of the requests, of streams and of calls.
TARGETS = (
    ('POST', '/stream/x'),
    ('POST', '/stream/x'),
    ('POST', '/single/x'),
    ('GET', '/again/x'),
    ('POST', '/once/x'),
)

#: Events of a stream that is read, 20 ms apart, at least and at most.
EVENTS = (10, 300)

#: Seconds from the signal until a request is sent, at least and at most.
SENT_S = (0.0, 7.8)

#: Seconds before the signal at which the clients begin.
AHEAD_S = 0.4


def is_stop_call(request: str) -> bool:
    """Whether a request is one of such a client, by its id."""
    return request.startswith(PREFIX)


class StopClients:
    """Clients that send while one node stops.

    :param at: seconds from the start of the run at which the stop begins.
    :ivar calls: what they saw, once they have ended.
    """

    def __init__(self, node: Node, at: float, seed: int) -> None:
        self.calls: list[StopCall] = []
        self._node = node
        self._name = f'{PREFIX}{node.name}-{at:.3f}'
        self._chance = random.Random(f'{seed}/{self._name}')
        self._signalled = threading.Event()
        self._signalled_at = 0.0
        self._tasks: list[threading.Thread] = []

    def start(self) -> None:
        """Open the connections, and wait until requests are under way."""
        kinds: dict[str, Callable[[str, float, random.Random], None]] = {
            'body': self._send_body,
            'ahead': self._send_ahead,
            'used': self._send_used,
            'new': self._send_new,
            'after': self._send_after,
        }
        for shape in SHAPES:
            for number in range(COUNT):
                name = f'{self._name}-{shape}-{number}'
                after_s = self._chance.uniform(*SENT_S)
                chance = random.Random(self._chance.random())
                arguments = (kinds[shape], name, after_s, chance)
                task = threading.Thread(target=self._run, args=arguments)
                task.start()
                self._tasks.append(task)
        time.sleep(AHEAD_S)

    def note_signal(self) -> None:
        """Let the clients know that the node got the signal just now."""
        self._signalled_at = time.monotonic()
        self._signalled.set()

    def end(self) -> None:
        """Return once all clients have ended."""
        for task in self._tasks:
            task.join()

    def _run(
        self,
        send: Callable[[str, float, random.Random], None],
        name: str,
        after_s: float,
        chance: random.Random,
    ) -> None:
        try:
            send(name, after_s, chance)
        except OSError:
            # The node accepts no connection any more, so nothing was sent.
            return

    def _wait(self, after_s: float) -> None:
        self._signalled.wait()
        wait_until(self._signalled_at + after_s)

    def _build(
        self, name: str, chance: random.Random, *, chunked: bool = False
    ) -> bytes:
        method, path = chance.choice(TARGETS)
        if chunked:
            method = 'POST'
            path = '/once/x' if path.startswith('/again') else path
        if path.startswith(('/stream', '/single')):
            path += f'?events={chance.randint(*EVENTS)}'
        return build_request(method, path, name, chunked=chunked)

    def _note(self, shape: str, name: str, sent_at: float, reply: Reply) -> None:
        self.calls.append(
            StopCall(
                name,
                self._node.name,
                shape,
                sent_at,
                time.monotonic(),
                reply.status,
                reply.whole,
            )
        )

    def _ask(self, client: RawClient, shape: str, name: str, data: bytes) -> None:
        sent_at = time.monotonic()
        self._note(shape, name, sent_at, client.ask(data))

    def _send_body(self, name: str, after_s: float, chance: random.Random) -> None:
        client = RawClient(self._node)
        client.send(self._build(name, chance, chunked=True) + b'1\r\nx\r\n')
        self._wait(after_s)
        self._ask(client, 'body', name, b'1\r\ny\r\n0\r\n\r\n')
        client.close()

    def _send_ahead(self, name: str, after_s: float, chance: random.Random) -> None:
        client = RawClient(self._node)
        first = build_request('POST', '/stream/x?events=100', f'{name}-first')
        client.send(first + self._build(name, chance))
        sent_at = time.monotonic()
        # A stream that its instance breaks off ends the connection of the next request.
        if client.read().whole:
            self._note('ahead', name, sent_at, client.read())
        client.close()

    def _send_used(self, name: str, after_s: float, chance: random.Random) -> None:
        client = RawClient(self._node)
        client.ask(build_request('GET', '/again/x', f'{name}-first'))
        self._wait(after_s)
        self._ask(client, 'used', name, self._build(name, chance))
        client.close()

    def _send_new(self, name: str, after_s: float, chance: random.Random) -> None:
        self._wait(after_s)
        client = RawClient(self._node)
        self._ask(client, 'new', name, self._build(name, chance))
        client.close()

    def _send_after(self, name: str, after_s: float, chance: random.Random) -> None:
        client = RawClient(self._node)
        events = chance.randint(*EVENTS)
        first = build_request('POST', f'/stream/x?events={events}', f'{name}-first')
        if client.ask(first).whole:
            self._ask(client, 'after', name, self._build(name, chance))
        client.close()
