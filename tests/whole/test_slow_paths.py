"""Clients that leave while the paths from a node to the instances are slow."""

from __future__ import annotations

import socket
import time

from tests.whole.platform_base import KEY, PlatformCase, build_headers

#: Clients of one kind of request, and seconds between two of them.
CLIENTS = 40
PAUSE_S = 0.05

#: Seconds for which a client waits, and after which it closes its connection.
PATIENCE_S = 2.0

#: Seconds after a client has left within which its request may still arrive, and the
#: few that may arrive later.  Source: the rule GONE of the users.
ALLOWED_S = 0.5
ALLOWED = 3


class SlowPathTest(PlatformCase):
    """Few requests are sent that can only arrive once their clients have left.

    Guards against sends whose way takes longer than the client waits.
    """

    own_paths = True

    def setUp(self):
        self.addCleanup(self.cut, self.nodes, 'none')

    def ask(self, path, request):
        """Send a request without waiting for its answer; return the connection."""
        place = ('127.0.0.1', self.running['n1'].ports['clients'])
        connection = socket.create_connection(place, timeout=15)
        fields = build_headers(request, KEY)
        fields |= {'X-Deadline-Ms': str(int(PATIENCE_S * 1000)), 'Content-Length': '0'}
        lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
        connection.sendall(f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode())
        return connection

    def ask_all(self, path):
        """Let clients ask and leave; return when each of them left, by request."""
        name = path.strip('/').replace('/', '-')
        waiting, left_at = [], {}
        begin = time.monotonic()
        while len(left_at) < CLIENTS:
            now = time.monotonic()
            number = len(waiting) + len(left_at)
            if number < CLIENTS and now >= begin + number * PAUSE_S:
                request = f'{name}-{number}'
                waiting.append((time.monotonic(), request, self.ask(path, request)))
            elif waiting and now >= waiting[0][0] + PATIENCE_S:
                _, request, connection = waiting.pop(0)
                connection.close()
                left_at[request] = time.monotonic()
            else:
                time.sleep(0.002)
        return left_at

    def list_visits(self):
        """Return all requests that arrived at instances, and when."""
        return [
            (visit['request'], visit['at'])
            for service in ('pool', 'api')
            for item in self.stats(service).values()
            for visit in item['visits']
        ]

    def check_late(self, path):
        self.cut(['n1'], 'slow')
        left_at = self.ask_all(path)
        # What was sent before this request has arrived before it.
        self.assertEqual(self.send('n1', 'GET', path, f'last{path}').status_code, 200)
        late = {
            request: round(at - left_at[request], 2)
            for request, at in self.list_visits()
            if request in left_at and at - left_at[request] > ALLOWED_S
        }
        self.assertLessEqual(len(late), ALLOWED, late)

    def test_streams(self):
        self.check_late('/stream/x')

    def test_calls(self):
        self.check_late('/again/x')
