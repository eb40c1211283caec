"""Checkers of changes fire on histories that break their promises, and on no others."""

from __future__ import annotations

import unittest
from dataclasses import replace

from soak.change_checkers import (
    check_damaged,
    check_exits,
    check_routes,
    check_settings,
    check_versions,
)
from soak.history import (
    Damaged,
    Disturbed,
    Ending,
    Exit,
    History,
    InForce,
    Refused,
    Reload,
    SettingsRead,
    Started,
)
from soak.verdicts import Bounds
from tests.soak.builders import build_call, build_run, build_versions

BOUNDS = Bounds()

#: Times at which a change of 100.0 is in force for certain, and at which it may not be.
SURELY = 100.1 + BOUNDS.config_s
NOT_YET = 99.9 + BOUNDS.config_s


class ChangeCheckerCase(unittest.TestCase):
    """What a checker says of a history."""

    def assert_fires(self, checker, history, subject):
        verdict = checker(history, BOUNDS)
        self.assertEqual([item.subject for item in verdict.findings], [subject])
        self.assertFalse(verdict.proved)

    def assert_proves(self, checker, history):
        verdict = checker(history, BOUNDS)
        self.assertEqual(verdict.findings, ())
        self.assertTrue(verdict.proved)

    def assert_looks_at_nothing(self, checker, history):
        verdict = checker(history, BOUNDS)
        self.assertEqual((verdict.looked_at, verdict.findings), (0, ()))


class RouteTest(ChangeCheckerCase):
    """Calls on routes that were added or removed."""

    added = build_versions((0.0, False), (100.0, True))
    removed = build_versions((0.0, True), (100.0, False))

    def build(self, versions, sent_at, *, denied, **fields):
        ending, status = (Ending.DENIED, 404) if denied else (Ending.WHOLE, 200)
        times = {'sent_at': sent_at, 'ended_at': sent_at + 0.1}
        call = build_call(ending=ending, status=status, route='r', node='n', **times)
        return History((call,), configurations=versions, **fields)

    # Guards against nodes that do not put an added route in force in time.
    def test_call_that_is_denied_on_a_route_long_after_it_was_added(self):
        late = self.build(self.added, SURELY, denied=True)
        self.assert_fires(check_routes, late, 'c')
        soon = self.build(self.added, NOT_YET, denied=True)
        self.assert_looks_at_nothing(check_routes, soon)
        served = self.build(self.added, SURELY, denied=False)
        self.assert_proves(check_routes, served)

    # Guards against nodes that serve a removed route for too long.
    def test_call_that_is_served_on_a_route_long_after_it_was_removed(self):
        late = self.build(self.removed, SURELY, denied=False)
        self.assert_fires(check_routes, late, 'c')
        soon = self.build(self.removed, NOT_YET, denied=False)
        self.assert_looks_at_nothing(check_routes, soon)
        denied = self.build(self.removed, SURELY, denied=True)
        self.assert_proves(check_routes, denied)

    def test_call_that_ran_on_a_removed_route_without_an_answer(self):
        call = build_call(
            ending=Ending.UNKNOWN, sent_at=SURELY, ended_at=SURELY, route='r', node='n'
        )
        history = History((call,), (build_run(),), configurations=self.removed)
        self.assert_fires(check_routes, history, 'c')
        rejected = replace(history, runs=(build_run(executed=False),))
        self.assert_looks_at_nothing(check_routes, rejected)

    # Guards against nodes that put a configuration in force that nobody wrote yet.
    def test_call_that_is_served_before_its_route_is_written(self):
        early = self.build(self.added, 98.8, denied=False)
        self.assert_fires(check_routes, early, 'c')
        written = self.build(self.added, 98.95, denied=False)
        self.assert_looks_at_nothing(check_routes, written)

    def test_call_at_a_node_that_is_out_of_touch_proves_nothing(self):
        for node in ('n', ''):
            just = SURELY - BOUNDS.contact_s + 0.1
            disturbed = (Disturbed(node, 99.0, just),)
            late = self.build(self.added, SURELY, denied=True, disturbed=disturbed)
            self.assert_looks_at_nothing(check_routes, late)
            before = (Disturbed(node, 99.0, just - 0.2),)
            late = self.build(self.added, SURELY, denied=True, disturbed=before)
            self.assert_fires(check_routes, late, 'c')
        other = (Disturbed('m', 99.0, SURELY),)
        late = self.build(self.added, SURELY, denied=True, disturbed=other)
        self.assert_fires(check_routes, late, 'c')

    # Guards against invalid configurations of which a node takes a part.
    def test_call_that_is_denied_although_all_configurations_allow_it(self):
        for status in (401, 403, 404):
            call = build_call(ending=Ending.DENIED, status=status, node='n')
            disturbed = (Disturbed('n', 0.0, 20.0),)
            self.assert_fires(check_routes, History((call,), disturbed=disturbed), 'c')
        refused = build_call(ending=Ending.NOT_RUN, status=503)
        self.assert_looks_at_nothing(check_routes, History((refused,)))


