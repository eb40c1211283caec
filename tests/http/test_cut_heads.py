"""Responses whose sender stops in the middle of the head and ends the connection."""

from __future__ import annotations

import socket
import struct
import unittest

import anyio
import httpx
from anyio.abc import SocketAttribute

from coursepitch.http import ConnectionPool, ExchangeError
from coursepitch.util.bounded_http import BoundedTransport, open_reply, read_object

REQUEST_HEADERS = ((b'Host', b'x'),)

#: Heads with what follows them; none of the lengths is that of a cut head's body.
HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 40\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: r\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: r\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 200 OK\nContent-Length: 0\n\n',
    b'HTTP/1.0 200 OK\r\nX-Request-Id: r\r\n\r\n',
    b'HTTP/1.1 204 No Content\r\nX-Request-Id: r\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
)

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class Sender:
    """A target that answers with a part of a head, in two pieces, and ends.

    :param resets: whether it ends with a reset.
    :param before: whole responses to earlier requests of the connection.
    """

    def __init__(self, data, *, resets, before=0):
        self.data = data
        self.resets = resets
        self.before = before

    async def serve(self, stream):
        async with stream:
            for _ in range(self.before):
                await self._read_request(stream)
                await stream.send(WHOLE)
            await self._read_request(stream)
            middle = len(self.data) // 2
            for piece in (self.data[:middle], self.data[middle:]):
                if piece:
                    await stream.send(piece)
                # The first piece is read by itself.
                for _ in range(5):
                    await anyio.sleep(0)
            if self.resets:
                sock = stream.extra(SocketAttribute.raw_socket)
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _read_request(self, stream):
        data = b''
        while b'\r\n\r\n' not in data:
            data += await stream.receive()


class CutHeadTest(unittest.TestCase):
    """A head that ends anywhere is no response, with no body or a short one.

    Guards against responses that clients take for whole ones.
    """

    def check_all(self, ask, **options):
        anyio.run(lambda: self.play_all(ask, **options))

    async def play_all(self, ask, **options):
        for head in HEADS:
            for end in range(len(head)):
                for resets in (False, True):
                    sender = Sender(head[:end], resets=resets, **options)
                    try:
                        await self.play(sender, ask)
                    except Exception as error:
                        raise AssertionError(f'{head[:end]}, {resets=}') from error

    async def play(self, sender, ask):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, sender.serve)
            with anyio.fail_after(10.0):
                await ask(f'127.0.0.1:{port}')
            tasks.cancel_scope.cancel()
        await listener.aclose()

    async def fetch(self, pool, address, method=b'GET'):
        connection = await pool.acquire(address)
        response = await pool.exchange(connection, method, b'/', REQUEST_HEADERS, b'')
        try:
            return await response.read_whole(1_000)
        finally:
            response.release()

    def test_instance_on_a_new_connection(self):
        async def ask(address):
            with self.assertRaises(ExchangeError):
                await self.fetch(ConnectionPool(), address)

        self.check_all(ask)

    def test_instance_that_is_asked_for_the_head_alone(self):
        async def ask(address):
            with self.assertRaises(ExchangeError):
                await self.fetch(ConnectionPool(), address, b'HEAD')

        self.check_all(ask)

    def test_instance_on_a_connection_that_is_used_again(self):
        async def ask(address):
            pool = ConnectionPool()
            self.assertEqual(await self.fetch(pool, address), b'{}')
            with self.assertRaises(ExchangeError):
                await self.fetch(pool, address)

        self.check_all(ask, before=1)

    def test_engine_or_service_of_the_openai_side(self):
        async def ask(address):
            transport = BoundedTransport(httpx.Limits())
            async with httpx.AsyncClient(transport=transport) as client:
                request = client.build_request('GET', f'http://{address}/')
                with self.assertRaises(httpx.HTTPError):
                    async with open_reply(client, request, 5.0) as reply:
                        await read_object(reply, 1_000)

        self.check_all(ask)
