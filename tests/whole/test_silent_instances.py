"""Sound instances that fall silent for a moment, and what their clients get."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from tests.whole.silence_base import SilentInstancesCase

#: Streams that are opened at most until each node has one at each head.
MAX_STREAMS = 24


class BegunStreamTest(SilentInstancesCase):
    """Streams that have begun when their instances fall silent."""

    def check(self, path, seconds, find_silent=list):
        def pause():
            self.pause(find_silent(), seconds)

        name = f'{self.id().rpartition("_")[2]}-{seconds}'
        self.assert_all_whole(self.read_streams(path, name, pause))

    # Guards against the last allowed run being abandoned because of silence.
    def test_stream_goes_on_after_all_instances_were_silent(self):
        self.check('/stream/x', 1.2)

    # Guards against both allowed runs being abandoned because of silence.
    def test_stream_goes_on_after_the_group_that_resumed_it_was_silent_too(self):
        request = 'silent-in-turn'

        def pause_in_turn():
            self.pause([self.find_heads_of(request)[0]], 3.0)
            self.wait_for(
                lambda: len(self.find_heads_of(request)) > 1, 'a second run begins'
            )
            self.pause([], 1.2)

        with ThreadPoolExecutor(1) as pool:
            begun = threading.Semaphore(0)
            future = pool.submit(self.read_stream, 'n1', '/stream/x', request, begun)
            begun.acquire()
            pause_in_turn()
        self.assert_all_whole({request: future.result()})

    # Guards against a run being abandoned that nothing may replace.
    def test_stream_that_must_not_be_resumed_goes_on_after_a_silence(self):
        self.check('/single/x', 1.2)

    def test_stream_that_must_not_be_resumed_goes_on_after_one_head_was_silent(self):
        self.check('/single/y', 1.2, lambda: self.find_heads()[:1])


class SentStreamTest(SilentInstancesCase):
    """Requests that are sent while all instances are silent, or shortly after."""

    def check(self, path):
        self.pause([], 1.2)
        self.assert_all_whole(self.read_streams(path, 'sent' + path, lambda: None))

    @contextmanager
    def suspect_all(self, seconds, name):
        """Let all instances fall silent; enter once both nodes suspect all groups."""
        requests, heads = [], set(self.find_heads())
        with ThreadPoolExecutor(MAX_STREAMS) as pool:
            begun = threading.Semaphore(0)
            while lacking := self.find_nodes_without_streams(requests, heads):
                # Streams may have ended before their instances fell silent.
                self.pause([], 0.0)
                while lacking:
                    self.assertLess(len(requests), MAX_STREAMS, 'a head gets nothing')
                    request = f'{name}-{lacking[0]}-{len(requests)}'
                    requests.append(request)
                    path = '/single/x'
                    pool.submit(self.read_stream, lacking[0], path, request, begun)
                    begun.acquire()
                    lacking = self.find_nodes_without_streams(requests, heads)
                self.pause([], seconds)
            for node in self.nodes:
                self.wait_for(
                    lambda node=node: (
                        heads <= self.find_heads_of_node(node, requests, 'run.stalled')
                    ),
                    f'{node} suspects {heads}',
                )
            yield

    def find_nodes_without_streams(self, requests, heads):
        """Return the nodes that have no stream under way at one of these heads."""
        lacking = []
        for node in self.nodes:
            events = self.running[node].read_events('request.ended')
            under_way = set(requests) - {event['request'] for event in events}
            if not heads <= self.find_heads_of_node(node, under_way):
                lacking.append(node)
        return lacking

    def find_heads_of_node(self, node, requests, event='request.sent'):
        """Return the heads that a node names in an event of these requests."""
        return {
            event['instance']
            for event in self.running[node].read_events(event)
            if event['request'] in requests
        }

    # Guards against refusals because of a silence that tells of no instance.
    def test_stream_sent_during_a_silence_is_served(self):
        self.check('/stream/z')

    def test_stream_that_must_not_be_resumed_and_is_sent_during_it_is_served(self):
        self.check('/single/z')

    def check_while_suspected(self, path):
        with self.suspect_all(1.5, 'suspect' + path[1:7]):
            found = self.read_streams(path, 'meanwhile' + path, lambda: None)
        self.assert_all_whole(found)

    # Guards against refusals while nodes suspect all groups of a model.
    def test_stream_sent_while_all_groups_are_suspected_is_served(self):
        self.check_while_suspected('/stream/s')

    def test_stream_that_must_not_be_resumed_is_served_while_all_are_suspected(self):
        self.check_while_suspected('/single/s')

    # Guards against groups that are avoided for seconds after a short silence.
    def test_stream_sent_after_a_short_silence_is_served(self):
        with self.suspect_all(1.5, 'short'):
            self.pause([], 0.0)
        self.assert_all_whole(self.read_streams('/single/t', 'after', lambda: None))
