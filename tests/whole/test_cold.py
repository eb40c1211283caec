"""Instances that are cold, and take few requests a second from all nodes together."""

from __future__ import annotations

import time

from tests.whole.platform_base import build_configuration
from tests.whole.steady_clients import SteadyClientsCase

#: Requests a second that a cold instance takes, and the most in any one second.
LIMIT = 2.0
ALLOWED = 1.5 * LIMIT + 5

#: Event of a configuration that takes effect.
TABLE = 'config.table_in_force'

#: Seconds for which the instance is cold, and within which all nodes know.
COLD_S = 8.0
CONTACT_S = 3.0


class ColdInstanceTest(SteadyClientsCase):
    """A cold instance gets no more than it takes, and as much as others once warm.

    Guards against nodes that send it all that its empty slots seem to allow: 20 a
    second from clients of four nodes before three instances.
    """

    def count_most(self, name, since, until):
        """Return the most requests that an instance got in a second of a period."""
        arrivals = self.stats('api')[name]['arrivals']
        inside = [at for at in arrivals if since <= at < until]
        return max(
            (sum(at <= x < at + 1.0 for x in inside) for at in inside), default=0
        )

    def test_limit_holds_over_all_nodes_until_the_instance_is_warm(self):
        services = build_configuration()['services']
        for service in services:
            if service['name'] == 'api':
                service.update(cold_s=COLD_S, cold_per_s=LIMIT)
        self.configure(version=2, services=services)
        self.wait_for(
            lambda: all(
                any(event['version'] == 2 for event in node.read_events(TABLE))
                for node in self.running.values()
            ),
            'all nodes have the configuration',
        )
        name = min(self.stats('api'))
        self.control('api', '/cold', instances=[name], left_ms=int(COLD_S * 1000))
        began = time.monotonic()
        replies = self.send_for(COLD_S + CONTACT_S + 2.0, 'GET', '/again/x')
        known, warm = began + CONTACT_S, began + COLD_S
        most = self.count_most(name, known, warm)
        self.assertLessEqual(most, ALLOWED)
        self.assertGreater(most, 0)
        self.assertGreater(self.count_most(name, warm + 1.0, time.monotonic()), ALLOWED)
        # What the instance doesn't take goes to the others.
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})
        for kind in ('instance.cold', 'instance.warm'):
            logged = [len(node.read_events(kind)) for node in self.running.values()]
            self.assertEqual(max(logged), 1, kind)
