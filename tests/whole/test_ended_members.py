"""Requests while members of all groups have ended and the store is away."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from tests.whole.silence_base import SilentInstancesCase

#: Longest time in seconds of a refusal: about that of a request without groups.
REFUSED_WITHIN_S = 1.0


class EndedMembersTest(SilentInstancesCase):
    """No group forms again, as the store is away."""

    def find_refused(self, node):
        """Return the instances that a node found to refuse connections."""
        return {
            name
            for event in self.running[node].read_events('instance.probed')
            for name in event['refused']
        }

    # Guards against requests that wait until their deadline at silent heads of groups
    # that are known to have lost a member.
    def test_requests_are_refused_at_once_if_all_groups_are_proven_gone(self):
        stats, heads = self.stats('pool'), self.find_heads()
        members = {stats[head]['members'][1] for head in heads}
        self.addCleanup(self.set_store_fault, mode='none')
        self.set_store_fault(mode='down')
        self.control('pool', '/fault', mode='dark', instances=sorted(heads))
        self.control('pool', '/crash', instances=sorted(members))
        with ThreadPoolExecutor(8) as pool:
            for number in range(8):
                pool.submit(self.read_stream, 'n1', '/stream/f', f'find-{number}')
            self.wait_for(
                lambda: members <= self.find_refused('n1'), 'n1 knows all losses'
            )
            for node in self.nodes:
                for path in ('/stream/g', '/single/g'):
                    with self.subTest(node=node, path=path):
                        began_at = time.monotonic()
                        status, *_ = self.read_stream(node, path, f'{node}{path[1:7]}')
                        took_s = time.monotonic() - began_at
                        self.assertEqual(status, 503)
                        self.assertLess(took_s, REFUSED_WITHIN_S)
