"""Tests of groups that finish running requests after a member's entry is removed.

They guard against resetting streams that still work.  19 of 162 instances lost the
store but kept serving; three heartbeats later their entries were removed, within 0.9 s.
The leader treated these instances as dead and ordered the heads of their 11 groups to
leave at once.  That reset 80 streams, whose longest pause had been 0.04 s until then;
they continued elsewhere after a pause beyond their limit, or were cut.
``request.resumed`` was logged within 0.01 s of ``group.retired`` with the reason "no
longer listed".
"""

from __future__ import annotations

import unittest

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.groups import (
    MEMBER_LOSS_GRACE_S,
    SILENCE_GRACE_S,
    SILENT_REQUESTS_GRACE_S,
    GroupController,
)
from coursepitch.fleet.orders import OrderKind
from tests.fleet.builders import SERVICE, build_instance, build_service, build_view

CLAIM = GroupClaim('g5', 5, SERVICE, 'd0', 'large', ('head', 'a', 'b'))


class FinishingTest(unittest.TestCase):
    """An open group of three instances."""

    def setUp(self):
        self.in_flight = {}
        self.controller = GroupController(
            count_in_flight=lambda name: self.in_flight.get(name, 0)
        )
        self.states = {'head': 'open', 'a': 'ready', 'b': 'ready'}
        self.lost = set()
        self.decide(100.0)

    def decide(self, now):
        """Return the leader's decision with the current entries."""
        view = build_view(
            [
                build_instance(name, 'd0', state, 'g5', 5, models=frozenset({'large'}))
                for name, state in self.states.items()
            ],
            [CLAIM],
        )
        view.lost.stored |= self.lost
        return self.controller.decide(
            view, build_service(), {}, now, loads_fast=False, instances_stable=True
        )

    def kinds(self, decision):
        return {(item.kind, item.instance) for item in decision.orders}

    def test_head_is_told_to_close_and_not_to_leave(self):
        del self.states['b']
        decision = self.decide(100.1)
        self.assertEqual(decision.retired, ())
        self.assertIn((OrderKind.CLOSE, 'head'), self.kinds(decision))
        self.assertNotIn((OrderKind.LEAVE, 'head'), self.kinds(decision))

    def test_group_is_retired_once_nothing_runs(self):
        del self.states['b']
        self.decide(100.1)
        self.states['head'] = 'ready'
        self.assertEqual(len(self.decide(100.4).retired), 1)

    def test_group_is_retired_after_the_grace_period(self):
        del self.states['b']
        self.decide(100.1)
        self.assertEqual(self.decide(100.0 + MEMBER_LOSS_GRACE_S).retired, ())
        self.assertEqual(len(self.decide(100.2 + MEMBER_LOSS_GRACE_S).retired), 1)

    def test_group_with_a_lost_member_is_retired_at_once(self):
        del self.states['b']
        self.lost = {'b'}
        self.assertEqual(len(self.decide(100.1).retired), 1)

    def test_group_without_its_head_is_retired_at_once(self):
        del self.states['head']
        self.assertEqual(len(self.decide(100.1).retired), 1)

    def test_group_of_a_silent_member_is_retired_after_the_grace_period(self):
        self.controller.note_unresponsive('a', 100.1, silent=True)
        self.assertEqual(self.decide(100.2).retired, ())
        self.controller.note_unresponsive('a', 101.1, silent=True)
        self.assertEqual(self.decide(100.0 + SILENCE_GRACE_S).retired, ())
        self.assertEqual(len(self.decide(100.2 + SILENCE_GRACE_S).retired), 1)

    def test_member_that_answers_again_was_not_silent_for_long(self):
        self.controller.note_unresponsive('a', 100.1, silent=True)
        self.controller.note_responsive('a')
        self.controller.note_unresponsive('a', 102.1, silent=True)
        self.assertEqual(self.decide(100.2 + SILENCE_GRACE_S).retired, ())

    def test_group_is_retired_at_once_if_a_member_refuses_connections(self):
        self.controller.note_unresponsive('head', 100.1, silent=True)
        self.controller.note_unresponsive('head', 100.2, silent=False)
        self.assertEqual(len(self.decide(100.3).retired), 1)

    # Guards against streams that are cut as the group of a silent instance is ended.
    def test_group_of_a_silent_member_is_kept_while_requests_are_at_its_head(self):
        for member in ('head', 'a'):
            with self.subTest(member=member):
                self.setUp()
                self.controller.note_unresponsive(member, 100.1, silent=True)
                self.in_flight['head'] = 1
                self.assertEqual(self.decide(100.2 + SILENCE_GRACE_S).retired, ())
                self.in_flight['head'] = 0
                self.assertEqual(len(self.decide(100.3 + SILENCE_GRACE_S).retired), 1)

    def test_requests_elsewhere_do_not_keep_the_group_of_a_silent_member(self):
        self.controller.note_unresponsive('a', 100.1, silent=True)
        self.in_flight.update({'a': 1, 'other': 1})
        self.assertEqual(len(self.decide(100.2 + SILENCE_GRACE_S).retired), 1)

    # Guards against a group that is kept for requests that go on arriving.
    def test_group_with_requests_is_retired_after_the_longer_grace_period(self):
        self.controller.note_unresponsive('a', 100.1, silent=True)
        self.in_flight['head'] = 1
        self.assertEqual(self.decide(100.0 + SILENT_REQUESTS_GRACE_S).retired, ())
        self.assertEqual(len(self.decide(100.2 + SILENT_REQUESTS_GRACE_S).retired), 1)

    def test_group_with_requests_is_retired_once_a_silent_member_is_not_listed(self):
        self.controller.note_unresponsive('a', 100.1, silent=True)
        self.in_flight['head'] = 1
        self.decide(100.2 + SILENCE_GRACE_S)
        del self.states['a']
        self.assertEqual(len(self.decide(100.3 + SILENCE_GRACE_S).retired), 1)

    def test_requests_do_not_keep_a_group_whose_member_refuses_connections(self):
        self.in_flight['head'] = 1
        self.controller.note_unresponsive('a', 100.1, silent=False)
        self.assertEqual(len(self.decide(100.2).retired), 1)

    def silence_all(self):
        """Let all members be silent from 100.1 on."""
        for name in self.states:
            self.controller.note_unresponsive(name, 100.1, silent=True)

    # Guards against groups being ended because all instances are silent.
    def test_group_is_kept_while_all_instances_are_silent(self):
        self.silence_all()
        for seconds in (0.2, SILENCE_GRACE_S + 0.2, 3 * SILENCE_GRACE_S):
            self.assertEqual(self.decide(100.0 + seconds).retired, ())

    # Guards against groups being ended as the first of all silent instances goes on.
    def test_members_may_go_on_shortly_after_another_one(self):
        self.silence_all()
        self.assertEqual(self.decide(100.2 + SILENCE_GRACE_S).retired, ())
        self.controller.note_responsive('head')
        self.assertEqual(self.decide(100.3 + SILENCE_GRACE_S).retired, ())

    def test_member_that_does_not_go_on_with_another_one_ends_its_group(self):
        self.silence_all()
        self.decide(100.2 + SILENCE_GRACE_S)
        self.controller.note_responsive('head')
        self.assertEqual(len(self.decide(100.3 + 2 * SILENCE_GRACE_S).retired), 1)

    def test_group_is_retired_if_all_are_silent_and_the_entry_of_one_is_removed(self):
        self.silence_all()
        self.decide(100.2 + SILENCE_GRACE_S)
        del self.states['a']
        self.assertEqual(len(self.decide(100.3 + SILENCE_GRACE_S).retired), 1)

    def test_group_that_does_not_serve_does_not_wait_for_a_silent_member(self):
        self.states['head'] = 'ready'
        self.controller.note_unresponsive('a', 100.1, silent=True)
        self.assertEqual(len(self.decide(100.2).retired), 1)


if __name__ == '__main__':
    unittest.main()
