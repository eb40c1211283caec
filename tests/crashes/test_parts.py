"""Parts of prompts that are suspected of crashing instances, on one node."""

from __future__ import annotations

import unittest

from coursepitch.crashes.causes import MIN_CRASHES, MIN_CRASHES_IF_SOUND
from coursepitch.crashes.parts import (
    MAX_CRASHES_KEPT,
    MAX_PARTS,
    PART_PREFIX,
    REFUSE_S,
    RELEVANT_S,
    TRIAL_S,
    Scope,
)
from coursepitch.crashes.suspects import (
    RETRY_PAUSE_S,
    Clearance,
    Crash,
    SuspectTable,
    Traits,
)

WORKLOAD = 'pool/m'


class PartCase(unittest.TestCase):
    """A table of suspects with a simulated clock."""

    def setUp(self):
        self.now = 100.0
        self.table = SuspectTable(lambda: self.now)
        self.instances = 0

    def crash(self, *requests, customer='acme', software='v1', sound=(), **fields):
        """Record the crash of a new instance that had begun requests.

        :param requests: name of each request and its parts.
        """
        self.instances += 1
        return [
            self.table.note_crash(
                Crash(
                    name,
                    customer,
                    f'i{self.instances}',
                    1,
                    self.now,
                    'n1',
                    software,
                    fields.get('workload', WORKLOAD),
                    tuple(parts),
                    tuple((part, self.now - 1.0) for part in sound),
                )
            )
            for name, *parts in requests
        ]

    def crash_series(self, *parts, count=MIN_CRASHES, **fields):
        """Record crashes under requests that only share parts."""
        for _ in range(count):
            self.crash((f'r{self.instances}', *parts), **fields)
            self.now += 0.1

    def find(self, *parts, customer='acme', workload=WORKLOAD, software=()):
        """Return the name of the part for which a request is refused, or ``None``."""
        traits = Traits('another', customer, workload, parts)
        part = self.table.find_crashing_part(traits, software)
        return part.name if part else None

    def succeed(self, name, customer='acme', software='v1', workload=WORKLOAD):
        scope = Scope(customer, workload, software)
        return self.table.clear(Clearance(PART_PREFIX + name, self.now, scope))


class FindPartTest(PartCase):
    """Requests that are refused for a part of their prompts."""

    # Guards against crashes that are counted for whole requests only.
    def test_part_of_requests_that_are_never_alike_is_found(self):
        self.crash_series('a', 'bad', count=MIN_CRASHES - 1, sound=['a'])
        self.assertIsNone(self.find('a', 'bad'))
        self.crash_series('a', 'bad', count=1, sound=['a'])
        self.assertEqual(self.find('a', 'bad', 'other'), 'bad')
        self.assertIsNone(self.find('a', 'other'))

    def test_success_in_between_clears_a_part(self):
        self.crash_series('a', count=MIN_CRASHES - 1)
        self.assertTrue(self.succeed('a'))
        self.now += 0.1
        self.crash_series('a', count=MIN_CRASHES - 1)
        self.assertIsNone(self.find('a'))

    def test_late_report_of_a_crash_before_a_success_counts_for_nothing(self):
        self.crash_series('a', count=1)
        before = self.now
        self.now += 2.0
        self.succeed('a')
        after, self.now = self.now, before
        self.crash_series('a', count=2 * MIN_CRASHES_IF_SOUND)
        self.assertLess(self.now, after)
        self.now = after
        self.assertIsNone(self.find('a'))

    def test_success_of_another_kind_of_request_clears_nothing(self):
        self.crash_series('a')
        self.succeed('a', software='v2')
        self.succeed('a', workload='pool/other')
        self.succeed('a', customer='other')
        self.assertEqual(self.find('a'), 'a')

    def test_request_that_succeeds_with_a_part_goes_on(self):
        self.crash_series('a', count=2)
        self.crash_series('a', count=2, customer='other')
        self.assertEqual(self.find('a', customer='third'), 'a')
        self.now += 1.0
        self.succeed('a', customer='third')
        self.assertIsNone(self.find('a', customer='third'))
        self.assertEqual(self.find('a'), 'a')

    def test_part_of_one_customer_is_not_refused_to_others(self):
        self.crash_series('a')
        self.assertIsNone(self.find('a', customer='other'))
        self.crash_series('a', count=1, customer='other')
        self.assertEqual(self.find('a', customer='third'), 'a')

    def test_part_that_crashes_one_model_is_not_refused_to_others(self):
        self.crash_series('a')
        self.assertIsNone(self.find('a', workload='pool/other'))
        self.crash_series('a', count=1, workload='pool/other')
        self.assertEqual(self.find('a', workload='pool/third'), 'a')

    def test_part_is_not_refused_where_only_other_software_runs(self):
        self.crash_series('a')
        self.assertEqual(self.find('a', software={'v1', 'v2'}), 'a')
        self.assertIsNone(self.find('a', software={'v2'}))

    def test_request_that_alone_explains_the_crashes_says_nothing_on_its_parts(self):
        for _ in range(MIN_CRASHES):
            self.crash(('same', 'a', 'b'))
        self.assertIsNone(self.find('a', 'b'))
        self.assertGreater(self.table.find_refused_s('same'), 0)

    # Guards against innocent requests that are refused with the guilty part long known.
    def test_request_whose_crashes_a_part_explains_is_not_suspected(self):
        for number in range(MIN_CRASHES):
            self.crash(('bystander', 'a'), (f'r{number}', 'bad'), sound=['a'])
        self.assertEqual(self.find('bad'), 'bad')
        self.assertEqual(self.table.find_refused_s('bystander'), 0.0)
        self.assertEqual(self.table.find_pause_s('bystander'), 0.0)

    def test_crash_of_an_instance_that_still_runs_is_dropped(self):
        self.table.still_runs = lambda crash: True
        self.crash_series('a')
        self.table.sweep()
        self.assertIsNone(self.find('a'))
        self.assertEqual(len(self.table), 0)

    # Guards against crashes that count for parts though the instance did not end.
    def test_crash_of_an_instance_that_still_runs_is_dropped_for_its_parts_alone(self):
        self.crash_series('a')
        for number in range(MIN_CRASHES):
            self.table.clear(Clearance(f'r{number}', self.now))
        self.table.still_runs = lambda crash: True
        self.table.sweep()
        self.assertIsNone(self.find('a'))

    def test_part_with_few_crashes_left_is_refused_no_longer(self):
        self.crash_series('a', count=2)
        self.crash_series('a', count=2, customer='other')
        self.assertEqual(self.find('a'), 'a')
        self.succeed('a')
        self.assertIsNone(self.find('a', customer='other'))

    def test_operator_lifts_a_refusal_for_all(self):
        self.crash_series('a')
        old = self.table.list_crashes()
        self.assertTrue(self.table.clear(Clearance(PART_PREFIX + 'a', self.now)))
        self.assertIsNone(self.find('a'))
        for crash in old:
            self.table.note_crash(crash)
        self.assertIsNone(self.find('a'))


