"""Bytes of clients at the listeners that serve ASGI applications."""

from __future__ import annotations

import contextlib
import ssl
import time
import unittest
from unittest import mock

import anyio
import anyio.lowlevel
import trustme
from anyio.streams.tls import TLSAttribute
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from coursepitch.errors import RequestError, RequestTooLargeError
from coursepitch.listeners import listen
from coursepitch.util.http import (
    ServerStop,
    StreamedResponse,
    TrackedResponse,
    read_body,
    run_until_disconnect,
    serve_app,
)

#: Limits in seconds of the server under test, and what a busy machine may add.
IDLE_S = 0.5
BODY_S = 30.0
SLACK_S = 5.0

#: Seconds for which a server that stops waits for its connections.
STOP_S = 30.0

#: Largest processor time in seconds for a connection.
WORK_S = 0.5

SOUND = b'GET /body HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST /body HTTP/1.1\r\nHost: x\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
HEADER = b'A:' + b' ' * 16_000 + b'\x00b\r\n\r\n'
EXTENSION = b'1;' + b' ' * 30_000 + b'\nx\r\n'
TRAILER = b'A: ' + b' ' * 16_000 + b'\x00\r\n\r\n'

#: Requests that the parser would take seconds for, in the parts that are sent.
QUADRATIC = {
    'head': (POST + HEADER,),
    'head in parts': (POST, HEADER[:9000], HEADER[9000:]),
    'head behind a request': (SOUND + POST + HEADER,),
    'head behind requests': (SOUND * 20 + POST + HEADER,),
    'extension': (CHUNKED + EXTENSION,),
    'extension in parts': (CHUNKED, EXTENSION[:9000], EXTENSION[9000:]),
    'extension behind a chunk': (CHUNKED + b'1\r\nx\r\n' + EXTENSION,),
    'trailer': (CHUNKED + b'0\r\n' + TRAILER,),
    'trailer in parts': (CHUNKED + b'0\r\n', TRAILER[:9000], TRAILER[9000:]),
    'trailer behind a request': (SOUND + CHUNKED + b'0\r\n' + TRAILER,),
}


async def answer_body(request):
    """Answer with the size of the body, or with an error."""
    try:
        body = await read_body(request, 65_536, BODY_S)
    except (RequestError, RequestTooLargeError):
        return Response(status_code=400, headers={'Connection': 'close'})
    return Response(str(len(body)))


@contextlib.asynccontextmanager
async def open_server(answer=answer_body, **options):
    """Serve an application; yield a function that connects to it.

    :param answer: its handler of requests.
    """
    sock = listen('127.0.0.1', 0)
    port = sock.getsockname()[1]
    route = Route('/body', answer, methods=['GET', 'POST'])
    stop = ServerStop()

    async def serve():
        app = Starlette(routes=[route])
        await serve_app(app, sock, stop, idle_s=IDLE_S, **options)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        yield lambda **tls: anyio.connect_tcp('127.0.0.1', port, **tls)
        stop.request(STOP_S)


@contextlib.contextmanager
def make_certificate():
    """Yield the TLS context of a client, and the paths of a certificate and its key."""
    authority = trustme.CA()
    certificate = authority.issue_cert('localhost')
    tls = ssl.create_default_context()
    authority.configure_trust(tls)
    with (
        certificate.cert_chain_pems[0].tempfile() as chain,
        certificate.private_key_pem.tempfile() as key,
    ):
        yield tls, (chain, key)


async def read_until_closed(stream):
    """Return what a connection receives until the server closes it."""
    received = b''
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received += await stream.receive()
    return received


async def send_parts(stream, parts):
    """Send parts one by one, until the server closes the connection."""
    with contextlib.suppress(anyio.BrokenResourceError):
        for part in parts:
            await stream.send(part)
            await anyio.wait_all_tasks_blocked()


