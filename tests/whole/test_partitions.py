"""Nodes that reach clients, the store and each other, but no instance."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import httpx

from tests.whole.platform_base import WAIT_S, PlatformCase, build_headers

#: Seconds for which clients send before the cut.
BEFORE_S = 1.0

#: Seconds after the start of a cut from which users count, and seconds counted at
#: least; a busy machine may need more of them for a sample.
CONTACT_S = 3.0
COUNTED_S = 6.0

#: First tries of which one may fail at nodes that are cut off, as users count.  Samples
#: are larger.
TRIES_PER_FAILURE = 50

#: Number of short cuts, and seconds of one.
SHORT_CUTS = 5
SHORT_CUT_S = 0.4

#: Samples of tries after stalls of a node, seconds of a stall, seconds after it in
#: which tries count, and seconds to the next one.
SAMPLES = 3
STALL_S = 0.8
AFTER_STALL_S = 1.0
BETWEEN_STALLS_S = 3.0

#: Seconds for which a sound instance may fall silent, as users say.
SILENCE_S = 1.2

#: Longest time in seconds that a refusal may take if it is known that nothing serves,
#: less that in which the node or the client had no processor.
REFUSAL_S = 0.3

#: Seconds between two requests of one client.
PAUSE_S = 0.05

#: Requests of the clients of each node: method, path, whether they may run twice.
REQUESTS = (
    ('POST', '/stream/x'),
    ('POST', '/stream/x'),
    ('GET', '/again/x'),
    ('POST', '/once/x'),
)


@dataclass(frozen=True, slots=True)
class Try:
    """One request of a client.

    :param sent_at: monotonic time of its send.
    :param unscheduled_s: seconds of ``took_s`` for which the node or the client was
        ready to run and had no processor.
    :param status: 0 without a response.
    """

    node: str
    path: str
    sent_at: float
    took_s: float
    unscheduled_s: float
    status: int
    retry_after: str = ''


def read_unscheduled_s(task):
    """Return the seconds for which a thread was ready to run and had no processor.

    :param task: process, whose main thread counts, or ``thread-self``.
    """
    _, waited_ns, _ = Path(f'/proc/{task}/schedstat').read_text().split()
    return int(waited_ns) / 1e9


class TryRecorder:
    """Tries of clients that have ended, and when those began that have not."""

    def __init__(self):
        self._lock = threading.Lock()
        self._ended = []
        self._open = set()

    def begin(self, client):
        """Record that a client sends; return the client and when."""
        with self._lock:
            began = (client, time.monotonic())
            self._open.add(began)
            return began

    def end(self, began, item):
        """Record how a try ended."""
        with self._lock:
            self._open.discard(began)
            self._ended.append(item)

    def list_ended(self, since, until=float('inf')):
        """Return the tries that were sent within a time and have ended."""
        with self._lock:
            return [item for item in self._ended if since <= item.sent_at < until]

    def has_open(self, since, until):
        """Whether a try that was sent within a time goes on."""
        with self._lock:
            return any(since <= sent_at < until for _, sent_at in self._open)


class PartitionCase(PlatformCase):
    """Four nodes with paths of their own to plain instances and groups of two."""

    nodes = ('n1', 'n2', 'n3', 'n4')
    engines = 8
    events = 5
    own_paths = True

    def setUp(self):
        """Wait until all nodes serve and know of the leader."""
        self.addCleanup(self.cut, self.nodes, 'none')
        for name in self.nodes:
            self.wait_for(lambda name=name: self.serves(name), f'{name} serves')
        self.began = {name: self.count_events(name) for name in self.nodes}

    @classmethod
    def count_events(cls, node):
        return len(cls.running[node].read_events())

    def read_unscheduled_s(self, node):
        """Return the seconds for which a node or this thread had no processor."""
        pid = self.running[node].process.pid
        return read_unscheduled_s(pid) + read_unscheduled_s('thread-self')

    def list_new_events(self, name):
        """Return the nodes' events of a name since the start of the test."""
        return [
            event
            for node in self.nodes
            for event in self.running[node].read_events()[self.began[node] :]
            if event.get('message_type') == name
        ]

    def find_leader(self):
        """Return the leader, as the store has it."""
        url = f'http://127.0.0.1:{self.store}/stats'
        entries = self.client.get(url).json()['entries']
        return self.wait_for(
            lambda: entries.get('coursepitch/leader', {}).get('value'), 'a leader'
        )

    def list_followers(self):
        """Return the nodes that do not lead."""
        leader = self.find_leader()
        return [name for name in self.nodes if name != leader]

    def play_cut(self, nodes, mode):
        """Cut nodes off while clients of all nodes send; return the counted tries.

        All count that are sent from :data:`CONTACT_S` after the cut on, for
        :data:`COUNTED_S` and until both the nodes that are cut off and the others have
        a sample.
        """
        groups = [nodes, [name for name in self.nodes if name not in nodes]]
        with self.send_requests() as tries:
            pause = threading.Event()
            pause.wait(BEFORE_S)
            self.cut(nodes, mode)
            counted_from = time.monotonic() + CONTACT_S
            pause.wait(CONTACT_S + COUNTED_S)
            self.wait_for(
                lambda: all(
                    self.is_sample(tries.list_ended(counted_from), group)
                    for group in groups
                    if group
                ),
                'enough tries ended',
            )
        return tries.list_ended(counted_from)

    @staticmethod
    def is_sample(tries, nodes):
        """Whether there are enough tries at some nodes to tell how many fail."""
        return sum(item.node in nodes for item in tries) > TRIES_PER_FAILURE

    @contextlib.contextmanager
    def send_requests(self):
        """Let clients of all nodes send, and yield the recorder of their tries."""
        tries = TryRecorder()
        pause, ended = threading.Event(), threading.Event()

        def send(node, number, method, path):
            while not ended.is_set():
                began = tries.begin((node, number))
                _, sent_at = began
                before_s = self.read_unscheduled_s(node)
                status, retry_after = 0, ''
                try:
                    reply = self.send(node, method, path, f'{node}-{number}-{sent_at}')
                    status = reply.status_code
                    retry_after = reply.headers.get('retry-after', '')
                except httpx.HTTPError:
                    # Counted as a try without a response.
                    pass
                took_s = time.monotonic() - sent_at
                unscheduled_s = self.read_unscheduled_s(node) - before_s
                tries.end(
                    began,
                    Try(
                        node, path, sent_at, took_s, unscheduled_s, status, retry_after
                    ),
                )
                pause.wait(PAUSE_S)

        threads = [
            threading.Thread(target=send, args=(node, number, *request))
            for node in self.nodes
            for number, request in enumerate(REQUESTS)
        ]
        for thread in threads:
            thread.start()
        try:
            yield tries
        finally:
            ended.set()
            for thread in threads:
                thread.join()

    def assert_served(self, tries, nodes):
        """Check that first tries at some nodes were served."""
        found = [item for item in tries if item.node in nodes]
        failed = [item for item in found if item.status != 200]
        self.assertGreater(len(found), TRIES_PER_FAILURE)
        allowed = len(found) // TRIES_PER_FAILURE
        self.assertLessEqual(len(failed), allowed, failed[:8])

    def assert_all_served(self, tries, cut_off):
        """Check the nodes that are cut off, and the others."""
        self.assert_served(tries, [name for name in self.nodes if name not in cut_off])
        self.assert_served(tries, cut_off)


