"""A server whose clients hold many bytes or connections."""

from __future__ import annotations

import asyncio
import errno
import unittest
from unittest import mock

import anyio

from coursepitch.clock import boottime
from coursepitch.http import ConnectionRules, HttpServer
from coursepitch.http.memory import ClientMemory
from coursepitch.http.server import ConnectionState
from coursepitch.listeners import listen

#: Longest time in seconds for anything to come about.
WAIT_S = 10.0

BODY_BYTES = 400_000
LIMIT = 1_000_000
GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'


def build_post(size, sent):
    """Return a request whose body may lack its end."""
    return HEAD + b'Content-Length: %d\r\n\r\n' % size + b'x' * sent


class CrowdedServerCase(unittest.TestCase):
    """A server whose handlers wait for a signal of the test."""

    max_connections = 100

    def run_test(self, scenario):
        async def main():
            self.go_on = anyio.Event()
            self.handled = []
            self.clients = []

            async def handle(request, reply):
                self.handled.append(request)
                await self.go_on.wait()
                await reply.send_whole(200, (), b'done')

            self.sock = listen('127.0.0.1', 0)
            self.memory = ClientMemory(LIMIT, boottime)
            self.server = HttpServer(
                handle,
                lambda: ConnectionRules(body_bytes=BODY_BYTES),
                memory=self.memory,
                max_connections=self.max_connections,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.server.run, self.sock)
                await scenario()
                for writer in self.clients:
                    writer.transport.abort()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def connect(self, data=b''):
        """Return the reader and the writer of a new client that sends bytes."""
        reader, writer = await asyncio.open_connection(*self.sock.getsockname())
        writer.write(data)
        # A writer that is no longer referenced closes its connection.
        self.clients.append(writer)
        return reader, writer

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.001)

    async def read(self, reader):
        """Return what comes until the end of a connection."""
        with anyio.fail_after(WAIT_S):
            return await reader.read()


class MemoryTest(CrowdedServerCase):
    """Bytes that are held for all clients together."""

    # Guards against bodies that are held without a bound until they are whole.
    def test_largest_body_that_is_being_read_is_refused(self):
        async def scenario():
            stalled = [await self.connect(build_post(400_000, 399_999))]
            await self.wait_for(lambda: self.memory.held_bytes > 390_000)
            stalled.append(await self.connect(build_post(350_000, 349_999)))
            await self.wait_for(lambda: self.memory.held_bytes > 740_000)
            await self.connect(build_post(300_000, 299_999))
            answer = await self.read(stalled[0][0])
            self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
            self.assertIn(b'Retry-After: 0.25\r\n', answer)
            self.assertIn(b'Connection: close\r\n', answer)
            self.assertEqual(self.handled, [])
            self.assertLessEqual(self.memory.held_bytes, LIMIT)

        self.run_test(scenario)

    # Guards against whole requests that are held without a bound.
    def test_large_request_is_refused_before_its_body_while_others_are_handled(self):
        async def scenario():
            for number in (1, 2):
                await self.connect(build_post(300_000, 300_000))
                await self.wait_for(lambda number=number: len(self.handled) == number)
            reader, _ = await self.connect(build_post(300_000, 0))
            answer = await self.read(reader)
            self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
            reader, _ = await self.connect(build_post(100, 100))
            await self.wait_for(lambda: len(self.handled) == 3)
            self.go_on.set()
            answer = await reader.readuntil(b'done')
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
            reader, _ = await self.connect(build_post(300_000, 300_000))
            answer = await reader.readuntil(b'done')
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

        self.run_test(scenario)

    # Guards against a chunked body, whose size is not announced, beside others.
    def test_large_chunked_request_is_refused_once_it_is_whole(self):
        async def scenario():
            for number in (1, 2):
                await self.connect(build_post(300_000, 300_000))
                await self.wait_for(lambda number=number: len(self.handled) == number)
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (300_000, b'x' * 300_000)
            head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
            reader, _ = await self.connect(head + body)
            answer = await self.read(reader)
            self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
            self.assertEqual(len(self.handled), 2)

        self.run_test(scenario)

    # Guards against bytes behind a request in hand that are held without a bound.
    def test_bytes_behind_a_request_are_dropped_and_it_is_answered(self):
        async def scenario():
            clients = [await self.connect(GET + b'x' * 300_000) for _ in range(4)]
            await self.wait_for(
                lambda: any(not item.has_more for item in self.server.connections)
            )
            self.go_on.set()
            self.assertLessEqual(self.memory.held_bytes, LIMIT)
            for reader, _ in clients:
                answer = await reader.readuntil(b'done')
                self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

        self.run_test(scenario)

    # Guards against an account that counts what is not held any more.
    def test_nothing_is_counted_once_all_clients_have_left(self):
        async def scenario():
            self.go_on.set()
            for data in (
                build_post(400_000, 400_000),
                build_post(400_000, 399_999),
                build_post(500_000, 0),
                GET + b'x' * 300_000,
            ):
                for _ in range(3):
                    _, writer = await self.connect(data)
                    await writer.drain()
                    writer.transport.abort()
            await self.wait_for(lambda: not self.server.connections)
            self.assertEqual(self.memory.held_bytes, 0)
            self.assertTrue(self.memory.take(int(LIMIT * 0.75)))

        self.run_test(scenario)


