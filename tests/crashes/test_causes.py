"""Which parts of prompts explain crashes of instances."""

from __future__ import annotations

import unittest

from coursepitch.crashes.causes import (
    MIN_CRASHES,
    MIN_CRASHES_IF_SOUND,
    MIN_SPAN_IF_SOUND_S,
    PartEvidence,
    find_causes,
)


def build_evidence(name, instances, *, along=(), sound=False, **fields):
    """Return the evidence on a part whose requests had others along."""
    crashes = {(instance, 1): frozenset({name, *along}) for instance in instances}
    unproven = 0 if sound else len(crashes)
    return PartEvidence(name, crashes, unproven, **fields)


class CauseTest(unittest.TestCase):
    """Decisions over the evidence on some parts."""

    def find(self, *evidence, others=()):
        """Return the causes; each instance crashed a tenth of a second after another.

        :param others: instances on which none of the parts was.
        """
        names = {key[0] for item in evidence for key in item.crashes} | set(others)
        times = {(name, 1): 100.0 + int(name[1:]) / 10 for name in names}
        return find_causes(evidence, times)

    def test_part_without_success_is_a_cause_after_some_crashes(self):
        few = build_evidence('a', ['i1', 'i2'])
        self.assertEqual(len(few.crashes), MIN_CRASHES - 1)
        self.assertEqual(self.find(few), {})
        found = self.find(build_evidence('a', ['i1', 'i2', 'i3']))
        self.assertEqual(found, {'a': frozenset()})

    def test_part_with_successes_needs_more_crashes_over_some_time(self):
        instances = [f'i{number}' for number in range(MIN_CRASHES_IF_SOUND)]
        span_s = MIN_SPAN_IF_SOUND_S

        def find(count, span_s):
            taken = instances[:count]
            return self.find(build_evidence('a', taken, sound=True, span_s=span_s))

        self.assertEqual(find(MIN_CRASHES_IF_SOUND - 1, span_s), {})
        self.assertEqual(find(MIN_CRASHES_IF_SOUND, span_s / 2), {})
        self.assertEqual(find(MIN_CRASHES_IF_SOUND, span_s), {'a': frozenset()})

    def test_part_that_another_explains_is_no_cause(self):
        instances = ['i1', 'i2', 'i3', 'i4']
        guilty = build_evidence('guilty', instances)
        bystander = build_evidence('a', instances[1:])
        self.assertEqual(list(self.find(guilty, bystander)), ['guilty'])

    def test_part_with_successes_is_no_cause_beside_one_without(self):
        instances = [f'i{number}' for number in range(MIN_CRASHES_IF_SOUND + 2)]
        shared = build_evidence('a', instances, sound=True, span_s=5.0)
        guilty = build_evidence('guilty', instances[1:], along=['a'])
        self.assertEqual(self.find(shared, guilty), {'guilty': frozenset()})

    # Guards against refusing all requests with a part, as it always came with another.
    def test_parts_that_always_came_together_are_only_refused_together(self):
        instances = ['i1', 'i2', 'i3']
        found = self.find(
            build_evidence('a', instances, along=['b']),
            build_evidence('b', instances, along=['a']),
        )
        self.assertEqual(found, {'a': frozenset({'b'})})

    def test_one_crash_apart_may_be_chance_and_two_are_not(self):
        b = build_evidence('b', ['i1', 'i2', 'i3'], along=['a'])
        for apart in (1, 2):
            a = build_evidence('a', ['i1', 'i2', 'i3'], along=['b'])
            more = {(f'i{4 + number}', 1): frozenset({'a'}) for number in range(apart)}
            a = PartEvidence('a', {**a.crashes, **more}, len(a.crashes) + apart)
            companions = frozenset({'b'}) if apart == 1 else frozenset()
            with self.subTest(apart=apart):
                self.assertEqual(self.find(a, b)['a'], companions)

    def test_two_causes_at_the_same_time_are_both_found(self):
        found = self.find(
            build_evidence('a', ['i1', 'i3', 'i5']),
            build_evidence('b', ['i2', 'i4', 'i6']),
        )
        self.assertEqual(set(found), {'a', 'b'})

    def test_part_on_a_few_of_many_crashes_is_no_cause(self):
        part = build_evidence('a', ['i0', 'i10', 'i20'])
        others = [f'i{number}' for number in range(21)]
        self.assertEqual(self.find(part, others=others), {})
        # It is once its newest ones are no part of the series.
        part = build_evidence('a', ['i0', 'i40', 'i41', 'i42'])
        self.assertEqual(set(self.find(part, others=others)), {'a'})

    def test_one_request_that_explains_all_crashes_says_nothing_on_its_parts(self):
        part = build_evidence('a', ['i1', 'i2', 'i3'], is_from_one_request=True)
        self.assertEqual(self.find(part), {})

    def test_confirmed_part_stays_a_cause_unless_another_explains_its_crashes(self):
        instances = ['i1', 'i2', 'i3']
        others = [f'i{number}' for number in range(40)]
        part = build_evidence('a', instances, confirmed=True)
        self.assertEqual(set(self.find(part, others=others)), {'a'})
        guilty = build_evidence('b', [*instances, 'i4'])
        self.assertEqual(set(self.find(part, guilty)), {'b'})


if __name__ == '__main__':
    unittest.main()
