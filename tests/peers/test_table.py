"""Tests of record exchange: convergence, ordering, ages never underestimated."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coursepitch.errors import CodecError, PeerError
from coursepitch.peers.messages import (
    AskChanges,
    Changes,
    Digest,
    Hello,
    decode_message,
    encode_message,
)
from coursepitch.peers.records import (
    ContactBody,
    DomainBody,
    FleetBody,
    NodeBody,
    pack_body,
    unpack_body,
)
from coursepitch.peers.slots import SlotDefinition, SlotTable, SlotUpdate
from coursepitch.peers.table import (
    KnownState,
    MergeResult,
    RecordKey,
    Table,
    WireRecord,
)
from coursepitch.peers.topology import choose_peers
from tests.builders import build_seen

NAMES = ('a', 'b', 'c')
NAME = st.sampled_from(NAMES)


class GossipMachine(RuleBasedStateMachine):
    """Three tables that exchange records with delays, restarts and dropped records."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.boots = dict.fromkeys(NAMES, 1)
        self.tables = {name: Table(name, 1) for name in NAMES}
        self.known: dict[tuple[str, str], dict[RecordKey, KnownState]] = {}
        self.listed: dict[tuple[str, str], int] = {}
        self.truth: dict[tuple[str, int, int], float] = {}
        self.best: dict[tuple[str, str], tuple[int, int]] = {}

    @rule(seconds=st.sampled_from([0.1, 1.0, 70.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=NAME, value=st.integers(0, 2))
    def publish(self, name: str, value: int) -> None:
        self.tables[name].publish('contact', name, ContactBody(value), self.now)
        own = next(r for r in self.tables[name].read() if r.key.origin == name)
        self.truth[name, own.boot, own.number] = self.now

    @rule(sender=NAME, receiver=NAME, transit=st.sampled_from([0.0, 0.2, 5.0]))
    def transfer(self, sender: str, receiver: str, transit: float) -> None:
        """Transfer updates as a link does; request missing bodies again."""
        if sender == receiver:
            return
        known = self.known.setdefault((sender, receiver), {})
        since = self.listed.get((sender, receiver), 0)
        self.listed[sender, receiver] = self.tables[sender].stamp
        for wire in self.tables[sender].list_updates(known, self.now, since):
            known[wire.key] = KnownState(wire.boot, wire.number, wire.content)
            aged = WireRecord(
                wire.key,
                wire.boot,
                wire.number,
                wire.content,
                wire.age_s + transit,
                wire.body,
            )
            if self.tables[receiver].merge(aged, self.now) is MergeResult.MISSING_BODY:
                known.pop(wire.key)
                self.listed[sender, receiver] = 0

    @rule(name=NAME)
    def drop_expired(self, name: str) -> None:
        self.tables[name].drop_expired(self.now)
        self.forget_dropped(name)

    @rule(name=NAME)
    def restart(self, name: str) -> None:
        self.boots[name] += 1
        self.tables[name] = Table(name, self.boots[name])
        self.forget_dropped(name)
        for pair in list(self.known):
            if name in pair:
                del self.known[pair]
                self.listed.pop(pair, None)

    def forget_dropped(self, name: str) -> None:
        stored = {(name, record.key.origin) for record in self.tables[name].read()}
        self.best = {p: s for p, s in self.best.items() if p[0] != name or p in stored}

    @invariant()
    def ages_are_not_underestimated_and_states_never_go_back(self) -> None:
        for name, table in self.tables.items():
            for record in table.read():
                origin = record.key.origin
                truth = self.truth[origin, record.boot, record.number]
                assert record.made_at <= truth + 1e-6
                state = (record.boot, record.number)
                assert state >= self.best.get((name, origin), (0, 0))
                self.best[name, origin] = state


class GossipTest(GossipMachine.TestCase):  # type: ignore[misc,name-defined]
    """Runs the state machine."""

    settings = settings(
        max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
    )


class MissingBodyTest(unittest.TestCase):
    """A record body that was dropped is requested again."""

    def test_state_without_body_after_a_drop_is_missing_its_body(self) -> None:
        source, sink = Table('a', 1), Table('b', 1)
        source.publish('contact', 'a', ContactBody(1), 0.0)
        (wire,) = source.list_updates({}, 0.0)
        sink.merge(wire, 0.0)
        sink.drop_expired(100.0)
        source.publish('contact', 'a', ContactBody(1), 100.0)
        known = {wire.key: KnownState(wire.boot, wire.number, wire.content)}
        (short,) = source.list_updates(known, 100.0)
        self.assertIsNone(short.body)
        self.assertIs(sink.merge(short, 100.0), MergeResult.MISSING_BODY)
        self.assertEqual(sink.read(), ())


class NodeRecordTest(unittest.TestCase):
    """Status of nodes, also of nodes of a version that does not tell of paths."""

    def test_node_tells_whether_it_reaches_engines(self):
        for cut_off in (False, True):
            body = NodeBody('i', 7, True, False, cut_off)
            self.assertEqual(unpack_body('node', pack_body(body)), body)

    # Guards against a node that has checked nothing yet and counts as one with paths.
    def test_node_tells_whether_it_has_checked_engines(self):
        body = NodeBody('i', 7, True, False, unchecked=True)
        self.assertEqual(unpack_body('node', pack_body(body)), body)
        self.assertFalse(body.reaches)

    def test_sound_node_is_told_as_before(self):
        self.assertEqual(
            pack_body(NodeBody('i', 7, True, False)), ['i', 7, True, False]
        )

    def test_longer_record_is_refused(self):
        with self.assertRaises(CodecError):
            unpack_body('node', ['i', 7, True, False, True, True])


class DomainRecordTest(unittest.TestCase):
    """Observations, also by nodes of a version that does not tell of silence."""

    def test_silent_member_is_told_and_counts_as_one_that_does_not_answer(self):
        for silent in (False, True):
            body = DomainBody(1, 1, (build_seen('r', good=False, silent=silent),))
            packed = pack_body(body)
            self.assertEqual(unpack_body('domain', packed), body)
            good, answers = packed[2][0][-1][1][2:]
            self.assertEqual((good is True, answers is True), (False, False))


class MessageTest(unittest.TestCase):
    """The codec decodes its own output and rejects any other input."""

    def test_round_trip(self) -> None:
        wire = WireRecord(
            RecordKey('fleet', 'x', 'a'), 5, 6, 5, 1.5, FleetBody(('d',), ('i-1',))
        )
        messages = [
            Hello(1, 'a'),
            AskChanges(7),
            Changes(({'revision': 1},), None),
            Digest(
                3,
                2,
                9,
                (SlotDefinition(0, wire),),
                (SlotUpdate(0, 7, 12),),
                (wire.key,),
            ),
        ]
        for message in messages:
            self.assertEqual(decode_message(encode_message(message)), message)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_message_or_a_codec_error(self, data) -> None:
        try:
            decode_message(data)
        except CodecError:
            return

    @given(st.integers(0, 200), st.integers(0, 255))
    def test_a_damaged_message_is_a_message_or_a_codec_error(self, place, byte) -> None:
        wire = WireRecord(
            RecordKey('fleet', 'x', 'a'), 5, 6, 5, 1.5, FleetBody(('d',), ('i-1',))
        )
        data = bytearray(encode_message(Digest(3, 2, 9, (SlotDefinition(0, wire),))))
        data[place % len(data)] = byte
        try:
            decode_message(bytes(data))
        except CodecError:
            return


class IncrementalListingTest(unittest.TestCase):
    """An incremental listing gives the same updates as a full one."""

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2), st.booleans())))
    def test_listing_since_the_last_one_equals_full_listing(self, steps) -> None:
        table, known, since = Table('a', 1), {}, 0
        for subject, value, lists in steps:
            table.publish('contact', str(subject), ContactBody(value), 0.0)
            if lists:
                everything = table.list_updates(known, 0.0)
                updates = table.list_updates(known, 0.0, since)
                self.assertEqual(updates, everything)
                since = table.stamp
                for wire in updates:
                    known[wire.key] = KnownState(wire.boot, wire.number, wire.content)


