"""Nodes that go on after others were lost, or while the service stalls."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections import Counter

from coursepitch.control.duties import MIN_LIVE_S
from coursepitch.peers.topology import choose_peers
from tests.whole.replica_base import ReplicaCase

#: Seconds for which the service's process stands still, longer than a lease, and for
#: which it runs in between, shorter than a lost node is waited for.
STALL_S = 4.0
RUN_S = 12.0


class LostNodesCase(ReplicaCase):
    """Four nodes, of which two that are opposite in the ring of links are killed."""

    nodes = {
        'n1': 'kurasini',
        'n2': 'mikocheni',
        'n3': 'ubungo',
        'n4': 'kurasini',
    }

    def kill_two(self, first: str) -> set[str]:
        """Kill a node and the one without a link to it; return those that are left."""
        gone = {first} | {
            name
            for name in self.nodes
            if name not in choose_peers(first, self.nodes)
            and first not in choose_peers(name, self.nodes)
        }
        self.assertEqual(len(gone), 2)
        for name in gone:
            self.harness.processes.pop(name).kill()
        left = set(self.nodes) - gone
        self.links_before = {name: self.count_links(name) for name in left}
        return left

    def count_links(self, name: str) -> Counter[str]:
        """Return how many links a node has had to each peer."""
        log = (self.harness.folder / f'{name}.log').read_text()
        ups = (json.loads(line) for line in log.splitlines() if '"peer.up"' in line)
        return Counter(event['peer'] for event in ups)

    def has_linked(self, name: str, peer: str) -> bool:
        """Whether a node has had a new link to a peer since the others were killed."""
        return self.count_links(name)[peer] > self.links_before[name][peer]


class LostNodesTest(LostNodesCase):
    """The service answers."""

    # Guards against nodes without a link to each other, as those in between are gone:
    # neither heard from half of the nodes, so nobody took over the duties.
    def test_nodes_that_had_no_link_take_over_the_duties(self) -> None:
        started_at = time.monotonic()
        self.harness.wait_for(
            lambda: time.monotonic() - started_at > MIN_LIVE_S + 1.0,
            'all nodes count as live for each other',
        )
        duties = self.duties()
        left = self.kill_two(duties['c/duty/cluster'])
        self.harness.wait_for(
            lambda: all(self.duties().get(duty) in left for duty in duties),
            'the nodes that are left take over all duties',
        )


class LostNodesInOutageTest(LostNodesCase):
    """The service is down."""

    # Guards against the same while the service is down, when leases tell nothing.
    def test_nodes_that_had_no_link_open_one_in_an_outage(self) -> None:
        self.harness.set_fault('kv', mode='down')
        one, other = self.kill_two('n1')
        self.harness.wait_for(
            lambda: self.has_linked(one, other) or self.has_linked(other, one),
            'the nodes that are left link to each other',
        )


class StallingServiceTest(ReplicaCase):
    """The service's process stands still now and then, and all leases lapse."""

    # Guards against a killed node that stays registered, as the time for which it was
    # silent began anew with each holder of the cluster duty.
    def test_killed_node_is_forgotten_though_the_service_stalls(self) -> None:
        self.harness.start_node('n8', 'kurasini')
        self.harness.wait_for(lambda: self.harness.is_ready('n8'), 'n8 serves')
        self.harness.wait_for(self.is_known, 'n1 knows n8')
        self.harness.processes.pop('n8').kill()
        ended = threading.Event()
        stalling = threading.Thread(target=self.stall, args=(ended,))
        stalling.start()
        try:
            self.harness.wait_for(lambda: not self.is_known(), 'n8 is forgotten')
        finally:
            ended.set()
            stalling.join()

    def is_known(self) -> bool:
        """Whether n1 has n8 among the registered nodes."""
        items = self.harness.operate('n1', 'GET', 'node').json()['items']
        return any(item['name'] == 'n8' for item in items)

    def stall(self, ended: threading.Event) -> None:
        """Stop and continue the service's process until told to end."""
        while not ended.is_set():
            self.send('kv', signal.SIGSTOP)
            ended.wait(STALL_S)
            self.send('kv', signal.SIGCONT)
            ended.wait(RUN_S)
