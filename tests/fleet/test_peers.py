"""State received from peers: confirmations by echo, sums of loads, relayed changes."""

from __future__ import annotations

import json
import unittest
import zlib
from dataclasses import replace

import anyio
import cbor2
from hypothesis import given
from hypothesis import strategies as st

from coursepitch.crashes.suspects import Clearance, Crash
from coursepitch.errors import CodecError
from coursepitch.fleet.freshness import Freshness
from coursepitch.fleet.messages import (
    MAX_UNPACKED_BYTES,
    Changes,
    ChangesRequest,
    CrashReport,
    Heartbeat,
    LostReport,
    OtherLoads,
    TableReply,
    TableRequest,
    decode_message,
    encode_message,
)
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.peers import FORGET_S, PeerRegistry
from coursepitch.fleet.session import FleetSession
from coursepitch.fleet.view import FleetView
from coursepitch.platform.kv import Entry, Events
from tests.fleet.builders import build_instance
from tests.whole.platform_base import build_configuration

BOUND_S = 4.25


def build_large_configuration(routes):
    """Return a configuration with additional routes.

    :param routes: number of additional routes.
    """
    configuration = build_configuration(1)
    usual = configuration['routes'][0]
    configuration['routes'] += [
        {**usual, 'name': f'idle-{number}', 'path_prefix': f'/{number * 7919}/'}
        for number in range(routes)
    ]
    return configuration


class MessageTest(unittest.TestCase):
    """Messages survive encoding and decoding, and damaged ones are rejected."""

    def test_each_kind_survives_encoding(self):
        for message in (
            Heartbeat(
                'n1', 7, 3, 1.5, 9, True, {'i': 2}, {'m': 0.5}, 2.0, 8, 1.0, True
            ),
            Heartbeat('n1', 7),
            LostReport('n1', ('i1', 'i2'), ('i3',)),
            LostReport('n1', ('i1', 'i2'), ('i3',), ('i2',)),
            LostReport('n1', ('i1', 'i2'), ('i3',), ('i2',), (('i2', 1_700_000),)),
            Heartbeat('n1', 7, store_uptime_s=4.5),
            Heartbeat('n1', 7, others=OtherLoads(3, {'i': 2}, {'m': 0.5})),
            Changes('n1', 3, 5, (Entry('a', 'x', 4), Entry('b', deleted_at=5))),
            ChangesRequest('n1', 3),
            TableRequest('n1', 4),
            TableReply('n1', Entry('op/config', '{}', 4)),
            CrashReport('n1', 9.5),
            CrashReport(
                'n1',
                9.5,
                (Crash('f', 'acme', 'i1', 7, 9.25, 'n2', 'v1'),),
                (Clearance('g', 9.0),),
            ),
        ):
            self.assertEqual(decode_message(encode_message(message)), message)

    # Guards against links that break while nodes of two versions run.
    def test_reports_of_ended_instances_are_names_for_nodes_without_start_times(self):
        told = LostReport('n1', ('i1', 'i2'), ('i3',), ('i1', 'i2'), (('i2', 17),))
        _, node, *rows = cbor2.loads(encode_message(told)[1:])
        # Nodes without start times accept three rows of names.
        self.assertEqual(rows[:2], [['i1', 'i2'], ['i3']])
        self.assertEqual((node, len(rows)), ('n1', 3))
        self.assertTrue(all(isinstance(name, str) for name in rows[2]))
        self.assertEqual(rows[2][0], 'i1')
        self.assertNotIn('i2', rows[2])

    def test_start_times_in_a_row_of_their_own_are_read(self):
        told = LostReport('n1', ('i2',), (), ('i2',), (('i2', 17),))
        head = cbor2.loads(encode_message(told)[1:])[:4]
        data = b'\x00' + cbor2.dumps([*head, ['i2'], [['i2', 17]]])
        self.assertEqual(decode_message(data), told)

    @given(st.binary(max_size=60))
    def test_damaged_message_is_rejected(self, data):
        try:
            decode_message(data)
        except CodecError:
            return

    def test_unknown_kind_is_rejected(self):
        with self.assertRaises(CodecError):
            decode_message(b'\x00\x82\x09\x61n')

    def test_configuration_is_compressed_to_a_tenth(self):
        value = json.dumps(build_large_configuration(250))
        told = TableReply('n1', Entry('op/config', value, 4))
        data = encode_message(told)
        self.assertLess(len(data), len(value) / 10)
        self.assertEqual(decode_message(data), told)

    def test_message_that_decompresses_beyond_the_limit_is_rejected(self):
        data = b'\x01' + zlib.compress(bytes(3 * MAX_UNPACKED_BYTES))
        with self.assertRaises(CodecError):
            decode_message(data)

    def test_truncated_compressed_message_is_rejected(self):
        told = TableReply('n1', Entry('op/config', 'x' * 2000, 4))
        with self.assertRaises(CodecError):
            decode_message(encode_message(told)[:-3])