class QuadraticLineTest(unittest.TestCase):
    """Lines that no parser accepts are refused in little time."""

    # Guards against seconds in one turn, before the key of a client is checked.
    def test_line_of_spaces_is_refused_at_once(self):
        for kind, parts in QUADRATIC.items():
            with self.subTest(kind):
                began_at = time.process_time()
                received = anyio.run(self.send, parts)
                self.assertLess(time.process_time() - began_at, WORK_S)
                sound = b''.join(parts).count(SOUND)
                self.assertEqual(received.count(b'HTTP/1.1 200'), sound)
                self.assertEqual(received.count(b'HTTP/1.1 '), sound + 1)
                self.assertIn(b'HTTP/1.1 400', received)

    async def send(self, parts):
        with anyio.fail_after(SLACK_S):
            async with open_server() as connect, await connect() as stream:
                await send_parts(stream, parts)
                return await read_until_closed(stream)

    def test_line_of_spaces_is_refused_with_tls(self):
        async def send(tls, paths):
            async with open_server(certificate=paths[0], key=paths[1]) as connect:
                stream = await connect(
                    ssl_context=tls,
                    tls_hostname='localhost',
                    tls_standard_compatible=False,
                )
                async with stream:
                    await stream.send(POST + HEADER)
                    return await read_until_closed(stream)

        with make_certificate() as (tls, paths):
            began_at = time.process_time()
            received = anyio.run(send, tls, paths)
            self.assertLess(time.process_time() - began_at, WORK_S)
        self.assertIn(b'HTTP/1.1 400', received)


class LimitTest(unittest.TestCase):
    """A connection is bounded in bytes and in time."""

    def test_chunked_body_is_read(self):
        async def send():
            async with open_server() as connect, await connect() as stream:
                body = b'1;a=b\r\nx\r\n' * 500 + b'3\r\n\x00\n\r\r\n' + b'0\r\n\r\n'
                await send_parts(stream, (CHUNKED + body, SOUND))
                return await read_until_closed(stream)

        received = anyio.run(send)
        self.assertIn(b'\r\n\r\n503HTTP/1.1 200', received)
        self.assertTrue(received.endswith(b'\r\n\r\n0'))

    def test_head_above_the_limit_is_refused(self):
        async def send():
            server = open_server(header_limit=4096)
            async with server as connect, await connect() as stream:
                await stream.send(POST + b'A: b\r\n' * 2000 + b'\r\n')
                return await read_until_closed(stream)

        self.assertIn(b'HTTP/1.1 431', anyio.run(send))

    def test_framing_without_content_is_refused(self):
        async def send():
            async with open_server() as connect, await connect() as stream:
                chunk = b'1;' + b'a' * 4000 + b'\r\nx\r\n'
                # The last one exceeds the limit; bytes after it would reset the answer.
                await send_parts(stream, (CHUNKED, *[chunk] * 9))
                with anyio.fail_after(SLACK_S):
                    return await read_until_closed(stream)

        self.assertIn(b'HTTP/1.1 400', anyio.run(send))

    # Guards against connections that are held by a header line now and then.
    def test_slow_head_is_ended_on_a_connection_that_was_used(self):
        async def send():
            async with open_server() as connect, await connect() as stream:
                await stream.send(SOUND)
                received = await stream.receive()
                async with anyio.create_task_group() as tasks:

                    async def dribble():
                        await send_parts(stream, (SOUND[:-2],))
                        with contextlib.suppress(anyio.BrokenResourceError):
                            while True:
                                await anyio.sleep(IDLE_S / 10)
                                await stream.send(b'A: b\r\n')

                    tasks.start_soon(dribble)
                    with anyio.fail_after(IDLE_S + SLACK_S):
                        received += await read_until_closed(stream)
                    tasks.cancel_scope.cancel()
                return received

        self.assertEqual(anyio.run(send).count(b'HTTP/1.1 '), 1)


