"""History of the configuration: one line, never back."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.config.history import (
    HEAD_CHANGES,
    Configuration,
    Head,
    apply_changes,
    decode_head,
    decode_snapshot,
    encode_head,
    encode_snapshot,
    extend_head,
)
from coursepitch.config.resources import Customer, Key
from coursepitch.errors import CodecError

WRITES = st.lists(
    st.tuples(st.sampled_from('abc'), st.none() | st.integers(1, 9)), max_size=60
)


def write_all(writes: list[tuple[str, int | None]]) -> list[Head]:
    """Return the head after each write; the snapshot is always up to date."""
    heads = [Head()]
    for name, burst in writes:
        spec = None if burst is None else Customer(burst=burst)
        last = heads[-1]
        heads.append(extend_head(last, last.revision, Key('customer', name), spec, 1))
    return heads


class HistoryTest(unittest.TestCase):
    """Heads, changes and snapshots."""

    @given(WRITES, st.lists(st.integers(0, 60), max_size=20))
    def test_heads_in_any_order_never_lead_back(self, writes, order) -> None:
        heads = write_all(writes)
        configuration = Configuration()
        for place in order:
            head = heads[place % len(heads)]
            before = configuration.revision
            configuration = apply_changes(configuration, head.changes)
            self.assertGreaterEqual(configuration.revision, before)
            if head.floor <= before:
                self.assertGreaterEqual(configuration.revision, head.revision)

    @given(WRITES)
    def test_any_way_leads_to_the_same_resources(self, writes) -> None:
        heads = write_all(writes)
        by_steps = Configuration()
        for head in heads:
            by_steps = apply_changes(by_steps, head.changes)
        last = heads[-1]
        self.assertLessEqual(len(last.changes), HEAD_CHANGES)
        middle = Configuration()
        for head in heads[: last.floor + 1]:
            middle = apply_changes(middle, head.changes)
        snapshot = decode_snapshot(encode_snapshot(middle))
        self.assertEqual(apply_changes(snapshot, last.changes), by_steps)
        self.assertEqual(decode_head(encode_head(last)), last)

    def test_without_a_snapshot_no_change_is_dropped(self) -> None:
        head = Head()
        for number in range(3 * HEAD_CHANGES):
            head = extend_head(head, 0, Key('customer', 'a'), Customer(), number)
        self.assertEqual(len(head.changes), 3 * HEAD_CHANGES)

    @given(st.text(max_size=200))
    def test_damaged_text_is_a_codec_error(self, text) -> None:
        for decode in (decode_head, decode_snapshot):
            with self.assertRaises(CodecError):
                decode(text)