class EchoTest(unittest.TestCase):
    """A peer's confirmation is never estimated as younger than it is."""

    @given(
        skew=st.floats(-1000, 1000),
        sent=st.floats(0, 10),
        flight=st.floats(0, 10),
        rest=st.floats(0, 10),
        back=st.floats(0, 10),
        asked_before=st.floats(0, 10),
    )
    def test_age_counts_from_no_later_than_the_request(
        self, skew, sent, flight, rest, back, asked_before
    ):
        # All times are absolute; the peer's clock is off by ``skew``.
        made = sent + flight + rest
        asked = made - asked_before
        book = PeerRegistry(1, lambda: made + back)
        beat = Heartbeat(
            'p',
            2,
            5,
            asked + skew,
            sent_at=made + skew,
            echo_incarnation=1,
            echo_at=sent,
        )
        found = book.take(beat)
        if found is not None:
            self.assertLessEqual(found.asked_at, asked + 1e-6)

    def setUp(self):
        self.now = 100.0
        self.book = PeerRegistry(1, lambda: self.now)
        self.beat = Heartbeat('p', 2, 5, 50.0, sent_at=51.0)

    def test_echo_of_an_earlier_incarnation_confirms_nothing(self):
        beat = replace(self.beat, echo_incarnation=9, echo_at=99.0)
        self.assertIsNone(self.book.take(beat))

    def test_echo_of_a_future_time_confirms_nothing(self):
        beat = replace(self.beat, echo_incarnation=1, echo_at=101.0)
        self.assertIsNone(self.book.take(beat))

    def test_peer_without_a_confirmation_confirms_nothing(self):
        beat = replace(self.beat, asked_at=None, echo_incarnation=1, echo_at=99.0)
        self.assertIsNone(self.book.take(beat))


