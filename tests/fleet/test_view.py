"""The fleet view: revisions, lapsed entries, open groups and damaged entries."""

from __future__ import annotations

import json
import unittest
from unittest import mock

import eliot

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.view import (
    CLAIM_PREFIX,
    DEPARTED_S,
    LAPSE_HOLD_S,
    LOST_PREFIX,
    NODE_PREFIX,
    FleetView,
)
from coursepitch.platform.kv import Entry, Events
from tests.fleet.builders import SERVICE, build_instance, build_view
from tests.whole.platform_base import build_configuration

CLAIM = GroupClaim('g', 5, SERVICE, 'd0', 'small', ('a', 'b'))


def write_entry(name, revision=1, **fields):
    """Return the entry of an instance as the platform holds it."""
    data = {'service': SERVICE, 'address': '10.0.0.1:1', 'state': 'ready', **fields}
    return Entry(f'servers/{name}', json.dumps(data), revision)


def write_configuration(version, revision):
    """Return a configuration as the store holds it."""
    return Entry('op/config', json.dumps(build_configuration(version)), revision)


def build_group(state='open', **fields):
    """Return the members of the claimed group."""
    return [
        build_instance('a', state=state, group='g', epoch=5, rank=0),
        build_instance('b', state='ready', group='g', epoch=5, rank=1, **fields),
    ]


class ConfigurationTest(unittest.TestCase):
    """A configuration is only replaced by a newer one."""

    def setUp(self):
        self.view = FleetView(lambda: 0.0)

    def test_older_configuration_never_replaces_a_newer_one(self):
        self.view.apply_entry(write_configuration(7, 20))
        self.view.apply_entry(write_configuration(9, 30))
        self.view.apply_entry(write_configuration(7, 20))
        self.assertEqual(self.view.table.version, 9)

    def test_listing_after_compaction_does_not_restore_an_older_one(self):
        self.view.apply_entry(write_configuration(9, 30))
        stale = Events((write_configuration(7, 20),), 25, complete=True)
        self.view.apply(stale)
        self.assertEqual(self.view.table.version, 9)

    def test_damaged_configuration_keeps_the_active_one(self):
        self.view.apply_entry(write_configuration(7, 20))
        self.view.apply_entry(Entry('op/config', '{"routes": 3', 30))
        self.assertEqual(self.view.table.version, 7)

    def test_route_is_the_longest_prefix_of_its_host(self):
        self.view.apply_entry(write_configuration(7, 20))
        find = self.view.table.find_route
        self.assertEqual(find('a.example:80', '/once/x/y').name, 'once')
        self.assertIsNone(find('a.example', '/onc'))
        self.assertIsNone(find('b.example', '/once/x'))


