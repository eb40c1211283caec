"""Requests without end at the servers of the management interface."""

from __future__ import annotations

import contextlib
import time
import unittest

import anyio
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from coursepitch.errors import RequestError, RequestTooLargeError
from coursepitch.listeners import listen
from coursepitch.util.http import ServerStop, read_body, serve_app

#: Limits in seconds of the server under test, and what a busy machine may add.
IDLE_S = 0.5
BODY_S = 0.5
SLACK_S = 3.0

POST = b'POST /body HTTP/1.1\r\nHost: x\r\n'

#: First bytes, and those that go on without end, by kind.
KINDS = {
    'request line': (b'', b'x'),
    'header lines': (b'GET / HTTP/1.1\r\n', b'a: b\r\n'),
    'line breaks': (b'', b'\r\n'),
    'length': (POST + b'Content-Length: 60000\r\n\r\n', b'x'),
    'chunks': (POST + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'),
    'extension': (POST + b'Transfer-Encoding: chunked\r\n\r\n1;', b'x'),
}


async def answer_body(request):
    """Answer with the size of the body, or with an error."""
    try:
        body = await read_body(request, 65_536, BODY_S)
    except (RequestError, RequestTooLargeError):
        return Response(status_code=400, headers={'Connection': 'close'})
    return Response(str(len(body)))


class EndlessRequestTest(unittest.TestCase):
    """A server of the management interface ends them, and serves others beside."""

    # Guards against connections that a client keeps by a byte now and then, or many.
    def test_connection_ends_in_time(self):
        for kind, (start, unit) in KINDS.items():
            for pace_s in (0.0, 0.02):
                with self.subTest(kind=kind, pace_s=pace_s):
                    anyio.run(self.play, start, unit, pace_s)

    async def play(self, start, unit, pace_s):
        sock = listen('127.0.0.1', 0)
        port = sock.getsockname()[1]
        app = Starlette(routes=[Route('/body', answer_body, methods=['POST'])])
        stop = ServerStop()

        async def serve():
            await serve_app(app, sock, stop, idle_s=IDLE_S)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            stream = await anyio.connect_tcp('127.0.0.1', port)
            began_at = time.monotonic()
            with anyio.fail_after(IDLE_S + BODY_S + SLACK_S):
                await self.send_until_answered(stream, start, unit, pace_s)
                await self.check_other_is_served(port)
            self.assertLess(time.monotonic() - began_at, IDLE_S + BODY_S + SLACK_S)
            await anyio.aclose_forcefully(stream)
            stop.request(1.0)

    async def send_until_answered(self, stream, start, unit, pace_s):
        """Send until the server answers or closes."""
        data = unit if pace_s else unit * (65_536 // len(unit))
        async with anyio.create_task_group() as tasks:

            async def send():
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(start)
                    while True:
                        await stream.send(data)
                        await anyio.sleep(pace_s)

            tasks.start_soon(send)
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
            tasks.cancel_scope.cancel()

    async def check_other_is_served(self, port):
        async with await anyio.connect_tcp('127.0.0.1', port) as other:
            await other.send(POST + b'Content-Length: 3\r\n\r\nabc')
            self.assertIn(b' 200 ', await other.receive())


if __name__ == '__main__':
    unittest.main()
