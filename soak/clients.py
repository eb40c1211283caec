"""Clients of a run: they keep connections, come back when told, and record it all.

Some of their requests are of HTTP/1.0, to which an answer may end with its connection.
"""

from __future__ import annotations

import http.client
import random
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx

from soak.changes import CHANGED_ROUTES, IDLE_TIMES_S
from soak.history import Call, Ending

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ['Client']

#: Requests that a client sends: method, path, service, whether it may run again.
REQUESTS = (
    ('POST', '/stream/x', 'pool', True),
    ('POST', '/stream/x', 'pool', True),
    ('POST', '/single/x', 'pool', False),
    ('GET', '/again/x', 'api', True),
    ('POST', '/once/x', 'api', False),
)

#: How often a client sends a further request on a route that changes add and remove.
CHANGED_SHARE = 0.3

#: Share of the streams with the part that ends instances, while there is one, and parts
#: that all prompts have.
PART_SHARE = 0.15
SHARED_PARTS = ('aa01', 'aa02')

#: Longest time in seconds for which a client stays away when told to come back later.
MOST_AWAY_S = 2.0

#: Seconds between two requests, at most.
PAUSE_S = 0.08

#: Share of the requests that are of HTTP/1.0.
OLD_SHARE = 0.25

#: Seconds that a request may take.
DEADLINE_S = 8.0

#: Seconds for which a client waits for an answer.
PATIENCE_S = 10

#: Statuses that promise that a request did not run.
PROMISING = frozenset({408, 421, 429, 503})

#: Statuses that deny a request by the configuration.
DENYING = frozenset({401, 403, 404})


@dataclass(frozen=True, slots=True)
class _Answer:
    """What came of one request.

    :param away_s: seconds for which to stay away.
    :param status: its status; 0 without one.
    """

    ending: Ending
    answered_for: str = ''
    body: str = ''
    away_s: float = 0.0
    status: int = 0

    def list_events(self) -> tuple[int, ...]:
        """Return the ids of the events that came."""
        lines = self.body.split('\n')[:-1]
        return tuple(int(line[4:]) for line in lines if line.startswith('id: '))


class _OldConnection(http.client.HTTPConnection):
    """A connection whose requests are of HTTP/1.0."""

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'


