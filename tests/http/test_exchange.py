"""Tests of the HTTP/1.1 client and server on sockets, with misbehaving peers."""

from __future__ import annotations

import asyncio
import socket
import unittest

import anyio
import anyio.lowlevel

from coursepitch.http import (
    ConnectionPool,
    ConnectionRules,
    ExchangeError,
    HttpServer,
    NoConnectionError,
)
from coursepitch.listeners import listen

HEADERS = ((b'Host', b'x'),)
COMPLETE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def run_with_target(responses, run):
    """Run a test against a target that sends prepared bytes for each request.

    :param responses: bytes for each request; ``None`` closes without a response.
    """
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    seen = []

    async def serve(stream):
        async with stream:
            data = b''
            while True:
                try:
                    data += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                while b'\r\n\r\n' in data:
                    head, _, data = data.partition(b'\r\n\r\n')
                    seen.append(head)
                    response = responses.pop(0)
                    if response is None:
                        return
                    await stream.send(response)
                    if b'Content-Length' not in response:
                        return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        try:
            return await run(f'127.0.0.1:{port}', seen)
        finally:
            tasks.cancel_scope.cancel()


async def fetch(pool, address, **options):
    """Send one request; return status and body of the response."""
    connection = await pool.acquire(address, **options)
    response = await pool.exchange(connection, b'GET', b'/a%2Fb?c', HEADERS, b'')
    try:
        return response.status, await response.read_whole(1000)
    finally:
        response.release()


class ClientTest(unittest.TestCase):
    """The client distinguishes requests that were sent from those that were not."""

    def run_test(self, responses, run):
        return anyio.run(run_with_target, responses, run)

    def test_connection_is_reused_and_the_target_is_unmodified(self):
        async def run(address, seen):
            pool = ConnectionPool()
            self.assertFalse(pool.has_idle(address))
            for _ in range(2):
                self.assertEqual(await fetch(pool, address), (200, b'ok'))
                self.assertTrue(pool.has_idle(address))
            self.assertEqual(pool.count_open(address), 1)
            return seen

        seen = self.run_test([COMPLETE_RESPONSE, COMPLETE_RESPONSE], run)
        self.assertTrue(seen[0].startswith(b'GET /a%2Fb?c HTTP/1.1'))

    def test_idle_connection_whose_time_is_over_does_not_count(self):
        async def run(address, seen):
            now = [100.0]
            pool = ConnectionPool(lambda: now[0])
            await fetch(pool, address)
            before = pool.has_idle(address)
            now[0] += 60.0
            return before, pool.has_idle(address)

        self.assertEqual(self.run_test([COMPLETE_RESPONSE], run), (True, False))

    def test_surplus_bytes_close_the_connection_and_are_discarded(self):
        async def run(address, seen):
            pool = ConnectionPool()
            await fetch(pool, address)
            return await fetch(pool, address)

        surplus = (
            COMPLETE_RESPONSE + b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
        )
        self.assertEqual(self.run_test([surplus, COMPLETE_RESPONSE], run), (200, b'ok'))

    def test_truncated_response_is_an_error(self):
        async def run(address, seen):
            with self.assertRaises(ExchangeError):
                await fetch(ConnectionPool(), address)

        cut = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'
        self.run_test([cut], run)

    def test_malformed_response_is_an_error(self):
        async def run(address, seen):
            with self.assertRaises(ExchangeError):
                await fetch(ConnectionPool(), address)

        self.run_test([b'what?\r\n\r\n'], run)

    def test_close_without_a_response_reports_a_sent_request(self):
        async def run(address, seen):
            with self.assertRaises(ExchangeError):
                await fetch(ConnectionPool(), address)

        self.run_test([None], run)

    def test_response_without_length_ends_with_its_connection(self):
        async def run(address, seen):
            return await fetch(ConnectionPool(), address)

        response = b'HTTP/1.1 200 OK\r\n\r\nall of it'
        self.assertEqual(self.run_test([response], run), (200, b'all of it'))

    def test_closed_port_reports_an_unsent_request(self):
        async def run():
            sock = listen('127.0.0.1', 0)
            port = sock.getsockname()[1]
            sock.close()
            await ConnectionPool().acquire(f'127.0.0.1:{port}')

        with self.assertRaises(NoConnectionError):
            anyio.run(run)

    def test_connection_limit_is_enforced(self):
        async def run(address, seen):
            pool = ConnectionPool()
            first = await pool.acquire(address, limit=1)
            with self.assertRaises(NoConnectionError):
                await pool.acquire(address, limit=1)
            pool.discard(first)
            pool.discard(await pool.acquire(address, limit=1))

        self.run_test([], run)