class ConnectionLimitTest(CrowdedServerCase):
    """More connections than there may be."""

    max_connections = 16

    # Guards against clients that take all connections and ask for nothing.
    def test_idle_connections_make_room(self):
        async def scenario():
            self.go_on.set()
            for _ in range(60):
                await self.connect()
            reader, _ = await self.connect(GET)
            answer = await reader.readuntil(b'done')
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
            self.assertLessEqual(len(self.server.connections), 17)

        self.run_test(scenario)

    # Guards against requests in hand that are dropped for connections that came later.
    def test_requests_that_are_handled_stay(self):
        async def scenario():
            clients = [await self.connect(GET) for _ in range(10)]
            await self.wait_for(lambda: len(self.handled) == 10)
            for _ in range(60):
                await self.connect()
            self.go_on.set()
            for reader, _ in clients:
                answer = await reader.readuntil(b'done')
                self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

        self.run_test(scenario)

    # Guards against a listener that hangs once all connections are in use.
    def test_connection_beyond_requests_that_are_handled_is_reset_unread(self):
        async def scenario():
            for number in range(self.max_connections + 1):
                await self.connect(GET)
                await self.wait_for(lambda n=number: len(self.handled) == n + 1)
            reader, _ = await self.connect()
            with self.assertRaises(ConnectionResetError):
                await self.read(reader)
            self.assertEqual(len(self.handled), self.max_connections + 1)

        self.run_test(scenario)


class FailingSocket:
    """A listening socket whose accept fails with some errors first."""

    def __init__(self, sock, errors):
        self._sock, self.errors = sock, list(errors)

    def accept(self):
        """Accept a connection, or fail."""
        if self.errors:
            raise OSError(self.errors.pop(0), 'error of a test')
        return self._sock.accept()

    def __getattr__(self, name):
        return getattr(self._sock, name)


class FailingAcceptTest(CrowdedServerCase):
    """Errors of accept."""

    def check(self, *errors):
        async def scenario():
            self.go_on.set()
            idle, _ = await self.connect()
            await self.wait_for(lambda: self.server.connections)
            failing = FailingSocket(self.sock, errors)
            with mock.patch.object(
                self.server,
                '_take_waiting',
                lambda sock, *rest, take=self.server._take_waiting: take(
                    failing, *rest
                ),
            ):
                for _ in range(2):
                    reader, _ = await self.connect(GET)
                    answer = await reader.readuntil(b'done')
                    self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
            self.assertEqual(failing.errors, [])
            return idle

        self.run_test(scenario)

    # Guards against a node that ends as it can open no further descriptor.
    def test_server_goes_on_without_descriptors(self):
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                self.check(number, number)

    def test_server_goes_on_after_an_error_of_a_connection(self):
        self.check(errno.EPROTO, errno.ENETUNREACH, errno.ECONNABORTED)

    # Guards against an error that is passed over without end.
    def test_other_errors_end_the_server(self):
        async def main():
            server = HttpServer(mock.Mock(), ConnectionRules)
            sock = listen('127.0.0.1', 0)
            with self.assertRaises(BaseExceptionGroup) as found:
                await server.run(FailingSocket(sock, [errno.EBADF]))
            self.assertIsNotNone(found.exception.subgroup(OSError))

        anyio.run(main)


class RefusalTest(CrowdedServerCase):
    """Clients whose request is refused while they send."""

    # Guards against a refusal that is lost as its client is still sending.
    def test_refusal_of_a_large_body_reaches_a_client_that_sends_on(self):
        async def scenario():
            reader, writer = await self.connect(build_post(50_000_000, 0))
            with anyio.fail_after(WAIT_S):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(b'x' * 300_000)
                await writer.drain()
                self.assertEqual(await reader.read(), b'')
            self.assertEqual(self.server.count(ConnectionState.HANDLING), 0)

        self.run_test(scenario)


if __name__ == '__main__':
    unittest.main()