class VersionTest(ChangeCheckerCase):
    """Versions that nodes put in force."""

    versions = build_versions((0.0, False), (100.0, True))

    def build(self, *in_force, **fields):
        items = tuple(InForce(*item) for item in in_force)
        return History(
            configurations=self.versions, nodes=('n',), in_force=items, **fields
        )

    # Guards against nodes that put a configuration in force too late, or never.
    def test_version_that_is_in_force_late(self):
        in_time = self.build(('n', 1, 0.0), ('n', 2, NOT_YET))
        self.assert_proves(check_versions, in_time)
        self.assert_fires(
            check_versions, self.build(('n', 1, 0.0), ('n', 2, SURELY)), 'n'
        )
        never = check_versions(self.build(('n', 1, 0.0)), BOUNDS).findings
        self.assertEqual(len(never), 2)

    def test_version_that_is_followed_by_a_later_one_need_not_be_in_force(self):
        versions = (*self.versions, replace(self.versions[-1], version=3))
        history = self.build(('n', 1, 0.0), ('n', 3, 100.5))
        self.assert_proves(check_versions, replace(history, configurations=versions))

    # Guards against nodes that never get a configuration that they missed.
    def test_node_that_was_out_of_touch_has_the_last_version_in_the_end(self):
        for node in ('n', ''):
            disturbed = (Disturbed(node, 96.9, 97.1),)
            late = self.build(('n', 1, 0.0), ('n', 2, 110.0), disturbed=disturbed)
            self.assert_proves(check_versions, late)
            never = self.build(('n', 1, 0.0), disturbed=disturbed)
            self.assert_fires(check_versions, never, 'n')

    # Guards against nodes that go back to an older configuration.
    def test_version_that_goes_back(self):
        items = (('n', 1, 0.0), ('n', 2, 100.5), ('n', 1, 100.6), ('n', 2, 100.7))
        self.assert_fires(check_versions, self.build(*items), 'n')
        started = (Started('n', 100.55),)
        self.assert_proves(check_versions, self.build(*items, started=started))
        other = (Started('m', 100.55),)
        self.assert_fires(check_versions, self.build(*items, started=other), 'n')


class DamagedTest(ChangeCheckerCase):
    """Invalid configurations."""

    def build(self, *reasons, until=103.0, **fields):
        refused = tuple(Refused('n', 7, reason, 100.1) for reason in reasons)
        damaged = (Damaged(7, 'routes[0]', 100.0, until),)
        return History(nodes=('n',), damaged=damaged, refused=refused, **fields)

    # Guards against nodes that do not tell what is wrong with a configuration.
    def test_invalid_configuration_that_a_node_does_not_name(self):
        self.assert_proves(check_damaged, self.build('op/config: [routes[0]] invalid'))
        for reasons in ((), ('invalid',)):
            self.assert_fires(check_damaged, self.build(*reasons), 'n')

    def test_invalid_configuration_that_is_gone_soon_need_not_be_seen(self):
        self.assert_looks_at_nothing(check_damaged, self.build(until=101.0))
        self.assert_fires(check_damaged, self.build('invalid', until=101.0), 'n')

    def test_node_that_is_out_of_touch_proves_nothing(self):
        for node in ('n', ''):
            disturbed = (Disturbed(node, 99.0, 99.5),)
            self.assert_looks_at_nothing(check_damaged, self.build(disturbed=disturbed))


class SettingsTest(ChangeCheckerCase):
    """Settings that change with SIGHUP."""

    def build(self, *reads, valid=True, **fields):
        reloads = (Reload('n', 10.0, 'promises.revoke_s', 10.5, valid),)
        return History(reloads=reloads, settings_read=reads, **fields)

    def read(self, at=10.2, error='', taken=('promises.revoke_s',), node='n'):
        return SettingsRead(node, at, error, frozenset(taken))

    # Guards against changed settings that a node does not take.
    def test_changed_option_that_is_not_taken(self):
        self.assert_proves(check_settings, self.build(self.read()))
        for read in (
            self.read(at=9.9),
            self.read(node='m'),
            self.read(taken=('promises.drain_s',)),
        ):
            self.assert_fires(check_settings, self.build(read), 'n')
        self.assert_fires(check_settings, self.build(), 'n')

    # Guards against invalid settings that a node takes, or refuses without a reason.
    def test_invalid_option_that_is_not_refused(self):
        error = '[promises] revoke_s: not a number'
        refused = self.build(self.read(error=error, taken=()), valid=False)
        self.assert_proves(check_settings, refused)
        for read in (
            self.read(),
            self.read(taken=()),
            self.read(error='invalid', taken=()),
            self.read(error=error, taken=('promises.drain_s',)),
        ):
            self.assert_fires(check_settings, self.build(read, valid=False), 'n')

    def test_process_that_ends_or_starts_meanwhile_proves_nothing(self):
        beside = (
            {'exits': (Exit('n', 10.1, 13.0, 0, 0),)},
            {'exits': (Exit('n', 8.0, 10.1, 0, 0),)},
            {'started': (Started('n', 10.3),)},
        )
        for fields in beside:
            self.assert_looks_at_nothing(check_settings, self.build(**fields))
        apart = (
            {'exits': (Exit('n', 8.0, 9.9, 0, 0), Exit('n', 10.6, 11.0, 0, 0))},
            {'started': (Started('n', 9.9), Started('n', 10.6))},
            {'exits': (Exit('m', 10.1, 13.0, 0, 0),)},
            {'started': (Started('m', 10.3),)},
        )
        for fields in apart:
            self.assert_fires(check_settings, self.build(**fields), 'n')


class ExitTest(ChangeCheckerCase):
    """Processes of nodes that end."""

    # Guards against nodes that end by themselves, or by a signal that asks for less.
    def test_process_that_ends_as_nobody_asked(self):
        for code, expected in ((1, None), (0, None), (-1, 0), (1, 0), (-9, 0)):
            exits = (Exit('n', 10.0, 11.0, code, expected),)
            self.assert_fires(check_exits, History(exits=exits), 'n')
        for code in (0, -9):
            exits = (Exit('n', 10.0, 11.0, code, code),)
            self.assert_proves(check_exits, History(exits=exits))
        self.assert_proves(check_exits, History(nodes=('n',)))


if __name__ == '__main__':
    unittest.main()
