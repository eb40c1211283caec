"""Base of tests on sound instances that fall silent and go on."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.whole.platform_base import (
    PlatformCase,
    build_configuration,
    build_headers,
)

EVENTS = 40

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

    #: Open groups that all nodes use as a test begins.
    groups = 2

    def setUp(self):
        """Begin with instances that answer."""
        self.on_part = lambda request: None
        self.addCleanup(self.pause, [], 0.0)
        self.wait_served()

    def wait_served(self):
        """Wait until all groups are open and all nodes serve."""
        self.wait_for(
            lambda: len(self.find_heads() or ()) >= self.groups, 'all groups are open'
        )
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
                    self.on_part(request)
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
        whole_ids = list(range(1, self.events + 1))
        broken = {
            request: (status, len(ids), whole)
            for request, (status, ids, whole) in found.items()
            if (status, ids, whole) != (200, whole_ids, True)
        }
        self.assertFalse(broken)
