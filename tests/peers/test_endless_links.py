"""Peers that send bytes without end on links of the record table."""

from __future__ import annotations

import contextlib
import itertools
import time
import unittest
from functools import partial
from unittest import mock

import anyio
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from coursepitch.config.settings import PeerSettings, PlatformSettings
from coursepitch.control.session import Session
from coursepitch.listeners import listen
from coursepitch.metrics import Metrics
from coursepitch.peers import hub as module
from coursepitch.peers.hub import PeerHub
from coursepitch.peers.messages import VERSION, Digest, Hello, encode_message
from tests.fleet.peer_frames import PING, PONG, build_frame, build_request
from tests.fleet.test_endless_peers import MAX_FRAMES, counting_frames

#: Timeout in seconds for any expected condition.
WAIT_S = 20.0


class EndlessLinkTest(unittest.TestCase):
    """A peer holds neither the event loop nor a link."""

    def play(self, send):
        """Connect as a peer; return the most frames that the hub parsed in a turn.

        :param send: sends on the peer's connection until the hub closes it.
        """

        async def run():
            sock = listen('127.0.0.1', 0)
            platform = PlatformSettings(key_value_url='-', instance_list_url='-')
            session = Session('b', None, platform, time.monotonic)
            settings = PeerSettings(key='k')
            hub = PeerHub('b', 1, session, settings, Metrics(), time.monotonic)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hub._listen, sock)
                port = sock.getsockname()[1]
                stream = await anyio.connect_tcp('127.0.0.1', port)
                await stream.send(build_request('/peer', ['Authorization: Bearer k']))
                await stream.receive()
                with anyio.fail_after(WAIT_S):
                    async with counting_frames() as counts:
                        await send(stream)
                await anyio.aclose_forcefully(stream)
                tasks.cancel_scope.cancel()
            return max(counts)

        return anyio.run(run)

    # Guards against a hub that does nothing else but answer pings.
    def test_control_frames_leave_the_event_loop_to_others(self):
        async def send(data, stream):
            with contextlib.suppress(anyio.BrokenResourceError):
                while True:
                    await stream.send(data)

        for opcode in (PING, PONG):
            with self.subTest(opcode=opcode):
                most = self.play(partial(send, build_frame(opcode) * 10_000))
                self.assertLessEqual(most, MAX_FRAMES)

    # Guards against a link that is held without a greeting.
    def test_peer_without_a_greeting_is_disconnected(self):
        began_at = time.monotonic()

        async def send(stream):
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    data = await stream.receive()
                    # Answers the hub's own pings, so that it counts as alive.
                    if data[0] == 0x80 | PING:
                        await stream.send(build_frame(PONG, data[2:]))

        self.play(send)
        limit_s = module.GREETING_TIMEOUT_S + 3.0
        self.assertLess(time.monotonic() - began_at, limit_s)

    # Guards against a link that counts as up although its peer only answers pings.
    def test_link_without_messages_ends(self):
        with mock.patch.object(module, 'MESSAGE_TIMEOUT_S', 0.2, create=True):
            anyio.run(self.wait_for_end)

    async def wait_for_end(self):
        """Greet a hub, and begin a message that never ends, until the link ends."""
        sock = listen('127.0.0.1', 0)
        url = f'ws://127.0.0.1:{sock.getsockname()[1]}/peer'
        headers = {'Authorization': 'Bearer k'}
        platform = PlatformSettings(key_value_url='-', instance_list_url='-')
        session = Session('b', None, platform, time.monotonic)
        settings = PeerSettings(key='k')
        hub = PeerHub('b', 1, session, settings, Metrics(), time.monotonic)

        async def begin_message():
            yield b'a'
            await anyio.sleep_forever()

        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hub._listen, sock)
                async with connect(url, additional_headers=headers, proxy=None) as peer:
                    await peer.send(encode_message(Hello(VERSION, 'a')))
                    tasks.start_soon(peer.send, begin_message())
                    with self.assertRaises(ConnectionClosed):
                        while True:
                            await peer.recv()
                    tasks.cancel_scope.cancel()

    # Guards against times of digests that are kept without end.
    def test_link_whose_digests_are_not_echoed_ends(self):
        with (
            mock.patch.object(module, 'MAX_UNECHOED_DIGESTS', 20, create=True),
            mock.patch.object(module, 'MIN_DIGEST_INTERVAL_S', 0.001),
        ):
            anyio.run(self.send_digests)

    async def send_digests(self):
        """Greet a hub, and send digests that echo none, until the link ends."""
        sock = listen('127.0.0.1', 0)
        url = f'ws://127.0.0.1:{sock.getsockname()[1]}/peer'
        headers = {'Authorization': 'Bearer k'}
        platform = PlatformSettings(key_value_url='-', instance_list_url='-')
        session = Session('b', None, platform, time.monotonic)
        settings = PeerSettings(key='k', interval_s=0.001)
        hub = PeerHub('b', 1, session, settings, Metrics(), time.monotonic)
        received = 0
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hub._listen, sock)
                async with connect(url, additional_headers=headers, proxy=None) as peer:
                    await peer.send(encode_message(Hello(VERSION, 'a')))
                    with contextlib.suppress(ConnectionClosed):
                        for number in itertools.count(1):
                            await peer.recv()
                            received += 1
                            self.assertLess(received, 100)
                            await peer.send(encode_message(Digest(number, 0, 0)))
                    tasks.cancel_scope.cancel()


if __name__ == '__main__':
    unittest.main()
