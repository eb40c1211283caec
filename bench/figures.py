"""Figures of a run: collected, printed as a table, written as JSON and SVG."""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ['Book', 'Figure', 'fit_slope', 'percentile']

FOLDER = Path(__file__).resolve().parent.parent / 'docs' / 'figures'


@dataclass(frozen=True)
class Figure:
    """One measured figure with its unit."""

    part: str
    name: str
    value: float
    unit: str


class Book:
    """Collects figures and prints each as it comes."""

    def __init__(self) -> None:
        self.figures: list[Figure] = []
        self.lines: dict[str, list[tuple[float, float]]] = {}

    def note(self, part: str, name: str, value: float, unit: str) -> None:
        """Take a figure."""
        self.figures.append(Figure(part, name, value, unit))
        print(f'{part:<12} {name:<58} {value:>12.4g} {unit}', flush=True)

    def draw(self, title: str, points: list[tuple[float, float]]) -> None:
        """Take a line for the plot."""
        self.lines[title] = points

    def write(self, name: str) -> None:
        """Write the table and the plot of a part."""
        FOLDER.mkdir(parents=True, exist_ok=True)
        data = [asdict(figure) for figure in self.figures]
        text = json.dumps(data, indent=1) + '\n'
        (FOLDER / f'{name}.json').write_text(text, encoding='utf-8')
        if self.lines:
            plot = draw_plot(self.lines)
            (FOLDER / f'{name}.svg').write_text(plot, encoding='utf-8')


def draw_plot(lines: dict[str, list[tuple[float, float]]]) -> str:
    """Return one small panel a line as SVG."""
    width, height, margin = 260, 170, 40
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width * len(lines)}" '
        f'height="{height}" font-family="sans-serif" font-size="10">'
    ]
    for place, (title, points) in enumerate(lines.items()):
        left = place * width + margin
        top_x = max(x for x, _ in points) or 1
        top_y = max(y for _, y in points) or 1

        def spot(x: float, y: float, left=left, top_x=top_x, top_y=top_y) -> str:
            px = left + x / top_x * (width - margin - 20)
            return f'{px:.1f},{height - 30 - y / top_y * (height - 70):.1f}'

        path = ' '.join(spot(x, y) for x, y in points)
        base = height - 30
        parts += [
            f'<text x="{left}" y="16">{title}</text>',
            f'<polyline points="{path}" fill="none" stroke="#246"/>',
            f'<path d="M{left} 30V{base}H{left + width - margin - 20}" '
            'fill="none" stroke="#999"/>',
            f'<text x="{left - 36}" y="40">{top_y:.3g}</text>',
            f'<text x="{left + width - 80}" y="{height - 14}">{top_x:g}</text>',
        ]
    return '\n'.join([*parts, '</svg>']) + '\n'


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fit_slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least squares line."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return fit.slope, fit.intercept
