"""Answers of plain services that end with their connection."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from typing import Any

import httpx

from standins.harness import CALLER_KEY
from tests.whole.base import SystemCase

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: %b\r\n\r\n'

WHOLE_STREAM = b'data: a\n\ndata: b\n\n'


class RawService:
    """A service that answers with given bytes and ends the connection.

    :param ends: whether it listens no more before it ends the connection, as a process
        that is killed.
    """

    def __init__(self, answer: bytes, ends: bool = False) -> None:
        self._answer = answer
        self._ends = ends
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with connection:
                    if connection.recv(65_536):
                        connection.sendall(self._answer)
                        if self._ends:
                            self._listener.close()

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()


class ServiceEndTest(SystemCase):
    """The end of an answer's connection is no proof that the answer is whole."""

    nodes = {'n1': 'kurasini', 'n2': 'mikocheni', 'n3': 'ubungo'}
    numbers = itertools.count(1)

    def declare_service(self, answer: bytes, **options: Any) -> str:
        """Return the URL of a call to a service that answers with given bytes."""
        service = RawService(answer, **options)
        self.addCleanup(service.close)
        name = f'raw-{next(self.numbers)}'
        self.harness.apply(
            'n1',
            'service',
            name,
            addresses=[service.address],
            customers=['dar'],
            repeatable=True,
        )
        self.harness.wait_converged('n1', 'service', name)
        return f'{self.harness.entry("n1")}/services/{name}/x'

    def fetch(self, url: str) -> bytes | None:
        """Return the body of an answer, or ``None`` if it does not look whole."""
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        try:
            reply = httpx.get(url, headers=headers, timeout=30)
        except httpx.HTTPError:
            return None
        return reply.content if reply.status_code == 200 else None

    def fetch_as_old_client(self, url: str) -> bytes | None:
        """Do the same as a client of HTTP/1.0, which reads no chunks."""
        parsed = httpx.URL(url)
        text = f'GET {parsed.path} HTTP/1.0\r\nHost: x\r\n'
        text += f'Authorization: Bearer {CALLER_KEY}\r\n\r\n'
        data = b''
        with socket.create_connection((parsed.host, parsed.port), 30) as sock:
            sock.sendall(text.encode())
            try:
                while part := sock.recv(65_536):
                    data += part
            except ConnectionResetError:
                return None
        head, _, body = data.partition(b'\r\n\r\n')
        status = int(head.split()[1])
        self.assertIn(status, (200, 502))
        return body if status == 200 else None

    def test_whole_answers_without_length_are_forwarded_whole(self) -> None:
        for media_type, body in (
            (b'text/plain', b'abc'),
            (b'text/event-stream', WHOLE_STREAM),
        ):
            url = self.declare_service(HEAD % media_type + body)
            self.assertEqual(self.fetch(url), body)
            self.assertEqual(self.fetch_as_old_client(url), body)

    # Guards against streams of plain services that end inside an event and look whole.
    def test_stream_that_ends_inside_an_event_never_looks_whole(self) -> None:
        url = self.declare_service(HEAD % b'text/event-stream' + WHOLE_STREAM[:-3])
        self.assertIsNone(self.fetch(url))
        self.assertIsNone(self.fetch_as_old_client(url))

    # Guards against answers that look whole although the process that sent them ended.
    def test_answer_of_a_process_that_ended_never_looks_whole(self) -> None:
        for fetch in (self.fetch, self.fetch_as_old_client):
            url = self.declare_service(HEAD % b'text/plain' + b'half', ends=True)
            self.assertIsNone(fetch(url))

    # Guards against answers that clients of HTTP/1.0 take for whole after a cut.
    def test_chunked_answer_that_is_cut_never_looks_whole(self) -> None:
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        url = self.declare_service(head + b'4\r\nhalf\r\n')
        self.assertIsNone(self.fetch(url))
        self.assertIsNone(self.fetch_as_old_client(url))
