"""Tests of finding the requests that crash instances."""

from __future__ import annotations

import random
import unittest

from coursepitch.crashes.suspects import (
    COINCIDENCE_REFUSE_S,
    CRASH_RELEVANT_S,
    CRASHES_TO_CONFIRM,
    MAX_SUSPECTS,
    REFUSE_S,
    REPORT_DELAY_S,
    RETRY_PAUSE_S,
    Clearance,
    Crash,
    SuspectTable,
)

#: Concurrent requests of an instance.
SLOTS = 13


class SuspectCase(unittest.TestCase):
    """A suspect table with a simulated clock."""

    def setUp(self):
        self.now = 100.0
        self.standing = set()
        self.table = SuspectTable(
            lambda: self.now, lambda crash: crash.instance in self.standing
        )

    def crash(self, instance, *names, born=1, customer='acme'):
        """Record a crash of an instance that ran requests; return how many were new."""
        return sum(
            self.table.note_crash(Crash(name, customer, instance, born, self.now, 'n1'))
            for name in names
        )

    def is_refused(self, name):
        return self.table.find_refused_s(name) > 0


class ConfirmationTest(SuspectCase):
    """Number of crashes after which a request is refused."""

    def test_request_without_crashes_is_not_refused(self):
        self.assertFalse(self.is_refused('a'))

    def test_three_crashes_suffice_whichever_others_crashed(self):
        self.crash('other', 'b')
        for number in range(CRASHES_TO_CONFIRM):
            self.assertFalse(self.is_refused('a'))
            self.crash(f'i{number}', 'a')
        self.assertTrue(self.is_refused('a'))

    def test_two_crashes_suffice_for_the_only_explanation_of_all(self):
        self.crash('i1', 'a', 'b', 'c')
        self.crash('i2', 'a', 'd')
        self.now += REPORT_DELAY_S
        self.assertTrue(self.is_refused('a'))
        for name in 'bcd':
            self.assertFalse(self.is_refused(name))

    def test_two_crashes_do_not_suffice_before_all_nodes_have_reported(self):
        self.crash('i1', 'a', 'b')
        self.crash('i2', 'a')
        self.assertFalse(self.is_refused('a'))
        self.crash('i2', 'b')
        self.now += REPORT_DELAY_S
        self.assertFalse(self.is_refused('a'))

    def test_two_crashes_do_not_suffice_if_another_is_unexplained(self):
        self.crash('i0', 'z')
        self.crash('i1', 'a')
        self.crash('i2', 'a')
        self.now += REPORT_DELAY_S
        self.assertFalse(self.is_refused('a'))

    def test_request_stays_refused_after_an_unrelated_crash(self):
        self.crash('i1', 'a')
        self.crash('i2', 'a')
        self.now += REPORT_DELAY_S
        self.assertTrue(self.is_refused('a'))
        self.crash('i3', 'z')
        self.assertTrue(self.is_refused('a'))

    def test_crash_reported_by_several_nodes_counts_once(self):
        for _ in range(5):
            self.crash('i1', 'a')
        self.now += REPORT_DELAY_S
        self.assertEqual(self.crash('i1', 'a'), 0)
        self.assertFalse(self.is_refused('a'))

    def test_restarted_instance_counts_again(self):
        for born in range(1, CRASHES_TO_CONFIRM + 1):
            self.crash('i1', 'a', born=born)
        self.assertTrue(self.is_refused('a'))

    def test_request_is_not_refused_on_other_software_versions(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.table.note_crash(
                Crash('a', 'acme', f'i{number}', 1, self.now, 'n1', 'v1')
            )
        self.assertGreater(self.table.find_refused_s('a', {'v1', 'v2'}), 0)
        self.assertEqual(self.table.find_refused_s('a', {'v2'}), 0.0)
        self.table.note_crash(Crash('a', 'acme', 'i9', 1, self.now, 'n1', 'v2'))
        self.assertGreater(self.table.find_refused_s('a', {'v2'}), 0)
        # The running versions are unknown, so it is not tried again.
        self.assertGreater(self.table.find_refused_s('a', ()), 0)

    def test_requests_with_two_crashes_pause(self):
        self.crash('i1', 'a', 'b')
        self.assertEqual(self.table.find_pause_s('a'), 0.0)
        self.crash('i2', 'a', 'b')
        self.assertAlmostEqual(self.table.find_pause_s('a'), RETRY_PAUSE_S)
        self.now += RETRY_PAUSE_S
        self.assertEqual(self.table.find_pause_s('a'), 0.0)


class InnocentRequestTest(SuspectCase):
    """Requests that crash nothing and must not be refused."""

    def play_wave(self, share, together_s, run_s=1.0):
        """Crash a fraction of 171 instances within a time, none because of a request.

        A request whose instance crashed continues on another running one.  After its
        second crash the client gets an error, and retries when that is allowed.

        :param run_s: seconds that a run takes if no crash interrupts it.
        :return: requests that were refused, those that succeeded, and all.
        """
        chance = random.Random(7)
        instances = [f'i{number}' for number in range(171)]
        ends = {
            name: 100.0 + chance.random() * together_s
            for name in chance.sample(instances, int(share * len(instances)))
        }
        names = [f'r{number}' for number in range(len(instances) * SLOTS // 2)]
        place = {name: chance.choice(instances) for name in names}
        since = {name: 100.0 - chance.random() * run_s for name in names}
        waiting, refused, well = {}, set(), set()
        for instance in sorted(ends, key=ends.get):
            self.now = ends[instance]
            standing = [item for item in instances if ends.get(item, 1e9) > self.now]
            for name in [item for item in place if since[item] + run_s <= self.now]:
                del place[name]
                well.add(name)
                self.table.clear(Clearance(name, self.now))
            for name in [name for name, until in waiting.items() if until <= self.now]:
                del waiting[name]
                if self.is_refused(name):
                    refused.add(name)
                else:
                    place[name], since[name] = chance.choice(standing), self.now
            taken = [name for name, where in place.items() if where == instance]
            self.crash(instance, *taken)
            for name in taken:
                place[name], since[name] = chance.choice(standing), self.now
                if self.table.find_pause_s(name):
                    waiting[name] = self.now + RETRY_PAUSE_S * (1 + chance.random())
                    del place[name]
        return refused, well, names

    def test_none_is_refused_when_nine_tenths_crash_at_once(self):
        # Retried requests reach instances that refuse connections.
        self.assertEqual(self.play_wave(0.9, 0.0)[0], set())

    def test_none_is_refused_when_nine_tenths_crash_within_a_second(self):
        self.assertEqual(self.play_wave(0.9, 1.0)[0], set())

    def test_no_successful_request_is_refused_in_a_long_wave_and_none_for_long(self):
        # One of 1,111 requests is refused for a while, four if the wave takes 5 s.
        refused, well, names = self.play_wave(0.9, 8.0)
        self.assertEqual(refused & well, set())
        self.assertFalse([name for name in well if self.is_refused(name)])
        self.now += COINCIDENCE_REFUSE_S
        self.assertFalse([name for name in names if self.is_refused(name)])

    def test_cause_is_found_among_many_requests_that_continue_elsewhere(self):
        chance = random.Random(3)
        for trial in range(50):
            self.setUp()
            instances = [f'i{number}' for number in range(11)]
            innocent = [f'r{number}' for number in range(40)]
            place = {name: chance.choice(instances) for name in innocent}
            ended = 0
            while not self.is_refused('guilty'):
                self.now += 0.3
                where = chance.choice(instances)
                instances.remove(where)
                taken = [name for name in innocent if place[name] == where]
                self.crash(where, 'guilty', *taken)
                ended += 1
                for name in taken:
                    place[name] = chance.choice(instances)
                self.now += REPORT_DELAY_S
            with self.subTest(trial=trial):
                self.assertLessEqual(ended, CRASHES_TO_CONFIRM)

    def test_successful_run_clears_a_request(self):
        for number in range(CRASHES_TO_CONFIRM - 1):
            self.crash(f'i{number}', 'a')
        self.assertTrue(self.table.clear(Clearance('a', self.now)))
        self.now += 1.0
        self.crash('i9', 'a')
        self.now += REPORT_DELAY_S
        self.assertFalse(self.is_refused('a'))

    def test_crash_from_before_a_clearance_is_ignored(self):
        self.crash('i1', 'a')
        before = Crash('a', 'acme', 'i2', 1, self.now, 'n2')
        self.now += 1.0
        self.table.clear(Clearance('a', self.now))
        self.assertFalse(self.table.note_crash(before))
        self.assertEqual(len(self.table), 0)

    def test_crash_of_an_instance_that_still_runs_is_dropped(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.crash(f'i{number}', 'a')
        self.assertTrue(self.is_refused('a'))
        self.standing = {'i0', 'i1', 'i2'}
        self.table.sweep()
        self.assertFalse(self.is_refused('a'))
        self.assertEqual(len(self.table), 0)


class ExpiryTest(SuspectCase):
    """Expiry of crashes and refusals."""

    def test_old_crash_is_dropped(self):
        self.crash('i1', 'a')
        self.now += CRASH_RELEVANT_S + 1
        self.table.sweep()
        self.assertEqual(len(self.table), 0)

    def test_refusal_ends_and_returns_for_longer_after_another_crash(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.crash(f'i{number}', 'a')
        self.assertAlmostEqual(self.table.find_refused_s('a'), REFUSE_S)
        self.now += REFUSE_S
        self.table.sweep()
        self.assertFalse(self.is_refused('a'))
        self.crash('i9', 'a')
        self.assertAlmostEqual(self.table.find_refused_s('a'), 2 * REFUSE_S)

    def test_request_without_further_crashes_is_dropped(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.crash(f'i{number}', 'a')
        self.is_refused('a')
        self.now += 2 * REFUSE_S + 1
        self.table.sweep()
        self.assertEqual(len(self.table), 0)


class BoundTest(SuspectCase):
    """Bounds of the table."""

    def test_customer_with_many_suspects_displaces_only_its_own(self):
        self.crash('i1', 'real', customer='acme')
        self.crash('i2', 'real', customer='acme')
        self.crash('i3', 'single', customer='acme')
        for number in range(10_000):
            self.now += 0.001
            self.crash(f'h{number}', f'body{number}', customer='hostile')
        self.assertLessEqual(len(self.table), MAX_SUSPECTS)
        self.assertEqual(len(self.table.find('real').crashes), 2)
        self.assertIsNotNone(self.table.find('single'))

    def test_suspect_with_more_crashes_stays_among_those_of_its_customer(self):
        for number in range(CRASHES_TO_CONFIRM):
            self.crash(f'i{number}', 'real')
        for number in range(2_000):
            self.now += 0.001
            self.crash(f'h{number}', f'body{number}')
        self.assertTrue(self.is_refused('real'))
        self.assertIsNotNone(self.table.find('body1999'))

    def test_clearances_are_bounded(self):
        for number in range(2_000):
            self.crash(f'i{number}', f'r{number}')
            self.table.clear(Clearance(f'r{number}', self.now))
        self.assertLessEqual(len(self.table._cleared_at), MAX_SUSPECTS)


if __name__ == '__main__':
    unittest.main()
