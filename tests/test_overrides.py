"""Names that test classes must not take."""

from __future__ import annotations

import unittest
from pathlib import Path

#: Methods of :class:`unittest.TestCase` that test classes are meant to override.
HOOKS = {'setUp', 'tearDown', 'setUpClass', 'tearDownClass', 'maxDiff'}

ROOT = Path(__file__).resolve().parent.parent


def list_classes(suite):
    """Return the classes of all tests of a suite."""
    classes = set()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            classes |= list_classes(item)
        else:
            classes.add(type(item))
    return classes


class OverrideTest(unittest.TestCase):
    """Methods that assertions depend on stay what they are."""

    # Guards against a helper named fail, which assertions call when they do not hold.
    def test_no_test_class_overrides_a_method_of_assertions(self):
        names = {name for name in dir(unittest.TestCase) if name[0] != '_'} - HOOKS
        suite = unittest.defaultTestLoader.discover(
            str(ROOT / 'tests'), top_level_dir=str(ROOT)
        )
        overridden = {
            (ancestor.__qualname__, name)
            for found in list_classes(suite)
            for ancestor in found.__mro__
            if ancestor.__module__.split('.')[0] == 'tests'
            for name in names & set(vars(ancestor))
        }
        self.assertEqual(overridden, set())


if __name__ == '__main__':
    unittest.main()
