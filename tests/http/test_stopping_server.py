"""Connections of a server that stops, and how it closes them."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import anyio

from coursepitch.http import ConnectionRules, HttpServer
from coursepitch.http.server import ConnectionState, ReadLimit
from coursepitch.listeners import listen

GET = b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n'

#: Longest time in seconds for anything to come about.
WAIT_S = 10.0

#: Bytes of a response that the kernel does not buffer whole.
LARGE = 8_000_000


class Server:
    """A server whose handlers wait for a signal of the test, and its clients."""

    def __init__(self, port, server, go_on):
        self.port = port
        self.http = server
        self.go_on = go_on

    async def connect(self):
        """Return the reader and the writer of a new client."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.001)

    async def wait_count(self, state, count=1):
        """Wait until a number of connections are in a state."""
        await self.wait_for(lambda: self.http.count(state) == count)

    async def read_all(self, reader):
        """Return what a client reads until the end; a reset is an error."""
        with anyio.fail_after(WAIT_S):
            return await reader.read()


class StoppingServerCase(unittest.TestCase):
    """A server with handlers that answer with the target, in two parts."""

    body = b''

    def run_test(self, scenario):
        async def main():
            go_on = anyio.Event()

            async def handle(request, reply):
                await reply.start(200, ())
                await reply.send(request.target)
                await go_on.wait()
                await reply.send(self.body)
                await reply.end()

            sock = listen('127.0.0.1', 0)
            server = HttpServer(handle, ConnectionRules)
            tester = Server(sock.getsockname()[1], server, go_on)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run, sock)
                await scenario(tester)
                tasks.cancel_scope.cancel()

        anyio.run(main)


class SentAheadTest(StoppingServerCase):
    """Requests behind the one that is handled."""

    # Guards against requests that are dropped as the response before them ends.
    def test_request_sent_ahead_is_answered(self):
        async def scenario(server):
            reader, writer = await server.connect()
            writer.write(GET % 1 + GET % 2)
            await server.wait_count(ConnectionState.HANDLING)
            server.http.begin_stop(float('inf'))
            server.go_on.set()
            data = await server.read_all(reader)
            self.assertEqual(data.count(b'HTTP/1.1 200'), 2)
            # Only the last response announces the end.
            self.assertEqual(data.lower().count(b'connection: close'), 1)
            self.assertIn(b'close', data.lower().rpartition(b'http/1.1 200')[2])

        self.run_test(scenario)

    # Guards against an announced end that a request sent ahead contradicts.
    def test_response_before_another_request_announces_no_end(self):
        async def scenario(server):
            server.http.begin_stop(float('inf'))
            server.go_on.set()
            reader, writer = await server.connect()
            writer.write(GET % 1 + GET % 2 + GET % 3)
            data = await server.read_all(reader)
            self.assertEqual(data.count(b'HTTP/1.1 200'), 3)
            self.assertEqual(data.lower().count(b'connection: close'), 1)

        self.run_test(scenario)


class IdleTest(StoppingServerCase):
    """Connections on which no request is."""

    # Guards against a connection that ends after a response that did not say so.
    def test_connection_serves_once_more_after_a_response_before_the_stop(self):
        async def scenario(server):
            reader, writer = await server.connect()
            writer.write(GET % 1)
            await server.wait_count(ConnectionState.HANDLING)
            server.http.begin_stop(float('inf'))
            server.http.close_idle()
            server.go_on.set()
            await server.wait_count(ConnectionState.IDLE)
            writer.write(GET % 2)
            data = await server.read_all(reader)
            self.assertEqual(data.count(b'HTTP/1.1 200'), 2)

        self.run_test(scenario)

    def test_idle_connection_is_closed(self):
        async def scenario(server):
            reader, _ = await server.connect()
            server.http.begin_stop(float('inf'))
            server.http.close_idle()
            self.assertEqual(await server.read_all(reader), b'')

        self.run_test(scenario)

    # Guards against requests that have come and are closed unread.
    def test_request_that_has_come_is_read_when_the_idle_time_is_over(self):
        async def scenario(server):
            server.go_on.set()
            reader, writer = await server.connect()
            await server.wait_count(ConnectionState.IDLE)
            with mock.patch('coursepitch.http.server.CLOSING_IDLE_S', -1.0):
                server.http.begin_stop(float('inf'))
                server.http.close_idle()
                # The server has no turn between the bytes and the end of the time.
                writer.write(GET % 1)
                data = await server.read_all(reader)
            self.assertEqual(data.count(b'HTTP/1.1 200'), 1)

        self.run_test(scenario)


