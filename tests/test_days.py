"""Days of trouble that are played on every deployment can be read."""

from __future__ import annotations

import tomllib
import unittest
import unittest.mock
from pathlib import Path

DAYS = Path(__file__).parent.parent / 'deploy' / 'days'

#: Names that stand for whatever a deployment has first.
PLACEHOLDERS = ('@c0', '@s0', '@z0')


def find_fault(path: Path) -> str:
    """Return what is wrong with a day's file and where; empty for nothing."""
    try:
        day = tomllib.loads(path.read_text(encoding='utf-8'))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return f'{path.name}: {error}'
    for part in ('plan', 'faults'):
        for place, entry in enumerate(day.get(part, []), 1):
            for name in ('service', 'zone', 'class'):
                if entry.get(name, '@s0') not in PLACEHOLDERS:
                    return f'{path.name}: {part} {place}: {name} is of one deployment'
            if 'at' not in entry or 'kind' not in entry:
                return f'{path.name}: {part} {place}: when or what is missing'
    return '' if day.get('name') == path.stem else f'{path.name}: named otherwise'


class DayTest(unittest.TestCase):
    """Each file is a day of its name, on any deployment."""

    def test_all_days_can_be_read(self) -> None:
        paths = sorted(DAYS.glob('*.toml'))
        self.assertGreater(len(paths), 8)
        faults = [find_fault(path) for path in paths]
        self.assertEqual([item for item in faults if item], [])

    def test_damaged_day_is_named_with_its_line(self) -> None:
        path = DAYS / 'no-such-day.toml'
        with unittest.mock.patch.object(
            Path, 'read_text', return_value='a = 1\nb = \n'
        ):
            fault = find_fault(path)
        self.assertIn('no-such-day.toml', fault)
        self.assertIn('line 2', fault)


if __name__ == '__main__':
    unittest.main()
