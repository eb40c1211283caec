"""Both ends of HTTP/1.1 on sockets, with peers that misbehave."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.http import (
    ConnectionPool,
    ConnectionRules,
    ExchangeError,
    HttpServer,
    NoConnectionError,
)
from coursepitch.listeners import listen

HEADERS = ((b'Host', b'x'),)
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def play_target(answers, run):
    """Run a test against a target that sends given bytes to each request.

    :param answers: bytes by request; ``None`` closes without an answer.
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
                    answer = answers.pop(0)
                    if answer is None:
                        return
                    await stream.send(answer)
                    if b'Content-Length' not in answer:
                        return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        try:
            return await run(f'127.0.0.1:{port}', seen)
        finally:
            tasks.cancel_scope.cancel()


async def fetch(pool, address, **options):
    """Return status and body of one request."""
    connection = await pool.acquire(address, **options)
    answer = await pool.exchange(connection, b'GET', b'/a%2Fb?c', HEADERS, b'')
    try:
        return answer.status, await answer.read_whole(1000)
    finally:
        answer.release()


class ClientTest(unittest.TestCase):
    """The client tells what was sent from what was not."""

    def play(self, answers, run):
        return anyio.run(play_target, answers, run)

    def test_connection_is_used_again_and_the_target_is_unaltered(self):
        async def run(address, seen):
            pool = ConnectionPool()
            for _ in range(2):
                self.assertEqual(await fetch(pool, address), (200, b'ok'))
            self.assertEqual(pool.count_open(address), 1)
            return seen

        seen = self.play([WHOLE, WHOLE], run)
        self.assertTrue(seen[0].startswith(b'GET /a%2Fb?c HTTP/1.1'))

    def test_surplus_bytes_end_the_connection_and_reach_nobody(self):
        async def run(address, seen):
            pool = ConnectionPool()
            await fetch(pool, address)
            return await fetch(pool, address)

        surplus = WHOLE + b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
        self.assertEqual(self.play([surplus, WHOLE], run), (200, b'ok'))

    def test_cut_answer_is_not_whole(self):
        async def run(address, seen):
            with self.assertRaises(ExchangeError):
                await fetch(ConnectionPool(), address)

        cut = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab'
        self.play([cut], run)

    def test_bytes_that_are_no_answer_are_an_error(self):
        async def run(address, seen):
            with self.assertRaises(ExchangeError):
                await fetch(ConnectionPool(), address)

        self.play([b'what?\r\n\r\n'], run)

    def test_close_without_an_answer_says_that_it_was_sent(self):
        async def run(address, seen):
            with self.assertRaises(ExchangeError):
                await fetch(ConnectionPool(), address)

        self.play([None], run)

    def test_answer_without_length_ends_with_its_connection(self):
        async def run(address, seen):
            return await fetch(ConnectionPool(), address)

        answer = b'HTTP/1.1 200 OK\r\n\r\nall of it'
        self.assertEqual(self.play([answer], run), (200, b'all of it'))

    def test_dead_port_says_that_nothing_was_sent(self):
        async def run():
            sock = listen('127.0.0.1', 0)
            port = sock.getsockname()[1]
            sock.close()
            await ConnectionPool().acquire(f'127.0.0.1:{port}')

        with self.assertRaises(NoConnectionError):
            anyio.run(run)

    def test_bound_of_connections_is_kept(self):
        async def run(address, seen):
            pool = ConnectionPool()
            first = await pool.acquire(address, limit=1)
            with self.assertRaises(NoConnectionError):
                await pool.acquire(address, limit=1)
            pool.discard(first)
            pool.discard(await pool.acquire(address, limit=1))

        self.play([], run)


async def play_server(handle, run, rules=None):
    """Run a test against a server."""
    sock = listen('127.0.0.1', 0)
    port = sock.getsockname()[1]
    usual = rules or ConnectionRules()
    server = HttpServer(handle, lambda: usual)
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
    """Answer with target and body."""
    await reply.send_whole(200, (), request.target + b' ' + request.body)


class ServerTest(unittest.TestCase):
    """The server's promises to clients."""

    def play(self, handle, run, rules=None):
        return anyio.run(play_server, handle, run, rules)

    def test_two_requests_in_one_write_are_answered_in_order(self):
        async def run(server, stream):
            one = b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'
            two = b'POST /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            await stream.send(one + two + b'Content-Length: 3\r\n\r\nabc')
            return await read_all(stream)

        data = self.play(echo, run)
        self.assertLess(data.index(b'/1 '), data.index(b'/2 abc'))

    def test_body_beyond_the_limit_is_413(self):
        async def run(server, stream):
            await stream.send(
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
            )
            await stream.send(b'123456789')
            return await read_all(stream)

        data = self.play(echo, run, ConnectionRules(body_bytes=8))
        self.assertIn(b' 413 ', data)

    def test_slow_head_is_408(self):
        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHo')
            return await read_all(stream)

        data = self.play(echo, run, ConnectionRules(head_timeout_s=0.05))
        self.assertIn(b' 408 ', data)

    def test_both_framings_are_read_by_one_rule_and_smuggle_nothing(self):
        targets = []

        async def note(request, reply):
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

        self.play(note, run)
        self.assertNotIn(b'/smuggled', targets)

    def test_client_that_leaves_cancels_its_handler(self):
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

        self.play(wait, run)

    def test_aborted_answer_does_not_look_complete(self):
        async def cut(request, reply):
            await reply.start(200, ())
            await reply.send(b'half')
            reply.abort()

        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            return await read_all(stream)

        data = self.play(cut, run)
        self.assertFalse(data.endswith(b'0\r\n\r\n'))

    def test_stopping_server_answers_and_closes(self):
        async def run(server, stream):
            server.stopping = True
            await stream.send(b'GET /last HTTP/1.1\r\nHost: x\r\n\r\n')
            return await read_all(stream)

        data = self.play(echo, run)
        self.assertIn(b'connection: close', data.lower())
        self.assertIn(b'/last', data)

    def test_fading_server_answers_and_sends_clients_elsewhere(self):
        async def run(server, stream):
            server.is_fading = lambda: True
            await stream.send(b'GET /on HTTP/1.1\r\nHost: x\r\n\r\n')
            return await read_all(stream)

        data = self.play(echo, run)
        self.assertIn(b'connection: close', data.lower())
        self.assertIn(b'/on', data)

    def test_idle_connection_is_kept_as_long_as_the_rules_of_that_moment_say(self):
        async def run(server, stream):
            server.read_rules = lambda: ConnectionRules(idle_timeout_s=0.01)
            return await read_all(stream)

        self.assertEqual(self.play(echo, run), b'')

    def test_fault_of_a_handler_ends_only_its_connection(self):
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

        self.assertIn(b'/good', self.play(fail, run))
