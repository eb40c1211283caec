"""Nodes that stand still for seconds and go on: what they relay, and who leads."""

from __future__ import annotations

import json
import signal
import threading
import time

from coursepitch.fleet.leases import LEAD_LEASE_S
from coursepitch.fleet.view import LEADER_KEY
from tests.whole.silence_base import SilentInstancesCase

#: Seconds for which nodes stand still: links between nodes and the lease of the leader
#: end meanwhile in the second one, the links alone in the first one.
STANDSTILLS_S = (1.4, 3.0)


class StandstillCase(SilentInstancesCase):
    """Streams that may not be resumed and are under way as nodes stand still."""

    #: Long enough to be under way when the nodes go on.
    events = 90

    def stop(self, nodes, seconds):
        """Let the processes of nodes stand still together."""
        processes = [self.running[node].process for node in nodes]
        try:
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            threading.Event().wait(seconds)
        finally:
            for process in processes:
                process.send_signal(signal.SIGCONT)

    def check_streams(self, nodes, seconds):
        """Check that streams outlast a standstill of nodes."""
        with self.subTest(seconds=seconds):
            self.wait_served()
            name = f'{"-".join(nodes)}-{seconds}'
            found = self.read_streams(
                '/single/x', name, lambda: self.stop(nodes, seconds)
            )
            self.assert_all_whole(found)


class RelayTest(StandstillCase):
    """A node without paths sends through its peer."""

    own_paths = True

    def setUp(self):
        """Cut the paths of a node, and wait until its peer carries its streams."""
        super().setUp()
        self.addCleanup(self.cut, self.nodes, 'none')
        before = self.count_lost()
        self.cut(['n1'], 'hang')
        self.wait_for(
            lambda: self.serves('n1') and self.count_lost() > before,
            'the node knows that it is cut off',
        )

    def tearDown(self):
        """Give the paths back, and wait until the node uses them."""
        self.cut(self.nodes, 'none')
        node = self.running['n1']
        self.wait_for(
            lambda: len(node.read_events('paths.recovered')) == self.count_lost(),
            'the node has paths',
        )

    def count_lost(self):
        return len(self.running['n1'].read_events('paths.lost'))

    # Guards against tunnels that a node gives up by its own late time-outs.
    def test_relayed_streams_outlast_a_standstill_of_their_node(self):
        for seconds in STANDSTILLS_S:
            self.check_streams(['n1'], seconds)

    # Guards against tunnels that end with the links between their nodes.
    def test_relayed_streams_outlast_a_standstill_of_their_node_and_its_peer(self):
        for seconds in STANDSTILLS_S:
            self.check_streams(['n1', 'n2'], seconds)


class LeaderTest(StandstillCase):
    """The node that manages the groups stands still until its lease has ended."""

    def read_leader(self):
        """Return the leader by the store; empty for none."""
        stats = self.client.get(f'http://127.0.0.1:{self.store}/stats').json()
        return stats['entries'].get(LEADER_KEY, {}).get('value', '')

    # Guards against an old leader that goes on as one beside the new one.
    def test_another_node_leads_and_groups_stay_as_they_are(self):
        old = self.wait_for(self.read_leader, 'a node leads')
        other = next(node for node in self.nodes if node != old)
        before = self.find_groups()
        went_on = []

        def stand_still():
            self.stop([old], LEAD_LEASE_S + 0.8)
            went_on.append(time.time())

        found = self.read_streams('/single/x', 'leader', stand_still)
        self.assert_all_whole(found)
        self.assertEqual(self.read_leader(), other)
        self.wait_for(
            lambda: self.running[old].read_events('lead.lost'), 'it knows that'
        )
        self.assertEqual(self.find_groups(), before)
        # Ends all that waited as the node stood still.
        self.wait_served()
        late = [
            event
            for event in self.running[old].read_events()
            if event['message_type'] in ('order.answered', 'groups.claimed')
            and event['timestamp'] > went_on[0]
        ]
        self.assertEqual(late, [])

    def find_groups(self):
        """Return the groups that the instances are in, by name and epoch."""
        return sorted(
            json.dumps(item['group'], sort_keys=True)
            for item in self.stats('pool').values()
            if item['group']
        )