class CutOffNodeTest(PartitionCase):
    """Nodes are cut off by silence: connections hang, and new ones do not come up."""

    # Guards against a node that fails its clients while other nodes reach instances.
    def test_clients_of_a_node_that_is_cut_off_are_served(self):
        cut_off = self.list_followers()[:1]
        self.assert_all_served(self.play_cut(cut_off, 'hang'), cut_off)

    # Guards against a leader that takes its own lost paths for lost instances, and ends
    # their groups for all nodes.
    def test_leader_that_is_cut_off_ends_no_group(self):
        cut_off = [self.find_leader()]
        tries = self.play_cut(cut_off, 'hang')
        self.assertEqual(self.list_new_events('group.retired'), [])
        self.assert_all_served(tries, cut_off)

    # Guards against a leader whose orders and probes all depend on tunnels.
    def test_leader_that_is_cut_off_hands_the_lead_over_once(self):
        leader = self.find_leader()
        self.play_cut([leader], 'hang')
        taken = [event['node'] for event in self.list_new_events('lead.taken')]
        self.assertEqual(len(taken), 1)
        self.assertNotEqual(taken[0], leader)
        self.assertEqual(self.find_leader(), taken[0])

    # Guards against nodes that are no use to each other as most of them are cut off.
    def test_clients_are_served_while_one_node_reaches_the_instances(self):
        cut_off = [self.find_leader(), *self.list_followers()[:2]]
        self.assert_all_served(self.play_cut(cut_off, 'hang'), cut_off)

    # Guards against nodes that ask the only peer with paths no more once it was late.
    def test_clients_are_served_once_the_only_node_with_paths_goes_on(self):
        *cut_off, last = [*self.list_followers(), self.find_leader()]
        pause = threading.Event()
        with self.send_requests() as tries:
            pause.wait(BEFORE_S)
            self.cut(cut_off, 'hang')
            pause.wait(CONTACT_S)
            for _ in range(SAMPLES):
                # A second of a busy machine has fewer tries than a sample.
                counted = []
                until = time.monotonic() + WAIT_S
                while not self.is_sample(counted, cut_off):
                    self.assertLess(time.monotonic(), until, f'{len(counted)} tries')
                    counted += self.play_stall(last, tries)
                self.assert_served(counted, cut_off)

    def play_stall(self, node, tries):
        """Let a node stand still; return the tries of all nodes right after it."""
        process = self.running[node].process
        pause = threading.Event()
        process.send_signal(signal.SIGSTOP)
        pause.wait(STALL_S)
        process.send_signal(signal.SIGCONT)
        went_on_at = time.monotonic()
        second = (went_on_at, went_on_at + AFTER_STALL_S)
        pause.wait(BETWEEN_STALLS_S)
        self.wait_for(lambda: not tries.has_open(*second), 'the counted tries ended')
        return tries.list_ended(*second)


