"""Silences of some instances, of several lengths, and beside other events."""

from __future__ import annotations

import itertools
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.whole.platform_base import build_configuration
from tests.whole.silence_base import SilentInstancesCase

#: Seconds for which instances stand still unless a test says otherwise.
SILENCE_S = 1.1

#: Seconds of silences, shorter and longer than the time after which nodes avoid or
#: retire a group.
LENGTHS_S = (0.3, 0.5, 1.0, 2.5)

#: Seconds between a change of the configuration and the silence after it.
AFTER_CHANGE_S = 0.6

#: Seconds for which a node or a peer stands still.
STOPPED_S = 1.0

#: Seconds after its head at which the body of an error response follows.
LATE_BODY_S = 1.5

#: Seconds after which the body of an error response comes that is later still, well
#: within the deadline of 8 s.
MUCH_LATER_S = 3.5

#: Longest pause in seconds of a stream whose instance has died: clients abandon a
#: stream that stalls for two seconds or more.
RESUMED_WITHIN_S = 2.0

#: Clients that send plain calls to each node.
CALLERS = 6

#: Streams that may be resumed, and streams that may not.
PATHS = ('/stream/x', '/single/x')

VERSIONS = itertools.count(2)


def pause_for(seconds):
    """Wait for some seconds."""
    threading.Event().wait(seconds)


class SilencesCase(SilentInstancesCase):
    """Streams of both kinds that are under way as something happens."""

    #: Long enough to be under way when the second of two events happens.
    events = 60

    def check(self, on_begun, paths=PATHS):
        """Check that streams that have begun when something happens are whole."""
        for path in paths:
            with self.subTest(path=path):
                self.wait_served()
                self.assert_all_whole(self.read(path, on_begun))

    def read(self, path, on_begun):
        """Return what clients got whose streams had begun when something happened."""
        name = f'{self.id().rpartition(".")[2]}-{path[1:7]}-{time.monotonic():.3f}'
        return self.read_streams(path, name, on_begun)

    def stop(self, process, seconds):
        """Let a process stand still."""
        process.send_signal(signal.SIGSTOP)
        try:
            pause_for(seconds)
        finally:
            process.send_signal(signal.SIGCONT)


class SilentShareTest(SilencesCase):
    """Some of the instances of five groups fall silent."""

    engines = 11
    groups = 5

    def choose_heads(self):
        """Return three of the five heads."""
        return self.find_heads()[:3]

    def find_other_member(self):
        """Return a member of an open group that is not its head."""
        return next(
            name
            for name, item in self.stats('pool').items()
            if item['group'] and item['group']['rank'] > 0
        )

    # Guards against streams that end as the heads of most groups are silent.
    def test_streams_outlast_a_silence_of_most_heads(self):
        self.check(lambda: self.pause(self.choose_heads(), SILENCE_S))

    # Guards against requests refused or lost that are sent while most heads are silent.
    def test_streams_sent_while_most_heads_are_silent_are_whole(self):
        for path in PATHS:
            with self.subTest(path=path):
                self.wait_served()
                self.pause(self.choose_heads(), SILENCE_S)
                self.assert_all_whole(self.read(path, lambda: None))

    # Guards against streams that end as a member that runs no request is silent.
    def test_streams_outlast_a_silence_of_a_member_that_is_no_head(self):
        self.check(lambda: self.pause([self.find_other_member()], SILENCE_S))

    # Guards against the loss of streams at silent instances beside one that has ended.
    def test_only_streams_of_the_instance_that_ended_break(self):
        for path in PATHS:
            with self.subTest(path=path):
                self.wait_served()
                heads = self.choose_heads()

                def end_one(heads=heads):
                    self.pause(heads, SILENCE_S)
                    self.control('pool', '/crash', instances=heads[:1])

                found = self.read(path, end_one)
                allowed = set()
                if path.startswith('/single/'):
                    allowed = {
                        run['request'] for run in self.stats('pool')[heads[0]]['runs']
                    }
                self.assert_all_whole(
                    {name: got for name, got in found.items() if name not in allowed}
                )


class SilenceLengthTest(SilencesCase):
    """All instances fall silent, for several lengths of time."""

    def check_length(self, seconds):
        self.check(lambda: self.pause([], seconds))

    # Guards against streams that end in a silence of a certain length only.
    def test_streams_outlast_silences_of_all_lengths(self):
        for seconds in LENGTHS_S:
            with self.subTest(seconds=seconds):
                self.check_length(seconds)

    # Guards against refusals in the seconds after a silence of a certain length.
    def test_streams_sent_after_silences_of_all_lengths_are_whole(self):
        for seconds in LENGTHS_S:
            with self.subTest(seconds=seconds):
                self.wait_served()
                self.read('/stream/x', lambda seconds=seconds: self.pause([], seconds))
                for path in PATHS:
                    self.assert_all_whole(self.read(path, lambda: None))

    # Guards against an attempt that is spent on the first of two silences.
    def test_streams_outlast_two_silences_in_a_row(self):
        def pause_twice():
            for _ in range(2):
                self.pause([], SILENCE_S)
                pause_for(SILENCE_S + 0.3)

        self.check(pause_twice)

    # Guards against a run that is ended between the head of its response and its first
    # event.
    def test_streams_begin_after_a_silence_between_head_and_first_event(self):
        for path in PATHS:
            with self.subTest(path=path):
                self.wait_served()
                self.control('pool', '/fault', mode='late_events', for_s=SILENCE_S)
                self.addCleanup(self.control, 'pool', '/fault', mode='none')
                self.assert_all_whole(self.read(path, lambda: None))


