"""Crash reports between nodes, and refused requests in the store."""

from __future__ import annotations

import unittest
from dataclasses import replace
from functools import partial

import anyio

from coursepitch.crashes.parts import MAX_CRASHES_KEPT, TRIAL_S
from coursepitch.crashes.refused import encode_lifted
from coursepitch.crashes.reports import (
    BATCH_S,
    LAPSE_HEARTBEATS,
    CrashReporter,
    LiveInstances,
)
from coursepitch.crashes.suspects import (
    CRASHES_TO_CONFIRM,
    Clearance,
    Crash,
    SuspectTable,
    Traits,
)
from coursepitch.fleet.messages import CrashReport, decode_message, encode_message
from coursepitch.fleet.view import REFUSED_PREFIX, FleetView
from coursepitch.platform.kv import Entry, Events, Swapped, Unavailable
from tests.fleet.builders import build_instance

HEARTBEAT_S = 1.2

#: Key of the entry of the part that crashes instances.
KEY_OF_BAD = REFUSED_PREFIX + 'part:bad'


class FakeStore:
    """Keeps written entries; ``up`` decides whether it answers."""

    def __init__(self):
        self.up = True
        self.entries = {}
        self.leases = []
        self.calls = 0

    async def grant(self, ttl_s):
        self.calls += 1
        if not self.up:
            return Unavailable('down')
        self.leases.append(ttl_s)
        return str(len(self.leases))

    async def transact(self, conditions, writes=()):
        self.calls += 1
        if not self.up:
            return Unavailable('down')
        for write in writes:
            self.entries[write.key] = write.value
        return Swapped(20)


class Node:
    """A node's suspects and reports; ``sent`` counts the messages it sent."""

    def __init__(self, name, store, clock, *, relay=False):
        self.name = name
        self.view = FleetView(clock)
        self.view.find_store_uptime_s = lambda: 100.0
        self.table = SuspectTable(clock)
        self.reporter = CrashReporter(name, self.table, store, self.view, clock)
        self.reporter.is_watching = lambda: relay
        self.reporter.send = self.tell
        self.view.on_refused = self.reporter.apply_stored
        self.links = []
        self.sent = 0
        self.bytes = 0

    def tell(self, message, node):
        data = encode_message(message)
        for peer in self.links:
            if node in ('', peer.name):
                self.sent += 1
                self.bytes += len(data)
                peer.reporter.take(decode_message(data))

    def refuses(self, name='a'):
        return self.table.find_refused_s(name) > 0

    def refuses_part(self, traits):
        return self.reporter.is_refused(traits, ())


def start_node(store, clock):
    """Return a new node that has listed the store."""
    node = Node('new', store, clock)
    entries = tuple(Entry(key, value, 21) for key, value in store.entries.items())
    node.view.apply(Events(entries, 21, complete=True))
    return node


class FleetTestCase(unittest.TestCase):
    """Base of tests with a leader and a relay that all other nodes link to."""

    count = 9

    def setUp(self):
        self.now = 100.0
        self.store = FakeStore()
        clock = self.clock
        self.leader = Node('leader', self.store, clock, relay=True)
        self.relay = Node('relay', self.store, clock, relay=True)
        self.leader.reporter.is_leader = lambda: True
        self.plain = [
            Node(f'n{number}', self.store, clock) for number in range(self.count - 2)
        ]
        for node in self.plain:
            node.links = [self.relay, self.leader]
        self.leader.links = [self.relay, *self.plain]
        self.relay.links = [self.leader, *self.plain]
        self.nodes = [self.leader, self.relay, *self.plain]

    def clock(self):
        return self.now

    def see_crash(self, node, number, *names):
        """Let a node observe the crash of an instance that ran these requests."""
        for name in names or ('a',):
            node.reporter.note_crash(
                Crash(name, 'acme', f'i{number}', 1, self.now, node.name)
            )

    def flush(self):
        """Deliver messages until none is queued."""
        for _ in range(3):
            for node in self.nodes:
                node.reporter.tell_waiting()

    def store_once(self, node):
        """Let a node store the refusals that the store lacks."""
        anyio.run(node.reporter._store_unstored)


