"""Clients that leave while a node stands still: their requests are not sent on."""

from __future__ import annotations

import signal
import socket
import struct

from tests.whole.platform_base import KEY, PlatformCase, build_headers

#: Clients of each kind in one standstill.
CLIENTS = 6

PATHS = ('/stream/x', '/again/x', '/once/x')


class LeftClientCase(PlatformCase):
    """Clients ask a node that stands still, and leave before it goes on."""

    def ask(self, node, path, request, connection=None):
        """Send a request without waiting for its answer; return the connection."""
        if connection is None:
            place = ('127.0.0.1', self.running[node].ports['clients'])
            connection = socket.create_connection(place, timeout=15)
        fields = {**build_headers(request, KEY), 'Content-Length': '0'}
        lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
        connection.sendall(f'POST {path} HTTP/1.1\r\n{lines}\r\n'.encode())
        return connection

    def leave(self, connection, *, resets):
        """Close a connection."""
        if resets:
            option = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        connection.close()

    def ask_and_leave(self, node, name, *, resets):
        """Let clients ask while a node stands still; return their requests."""
        requests = {
            f'{name}-{path.strip("/")[:2]}-{number}': path
            for number in range(CLIENTS)
            for path in PATHS
        }
        process = self.running[node].process
        process.send_signal(signal.SIGSTOP)
        try:
            for request, path in requests.items():
                self.leave(self.ask(node, path, request), resets=resets)
        finally:
            process.send_signal(signal.SIGCONT)
        # Connections are taken in their order, and read in few turns.
        for number in range(3):
            reply = self.send(node, 'POST', '/again/x', f'{name}-last-{number}')
            self.assertEqual(reply.status_code, 200)
        return requests

    def check_not_run(self, node, name, *, resets):
        """Check that no instance gets a request whose client has left."""
        requests = self.ask_and_leave(node, name, resets=resets)
        self.wait_for(lambda: not self.list_open(node, requests), 'all have ended')
        run = [request for request in requests if self.find_runs(request)]
        self.assertEqual(run, [])

    def list_open(self, node, requests):
        """Return the requests that a node has sent and that have not ended."""
        sent = {item['request'] for item in self.read('request.sent', node)}
        ended = {item['request'] for item in self.read('request.ended', node)}
        return (sent - ended) & set(requests)

    def read(self, name, node):
        """Return the events of one name that a node logged."""
        return self.running[node].read_events(name)


class DirectTest(LeftClientCase):
    """A node with paths of its own."""

    def test_clients_that_close(self):
        self.check_not_run('n1', 'close', resets=False)

    def test_clients_that_reset(self):
        self.check_not_run('n1', 'reset', resets=True)


class TunnelTest(LeftClientCase):
    """A node that sends through its peer."""

    own_paths = True

    def test_clients_that_close(self):
        self.addCleanup(self.cut, self.nodes, 'none')
        self.cut(['n1'], 'hang')
        lost = self.running['n1'].read_events
        self.wait_for(lambda: self.serves('n1') and lost('paths.lost'), 'n1 is cut off')
        self.check_not_run('n1', 'tunnel', resets=False)
