"""Entries that another writer left among those of the instances and of the fleet."""

from __future__ import annotations

import json

from tests.odd_values import FIXED_JSON
from tests.whole.platform_base import PlatformCase

#: An entry as a plain instance writes it.
ENTRY = {
    'service': 'api',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'version': 'v1',
    'slots': 11,
    'state': 'ready',
    'born': 1,
    'domain': '',
    'models': [],
    'staged': [],
    'group': {'name': 'g', 'epoch': 7, 'rank': 0, 'state': 'open'},
}

#: Fields of an entry that are replaced.
FIELDS = ('address', 'zone', 'slots', 'born', 'staged', 'group', 'cold_left_ms')

#: Addresses that no machine can have.
ADDRESSES = (
    '127.0.0.1:65536',
    '127.0.0.1:' + '9' * 41,
    '127.0.0.1:' + '9' * 5_000,
    'h' * 70 + '.example:80',
    'a\0b:80',
)

#: Requests that may be repeated, after odd entries came.
REQUESTS = 24


class OddEntryTest(PlatformCase):
    """Nodes pass odd entries over: they run on, follow the store and serve."""

    nodes = ('n1', 'n2')

    @classmethod
    def write(cls, key, value):
        """Write a key as another process does."""
        cls.client.post(
            f'http://127.0.0.1:{cls.store}/operator', json={'key': key, 'value': value}
        ).raise_for_status()

    @classmethod
    def write_odd_values(cls):
        """Write entries with odd values in one field each.

        Those that can be read stand for instances that do not answer, of a service
        that no route leads to.
        """
        for field in FIELDS:
            for number, value in enumerate(FIXED_JSON):
                text = json.dumps({**ENTRY, 'service': 'odd', field: '@'}).replace(
                    '"@"', value
                )
                cls.write(f'servers/odd-{field}-{number}', text)
        for number, value in enumerate(FIXED_JSON):
            cls.write(f'servers/odd-{number}', value)
            cls.write(f'coursepitch/claims/pool/odd{number}', value)
            cls.write(f'coursepitch/loads/odd{number}', value)
            cls.write(f'coursepitch/refused/odd{number}', value)
        for number, address in enumerate(ADDRESSES):
            text = json.dumps({**ENTRY, 'address': address})
            cls.write(f'servers/address-{number}', text)
            cls.write(f'coursepitch/nodes/odd{number}', f'{address} a')
        cls.write('servers/line\nbreak', json.dumps(ENTRY))
        cls.write('servers/' + 'x' * 10_000, json.dumps(ENTRY))
        cls.write('op/evacuate/' + '\0' * 100, FIXED_JSON[-1])

    def check_served(self, node, name):
        """Check that requests are served on a node."""
        found = [
            self.send(node, 'GET', '/again/x', f'{name}-{node}-{number}').status_code
            for number in range(REQUESTS)
        ]
        self.assertEqual(found, [200] * REQUESTS)
        self.wait_for(lambda: self.serves(node), f'{node} serves streams')

    def check_follows(self, version):
        """Check that all nodes get a configuration that is written now."""
        self.configure(version=version)
        for node in self.nodes:
            self.wait_for(
                lambda node=node: any(
                    event['version'] == version
                    for event in self.running[node].read_events('config.table_in_force')
                ),
                f'{node} follows the store',
            )

    # Guards against nodes that end, or no longer follow the store, by an odd entry.
    def test_nodes_run_on_and_serve(self):
        self.write_odd_values()
        self.check_follows(2)
        for node in self.nodes:
            self.assertIsNone(self.running[node].process.poll())
            self.check_served(node, 'watched')
        node = self.running['n2']
        node.process.kill()
        node.process.wait()
        node.start_again()
        self.wait_for(node.has_started_again, 'n2 listens again')
        self.wait_for(lambda: self.serves('n2'), 'n2 serves again')
        self.check_served('n2', 'listed')
        self.check_follows(3)
        for name in self.nodes:
            self.assertIsNone(self.running[name].process.poll())
            self.assertEqual(self.running[name].read_events('node.fault'), [])
            damaged = self.running[name].read_events('instance.damaged')
            self.assertTrue(damaged)
