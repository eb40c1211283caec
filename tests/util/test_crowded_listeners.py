"""Listeners of ASGI applications whose clients hold many bytes or connections."""

from __future__ import annotations

import asyncio
import errno
import unittest
from unittest import mock

import anyio
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from coursepitch.clock import boottime
from coursepitch.errors import OverloadedError
from coursepitch.http.memory import ClientMemory
from coursepitch.listeners import listen
from coursepitch.util.body_hold import KEPT_FACTOR, BodyHold
from coursepitch.util.http import ServerStop, read_body, serve_app

#: Longest time in seconds for anything to come about.
WAIT_S = 10.0

#: Seconds for which an idle connection is kept: longer than any test takes.
IDLE_S = 300.0

LIMIT = 1_200_000
BODY_BYTES = 300_000
GET = b'GET /body HTTP/1.1\r\nHost: x\r\n\r\n'
HEAD = b'POST /body HTTP/1.1\r\nHost: x\r\n'


def build_post(size, sent):
    """Return a request whose body may lack its end."""
    return HEAD + b'Content-Length: %d\r\n\r\n' % size + b'x' * sent


class CrowdedListenerCase(unittest.TestCase):
    """A listener whose handlers wait for a signal of the test."""

    max_connections = 100

    def run_test(self, scenario):
        async def main():
            self.go_on = anyio.Event()
            self.handled = 0
            self.memory = ClientMemory(LIMIT, boottime)
            self.clients = []
            self.sock = listen('127.0.0.1', 0)
            self.address = self.sock.getsockname()
            app = Starlette(
                routes=[Route('/body', self.answer, methods=['GET', 'POST'])]
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve, app)
                await anyio.wait_all_tasks_blocked()
                self.tasks_before = len(asyncio.all_tasks())
                await scenario()
                for writer in self.clients:
                    writer.transport.abort()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def serve(self, app):
        """Serve until cancelled."""
        await serve_app(
            app,
            self.sock,
            ServerStop(),
            idle_s=IDLE_S,
            max_connections=self.max_connections,
        )

    async def answer(self, request):
        """Answer once the test says so; refuse a body that has no place."""
        hold = BodyHold(self.memory, boottime)
        try:
            body = await read_body(request, BODY_BYTES, IDLE_S, hold)
        except OverloadedError:
            return Response(status_code=503, headers={'Connection': 'close'})
        try:
            self.handled += 1
            await self.go_on.wait()
            return Response(f'{len(body)} done')
        finally:
            hold.release()

    async def connect(self, data=b''):
        """Return the reader of a new client that sends bytes."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        self.clients.append(writer)
        return reader

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.001)

    async def read(self, reader, end=b'done'):
        """Return a response up to its end."""
        with anyio.fail_after(WAIT_S):
            return await reader.readuntil(end)


class BodyTest(CrowdedListenerCase):
    """Bodies that are held for all clients together."""

    # Guards against bodies that are held without a bound until they are whole.
    def test_largest_body_that_is_being_read_is_refused(self):
        async def scenario():
            readers = []
            for number in range(4):
                readers.append(await self.connect(build_post(300_000, 299_999)))
                held = (number + 1) * 299_999
                await self.wait_for(lambda held=held: self.memory.held_bytes >= held)
            await self.connect(build_post(200_000, 199_999))
            answer = await self.read(readers[0], b'\r\n\r\n')
            self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
            self.assertLessEqual(self.memory.held_bytes, LIMIT)
            self.assertEqual(self.handled, 0)

        self.run_test(scenario)

    # Guards against whole bodies that are held without a bound.
    def test_large_body_is_refused_while_others_are_handled(self):
        async def scenario():
            await self.connect(build_post(BODY_BYTES, BODY_BYTES))
            await self.wait_for(lambda: self.handled == 1)
            for data in (
                build_post(BODY_BYTES, 0),
                HEAD
                + b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
                % (BODY_BYTES, b'x' * BODY_BYTES),
            ):
                reader = await self.connect(data)
                answer = await self.read(reader, b'\r\n\r\n')
                self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
            small = await self.connect(build_post(100, 100))
            await self.wait_for(lambda: self.handled == 2)
            self.go_on.set()
            self.assertIn(b'100 done', await self.read(small))
            large = await self.connect(build_post(BODY_BYTES, BODY_BYTES))
            self.assertIn(b'300000 done', await self.read(large))
            await self.wait_for(lambda: self.memory.held_bytes == 0)
            self.assertTrue(self.memory.take(int(0.75 * LIMIT)))

        self.run_test(scenario)

    def test_whole_body_counts_as_often_as_it_is_held(self):
        async def scenario():
            await self.connect(build_post(100_000, 100_000))
            await self.wait_for(lambda: self.handled == 1)
            self.assertEqual(self.memory.held_bytes, 100_000 * KEPT_FACTOR)

        self.run_test(scenario)


class ConnectionTest(CrowdedListenerCase):
    """More connections than there may be."""

    max_connections = 16

    # Guards against clients that take all connections and ask for nothing.
    def test_idle_connections_make_room(self):
        async def scenario():
            self.go_on.set()
            for _ in range(60):
                await self.connect()
            reader = await self.connect(GET)
            self.assertIn(b'0 done', await self.read(reader))

        self.run_test(scenario)

    # Guards against requests in hand that are dropped for connections that came later.
    def test_requests_that_are_handled_stay(self):
        async def scenario():
            readers = [await self.connect(GET) for _ in range(10)]
            await self.wait_for(lambda: self.handled == 10)
            for _ in range(60):
                await self.connect()
            self.go_on.set()
            for reader in readers:
                self.assertIn(b'0 done', await self.read(reader))

        self.run_test(scenario)

    # Guards against a listener that hangs once all connections are in use.
    def test_connection_beyond_requests_that_are_handled_is_reset(self):
        async def scenario():
            for number in range(self.max_connections + 1):
                await self.connect(GET)
                await self.wait_for(lambda n=number: self.handled == n + 1)
            reader = await self.connect()
            with anyio.fail_after(WAIT_S), self.assertRaises(ConnectionResetError):
                await reader.read()
            # Guards against a reset for connections that have ended since.
            self.go_on.set()
            for writer in self.clients:
                writer.close()
            await self.wait_for(lambda: len(asyncio.all_tasks()) <= self.tasks_before)
            reader = await self.connect(GET)
            self.assertIn(b'0 done', await self.read(reader))

        self.run_test(scenario)

    # Guards against connections that stay, with all they hold, without their clients.
    def test_connection_ends_with_its_client(self):
        async def scenario():
            self.go_on.set()
            for data in (b'', GET, HEAD, build_post(100, 50)):
                await self.connect(data)
            await self.wait_for(lambda: self.handled == 1)
            for writer in self.clients:
                writer.close()
            await self.wait_for(lambda: len(asyncio.all_tasks()) <= self.tasks_before)

        self.run_test(scenario)


class FailingAcceptTest(CrowdedListenerCase):
    """Errors of accept."""

    def check(self, *errors):
        left = list(errors)

        async def scenario():
            self.go_on.set()
            for _ in range(len(errors) + 1):
                reader = await self.connect(GET)
                self.assertIn(b'0 done', await self.read(reader))
            self.assertEqual(left, [])

        real = asyncio.selector_events.BaseSelectorEventLoop.sock_accept

        async def fail(loop, sock):
            if left:
                raise OSError(left.pop(0), 'error of a test')
            return await real(loop, sock)

        with mock.patch.object(
            asyncio.selector_events.BaseSelectorEventLoop, 'sock_accept', fail
        ):
            self.run_test(scenario)

    # Guards against a listener that ends as it can open no further descriptor.
    def test_listener_goes_on_without_descriptors(self):
        self.check(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

    def test_listener_goes_on_after_an_error_of_a_connection(self):
        self.check(errno.EPROTO, errno.ENETUNREACH, errno.ECONNABORTED)

    # Guards against a node that runs on without a listener.
    def test_other_errors_end_the_listener(self):
        async def fail(loop, sock):
            raise OSError(errno.EBADF, 'error of a test')

        async def main():
            with anyio.fail_after(WAIT_S):
                await serve_app(Starlette(), listen('127.0.0.1', 0), ServerStop())

        with (
            mock.patch.object(
                asyncio.selector_events.BaseSelectorEventLoop, 'sock_accept', fail
            ),
            self.assertRaisesRegex(OSError, 'error of a test'),
        ):
            anyio.run(main)


if __name__ == '__main__':
    unittest.main()
