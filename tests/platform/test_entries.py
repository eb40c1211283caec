"""Tests of the validation of instance entries in the store."""

from __future__ import annotations

import json
import unittest

from coursepitch.errors import CodecError
from coursepitch.platform.fleet import decode_instance

#: An entry as an instance writes it.
VALID_ENTRY = {
    'service': 'pool',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 11,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 4,
    'born': 1_770_000_000_000,
    'domain': 'd0',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'staged': ['m'],
    'group': {'name': 'g', 'epoch': 7, 'rank': 0, 'state': 'open'},
}


class SharedValuesTest(unittest.TestCase):
    """Instances share equal field values, to limit a node's memory for thousands."""

    def test_equal_values_are_one_object(self):
        first, second = (
            decode_instance(name, json.dumps(VALID_ENTRY, indent=indent))
            for indent, name in enumerate(('i1', 'i2'))
        )
        for field in ('service', 'availability_zone', 'domain', 'software'):
            with self.subTest(field=field):
                self.assertIs(getattr(first, field), getattr(second, field))
        self.assertIs(first.models, second.models)
        self.assertIs(first.staged, second.staged)
        self.assertIs(first.membership.group, second.membership.group)


class EntryTest(unittest.TestCase):
    """An entry with a field of a wrong type or value is rejected as a whole."""

    def decode(self, **fields):
        return decode_instance('i', json.dumps({**VALID_ENTRY, **fields}))

    def test_valid_entry(self):
        instance = self.decode()
        self.assertEqual(instance.born, 1_770_000_000_000)
        self.assertEqual(instance.membership.epoch, 7)
        self.assertFalse(instance.draining)
        self.assertTrue(self.decode(state='draining').draining)

    def test_fields_of_another_type_are_rejected(self):
        for fields in (
            {'service': 7},
            {'service': None},
            {'address': 8080},
            {'address': 'nowhere'},
            {'address': ':80'},
            {'slots': '11'},
            {'slots': True},
            {'zone': ['a']},
            {'domain': 3},
            {'born': 'today'},
            {'born': 1.5},
            {'models': 'm'},
            {'models': [7]},
            {'staged': [7]},
            {'group': 'g'},
            {'group': {'name': 'g', 'epoch': '7', 'rank': 0, 'state': 'open'}},
        ):
            with self.assertRaises(CodecError, msg=fields):
                self.decode(**fields)

    def test_unknown_states_are_rejected(self):
        group = {**VALID_ENTRY['group'], 'state': 'asleep'}
        for fields in ({'state': 'asleep'}, {'state': None}, {'group': group}):
            with self.assertRaises(CodecError, msg=fields):
                self.decode(**fields)

    def test_missing_fields_and_malformed_text_are_rejected(self):
        for name in ('service', 'address', 'state'):
            left = {key: value for key, value in VALID_ENTRY.items() if key != name}
            with self.assertRaises(CodecError, msg=name):
                decode_instance('i', json.dumps(left))
        for text in ('', '\ufffd', '[]', '7', 'null', '{"service":'):
            with self.assertRaises(CodecError, msg=text):
                decode_instance('i', text)


class ColdTest(unittest.TestCase):
    """How long an instance stays cold."""

    def read(self, **fields):
        return decode_instance('i', json.dumps({**VALID_ENTRY, **fields})).cold_left_s

    def test_milliseconds_are_read(self):
        self.assertEqual(self.read(cold_left_ms=3000), 3.0)
        self.assertEqual(self.read(cold_left_ms=0.5), 0.0005)

    def test_absent_and_malformed_values_count_as_warm(self):
        """Services without cold instances don't use the field."""
        for value in (None, 'soon', True, [3000], -5, {}):
            with self.subTest(value=value):
                self.assertEqual(self.read(cold_left_ms=value), 0.0)

    def test_instances_that_differ_only_in_it_are_equal(self):
        entries = ({**VALID_ENTRY, 'cold_left_ms': left} for left in (3000, 1800))
        first, second = (decode_instance('i', json.dumps(data)) for data in entries)
        self.assertEqual(first, second)


if __name__ == '__main__':
    unittest.main()
