"""The list of known failures: one fault an entry, and nothing but tests that exist."""

from __future__ import annotations

import unittest
from pathlib import Path

from tests.known_red import KnownRedError, find_unknown_tests, read_known_red

NAME = 'tests.whole.test_demo.DemoTest.test_session'
LINE = f'{NAME} | python -m tests {NAME}, seed 3 | ended with code 1 | 17'


class ReadKnownRedTest(unittest.TestCase):
    """Entries of the right form, and of others."""

    def test_entry_is_read(self):
        (entry,) = read_known_red(['', LINE, ''])
        self.assertEqual((entry.test, entry.issue), (NAME, 17))
        self.assertEqual(str(entry), LINE)

    def test_one_test_may_fail_of_several_faults(self):
        entries = read_known_red([LINE, LINE.replace('code 1', 'code 2')])
        self.assertEqual([entry.test for entry in entries], [NAME, NAME])

    def test_entry_of_another_form_is_refused_with_its_line(self):
        for bad in (
            f'{NAME} | seen | 17',
            f'{LINE} | more',
            LINE.replace('ended with code 1', ' '),
            LINE.replace('| 17', '| 17, 18'),
            LINE.replace('| 17', '| 0'),
            LINE.replace('| 17', '| open'),
            LINE.replace(NAME, f'{NAME}, {NAME}', 1),
            LINE.replace(f'{NAME} |', 'test_session |', 1),
            LINE.replace(f'python -m tests {NAME}', 'make test'),
            LINE.replace(f'{NAME} |', 'tests.whole.* |', 1),
        ):
            with self.subTest(bad), self.assertRaisesRegex(KnownRedError, 'txt:2:'):
                read_known_red(['', bad])

    def test_entry_that_occurs_twice_is_refused(self):
        with self.assertRaisesRegex(KnownRedError, 'twice'):
            read_known_red([LINE, LINE])

    def test_listed_test_that_does_not_exist_is_found(self):
        entries = read_known_red([LINE])
        self.assertEqual(find_unknown_tests(entries, {NAME}), [])
        self.assertEqual(find_unknown_tests(entries, {NAME + 's'}), [NAME])

    def test_list_of_the_project_is_read(self):
        path = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
        if path.exists():
            read_known_red(path.read_text().splitlines())


if __name__ == '__main__':
    unittest.main()
