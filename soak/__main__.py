"""Run the soak: ``python -m soak --seed 1 --minutes 2 --nodes 4``."""

from __future__ import annotations

import argparse
import sys

from soak.checkers import Bounds, check_all
from soak.driver import CLIENTS, ENGINES, SoakRun

__all__ = ['main']

#: Seconds in a minute.
MINUTE_S = 60


def main() -> int:
    """Run one seed, print what each checker found, and return the exit code."""
    parser = argparse.ArgumentParser(prog='python -m soak', description=__doc__)
    parser.add_argument('--seed', type=int, required=True, help='decides all faults')
    parser.add_argument('--minutes', type=float, default=1.0)
    parser.add_argument('--nodes', type=int, default=4)
    parser.add_argument(
        '--instances', type=int, default=ENGINES, help='number that serve streams'
    )
    parser.add_argument('--clients', type=int, default=CLIENTS, help='number by node')
    options = parser.parse_args()
    counts = (options.nodes, options.instances, options.clients)
    if min(counts) < 1 or options.minutes <= 0:
        parser.error('all numbers have to be above 0')
    history = SoakRun(options.seed, options.minutes * MINUTE_S, *counts).run()
    verdicts = check_all(history, Bounds())
    for verdict in verdicts:
        state = 'broken' if verdict.findings else 'kept'
        if not verdict.looked_at:
            state = 'nothing proved'
        print(f'{verdict.checker}: {state}, looked at {verdict.looked_at}')
        for finding in verdict.findings:
            print(f'  {finding.subject} at {finding.at:.3f}: {finding.what}')
    endings = [call.ending.value for call in history.calls]
    counts = ', '.join(f'{endings.count(name)} {name}' for name in sorted(set(endings)))
    print(f'seed {options.seed}: {len(history.calls)} calls ({counts})')
    return 1 if any(verdict.findings for verdict in verdicts) else 0


if __name__ == '__main__':
    sys.exit(main())
