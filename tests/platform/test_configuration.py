"""Tests of the operators' configuration as the platform holds it."""

from __future__ import annotations

import json
import unittest

from coursepitch.errors import FindingsError
from coursepitch.platform.configuration import decode_configuration
from tests.whole.platform_base import build_configuration


class ColdServiceTest(unittest.TestCase):
    """Figures of a service's instances while they are cold."""

    def read(self, **fields):
        data = build_configuration()
        data['services'][0].update(fields)
        return decode_configuration(json.dumps(data), 5).services['pool']

    def test_figures_are_read(self):
        service = self.read(cold_s=3.0, cold_per_s=23)
        self.assertEqual((service.cold_s, service.cold_per_s), (3.0, 23.0))

    def test_absent_figures_are_0(self):
        for fields in ({}, {'cold_s': None, 'cold_per_s': 0}):
            service = self.read(**fields)
            self.assertEqual((service.cold_s, service.cold_per_s), (0.0, 0.0))

    def test_malformed_figures_are_reported(self):
        for name in ('cold_s', 'cold_per_s'):
            for value in (-1, 'many', [1], 'nan', 'inf'):
                with self.subTest(name=name, value=value):
                    with self.assertRaises(FindingsError) as caught:
                        self.read(**{name: value})
                    self.assertIn('services[0]', str(caught.exception))


if __name__ == '__main__':
    unittest.main()
