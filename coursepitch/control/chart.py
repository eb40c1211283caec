"""Load, validate and render state charts defined in INI files."""

from __future__ import annotations

from dataclasses import dataclass
from importlib import resources

from transitions import Machine

from coursepitch.config.options import parse_ini
from coursepitch.errors import ChartError

__all__ = ['Chart', 'render_chart', 'load_chart', 'parse_chart']


@dataclass(frozen=True, slots=True)
class Chart:
    """A state chart, that is a finite state machine.

    :param states: description of each state, by its name.
    :param transitions: next state, by event and current state.
    """

    name: str
    initial: str
    final: str
    states: dict[str, str]
    transitions: dict[tuple[str, str], str]

    def next_state(self, state: str, event: str) -> str | None:
        """Return the next state, or ``None`` if the event is not allowed."""
        return self.transitions.get((event, state))


def load_chart(name: str) -> Chart:
    """Load a chart shipped with the package.

    :raises ChartError: the chart is invalid.
    """
    path = resources.files('coursepitch.control') / 'charts' / f'{name}.ini'
    return parse_chart(path.read_text(encoding='utf-8'), name)


def parse_chart(text: str, name: str) -> Chart:
    """Parse a chart and check that every state can be entered and left.

    :raises ChartError: the chart is invalid.
    """
    sections = parse_ini(text, name).sections
    missing = {'chart', 'states', 'transitions'} - set(sections)
    if missing:
        raise ChartError(f'{name}: missing section(s): {", ".join(sorted(missing))}')
    states = sections['states']
    transitions = {}
    for rule, target in sections['transitions'].items():
        event, _, source = rule.partition('.')
        transitions[event, source] = target
    chart_section = sections['chart']
    chart = Chart(
        chart_section['name'],
        chart_section['initial'],
        chart_section['final'],
        states,
        transitions,
    )
    _validate_chart(chart)
    return chart


def _validate_chart(chart: Chart) -> None:
    used_states = {chart.initial, chart.final, *chart.transitions.values()}
    used_states |= {source for _, source in chart.transitions}
    unknown = used_states - set(chart.states)
    if unknown:
        raise ChartError(f'{chart.name}: undefined states: {sorted(unknown)}')
    machine = build_machine(chart)
    for state in chart.states:
        if state != chart.final and not machine.get_transitions(source=state):
            raise ChartError(
                f'{chart.name}: state {state!r} has no outgoing transition'
            )
        if state != chart.initial and not machine.get_transitions(dest=state):
            raise ChartError(
                f'{chart.name}: state {state!r} has no incoming transition'
            )


def build_machine(chart: Chart) -> Machine:
    """Convert the chart to a ``Machine`` of the ``transitions`` library."""
    rows = [
        {'trigger': event, 'source': source, 'dest': target}
        for (event, source), target in chart.transitions.items()
    ]
    return Machine(
        states=list(chart.states),
        initial=chart.initial,
        transitions=rows,
        auto_transitions=False,
    )


def render_chart(chart: Chart) -> str:
    """Return the chart as a diagram and a table in reStructuredText."""
    width = max(len(state) for state in chart.states)
    lines = ['.. code-block:: text', '']
    for (event, source), target in chart.transitions.items():
        arrow = f'--{event}'.ljust(12, '-') + '>'
        lines.append(f'   {source:>{width}} {arrow} {target}')
    lines += ['', '.. list-table::', '   :header-rows: 1', '']
    lines += ['   * - State', '     - Meaning', '     - Event → next state']
    for state, meaning in chart.states.items():
        outgoing = [
            f'{event} → {target}'
            for (event, source), target in chart.transitions.items()
            if source == state
        ]
        lines += [
            f'   * - {state}',
            f'     - {meaning}',
            f'     - {", ".join(outgoing)}',
        ]
    return '\n'.join(lines) + '\n'