class RefusedNodeTest(PartitionCase):
    """Connections of nodes are reset, or live on, and new ones are refused."""

    # Guards against refused connections that count as proof that instances ended: the
    # requests that they ran are then suspected by all nodes.
    def test_reset_connections_of_a_node_are_no_crashes(self):
        cut_off = self.list_followers()[:1]
        tries = self.play_cut(cut_off, 'reset')
        self.assertEqual(self.list_new_events('instance.crashed'), [])
        self.assertEqual(self.list_new_events('request.suspected'), [])
        self.assert_all_served(tries, cut_off)

    # Guards against nodes that reach instances of another service, and confirm to each
    # other that those of this one have ended.
    def test_resets_of_one_service_at_most_nodes_are_no_crashes(self):
        cut_off = self.list_followers()
        pause = threading.Event()
        with self.send_requests():
            for _ in range(SHORT_CUTS):
                pause.wait(BEFORE_S)
                self.cut(cut_off, 'reset', 'pool')
                pause.wait(SHORT_CUT_S)
                self.cut(cut_off, 'none', 'pool')
        self.assertEqual(self.list_new_events('instance.crashed'), [])
        self.assertEqual(self.list_new_events('group.retired'), [])

    # Guards against nodes that reach some instances of a service, and confirm to each
    # other that those which refuse all of them have ended.
    def test_resets_of_some_instances_at_most_nodes_are_no_crashes(self):
        cut_off = self.list_followers()
        pause = threading.Event()
        with self.send_requests():
            for number in range(SHORT_CUTS):
                pause.wait(BEFORE_S)
                for service in ('pool', 'api'):
                    names = sorted(self.stats(service))[number % 2 :: 2]
                    cut = {'nodes': cut_off, 'instances': names}
                    self.control(service, '/cut', mode='reset', **cut)
                pause.wait(SHORT_CUT_S)
                self.cut(cut_off, 'none')
        self.assertEqual(self.list_new_events('instance.crashed'), [])
        self.assertEqual(self.list_new_events('group.retired'), [])

    # Guards against a leader whose orders and probes are refused, and that ends groups.
    def test_leader_whose_connections_are_reset_ends_no_group(self):
        cut_off = [self.find_leader()]
        tries = self.play_cut(cut_off, 'reset')
        self.assertEqual(self.list_new_events('group.retired'), [])
        self.assert_all_served(tries, cut_off)

    # Guards against a node that is sound only as long as its connections last.
    def test_clients_of_a_node_without_new_connections_are_served(self):
        cut_off = [self.find_leader()]
        self.assert_all_served(self.play_cut(cut_off, 'refuse'), cut_off)


