"""Test placement plans, service metrics and the distribution of duties."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.config.settings import PlacementSettings
from coursepitch.control.duties import (
    choose_duty_to_hand_over,
    holds_duty,
    list_reachable,
    prefer_nodes_with_paths,
    should_observe,
)
from coursepitch.control.placement import (
    Fleet,
    count_stranded,
    fleet_from_dict,
    fleet_to_dict,
    plan_placement,
)
from coursepitch.control.service_metrics import compute_service_metrics
from coursepitch.control.view import ClusterView, Duty, Lease
from coursepitch.errors import CodecError
from coursepitch.peers.records import DomainBody
from coursepitch.peers.topology import rank_nodes
from tests.builders import build_group, build_placed, build_seen, build_spares

DEFAULT_WEIGHTS = PlacementSettings()
STATES = st.sampled_from(['claimed', 'loading', 'serving', 'draining', 'releasing'])


@st.composite
def fleets(draw) -> Fleet:
    """Generate a fleet with up to three domains and three groups."""
    groups = {
        name: build_group(
            replicas=draw(st.integers(0, 3)),
            instances=draw(st.integers(1, 3)),
            version=draw(st.sampled_from(['1', '2'])),
        )
        for name in draw(st.sets(st.sampled_from('abc')))
    }
    spares = ()
    for domain in 'xyz':
        spares += build_spares(domain, draw(st.integers(0, 5)), f'zone-{domain}')
    placed = tuple(
        build_placed(
            f'r{n}',
            draw(st.sampled_from('abcd')),
            draw(st.sampled_from('xyz')),
            state=draw(STATES),
            leaving=draw(st.booleans()),
        )
        for n in range(draw(st.integers(0, 5)))
    )
    return Fleet(groups, spares, placed)


class PlanTest(unittest.TestCase):
    """Test properties that hold for every plan."""

    @given(fleets())
    def test_plan_is_consistent(self, fleet: Fleet) -> None:
        plan = plan_placement(fleet, DEFAULT_WEIGHTS)
        domains = {item.name: item.domain for item in fleet.spares}
        used: set[str] = set()
        for step in plan.steps:
            if step.action == 'form':
                self.assertEqual(
                    len(step.instances), fleet.groups[step.group].instances
                )
                self.assertEqual({domains[n] for n in step.instances}, {step.domain})
                self.assertFalse(used & set(step.instances))
                used |= set(step.instances)
        retired = [step.replica for step in plan.steps if step.action == 'retire']
        self.assertEqual(len(retired), len(set(retired)))

    @given(fleets())
    def test_change_of_version_keeps_enough_in_service(self, fleet: Fleet) -> None:
        plan = plan_placement(fleet, DEFAULT_WEIGHTS)
        gone = {s.replica for s in plan.steps if s.why == 'version'}
        for name, group in fleet.groups.items():
            kept = [
                item
                for item in fleet.replicas
                if item.group == name and item.state == 'serving' and not item.leaving
            ]
            left = [item for item in kept if item.name not in gone]
            least = min(len(kept), max(0, group.replicas - group.max_unavailable))
            self.assertGreaterEqual(len(left), least)

    @given(fleets())
    def test_recorded_fleet_round_trips(self, fleet: Fleet) -> None:
        self.assertEqual(fleet_from_dict(fleet_to_dict(fleet)), fleet)

    def test_damaged_record_is_a_codec_error(self) -> None:
        for data in ([], {}, {'groups': {'a': {'colour': 1}}, 'spares': []}):
            with self.assertRaises(CodecError):
                fleet_from_dict(data)


class PlacementCaseTest(unittest.TestCase):
    """Test the cases specified in the design note ``placement``."""

    def forms(
        self, fleet: Fleet, weights: PlacementSettings = DEFAULT_WEIGHTS
    ) -> list[tuple]:
        plan = plan_placement(fleet, weights)
        return [(s.group, s.domain) for s in plan.steps if s.action == 'form']

    def test_two_incomplete_replicas_yield_one_complete_replica(self) -> None:
        spares = build_spares('x', 3) + build_spares('y', 1)
        fleet = Fleet({'a': build_group(replicas=2, instances=3)}, spares, ())
        self.assertEqual(self.forms(fleet), [('a', 'x')])

    def test_group_that_is_down_comes_before_one_that_is_short(self) -> None:
        groups = {'a': build_group(replicas=2), 'b': build_group()}
        fleet = Fleet(groups, build_spares('x', 2), (build_placed('r', 'a', 'y'),))
        self.assertEqual(self.forms(fleet), [('b', 'x')])

    def test_replica_of_a_lost_domain_is_formed_elsewhere(self) -> None:
        fleet = Fleet({'a': build_group()}, build_spares('y', 2), ())
        self.assertEqual(self.forms(fleet), [('a', 'y')])

    def test_no_domain_with_room_forms_nothing(self) -> None:
        spares = build_spares('x', 1) + build_spares('y', 1)
        fleet = Fleet({'a': build_group()}, spares, ())
        self.assertEqual(self.forms(fleet), [])
        self.assertEqual(count_stranded(fleet), 4)

    def test_loads_at_once_are_bounded(self) -> None:
        weights = replace(DEFAULT_WEIGHTS, loads_at_once=2)
        fleet = Fleet({'a': build_group(replicas=5)}, build_spares('x', 10), ())
        self.assertEqual(len(self.forms(fleet, weights)), 2)

    def test_stranded_weight_prefers_the_domain_without_a_remainder(self) -> None:
        groups = {
            'a': build_group(instances=2),
            'b': build_group(replicas=1, instances=3),
        }
        spares = build_spares('x', 4) + build_spares('y', 2)
        placed = (build_placed('r', 'b', 'z'),)
        fleet = Fleet(groups, spares, placed)
        weights = replace(DEFAULT_WEIGHTS, stranded_weight=1.0)
        plan = plan_placement(fleet, weights)
        best = min(
            [s.objective for s in (*plan.steps, *plan.rejected) if s.action == 'form']
        )
        self.assertEqual(plan.steps[0].objective, best)

    def test_donor_gives_a_replica_to_a_group_that_is_down(self) -> None:
        groups = {'a': build_group(replicas=2), 'b': build_group()}
        placed = (build_placed('r1', 'a', 'x'), build_placed('r2', 'a', 'y'))
        plan = plan_placement(Fleet(groups, (), placed), DEFAULT_WEIGHTS)
        self.assertEqual([s.why for s in plan.steps], ['group b has no replica'])
        light = replace(DEFAULT_WEIGHTS, downtime_weight=0.1)
        self.assertEqual(plan_placement(Fleet(groups, (), placed), light).steps, ())

    def test_surge_without_unavailable_replicas(self) -> None:
        group = build_group(version='2', max_unavailable=0)
        old = build_placed('r', 'a', 'x')
        fleet = Fleet({'a': group}, build_spares('y', 2), (old,))
        self.assertEqual(self.forms(fleet), [('a', 'y')])
        self.assertEqual(
            [
                s
                for s in plan_placement(fleet, DEFAULT_WEIGHTS).steps
                if s.action == 'retire'
            ],
            [],
        )

    def test_replica_that_is_not_settled_does_not_replace_an_old_one(self) -> None:
        group = build_group(version='2', max_unavailable=0)
        new = build_placed('n', 'a', 'y', version='2', settled=False)
        fleet = Fleet({'a': group}, (), (build_placed('r', 'a', 'x'), new))
        self.assertEqual(plan_placement(fleet, DEFAULT_WEIGHTS).steps, ())


class ServiceMetricsTest(unittest.TestCase):
    """Test the counts of serving replicas and stranded accelerators."""

    def test_only_whole_serving_replicas_count(self) -> None:
        seen = (
            build_seen('a', group='g'),
            build_seen('b', good=False, group='g'),
            build_seen('c', state='loading', group='h'),
        )
        sizes = {f'{name}-{n}': 2 for name in 'abc' for n in range(2)}
        metrics = compute_service_metrics([DomainBody(1, 1, seen)], sizes)
        self.assertEqual(metrics.serving, {'g': 1, 'h': 0})
        # One healthy member of b and two of c, with two accelerators each.
        self.assertEqual(metrics.stranded, 6)


class ShouldObserveTest(unittest.TestCase):
    """Test which node observes a domain."""

    def observe(self, me: str, holder: str, observing: bool, **evidence: float) -> bool:
        return should_observe(me, 'd', holder, observing, evidence, 'abc', 10.0)

    def test_holder_always_observes(self) -> None:
        self.assertTrue(self.observe('a', 'a', False, b=10.0))

    def test_others_observe_only_without_a_recent_observation(self) -> None:
        self.assertFalse(self.observe('a', 'b', False, b=9.9))
        silent = [self.observe(me, '', False, c=1.0) for me in 'abc']
        self.assertEqual(silent.count(True), 1)

    def test_one_of_two_observers_continues(self) -> None:
        first = self.observe('a', '', True, b=9.9)
        second = self.observe('b', '', True, a=9.9)
        self.assertNotEqual(first, second)


class HoldsDutyTest(unittest.TestCase):
    """Test whether a node holds a duty."""

    def holds(self, now: float, lease: str = 'new', holder: str = 'a') -> bool:
        duties = {'x': Duty(holder, lease)}
        view = ClusterView(lease=Lease('new', deadline=10.0), duties=duties)
        return holds_duty(view, 'x', 'a', now)

    def test_duty_is_held_only_under_the_current_valid_lease(self) -> None:
        self.assertTrue(self.holds(9.9))
        self.assertFalse(self.holds(10.0))
        self.assertFalse(self.holds(9.9, holder='b'))
        # The duty was taken before a pause; the node now has a different lease.
        self.assertFalse(self.holds(9.9, lease='old'))


class HandOverTest(unittest.TestCase):
    """Test that duties are distributed among nodes that hear each other."""

    DUTIES = tuple(f'domain.d{n}' for n in range(12))

    def test_duties_move_to_the_node_that_ranks_first(self) -> None:
        reachable = list_reachable('a', 'ab', 'ab')
        moved = choose_duty_to_hand_over(self.DUTIES, 'a', reachable)
        self.assertEqual(rank_nodes(moved, 'ab')[0], 'b')
        self.assertIsNone(choose_duty_to_hand_over((), 'a', reachable))

    def test_nothing_moves_to_a_node_that_is_not_heard(self) -> None:
        reachable = list_reachable('a', 'abcd', 'abc')
        self.assertEqual(reachable, frozenset('abc'))

    def test_node_that_hears_half_or_less_gives_up_what_it_holds(self) -> None:
        reachable = list_reachable('d', 'abcd', 'd')
        self.assertEqual(reachable, frozenset())
        self.assertEqual(choose_duty_to_hand_over(('x',), 'd', reachable), 'x')

    def test_few_nodes_with_paths_hold_everything(self) -> None:
        reachable = list_reachable('a', 'abcd', 'abcd')
        self.assertEqual(prefer_nodes_with_paths(reachable, 'bx'), frozenset('b'))
        self.assertEqual(prefer_nodes_with_paths(reachable, ''), reachable)
        self.assertEqual(prefer_nodes_with_paths(frozenset(), 'b'), frozenset())

    def test_first_node_holds_everything(self) -> None:
        reachable = list_reachable('a', '', '')
        self.assertIsNone(choose_duty_to_hand_over(self.DUTIES, 'a', reachable))