class UnreadStreamTest(unittest.TestCase):
    """A client that does not read a stream is disconnected."""

    def stall(self, part, at, *deadline):
        """Return the seconds until a stream ends whose client reads up to a message.

        :param at: number of the first message that is not read.
        """
        ended, unread, sent = [], [], []

        async def produce():
            while True:
                yield part

        async def wait_for_client():
            return await anyio.sleep_forever()

        async def send(message):
            sent.append(message)
            if len(sent) > at:
                await anyio.sleep_forever()
            await anyio.lowlevel.checkpoint()

        async def play():
            finish = anyio.lowlevel.checkpoint
            stream = StreamedResponse(produce(), 200, {}, finish, *deadline)
            response = TrackedResponse(
                stream, lambda: ended.append(True), lambda: unread.append(True), 0.2
            )
            began_at = time.monotonic()
            with anyio.fail_after(SLACK_S), self.assertRaises(Exception) as caught:
                await response({'http_version': '1.1'}, wait_for_client, send)
            self.assertNotIsInstance(caught.exception, TimeoutError)
            return time.monotonic() - began_at

        elapsed_s = anyio.run(play)
        self.assertEqual((ended, unread), ([True], [True]))
        return elapsed_s

    # Guards against streams that a client holds for ever without a deadline.
    def test_stream_without_a_deadline_ends(self):
        for at in (0, 1, 5):
            with self.subTest(at):
                self.assertGreaterEqual(self.stall(b'x', at), 0.2)

    def test_large_part_may_take_the_time_of_a_slow_client(self):
        self.assertGreaterEqual(self.stall(b'x' * 8192, 1), 1.2)

    # Guards against a last event after the deadline that is never read.
    def test_last_part_of_a_stream_with_a_deadline_ends(self):
        self.stall(b'x', 2, 0.1, lambda: b'x')


class ProtocolTest(unittest.TestCase):
    """Clients are served by HTTP/1.1, whatever they ask for."""

    async def send(self, *parts):
        with anyio.fail_after(SLACK_S):
            async with open_server() as connect, await connect() as stream:
                await send_parts(stream, parts)
                return await read_until_closed(stream)

    # Guards against a parser without bounds: turns of 0.2 s by pings, without a key.
    def test_preface_of_another_version_is_refused(self):
        ping = b'\x00\x00\x08\x06' + b'\x00' * 13
        received = anyio.run(self.send, b'PRI * HTTP/2.0\r\n\r\n', b'SM\r\n\r\n', ping)
        self.assertRegex(received, rb'^HTTP/1\.1 4')
        self.assertNotIn(b' 101 ', received)

    def test_request_to_change_the_protocol_is_answered(self):
        upgrade = b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
        upgrade += b'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n\r\n'
        received = anyio.run(self.send, SOUND[:-2] + upgrade)
        self.assertRegex(received, rb'^HTTP/1\.1 200')

    def test_tls_offers_no_other_version(self):
        with make_certificate() as (tls, paths):
            tls.set_alpn_protocols(['h2', 'http/1.1'])

            async def connect_once():
                async with open_server(certificate=paths[0], key=paths[1]) as connect:
                    stream = await connect(ssl_context=tls, tls_hostname='localhost')
                    async with stream:
                        return stream.extra(TLSAttribute.alpn_protocol)

            self.assertEqual(anyio.run(connect_once), 'http/1.1')


class UnreadConnectionTest(unittest.TestCase):
    """A connection that the server closes does not wait for its client."""

    # Guards against handlers that run on after the connection of their request.
    def test_handler_of_a_malformed_request_ends(self):
        async def answer(request):
            await run_until_disconnect(request.receive, anyio.sleep_forever)
            return Response()

        async def send():
            with anyio.fail_after(SLACK_S):
                async with open_server(answer) as connect, await connect() as stream:
                    await send_parts(stream, (CHUNKED, b'z\r\n'))
                    return await read_until_closed(stream)

        self.assertIn(b'HTTP/1.1 400', anyio.run(send))

    # Guards against connections that stay open until their client reads.
    @mock.patch('coursepitch.util.asgi_server.UNREAD_CLOSE_TIMEOUT_S', 0.1)
    def test_connection_of_a_client_that_does_not_read_is_ended(self):
        async def produce():
            while True:
                yield b'x' * 65_536

        async def answer(request):
            response = StreamedResponse(
                produce(), 200, {}, anyio.lowlevel.checkpoint, 0.2
            )
            return TrackedResponse(response, lambda: None, lambda: None, 0.2)

        async def leave_unread():
            with anyio.fail_after(SLACK_S):
                async with open_server(answer) as connect, await connect() as stream:
                    await stream.send(SOUND)
                    with self.assertRaises(anyio.BrokenResourceError):
                        while True:
                            await stream.send(b'x' * 65_536)
                # Here the server has stopped, which waits for its connections.

        anyio.run(leave_unread)


if __name__ == '__main__':
    unittest.main()
