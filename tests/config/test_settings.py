"""Settings and resources: every finding at once, with its place."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.config.options import parse_ini
from coursepitch.config.resources import check_resources
from coursepitch.config.settings import check_settings, load_settings, write_example
from coursepitch.errors import FindingsError

GOOD = """[node]
name = n
address = 127.0.0.1
availability_zone = z
[peers]
key = k
[platform]
key_value_url = http://127.0.0.1:1
instance_list_url = http://127.0.0.1:2
"""


class SettingsTest(unittest.TestCase):
    """Settings files."""

    def find(self, text: str) -> list[str]:
        with self.assertRaises(FindingsError) as caught:
            check_settings(parse_ini(text, 'n.ini'))
        return str(caught.exception).splitlines()

    def test_good_settings(self) -> None:
        settings = check_settings(parse_ini(GOOD, 'n.ini'))
        self.assertEqual(settings.entry.port, 8101)

    def test_all_findings_with_line_value_and_fix(self) -> None:
        text = GOOD.replace('name = n\n', 'nam = n\n') + '[entry]\nport = x\n[zone]\n'
        found = self.find(text)
        self.assertEqual(len(found), 4)
        self.assertTrue(found[0].startswith('n.ini:12: [zone]: unknown section'))
        self.assertTrue(any('n.ini:2: [node] nam: unknown' in line for line in found))
        self.assertTrue(any('n.ini:11: [entry] port: not a whole' in s for s in found))
        self.assertTrue(any('[node] name: missing' in line for line in found))

    # Guards against an error of the program at a value that no integer has.
    def test_numbers_without_end_are_no_whole_numbers(self) -> None:
        for value in ('inf', '-inf', '1e999', 'nan'):
            found = self.find(GOOD + f'[entry]\nport = {value}\n')
            self.assertIn('not a whole', found[0])

    def test_secret_values_are_not_shown(self) -> None:
        found = self.find(GOOD + '[admin]\nkey_hashes = hunter2\n')
        self.assertNotIn('hunter2', ''.join(found))

    def test_without_operator_keys_only_loopback(self) -> None:
        found = self.find(GOOD + '[admin]\naddress = 10.0.0.1\n')
        self.assertIn('only loopback', found[0])

    def test_missing_file_and_no_ini(self) -> None:
        with self.assertRaises(FindingsError):
            load_settings(Path('/nowhere/n.ini'))
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
            file.write('no section\n')
            file.flush()
            with self.assertRaises(FindingsError) as caught:
                load_settings(Path(file.name))
        self.assertIn(':1:', str(caught.exception))

    def test_example_is_good_once_the_marked_options_are_set(self) -> None:
        text = write_example().replace('address = REQUIRED', 'address = 127.0.0.1')
        uncommented = '\n'.join(
            line[2:] if line.startswith('# ') and ' = ' in line else line
            for line in text.splitlines()
        )
        check_settings(parse_ini(text, 'example.ini'))
        check_settings(parse_ini(uncommented, 'example.ini'))

    @given(st.text(max_size=300))
    def test_any_text_gives_findings_or_settings(self, text) -> None:
        for check in (check_settings, check_resources):
            try:
                check(parse_ini(text, 'x.ini'))
            except FindingsError as error:
                self.assertTrue(error.findings)


class ResourceTest(unittest.TestCase):
    """Resource files."""

    def test_all_findings_with_their_places(self) -> None:
        text = (
            '[group a]\nmodel = m\nversion = 1\nreplicas = -1\n'
            '[caller b]\ncustomer = c\nkey_sha256 = plain\n'
            '[service s]\naddresses = nowhere\n[thing x]\n[group B_]\nmodel = m\n'
        )
        with self.assertRaises(FindingsError) as caught:
            check_resources(parse_ini(text, 'r.ini'))
        lines = {
            (item.place.line, item.place.option) for item in caught.exception.findings
        }
        self.assertEqual(
            lines,
            {
                (4, 'replicas'),
                (7, 'key_sha256'),
                (9, 'addresses'),
                (10, ''),
                (11, ''),
                (11, 'version'),
            },
        )
        self.assertNotIn('plain', str(caught.exception))
