"""Streams whose instance ended while its node had no path to any instance."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.whole.platform_base import PlatformCase, build_configuration, build_headers

EVENTS = 250

#: Calls that let a node find that it has no path for new connections.
CALLS = 6


class StreamEndOfGoneInstanceTest(PlatformCase):
    """The end of the connection is all that tells the end of these streams."""

    events = EVENTS
    own_paths = True

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with a route of streams that may not be resumed."""
        routes = build_configuration()['routes']
        single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
        super().configure(routes=[*routes, {**routes[0], **single}], **fields)

    def end_instance(self, request):
        """End the instance of a request once no node has a path for new connections."""
        heads = [
            name
            for name, item in self.stats('pool').items()
            if request in [run['request'] for run in item['runs']]
        ]
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
        self.control('pool', '/fault', mode='none', framing='connection')
        request, text, whole = 'ended-in-cut', '', False
        url = self.running['n1'].url + '/single/x'
        headers = build_headers(request)
        try:
            with self.client.stream('POST', url, headers=headers) as reply:
                for part in reply.iter_text():
                    if not text:
                        self.end_instance(request)
                    text += part
            whole = True
        except httpx.RemoteProtocolError:
            pass
        count = text.count('\n\n')
        self.assertFalse(whole and count < EVENTS, f'{count} of {EVENTS} events')
