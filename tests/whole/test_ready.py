"""A node that says it is ready takes new connections, beside others and at a start."""

from __future__ import annotations

import concurrent.futures
import socket
import unittest

from tests.whole.platform_base import PlatformCase

#: Clients that try at once, and the longest time in seconds until each has an answer.
CLIENTS = 30
ANSWER_S = 4.0


class ReadyTest(PlatformCase):
    """Clients that each open a connection of their own."""

    nodes = ('n1',)

    def ask(self, number):
        """Open a connection and return the first line of the answer."""
        address = ('127.0.0.1', self.running['n1'].ports['clients'])
        request = (
            'GET /none/ HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Request-Id: ready-{number}\r\n\r\n'
        )
        with socket.create_connection(address, timeout=ANSWER_S) as connection:
            connection.sendall(request.encode())
            return connection.recv(65_536).split(b'\r\n')[0]

    def check_all_are_answered(self):
        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
            lines = list(pool.map(self.ask, range(CLIENTS)))
        self.assertEqual(set(lines), {b'HTTP/1.1 404 '})

    def test_connections_are_taken_while_the_node_is_ready(self):
        self.assertTrue(self.running['n1'].is_ready(self.client))
        self.check_all_are_answered()

    def test_connections_are_taken_beside_many_that_say_nothing(self):
        address = ('127.0.0.1', self.running['n1'].ports['clients'])
        silent = [socket.create_connection(address) for _ in range(200)]
        self.addCleanup(lambda: [item.close() for item in silent])
        self.assertTrue(self.running['n1'].is_ready(self.client))
        self.check_all_are_answered()

    def test_node_that_started_again_takes_them_as_soon_as_it_is_ready(self):
        node = self.running['n1']
        node.process.kill()
        node.process.wait()
        self.start_node('n1')
        node = self.running['n1']
        self.wait_for(lambda: len(node.read_events('node.started')) > 1, 'it listens')
        node.ports = node.read_events('node.started')[-1]['ports']
        self.wait_for(lambda: node.is_ready(self.client), 'the node is ready')
        self.check_all_are_answered()


if __name__ == '__main__':
    unittest.main()
