"""Choice of paths, and what a node concludes if it reaches no instance."""

from __future__ import annotations

import contextlib
import time
import unittest
from unittest import mock

import anyio

from coursepitch.fleet import paths as module
from coursepitch.fleet.paths import (
    CHECK_TIMEOUT_S,
    PEER_CONNECT_TIMEOUT_S,
    InstancePaths,
)
from coursepitch.fleet.tunnels import TunnelError, TunnelOutcome
from tests.fleet.builders import build_instance, build_view


class FakeStream:
    """A connection; ``way`` is ``direct`` or ``peer``."""

    def __init__(self, way):
        self.way = way
        self.closed = False

    def close(self):
        self.closed = True


class FakeTunnels:
    """Peers that connect, or fail with an outcome."""

    def __init__(self):
        self.outcome = None
        self.asked = []
        self.opened_at = self.failed_at = float('-inf')
        self.failure = TunnelOutcome.NO_PATH
        self.trusts_peer = lambda: False

    async def open(self, instance):
        self.asked.append(instance)
        await anyio.lowlevel.checkpoint()
        if self.outcome is not None:
            self.failed_at = time.monotonic()
            self.failure = self.outcome
            raise TunnelError(self.outcome)
        self.opened_at = time.monotonic()
        return FakeStream('peer')


class PathsCase(unittest.TestCase):
    """Three instances, each of which connects, refuses or hangs."""

    def setUp(self):
        instances = [
            build_instance(name, domain=name, address=f'{name}:1') for name in 'abc'
        ]
        self.view = build_view(instances, clock=time.monotonic)
        self.tunnels = FakeTunnels()
        self.faults = {}
        self.connected = []
        self.streams = []
        self.paths = InstancePaths(self.view, self.tunnels, time.monotonic)
        patch = mock.patch.object(module, 'connect_directly', self.connect_directly)
        patch.start()
        self.addCleanup(patch.stop)

    async def connect_directly(self, address, instance):
        fault = self.faults.get(address[0])
        self.connected.append(address[0])
        if fault == 'hang':
            await anyio.sleep_forever()
        for _ in range(2 if fault == 'slow' else 0):
            await anyio.sleep(0.02)
        if fault == 'refuse':
            raise ConnectionRefusedError
        stream = FakeStream('direct')
        self.streams.append(stream)
        return stream

    def connect(self, name='a'):
        async def run():
            with anyio.fail_after(5):
                return await self.paths.connect(f'{name}:1', name)

        return anyio.run(run)

    def cut(self, fault):
        self.faults = dict.fromkeys('abc', fault)


class ConnectTest(PathsCase):
    """Connections of a node that is not known to be cut off."""

    def test_direct_connection_asks_no_peer(self):
        self.assertEqual(self.connect().way, 'direct')
        self.assertEqual(self.tunnels.asked, [])

    def test_peer_connects_where_this_node_cannot(self):
        for fault in ('hang', 'refuse'):
            with self.subTest(fault):
                self.faults = {'a': fault}
                self.assertEqual(self.connect().way, 'peer')

    def test_instance_that_only_a_peer_reached_is_not_tried_directly_again(self):
        self.faults = {'a': 'hang'}
        self.connect()
        self.assertEqual(self.connect().way, 'peer')
        self.assertEqual(self.connected, ['a'])
        self.faults = {}
        self.tunnels.outcome = TunnelOutcome.BUSY
        self.assertEqual(self.connect().way, 'direct')

    # Guards against a refusal on one path that counts as the end of an instance.
    def test_refusal_counts_only_if_a_peer_is_refused_too_or_there_is_none(self):
        self.faults = {'a': 'refuse'}
        for outcome in TunnelOutcome:
            with self.subTest(outcome):
                self.tunnels.outcome = outcome
                proven = outcome in (TunnelOutcome.REFUSED, TunnelOutcome.NO_PEER)
                with self.assertRaises(OSError) as caught:
                    self.connect()
                refused = isinstance(caught.exception, ConnectionRefusedError)
                self.assertEqual(refused, proven)


