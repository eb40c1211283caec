"""The harness of the tests on processes: it waits, and does not give up early."""

from __future__ import annotations

import socket
import unittest
from types import SimpleNamespace
from unittest import mock

from standins.harness import Harness, HarnessError, PortReservations
from standins.network import INSTANCE_HOST


class ConvergedTest(unittest.TestCase):
    """A node that does not have a resource yet has not converged."""

    def build(self, *bodies):
        harness = Harness.__new__(Harness)
        harness._standins = set()
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

    # Guards against paths that find the port of their instance taken at their host.
    def test_port_is_free_at_all_hosts_that_need_it(self):
        hosts = ('127.0.2.1', '127.0.2.2')
        taken = []

        def take(address):
            """Let another process have each port that is tried first at a host."""
            host, port = address
            if host == hosts[1] and len(taken) < 3 and port not in taken:
                taken.append(port)
                raise OSError

        bind = socket.socket.bind

        class Contested(socket.socket):
            """A socket whose port may be taken."""

            def bind(self, address):
                take(address)
                bind(self, address)

        with mock.patch('standins.harness.socket.socket', Contested):
            port = self.ports.reserve(*hosts)
        self.assertEqual(len(taken), 3)
        self.assertNotIn(port, taken)
        for host in ('127.0.0.1', *hosts):
            with socket.socket() as sock, self.assertRaises(OSError):
                sock.bind((host, port))

    def test_no_port_is_an_error(self):
        # An address of a network that is for documentation is none of this machine.
        with self.assertRaises(HarnessError):
            self.ports.reserve('192.0.2.1')

    def test_ports_are_free_once_let_go(self):
        port = self.ports.reserve()
        self.ports.close()
        self.bind(port, reuse=False)


class FailedStandinTest(unittest.TestCase):
    """A stand-in that cannot start, or that ends, fails a test at once."""

    def setUp(self):
        self.harness = Harness()
        self.addCleanup(self.harness.close)

    def start_paths(self, port):
        command = ('standins.paths', '--nodes', 'n1', '--ports', str(port))
        process = self.harness._start_standin('paths', *command)
        self.addCleanup(process.kill)
        return process

    # Guards against a port that is reported before its process has started.
    def test_stand_in_without_its_port_does_not_start(self):
        with socket.socket() as sock:
            sock.bind((INSTANCE_HOST, 0))
            process = self.start_paths(sock.getsockname()[1])
            with self.assertRaisesRegex(HarnessError, 'Address already in use'):
                process.wait_told()

    # Guards against a wait for what cannot come about, until its time limit.
    def test_wait_ends_with_the_stand_in(self):
        with socket.socket() as sock:
            sock.bind((INSTANCE_HOST, 0))
            process = self.start_paths(sock.getsockname()[1])
            self.assertGreater(process.wait(), 0)
            with self.assertRaisesRegex(HarnessError, 'the stand-in paths has ended'):
                self.harness.wait_for(lambda: False, 'anything')

    def test_stand_in_that_was_killed_has_not_failed(self):
        process = self.harness._start_standin('kv', 'standins.kv')
        process.wait_told()
        self.assertFalse(process.has_failed())
        process.kill()
        self.assertFalse(process.has_failed())


if __name__ == '__main__':
    unittest.main()