class InstanceTest(unittest.TestCase):
    """Entries that appear, are deleted, lapse or are damaged."""

    def setUp(self):
        self.now = 100.0
        self.view = FleetView(lambda: self.now)
        self.view.apply_entry(write_entry('a'))

    def end_outage(self):
        """Let the store answer again after an outage for all nodes."""
        back_at = self.now
        self.view.find_store_uptime_s = lambda: self.now - back_at

    def test_deleted_entry_is_removed_at_once_without_an_outage(self):
        self.view.apply_entry(Entry('servers/a'))
        self.assertEqual(self.view.instances, {})

    def test_entry_that_lapsed_in_an_outage_is_held_for_a_limited_time(self):
        self.end_outage()
        self.now += 0.5
        self.view.apply_entry(Entry('servers/a'))
        self.assertIn('a', self.view.instances)
        self.assertTrue(self.view.is_lapsed('a'))
        self.now += LAPSE_HOLD_S - 0.6
        self.view.sweep()
        self.assertIn('a', self.view.instances)
        self.now += 0.2
        self.view.sweep()
        self.assertEqual(self.view.instances, {})

    def test_lapsed_instance_gets_requests_for_a_limited_time(self):
        self.end_outage()
        self.view.apply_entry(Entry('servers/a'))
        self.assertTrue(self.view.accepts_requests('a'))
        self.now += self.view.lapsed_serve_s
        before = self.view.version
        self.view.sweep()
        self.assertGreater(self.view.version, before)
        self.assertFalse(self.view.accepts_requests('a'))
        self.assertIn('a', self.view.instances)
        self.view.apply_entry(write_entry('a', 9))
        self.assertTrue(self.view.accepts_requests('a'))

    def test_draining_instance_is_removed_at_once_after_an_outage(self):
        self.view.apply_entry(write_entry('a', 9, state='draining'))
        self.end_outage()
        self.view.apply_entry(Entry('servers/a'))
        self.assertEqual(self.view.instances, {})

    def test_node_that_lapsed_in_an_outage_is_held_for_a_limited_time(self):
        for name in ('n1', 'n2'):
            self.view.apply_entry(Entry(NODE_PREFIX + name, '10.0.0.1:7340', 5))
        self.end_outage()
        self.view.apply(Events((), 20, complete=True))
        self.assertEqual(set(self.view.nodes), {'n1', 'n2'})
        self.view.apply_entry(Entry(NODE_PREFIX + 'n1', '10.0.0.1:7340', 21))
        self.now += 3.0
        self.view.sweep()
        self.assertEqual(set(self.view.nodes), {'n1'})

    def test_node_that_left_may_finish_its_requests_for_a_while(self):
        self.view.apply_entry(Entry(NODE_PREFIX + 'n1', '10.0.0.1:7340', 5))
        self.view.apply_entry(Entry(NODE_PREFIX + 'n1', deleted_at=6))
        self.assertEqual(set(self.view.list_nodes_and_departed()), {'n1'})
        self.now += DEPARTED_S + 1.0
        self.assertEqual(self.view.list_nodes_and_departed(), {})

    def test_deleted_node_is_removed_at_once_without_an_outage(self):
        self.view.apply_entry(Entry(NODE_PREFIX + 'n1', '10.0.0.1:7340', 5))
        self.view.apply_entry(Entry(NODE_PREFIX + 'n1', deleted_at=6))
        self.assertEqual(self.view.nodes, {})

    def test_entry_that_comes_back_after_an_outage_stays(self):
        self.end_outage()
        self.view.apply_entry(Entry('servers/a'))
        self.view.apply_entry(write_entry('a', 9))
        self.now += 10
        self.view.sweep()
        self.assertIn('a', self.view.instances)

    def test_damaged_entry_is_ignored_and_others_are_kept(self):
        self.view.apply_entry(Entry('servers/b', '{"service": 3', 5))
        self.assertEqual(set(self.view.instances), {'a'})

    def test_model_of_the_last_group_is_remembered(self):
        group = {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'ready'}
        models = [{'name': 'm', 'version': 1}]
        self.view.apply_entry(write_entry('a', 2, group=group, models=models))
        self.view.apply_entry(write_entry('a', 3, models=[]))
        self.assertEqual(self.view.instances['a'].last_model, 'm')


class OpenGroupTest(unittest.TestCase):
    """A group receives requests only while all its members are available."""

    def find(self, instances, lost=()):
        view = build_view(instances, [CLAIM])
        for name in lost:
            view.apply_entry(Entry(LOST_PREFIX + name, 'n1', 12))
        view.version += 1
        return view.list_open(SERVICE, 'small')

    def test_whole_group_is_open(self):
        (group,) = self.find(build_group())
        self.assertEqual(group.head.name, 'a')

    def test_group_with_a_missing_member_is_not_open(self):
        self.assertEqual(self.find(build_group()[:1]), [])

    def test_group_with_a_lost_member_is_not_open(self):
        self.assertEqual(self.find(build_group(), lost=['b']), [])

    def test_group_with_a_draining_member_is_not_open(self):
        self.assertEqual(self.find(build_group(draining=True)), [])

    def test_group_with_a_head_in_another_state_is_not_open(self):
        self.assertEqual(self.find(build_group(state='ready')), [])

    def test_member_of_another_epoch_does_not_count(self):
        head = build_group()[0]
        other = build_instance('b', state='ready', group='g', epoch=4, rank=1)
        self.assertEqual(self.find([head, other]), [])

    def test_open_head_without_a_claim_gets_no_requests(self):
        view = build_view(build_group())
        self.assertEqual(view.list_open(SERVICE, 'small'), [])

    def test_damaged_claims_keep_the_known_ones(self):
        view = build_view(build_group(), [CLAIM])
        (key,) = view.claims
        self.assertTrue(key.startswith(CLAIM_PREFIX))
        view.apply_claims(Entry(key, '[{"name": 1}]', 50))
        self.assertEqual(len(view.list_open(SERVICE, 'small')), 1)


