"""HTML report on the outcomes of requests."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

from coursepitch.report.causes import Cause
from coursepitch.report.summary import INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from coursepitch.report.fleet import FleetSample
    from coursepitch.report.summary import Summary

__all__ = ['render_report']

#: Width and height of a plot in pixels.
WIDTH, HEIGHT = 1200, 260


def render_report(summary: Summary, fleet: Sequence[FleetSample]) -> str:
    """Return a self-contained HTML page: requests by cause, groups, free instances."""
    start = min(summary.by_time, default=0.0)
    end = max(summary.by_time, default=0.0) + INTERVAL_S
    scale = WIDTH / max(0.001, end - start)

    def to_x(at: float) -> float:
        return (at - start) * scale

    parts = [
        '<!DOCTYPE html><meta charset="utf-8"><title>Requests</title>',
        '<style>body{font:13px sans-serif;margin:1em}td{padding:1px 8px}</style>',
        f'<h1>{summary.requests} client requests</h1>',
        *_draw_causes(summary, to_x),
        *_draw_fleet([item for item in fleet if start <= item.at <= end], to_x),
        '<table>',
    ]
    for cause in sorted(Cause, key=lambda item: -summary.count(item)):
        if summary.count(cause):
            parts.append(
                f'<tr><td style="background:{_choose_color(cause)}">&nbsp;</td>'
                f'<td>{html.escape(cause.value)}</td><td>{summary.count(cause)}</td></tr>'
            )
    parts.append('</table>')
    return '\n'.join(parts) + '\n'


def _choose_color(cause: Cause) -> str:
    if cause is Cause.IN_TIME:
        return '#cfe8cf'
    return f'hsl({list(Cause).index(cause) * 47 % 360} 65% 50%)'


def _draw_causes(summary: Summary, to_x: Callable[[float], float]) -> list[str]:
    """Return the SVG lines of a plot of requests over time, stacked by cause."""
    highest = max((sum(row.values()) for row in summary.by_time.values()), default=1)
    parts = [f'<h2>Requests</h2><svg width="{WIDTH}" height="{HEIGHT}">']
    for at, counts in summary.by_time.items():
        y = float(HEIGHT)
        for cause in Cause:
            size = counts.get(cause, 0) / highest * HEIGHT
            y -= size
            if size:
                parts.append(
                    f'<rect x="{to_x(at):.1f}" y="{y:.1f}" '
                    f'width="{to_x(INTERVAL_S) - to_x(0) - 1:.1f}" height="{size:.1f}" '
                    f'fill="{_choose_color(cause)}"><title>{at:.0f} s: '
                    f'{html.escape(cause.value)} {counts[cause]}</title></rect>'
                )
    return [*parts, '</svg>']


def _draw_fleet(
    fleet: Sequence[FleetSample], to_x: Callable[[float], float]
) -> list[str]:
    """Return the SVG lines of a plot of open groups per model and free instances."""
    models = sorted({model for item in fleet for model in item.open_groups})
    lines = {
        model: [item.open_groups.get(model, 0) for item in fleet] for model in models
    }
    lines['instances in no group'] = [item.free for item in fleet]
    highest = max((max(line, default=0) for line in lines.values()), default=0) or 1
    parts = [f'<h2>Groups and instances</h2><svg width="{WIDTH}" height="{HEIGHT}">']
    for number, (name, line) in enumerate(lines.items()):
        points = ' '.join(
            f'{to_x(item.at):.1f},{HEIGHT - value / highest * (HEIGHT - 20):.1f}'
            for item, value in zip(fleet, line, strict=True)
        )
        color = f'hsl({number * 140 % 360} 70% 40%)'
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{color}"/>'
            f'<text x="8" y="{15 + number * 15}" fill="{color}">'
            f'{html.escape(name)}, at most {max(line, default=0)}</text>'
        )
    return [*parts, '</svg>']
