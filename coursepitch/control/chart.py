"""State charts in files: reading, checking and stepping."""

from __future__ import annotations

from dataclasses import dataclass
from importlib import resources

from transitions import Machine

from coursepitch.config.options import parse_ini
from coursepitch.errors import ChartError

__all__ = ['Chart', 'draw_chart', 'load_chart', 'read_chart']


@dataclass(frozen=True, slots=True)
class Chart:
    """A chart: where each event leads from each state in which it may come."""

    name: str
    initial: str
    final: str
    states: dict[str, str]
    steps: dict[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str | None:
        """Return the state after an event, or ``None`` if it may not come there."""
        return self.steps.get((event, state))


def load_chart(name: str) -> Chart:
    """Load a chart that ships with the package.

    :raises ChartError: the file describes no usable chart.
    """
    path = resources.files('coursepitch.control') / 'charts' / f'{name}.ini'
    return read_chart(path.read_text(encoding='utf-8'), name)


def read_chart(text: str, name: str) -> Chart:
    """Read a chart and check that every state can be reached and left.

    :raises ChartError: it describes no usable chart.
    """
    sections = parse_ini(text, name).sections
    missing = {'chart', 'states', 'transitions'} - set(sections)
    if missing:
        raise ChartError(f'{name}: no section {", ".join(sorted(missing))}')
    states = sections['states']
    steps = {}
    for rule, target in sections['transitions'].items():
        event, _, source = rule.partition('.')
        steps[event, source] = target
    head = sections['chart']
    chart = Chart(head['name'], head['initial'], head['final'], states, steps)
    _check_chart(chart)
    return chart


def _check_chart(chart: Chart) -> None:
    named = {chart.initial, chart.final, *chart.steps.values()}
    named |= {source for _, source in chart.steps}
    unknown = named - set(chart.states)
    if unknown:
        raise ChartError(f'{chart.name}: unknown states {sorted(unknown)}')
    machine = build_machine(chart)
    for state in chart.states:
        if state != chart.final and not machine.get_transitions(source=state):
            raise ChartError(f'{chart.name}: no way out of {state}')
        if state != chart.initial and not machine.get_transitions(dest=state):
            raise ChartError(f'{chart.name}: no way into {state}')


def build_machine(chart: Chart) -> Machine:
    """Return the chart as a machine of the ``transitions`` library."""
    rows = [
        {'trigger': event, 'source': source, 'dest': target}
        for (event, source), target in chart.steps.items()
    ]
    return Machine(
        states=list(chart.states),
        initial=chart.initial,
        transitions=rows,
        auto_transitions=False,
    )


def draw_chart(chart: Chart) -> str:
    """Return the chart as a drawing and a table in reStructuredText."""
    width = max(len(state) for state in chart.states)
    lines = ['.. code-block:: text', '']
    for (event, source), target in chart.steps.items():
        arrow = f'--{event}'.ljust(12, '-') + '>'
        lines.append(f'   {source:>{width}} {arrow} {target}')
    lines += ['', '.. list-table::', '   :header-rows: 1', '']
    lines += ['   * - State', '     - Meaning', '     - Event → next state']
    for state, meaning in chart.states.items():
        ways = [
            f'{event} → {target}'
            for (event, source), target in chart.steps.items()
            if source == state
        ]
        lines += [f'   * - {state}', f'     - {meaning}', f'     - {", ".join(ways)}']
    return '\n'.join(lines) + '\n'
