"""Summaries of nodes' logs, printed when a test or the demo fails."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

__all__ = ['summarize_node']

#: Errors of one node that are printed.
MAX_ERRORS = 3


def summarize_node(name: str, log: Path, code: int | None, stderr: str = '') -> str:
    """Return how a node ended, its last errors, and why it refused requests.

    :param code: its exit code; ``None`` while it runs.
    :param stderr: what it wrote to standard error.
    """
    refusals: Counter[str] = Counter()
    faults: list[str] = []
    missing: Counter[str] = Counter()
    held: dict[str, str] = {}
    for event in _read_events(log):
        kind = event.get('message_type')
        if kind == 'request.ended' and int(event.get('status') or 0) >= 400:
            refusals[f'{event["status"]} {event.get("reason")}'] += 1
        elif kind == 'request.refused':
            refusals[str(event.get('code'))] += 1
        elif kind == 'node.fault':
            faults.append(json.dumps(event))
        elif kind in ('duty.taken', 'duty.lost'):
            held[str(event.get('duty'))] = f'{kind} at {event.get("timestamp")}'
        elif kind == 'replica.member_missing':
            missing[f'{event.get("instance")} did not answer'] += 1
    state = 'runs' if code is None else f'ended with code {code}'
    lines = [f'{name} {state}']
    lines += [f'  {count} x {reason}' for reason, count in refusals.most_common()]
    lines += [f'  {count} x {what}' for what, count in missing.most_common()]
    lines += [f'  {duty}: {what}' for duty, what in sorted(held.items())]
    lines += [f'  {fault}' for fault in faults[-MAX_ERRORS:]]
    if stderr:
        lines.append(f'  stderr: {stderr[-2000:]}')
    return '\n'.join(lines)


def _read_events(log: Path) -> Iterator[dict[str, Any]]:
    if not log.exists():
        return
    with log.open(encoding='utf-8', errors='replace') as file:
        for line in file:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict):
                yield event