class LinkTest(FleetTestCase):
    """A crash observed by one node becomes known to all."""

    def test_crashes_seen_by_three_nodes_refuse_the_request_on_all(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.see_crash(self.plain[number], number)
            self.flush()
        self.assertTrue(all(node.refuses() for node in self.nodes))

    def test_one_message_per_link_reports_all_requests_of_a_crash(self):
        self.see_crash(self.plain[0], 1, *(f'r{number}' for number in range(13)))
        self.flush()
        self.assertEqual(self.plain[0].sent, 2)
        self.assertLessEqual(self.leader.sent, self.count)
        self.assertEqual(sum(node.sent for node in self.plain[1:]), 0)

    def test_age_of_a_crash_is_independent_of_clock_offsets(self):
        told = CrashReport('x', 5000.0, (Crash('a', '', 'i1', 1, 4990.0, 'x'),))
        self.plain[0].reporter.take(told)
        self.assertEqual(self.plain[0].table.find('a').newest_at, self.now - 10.0)

    def test_answer_on_one_node_clears_the_request_on_all(self):
        for number in range(2):
            self.see_crash(self.plain[number], number)
        self.flush()
        self.now += 1.0
        self.plain[3].reporter.note_answered('a')
        self.flush()
        self.assertEqual([len(node.table) for node in self.nodes], [0] * self.count)

    def test_new_link_receives_all_known_crashes(self):
        away = self.plain[-1]
        for node in self.nodes:
            node.links = [peer for peer in node.links if peer is not away]
        for number in range(CRASHES_TO_CONFIRM):
            self.see_crash(self.plain[0], number)
            self.flush()
        self.assertFalse(away.refuses())
        self.leader.links.append(away)
        self.leader.reporter.greet(away.name)
        self.assertTrue(away.refuses())

    def test_loss_of_the_leader_loses_no_reports(self):
        for number in range(2):
            self.see_crash(self.plain[0], number)
        self.flush()
        for node in self.nodes:
            node.links = [peer for peer in node.links if peer is not self.leader]
        self.see_crash(self.plain[1], 2)
        self.flush()
        left = [node for node in self.nodes if node is not self.leader]
        self.assertTrue(all(node.refuses() for node in left))


class CostTest(FleetTestCase):
    """The number of messages for a crash in the largest supported fleet."""

    count = 195

    def test_messages_grow_with_nodes_and_not_with_requests(self):
        # The instance runs 13 requests from 13 nodes.
        for node in self.plain[:13]:
            self.see_crash(node, 1, f'r{node.name}')
        self.flush()
        self.assertTrue(all(len(node.table) == 13 for node in self.nodes))
        # Reports are batched: the leader and the relay send two messages per link at
        # most.
        self.assertLessEqual(self.leader.sent, 2 * self.count)
        self.assertLessEqual(self.relay.sent, 2 * self.count)
        self.assertLess(self.leader.bytes / self.leader.sent, 2_000)


class LateMessagesTest(FleetTestCase):
    """Nodes stop sending once all know of a crash, however many there are.

    Guards against reports that relays forward to one another without end.
    """

    instances = 3 * MAX_CRASHES_KEPT
    link_s = 0.03

    def setUp(self):
        super().setUp()
        self.due = []
        for node in self.nodes:
            node.reporter.send = partial(self.send_late, node)

    def send_late(self, node, message, name):
        """Send a message that arrives later."""
        data = encode_message(message)
        for peer in node.links:
            if name in ('', peer.name):
                node.sent += 1
                self.due.append((self.now + self.link_s, peer, data))

    def play(self, seconds):
        """Deliver messages as they are due; return how many were sent."""
        sent = self.count_sent()
        until = self.now + seconds
        while self.now < until:
            self.now += BATCH_S
            due, self.due = self.due, []
            for row in due:
                at, peer, data = row
                if at > self.now:
                    self.due.append(row)
                else:
                    peer.reporter.take(decode_message(data))
            for node in self.nodes:
                node.reporter.tell_waiting()
        return self.count_sent() - sent

    def count_sent(self):
        return sum(node.sent for node in self.nodes)

    def see_crashes(self, name_request, parts):
        """Let nodes observe crashes of many instances that ran like requests."""
        for number in range(self.instances):
            node = self.plain[number % len(self.plain)]
            crash = Crash(
                name_request(number), 'acme', f'i{number}', 1, self.now, node.name
            )
            node.reporter.note_crash(replace(crash, workload='pool/m', parts=parts))

    def check_silent(self):
        """Check that the nodes have stopped after ten times what a report needs."""
        self.play(10 * (2 * self.link_s + 2 * BATCH_S))
        self.assertEqual(self.play(1.0), 0)

    def test_crashes_of_one_part(self):
        self.see_crashes(lambda number: f'r{number}', ('shared',))
        self.check_silent()

    def test_crashes_of_one_request(self):
        self.see_crashes(lambda number: 'r', ())
        self.check_silent()

    def test_crashes_that_are_cleared_meanwhile(self):
        self.see_crashes(lambda number: f'r{number}', ('shared',))
        self.play(0.1)
        for number, node in enumerate(self.plain):
            traits = Traits(f'r{number}', 'acme', 'pool/m', ('shared',))
            node.reporter.note_answered(traits.fingerprint)
            node.reporter.note_sound(traits, '')
        self.check_silent()


class PartReportTest(FleetTestCase):
    """A part of prompts that crashes instances becomes known to all nodes."""

    traits = Traits('r', 'acme', 'pool/m', ('a', 'bad'))

    def see_part(self, node, number, sound=()):
        """Let a node observe the crash of an instance that had begun a request."""
        node.reporter.note_crash(
            Crash(
                f'r{number}',
                'acme',
                f'i{number}',
                1,
                self.now,
                node.name,
                'v1',
                'pool/m',
                ('a', 'bad'),
                sound,
            )
        )

    def see_all(self, *nodes):
        for number, node in enumerate(nodes):
            self.see_part(node, number, (('a', self.now - 1.0),))
            self.flush()
            self.now += 0.1

    def count_refusing(self):
        return sum(node.refuses_part(self.traits) for node in self.nodes)

    def test_part_whose_crashes_three_nodes_saw_is_refused_on_all(self):
        self.see_all(*self.plain[:2])
        self.assertEqual(self.count_refusing(), 0)
        self.see_all(self.plain[3])
        self.see_part(self.plain[4], 4)
        self.flush()
        self.assertEqual(self.count_refusing(), self.count)

    def test_relays_forward_nothing_twice(self):
        self.see_all(*self.plain[:3])
        sent = sum(node.sent for node in self.nodes)
        self.flush()
        self.assertEqual(sum(node.sent for node in self.nodes), sent)

    def test_node_whose_link_comes_up_is_told(self):
        self.see_all(*self.plain[:3])
        new = Node('new', self.store, self.clock)
        self.leader.links.append(new)
        self.leader.reporter.greet('new')
        self.assertTrue(new.refuses_part(self.traits))

    def test_success_on_one_node_is_told_to_all(self):
        self.see_all(*self.plain[:3])
        self.plain[5].reporter.note_sound(self.traits, 'v1')
        self.flush()
        self.assertEqual(self.count_refusing(), 0)

    # Guards against sound requests that are refused until the next sweep.
    def test_success_with_a_refused_part_is_told_at_once(self):
        self.see_all(*self.plain[:3])
        reporter = self.plain[5].reporter
        reporter._report_due = anyio.Event()
        reporter.note_sound(self.traits, 'v1')
        self.assertTrue(reporter._report_due.is_set())

    def test_part_survives_the_end_of_all_nodes_and_can_be_lifted(self):
        self.see_all(*self.plain[:3])
        self.store_once(self.plain[0])
        new = self.start()
        self.assertTrue(new.refuses_part(self.traits))
        entry = new.view.refused['part:bad']
        self.assertEqual(entry.customers, ['acme'])
        value = encode_lifted(entry)
        self.now += 1.0
        new.view.apply(Events((Entry(REFUSED_PREFIX + 'part:bad', value, 30),), 30))
        self.assertFalse(new.refuses_part(self.traits))

    def test_parts_that_were_not_told_apart_stay_so_in_the_store(self):
        for number in range(3):
            self.see_part(self.plain[0], number)
        self.flush()
        self.store_once(self.plain[0])
        new = self.start()
        self.assertTrue(new.refuses_part(self.traits))
        for name in ('a', 'bad'):
            only = Traits('r', 'acme', 'pool/m', (name,))
            self.assertFalse(new.refuses_part(only))

    def test_failed_trial_is_stored(self):
        self.see_all(*self.plain[:3])
        self.store_once(self.plain[0])
        self.assertTrue(self.leader.refuses_part(self.traits))
        self.now += TRIAL_S
        self.see_part(self.leader, 9)
        self.store_once(self.leader)
        new = self.start()
        self.now += TRIAL_S
        self.assertTrue(new.refuses_part(self.traits))

    # Guards against nodes that start and refuse what has been cleared long ago.
    def test_part_that_was_cleared_is_lifted_in_the_store(self):
        self.see_all(*self.plain[:3])
        self.store_once(self.plain[0])
        for node in self.nodes:
            node.view.note_refused('part:bad', self.store.entries[KEY_OF_BAD])
        self.now += 1.0
        self.leader.reporter.note_sound(self.traits, 'v1')
        self.flush()
        self.assertEqual(self.count_refusing(), 0)
        self.assertEqual(self.leader.reporter._outdated_entries, {'part:bad'})
        anyio.run(self.leader.reporter._lift, 'part:bad')
        self.assertFalse(self.start().refuses_part(self.traits))

    def test_messages_are_decoded_as_they_were_sent(self):
        self.see_part(self.plain[0], 1, (('a', 99.0),))
        crashes = tuple(self.plain[0].table.list_crashes())
        scope = crashes[0].scope
        cleared = (Clearance('part:a', 99.0, scope), Clearance('x', 98.0))
        report = CrashReport('n0', 100.0, crashes, cleared)
        self.assertEqual(decode_message(encode_message(report)), report)

    def start(self):
        """Return a new node that has listed the store."""
        return start_node(self.store, self.clock)


class StoreTest(FleetTestCase):
    """Refusals survive the nodes that know them."""

    def refuse(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.see_crash(self.plain[0], number)
        self.flush()

    def start(self):
        """Return a new node that has listed the store."""
        return start_node(self.store, self.clock)

    def test_refusal_survives_the_end_of_all_nodes(self):
        self.refuse()
        self.store_once(self.plain[0])
        self.assertTrue(self.start().refuses())

    # Guards against a node that ends as a suspect is cleared while another is stored.
    def test_refusal_that_is_cleared_meanwhile_is_not_stored(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.see_crash(self.plain[0], number, 'a', 'b')
        self.now += 1.0
        grant = self.store.grant

        async def clear_and_grant(ttl_s):
            for name in ('a', 'b'):
                self.plain[0].table.clear(Clearance(name, self.now))
            return await grant(ttl_s)

        self.store.grant = clear_and_grant
        self.store_once(self.plain[0])
        self.assertEqual(len(self.store.entries), 1)

    def test_suspects_are_not_stored(self):
        self.see_crash(self.plain[0], 1)
        self.store_once(self.plain[0])
        self.assertEqual(self.store.calls, 0)

    def test_refusal_is_stored_once(self):
        self.refuse()
        for _ in range(5):
            self.store_once(self.plain[0])
        self.assertEqual(self.store.calls, 2)

    def test_nodes_that_did_not_observe_a_crash_store_nothing(self):
        self.refuse()
        self.store_once(self.plain[1])
        self.assertEqual(self.store.calls, 0)

    def test_leader_stores_what_the_observer_could_not(self):
        self.store.up = False
        self.refuse()
        self.store_once(self.plain[0])
        self.store.up = True
        self.store_once(self.leader)
        self.assertTrue(self.start().refuses())

    def test_operator_lifts_the_refusal(self):
        self.refuse()
        self.store_once(self.plain[0])
        node = self.start()
        self.now += 1.0
        value = encode_lifted(node.view.refused['a'])
        node.view.apply(Events((Entry(REFUSED_PREFIX + 'a', value, 30),), 30))
        self.assertFalse(node.refuses())
        node.reporter.take(self.plain[0].reporter._compose(self.list_crashes(), []))
        self.assertFalse(node.refuses())

    def list_crashes(self):
        """Return the crashes known to a node that did not see the refusal lifted."""
        return list(self.plain[0].table.find('a').crashes.values())

    def test_deleted_entry_does_not_lift_a_refusal(self):
        self.refuse()
        self.store_once(self.plain[0])
        node = self.start()
        node.view.apply(Events((Entry(REFUSED_PREFIX + 'a', deleted_at=30),), 30))
        self.assertTrue(node.refuses())
        node = self.start()
        node.view.apply(Events((), 40, complete=True))
        self.assertTrue(node.refuses())

    def test_leader_restores_a_lapsed_entry(self):
        self.refuse()
        self.store_once(self.plain[0])
        self.leader.view.note_refused('a', self.store.entries.pop(REFUSED_PREFIX + 'a'))
        self.leader.view.apply(Events((), 40, complete=True))
        self.store_once(self.leader)
        self.assertIn(REFUSED_PREFIX + 'a', self.store.entries)

    def test_damaged_entry_refuses_nothing(self):
        node = Node('new', self.store, self.clock)
        for number, value in enumerate(('', '{}', '[1]', '{"customer":1,"ended":[1]}')):
            key = f'{REFUSED_PREFIX}x{number}'
            node.view.apply_entry(Entry(key, value, 5))
        self.assertEqual(len(node.table), 0)


class LiveInstanceTest(unittest.TestCase):
    """Instances whose entries prove that they did not crash."""

    def setUp(self):
        self.now = 100.0
        self.view = FleetView(lambda: self.now)
        self.store_uptime_s = 100.0
        self.view.find_store_uptime_s = lambda: self.store_uptime_s
        self.view.instances['i1'] = build_instance('i1', born=7)
        self.standing = LiveInstances(self.view, HEARTBEAT_S, lambda: self.now)

    def has(self, born=7):
        return self.standing.has(Crash('a', '', 'i1', born, 100.0, 'n1'))

    def test_entry_older_than_its_lapse_time_proves_a_live_instance(self):
        self.assertFalse(self.has())
        self.now += HEARTBEAT_S * LAPSE_HEARTBEATS + 0.1
        self.assertTrue(self.has())

    def test_entry_of_another_incarnation_proves_nothing(self):
        self.now += 60.0
        self.assertFalse(self.has(born=6))

    def test_missing_entry_proves_nothing(self):
        self.now += 60.0
        del self.view.instances['i1']
        self.assertFalse(self.has())

    def test_entry_proves_nothing_during_an_outage(self):
        self.now += 60.0
        self.store_uptime_s = 1.0
        self.assertFalse(self.has())


if __name__ == '__main__':
    unittest.main()
