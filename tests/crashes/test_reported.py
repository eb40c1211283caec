"""Reports of crashes that were known before."""

from __future__ import annotations

import unittest

from coursepitch.crashes.reported import (
    MAX_DELAY_S,
    MAX_REPORTS,
    ReportedCrashes,
)
from coursepitch.crashes.suspects import Crash


def build_crash(fingerprint='r', *, instance='i', born=1, at=100.0, parts=()):
    """Return a report of a crash."""
    return Crash(fingerprint, 'acme', instance, born, at, 'n1', parts=parts)


class ReportedCrashesTest(unittest.TestCase):
    """A report is new once, whatever became of it."""

    def setUp(self):
        self.reported = ReportedCrashes()

    def test_report_that_arrives_again_is_known(self):
        self.assertTrue(self.reported.note(build_crash()))
        for delay_s in (0.0, 0.5, MAX_DELAY_S):
            with self.subTest(delay_s):
                again = build_crash(at=100.0 + delay_s)
                self.assertFalse(self.reported.note(again))

    def test_delays_do_not_add_up(self):
        self.reported.note(build_crash())
        news = [
            self.reported.note(build_crash(at=100.0 + 0.5 * hop)) for hop in range(20)
        ]
        self.assertEqual(sum(news), 0)

    def test_other_reports_are_new(self):
        self.reported.note(build_crash())
        others = (
            build_crash('s'),
            build_crash(instance='j'),
            build_crash(born=2),
            build_crash(parts=('a',)),
        )
        self.assertTrue(all(map(self.reported.note, others)))

    def test_later_crash_of_an_instance_that_still_ran_is_new(self):
        self.reported.note(build_crash())
        later = build_crash(at=100.1 + MAX_DELAY_S)
        self.assertTrue(self.reported.note(later))
        self.assertFalse(self.reported.note(later))

    def test_memory_is_bounded(self):
        for number in range(MAX_REPORTS + 10):
            self.reported.note(build_crash(f'r{number}'))
        self.assertEqual(len(self.reported._times), MAX_REPORTS)
        self.assertFalse(self.reported.note(build_crash(f'r{MAX_REPORTS + 9}')))
        self.assertTrue(self.reported.note(build_crash('r0')))


if __name__ == '__main__':
    unittest.main()
