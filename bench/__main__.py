"""Run the measurements; name parts to run only some."""

from __future__ import annotations

import sys

from bench import control, forwarding, gateway, pure, serving, waiting
from bench.figures import Book

PARTS = {
    'pure': pure.measure,
    'waiting': waiting.measure,
    'checks': control.measure_checks,
    'control': control.measure,
    'outage': control.measure_outage,
    'serving': serving.measure,
    'overload': serving.measure_overload,
    'gateway': gateway.measure,
    'forwarding': forwarding.measure,
}


def main() -> int:
    """Measure, print a table, write docs/figures."""
    names = sys.argv[1:] or list(PARTS)
    unknown = set(names) - set(PARTS)
    if unknown:
        print(f'unknown parts {sorted(unknown)}; known are {sorted(PARTS)}')
        return 2
    for name in names:
        book = Book()
        PARTS[name](book)
        book.write(name)
    return 0


if __name__ == '__main__':
    sys.exit(main())