class SilenceBesideTest(SilencesCase):
    """All instances fall silent while something else happens."""

    def change_configuration(self, **fields):
        """Write a configuration with the next version."""
        self.configure(version=next(VERSIONS), **fields)

    # Guards against streams that end as instances are silent after a change.
    def test_streams_outlast_a_silence_after_a_change_of_the_configuration(self):
        limits = build_configuration()['limits']

        def change():
            self.change_configuration(limits={**limits, 'idle_timeout_ms': 14_000})
            pause_for(AFTER_CHANGE_S)
            self.pause([], SILENCE_S)

        self.check(change)

    # Guards against streams that end as their node reads its settings again.
    def test_streams_outlast_a_silence_beside_sighup(self):
        def reload():
            self.pause([], SILENCE_S)
            for node in self.nodes:
                self.running[node].process.send_signal(signal.SIGHUP)

        self.check(reload)

    # Guards against streams of a stopping node that end as instances are silent.
    def test_streams_outlast_a_silence_beside_the_planned_stop_of_their_node(self):
        for path in PATHS:
            with self.subTest(path=path):
                self.wait_served()
                found = self.read(path, lambda: self.stop_beside_silence('n1'))
                code = self.running['n1'].process.wait()
                self.running['n1'].start_again()
                self.wait_for(self.running['n1'].has_started_again, 'n1 listens')
                self.assert_all_whole(found)
                self.assertEqual(code, 0)

    def stop_beside_silence(self, node):
        self.pause([], SILENCE_S)
        self.running[node].process.send_signal(signal.SIGTERM)

    # Guards against streams that end as neither instances nor the store answer.
    def test_streams_outlast_a_silence_beside_an_outage_of_the_store(self):
        def fail():
            self.set_store_fault(mode='down')
            self.pause([], SILENCE_S)

        self.addCleanup(self.set_store_fault, mode='none')
        for path in PATHS:
            with self.subTest(path=path):
                self.wait_served()
                found = self.read(path, fail)
                self.set_store_fault(mode='none')
                self.assert_all_whole(found)


class StoppedProcessTest(SilencesCase):
    """A whole process stands still, of the instances or of a node."""

    # Guards against streams that end as the process of all instances stands still.
    def test_streams_outlast_a_stop_of_the_process_of_all_instances(self):
        process = self.processes['pool'].process
        self.check(lambda: self.stop(process, SILENCE_S))

    # Guards against streams that end as their node stands still.
    def test_streams_outlast_a_standstill_of_their_node(self):
        process = self.running['n1'].process
        self.check(lambda: self.stop(process, STOPPED_S))

    # Guards against a node that takes its own standstill for one of the instances.
    def test_node_that_stood_still_does_not_suspect_all_instances(self):
        node = self.running['n1']
        began = len(node.read_events())
        self.read('/stream/x', lambda: self.stop(node.process, STOPPED_S))
        suspected = set()
        for event in node.read_events()[began:]:
            if event.get('message_type') == 'run.stalled':
                suspected.add(event['instance'])
            if event.get('message_type') == 'instance.probed':
                suspected.update(event['silent'])
        self.assertFalse(suspected >= set(self.find_heads()), suspected)


class TunnelledStreamTest(SilencesCase):
    """Streams that a peer carries, as their node has lost its paths."""

    own_paths = True

    def setUp(self):
        """Cut the paths of a node, and wait until its peer carries its streams."""
        super().setUp()
        self.wait_for(lambda: not self.is_cut_off('n1'), 'the node has paths')
        self.addCleanup(self.cut, self.nodes, 'none')
        self.cut(['n1'], 'hang')
        self.wait_for(
            lambda: self.serves('n1') and self.is_cut_off('n1'),
            'the node knows that it is cut off',
        )

    def is_cut_off(self, node):
        """Whether a node sends through its peers."""
        found = [
            event['message_type']
            for event in self.running[node].read_events()
            if event.get('message_type') in ('paths.lost', 'paths.recovered')
        ]
        return found[-1:] == ['paths.lost']

    # Guards against tunnels that are closed as an instance is silent.
    def test_streams_through_a_peer_outlast_a_silence_of_all_instances(self):
        self.check(lambda: self.pause([], STOPPED_S))

    # Guards against tunnels that are given up as the peer stands still.
    def test_streams_through_a_peer_outlast_a_standstill_of_the_peer(self):
        peer = self.running['n2'].process
        self.check(lambda: self.stop(peer, STOPPED_S))


