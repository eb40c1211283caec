"""Streams whose instance ended unseen: without a path, or as their node stood still."""

from __future__ import annotations

import signal
from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.whole.platform_base import PlatformCase, build_configuration, build_headers

EVENTS = 250

#: Calls that let a node find that it has no path for new connections.
CALLS = 6


class UnseenEndCase(PlatformCase):
    """The end of the connection is all that tells the end of these streams."""

    events = EVENTS
    own_paths = True

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with a route of streams that may not be resumed."""
        routes = build_configuration()['routes']
        single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
        super().configure(routes=[*routes, {**routes[0], **single}], **fields)

    def find_serving(self, request):
        """Return the instances that run a request."""
        return [
            name
            for name, item in self.stats('pool').items()
            if request in [run['request'] for run in item['runs']]
        ]

    def read_stream(self, request, on_data):
        """Return the number of events that a client got, and whether all came whole.

        :param on_data: called once a part of the body has arrived.
        """
        self.control('pool', '/fault', mode='none', framing='connection')
        url = self.running['n1'].url + '/single/x'
        headers = build_headers(request)
        text = ''
        try:
            with self.client.stream('POST', url, headers=headers) as reply:
                for part in reply.iter_text():
                    if not text:
                        on_data()
                    text += part
        except httpx.RemoteProtocolError:
            return text.count('\n\n'), False
        return text.count('\n\n'), True


class StreamEndOfGoneInstanceTest(UnseenEndCase):
    """The instance is killed while no node has a path for new connections."""

    def end_instance(self, request):
        """End the instance of a request once no node has a path for new connections."""
        heads = self.find_serving(request)
        self.cut(self.nodes, 'refuse')
        self.addCleanup(self.cut, self.nodes, 'none')

        def call(number):
            return self.send('n1', 'GET', '/again/x', f'lost-{number}').status_code

        with ThreadPoolExecutor(CALLS) as pool:
            list(pool.map(call, range(CALLS)))
            node = self.running['n1']
            self.wait_for(lambda: node.read_events('paths.lost'), 'n1 lost its paths')
        self.control('pool', '/crash', instances=heads)

    # Guards against streams that look complete although their instance ended in them.
    def test_stream_is_not_complete_if_its_instance_ended_and_is_gone(self):
        request = 'ended-in-cut'
        count, whole = self.read_stream(request, lambda: self.end_instance(request))
        self.assertFalse(whole and count < EVENTS, f'{count} of {EVENTS} events')


class NodeStoodStillTest(UnseenEndCase):
    """The instance is killed, and its entry goes, while its node stands still."""

    engines = 9

    def end_instance(self, request):
        """End the instance of a request while its node stands still."""
        process, other = self.running['n1'].process, self.running['n2']
        heads = self.find_serving(request)

        def is_gone():
            gone = {item['instance'] for item in other.read_events('instance.gone')}
            return gone.issuperset(heads)

        process.send_signal(signal.SIGSTOP)
        try:
            self.control('pool', '/crash', instances=heads)
            self.wait_for(is_gone, 'the entry is gone')
        finally:
            process.send_signal(signal.SIGCONT)

    # Guards against streams that look complete as their end is read only once the
    # entry of their instance is gone.
    def test_stream_is_not_complete_if_its_instance_ended_and_is_gone(self):
        for number in range(3):
            with self.subTest(number=number):
                self.wait_for(self.find_heads, 'a group is open')
                self.wait_for(lambda: self.serves('n1'), 'n1 serves')
                request = f'ended-in-pause-{number}'
                count, whole = self.read_stream(
                    request, lambda request=request: self.end_instance(request)
                )
                found = f'{count} of {EVENTS} events'
                self.assertFalse(whole and count < EVENTS, found)
