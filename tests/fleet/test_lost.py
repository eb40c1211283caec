"""Tests of reports between nodes that an instance is lost.

They guard against each node having to find every lost instance by itself.  During an
outage of the store of 8 s, six instances ended without notice, each in another group.
As nodes reported lost instances only through the store, each of 80 nodes found each
dead group by itself, after half a second and at the cost of a retry, avoided it for 4 s
and tried it again.  In the last four seconds, 242 of 1,379 requests were refused or
failed, as the retry budget was used up, and 341 were late.  ``instance.probed`` was
logged for the same instances on dozens of nodes, seconds apart.
"""

from __future__ import annotations

import unittest
from functools import partial

import anyio

from coursepitch.fleet.lost import IGNORE_REPORTS_S, REPORT_VALID_S, LossReporter
from coursepitch.fleet.messages import LostReport
from coursepitch.fleet.topology import choose_links
from coursepitch.platform.kv import Entry, Swapped, Unavailable
from tests.fleet.builders import build_instance, build_view


class FakeStore:
    """Answers transactions with a fixed result."""

    def __init__(self):
        self.answer = Unavailable('down')
        self.writes = []

    async def transact(self, conditions, writes=()):
        self.writes += writes
        return self.answer


class Node:
    """A node's view of lost instances and its reporter."""

    def __init__(self, name, clock):
        self.store = FakeStore()
        self.view = build_view([build_instance('i1'), build_instance('i2')], (), clock)
        self.woken = 0
        self.told = []
        self.reporter = LossReporter(name, self.store, self.view, self.wake)
        self.reporter.tell = lambda message, node: self.told.append(message)

    def wake(self):
        self.woken += 1

    def report(self, instance, *, ended=False):
        anyio.run(partial(self.reporter.report, instance, ended=ended))

    def clear(self, instance):
        anyio.run(self.reporter.clear, instance)


