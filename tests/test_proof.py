"""Every test that the page of proofs names exists."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

PAGE = Path(__file__).parent.parent / 'docs' / 'PROOF.md'


def count_tests(name: str) -> int:
    """Return the number of tests under a name; a broken name gives none."""
    loader = unittest.TestLoader()
    try:
        suite = loader.loadTestsFromName(name)
    except (AttributeError, ImportError):
        return 0
    return 0 if loader.errors else suite.countTestCases()


class ProofTest(unittest.TestCase):
    """The page and the tests agree."""

    def test_every_named_test_exists(self) -> None:
        names = set(re.findall(r'`(tests\.[\w.]+)`', PAGE.read_text(encoding='utf-8')))
        self.assertGreater(len(names), 20)
        missing = sorted(name for name in names if not count_tests(name))
        self.assertEqual(missing, [])

    def test_a_name_that_does_not_exist_is_noticed(self) -> None:
        self.assertEqual(count_tests('tests.test_proof.ProofTest.test_nothing'), 0)
        self.assertEqual(count_tests('tests.no_such_module'), 0)
