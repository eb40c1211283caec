"""Nodes of the OpenAI interface that reach no engine, while others do."""

from __future__ import annotations

import time

from tests.whole.base import GROUP, PATIENT
from tests.whole.replica_base import ReplicaCase

#: Seconds after the start of a cut from which users count, and seconds counted.
CONTACT_S = 3.0
COUNTED_S = 6.0

#: Longest time in seconds that a refusal may take if it is known that nothing serves.
REFUSAL_S = 0.3

#: Status of a refusal that says that the request did not run.
REFUSED = 503


class CutOffNodeTest(ReplicaCase):
    """One node loses its paths to all engines."""

    own_paths = True
    settings = PATIENT

    def setUp(self) -> None:
        """Begin with whole replicas and open paths."""
        self.addCleanup(self.harness.cut, self.nodes, 'none')
        super().setUp()

    def find_observer(self) -> str:
        """Return a node that observes one of two fabric domains."""
        found: list[str] = []

        def are_spread() -> bool:
            found[:] = [
                holder
                for duty, holder in self.duties().items()
                if duty.startswith('c/duty/domain.')
            ]
            return len(set(found)) == len(self.domains)

        self.harness.wait_for(are_spread, 'two nodes observe a domain each')
        return found[0]

    # Guards against a node without paths whose observations take replicas out of
    # service for all.
    def test_replicas_serve_while_the_observer_of_their_domain_is_cut_off(self) -> None:
        observer = self.find_observer()
        other = next(name for name in self.nodes if name != observer)
        self.harness.cut([observer], 'hang')
        began_at = time.monotonic()
        counts = set()
        while time.monotonic() - began_at < CONTACT_S + COUNTED_S:
            count = self.count_serving(other)
            if time.monotonic() - began_at > CONTACT_S:
                counts.add(count)
        self.assertEqual(counts, {self.replicas})

    def list_engines(self, node: str) -> set[str]:
        """Return the engines of the replicas that serve, as a node sees it."""
        return {
            engine
            for replica in self.harness.replicas(node, GROUP)
            if replica['serving']
            for engine in replica['instances']
        }

    # Guards against duties that nobody holds while most nodes reach no engine.
    def test_callers_of_the_only_node_with_paths_are_served(self) -> None:
        holders = set(self.duties().values())
        last = min(self.nodes, key=lambda name: (name in holders, name))
        cut_off = [name for name in self.nodes if name != last]
        engines = self.list_engines(last)
        self.harness.cut(cut_off, 'hang')
        began_at = time.monotonic()
        statuses = set()
        while time.monotonic() - began_at < CONTACT_S + COUNTED_S:
            status = self.harness.call(last, self.body()).status_code
            if time.monotonic() - began_at > CONTACT_S:
                statuses.add(status)
        self.assertEqual(statuses, {200})
        self.assertEqual(self.list_engines(last), engines)
        self.assertEqual(set(self.duties().values()), {last})
        for node in cut_off:
            status = self.harness.call(node, self.body()).status_code
            self.assertEqual(status, REFUSED, node)

    # Guards against callers who wait for a node that can reach no engine.
    def test_node_that_is_cut_off_refuses_at_once_and_is_not_ready(self) -> None:
        node = next(iter(self.nodes))
        self.harness.cut([node], 'hang')
        began_at = time.monotonic()
        self.harness.wait_for(
            lambda: time.monotonic() - began_at > CONTACT_S, 'users count'
        )
        self.assertFalse(self.harness.is_ready(node))
        sent_at = time.monotonic()
        reply = self.harness.call(node, self.body())
        self.assertLess(time.monotonic() - sent_at, REFUSAL_S)
        self.assertEqual(reply.status_code, REFUSED)
        self.harness.cut([node], 'none')
        self.harness.wait_for(lambda: self.harness.is_ready(node), 'ready again')