class BodyTest(StoppingServerCase):
    """Bodies that come as the server ends."""

    # Guards against bodies that are cut off without a response.
    def test_request_that_is_being_read_is_refused_at_the_end(self):
        async def scenario(server):
            reader, writer = await server.connect()
            writer.write(POST)
            await server.wait_count(ConnectionState.READING)
            self.assertTrue(server.http.has_unanswered)
            server.http.begin_stop(server.http.clock())
            # Bytes that are on their way do not reset the connection.
            data = b''
            while b'\r\n\r\n' not in data:
                writer.write(b'1\r\ny\r\n')
                await server.wait_for(lambda: True)
                with anyio.move_on_after(0.01):
                    data += await reader.read(100)
            self.assertIn(b'HTTP/1.1 503', data)
            await server.wait_count(ConnectionState.CLOSING)
            writer.write_eof()
            await server.wait_for(lambda: not server.http.connections)
            self.assertEqual(await server.read_all(reader), b'')

        self.run_test(scenario)

    # Guards against bodies that are read although their request can't be served.
    def test_request_that_can_not_begin_any_more_is_refused_before_its_end(self):
        headers = ((b'X-Request-Id', b'r'), (b'Retry-After', b'0.05'))

        async def scenario(server):
            heads = []

            def find_read_limit(head):
                heads.append((head.method, head.target, head.body))
                return ReadLimit(0.0, headers)

            reader, writer = await server.connect()
            writer.write(POST)
            await server.wait_count(ConnectionState.READING)
            server.http.find_read_limit = find_read_limit
            server.http.begin_stop(float('inf'))
            with anyio.fail_after(WAIT_S):
                data = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'HTTP/1.1 503', data)
            self.assertIn(b'retry-after: 0.05', data.lower())
            self.assertIn(b'connection: close', data.lower())
            self.assertEqual(heads[0], (b'POST', b'/', b''))

        self.run_test(scenario)


class LogTest(StoppingServerCase):
    """Connections that end before a request on them is handled."""

    # Guards against a second line, without the status, for each refused request.
    def test_refused_request_is_logged_once(self):
        async def scenario(server):
            reader, writer = await server.connect()
            writer.write(b'GET / HTTP/1.1\r\n')
            await server.wait_count(ConnectionState.READING)
            writer.write(b'no field\r\n\r\n')
            with mock.patch('coursepitch.http.server.log.emit') as emit:
                data = await server.read_all(reader)
                await server.wait_for(lambda: not server.http.connections)
            self.assertIn(b'HTTP/1.1 400', data)
            self.assertEqual([call.kwargs['status'] for call in emit.mock_calls], [400])

        self.run_test(scenario)


class LingerTest(StoppingServerCase):
    """Responses whose client has sent more than was read."""

    body = b'x' * LARGE

    # Guards against a reset that destroys the end of a response.
    def test_unread_bytes_do_not_destroy_the_response(self):
        async def scenario(server):
            server.http.begin_stop(float('inf'))
            reader, writer = await server.connect()
            writer.write(GET % 1)
            await server.wait_count(ConnectionState.HANDLING)
            writer.write(b'z' * 1000)
            server.go_on.set()
            data = await server.read_all(reader)
            self.assertEqual(data.count(b'x' * 100), LARGE // 100)
            self.assertTrue(data.endswith(b'\r\n0\r\n\r\n'))

        self.run_test(scenario)

    def test_client_that_does_not_close_is_disconnected(self):
        async def scenario(server):
            server.http.begin_stop(float('inf'))
            server.go_on.set()
            reader, writer = await server.connect()
            with mock.patch('coursepitch.http.server.LINGER_S', 0.01):
                writer.write(GET % 1)
                await server.read_all(reader)
                await server.wait_for(lambda: not server.http.connections)

        self.run_test(scenario)


class AcceptingTest(StoppingServerCase):
    """The end of accepting connections."""

    # Guards against clients that wait at a server that is about to end.
    def test_new_connections_are_refused_and_open_ones_are_served(self):
        async def scenario(server):
            reader, writer = await server.connect()
            writer.write(GET % 1)
            await server.wait_count(ConnectionState.HANDLING)
            waiting = [await server.connect() for _ in range(20)]
            server.http.end_accepting()
            await server.wait_for(lambda: len(server.http.connections) == 21)
            with self.assertRaises(OSError):
                await server.connect()
            server.http.begin_stop(float('inf'))
            server.go_on.set()
            for number, (_, writing) in enumerate(waiting):
                writing.write(GET % number)
            for reading, _ in waiting:
                self.assertIn(b'HTTP/1.1 200', await server.read_all(reading))
            writer.write_eof()
            self.assertIn(b'HTTP/1.1 200', await server.read_all(reader))

        self.run_test(scenario)


if __name__ == '__main__':
    unittest.main()
