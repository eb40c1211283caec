"""Groups that have not formed yet."""

from __future__ import annotations

import unittest

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.groups import FORM_TIMEOUT_MARGIN_S, GroupController
from tests.fleet.builders import (
    SERVICE,
    SMALL,
    build_instance,
    build_service,
    build_view,
)

CLAIM = GroupClaim('g', 5, SERVICE, 'd0', SMALL.name, ('a', 'b'))

#: Seconds after which a group that has not formed is retired.
TIMEOUT_S = 2 * SMALL.load_s + FORM_TIMEOUT_MARGIN_S


class FormTimeoutTest(unittest.TestCase):
    """When a leader gives up a group whose members do not answer its orders."""

    def setUp(self):
        self.controller = GroupController()
        members = [
            build_instance(name, models=frozenset({SMALL.name})) for name in 'ab'
        ]
        self.view = build_view(members, [CLAIM])

    def list_retired(self, now):
        decision = self.controller.decide(
            self.view,
            build_service(),
            {},
            now,
            loads_fast=False,
            instances_stable=True,
        )
        return [name for name, _ in decision.retired]

    def test_group_that_does_not_form_in_time_is_retired(self):
        self.assertEqual(self.list_retired(0.0), [])
        self.assertEqual(self.list_retired(TIMEOUT_S - 0.1), [])
        self.assertEqual(self.list_retired(TIMEOUT_S + 0.1), ['g'])

    # Guards against a leader without paths that gives up groups it could not open.
    def test_time_in_which_the_leader_reaches_no_instance_does_not_count(self):
        self.assertEqual(self.list_retired(0.0), [])
        self.controller.note_isolated(TIMEOUT_S - 0.1)
        self.assertEqual(self.list_retired(TIMEOUT_S + 0.1), [])
        self.assertEqual(self.list_retired(2 * TIMEOUT_S - 0.2), [])
        self.assertEqual(self.list_retired(2 * TIMEOUT_S + 0.1), ['g'])


if __name__ == '__main__':
    unittest.main()
