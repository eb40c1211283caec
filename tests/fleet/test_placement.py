"""Tests of the assignment of free instances to groups."""

from __future__ import annotations

import unittest
from dataclasses import replace

from coursepitch.fleet.conversions import ConvertibleGroup, choose_conversion
from coursepitch.fleet.placement import (
    choose_second_weights,
    count_targets,
    plan_domains,
)
from tests.fleet.builders import LARGE, SMALL, build_instance

MODELS = (LARGE, SMALL)


def build_free(domain, count, **fields):
    """Return free instances of a domain."""
    return [build_instance(f'{domain}-{n}', domain, **fields) for n in range(count)]


def plan(free, groups=None, targets=None, allow_unloaded=False):
    """Return the placement plans for targets of four groups of each model."""
    targets = targets or {'large': 4.0, 'small': 4.0}
    return plan_domains(
        free, MODELS, groups or {}, targets, allow_unloaded=allow_unloaded
    )


class PlacementTest(unittest.TestCase):
    """New groups, idle instances and loads of weights."""

    def test_survivors_and_a_spare_with_weights_form_a_group_at_once(self):
        free = build_free('d', 2, last_model='large')
        free += [build_instance('spare', 'd', staged=frozenset({'large'}))]
        found = plan({'d': free}, groups={'large': 3, 'small': 4})['d']
        self.assertEqual(found.formations[0].model, 'large')
        self.assertEqual(len(found.formations[0].members), 3)

    def test_instances_without_weights_load_them_and_stay_free(self):
        free = build_free('d', 2, last_model='large') + build_free('e', 1)
        found = plan({'d': free}, groups={'large': 3, 'small': 4})['d']
        self.assertEqual(found.formations, ())
        self.assertEqual([item.model for item in found.stagings], ['large'])

    def test_all_instances_form_groups_while_loads_are_fast(self):
        free = {name: build_free(name, 8) for name in 'abcdef'}
        targets = {'large': 6.0, 'small': 6.0}
        found = plan(free, targets=targets, allow_unloaded=True)
        for name in free:
            used = sum(len(item.members) for item in found[name].formations)
            self.assertGreaterEqual(used, 7)

    def test_idle_instances_are_spread_over_domains(self):
        free = {name: build_free(name, 5) for name in 'abcdef'}
        found = plan(free, targets={'large': 6.0, 'small': 6.0}, allow_unloaded=True)
        idle = {
            name: 5 - sum(len(item.members) for item in found[name].formations)
            for name in free
        }
        self.assertLessEqual(max(idle.values()), 1)

    def test_model_at_its_target_takes_no_instances_of_a_short_one(self):
        both = {'last_model': 'small', 'staged': frozenset({'large'})}
        found = plan({'d': build_free('d', 2, **both)}, {'large': 2, 'small': 4})['d']
        self.assertEqual(found.formations, ())

    def test_surplus_groups_form_once_all_targets_are_met(self):
        free = {'d': build_free('d', 2, last_model='small')}
        found = plan(free, groups={'large': 4, 'small': 4})['d']
        self.assertEqual([item.model for item in found.formations], ['small'])

    def test_no_group_spans_domains(self):
        free = {'a': build_free('a', 1, last_model='small')}
        free['b'] = build_free('b', 1, last_model='small')
        found = plan(free)
        self.assertEqual([item.formations for item in found.values()], [(), ()])

    def test_targets_follow_measured_work(self):
        stated = count_targets(MODELS, 40, {})
        measured = count_targets(MODELS, 40, {'large': 2.0, 'small': 18.0})
        self.assertGreater(stated['large'] * 3, stated['small'] * 2)
        self.assertLess(measured['large'] * 3, measured['small'] * 2)

    def test_each_model_gets_two_base_groups(self):
        targets = count_targets(MODELS, 100, {'large': 60.0, 'small': 0.1})
        self.assertAlmostEqual(targets['small'], 2.07, 1)
        self.assertAlmostEqual(targets['large'] * 3 + targets['small'] * 2, 100.0)

    def test_model_without_work_gets_no_groups(self):
        targets = count_targets(MODELS, 100, {'large': 60.0})
        self.assertEqual(targets['small'], 0.0)
        self.assertAlmostEqual(targets['large'] * 3, 100.0)

    def test_small_fleet_follows_its_work(self):
        targets = count_targets(MODELS, 10, {'large': 9.0, 'small': 1.0})
        self.assertGreater(targets['large'] * 3, 7.0)

    def test_second_weights_are_of_the_missing_model(self):
        held = build_instance('a', models=frozenset({'large'}))
        self.assertEqual(choose_second_weights(held, MODELS).model, 'small')
        both = build_instance('b', last_model='large', staged=frozenset({'small'}))
        self.assertIsNone(choose_second_weights(both, MODELS))

    def test_second_weights_never_replace_the_only_ones(self):
        spare = build_instance('a', staged=frozenset({'large'}))
        self.assertIsNone(choose_second_weights(spare, MODELS))

    def test_second_weights_come_back_after_a_change_of_model(self):
        changed = build_instance(
            'a', models=frozenset({'small'}), staged=frozenset({'small'})
        )
        self.assertEqual(choose_second_weights(changed, MODELS).model, 'large')

    def test_instances_with_both_models_are_kept_for_the_shorter_one(self):
        free = {
            'd': build_free('d', 2, last_model='large', staged=frozenset({'small'}))
        }
        free['d'] += [build_instance('empty', 'd')]
        found = plan(free, groups={'large': 1, 'small': 3})['d']
        self.assertEqual(found.formations, ())
        self.assertEqual([item.model for item in found.stagings], ['large'])
        found = plan(free, groups={'large': 3, 'small': 3})['d']
        self.assertEqual([item.model for item in found.formations], ['small'])

    def test_no_group_forms_in_a_domain_reserved_for_a_conversion(self):
        free = {'d': build_free('d', 2, last_model='small')}
        targets = {'large': 4.0, 'small': 4.0}
        found = plan_domains(
            free, MODELS, {}, targets, allow_unloaded=False, reserved={'d': 'large'}
        )
        self.assertEqual(found['d'].formations, ())


