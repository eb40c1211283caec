"""Sound instances that fall silent for a moment, and what their clients get."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import httpx

from tests.whole.platform_base import (
    PlatformCase,
    build_configuration,
    build_headers,
)

EVENTS = 40

WHOLE = list(range(1, EVENTS + 1))

#: Streams that are under way on each node as the instances fall silent.
CLIENTS = 6


def read_ids(text):
    """Return the ids of the whole events of a stream."""
    return [int(event.split()[1]) for event in text.split('\n\n')[:-1]]


class SilentInstancesCase(PlatformCase):
    """Routes of streams that may be resumed and that may not."""

    events = EVENTS

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with these routes."""
        routes = build_configuration()['routes']
        single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
        routes = [*routes, {**routes[0], **single}]
        super().configure(routes=routes, **fields)

    def setUp(self):
        """Begin with two open groups that all nodes use."""
        self.wait_for(self.find_heads, 'two groups are open')
        for node in self.nodes:
            self.wait_for(lambda node=node: self.serves(node), f'{node} serves')

    def pause(self, instances, seconds):
        """Let instances of the pool stand still; none named: all."""
        self.control('pool', '/pause', instances=instances, for_s=seconds)

    def read_stream(self, node, path, request, begun=None):
        """Return the status, the ids that a client got, and whether it got the end.

        :param begun: released once a part of the body has arrived.
        """
        text, whole, status = '', False, 0
        url = self.running[node].url + path
        try:
            with (
                httpx.Client(timeout=15, trust_env=False) as client,
                client.stream('POST', url, headers=build_headers(request)) as reply,
            ):
                status = reply.status_code
                for part in reply.iter_text():
                    text += part
                    if begun is not None:
                        begun.release()
                        begun = None
            whole = status == 200
        except httpx.RemoteProtocolError:
            whole = False
        finally:
            if begun is not None:
                begun.release()
        return status, read_ids(text) if status == 200 else [], whole

    def read_streams(self, path, name, on_begun):
        """Return what clients of all nodes got, by the names of their requests.

        :param on_begun: called once all streams have begun.
        """
        begun = threading.Semaphore(0)
        requests = {
            f'{name}-{node}-{number}': node
            for node in self.nodes
            for number in range(CLIENTS)
        }
        with ThreadPoolExecutor(len(requests)) as pool:
            futures = {
                request: pool.submit(self.read_stream, node, path, request, begun)
                for request, node in requests.items()
            }
            for _ in requests:
                begun.acquire()
            on_begun()
        return {request: future.result() for request, future in futures.items()}

    def find_heads_of(self, request):
        """Return the instances that ran a request."""
        return [
            name
            for name, item in self.stats('pool').items()
            if request in [run['request'] for run in item['runs']]
        ]

    def assert_all_whole(self, found):
        """Check that each client got a whole stream."""
        broken = {
            request: (status, len(ids), whole)
            for request, (status, ids, whole) in found.items()
            if (status, ids, whole) != (200, WHOLE, True)
        }
        self.assertFalse(broken)


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
        requests = [
            f'{name}-{node}-{number}' for node in self.nodes for number in '123'
        ]
        with ThreadPoolExecutor(len(requests)) as pool:
            begun = threading.Semaphore(0)
            for request in requests:
                node = request.split('-')[1]
                pool.submit(self.read_stream, node, '/single/x', request, begun)
            for _ in requests:
                begun.acquire()
            heads = set(self.find_heads())
            self.pause([], seconds)
            for node in self.nodes:
                self.wait_for(
                    lambda node=node: heads <= self.find_suspected(node, requests),
                    f'{node} suspects {heads}',
                )
            yield

    def find_suspected(self, node, requests):
        """Return the heads of which a node suspects a run of these requests."""
        return {
            event['instance']
            for event in self.running[node].read_events('run.stalled')
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
        with self.suspect_all(0.5, 'short'):
            # The streams of both nodes go on before this ends.
            pass
        self.assert_all_whole(self.read_streams('/single/t', 'after', lambda: None))