class ReportTest(unittest.TestCase):
    """Reports as seen by one node."""

    def setUp(self):
        self.now = 100.0
        self.node = Node('n1', lambda: self.now)
        self.view = self.node.view

    def test_lost_instance_is_reported_during_a_store_outage(self):
        self.node.report('i1')
        self.assertEqual(self.node.told, [LostReport('n1', ('i1',))])
        self.assertTrue(self.view.lost.has('i1'))
        self.assertGreater(self.node.woken, 0)

    def test_it_is_reported_once(self):
        self.node.report('i1')
        self.node.report('i1')
        self.assertEqual(len(self.node.told), 1)

    def test_report_of_a_peer_expires(self):
        self.node.reporter.take(LostReport('n2', ('i1',)))
        self.assertEqual(self.view.lost.list_all(), {'i1'})
        self.now += REPORT_VALID_S
        version = self.view.version
        self.view.sweep()
        self.assertEqual(self.view.lost.list_all(), set())
        self.assertGreater(self.view.version, version)

    # Guards against a proof that is dropped as the instance was silent before.
    def test_proof_is_told_after_a_report_of_silence(self):
        self.node.report('i1')
        self.assertFalse(self.view.lost.has_ended('i1'))
        for _ in range(2):
            self.node.report('i1', ended=True)
        self.assertTrue(self.view.lost.has_ended('i1'))
        told = LostReport('n1', ('i1',), ended=('i1',))
        self.assertEqual(self.node.told, [LostReport('n1', ('i1',)), told])

    def test_proof_of_a_peer_is_forwarded_and_expires_with_its_report(self):
        self.node.reporter.is_watching = lambda: True
        told = LostReport('n2', ('i1', 'i2'), ended=('i1',))
        self.node.reporter.take(told)
        self.assertEqual(
            self.node.told, [LostReport('n1', ('i1', 'i2'), ended=('i1',), hops=1)]
        )
        self.assertTrue(self.view.lost.has_ended('i1'))
        self.assertFalse(self.view.lost.has_ended('i2'))
        self.now += REPORT_VALID_S
        self.view.sweep()
        self.assertFalse(self.view.lost.has_ended('i1'))
        self.node.reporter.take(LostReport('n2', ('i1',)))
        self.assertFalse(self.view.lost.has_ended('i1'))

    def test_answer_ends_a_proof(self):
        self.node.report('i1', ended=True)
        self.view.apply_entry(Entry('coursepitch/lost/i1', 'n2', 11))
        self.node.reporter.take(LostReport('n3', answering=('i1',)))
        self.assertFalse(self.view.lost.has_ended('i1'))

    def test_record_in_the_store_applies_until_it_is_deleted(self):
        self.view.apply_entry(Entry('coursepitch/lost/i1', 'n2', 11))
        self.now += 10 * REPORT_VALID_S
        self.assertTrue(self.view.lost.has('i1'))
        self.view.apply_entry(Entry('coursepitch/lost/i1', deleted_at=12))
        self.assertFalse(self.view.lost.has('i1'))

    def test_answer_ends_it_and_late_reports_are_ignored(self):
        self.node.reporter.take(LostReport('n2', ('i1',)))
        self.node.reporter.take(LostReport('n3', answering=('i1',)))
        self.assertFalse(self.view.lost.has('i1'))
        self.node.reporter.take(LostReport('n4', ('i1',)))
        self.assertFalse(self.view.lost.has('i1'))
        self.now += IGNORE_REPORTS_S
        self.node.reporter.take(LostReport('n4', ('i1',)))
        self.assertTrue(self.view.lost.has('i1'))

    def test_answer_is_reported_and_deletes_the_record_in_the_store(self):
        self.node.store.answer = Swapped(11)
        self.node.report('i1')
        self.now += IGNORE_REPORTS_S
        self.node.clear('i1')
        self.assertEqual(self.node.told[-1], LostReport('n1', answering=('i1',)))
        self.assertEqual([item.value for item in self.node.store.writes], ['n1', None])
        self.assertFalse(self.view.lost.has('i1'))

    def test_restarted_instance_is_not_lost(self):
        self.view.instances['i1'] = build_instance('i1', born=1)
        self.node.reporter.take(LostReport('n2', ('i1',)))
        self.view._handle_restart(
            self.view.instances['i1'], build_instance('i1', born=2)
        )
        self.assertFalse(self.view.lost.has('i1'))

    def test_report_of_an_unknown_instance_is_ignored(self):
        self.node.reporter.take(LostReport('n2', ('i9',)))
        self.assertEqual(self.view.lost.list_all(), set())

    def test_new_reports_are_forwarded_once_by_relays(self):
        self.node.reporter.take(LostReport('n2', ('i1',)))
        self.assertEqual(self.node.told, [])
        self.node.reporter.is_watching = lambda: True
        for _ in range(3):
            self.node.reporter.take(LostReport('n2', ('i1', 'i2')))
        self.assertEqual(self.node.told, [LostReport('n1', ('i2',), hops=1)])


class OutageTest(unittest.TestCase):
    """Sixty nodes in three zones with the usual links during a store outage."""

    def setUp(self):
        names = [f'n{number}' for number in range(60)]
        zones = {name: 'abc'[number % 3] for number, name in enumerate(names)}
        self.nodes = {name: Node(name, lambda: 100.0) for name in names}
        self.links = {name: set() for name in names}
        watching = set()
        for name in names:
            plan = choose_links(name, zones, 'n7')
            for peer in plan.peers:
                self.links[name].add(peer)
                self.links[peer].add(name)
                watching.add(peer)
        for name, node in self.nodes.items():
            node.reporter.is_watching = lambda name=name: name in watching

    def spread(self):
        """Deliver messages until none is left; return their number."""
        count = 0
        while any(node.told for node in self.nodes.values()):
            for name, node in self.nodes.items():
                told, node.told = node.told, []
                for message in told:
                    for peer in self.links[name]:
                        count += 1
                        self.nodes[peer].reporter.take(message)
        return count

    def test_report_of_one_node_reaches_all(self):
        self.nodes['n30'].report('i1')
        messages = self.spread()
        self.assertTrue(all(node.view.lost.has('i1') for node in self.nodes.values()))
        self.assertLess(messages, 4 * len(self.nodes))

    def test_report_that_it_answers_reaches_all(self):
        self.nodes['n30'].report('i1')
        self.spread()
        self.nodes['n7'].clear('i1')
        self.spread()
        self.assertFalse(any(node.view.lost.has('i1') for node in self.nodes.values()))


if __name__ == '__main__':
    unittest.main()