def build_standing(name, model, *others, size=2):
    """Return an open group whose hosts hold other models' weights."""
    members = tuple(
        build_instance(
            f'{name}-{n}', models=frozenset({model}), staged=frozenset(others)
        )
        for n in range(size)
    )
    return ConvertibleGroup(name, model, members)


class ConversionTest(unittest.TestCase):
    """Groups that end for a group of a model with a larger shortage."""

    TARGETS = {'large': 6.0, 'small': 6.0}  # noqa: RUF012

    def choose(self, free, standing, groups):
        return choose_conversion(
            {'d': free}, {'d': standing}, MODELS, groups, self.TARGETS
        )

    def test_survivors_get_members_of_another_group_of_their_domain(self):
        survivors = build_free('d', 2, last_model='large')
        near = [build_standing('near', 'small', 'large')]
        found = self.choose(survivors, near, {'large': 2, 'small': 6})
        self.assertEqual((found.model, found.ended), ('large', ('near',)))

    def test_two_groups_end_for_a_larger_one_with_more_benefit(self):
        pair = [build_standing(name, 'small', 'large') for name in ('a', 'b')]
        found = self.choose([], pair, {'large': 2, 'small': 7})
        self.assertEqual(found.ended, ('a', 'b'))

    def test_groups_without_the_weights_are_not_ended(self):
        pair = [build_standing(name, 'small', 'small') for name in ('a', 'b')]
        self.assertIsNone(self.choose([], pair, {'large': 2, 'small': 7}))

    def test_conversion_with_little_benefit_is_not_made(self):
        pair = [build_standing(name, 'small', 'large') for name in ('a', 'b')]
        self.assertIsNone(self.choose([], pair, {'large': 5, 'small': 6}))

    def test_last_group_of_a_model_is_never_ended(self):
        near = [build_standing('near', 'large', 'small', size=3)]
        self.TARGETS = {'large': 1.0, 'small': 9.0}
        self.assertIsNone(self.choose([], near, {'large': 1, 'small': 1}))

    def test_no_group_ends_for_one_that_can_form_from_free_instances(self):
        free = build_free('d', 3, last_model='large')
        near = [build_standing('near', 'small', 'large')]
        self.assertIsNone(self.choose(free, near, {'large': 2, 'small': 6}))

    def test_model_without_a_group_gets_as_many_groups_as_it_needs(self):
        """Three groups of two never complete one of eight."""
        models = (replace(LARGE, size=8), SMALL)
        near = [build_standing(name, 'small', 'large') for name in 'abcde']
        targets = {'large': 2.0, 'small': 6.0}

        def choose(large):
            return choose_conversion(
                {'d': []}, {'d': near}, models, {'large': large, 'small': 5}, targets
            )

        self.assertEqual(choose(0).ended, ('a', 'b', 'c', 'd'))
        self.assertIsNone(choose(1))

    def test_model_without_a_group_gets_instances_without_its_weights(self):
        pair = [build_standing(name, 'small', 'small') for name in ('a', 'b')]
        found = self.choose([], pair, {'large': 0, 'small': 7})
        self.assertEqual((found.model, found.ended), ('large', ('a', 'b')))

    def test_instances_with_the_weights_are_preferred_for_a_model_without_a_group(self):
        cold = [build_standing(name, 'small', 'small') for name in ('a', 'b')]
        warm = [build_standing(name, 'small', 'large') for name in ('e', 'f')]
        found = choose_conversion(
            {'c': [], 'd': []},
            {'c': cold, 'd': warm},
            MODELS,
            {'large': 0, 'small': 7},
            self.TARGETS,
        )
        self.assertEqual((found.domain, found.ended), ('d', ('e', 'f')))

    def test_no_group_ends_while_another_domain_can_form_the_first_group(self):
        """Guards against a second conversion just when the members of one are free."""
        near = [build_standing(name, 'small', 'large') for name in 'abc']
        found = choose_conversion(
            {'c': build_free('c', 3, last_model='small'), 'd': []},
            {'c': [], 'd': near},
            MODELS,
            {'large': 0, 'small': 7},
            self.TARGETS,
        )
        self.assertIsNone(found)