class SlotTest(unittest.TestCase):
    """Slot updates are restored to the records they were made from."""

    def test_records_are_restored_and_repetitions_sent_as_updates(self) -> None:
        sender, receiver = SlotTable(), SlotTable()
        key = RecordKey('fleet', 'x', 'a')
        first = WireRecord(key, 5, 6, 6, 1.5, FleetBody(('d',), ()))
        again = WireRecord(key, 5, 7, 6, 0.5, None)
        changed = WireRecord(key, 5, 8, 8, 0.25, FleetBody((), ()))
        for wire, update_count in ((first, 0), (again, 1), (changed, 0), (again, 0)):
            definitions, updates = sender.pack([wire])
            self.assertEqual(len(updates), update_count)
            self.assertEqual(receiver.unpack(definitions, updates), [wire])

    def test_undefined_and_out_of_range_slots_are_rejected(self) -> None:
        wire = WireRecord(RecordKey('fleet', 'x', 'a'), 5, 6, 6, 1.5, FleetBody((), ()))
        for definitions, updates in (
            ([], [SlotUpdate(3, 1, 1)]),
            ([SlotDefinition(1 << 20, wire)], []),
        ):
            with self.assertRaises(PeerError):
                SlotTable().unpack(definitions, updates)


class TopologyTest(unittest.TestCase):
    """Links connect all nodes in few hops."""

    def test_number_of_hops_and_links_is_logarithmic(self) -> None:
        for count in (2, 3, 9, 100, 370):
            names = [f'n{number}' for number in range(count)]
            links = {name: set(choose_peers(name, names)) for name in names}
            for name, peers in list(links.items()):
                for peer in peers:
                    links[peer] = links[peer] | {name}
            reached, steps = {'n0'}, 0
            while len(reached) < count:
                reached |= {peer for name in reached for peer in links[name]}
                steps += 1
            self.assertLessEqual(steps, count.bit_length())
            most = max(len(peers) for peers in links.values())
            self.assertLessEqual(most, count.bit_length() + 1)