class CheckTest(PathsCase):
    """Whether a node is cut off."""

    def check(self, suspect='a'):
        return anyio.run(self.paths.check, time.monotonic(), suspect)

    def test_node_that_reaches_another_instance_is_sound(self):
        self.faults = {'a': 'hang', 'b': 'hang'}
        self.assertTrue(self.check())
        self.assertFalse(self.paths.is_cut_off)
        self.assertNotIn('a', self.connected)

    def test_node_that_reaches_none_is_cut_off(self):
        for fault in ('hang', 'refuse'):
            with self.subTest(fault):
                self.paths.is_cut_off = False
                self.cut(fault)
                self.paths.on_change = mock.Mock()
                self.assertFalse(self.check())
                self.paths.on_change.assert_called_once()
                self.assertTrue(self.paths.is_cut_off)
                self.assertEqual(self.connect().way, 'peer')

    def test_connection_that_came_up_since_proves_the_paths(self):
        since = time.monotonic()
        self.connect('b')
        self.cut('hang')
        self.assertTrue(anyio.run(self.paths.check, since, 'a'))

    def test_only_instance_says_nothing_about_the_node(self):
        for name in 'bc':
            del self.view.instances[name]
        self.cut('refuse')
        self.assertTrue(self.check())

    # Guards against a node that stood still taking its own pause for lost paths.
    def test_node_that_stood_still_during_a_check_is_not_cut_off(self):
        self.cut('slow')

        async def stand_still():
            await anyio.sleep(0.01)
            time.sleep(2 * CHECK_TIMEOUT_S)

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stand_still)
                return await self.paths.check(time.monotonic(), 'a')

        self.assertTrue(anyio.run(run))
        self.assertFalse(self.paths.is_cut_off)

    def test_checks_close_their_connections(self):
        self.check()
        self.assertTrue(all(stream.closed for stream in self.streams))

    def test_failed_connection_is_followed_by_a_check(self):
        self.cut('refuse')

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.paths.run)
                with anyio.fail_after(5):
                    await self.paths.connect('a:1', 'a')
                    while not self.paths.is_cut_off:
                        await anyio.sleep(0.01)
                    self.faults = {}
                    while self.paths.is_cut_off:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(self.connect().way, 'direct')

    def test_node_that_reaches_one_of_three_instances_has_not_recovered(self):
        self.cut('refuse')
        self.check()
        for reached, recovered in (('a', False), ('ab', True)):
            for name in reached:
                self.faults.pop(name, None)
            anyio.run(self.paths._check_recovery)
            self.assertEqual(self.paths.is_cut_off, not recovered)

    def test_node_whose_peers_fail_too_is_isolated_until_one_connects(self):
        self.cut('refuse')
        self.check()
        self.assertFalse(self.paths.is_isolated())
        self.tunnels.outcome = TunnelOutcome.NO_PATH
        with contextlib.suppress(OSError):
            self.connect()
        self.assertTrue(self.paths.is_isolated())
        self.tunnels.outcome = None
        self.connect()
        self.assertFalse(self.paths.is_isolated())

    # Guards against refusals while the only peer with paths is late.
    def test_node_is_not_isolated_while_a_peer_may_only_be_late(self):
        self.cut('refuse')
        self.check()
        self.tunnels.outcome = TunnelOutcome.NO_PEER
        for trusted in (True, False):
            self.tunnels.trusts_peer = lambda trusted=trusted: trusted
            with contextlib.suppress(OSError):
                self.connect()
            self.assertEqual(self.paths.is_isolated(), not trusted)


class WithdrawTest(PathsCase):
    """When a node asks the balancer for no more clients."""

    def should_withdraw(self, outcome):
        self.tunnels.outcome = outcome
        with contextlib.suppress(OSError):
            self.connect()
        return self.paths.should_withdraw()

    def test_node_that_serves_through_peers_stays(self):
        self.assertFalse(self.should_withdraw(TunnelOutcome.BUSY))
        self.cut('refuse')
        anyio.run(self.paths.check, time.monotonic())
        self.assertFalse(self.should_withdraw(None))

    # Guards against all nodes that withdraw at once.
    def test_node_whose_peers_are_cut_off_too_stays(self):
        self.cut('refuse')
        anyio.run(self.paths.check, time.monotonic())
        self.assertFalse(self.should_withdraw(TunnelOutcome.NO_PATH))

    def test_node_whose_peers_cannot_help_withdraws(self):
        self.cut('refuse')
        anyio.run(self.paths.check, time.monotonic())
        self.assertTrue(self.should_withdraw(TunnelOutcome.BUSY))
        self.assertTrue(self.should_withdraw(TunnelOutcome.NO_PEER))


