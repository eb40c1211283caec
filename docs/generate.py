"""Generate the reference pages from the tables in the code.

``--check`` compares with what is there and fails on a difference.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from aioprometheus import Histogram

from coursepitch import events
from coursepitch.config.gateway import GatewaySettings
from coursepitch.config.options import describe_options
from coursepitch.config.resources import KINDS
from coursepitch.config.sections import list_sections
from coursepitch.config.settings import Settings, format_default, write_example
from coursepitch.control.chart import load_chart, render_chart
from coursepitch.metrics import Metrics
from coursepitch.serving.outcomes import REFUSALS

REFERENCE = Path(__file__).parent / 'reference'


def write_title(text: str, mark: str = '=') -> list[str]:
    """Return the lines of a title."""
    return [text, mark * len(text), '']


def write_table(head: list[str], rows: list[list[str]]) -> list[str]:
    """Return a list table."""
    lines = ['.. list-table::', '   :header-rows: 1', '']
    for row in [head, *rows]:
        for place, cell in enumerate(row):
            lines.append(f'   {"* -" if place == 0 else "  -"} {cell}')
    return [*lines, '']


def write_options(table: type[Any]) -> list[str]:
    """Return the table of the options of a section or kind."""
    rows = []
    for row in describe_options(table):
        default = '*required*' if row.required else format_default(row.default)
        rows.append([f'``{row.name}``', row.kind, default or '(empty)', row.doc])
    return write_table(['Option', 'Type', 'Default', 'Meaning'], rows)


def write_settings() -> list[str]:
    """Return the page of settings."""
    lines = write_title('Settings')
    for name, table in list_sections(Settings).items():
        lines += write_title(f'[{name}]', '-')
        lines += [(table.__doc__ or '').splitlines()[0], '']
        lines += write_options(table)
    example = ['   ' + line for line in write_example().splitlines()]
    return [*lines, *write_title('Example', '-'), '.. code-block:: ini', '', *example]


def write_gateway_settings() -> list[str]:
    """Return the page of settings of a node on the users' platform."""
    lines = write_title('Settings on the platform')
    lines += [
        'The platform fills them from ``deploy/node.ini.template`` whenever a node',
        'starts; ``coursepitch serve`` reads and checks them.',
        '',
    ]
    for name, table in list_sections(GatewaySettings).items():
        lines += write_title(f'[{name}]', '-')
        lines += [(table.__doc__ or '').splitlines()[0], '']
        lines += write_options(table)
    return lines


def write_resources() -> list[str]:
    """Return the page of resources."""
    lines = write_title('Resources')
    lines += ['A section of a resource file is named ``[kind name]``.', '']
    for name, table in KINDS.items():
        lines += write_title(name, '-')
        lines += [(table.__doc__ or '').splitlines()[0], '']
        lines += write_options(table)
    return lines


def write_events() -> list[str]:
    """Return the catalogue of events."""
    rows = [
        [str(item.number), f'``{item.name}``', item.text, ', '.join(item.fields) or '–']
        for item in sorted(events.CATALOGUE.values(), key=lambda item: item.number)
    ]
    head = ['Number', 'Name', 'Meaning', 'Fields']
    return [*write_title('Events'), *write_table(head, rows)]


def write_refusals() -> list[str]:
    """Return the catalogue of refusals."""
    rows = [
        [
            str(number),
            f'``{item.name}``',
            str(item.status),
            item.outcome.value,
            item.text,
        ]
        for number, item in sorted(REFUSALS.items())
    ]
    head = ['Number', 'Code', 'Status', 'Outcome', 'Meaning']
    return [*write_title('Refusals'), *write_table(head, rows)]


def write_metrics() -> list[str]:
    """Return the catalogue of metrics."""
    rows = []
    for item in vars(Metrics()).values():
        if hasattr(item, 'doc'):
            kind = 'histogram' if isinstance(item, Histogram) else item.kind
            rows.append([f'``{item.name}``', str(kind).split('.')[-1], item.doc])
    return [*write_title('Metrics'), *write_table(['Name', 'Kind', 'Meaning'], rows)]


def write_chart() -> list[str]:
    """Return the page of the state chart."""
    return [
        *write_title('Life cycle of a replica'),
        render_chart(load_chart('replica')),
    ]


PAGES = {
    'settings.rst': write_settings,
    'platform-settings.rst': write_gateway_settings,
    'resources.rst': write_resources,
    'events.rst': write_events,
    'refusals.rst': write_refusals,
    'metrics.rst': write_metrics,
    'replica.rst': write_chart,
}


def main() -> int:
    """Write the pages, or check them."""
    stale = []
    for name, write in PAGES.items():
        path = REFERENCE / name
        text = '\n'.join(write()).rstrip('\n') + '\n'
        if '--check' in sys.argv:
            if not path.exists() or path.read_text(encoding='utf-8') != text:
                stale.append(name)
        else:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, encoding='utf-8')
    for name in stale:
        print(f'docs/reference/{name} is stale; run python -m docs.generate')
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