class PlainCallTest(SilentInstancesCase):
    """Plain calls to instances that are silent."""

    def check(self, instances, method, path):
        self.wait_served()
        self.control('api', '/pause', instances=instances, for_s=SILENCE_S)
        name = f'{self.id().rpartition(".")[2]}-{len(instances)}'
        requests = {
            f'{name}-{node}-{number}': node
            for node in self.nodes
            for number in range(CALLERS)
        }
        with ThreadPoolExecutor(len(requests)) as pool:
            futures = {
                request: pool.submit(self.send, node, method, path, request)
                for request, node in requests.items()
            }
        statuses = {
            request: future.result().status_code for request, future in futures.items()
        }
        self.assertEqual(statuses, dict.fromkeys(requests, 200))
        return requests

    def find_some(self):
        """Return two of the three plain instances."""
        return list(self.stats('api'))[:2]

    # Guards against calls that fail as instances are silent.
    def test_repeatable_calls_outlast_a_silence(self):
        for instances in ([], self.find_some()):
            with self.subTest(instances=len(instances)):
                self.check(instances, 'GET', '/again/x')

    # Guards against calls that run twice, or fail, as instances are silent.
    def test_calls_that_must_not_be_repeated_run_once_after_a_silence(self):
        for instances in ([], self.find_some()):
            with self.subTest(instances=len(instances)):
                requests = self.check(instances, 'POST', f'/once/{len(instances)}')
                runs = {request: len(self.find_runs(request)) for request in requests}
                self.assertEqual(runs, dict.fromkeys(requests, 1))


class LateErrorTest(SilentInstancesCase):
    """The body of an error response comes late."""

    def setUp(self):
        """Begin without a fault."""
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        super().setUp()

    def set_fault(self, instances):
        """Let instances answer with errors whose bodies come late; none named: all."""
        fault = {'mode': 'error', 'delay_s': LATE_BODY_S}
        self.control('pool', '/fault', instances=instances, **fault)

    # Guards against error responses that are dropped as their bodies come late.
    def test_error_with_a_late_body_is_forwarded(self):
        self.set_fault([])
        for path in PATHS:
            with self.subTest(path=path):
                request = f'late-error-{path[1:7]}'
                reply = self.send('n1', 'POST', path, request)
                self.assertEqual((reply.status_code, reply.text), (500, 'no'))

    # Guards against errors of instances that are replaced long before their deadline.
    def test_error_with_a_body_that_comes_much_later_is_forwarded(self):
        fault = {'mode': 'error', 'delay_s': MUCH_LATER_S}
        for service, method, path in (
            ('pool', 'POST', '/stream/x'),
            ('api', 'POST', '/once/x'),
        ):
            with self.subTest(path=path):
                self.addCleanup(self.control, service, '/fault', mode='none')
                self.control(service, '/fault', instances=[], **fault)
                request = f'much-later-{path[1:5]}'
                reply = self.send('n1', method, path, request)
                self.assertEqual((reply.status_code, reply.text), (500, 'no'))

    # Guards against streams that are not tried elsewhere after a late error body.
    def test_stream_is_served_elsewhere_after_an_error_with_a_late_body(self):
        self.set_fault(self.find_heads()[:1])
        self.assert_all_whole(self.read_streams('/stream/e', 'elsewhere', lambda: None))


class DeadMemberTest(SilencesCase):
    """A member of a group dies in silence."""

    engines = 7
    groups = 3

    def setUp(self):
        """Begin without a fault."""
        self.addCleanup(self.control, 'pool', '/fault', mode='none')
        super().setUp()

    # Guards against streams that wait for an instance that has died.
    def test_streams_go_on_elsewhere_in_time_after_a_head_has_died(self):
        def kill():
            self.set_fault('dark', self.find_heads()[0])

        self.assert_resumed_in_time(kill)

    # Guards against streams that wait for a head whose group has lost a member.
    def test_streams_go_on_elsewhere_in_time_after_a_member_has_died(self):
        def kill():
            head = self.find_heads()[0]
            members = self.stats('pool')[head]['members']
            self.set_fault('still', head)
            self.set_fault('dark', members[1])

        self.assert_resumed_in_time(kill)

    def set_fault(self, mode, instance):
        """Let an instance go wrong until the test ends."""
        self.control('pool', '/fault', mode=mode, instances=[instance])

    def assert_resumed_in_time(self, kill):
        """Check that streams are whole, without a pause that clients do not bear."""
        parts = {}
        self.on_part = lambda request: parts.setdefault(request, []).append(
            time.monotonic()
        )
        began = {node: len(self.running[node].read_events()) for node in self.nodes}
        self.assert_all_whole(self.read('/stream/x', kill))
        resumed = [
            event
            for node in self.nodes
            for event in self.running[node].read_events()[began[node] :]
            if event.get('message_type') == 'request.resumed'
        ]
        self.assertTrue(resumed)
        longest_s = max(
            after - before
            for times in parts.values()
            for before, after in itertools.pairwise(times)
        )
        self.assertLess(longest_s, RESUMED_WITHIN_S)
