"""The only instance of a plain service falls silent for a moment."""

from __future__ import annotations

import time

from tests.whole.platform_base import PlatformCase


class SilentLastInstanceTest(PlatformCase):
    """Calls that no other instance can serve."""

    def setUp(self):
        """Leave one instance of the service, which all nodes use."""
        names = sorted(self.stats('api'))
        self.control('api', '/vanish', instances=names[1:])
        self.last = names[0]
        for node in self.nodes:
            self.wait_for(lambda node=node: self.is_last(node), f'{node} sees one')

    def is_last(self, node):
        """Whether a node has heard that the other instances are gone."""
        gone = {
            event['instance']
            for event in self.running[node].read_events('instance.gone')
        }
        return set(self.stats('api')) - {self.last} <= gone

    # Guards against a call being abandoned because of silence that nothing replaces.
    def test_call_that_may_be_repeated_outlasts_a_silence_of_the_only_instance(self):
        self.control('api', '/pause', instances=[self.last], for_s=1.5)
        began_at = time.monotonic()
        reply = self.send('n1', 'GET', '/again/x', 'silent-last')
        took_s = time.monotonic() - began_at
        self.assertEqual(reply.status_code, 200, f'after {took_s:.3f} s: {reply.text}')
