"""What operators change in a soak: valid values are valid, and invalid ones are not."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from coursepitch.config.gateway import load_gateway_settings
from coursepitch.errors import FindingsError
from coursepitch.platform.configuration import decode_configuration
from soak.changes import (
    CHANGED_ROUTES,
    OPTIONS,
    Operation,
    build_value,
    change_operation,
    choose_option,
    damage_value,
    write_option,
)
from soak.driver import is_ended_by
from soak.verdicts import Bounds
from tests.whole.platform_base import SETTINGS

#: Numbers from 0 to 1 that make each choice.
CHOICES = [number / 100 for number in range(100)]


class ConfigurationTest(unittest.TestCase):
    """Changes of the configuration."""

    def test_each_change_is_valid_and_changes_what_it_concerns(self):
        operation = Operation()
        for mode, read in (
            ('timeout', lambda table: table.routes[0].timeout_s),
            ('idle', lambda table: table.rules.idle_timeout_s),
            ('route', lambda table: {route.prefix for route in table.routes}),
        ):
            for choice in CHOICES:
                before = decode_configuration(json.dumps(build_value(operation)), 1)
                operation = change_operation(operation, mode, choice)
                after = decode_configuration(json.dumps(build_value(operation)), 2)
                self.assertGreater(after.version, before.version)
                self.assertNotEqual(read(after), read(before))

    def test_all_routes_are_added_and_removed(self):
        operation, seen = Operation(), set()
        for choice in CHOICES:
            operation = change_operation(operation, 'route', choice)
            seen.add(operation.routes)
        routes = {route for item in seen for route in item}
        self.assertEqual(routes, set(CHANGED_ROUTES))
        self.assertIn(frozenset(), seen)

    def test_invalid_configurations_are_refused_with_their_reason(self):
        value, errors = build_value(Operation()), set()
        for choice in CHOICES:
            text, error = damage_value(value, choice)
            with self.assertRaises(FindingsError) as caught:
                decode_configuration(text, 1)
            self.assertIn(error, str(caught.exception))
            errors.add(error)
        self.assertEqual(len(errors), 5)


class SettingsTest(unittest.TestCase):
    """Changes of settings."""

    def setUp(self):
        """Write the settings of a node."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'n.ini'
        values = {'name': 'n', 'store': 1, 'revoke_s': 5.0, 'evacuate_s': 0}
        self.path.write_text(SETTINGS.format(**values))

    def test_options_change_each_time_and_stay_within_the_bounds(self):
        bounds, seen = Bounds(), set()
        for choice in CHOICES * 2:
            before = load_gateway_settings(self.path).promises
            section, name, value = choose_option(self.path, choice)
            write_option(self.path, section, name, value)
            after = load_gateway_settings(self.path).promises
            self.assertNotEqual(getattr(before, name), getattr(after, name))
            self.assertLessEqual(after.revoke_s, bounds.revoke_s)
            self.assertLessEqual(after.drain_s, bounds.drain_s)
            self.assertLessEqual(after.retry_ratio, bounds.retry_ratio)
            self.assertLessEqual(after.retry_extra, bounds.retry_extra)
            seen.add((name, value))
        self.assertEqual(len(seen), 2 * len(OPTIONS))

    def test_invalid_values_are_refused_and_named(self):
        seen = set()
        for choice in CHOICES:
            section, name, value = choose_option(self.path, choice, valid=False)
            before = write_option(self.path, section, name, value)
            with self.assertRaises(FindingsError) as caught:
                load_gateway_settings(self.path)
            self.assertIn(name, str(caught.exception))
            self.path.write_text(before)
            load_gateway_settings(self.path)
            seen.add((name, value))
        self.assertEqual(len(seen), 3 * len(OPTIONS))


class SignalTest(unittest.TestCase):
    """Whether a signal ends a process."""

    # Guards against signals to processes that have not begun to run their program.
    def test_signal_that_is_blocked_ignored_or_handled_does_not_end_a_process(self):
        ways = {
            'signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})': False,
            'signal.signal(signal.SIGHUP, signal.SIG_IGN)': False,
            'signal.signal(signal.SIGHUP, print)': False,
            'signal.signal(signal.SIGUSR1, print)': True,
        }
        # Processes inherit signals that are ignored, as under nohup.
        begin = 'import signal, sys; signal.signal(signal.SIGHUP, signal.SIG_DFL)'
        for way, ended in ways.items():
            code = f'{begin}; {way}; print(flush=True); sys.stdin.read()'
            with subprocess.Popen(
                [sys.executable, '-c', code],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            ) as process:
                process.stdout.readline()
                self.assertEqual(is_ended_by(process.pid, 1), ended, way)
                process.stdin.close()


if __name__ == '__main__':
    unittest.main()
