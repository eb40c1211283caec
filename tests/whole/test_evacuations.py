"""Evacuation of a zone, with real processes in two zones."""

from __future__ import annotations

import time

from tests.whole.steady_clients import SteadyClientsCase

#: Seconds for which clients send before the request, while the zone is evacuated, and
#: after the request is withdrawn.
SEND_S = 1.0

#: The two kinds of requests.
STREAM = ('POST', '/stream/x')
CALL = ('GET', '/again/x')


class EvacuationTest(SteadyClientsCase):
    """Nodes stop sending to the zone in time, without failing a request."""

    nodes = ('n1', 'n2')
    evacuate_s = 2.0

    @classmethod
    def setUpClass(cls):
        """Start instances in a second zone, and wait for a group there."""
        super().setUpClass()
        place = ('--store', f'127.0.0.1:{cls.store}', '--zone', 'b')
        engine = ('--service', 'pool', '--engine', '--domain', 'd1', '--count', '2')
        engine += ('--events', str(cls.events))
        cls.start('pool-b', 'standins.replica', *place, *engine)
        cls.start(
            'api-b', 'standins.replica', *place, '--service', 'api', '--count', '3'
        )
        cls.wait_for(cls.has_group_in_b, 'a group is open in zone b')

    @classmethod
    def has_group_in_b(cls):
        """Whether a group is open in zone b."""
        groups = [item['group'] for item in cls.stats('pool-b').values()]
        return any(group and group['state'] == 'open' for group in groups)

    def list_arrivals(self, service, since):
        """Return the times from which on requests arrived at a service's instances."""
        return [
            visit['at']
            for item in self.stats(service).values()
            for visit in item['visits']
            if visit['at'] >= since
        ]

    def write_key(self, method, zone='a'):
        """Request or withdraw the evacuation; return when the store had answered."""
        self.client.request(
            method,
            f'http://127.0.0.1:{self.store}/operator',
            json={'key': f'op/evacuate/{zone}', 'value': '{}'},
        ).raise_for_status()
        return time.monotonic()

    def send_both(self, seconds):
        """Send both kinds of requests; return their statuses."""
        replies = self.send_for(seconds, *STREAM, clients=3)
        replies += self.send_for(seconds, *CALL, clients=3)
        return {reply.status_code for reply, _ in replies}

    def find_zones(self):
        """Return in which zones requests arrive that are sent now."""
        since = time.monotonic()
        self.send_both(SEND_S / 4)
        return {
            zone
            for zone, services in (('a', ('pool', 'api')), ('b', ('pool-b', 'api-b')))
            if all(self.list_arrivals(name, since) for name in services)
        }

    def test_zone_gets_nothing_until_the_request_is_withdrawn(self):
        # The nodes are in zone a, so that they prefer its instances.
        self.wait_for(lambda: 'a' in self.find_zones(), 'zone a is used')
        answered_at = self.write_key('POST')
        statuses = self.send_both(self.evacuate_s)
        self.start_node('n3')
        self.wait_for(lambda: self.serves('n3'), 'n3 serves')
        self.nodes = ('n1', 'n2', 'n3')
        statuses |= self.send_both(SEND_S)
        self.assertEqual(statuses, {200})
        self.assertEqual(self.find_zones(), {'b'})
        # The closed zone is not used either where the other one has no room.
        self.control('api-b', '/backoff', backoff='1')
        replies = self.send_for(SEND_S, *CALL)
        self.assertIn(503, {reply.status_code for reply, _ in replies})
        self.control('api-b', '/backoff', backoff=None)
        for service in ('pool', 'api'):
            late = self.list_arrivals(service, answered_at + self.evacuate_s)
            self.assertEqual(late, [], service)
        for name in self.nodes:
            closed = self.running[name].read_events('zone.closed')
            self.assertEqual(closed[-1]['zone'], 'a')
            port = self.running[name].ports['metrics']
            text = self.client.get(f'http://127.0.0.1:{port}/metrics').text
            self.assertIn('coursepitch_evacuated_zones{state="closed"} 1', text)
        self.write_key('DELETE')
        self.wait_for(lambda: 'a' in self.find_zones(), 'zone a is used again')

    def check_refused(self, node, method, path):
        """Check that a request is refused, and that the log tells why."""
        request = f'{node}-{time.monotonic()}'
        reply = self.send(node, method, path, request)
        self.assertEqual(reply.status_code, 503)
        self.assertGreater(float(reply.headers['retry-after']), 0)
        reason = self.wait_for(
            lambda: self.find_reason(node, request), 'the request is logged'
        )
        self.assertEqual(reason, 'all zones of the service are evacuated')

    def find_reason(self, node, request):
        """Return the reason in the log of a node for how a request ended."""
        for line in self.running[node].read_events('request.ended'):
            if line['request'] == request:
                return line['reason']
        return None

    def test_requests_are_refused_while_all_zones_are_evacuated(self):
        self.write_key('POST', 'a')
        self.write_key('POST', 'b')
        try:
            for name in ('n1', 'n2'):
                self.wait_for(
                    lambda name=name: (
                        len(self.running[name].read_events('service.evacuated')) >= 2
                    ),
                    f'{name} has closed both zones',
                )
                for kind in (STREAM, CALL):
                    self.check_refused(name, *kind)
        finally:
            self.write_key('DELETE', 'a')
            self.write_key('DELETE', 'b')
        for name in ('n1', 'n2'):
            self.wait_for(lambda name=name: self.serves(name), f'{name} serves')


class DisabledTest(SteadyClientsCase):
    """A deployment without evacuations, until they are enabled."""

    nodes = ('n1',)

    def test_keys_have_no_effect_until_evacuations_are_enabled(self):
        url = f'http://127.0.0.1:{self.store}'
        key = {'key': 'op/evacuate/a', 'value': '{}'}
        self.client.post(f'{url}/operator', json=key).raise_for_status()
        replies = self.send_for(SEND_S, *CALL) + self.send_for(SEND_S, *STREAM)
        self.assertEqual({reply.status_code for reply, _ in replies}, {200})
        node = self.running['n1']
        self.assertEqual(node.read_events('zone.evacuation_requested'), [])
        listings = self.client.get(f'{url}/stats').json()['listings']
        self.assertEqual(set(listings), {'coursepitch/', 'servers/'})
        node.change_settings('evacuate_s = 0', 'evacuate_s = 2')
        self.wait_for(lambda: node.read_events('zone.closed'), 'the zone is closed')
        self.assertEqual(self.send('n1', *CALL, 'late').status_code, 503)
