"""Timeline of the events of all processes, built from their logs."""

from __future__ import annotations

import html
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

__all__ = ['Entry', 'format_timeline', 'merge_logs', 'read_log', 'render_page']

#: Fields of a log line that are not part of the details of an event.
_METADATA_FIELDS = frozenset(
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

    :param task: id of the eliot task, which may span several processes.
    :param level: position in the action tree of the task.
    :param at: time in seconds, by the clock of the log collector if the log has its
        timestamps, else Unix time by the clock of the process.
    :param node: name of the node that logged the event.
    :param number: number of the event.
    :param name: name of the event.
    :param details: the other fields of the event.
    """

    task: str
    level: tuple[int, ...]
    at: float
    node: str
    number: int
    name: str
    details: dict[str, Any]


def read_log(path: Path) -> list[Entry]:
    """Read the events of a log; lines that are not events are skipped.

    A timestamp that a log collector put before a line takes precedence over the one in
    the event, since it comes from one clock for all processes.  A line without such a
    timestamp gets that of the preceding line.
    """
    entries: list[Entry] = []
    collected_at: float | None = None
    with path.open(encoding='utf-8', errors='replace') as file:
        for line in file:
            prefix, brace, rest = line.partition('{')
            timestamp = _parse_collector_time(prefix)
            collected_at = collected_at if timestamp is None else timestamp
            entry = _parse_line(brace + rest, collected_at)
            if entry is not None:
                entries.append(entry)
    return entries


def _parse_line(line: str, collected_at: float | None) -> Entry | None:
    try:
        data = json.loads(line)
        if 'message_type' not in data:
            return None
        details = {name: data[name] for name in data if name not in _METADATA_FIELDS}
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


def _parse_collector_time(prefix: str) -> float | None:
    """Return the timestamp in seconds that a log collector put before an event."""
    words = prefix.split()
    if not words:
        return None
    try:
        return float(words[0])
    except ValueError:
        return None


def merge_logs(entries: Iterable[Entry], text: str = '') -> list[list[Entry]]:
    """Return the events grouped by task, each task in causal order.

    Tasks are sorted by the time of their first event.  Within a task, an event never
    precedes the event that caused it, even if the clocks of the processes differ.
    Events without a causal order, such as those of concurrent branches in different
    processes, are sorted by time.

    :param text: keep only tasks with an event whose formatted line contains this.
    """
    tasks: dict[str, list[Entry]] = {}
    for entry in entries:
        tasks.setdefault(entry.task, []).append(entry)
    selected = []
    for events in tasks.values():
        if text and not any(text in format_entry(item) for item in events):
            continue
        selected.append(_sort_task(events))
    return sorted(selected, key=lambda events: events[0].at)


def _sort_task(events: list[Entry]) -> list[Entry]:
    """Sort the events of a task causally, then by time.

    An event at level (1, 3) follows the messages (1, 1) and (1, 2), and so do all
    events of a branch that begins at (1, 3).
    """
    latest: dict[tuple[int, ...], float] = {}
    times: dict[int, float] = {}
    for entry in sorted(events, key=lambda item: (item.level, item.at)):
        parents = [entry.level[:depth] for depth in range(len(entry.level))]
        time = max([entry.at, *(latest.get(parent, 0.0) for parent in parents)])
        times[id(entry)] = time
        latest[entry.level[:-1]] = time
    return sorted(events, key=lambda item: (times[id(item)], item.level))


def format_entry(entry: Entry) -> str:
    """Format an event as a line of text."""
    details = ' '.join(f'{name}={value}' for name, value in entry.details.items())
    return f'{entry.at:.3f} {entry.node:<10} {entry.number} {entry.name} {details}'


def format_timeline(tasks: Iterable[list[Entry]]) -> list[str]:
    """Return the timeline as lines; all but the first event of a task are indented."""
    lines = []
    for events in tasks:
        for index, entry in enumerate(events):
            indent = '  ' if index else ''
            lines.append(indent + format_entry(entry))
    return lines


def render_page(tasks: list[list[Entry]]) -> str:
    """Return a self-contained HTML page with a row per process and a mark per event."""
    entries = [entry for events in tasks for entry in events]
    nodes = sorted({entry.node for entry in entries})
    first = min((entry.at for entry in entries), default=0.0)
    last = max((entry.at for entry in entries), default=1.0)
    width, row_height = 1400, 46
    scale = (width - 160) / max(0.001, last - first)
    height = row_height * len(nodes) + 40
    parts = [
        '<!DOCTYPE html><meta charset="utf-8"><title>Timeline</title>',
        '<style>body{font:13px sans-serif;margin:1em}circle:hover{r:8}',
        'table{border-collapse:collapse}td{padding:1px 8px;vertical-align:top}'
        'tr.first td{border-top:1px solid #ccc}</style>',
        f'<h1>Timeline</h1><p>{len(entries)} events, {last - first:.1f} s</p>',
        f'<svg width="{width}" height="{height}">',
    ]
    for index, node in enumerate(nodes):
        y = index * row_height + 30
        parts.append(f'<text x="0" y="{y + 4}">{html.escape(node or "-")}</text>')
        parts.append(f'<line x1="140" x2="{width}" y1="{y}" y2="{y}" stroke="#ddd"/>')
    for entry in entries:
        x = 140 + (entry.at - first) * scale
        y = nodes.index(entry.node) * row_height + 30
        color = f'hsl({entry.number * 37 % 360} 70% 45%)'
        text = html.escape(format_entry(entry))
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="4" fill="{color}">'
            f'<title>{text}</title></circle>'
        )
    parts.append('</svg><table>')
    for events in tasks:
        for index, entry in enumerate(events):
            attributes = '' if index else ' class="first"'
            details = ' '.join(f'{k}={v}' for k, v in entry.details.items())
            cells = (
                f'{entry.at - first:.3f}',
                entry.node,
                str(entry.number),
                entry.name,
                details,
            )
            row_text = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
            parts.append(f'<tr{attributes}>{row_text}</tr>')
    parts.append('</table>')
    return '\n'.join(parts) + '\n'
