"""Tunnels on loopback: bytes, ends, limits, and who may open one."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
import unittest
from unittest import mock

import anyio
from anyio.abc import SocketAttribute
from websockets.asyncio.server import serve

from coursepitch.fleet import tunnels as module
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.tunnels import (
    TunnelClient,
    TunnelError,
    TunnelOutcome,
    TunnelServer,
)
from coursepitch.http.client import ConnectionPool, ExchangeError, connect_directly
from coursepitch.listeners import listen
from coursepitch.util.peer_connections import PeerServerConnection

#: Timeout in seconds for any expected condition.
WAIT_S = 20.0

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class TunnelCase(unittest.TestCase):
    """A node, a peer, and an instance that answers with given bytes."""

    #: Seconds for which the peer's listener waits for closing handshakes.
    close_timeout_s = 1.0

    def setUp(self):
        self.received = bytearray()
        self.left = 0
        self.ends_with_reset = False
        self.answer = RESPONSE
        self.server = None

    def play(self, scenario, outcome=None):
        """Run a scenario with the client and the address of the instance."""

        async def run():
            instance = listen('127.0.0.1', 0)
            peer = listen('127.0.0.1', 0)
            address = f'127.0.0.1:{instance.getsockname()[1]}'
            place = NodeLocation(f'127.0.0.1:{peer.getsockname()[1]}', 'a')
            self.nodes = {'me': NodeLocation('127.0.0.1:1', 'a'), 'peer': place}

            async def connect(name):
                if outcome is not None:
                    raise TunnelError(outcome)
                return await connect_directly(address, name)

            self.server = TunnelServer(lambda: self.nodes, connect)
            self.client = TunnelClient('me', 'a', lambda: self.nodes, time.monotonic)
            listener = await anyio.abc.SocketListener.from_socket(instance)
            with anyio.fail_after(WAIT_S):
                async with (
                    serve(
                        self.server.serve,
                        sock=peer,
                        create_connection=PeerServerConnection,
                        compression=None,
                        close_timeout=self.close_timeout_s,
                    ),
                    anyio.create_task_group() as tasks,
                ):
                    tasks.start_soon(listener.serve, self.serve_instance)
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    async def serve_instance(self, stream):
        async with stream:
            try:
                while True:
                    self.received += await stream.receive()
                    if self.received.endswith(b'\r\n\r\n'):
                        await stream.send(self.answer)
                        if self.answer is not RESPONSE:
                            break
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.left += 1
            if self.ends_with_reset:
                sock = stream.extra(SocketAttribute.raw_socket)
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def fetch(self, pool, connection):
        headers = ((b'Host', b'h'),)
        answer = await pool.exchange(connection, b'GET', b'/x', headers, b'')
        try:
            return await answer.read_whole(1_000_000)
        finally:
            answer.release()

    def build_pool(self):
        async def connect(address, instance):
            return await self.client.open(instance)

        return ConnectionPool(time.monotonic, connect=connect)

    async def wait_for(self, condition):
        while not condition():
            await anyio.sleep(0.01)


class ExchangeTest(TunnelCase):
    """A tunnel carries what a direct connection would."""

    def test_connection_is_used_for_several_requests(self):
        async def scenario():
            pool = self.build_pool()
            for _ in range(3):
                connection = await pool.acquire('a:1', instance='i')
                self.assertEqual(await self.fetch(pool, connection), b'ok')
            self.assertEqual(self.server.count_open(), 1)

        self.play(scenario)

    def test_large_body_arrives_whole_while_the_reader_is_slow(self):
        body = bytes(range(256)) * 3000
        self.answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        self.answer += body

        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            await connection.stream.send(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
            await anyio.sleep(0.2)
            parts = bytearray()
            while len(parts) < len(self.answer):
                parts += await connection.stream.receive()
            self.assertEqual(bytes(parts), self.answer)

        self.play(scenario)

    def test_response_without_length_is_complete_at_the_regular_end(self):
        self.answer = b'HTTP/1.1 200 OK\r\n\r\nall of it'

        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            self.assertEqual(await self.fetch(pool, connection), b'all of it')

        self.play(scenario)

    # Guards against a response without length that looks complete after a reset.
    def test_reset_of_the_instance_is_no_regular_end(self):
        self.answer = b'HTTP/1.1 200 OK\r\n\r\nhalf'
        self.ends_with_reset = True

        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            with self.assertRaises(ExchangeError):
                await self.fetch(pool, connection)

        self.play(scenario)

    # Guards against a response without length that looks complete if the peer dies.
    def test_end_of_the_peer_is_no_regular_end(self):
        self.answer = b'HTTP/1.1 200 OK\r\n\r\nhalf'

        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')

            async def end_peer():
                await self.wait_for(lambda: self.received)
                for tunnel in list(self.server._connections):
                    tunnel.transport.abort()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(end_peer)
                self.answer = b'HTTP/1.1 200 OK\r\n\r\n'
                with self.assertRaises(ExchangeError):
                    await self.fetch(pool, connection)

        # The instance keeps its connection open.
        with mock.patch.object(self, 'serve_instance', self.serve_slowly):
            self.play(scenario)

    # Guards against a response that looks complete as the handler of a peer returned.
    def test_close_that_tells_nothing_of_the_instance_is_no_regular_end(self):
        async def serve_and_return(server, connection):
            await connection.send('connected')
            await connection.recv()
            await connection.send(b'HTTP/1.1 200 OK\r\n\r\nhalf')

        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            with self.assertRaises(ExchangeError):
                await self.fetch(pool, connection)

        with mock.patch.object(TunnelServer, 'serve', serve_and_return):
            self.play(scenario)

    async def serve_slowly(self, stream):
        async with stream:
            self.received += await stream.receive()
            await stream.send(b'HTTP/1.1 200 OK\r\n\r\nhalf')
            await anyio.sleep_forever()

    def test_instance_sees_that_the_client_left(self):
        async def scenario():
            stream = await self.client.open('i')
            await stream.send(b'GET')
            await self.wait_for(lambda: self.received)
            stream.close()
            await self.wait_for(lambda: self.left)
            await self.wait_for(lambda: not self.server.count_open())

        self.play(scenario)

    # Guards against requests that a peer sends on although their node has ended them.
    def test_instance_gets_no_bytes_of_a_node_that_has_left(self):
        async def scenario():
            stream = await self.client.open('i')
            await stream.send(b'GET')
            stream.close()
            await self.wait_for(lambda: not self.server.count_open())
            await self.wait_for(lambda: self.left)
            self.assertEqual(self.received, b'')

        self.play(scenario)

    def test_tunnel_of_a_peer_that_stops_is_not_used_again(self):
        async def scenario():
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            await self.server.stop()
            self.assertEqual(await self.fetch(pool, connection), b'ok')
            await self.wait_for(lambda: not self.server.count_open())
            with self.assertRaises(TunnelError) as caught:
                await self.client.open('i')
            self.assertIs(caught.exception.outcome, TunnelOutcome.BUSY)

        self.play(scenario)


class OpenTest(TunnelCase):
    """Who may open a tunnel, and what a node learns where none opens."""

    def find_outcome(self, outcome=None):
        """Return the outcome of a tunnel that cannot be opened."""
        found = []

        async def scenario():
            with self.assertRaises(TunnelError) as caught:
                await self.client.open('i')
            found.append(caught.exception.outcome)
            await self.wait_for(lambda: not self.server.count_open())

        self.play(scenario, outcome)
        return found[0]

    def test_outcome_of_the_peer_is_told(self):
        for outcome in TunnelOutcome:
            if outcome is not TunnelOutcome.NO_PEER:
                with self.subTest(outcome):
                    self.assertIs(self.find_outcome(outcome), outcome)

    def test_only_listed_nodes_get_tunnels(self):
        async def scenario():
            stranger = TunnelClient('stranger', 'a', lambda: self.nodes, time.monotonic)
            self.nodes.pop('me')
            with self.assertRaises(TunnelError) as caught:
                await stranger.open('i')
            self.assertIs(caught.exception.outcome, TunnelOutcome.UNADMITTED)

        self.play(scenario)

    def test_number_of_tunnels_is_bounded(self):
        async def scenario():
            await self.client.open('i')
            with self.assertRaises(TunnelError) as caught:
                await self.client.open('i')
            self.assertIs(caught.exception.outcome, TunnelOutcome.BUSY)

        with mock.patch.object(module, 'MAX_TUNNELS', 1):
            self.play(scenario)

    def test_peer_that_failed_is_not_asked_for_a_while(self):
        now = [100.0]
        asked = []

        async def open_at(peer, instance):
            asked.append(peer)
            raise TunnelError(TunnelOutcome.NO_PATH)

        nodes = {name: NodeLocation('127.0.0.1:1', 'a') for name in ('me', 'b', 'c')}
        client = TunnelClient('me', 'a', lambda: nodes, lambda: now[0])
        client._open_at = open_at
        for _ in range(2):
            with self.assertRaises(TunnelError):
                anyio.run(client.open, 'i')
        self.assertEqual(sorted(asked), ['b', 'c'])
        now[0] += module.PEER_PAUSE_S
        with self.assertRaises(TunnelError):
            anyio.run(client.open, 'i')
        self.assertEqual(len(asked), 4)

    def open_in_turn(self, outcomes, later_s=0.0):
        """Open tunnels through one peer; return how often it was asked.

        :param outcomes: results of the peer; None where it opens a tunnel.
        :param later_s: seconds between the last tunnel and those before.
        """
        now = [100.0]
        left = list(outcomes)

        async def open_at(peer, instance):
            if (outcome := left.pop(0)) is not None:
                raise TunnelError(outcome)
            return mock.Mock()

        nodes = {name: NodeLocation('127.0.0.1:1', 'a') for name in ('me', 'b')}
        client = TunnelClient('me', 'a', lambda: nodes, lambda: now[0])
        client._open_at = open_at
        for number in range(len(outcomes)):
            if number == len(outcomes) - 1:
                now[0] += later_s
            with contextlib.suppress(TunnelError):
                anyio.run(client.open, 'i')
        return len(outcomes) - len(left)

    def find_failure(self, *outcomes):
        """Return when all peers failed, with as many peers as outcomes, and a trust.

        :param outcomes: results of the peers for an instance, in the order in which
            they are asked, after one of them has opened a tunnel to another instance.
        """
        left = [None, *outcomes]

        async def open_at(peer, instance):
            if (outcome := left.pop(0)) is not None:
                raise TunnelError(outcome)
            return mock.Mock()

        names = ['me', *(f'n{number}' for number in range(len(outcomes)))]
        nodes = {name: NodeLocation('127.0.0.1:1', 'a') for name in names}
        client = TunnelClient('me', 'a', lambda: nodes, lambda: 100.0)
        client._open_at = open_at
        anyio.run(client.open, 'i')
        with self.assertRaises(TunnelError):
            anyio.run(client.open, 'gone')
        self.assertEqual(left, [])
        return client.failed_at, client.trusts_peer()

    # Guards against requests that are refused for want of a path although peers have
    # paths, and only list one instance no longer.
    def test_instance_that_peers_do_not_list_tells_nothing_about_their_paths(self):
        unlisted, no_path = TunnelOutcome.UNLISTED, TunnelOutcome.NO_PATH
        never = float('-inf')
        self.assertEqual(self.find_failure(unlisted), (never, True))
        self.assertEqual(self.find_failure(unlisted, unlisted), (never, True))
        self.assertEqual(self.find_failure(unlisted, no_path)[0], never)
        self.assertEqual(self.find_failure(no_path, unlisted)[0], never)

    def test_peers_without_paths_and_those_that_do_not_list_this_node_fail(self):
        for outcome in (TunnelOutcome.NO_PATH, TunnelOutcome.UNADMITTED):
            with self.subTest(outcome):
                self.assertEqual(self.find_failure(outcome), (100.0, False))

    # Guards against refusals where the only peer with paths is late once.
    def test_only_peer_that_was_late_once_is_asked_again(self):
        late = TunnelOutcome.NO_PEER
        self.assertEqual(self.open_in_turn([None, late, None]), 3)
        self.assertEqual(self.open_in_turn([None, late, late, None]), 4)

    def test_only_peer_is_paused_where_nothing_speaks_for_it(self):
        late, no_path = TunnelOutcome.NO_PEER, TunnelOutcome.NO_PATH
        self.assertEqual(self.open_in_turn([late, None]), 1)
        self.assertEqual(self.open_in_turn([None, no_path, None]), 2)
        with mock.patch.object(module, 'PEER_PAUSE_S', 10.0):
            trusted_s = module.PEER_TRUST_S
            self.assertEqual(self.open_in_turn([None, late, None], trusted_s), 3)
            self.assertEqual(self.open_in_turn([None, late, None], trusted_s + 0.1), 2)

    def test_peer_that_has_left_is_asked_no_more(self):
        nodes = {name: NodeLocation('127.0.0.1:1', 'a') for name in ('me', 'b')}
        client = TunnelClient('me', 'a', lambda: nodes, lambda: 100.0)
        client._open_at = mock.AsyncMock()
        anyio.run(client.open, 'i')
        del nodes['b']
        with self.assertRaises(TunnelError):
            anyio.run(client.open, 'i')
        self.assertEqual(client._open_at.await_count, 1)

    def build_failed(self, zones, failed):
        """Return the client of the node ``me`` after a peer failed.

        :param zones: zone of each node by name.
        """
        nodes = {
            name: NodeLocation('127.0.0.1:1', zone) for name, zone in zones.items()
        }
        client = TunnelClient('me', 'a', lambda: nodes, lambda: 100.0)

        async def open_at(peer, instance):
            raise TunnelError(TunnelOutcome.NO_PEER)

        client._open_at = open_at
        with self.assertRaises(TunnelError):
            anyio.run(client.open_at, failed, 'i')
        return client

    # Guards against ends that are confirmed by the nodes of one zone alone, or that
    # nobody confirms, as peers that failed are asked.
    def test_witnesses_are_peers_of_all_zones_that_did_not_fail(self):
        zones = {**dict.fromkeys(('me', *'bcde'), 'a'), 'f': 'b', 'g': 'c'}
        client = self.build_failed(zones, 'b')
        for _ in range(50):
            found = client.choose_witnesses()
            self.assertEqual(len(set(found)), module.MAX_PEERS)
            self.assertLessEqual({'f', 'g'}, set(found))
            self.assertLessEqual(set(found), set('cdefg'))

    # Guards against a peer that was late once, and whose word is missed.
    def test_peer_that_failed_is_a_witness_where_few_are_left(self):
        zones = dict.fromkeys(('me', 'b', 'c'), 'a')
        client = self.build_failed(zones, 'b')
        self.assertEqual(client.choose_witnesses(), ['c', 'b'])

    # Guards against one node of a zone that carries the traffic of the whole zone.
    def test_traffic_is_spread_beyond_the_own_zone(self):
        counts = dict.fromkeys(('b', 'c', 'd', 'e'), 0)
        nodes = {name: NodeLocation('127.0.0.1:1', 'other') for name in counts}
        nodes['b'] = NodeLocation('127.0.0.1:1', 'a')
        client = TunnelClient('me', 'a', lambda: nodes, lambda: 100.0)
        for _ in range(1000):
            counts[client._choose_peer(set())] += 1
        self.assertLess(counts['b'], 600)
        self.assertGreater(min(counts.values()), 80)


if __name__ == '__main__':
    unittest.main()
