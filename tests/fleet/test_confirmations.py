"""Nodes that ask each other whether an instance which refuses connections has ended."""

from __future__ import annotations

import contextlib
import time
import unittest
from unittest import mock

import anyio

from coursepitch.fleet import control
from coursepitch.fleet import paths as module
from coursepitch.fleet.control import InstanceControl, Probe, ProcessState
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.paths import InstancePaths
from coursepitch.fleet.tunnels import TunnelClient
from coursepitch.http.client import connect_directly
from tests.fleet.builders import build_instance, build_view

#: Repetitions of a check, as the peers that are asked are drawn at random.
REPETITIONS = 20

#: Seconds after which a check without a result ends, for the tunnel of a peer that is
#: asked, and for all checks of a test.
CONFIRM_S = 1.0
OPEN_S = 0.1
LIMIT_S = 30.0


class ConfirmationCase(unittest.TestCase):
    """Instances ``a``, ``b`` and ``c``, and nodes of which some are refused by ``a``.

    Each node has the instances at addresses of its own.
    """

    def build_node(self, name, nodes):
        """Return the control of a node that opens tunnels through the others."""
        instances = [
            build_instance(item, domain=item, address=f'{name}.{item}:1')
            for item in 'abc'
        ]
        places = {
            item: NodeLocation(f'{item}:1', zone) for item, zone in self.zones.items()
        }
        tunnels = TunnelClient(name, self.zones[name], lambda: places, time.monotonic)

        async def open_at(peer, instance):
            self.asked.append(peer)
            is_late = peer == self.late and self.asked.count(peer) == 1
            if peer in self.stopped or is_late:
                await anyio.sleep_forever()
            return await nodes[peer]._paths.connect_for_peer(instance)

        tunnels._open_at = open_at
        view = build_view(instances, clock=time.monotonic)
        paths = InstancePaths(view, tunnels, time.monotonic)
        return InstanceControl(time.monotonic, paths=paths)

    def play(self, ask, zones=None, refused=(), cut_off=(), stopped=(), late=''):
        """Return what a node finds of the instance ``a``, repeatedly.

        :param ask: method of the control that finds it.
        :param zones: zone of each node by name; the first one asks.
        :param refused: nodes that ``a`` refuses; all other connections come up.
        :param cut_off: nodes that know that they reach no instance.
        :param stopped: nodes that answer nothing.
        :param late: node that does not answer the first time that it is asked.
        """
        self.zones = zones or dict.fromkeys(('n1', 'n2', 'n3', 'n4'), 'a')
        self.stopped, self.late = stopped, late
        found = set()

        async def answer(stream):
            async with stream:
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    await stream.receive()
                    await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
                    await stream.receive()

        async def run():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)

            async def connect(address, instance):
                node, _, _ = address.partition('.')
                if node in cut_off or (instance == 'a' and node in refused):
                    raise ConnectionRefusedError
                return await connect_directly(f'127.0.0.1:{port}', instance)

            with mock.patch.object(module, 'connect_directly', connect):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, answer)
                    with anyio.fail_after(LIMIT_S):
                        for _ in range(REPETITIONS):
                            self.asked = []
                            nodes = {}
                            for name in self.zones:
                                nodes[name] = self.build_node(name, nodes)
                                nodes[name]._paths.is_cut_off = name in cut_off
                            first = nodes[next(iter(self.zones))]
                            instance = first._paths._view.instances['a']
                            found.add(await ask(first, instance))
                    tasks.cancel_scope.cancel()

        with (
            mock.patch.object(control, 'CONFIRM_TIMEOUT_S', CONFIRM_S),
            mock.patch.object(control, 'OPEN_TIMEOUT_S', OPEN_S),
        ):
            anyio.run(run)
        return found


class RefusedAtMostNodesTest(ConfirmationCase):
    """An instance refuses connections of most nodes, and answers one of them."""

    refused = ('n1', 'n2', 'n3')

    # Guards against nodes that a cut concerns and that confirm each other's refusals
    # while some instances are cut off and others are not, as it begins or ends.
    def test_refusals_of_most_nodes_are_no_end(self):
        found = self.play(InstanceControl.find_state, refused=self.refused)
        self.assertEqual(found, {ProcessState.RUNS})

    # Guards against groups that are ended for refusals of the same kind.
    def test_refusals_of_most_nodes_are_no_loss(self):
        found = self.play(InstanceControl.probe, refused=self.refused)
        self.assertEqual(found, {Probe.INDIRECT})

    # Guards against a node that is cut off and takes the word of one that the cut
    # concerns in part.
    def test_refusals_of_most_peers_are_no_end_for_a_node_that_is_cut_off(self):
        found = self.play(
            InstanceControl.find_state, refused=self.refused, cut_off=('n1',)
        )
        self.assertEqual(found, {ProcessState.RUNS})

    # Guards against a peer that is late once, so that only nodes which the cut concerns
    # are heard.
    def test_peer_that_is_late_once_is_asked_again(self):
        found = self.play(InstanceControl.find_state, refused=self.refused, late='n4')
        self.assertEqual(found, {ProcessState.RUNS})

    # Guards against peers of one zone alone that are asked, as a cut may concern one.
    def test_a_peer_of_each_zone_is_asked(self):
        refused = [f'n{number}' for number in range(1, 13)]
        zones = {**dict.fromkeys(refused, 'a'), 'm1': 'b', 'm2': 'c'}
        found = self.play(InstanceControl.find_state, zones, refused=refused)
        self.assertEqual(found, {ProcessState.RUNS})


class EndedTest(ConfirmationCase):
    """An instance refuses connections of all nodes."""

    refused = ('n1', 'n2', 'n3', 'n4')

    # Guards against crashes that are not found.
    def test_end_is_proven(self):
        for cut_off in ((), ('n1',)):
            with self.subTest(cut_off=cut_off):
                found = self.play(
                    InstanceControl.find_state, refused=self.refused, cut_off=cut_off
                )
                self.assertEqual(found, {ProcessState.ENDED})
        found = self.play(InstanceControl.probe, refused=self.refused)
        self.assertEqual(found, {Probe.REFUSED})

    # Guards against crashes that are not found while some nodes are stopped.
    def test_end_is_proven_while_some_peers_do_not_answer(self):
        for stopped in (('n2',), ('n2', 'n3')):
            with self.subTest(stopped=stopped):
                found = self.play(
                    InstanceControl.find_state, refused=self.refused, stopped=stopped
                )
                self.assertEqual(found, {ProcessState.ENDED})


if __name__ == '__main__':
    unittest.main()