class LoadSumTest(unittest.TestCase):
    """Loads of all peers are summed, without those of silent ones."""

    def setUp(self):
        self.now = 0.0
        self.book = PeerRegistry(1, lambda: self.now)

    def test_counts_and_work_of_all_peers_add_up(self):
        self.book.take(Heartbeat('n2', 2, counts={'a': 2}, work={'m': 1.5}))
        self.book.take(Heartbeat('n3', 3, counts={'a': 1}, work={'m': 0.5}))
        self.assertEqual(self.book.count('a'), 3)
        self.assertEqual(self.book.read_work({'m': 1.0}), {'m': 3.0})

    def test_newer_heartbeat_replaces_the_older(self):
        self.book.take(Heartbeat('n2', 2, counts={'a': 2, 'b': 1}))
        self.book.take(Heartbeat('n2', 2, counts={'b': 4}))
        self.assertEqual((self.book.count('a'), self.book.count('b')), (0, 4))

    def test_sum_for_a_peer_excludes_its_own_loads(self):
        self.book.note_own(Heartbeat('n1', 1, counts={'a': 5}))
        asking = Heartbeat('n2', 2, counts={'a': 2}, work={'m': 1.5})
        self.book.take(replace(asking, wants_others=True))
        self.book.take(Heartbeat('n3', 3, counts={'b': 1}))
        self.assertIsNone(self.book.sum_others('n3'))
        others = self.book.sum_others('n2')
        self.assertEqual(others, OtherLoads(2, {'a': 5, 'b': 1}, {}))

    def test_received_sum_of_many_nodes_is_forwarded(self):
        others = OtherLoads(8, {'a': 30, 'b': 2}, {'m': 2.0})
        self.book.take(Heartbeat('n2', 2, others=others))
        asking = Heartbeat('n3', 3, counts={'a': 4}, wants_others=True)
        self.book.take(asking)
        self.book.note_own(Heartbeat('n1', 1, counts={'b': 1}))
        told = self.book.sum_others('n3')
        self.assertEqual(told, OtherLoads(8, {'a': 26, 'b': 3}, {'m': 2.0}))

    def test_sum_that_covers_most_nodes_is_used(self):
        for node, nodes, count in (('n2', 8, 30), ('n3', 5, 20), ('n4', 0, 0)):
            others = OtherLoads(nodes, {'a': count}, {'m': 2.0})
            self.book.take(Heartbeat(node, 2, counts={'a': 1}, others=others))
        self.assertEqual(self.book.count('a'), 30)
        self.assertEqual(self.book.count_others(), 8)
        self.assertEqual(self.book.read_work({'m': 1.0}), {'m': 3.0})

    def test_own_sum_is_used_if_it_covers_more_nodes(self):
        others = OtherLoads(1, {'a': 9}, {})
        self.book.take(Heartbeat('n2', 2, counts={'a': 1}, others=others))
        self.book.take(Heartbeat('n3', 3, counts={'a': 1}, others=others))
        self.assertEqual(self.book.count('a'), 2)

    def test_silent_peer_is_forgotten(self):
        self.book.take(Heartbeat('n2', 2, counts={'a': 2}))
        self.now = 5.0
        self.book.forget_silent()
        self.assertEqual(self.book.count('a'), 0)
        self.assertEqual(self.book.list_heard(), set())


class WatcherTest(unittest.TestCase):
    """A few nodes watch the store; the others detect when none does."""

    def setUp(self):
        self.now = 100.0
        self.book = PeerRegistry(1, lambda: self.now)

    def hear(self, heard, asked_ago=0.5, watching=True):
        self.book.take(
            Heartbeat(
                'w',
                2,
                5,
                50.0 - asked_ago,
                heard,
                watching,
                sent_at=50.0,
                echo_incarnation=1,
                echo_at=self.now - 0.1,
            )
        )

    def test_node_at_the_revision_of_a_watcher_is_relayed(self):
        self.hear(7)
        self.assertTrue(self.book.is_relayed(7))

    def test_node_without_watchers_is_not_relayed(self):
        self.hear(7, watching=False)
        self.assertFalse(self.book.is_relayed(7))

    def test_silent_watcher_is_not_trusted(self):
        self.hear(7)
        self.now += 2.0
        self.assertFalse(self.book.is_relayed(7))

    def test_watcher_without_recent_confirmation_is_not_trusted(self):
        self.hear(7, asked_ago=5.0)
        self.assertFalse(self.book.is_relayed(7))

    def test_lagging_node_asks_the_store(self):
        self.hear(8)
        self.assertTrue(self.book.is_relayed(7))
        self.now += 0.5
        self.assertFalse(self.book.is_relayed(7))


