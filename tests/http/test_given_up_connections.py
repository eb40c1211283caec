"""Tests of how connections end whose response is given up."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio

from coursepitch.http import ConnectionPool
from coursepitch.listeners import listen
from tests.http.test_exchange import HEADERS

if TYPE_CHECKING:
    import socket

CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class GivenUpConnectionTest(unittest.TestCase):
    """Connections end with a reset, unless their last response is complete."""

    def read_end(self, sent, reads):
        """Return what a target reads once its connection has been closed.

        :param sent: bytes that the target sends.
        :param reads: whether the client reads a part of the body before it closes.
        """

        async def run():
            sock = listen('127.0.0.1', 0)
            pool = ConnectionPool()
            connection = await pool.acquire(f'127.0.0.1:{sock.getsockname()[1]}')
            await anyio.wait_readable(sock)
            accepted, _ = sock.accept()
            accepted.setblocking(False)
            accepted.send(sent)
            if reads:
                response = await pool.exchange(connection, b'GET', b'/', HEADERS, b'')
                await response.read_chunk()
                if sent.endswith(b'0\r\n\r\n'):
                    await response.read_chunk()
            pool.discard(connection)
            accepted.settimeout(5)
            try:
                # The request, if there was one, and then the end.
                return await anyio.to_thread.run_sync(self.read_all, accepted)
            finally:
                accepted.close()
                sock.close()

        return anyio.run(run)

    def read_all(self, accepted: socket.socket) -> str:
        """Return how the connection ends."""
        try:
            while accepted.recv(65_536):
                pass
        except ConnectionResetError:
            return 'reset'
        return 'end'

    # Guards against instances that go on as they never notice the end of their input.
    def test_response_that_is_given_up_ends_with_a_reset(self):
        self.assertEqual(self.read_end(CHUNKED_HEAD + b'1\r\nx\r\n', True), 'reset')

    def test_unread_bytes_end_with_a_reset(self):
        sent = CHUNKED_HEAD + b'1\r\nx\r\n' + b'1\r\nx\r\n' * 200_000
        self.assertEqual(self.read_end(sent, True), 'reset')

    def test_connection_after_a_whole_response_ends_regularly(self):
        sent = CHUNKED_HEAD + b'1\r\nx\r\n0\r\n\r\n'
        self.assertEqual(self.read_end(sent, True), 'end')

    def test_unused_connection_ends_regularly(self):
        self.assertEqual(self.read_end(b'', False), 'end')
