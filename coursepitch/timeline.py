"""Time line of events over all processes, from their logs."""

from __future__ import annotations

import html
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

__all__ = ['Entry', 'draw_page', 'merge_logs', 'read_log', 'write_text']

#: Fields of a log line that are not shown among the details.
_HIDDEN = frozenset(
    {
        'action_status',
        'action_type',
        'message_type',
        'node',
        'number',
        'task_level',
        'task_uuid',
        'timestamp',
    }
)


@dataclass(frozen=True, slots=True)
class Entry:
    """One event of one process.

    :param level: place in the tree of its task.
    :param at: Unix time in seconds by the clock of its process.
    """

    task: str
    level: tuple[int, ...]
    at: float
    node: str
    number: int
    name: str
    details: dict[str, Any]


def read_log(path: Path) -> list[Entry]:
    """Read the events of a log; lines that are no events are passed over.

    Where a collector put its time before a line, that is taken: one clock for all.
    A line of such a log that lacks it gets the time of the line before.
    """
    entries: list[Entry] = []
    collected_at: float | None = None
    with path.open(encoding='utf-8', errors='replace') as file:
        for line in file:
            before, brace, rest = line.partition('{')
            found = _read_time(before)
            collected_at = collected_at if found is None else found
            entry = _read_line(brace + rest, collected_at)
            if entry is not None:
                entries.append(entry)
    return entries


def _read_line(line: str, collected_at: float | None) -> Entry | None:
    try:
        data = json.loads(line)
        if 'message_type' not in data:
            return None
        details = {name: data[name] for name in data if name not in _HIDDEN}
        return Entry(
            str(data['task_uuid']),
            tuple(data['task_level']),
            float(data['timestamp']) if collected_at is None else collected_at,
            str(data.get('node', '')),
            int(data.get('number', 0)),
            str(data['message_type']),
            details,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _read_time(before: str) -> float | None:
    """Return the seconds that a collector put before an event."""
    words = before.split()
    if not words:
        return None
    try:
        return float(words[0])
    except ValueError:
        return None


def merge_logs(entries: Iterable[Entry], only: str = '') -> list[list[Entry]]:
    """Return the events by task, each in the order of cause.

    Tasks stand in the order of their first event.  Within a task an event
    never stands before what caused it, whatever the clocks say; where cause
    gives no order, as between a branch in another process and what goes on
    here, the clocks do.

    :param only: keep tasks with an event whose text holds this.
    """
    tasks: dict[str, list[Entry]] = {}
    for entry in entries:
        tasks.setdefault(entry.task, []).append(entry)
    kept = []
    for events in tasks.values():
        if only and not any(only in write_entry(item) for item in events):
            continue
        kept.append(_sort_task(events))
    return sorted(kept, key=lambda events: events[0].at)


def _sort_task(events: list[Entry]) -> list[Entry]:
    """Return the events of a task in the order of cause, then of time.

    An event at level (1, 3) follows the messages (1, 1) and (1, 2), and so
    does all of a branch that begins at (1, 3).
    """
    newest: dict[tuple[int, ...], float] = {}
    times: dict[int, float] = {}
    for entry in sorted(events, key=lambda item: (item.level, item.at)):
        parents = [entry.level[:depth] for depth in range(len(entry.level))]
        time = max([entry.at, *(newest.get(parent, 0.0) for parent in parents)])
        times[id(entry)] = time
        newest[entry.level[:-1]] = time
    return sorted(events, key=lambda item: (times[id(item)], item.level))


def write_entry(entry: Entry) -> str:
    """Return an event as a line of text."""
    details = ' '.join(f'{name}={value}' for name, value in entry.details.items())
    return f'{entry.at:.3f} {entry.node:<10} {entry.number} {entry.name} {details}'


def write_text(tasks: Iterable[list[Entry]]) -> list[str]:
    """Return the time line as lines; events of one cause are indented."""
    lines = []
    for events in tasks:
        for place, entry in enumerate(events):
            indent = '  ' if place else ''
            lines.append(indent + write_entry(entry))
    return lines


def draw_page(tasks: list[list[Entry]]) -> str:
    """Return a page that needs nothing else: a row a process, a mark an event."""
    entries = [entry for events in tasks for entry in events]
    nodes = sorted({entry.node for entry in entries})
    first = min((entry.at for entry in entries), default=0.0)
    last = max((entry.at for entry in entries), default=1.0)
    width, row = 1400, 46
    scale = (width - 160) / max(0.001, last - first)
    height = row * len(nodes) + 40
    parts = [
        '<!DOCTYPE html><meta charset="utf-8"><title>Time line</title>',
        '<style>body{font:13px sans-serif;margin:1em}circle:hover{r:8}',
        'table{border-collapse:collapse}td{padding:1px 8px;vertical-align:top}'
        'tr.first td{border-top:1px solid #ccc}</style>',
        f'<h1>Time line</h1><p>{len(entries)} events, {last - first:.1f} s</p>',
        f'<svg width="{width}" height="{height}">',
    ]
    for place, node in enumerate(nodes):
        y = place * row + 30
        parts.append(f'<text x="0" y="{y + 4}">{html.escape(node or "-")}</text>')
        parts.append(f'<line x1="140" x2="{width}" y1="{y}" y2="{y}" stroke="#ddd"/>')
    for entry in entries:
        x = 140 + (entry.at - first) * scale
        y = nodes.index(entry.node) * row + 30
        colour = f'hsl({entry.number * 37 % 360} 70% 45%)'
        text = html.escape(write_entry(entry))
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="4" fill="{colour}">'
            f'<title>{text}</title></circle>'
        )
    parts.append('</svg><table>')
    for events in tasks:
        for place, entry in enumerate(events):
            mark = '' if place else ' class="first"'
            details = ' '.join(f'{k}={v}' for k, v in entry.details.items())
            cells = (
                f'{entry.at - first:.3f}',
                entry.node,
                str(entry.number),
                entry.name,
                details,
            )
            row_text = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
            parts.append(f'<tr{mark}>{row_text}</tr>')
    parts.append('</table>')
    return '\n'.join(parts) + '\n'