class ForPeerTest(PathsCase):
    """Connections on behalf of peers."""

    def find_outcome(self, instance='a'):
        with self.assertRaises(TunnelError) as caught:
            anyio.run(self.paths.connect_for_peer, instance)
        return caught.exception.outcome

    def test_listed_instance_is_connected_directly(self):
        stream = anyio.run(self.paths.connect_for_peer, 'a')
        self.assertEqual(stream.way, 'direct')

    def test_other_addresses_are_not_connected(self):
        self.assertIs(self.find_outcome('127.0.0.1:22'), TunnelOutcome.UNLISTED)

    # Guards against a node that stood still and calls a sound instance silent.
    def test_instance_that_answered_while_the_node_stood_still_is_connected(self):
        self.faults = {'a': 'slow'}

        async def stand_still():
            await anyio.sleep(0.01)
            time.sleep(2 * PEER_CONNECT_TIMEOUT_S)

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stand_still)
                return await self.paths.connect_for_peer('a')

        self.assertEqual(anyio.run(run).way, 'direct')
        self.assertEqual(self.connected, ['a', 'a'])

    # Guards against nodes that confirm refusals to each other as a cut begins.
    def test_instance_reached_before_the_refusal_is_no_proof(self):
        async def connect(address, instance):
            if instance == 'a' and not self.connected:
                await self.paths.connect_directly('b:1', 'b')
                self.cut('refuse')
            return await self.connect_directly(address, instance)

        with mock.patch.object(module, 'connect_directly', connect):
            self.assertIs(self.find_outcome(), TunnelOutcome.NO_PATH)

    # Guards against nodes that confirm refusals to each other as a cut ends.
    def test_instance_that_is_reached_after_others_is_connected(self):
        async def connect(address, instance):
            if instance != 'a':
                self.faults = {}
            return await self.connect_directly(address, instance)

        self.faults = {'a': 'refuse'}
        with mock.patch.object(module, 'connect_directly', connect):
            stream = anyio.run(self.paths.connect_for_peer, 'a')
        self.assertEqual(stream.way, 'direct')

    def test_sound_node_tells_what_it_found(self):
        self.faults = {'a': 'refuse'}
        self.assertIs(self.find_outcome(), TunnelOutcome.REFUSED)
        self.faults = {'a': 'hang'}
        self.assertIs(self.find_outcome(), TunnelOutcome.SILENT)

    # Guards against two nodes that are cut off and confirm each other's findings.
    def test_node_that_is_cut_off_accuses_no_instance(self):
        for fault in ('hang', 'refuse'):
            with self.subTest(fault):
                self.paths.is_cut_off = False
                self.cut(fault)
                self.assertIs(self.find_outcome(), TunnelOutcome.NO_PATH)
                self.assertIs(self.find_outcome(), TunnelOutcome.NO_PATH)

    # Guards against a node without paths that passes for one which has some.
    def test_node_that_is_cut_off_says_so_whatever_it_lists(self):
        self.paths.is_cut_off = True
        self.assertIs(self.find_outcome('gone'), TunnelOutcome.NO_PATH)

    # Guards against accusations by a node that is separated from one service.
    def test_node_that_reaches_another_service_only_accuses_no_instance(self):
        self.view.instances['d'] = build_instance('d', service='api', address='d:1')
        for fault in ('hang', 'refuse'):
            with self.subTest(fault):
                self.cut(fault)
                self.assertIs(self.find_outcome(), TunnelOutcome.NO_PATH)
                self.assertFalse(self.paths.is_cut_off)

    def test_tunnel_does_not_lead_through_another_tunnel(self):
        self.faults = {'a': 'refuse'}
        self.find_outcome()
        self.assertEqual(self.tunnels.asked, [])


if __name__ == '__main__':
    unittest.main()