class SilentHeadTest(PartitionCase):
    """An instance falls silent for all nodes, and goes on."""

    # Guards against a group that is ended as its head stood still for a second.
    def test_group_outlasts_a_second_of_silence_of_its_head(self):
        with self.send_requests():
            head = self.wait_for(self.find_busy_head, 'a stream')
            began_at = time.monotonic()
            hang = {'nodes': list(self.nodes), 'instances': [head]}
            self.control('pool', '/cut', **hang, mode='hang')
            self.wait_for(
                lambda: (
                    self.is_known_silent(head)
                    and time.monotonic() - began_at > SILENCE_S
                ),
                'the leader gets no answer of the head',
            )
            self.control('pool', '/cut', **hang, mode='none')
            ended_at = time.monotonic()
            self.wait_for(
                lambda: time.monotonic() - ended_at > CONTACT_S,
                'the time in which the leader acts',
            )
        self.assertEqual(self.list_new_events('group.retired'), [])

    def find_busy_head(self):
        """Return the head to which the latest stream was sent, if there is one."""
        sent = [item for item in self.list_new_events('request.sent') if item['group']]
        if not sent:
            return ''
        return max(sent, key=lambda item: item['timestamp'])['instance']

    def is_known_silent(self, head):
        """Whether the leader has asked a head, and got no answer."""
        return any(
            not item['answers']
            for item in self.list_new_events('instance.lost')
            if item['instance'] == head
        )


class StoppingPeersTest(PartitionCase):
    """A peer stops as planned while it carries a stream."""

    nodes = ('n1', 'n2')
    events = 240

    def setUp(self):
        """Note where the logs begin; each stream takes seconds."""
        self.began = {name: self.count_events(name) for name in self.nodes}

    # Guards against a stream that is cut as the node that carries it stops.
    def test_stream_outlasts_the_planned_stop_of_the_node_that_carries_it(self):
        node, peer = self.nodes
        self.cut([node], 'hang')
        self.wait_for(
            lambda: (
                self.send(node, 'GET', '/again/x', f'a-{time.monotonic()}')
                and self.list_new_events('paths.lost')
            ),
            'the node knows that it is cut off',
        )
        replies = []
        begun = threading.Event()

        def read_stream():
            url = self.running[node].url + '/stream/x'
            headers = build_headers('long')
            with self.client.stream('POST', url, headers=headers) as reply:
                text = ''
                for part in reply.iter_text():
                    begun.set()
                    text += part
                replies.append((reply.status_code, text))

        thread = threading.Thread(target=read_stream)
        thread.start()
        self.assertTrue(begun.wait(CONTACT_S))
        self.running[peer].process.send_signal(signal.SIGTERM)
        thread.join()
        self.assertEqual(len(replies), 1)
        status, text = replies[0]
        self.assertEqual(status, 200)
        self.assertEqual(text.count('id: '), self.events)
        self.assertEqual(self.list_new_events('request.resumed'), [])
        self.assertEqual(self.running[peer].process.wait(), 0)


class AllCutOffTest(PartitionCase):
    """No node reaches an instance."""

    # Guards against clients that wait for nothing, and groups that are lost meanwhile.
    def test_requests_are_refused_at_once_and_groups_outlast_the_cut(self):
        tries = self.play_cut(self.nodes, 'hang')
        slow = [item for item in tries if item.took_s - item.unscheduled_s > REFUSAL_S]
        self.assertEqual(slow, [])
        self.assertEqual({item.status for item in tries}, {503})
        self.assertNotIn('', {item.retry_after for item in tries})
        self.assertEqual(self.list_new_events('lead.taken'), [])
        self.cut(self.nodes, 'none')
        for name in self.nodes:
            self.wait_for(lambda name=name: self.serves(name), f'{name} serves')
        self.assertEqual(self.list_new_events('group.retired'), [])
