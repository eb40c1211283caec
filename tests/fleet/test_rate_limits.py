"""What a node knows of the rate limits that instances name."""

from __future__ import annotations

import unittest

from coursepitch.fleet.rate_limits import LimitReading, RateLimits


class RateLimitsTest(unittest.TestCase):
    """The newest reading counts, whoever read it."""

    def setUp(self):
        self.now = 100.0
        self.limits = RateLimits('n1', lambda: self.now)

    def test_limit_is_known_until_an_answer_names_none(self):
        self.assertIsNone(self.limits.find('a'))
        self.assertTrue(self.limits.note_answer('a', 1.0))
        self.now += 60
        self.assertEqual(self.limits.find('a'), 1.0)
        self.assertTrue(self.limits.note_answer('a', None))
        self.assertIsNone(self.limits.find('a'))

    def test_what_is_known_is_no_news(self):
        self.assertFalse(self.limits.note_answer('a', None))
        self.assertTrue(self.limits.note_answer('a', 1.0))
        self.assertFalse(self.limits.note_answer('a', 1.0))

    def test_older_reading_of_a_peer_is_left(self):
        self.limits.note_answer('a', None)
        self.limits.note_answer('a', 2.0)
        self.assertFalse(self.limits.take('a', LimitReading(1.0, 99.0, 'n2')))
        self.assertEqual(self.limits.find('a'), 2.0)

    def test_older_limit_does_not_come_back_once_it_is_lifted(self):
        self.limits.note_answer('a', 2.0)
        self.limits.note_answer('a', None)
        self.assertFalse(self.limits.take('a', LimitReading(2.0, 99.0, 'n2')))
        self.assertIsNone(self.limits.find('a'))

    def test_limit_from_before_a_restart_is_left(self):
        self.limits.note_restart('a')
        self.assertFalse(self.limits.take('a', LimitReading(2.0, 99.0, 'n2')))
        self.assertIsNone(self.limits.find('a'))

    def test_instances_that_are_gone_are_forgotten(self):
        self.limits.note_answer('a', 1.0)
        self.limits.forget({'b'})
        self.assertIsNone(self.limits.find('a'))
