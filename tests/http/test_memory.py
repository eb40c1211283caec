"""The account of the bytes that are held for clients."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.http.memory import (
    LARGE_SHARE,
    SMALL_BYTES,
    UNCOUNTED_BYTES,
    ClientMemory,
)

LIMIT = 1_000_000


class Holder:
    """Holds bytes that it gives up, and others that it does not."""

    def __init__(self, memory, arrived_at=0.0):
        self.memory, self.arrived_at = memory, arrived_at
        self.kept_bytes = self.expendable_bytes = 0

    def hold(self, expendable=0, kept=0):
        """Change what is held."""
        self.expendable_bytes, self.kept_bytes = expendable, kept
        self.memory.note(self, expendable + kept)

    def give_up(self):
        """Free what may be freed."""
        self.hold(0, self.kept_bytes)


class ClientMemoryTest(unittest.TestCase):
    """Who gives way once too much is held."""

    def setUp(self):
        self.memory = ClientMemory(LIMIT, lambda: 0.0)

    def build(self, *sizes, **fields):
        """Return holders of some sizes."""
        holders = [Holder(self.memory, **fields) for _ in sizes]
        for holder, size in zip(holders, sizes, strict=True):
            holder.hold(size)
        return holders

    # Guards against clients that hold any number of bytes together.
    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.integers(0, 400_000), st.booleans()),
            max_size=60,
        )
    )
    def test_expendable_bytes_stay_within_the_limit(self, steps):
        memory = ClientMemory(LIMIT, lambda: 0.0)
        holders = [Holder(memory) for _ in range(10)]
        for number, size, is_kept in steps:
            holders[number].hold(0 if is_kept else size, size if is_kept else 0)
            kept = sum(item.kept_bytes for item in holders)
            held = sum(item.kept_bytes + item.expendable_bytes for item in holders)
            uncounted = len(holders) * UNCOUNTED_BYTES
            self.assertLessEqual(held, max(LIMIT, kept) + uncounted)
            self.assertLessEqual(abs(held - memory.held_bytes), uncounted)

    # Guards against ordinary requests that large ones keep out.
    def test_largest_holders_give_way(self):
        small = self.build(*[8_000] * 20)
        self.build(*[300_000] * 4)
        self.assertEqual([item.expendable_bytes for item in small], [8_000] * 20)

    # Guards against a client that goes on sending and loses its place to stalled ones.
    def test_of_equal_holders_the_one_that_stalls_gives_way(self):
        (stalled,) = self.build(450_000, arrived_at=1.0)
        (active,) = self.build(450_000, arrived_at=9.0)
        self.build(110_000, arrived_at=9.5)
        self.assertEqual(
            (stalled.expendable_bytes, active.expendable_bytes), (0, 450_000)
        )

    def test_requests_that_are_handled_are_kept(self):
        kept = Holder(self.memory)
        kept.hold(kept=900_000)
        (other,) = self.build(200_000)
        self.assertEqual((kept.kept_bytes, other.expendable_bytes), (900_000, 0))

    # Guards against a limit that no single request of the largest size fits in.
    def test_single_request_fits_whatever_the_limit(self):
        self.memory.body_bytes = 4 * LIMIT
        (single,) = self.build(4 * LIMIT)
        self.assertEqual(single.expendable_bytes, 4 * LIMIT)
        self.assertTrue(self.memory.take(4 * LIMIT))

    # Guards against large requests that leave no room for small ones.
    def test_large_requests_take_a_part_of_the_limit(self):
        taken = 0
        while self.memory.take(100_000):
            taken += 100_000
        self.assertLessEqual(taken, LARGE_SHARE * LIMIT)
        self.assertFalse(self.memory.has_room(100_000))
        self.assertTrue(self.memory.take(SMALL_BYTES))
        self.memory.give_back(100_000)
        self.assertTrue(self.memory.take(100_000))


if __name__ == '__main__':
    unittest.main()
