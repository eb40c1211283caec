"""The catalogue of events."""

from __future__ import annotations

import unittest
from collections import Counter

from coursepitch.events import CATALOGUE


class NumberTest(unittest.TestCase):
    """An event is found by its number alone."""

    def test_no_two_events_have_one_number(self):
        counts = Counter(event.number for event in CATALOGUE.values())
        self.assertEqual([number for number in counts if counts[number] > 1], [])


if __name__ == '__main__':
    unittest.main()
