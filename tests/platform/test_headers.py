"""Rate limits that instances name in the headers of their answers."""

from __future__ import annotations

import unittest

from hypothesis import given, strategies

from coursepitch.platform.headers import read_answer_marks


def read_limit(*values):
    """Return the limit and the damaged value of an answer with these headers."""
    headers = tuple((b'Server-Limit', value) for value in values)
    marks = read_answer_marks(200, headers)
    return marks.limit, marks.damaged_limit


class LimitHeaderTest(unittest.TestCase):
    """Each value has one meaning."""

    def test_decimal_numbers_are_limits(self):
        for value, limit in (
            (b'1', 1.0),
            (b'1.2', 1.2),
            (b' 0.5 ', 0.5),
            (b'.5', 0.5),
            (b'3.', 3.0),
            (b'0', 0.0),
            (b'1' * 20, float('1' * 20)),
        ):
            with self.subTest(value=value):
                self.assertEqual(read_limit(value), (limit, None))

    def test_anything_else_is_damaged_and_no_limit(self):
        for value in (b'', b'-1', b'+1', b'nan', b'inf', b'1e3', b'1,5', b'1 2', b'.'):
            with self.subTest(value=value):
                self.assertEqual(read_limit(value), (None, value.decode()))

    def test_damaged_value_is_cut(self):
        self.assertEqual(read_limit(b'9' * 1000), (None, '9' * 40))

    def test_lowest_of_several_counts(self):
        self.assertEqual(read_limit(b'2', b'1.5'), (1.5, None))
        self.assertEqual(read_limit(b'x', b'1.5'), (1.5, 'x'))

    def test_answer_without_one_names_none(self):
        self.assertEqual(read_limit(), (None, None))

    @given(strategies.binary(max_size=60))
    def test_any_bytes_are_read(self, value):
        limit, _ = read_limit(value)
        self.assertTrue(limit is None or 0 <= limit < float('inf'))
