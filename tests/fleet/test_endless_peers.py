"""Peers that send bytes without end on their links and tunnels."""

from __future__ import annotations

import contextlib
import time
import unittest
from unittest import mock

import anyio
import anyio.lowlevel
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed
from websockets.frames import Frame

from coursepitch.fleet.links import MAX_MESSAGE_BYTES
from coursepitch.fleet.tunnel_streams import (
    CONNECTED,
    NODE_HEADER,
    connect_through_peer,
)
from coursepitch.fleet.tunnels import TUNNEL_PATH
from coursepitch.listeners import listen
from tests.fleet.peer_frames import (
    BINARY,
    CONTINUATION,
    PING,
    PONG,
    build_frame,
    build_request,
)
from tests.fleet.test_links import Node
from tests.fleet.test_tunnels import TunnelCase

#: Timeout in seconds for any expected condition.
WAIT_S = 20.0

#: Frames that may be parsed in one turn of the event loop.
MAX_FRAMES = 400


@contextlib.asynccontextmanager
async def counting_frames():
    """Yield a list with the frames that were parsed in each pass of the event loop."""
    counts = [0]
    parse = Frame.parse.__func__

    def count_frame(cls, *arguments, **options):
        counts[-1] += 1
        return parse(cls, *arguments, **options)

    async def count_passes():
        while True:
            await anyio.lowlevel.checkpoint()
            counts.append(0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(count_passes)
        with mock.patch.object(Frame, 'parse', classmethod(count_frame)):
            yield counts
        tasks.cancel_scope.cancel()


class EndlessLinkTest(unittest.TestCase):
    """A peer that sends without end holds neither the event loop nor its link."""

    def flood(self, frames, first=b''):
        """Send frames until the node closes; return the most that it parsed in a turn.

        :param first: bytes before them.
        """

        async def run():
            sock = listen('127.0.0.1', 0)
            node = Node('n1', {}, 'n1')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.links.run, sock)
                port = sock.getsockname()[1]
                stream = await anyio.connect_tcp('127.0.0.1', port)
                await stream.send(build_request())
                await stream.receive()
                began_at = time.monotonic()
                self.sent_bytes = 0
                with anyio.fail_after(WAIT_S):
                    async with counting_frames() as counts:
                        with contextlib.suppress(anyio.BrokenResourceError):
                            await stream.send(first)
                            while True:
                                await stream.send(frames)
                                self.sent_bytes += len(frames)
                    while node.links._accepted:
                        await anyio.lowlevel.checkpoint()
                self.took_s = time.monotonic() - began_at
                await anyio.aclose_forcefully(stream)
                tasks.cancel_scope.cancel()
            return max(counts)

        return anyio.run(run)

    # Guards against a node that does nothing else but answer pings.
    def test_control_frames_leave_the_event_loop_to_others(self):
        for opcode in (PING, PONG):
            with self.subTest(opcode=opcode):
                most = self.flood(build_frame(opcode) * 10_000)
                self.assertLessEqual(most, MAX_FRAMES)
                self.assertLess(self.took_s, 5.0)

    def test_fragments_without_end_leave_the_event_loop_to_others(self):
        first = build_frame(BINARY, final=False)
        frames = build_frame(CONTINUATION, final=False) * 10_000
        self.assertLessEqual(self.flood(frames, first), MAX_FRAMES)

    # Guards against bytes that are read until a closing handshake times out.
    def test_message_above_the_limit_ends_the_link_soon(self):
        first = build_frame(BINARY, b'x', final=False)
        frames = build_frame(CONTINUATION, b'x' * 125, final=False) * 1_000
        self.flood(frames, first)
        self.assertLess(self.sent_bytes, 8 * MAX_MESSAGE_BYTES)
        self.assertLess(self.took_s, 5.0)


class EndlessTunnelTest(TunnelCase):
    """Tunnels carry floods no further, and end when the node that reads gives up."""

    def play_noise(self, message):
        """Let a peer send a message over and over on a tunnel that is not in use."""

        async def serve_noise(connection):
            await connection.send(CONNECTED)
            with contextlib.suppress(ConnectionClosed):
                while True:
                    await connection.send(message)
                    await anyio.lowlevel.checkpoint()
            self.left += 1

        async def run():
            peer = listen('127.0.0.1', 0)
            port = peer.getsockname()[1]
            async with serve(serve_noise, sock=peer, compression=None, close_timeout=1):
                stream = await connect_through_peer(f'127.0.0.1:{port}', 'i', 'me', 5.0)
                with anyio.fail_after(5.0):
                    while not self.left:
                        await anyio.sleep(0.01)
                with self.assertRaises(anyio.BrokenResourceError):
                    await stream.receive()
                stream.close()

        anyio.run(run)

    # Guards against an idle tunnel whose queue grows with each message without bytes.
    def test_empty_messages_end_the_tunnel(self):
        self.play_noise(b'')

    # Guards against a peer that holds one of a node's tunnels, and an instance.
    def test_empty_messages_end_the_tunnel_of_a_peer(self):
        async def scenario():
            url = f'ws://{self.nodes["peer"].address}{TUNNEL_PATH}i'
            headers = {NODE_HEADER: 'me'}
            async with connect(url, additional_headers=headers, proxy=None) as tunnel:
                self.assertEqual(await tunnel.recv(), CONNECTED)
                with self.assertRaises(ConnectionClosed):
                    while True:
                        await tunnel.send(b'')
                        await anyio.lowlevel.checkpoint()
            await self.wait_for(lambda: self.left)
            self.assertEqual(self.server.count_open(), 0)

        self.play(scenario)

    # Guards against a tunnel that is held by messages which mean nothing.
    def test_unknown_messages_end_the_tunnel(self):
        self.play_noise('unknown')

    def flood(self, give_up):
        """Let the instance send without end to a node that does not read.

        :param give_up: called with the node's connection once the flood has stopped.
        """
        sent = [0]

        async def serve_instance(stream):
            async with stream:
                await stream.receive()
                try:
                    while True:
                        await stream.send(b'x' * 65_536)
                        sent[0] += 65_536
                except anyio.BrokenResourceError:
                    self.left += 1

        self.serve_instance = serve_instance

        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            await connection.stream.send(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
            before = -1
            while sent[0] != before:
                before = sent[0]
                await anyio.sleep(0.3)
            give_up(pool, connection)
            began_at = time.monotonic()
            await self.wait_for(lambda: self.left)
            self.assertLess(time.monotonic() - began_at, 0.5)
            self.assertEqual(self.server.count_open(), 0)

        self.play(scenario)
        return sent[0]

    # Guards against a far node that reads what the near one does not take.
    def test_flood_of_an_instance_stops_while_the_near_node_does_not_read(self):
        sent = self.flood(lambda pool, connection: pool.discard(connection))
        self.assertLess(sent, 32_000_000)


if __name__ == '__main__':
    unittest.main()
