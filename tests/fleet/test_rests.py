"""Times for which instances want no requests."""

from __future__ import annotations

import unittest

from coursepitch.fleet.instances import REMEMBERED_S
from coursepitch.fleet.rests import InstanceRests


class RestTest(unittest.TestCase):
    """A rest lasts as long as was asked for, and ends with one request."""

    def setUp(self):
        self.now = 100.0
        self.rests = InstanceRests(lambda: self.now)

    def test_rest_lasts_from_the_moment_it_is_read(self):
        self.rests.note('a', 2.5)
        self.now += 2.4
        self.assertTrue(self.rests.is_closed('a'))
        self.now += 0.1
        self.assertFalse(self.rests.is_closed('a'))

    def test_longest_end_of_several_rests_counts(self):
        self.rests.note('a', 3.0)
        self.now += 1.0
        self.rests.note('a', 0.5)
        self.assertEqual(self.rests.find_left_s('a'), 2.0)
        self.rests.note('a', 4.0)
        self.assertEqual(self.rests.find_left_s('a'), 4.0)

    def test_one_request_goes_first_after_a_rest(self):
        self.rests.note('a', 1.0)
        self.now += 1.0
        trial = self.rests.begin_trial('a')
        self.assertTrue(self.rests.is_closed('a'))
        self.rests.end_trial(trial, served=True)
        self.assertFalse(self.rests.is_closed('a'))
        self.assertIsNone(self.rests.begin_trial('a'))

    def test_one_more_request_goes_first_if_that_was_not_served(self):
        self.rests.note('a', 1.0)
        self.now += 1.0
        self.rests.end_trial(self.rests.begin_trial('a'), served=False)
        self.assertFalse(self.rests.is_closed('a'))
        self.assertIsNotNone(self.rests.begin_trial('a'))
        self.assertTrue(self.rests.is_closed('a'))

    def test_first_request_that_is_rejected_begins_another_rest(self):
        self.rests.note('a', 1.0)
        self.now += 1.0
        trial = self.rests.begin_trial('a')
        self.rests.note('a', 2.0)
        self.rests.end_trial(trial, served=False)
        self.assertEqual(self.rests.find_left_s('a'), 2.0)

    def test_good_answer_does_not_end_a_rest_that_began_meanwhile(self):
        self.rests.note('a', 1.0)
        self.now += 1.0
        trial = self.rests.begin_trial('a')
        self.rests.note('a', 2.0)
        self.rests.end_trial(trial, served=True)
        self.assertTrue(self.rests.is_closed('a'))

    def test_start_of_the_instance_ends_its_rest(self):
        self.rests.note('a', 9.0)
        self.rests.note_restart('a')
        self.assertFalse(self.rests.is_closed('a'))

    def test_request_to_an_earlier_start_ends_no_rest_of_a_later_one(self):
        self.rests.note('a', 0.0)
        trial = self.rests.begin_trial('a')
        self.rests.note_restart('a')
        self.rests.note('a', 1.0)
        self.now += 1.0
        self.rests.begin_trial('a')
        self.rests.end_trial(trial, served=True)
        self.assertTrue(self.rests.is_closed('a'))

    def test_running_rest_outlasts_an_entry_that_is_gone_for_a_while(self):
        self.rests.note('a', 9.0)
        self.rests.forget(set())
        self.assertTrue(self.rests.is_closed('a'))
        self.now += 9.0
        self.rests.forget(set())
        self.assertIsNone(self.rests.begin_trial('a'))

    def test_rest_without_end_is_forgotten_with_its_instance(self):
        self.rests.note('a', 1e19)
        self.rests.forget({'a'})
        self.now += REMEMBERED_S + 1
        self.rests.forget({'a'})
        self.assertEqual(self.rests.count_resting(), 1)
        self.now += REMEMBERED_S + 1
        self.rests.forget(set())
        self.assertEqual(self.rests.count_resting(), 0)