class InstanceLogTest(unittest.TestCase):
    """Which nodes log changes of instances.

    When each of 89 nodes logged every change, 66,000 of 82,000 log lines were such
    changes, each logged 89 times.
    """

    def setUp(self):
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)
        self.lines.clear()  # The first destination receives buffered messages.
        self.view = FleetView(lambda: 0.0)

    def count(self):
        return sum(
            line.get('message_type') == 'instance.changed' for line in self.lines
        )

    def test_node_that_watches_the_store_logs_each_change_once(self):
        for revision in (1, 2):
            self.view.apply_entry(write_entry('i1', revision))
        self.assertEqual(self.count(), 1)

    def test_other_nodes_log_nothing_until_they_lead(self):
        self.view.logs_changes = lambda: False
        for name in ('i1', 'i2'):
            self.view.apply_entry(write_entry(name))
        self.assertEqual(self.count(), 0)
        self.view.log_instances()
        self.assertEqual(self.count(), 2)


class ColdEntryTest(unittest.TestCase):
    """Entries of cold instances, which are written at each heartbeat.

    Guards against a log line, and an evaluation of the group by the leader and all
    nodes, for each of the 54 instances of a zone every 1.2 s.
    """

    def setUp(self):
        self.view = FleetView(lambda: 100.0)
        self.left = []
        self.view.on_cold = lambda name, left_s: self.left.append((name, left_s))
        self.group = {'name': 'g', 'epoch': 5, 'rank': 0, 'state': 'open'}
        self.write(1, 3000)

    def write(self, revision, left_ms, **fields):
        """Apply an entry of the instance with a watch."""
        fields = {'group': self.group, 'sequence': revision, **fields}
        entry = write_entry('a', revision, cold_left_ms=left_ms, **fields)
        self.view.apply(Events((entry,), revision))

    def test_countdown_is_no_change(self):
        instance, version = self.view.instances['a'], self.view.version
        with mock.patch('coursepitch.fleet.view.log.emit') as emit:
            for revision, left_ms in ((2, 1800), (3, 600), (4, 0), (5, 3000)):
                self.write(revision, left_ms)
        emit.assert_not_called()
        self.assertIs(self.view.instances['a'], instance)
        self.assertEqual(self.view.version, version)
        self.assertEqual([left_s for _, left_s in self.left], [3.0, 1.8, 0.6, 0, 3.0])
        self.assertEqual(self.view.received_revision, 5)

    def test_other_change_with_the_countdown_is_a_change(self):
        version = self.view.version
        with mock.patch('coursepitch.fleet.view.log.emit') as emit:
            self.write(2, 1800, state='draining')
        emit.assert_called_once()
        self.assertTrue(self.view.instances['a'].draining)
        self.assertGreater(self.view.version, version)

    def test_entry_that_returns_after_an_outage_is_a_change(self):
        self.view.find_store_uptime_s = lambda: 0.0
        self.view.apply(Events((Entry('servers/a', deleted_at=2),), 2))
        self.assertTrue(self.view.is_lapsed('a'))
        version = self.view.version
        self.write(3, 1800)
        self.assertFalse(self.view.is_lapsed('a'))
        self.assertGreater(self.view.version, version)

    def test_entry_of_an_earlier_incarnation_is_ignored(self):
        self.write(2, 0, born=9)
        self.left.clear()
        self.write(3, 3000, born=8)
        self.assertEqual(self.left, [])

    def test_listing_tells_which_instances_are_cold(self):
        """A node that starts treats them as cold for the time in their entries."""
        view = FleetView(lambda: 100.0)
        left = []
        view.on_cold = lambda name, left_s: left.append((name, left_s))
        entries = (
            write_entry('a', 7, cold_left_ms=1500),
            write_entry('b', 8, cold_left_ms=0),
            write_entry('c', 9),
        )
        view.apply(Events(entries, 9, complete=True))
        self.assertEqual(left, [('a', 1.5), ('b', 0.0), ('c', 0.0)])
