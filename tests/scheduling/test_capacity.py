"""Bounds of the requests that are sent to one target."""

from __future__ import annotations

import unittest

from coursepitch.scheduling.capacity import TokensInFlight, find_plain_bound


class PlainBoundTest(unittest.TestCase):
    """Plain instances get a few requests more than their slots."""

    def test_bound_exceeds_the_slots_by_half(self):
        self.assertEqual([find_plain_bound(n) for n in (1, 2, 6)], [1, 3, 9])


class TokensTest(unittest.TestCase):
    """A target is full when its key-value cache is."""

    def setUp(self):
        self.tokens = TokensInFlight()

    def test_own_and_other_requests_count(self):
        self.tokens.begin('h', 600)
        self.assertTrue(self.tokens.has_room('h', 400, 0, 1000))
        self.assertFalse(self.tokens.has_room('h', 401, 0, 1000))
        self.assertFalse(self.tokens.has_room('h', 400, 1, 1000))
        self.assertTrue(self.tokens.has_room('other', 401, 0, 1000))

    def test_ended_requests_free_their_tokens(self):
        self.tokens.begin('h', 600)
        self.tokens.begin('h', 300)
        self.tokens.end('h', 600)
        self.assertEqual(self.tokens.count('h'), 300)
        self.tokens.end('h', 300)
        self.assertEqual(self.tokens.count('h'), 0)

    def test_request_larger_than_the_cache_is_left_to_an_idle_target(self):
        """Otherwise it would wait for room that no target can have."""
        self.assertTrue(self.tokens.has_room('h', 5000, 0, 1000))
        self.tokens.begin('h', 1)
        self.assertFalse(self.tokens.has_room('h', 5000, 0, 1000))


if __name__ == '__main__':
    unittest.main()
