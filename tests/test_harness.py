"""The harness of the tests on processes: it waits, and does not give up early."""

from __future__ import annotations

import socket
import unittest
from types import SimpleNamespace

from standins.harness import Harness, PortReservations


class ConvergedTest(unittest.TestCase):
    """A node that does not have a resource yet has not converged."""

    def build(self, *bodies):
        harness = Harness.__new__(Harness)
        answers = [SimpleNamespace(json=lambda body=body: body) for body in bodies]
        harness.operate = lambda *args: answers.pop(0)
        return harness

    def test_resource_that_comes_late_is_waited_for(self):
        absent = {'error': {'message': 'no customer x'}}
        condition = {'type': 'Accepted', 'status': True}
        present = {'status': {'conditions': [condition]}}
        harness = self.build(absent, present)
        harness.wait_converged('n1', 'customer', 'x')

    def test_conditions_of_an_absent_resource_do_not_hold(self):
        harness = self.build({'error': {}})
        self.assertEqual(harness.conditions('n1', 'customer', 'x'), {'Present': False})


class PortReservationsTest(unittest.TestCase):
    """A port that a process will listen on later goes to nobody else."""

    def setUp(self):
        self.ports = PortReservations()
        self.addCleanup(self.ports.close)

    def bind(self, port, *, reuse):
        sock = socket.socket()
        self.addCleanup(sock.close)
        if reuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', port))
        return sock

    def test_reserved_port_is_not_free_for_others(self):
        port = self.ports.reserve()
        with self.assertRaises(OSError):
            self.bind(port, reuse=False)

    def test_reserved_port_is_refused_until_a_process_listens_there(self):
        port = self.ports.reserve()
        for _ in range(2):
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(('127.0.0.1', port))
            listener = self.bind(port, reuse=True)
            listener.listen()
            socket.create_connection(('127.0.0.1', port)).close()
            listener.close()

    def test_ports_are_free_once_let_go(self):
        port = self.ports.reserve()
        self.ports.close()
        self.bind(port, reuse=False)


if __name__ == '__main__':
    unittest.main()
