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

    def make_cold(self, names):
        """Let instances become cold, with a configuration that limits them."""
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
        self.control('api', '/cold', instances=names, left_ms=int(COLD_S * 1000))
        return time.monotonic()

    def test_limit_of_one_holds_and_the_others_serve(self):
        name = min(self.stats('api'))
        began = self.make_cold([name])
        replies = self.send_for(COLD_S, 'GET', '/again/x')
        most = self.count_most(name, began + CONTACT_S, began + COLD_S)
        self.assertLessEqual(most, ALLOWED)
        # What the instance doesn't take goes to the others.
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})

    def test_limit_of_all_is_used_until_they_are_warm(self):
        """Whether one of several gets requests also depends on how slow it seemed."""
        names = list(self.stats('api'))
        began = self.make_cold(names)
        replies = self.send_for(COLD_S + CONTACT_S + 2.0, 'GET', '/again/x')
        known, warm = began + CONTACT_S, began + COLD_S
        for name in names:
            most = self.count_most(name, known, warm)
            self.assertLessEqual(most, ALLOWED)
            self.assertGreater(most, 0)
        arrivals = [
            at for item in self.stats('api').values() for at in item['arrivals']
        ]
        used = sum(known <= at < warm for at in arrivals)
        self.assertGreaterEqual(used, 0.5 * LIMIT * len(names) * (warm - known))
        after = sum(warm + 2.0 <= at < warm + 3.0 for at in arrivals)
        self.assertGreater(after, ALLOWED * len(names))
        self.assertEqual({reply.status_code for reply, _ in replies}, {200, 503})
        for kind in ('instance.cold', 'instance.warm'):
            logged = [
                event['instance']
                for node in self.running.values()
                for event in node.read_events(kind)
            ]
            self.assertEqual(set(logged), set(names), kind)