class SessionTest(unittest.TestCase):
    """How a session handles messages from peers."""

    def setUp(self):
        self.now = 100.0
        self.told = []
        self.session = FleetSession(
            'n1', None, Freshness(BOUND_S, lambda: self.now), lambda: self.now
        )
        self.session.send = lambda message, node: self.told.append((message, node))
        self.session.view.apply_configuration(self.write_configuration(1, 10))

    @staticmethod
    def write_configuration(version, revision):
        value = json.dumps(build_configuration(version))
        return Entry('op/config', value, revision)

    def confirm(self, revision, asked_ago=0.5):
        beat = Heartbeat(
            'p',
            2,
            revision,
            50.0 - asked_ago,
            sent_at=50.0,
            echo_incarnation=self.session.book.incarnation,
            echo_at=self.now - 0.1,
        )
        self.session.handle_message(beat)

    def test_peers_confirmation_makes_a_node_fresh(self):
        self.assertFalse(self.session.is_fresh())
        self.confirm(10)
        self.assertTrue(self.session.is_fresh())
        self.assertAlmostEqual(self.session.confirmation_age_s, 0.6)

    def test_confirmation_of_a_newer_configuration_does_not_count(self):
        self.confirm(11)
        self.assertFalse(self.session.is_fresh())

    def test_newer_configuration_is_fetched_from_a_peer(self):
        def answer(message, node):
            self.told.append((message, node))
            table = TableReply('p', self.write_configuration(2, 11))
            self.session.handle_message(table)

        self.session.send = answer
        self.confirm(11)
        self.assertTrue(anyio.run(self.session._fetch_peer_table))
        self.assertEqual(self.told, [(TableRequest('n1', 11), 'p')])
        self.assertEqual(self.session.view.table.version, 2)

    def test_active_configuration_is_not_requested(self):
        self.confirm(10)
        self.assertFalse(anyio.run(self.session._fetch_peer_table))
        self.assertEqual(self.told, [])

    def test_large_configuration_is_only_sent_to_a_node_that_is_cut_off(self):
        routes = build_configuration()['routes']
        many = [{**routes[0], 'path_prefix': f'/r{n}/'} for n in range(2500)]
        value = json.dumps(build_configuration(2, routes=many))
        self.session.view.apply_configuration(Entry('op/config', value, 20))
        self.session.handle_message(TableRequest('p', 20))
        self.assertEqual(self.told, [])
        self.session.handle_message(TableRequest('p', 20, cut_off=True))
        self.assertEqual(self.told[0][0].entry.revision, 20)

    def test_absence_of_a_configuration_is_confirmed_by_peers(self):
        session = FleetSession(
            'n2', None, Freshness(BOUND_S, lambda: self.now), lambda: self.now
        )
        self.session = session
        self.confirm(0)
        self.assertAlmostEqual(session.confirmation_age_s, 0.6)
        self.assertFalse(session.is_fresh())

    def test_older_configuration_from_a_peer_is_ignored(self):
        self.session.handle_message(TableReply('p', self.write_configuration(0, 9)))
        self.assertEqual(self.session.view.table.version, 1)

    def test_configuration_is_sent_to_a_peer_that_requests_it(self):
        self.session.handle_message(TableRequest('p', 10))
        message, node = self.told[0]
        self.assertEqual((message.entry.revision, node), (10, 'p'))
        self.session.handle_message(TableRequest('p', 11))
        self.assertEqual(len(self.told), 1)

    def test_changes_after_a_gap_are_ignored(self):
        view = self.session.view
        leader = Entry('coursepitch/leader', 'n9', 12)
        self.session.handle_message(Changes('p', 11, 12, (leader,)))
        self.assertEqual((view.leader, view.received_revision), ('', 0))
        view.received_revision = 11
        self.session.handle_message(Changes('p', 11, 12, (leader,)))
        self.assertEqual((view.leader, view.received_revision), ('n9', 12))

    def test_repeated_older_changes_have_no_effect(self):
        view = self.session.view
        view.received_revision = 11
        key = 'coursepitch/nodes/n5'
        self.session.handle_message(Changes('p', 11, 13, (Entry(key, deleted_at=13),)))
        self.session.handle_message(
            Changes('q', 11, 12, (Entry(key, '10.0.0.1:7340', 12),))
        )
        self.assertNotIn('n5', view.nodes)
        rows = (
            Entry(key, '10.0.0.1:7340', 12),
            Entry('coursepitch/nodes/n6', '10.0.0.2:7340 z', 14),
        )
        self.session.handle_message(Changes('q', 11, 14, rows))
        self.assertEqual(view.nodes, {'n6': NodeLocation('10.0.0.2:7340', 'z')})

    def list_anew(self, after):
        """Apply a listing in which one node is new and one is missing.

        :return: the changes relayed to peers.
        """
        place = 'coursepitch/nodes/'
        view = self.session.view
        view.find_store_uptime_s = lambda: 60.0
        for name in ('n5', 'n6'):
            view.apply_entry(Entry(place + name, '10.0.0.1:7340 z', 8))
        view.received_revision = after
        rows = (
            Entry(place + 'n6', '10.0.0.1:7340 z', 8),
            Entry(place + 'n7', '10.0.0.2:7340 z', 15),
        )
        passed = []
        self.session.relay_changes = lambda changes, sender: passed.append(changes)
        self.session.is_followed = lambda: True
        self.session._apply_response(Events(rows, 20, complete=True), after)
        return passed

    def test_repeated_listing_is_relayed_as_its_changes(self):
        (changes,) = self.list_anew(11)
        self.assertEqual((changes.after, changes.revision), (11, 20))
        other = FleetView(lambda: 0.0)
        for name in ('n5', 'n6'):
            other.apply_entry(Entry('coursepitch/nodes/' + name, '10.0.0.1:7340 z', 8))
        other.received_revision = 11
        other.apply(Events(changes.entries, changes.revision))
        self.assertEqual(other.nodes, self.session.view.nodes)
        self.assertEqual(set(other.nodes), {'n6', 'n7'})
        self.assertEqual(len(changes.entries), 2)

    def test_first_listing_is_not_relayed(self):
        self.assertEqual(self.list_anew(0), [])

    def test_relay_forwards_changes_once(self):
        passed = []
        self.session.relay_changes = lambda changes, sender: passed.append(
            (changes, sender)
        )
        self.session.view.received_revision = 11
        changes = Changes('p', 11, 12, ())
        self.session.handle_message(changes)
        self.assertEqual(passed, [])
        self.session.is_followed = lambda: True
        changes = Changes('p', 12, 13, ())
        self.session.handle_message(changes)
        self.session.handle_message(changes)
        self.assertEqual(passed, [(replace(changes, node='n1'), 'p')])

    def test_revision_without_changes_is_relayed(self):
        passed = []
        self.session.relay_changes = lambda changes, sender: passed.append(changes)
        self.session.is_followed = lambda: True
        self.session.view.received_revision = 11
        self.session._apply_response(Events((), 11), 11)
        self.assertEqual(passed, [])
        self.session._apply_response(Events((), 15), 11)
        self.assertEqual(
            [(item.after, item.revision, item.entries) for item in passed],
            [(11, 15, ())],
        )

    def test_entries_deleted_around_an_outage_are_held(self):
        view = self.session.view
        view.instances['i1'] = build_instance('i1')
        view.received_revision = 11
        self.confirm(10)
        gone = Entry('servers/i1', deleted_at=12)
        self.session.handle_message(Changes('p', 11, 12, (gone,)))
        self.assertIn('i1', view.instances)

    def test_entry_is_removed_at_once_if_a_peer_saw_no_outage(self):
        view = self.session.view
        view.instances['i1'] = build_instance('i1')
        view.received_revision = 11
        self.session.handle_message(Heartbeat('q', 3, store_uptime_s=5.0))
        gone = Entry('servers/i1', deleted_at=12)
        self.session.handle_message(Changes('p', 11, 12, (gone,)))
        self.assertNotIn('i1', view.instances)

    def test_silent_peer_proves_nothing_about_the_store(self):
        self.session.handle_message(Heartbeat('q', 3, store_uptime_s=5.0))
        self.assertEqual(self.session.book.find_store_uptime_s(), 5.0)
        self.now += FORGET_S + 0.1
        self.assertEqual(self.session.book.find_store_uptime_s(), 0.0)


if __name__ == '__main__':
    unittest.main()
