"""Clients whose connections are open while a node stops as planned."""

from __future__ import annotations

import signal
import socket
import threading
from typing import ClassVar

from standins.harness import CALLER_KEY
from tests.whole.base import SystemCase

#: Bytes that the slow client reads at once.
READ_BYTES = 16_384

#: Seconds for which it reads nothing while the node stops.
PAUSE_S = 0.7

#: Size in bytes of its answer.  Records of the store hold up to 1 MB.
ANSWER_BYTES = 700_000

#: Largest segment of a client in bytes: the operating system buffers some segments of
#: an answer, and the node the rest.
SEGMENT_BYTES = 536

#: A call that is answered from the record of the first one when it is repeated.
HEADERS = {
    'Authorization': f'Bearer {CALLER_KEY}',
    'Idempotency-Key': 'large',
    'Connection': 'close',
}


class OpenConnectionTest(SystemCase):
    """A node that clients are connected to stops."""

    settings: ClassVar[dict[str, dict[str, str]]] = {
        'entry': {
            'idle_timeout_s': '3',
            'body_limit': str(2 * ANSWER_BYTES),
            'record_body_limit': str(2 * ANSWER_BYTES),
        }
    }

    def setUp(self) -> None:
        self.harness.start_node('n8', 'mikocheni')
        self.harness.wait_for(lambda: self.harness.is_ready('n8'), 'n8 serves')
        self.harness.wait_for(lambda: self.count_serving('n8') == 2, 'n8 sees replicas')

    def connect(self, port: str) -> socket.socket:
        address = ('127.0.0.1', self.harness.processes['n8'].told['ports'][port])
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.settimeout(30)
        sock.connect(address)
        self.addCleanup(sock.close)
        return sock

    def begin_stop(self) -> None:
        """Tell the node to stop, and wait until it does not accept requests."""
        self.harness.processes['n8'].send(signal.SIGTERM)
        log = self.harness.folder / 'n8.log'
        self.harness.wait_for(lambda: 'node.draining' in log.read_text(), 'it drains')

    def check_ended(self) -> None:
        """Check that the node ended with code 0 and without an internal error."""
        self.assertEqual(self.harness.processes.pop('n8').wait(), 0)
        text = (self.harness.folder / 'n8.log').read_text()
        self.assertNotIn('node.fault', text)

    # Guards against exit code 1 where a connection is open when the servers end.
    def test_open_connections_do_not_change_the_exit_code(self) -> None:
        for port in ('entry', 'admin'):
            idle = self.connect(port)
            idle.sendall(b'GET /readyz HTTP/1.1\r\nHost: a.example\r\n\r\n')
            self.assertTrue(idle.recv(READ_BYTES).startswith(b'HTTP/1.1 '))
            for partial in (
                b'',
                b'GET /rea',
                b'POST / HTTP/1.1\r\nContent-Length: 9\r\n',
            ):
                self.connect(port).sendall(partial)
        self.begin_stop()
        self.check_ended()

    # Guards against a signal that ends the process as the servers close.
    def test_signals_until_the_end_do_not_change_the_exit_code(self) -> None:
        process = self.harness.processes['n8']
        self.begin_stop()
        while process.process.poll() is None:
            process.send(signal.SIGTERM)
            threading.Event().wait(0.01)
        self.check_ended()
        text = (self.harness.folder / 'n8.log').read_text()
        self.assertIn('node.stopped', text)

    def begin_answer(self) -> tuple[socket.socket, bytearray]:
        """Begin to read a large answer; return its connection and first bytes."""
        url = f'{self.harness.entry("n8")}/services/stamp/echo'
        body = b'x' * ANSWER_BYTES
        first = self.harness.client.post(url, content=body, headers=HEADERS)
        self.assertEqual(first.status_code, 200)
        sock = self.connect('entry')
        lines = [f'{name}: {value}' for name, value in HEADERS.items()]
        lines += ['Host: a.example', f'Content-Length: {ANSWER_BYTES}', '', '']
        head = '\r\n'.join(['POST /services/stamp/echo HTTP/1.1', *lines])
        sock.sendall(head.encode() + body)
        answer = bytearray(sock.recv(READ_BYTES))
        self.assertIn(b'idempotency-replayed', answer)
        return sock, answer

    # Guards against the loss of what a slow client has not read of its answer yet.
    def test_slow_client_gets_its_whole_answer(self) -> None:
        sock, answer = self.begin_answer()
        self.begin_stop()
        threading.Event().wait(PAUSE_S)
        while part := sock.recv(READ_BYTES):
            answer += part
        self.assertEqual(answer.count(b'x' * 1_000), ANSWER_BYTES // 1_000)
        self.check_ended()

    def test_client_that_never_reads_does_not_hold_the_stop(self) -> None:
        sock, _ = self.begin_answer()
        self.begin_stop()
        self.check_ended()
        sock.close()
        text = (self.harness.folder / 'n8.log').read_text()
        self.assertIn('request.unread', text)