async def run_with_server(handle, run, rules=None):
    """Run a test against a server."""
    sock = listen('127.0.0.1', 0)
    port = sock.getsockname()[1]
    limits = rules or ConnectionRules()
    server = HttpServer(handle, lambda: limits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, sock)
        stream = await anyio.connect_tcp('127.0.0.1', port)
        try:
            return await run(server, stream)
        finally:
            await anyio.aclose_forcefully(stream)
            tasks.cancel_scope.cancel()


async def read_all(stream):
    """Return all bytes until the other side closes."""
    data = b''
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data


async def echo(request, reply):
    """Respond with the target and the body of the request."""
    await reply.send_whole(200, (), request.target + b' ' + request.body)


class ServerTest(unittest.TestCase):
    """The server handles valid, malformed and interrupted requests correctly."""

    def run_test(self, handle, run, rules=None):
        return anyio.run(run_with_server, handle, run, rules)

    # Guards against requests that are read and closed without a byte.
    def test_whole_response_to_a_request_for_the_head_has_no_body(self):
        async def run(server, stream):
            await stream.send(b'HEAD /1 HTTP/1.1\r\nHost: x\r\n\r\n')
            await stream.send(
                b'GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
            )
            return await read_all(stream)

        data = self.run_test(echo, run)
        self.assertEqual(data.count(b'HTTP/1.1 200 '), 2)
        self.assertEqual(data.count(b'Content-Length: 3\r\n'), 2)
        self.assertNotIn(b'/1 ', data)

    def test_pipelined_requests_are_answered_in_order(self):
        async def run(server, stream):
            one = b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'
            two = b'POST /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            await stream.send(one + two + b'Content-Length: 3\r\n\r\nabc')
            return await read_all(stream)

        data = self.run_test(echo, run)
        self.assertLess(data.index(b'/1 '), data.index(b'/2 abc'))

    def test_connection_that_is_not_accepted_is_reset_unread(self):
        handled = []

        async def handle(request, reply):
            handled.append(request.target)
            await reply.send_whole(200, (), b'')

        async def run(server, stream):
            await stream.send(b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n')
            await stream.receive()
            server.accepts = lambda: False
            address = stream.extra(anyio.abc.SocketAttribute.remote_address)
            with self.assertRaises((OSError, anyio.BrokenResourceError)):
                async with await anyio.connect_tcp(*address) as refused:
                    await refused.send(b'GET /2 HTTP/1.1\r\nHost: x\r\n\r\n')
                    await refused.receive()
            # Open connections go on.
            await stream.send(b'GET /3 HTTP/1.1\r\nHost: x\r\n\r\n')
            return await stream.receive()

        self.assertIn(b' 200 ', self.run_test(handle, run))
        self.assertEqual(handled, [b'/1', b'/3'])

    # Guards against connections that wait to be accepted one after the other.
    def test_connections_that_wait_are_accepted_together(self):
        async def run(server, stream):
            address = stream.extra(anyio.abc.SocketAttribute.remote_address)
            loop = asyncio.get_running_loop()
            clients = [socket.socket() for _ in range(20)]
            for client in clients:
                client.connect(address)
            await loop.run_in_executor(None, lambda: None)
            # One after the other, each would take several passes.
            for _ in range(len(clients) // 2):
                await anyio.lowlevel.checkpoint()
            count = len(server.connections)
            for client in clients:
                client.close()
            return count

        self.assertGreaterEqual(self.run_test(echo, run), 20)

    def test_body_above_the_limit_is_413(self):
        async def run(server, stream):
            await stream.send(
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
            )
            await stream.send(b'123456789')
            return await read_all(stream)

        data = self.run_test(echo, run, ConnectionRules(body_bytes=8))
        self.assertIn(b' 413 ', data)

    def test_slow_head_is_408(self):
        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHo')
            return await read_all(stream)

        data = self.run_test(echo, run, ConnectionRules(head_timeout_s=0.05))
        self.assertIn(b' 408 ', data)

    def test_conflicting_framing_headers_allow_no_request_smuggling(self):
        targets = []

        async def record(request, reply):
            targets.append(request.target)
            await reply.send_whole(200, (), b'')

        async def run(server, stream):
            head = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
            await stream.send(
                head
                + b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
                + b'0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            return await read_all(stream)

        self.run_test(record, run)
        self.assertNotIn(b'/smuggled', targets)

    def test_disconnecting_client_cancels_its_handler(self):
        left = anyio.Event()

        async def wait(request, reply):
            try:
                await anyio.sleep_forever()
            finally:
                left.set()

        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            while not server.busy_count:
                await anyio.sleep(0)
            await stream.aclose()
            with anyio.fail_after(5):
                await left.wait()

        self.run_test(wait, run)

    def test_aborted_response_does_not_look_complete(self):
        async def cut(request, reply):
            await reply.start(200, ())
            await reply.send(b'half')
            reply.abort()

        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            return await read_all(stream)

        data = self.run_test(cut, run)
        self.assertFalse(data.endswith(b'0\r\n\r\n'))

    def read_end(self, handle, leave=None):
        """Return what an HTTP/1.0 client reads, and whether it ends regularly.

        :param leave: called once a part of the body has arrived.
        """

        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.0\r\nHost: x\r\n\r\n')
            data = b''
            try:
                while True:
                    data += await stream.receive()
                    if leave is not None and data.endswith(b'half'):
                        leave(server)
            except anyio.EndOfStream:
                return data, True
            except anyio.BrokenResourceError:
                return data, False

        return self.run_test(handle, run)

    # Guards against broken responses that look complete to clients of HTTP/1.0.
    def test_response_without_length_or_chunks_that_breaks_off_ends_with_a_reset(self):
        async def abort(request, reply):
            await reply.start(200, ())
            await reply.send(b'half')
            reply.abort()

        async def forget(request, reply):
            await reply.start(200, ())
            await reply.send(b'half')

        async def fail(request, reply):
            await reply.start(200, ())
            await reply.send(b'half')
            raise RuntimeError('a fault')

        for handle in (abort, forget, fail):
            with self.subTest(handle=handle.__name__):
                self.assertFalse(self.read_end(handle)[1])

    # Guards against the same for responses that are under way when a process ends.
    def test_response_without_length_or_chunks_ends_with_a_reset_if_just_closed(self):
        async def wait(request, reply):
            await reply.start(200, ())
            await reply.send(b'half')
            await anyio.sleep_forever()

        def close_all(server):
            for connection in server.connections:
                connection.stream.close()

        self.assertFalse(self.read_end(wait, close_all)[1])

    def test_whole_response_without_length_or_chunks_ends_regularly(self):
        async def send(request, reply):
            await reply.start(200, ())
            await reply.send(b'all ' * 50_000)
            await reply.end()

        data, regular = self.read_end(send)
        self.assertTrue(regular)
        self.assertTrue(data.endswith(b'all ' * 50_000))

    def test_stopping_server_responds_and_closes(self):
        async def run(server, stream):
            server.stopping = True
            await stream.send(b'GET /last HTTP/1.1\r\nHost: x\r\n\r\n')
            return await read_all(stream)

        data = self.run_test(echo, run)
        self.assertIn(b'connection: close', data.lower())
        self.assertIn(b'/last', data)

    def test_draining_server_responds_with_connection_close(self):
        async def run(server, stream):
            server.is_draining = lambda: True
            await stream.send(b'GET /on HTTP/1.1\r\nHost: x\r\n\r\n')
            return await read_all(stream)

        data = self.run_test(echo, run)
        self.assertIn(b'connection: close', data.lower())
        self.assertIn(b'/on', data)

    def test_idle_timeout_follows_the_current_limits(self):
        async def run(server, stream):
            server.read_rules = lambda: ConnectionRules(idle_timeout_s=0.01)
            return await read_all(stream)

        self.assertEqual(self.run_test(echo, run), b'')

    # Guards against a body that is read up to the limit although its length is above.
    def test_length_above_the_limit_is_413_before_the_body(self):
        async def run(server, stream):
            await stream.send(
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
            )
            with anyio.move_on_after(5.0):
                return await read_all(stream)
            return b''

        data = self.run_test(echo, run, ConnectionRules(body_bytes=8))
        self.assertIn(b' 413 ', data)

    def test_failing_handler_closes_only_its_connection(self):
        async def fail(request, reply):
            if request.target == b'/bad':
                raise RuntimeError('a fault')
            await echo(request, reply)

        async def run(server, stream):
            other = await anyio.connect_tcp(
                '127.0.0.1', stream.extra(anyio.abc.SocketAttribute.remote_port)
            )
            await other.send(b'GET /bad HTTP/1.1\r\nHost: x\r\n\r\n')
            self.assertEqual(await read_all(other), b'')
            await stream.send(
                b'GET /good HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
            )
            return await read_all(stream)

        self.assertIn(b'/good', self.run_test(fail, run))


class InvalidAddressTest(unittest.TestCase):
    """An address that no machine can have is one that nobody answers at."""

    def test_connection_attempt_fails(self):
        for address in (
            '127.0.0.1:65536',
            '127.0.0.1:' + '9' * 41,
            '127.0.0.1:' + '9' * 5_000,
            '127.0.0.1:x',
            'h' * 70 + '.example:80',
            'a\0b:80',
        ):
            with self.subTest(address[:20]), self.assertRaises(NoConnectionError):
                anyio.run(ConnectionPool().acquire, address)
