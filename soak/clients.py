"""Clients of a run: they keep connections, come back when told, and record it all."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

import httpx

from soak.history import Call, Ending

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['Client']

#: Requests that a client sends: method, path, service, whether it may run again.
REQUESTS = (
    ('POST', '/stream/x', 'pool', True),
    ('POST', '/stream/x', 'pool', True),
    ('GET', '/again/x', 'api', True),
    ('POST', '/once/x', 'api', False),
)

#: Longest time in seconds for which a client stays away when told to come back later.
MOST_AWAY_S = 2.0

#: Seconds between two requests, at most.
PAUSE_S = 0.08

#: Statuses that promise that a request did not run.
PROMISING = frozenset({408, 421, 429, 503})


class Client:
    """One client in a thread of its own.

    :param events: events of a whole stream.
    :param find_node: returns the name and the URL of a node by a number from 0 to 1.
    """

    def __init__(
        self,
        name: str,
        seed: str,
        key: str,
        events: int,
        find_node: Callable[[float], tuple[str, str]],
    ) -> None:
        self.calls: list[Call] = []
        self._name = name
        self._key = key
        self._events = events
        self._find_node = find_node
        self._chance = random.Random(seed)
        self._ended = threading.Event()
        self._http = httpx.Client(timeout=10, trust_env=False)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to send requests."""
        self._thread.start()

    def end(self) -> None:
        """Send no more; return once the last request has ended."""
        self._ended.set()
        self._thread.join()
        self._http.close()

    def _run(self) -> None:
        while not self._ended.is_set():
            away_s = self._call()
            self._ended.wait(away_s + self._chance.uniform(0.0, PAUSE_S))

    def _call(self) -> float:
        """Send one request; return the seconds for which to stay away."""
        method, path, service, repeatable = self._chance.choice(REQUESTS)
        node, url = self._find_node(self._chance.random())
        request = f'{self._name}-{len(self.calls)}'
        sent_at = time.monotonic()
        ending, answered_for, events, away_s = self._send(method, url + path, request)
        self.calls.append(
            Call(
                request,
                service,
                self._key,
                sent_at,
                time.monotonic(),
                ending,
                repeatable,
                answered_for,
                events,
                self._events if service == 'pool' else 0,
                node,
            )
        )
        return away_s

    def _send(
        self, method: str, url: str, request: str
    ) -> tuple[Ending, str, tuple[int, ...], float]:
        headers = {
            'Host': 'a.example',
            'X-Request-Id': request,
            'X-Deadline-Ms': '8000',
            'X-Model': 'm',
            'X-Token-Usage': '100,20',
            'Authorization': f'Bearer {self._key}',
        }
        events: list[int] = []
        answered_for = ''
        ending = Ending.UNKNOWN
        try:
            with self._http.stream(method, url, headers=headers) as reply:
                if reply.status_code in PROMISING:
                    away_s = float(reply.headers.get('retry-after', 0))
                    return Ending.NOT_RUN, '', (), min(MOST_AWAY_S, away_s)
                if reply.status_code != 200:
                    return Ending.UNKNOWN, '', (), 0.0
                ending = Ending.CUT
                answered_for = reply.headers.get('x-request-id', '')
                for line in reply.iter_lines():
                    if line.startswith('id: '):
                        events.append(int(line[4:]))
                ending = Ending.WHOLE
        except httpx.HTTPError:
            # What is known of it, its ending says.
            pass
        return ending, answered_for, tuple(events), 0.0