class TrialTest(PartCase):
    """How long a part is refused, and when it is tried."""

    def find_refused_s(self):
        self.assertEqual(self.find('a'), 'a')
        return self.table.find_part_refused_s(self.table.parts.find('a'))

    def test_part_is_tried_soon_and_refused_for_long_after_a_failed_trial(self):
        self.crash_series('a')
        self.assertAlmostEqual(self.find_refused_s(), TRIAL_S - 0.1)
        self.now += TRIAL_S
        self.assertEqual(self.find_refused_s(), 0.0)
        self.crash_series('a', count=1)
        self.assertAlmostEqual(self.find_refused_s(), REFUSE_S - 0.1)
        self.now += REFUSE_S
        self.crash_series('a', count=1)
        self.assertAlmostEqual(self.find_refused_s(), 2 * REFUSE_S - 0.1)

    def test_crashes_while_it_is_found_out_are_no_trial(self):
        self.crash_series('a')
        self.find_refused_s()
        self.crash_series('a', count=4)
        self.assertAlmostEqual(self.find_refused_s(), TRIAL_S - 0.1)

    def apply_stored(self, *instances):
        """Record crashes as an entry of the store tells them."""
        for name in instances:
            self.table.note_crash(
                Crash('', 'acme', name, 1, self.now, 'n1', 'v1', WORKLOAD, ('a',))
            )
        self.table.note_confirmed(PART_PREFIX + 'a')

    # Guards against entries of the store that pass for new crashes when they are read.
    def test_entry_of_the_store_that_is_read_late_is_no_trial(self):
        self.crash_series('a')
        self.find_refused_s()
        self.now += TRIAL_S
        self.apply_stored('i1', 'i2', 'i3')
        self.assertEqual(self.find_refused_s(), 0.0)

    def test_entry_of_the_store_does_not_outweigh_a_success(self):
        self.crash_series('a')
        self.succeed('a')
        self.now += 1.0
        self.apply_stored('i1', 'i2', 'i3')
        self.assertIsNone(self.find('a'))

    def test_part_that_nobody_sends_is_forgotten(self):
        self.crash_series('a')
        self.find_refused_s()
        self.now += RELEVANT_S - 1.0
        self.table.sweep()
        self.assertEqual(self.find('a'), 'a')
        self.now += 2.0
        self.table.sweep()
        self.assertIsNone(self.find('a'))
        self.assertEqual(len(self.table), 0)

    def test_crashes_far_apart_do_not_add_up(self):
        for _ in range(MIN_CRASHES):
            self.crash_series('a', count=1)
            self.now += RELEVANT_S * 0.7
            self.table.sweep()
        self.assertIsNone(self.find('a'))

    def test_request_with_one_crash_has_no_pause_from_its_part(self):
        self.crash_series('a')
        self.assertLess(self.table.find_pause_s('r0'), RETRY_PAUSE_S)


class BoundTest(PartCase):
    """Tables are bounded, and a customer only displaces its own."""

    def test_customer_with_many_parts_displaces_only_its_own(self):
        self.crash_series('kept', count=1)
        for number in range(MAX_PARTS + 20):
            self.crash((f'x{number}', f'p{number}'), customer='many')
        self.assertEqual(len(self.table.parts), MAX_PARTS)
        self.assertIsNotNone(self.table.parts.find('kept'))

    # Guards against reports that relays forward to each other for ever.
    def test_crash_that_is_too_old_to_be_kept_is_no_news(self):
        self.crash_series('a', count=MAX_CRASHES_KEPT + 1)
        oldest = Crash('r0', 'acme', 'i1', 1, 100.0, 'n1', 'v1', WORKLOAD, ('a',))
        self.table._suspects.clear()
        self.assertFalse(self.table.parts.note_crash(oldest))

    def test_sound_parts_are_bounded(self):
        scope = Scope('acme', WORKLOAD, 'v1')
        for number in range(10_000):
            self.table.parts.note_sound(f'p{number}', scope, self.now)
        self.assertLess(len(self.table.parts._sound_at), 10_000)
        self.assertIsNotNone(self.table.parts.find_sound_at('p9999', scope))


if __name__ == '__main__':
    unittest.main()
