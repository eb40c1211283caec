"""The buffer of a body that arrives in pieces."""

from __future__ import annotations

import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.http.body_buffer import PART_BYTES, BodyBuffer


class BodyBufferTest(unittest.TestCase):
    """Pieces of any size."""

    @given(st.lists(st.sampled_from([0, 1, 7, PART_BYTES - 1, PART_BYTES, 100_000])))
    def test_bytes_come_back_in_order(self, sizes):
        buffer, expected = BodyBuffer(), b''
        for number, size in enumerate(sizes):
            piece = bytes([number % 251]) * size
            buffer.append(piece)
            expected += piece
            self.assertEqual(len(buffer), len(expected))
        self.assertEqual(buffer.take(), expected)
        self.assertEqual((len(buffer), buffer.take()), (0, b''))

    def test_cleared_buffer_is_empty(self):
        buffer = BodyBuffer()
        for size in (PART_BYTES, 5):
            buffer.append(b'x' * size)
        buffer.clear()
        self.assertEqual((len(buffer), buffer.take()), (0, b''))

    # Guards against pieces of few bytes, each of which takes many times its size.
    def test_small_pieces_take_little_more_than_their_bytes(self):
        buffer = BodyBuffer()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(200_000):
            buffer.append(b'xy')
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, 1.5 * len(buffer))


if __name__ == '__main__':
    unittest.main()
