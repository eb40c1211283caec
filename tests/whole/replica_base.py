"""Base of tests on replicas under failure of processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from tests.whole.base import GROUP, SystemCase

if TYPE_CHECKING:
    import signal


class ReplicaCase(SystemCase):
    """Helpers of tests on replicas."""

    def setUp(self) -> None:
        """Begin with whole replicas."""
        self.harness.set_fault('kv', mode='none')
        for node in self.nodes:
            self.harness.wait_for(
                lambda node=node: self.harness.is_ready(node), f'{node} serves'
            )
        self.harness.wait_converged('n1', 'group', GROUP)
        for node in self.nodes:
            self.harness.wait_for(
                lambda node=node: self.count_serving(node) == self.replicas,
                f'{node} sees all replicas serve',
            )

    def serving(self, node: str = 'n1') -> dict[str, dict[str, Any]]:
        found = self.harness.replicas(node, GROUP)
        return {item['name']: item for item in found if item['serving']}

    def wait_out(self, replica: str) -> None:
        """Wait until no node routes to a replica."""
        for node in self.nodes:
            self.harness.wait_for(
                lambda node=node: replica not in self.serving(node),
                f'{node} does not route to {replica}',
            )

    def read_claims(self) -> list[dict[str, Any]]:
        """Return the replicas in the service's own store."""
        entries = self.harness.stats('kv')['entries']
        return [
            replica
            for key, entry in entries.items()
            if key.startswith('claims/')
            for replica in json.loads(entry['value'])['replicas']
        ]

    def assert_no_double_claim(self) -> None:
        names = [m['instance'] for r in self.read_claims() for m in r['members']]
        self.assertEqual(len(names), len(set(names)), names)

    def duties(self) -> dict[str, str]:
        """Return the holders of duties in the service's own store."""
        entries = self.harness.stats('kv')['entries']
        return {
            key: json.loads(entry['value'])['holder']
            for key, entry in entries.items()
            if key.startswith('c/duty/')
        }

    def read_lease(self, duty: str) -> str:
        """Return the lease under which a duty is held; empty if nobody does."""
        entry = self.harness.stats('kv')['entries'].get(duty)
        return str(json.loads(entry['value'])['lease']) if entry else ''

    def send(self, name: str, number: signal.Signals) -> None:
        self.harness.processes[name].send(number)