class Client:
    """One client in a thread of its own.

    :param events: events of a whole stream.
    :param find_node: returns the name and the URL of a node by a number from 0 to 1.
    :param find_part: returns the part of prompts that ends instances now; empty for
        none.
    """

    def __init__(
        self,
        name: str,
        seed: str,
        key: str,
        events: int,
        find_node: Callable[[float], tuple[str, str]],
        find_part: Callable[[], str],
    ) -> None:
        self.calls: list[Call] = []
        self._name = name
        self._key = key
        self._events = events
        self._find_node = find_node
        self._find_part = find_part
        self._chance = random.Random(seed)
        self._chance_of_parts = random.Random(f'{seed}/parts')
        self._chance_of_routes = random.Random(f'{seed}/routes')
        self._ended = threading.Event()
        # Connections are kept until their node closes them, or until a client that
        # keeps to the shortest idle time of the configurations uses them no more.
        limits = httpx.Limits(keepalive_expiry=0.8 * min(IDLE_TIMES_S))
        self._http = httpx.Client(timeout=PATIENCE_S, trust_env=False, limits=limits)
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
            if self._chance_of_routes.random() < CHANGED_SHARE:
                self._call_changed_route()
            self._ended.wait(away_s + self._chance.uniform(0.0, PAUSE_S))

    def _call(self) -> float:
        """Send one request; return the seconds for which to stay away."""
        return self._ask(*self._chance.choice(REQUESTS), self._chance)

    def _call_changed_route(self) -> None:
        """Send one request on a route that the configuration may have."""
        route = self._chance_of_routes.choice(CHANGED_ROUTES)
        self._ask('GET', f'/{route}/x', 'api', True, self._chance_of_routes, route)

    def _ask(
        self,
        method: str,
        path: str,
        service: str,
        repeatable: bool,
        chance: random.Random,
        route: str = '',
    ) -> float:
        node, url = self._find_node(chance.random())
        request = f'{self._name}-{len(self.calls)}'
        streamed = service == 'pool'
        part = self._draw_part() if streamed else ''
        headers = self._build_headers(request, part)
        sent_at = time.monotonic()
        is_old = chance.random() < OLD_SHARE
        send = self._send_as_old_client if is_old else self._send
        answer = send(method, url, path, headers)
        self.calls.append(
            Call(
                request,
                service,
                self._key,
                sent_at,
                time.monotonic(),
                answer.ending,
                repeatable,
                answer.answered_for,
                answer.list_events() if streamed else (),
                self._events if streamed else 0,
                node,
                not streamed and not answer.body.endswith(request),
                part,
                answer.status,
                DEADLINE_S,
                route,
            )
        )
        return answer.away_s

    def _draw_part(self) -> str:
        part = self._find_part()
        return part if self._chance_of_parts.random() < PART_SHARE else ''

    def _build_headers(self, request: str, part: str) -> dict[str, str]:
        own = f'{self._chance_of_parts.getrandbits(32):08x}'
        parts = [*SHARED_PARTS, *([part] if part else []), own]
        return {
            'Host': 'a.example',
            'X-Request-Id': request,
            'X-Deadline-Ms': f'{DEADLINE_S * 1000:.0f}',
            'X-Model': 'm',
            'X-Token-Usage': '100,20',
            'X-Prompt-Prefix': ','.join(f'{name}:20' for name in parts),
            'Authorization': f'Bearer {self._key}',
        }

    def _send(
        self, method: str, url: str, path: str, headers: dict[str, str]
    ) -> _Answer:
        """Send a request on a connection that is kept."""
        answered_for, body, status = '', '', 0
        ending = Ending.UNKNOWN
        try:
            content = _build_body(method, headers)
            with self._http.stream(
                method, url + path, headers=headers, content=content
            ) as reply:
                refusal = _read_refusal(reply.status_code, reply.headers)
                if refusal is not None:
                    return refusal
                ending, status = Ending.CUT, reply.status_code
                answered_for = reply.headers.get('x-request-id', '')
                for part in reply.iter_text():
                    body += part
                ending = Ending.WHOLE
        except httpx.HTTPError:
            # What is known of it, its ending says.
            pass
        return _Answer(ending, answered_for, body, status=status)

    def _send_as_old_client(
        self, method: str, url: str, path: str, headers: dict[str, str]
    ) -> _Answer:
        """Send a request of HTTP/1.0 on a connection of its own."""
        parsed = httpx.URL(url)
        connection = _OldConnection(parsed.host, parsed.port, timeout=PATIENCE_S)
        answered_for, body, status = '', b'', 0
        ending = Ending.UNKNOWN
        try:
            content = _build_body(method, headers)
            connection.request(method, path, content, headers)
            reply = connection.getresponse()
            refusal = _read_refusal(reply.status, reply.headers)
            if refusal is not None:
                return refusal
            ending, status = Ending.CUT, reply.status
            answered_for = reply.headers.get('x-request-id', '')
            while part := reply.read1():
                body += part
            # What is left of its length; none is known if the connection tells its end.
            if not reply.length:
                ending = Ending.WHOLE
        except (OSError, http.client.HTTPException):
            # What is known of it, its ending says.
            pass
        finally:
            connection.close()
        return _Answer(ending, answered_for, body.decode(), status=status)


def _build_body(method: str, headers: Mapping[str, str]) -> bytes | None:
    """Return a body that no other request has, as prompts differ."""
    return headers['X-Request-Id'].encode() if method == 'POST' else None


def _read_refusal(status: int, headers: Mapping[str, str]) -> _Answer | None:
    """Return what an answer other than 200 tells, or ``None`` for 200."""
    if status in PROMISING:
        away_s = float(headers.get('retry-after') or 0)
        away_s = min(MOST_AWAY_S, away_s)
        return _Answer(Ending.NOT_RUN, away_s=away_s, status=status)
    if status in DENYING:
        return _Answer(Ending.DENIED, status=status)
    return None if status == 200 else _Answer(Ending.UNKNOWN, status=status)
