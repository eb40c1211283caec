"""Groups by model and instances without a group over time, from log lines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coursepitch.timeline import Entry

__all__ = ['FleetSample', 'sample_fleet']


@dataclass(frozen=True, slots=True)
class FleetSample:
    """The instances at one moment.

    :param open_groups: open groups by model.
    :param free: instances in no group, of a service that has groups.
    :param forming: instances in groups that are not open yet, beside members of
        open ones.
    """

    at: float
    open_groups: Mapping[str, int]
    free: int
    forming: int


@dataclass(frozen=True, slots=True)
class _Known:
    group: str
    rank: int
    state: str
    models: tuple[str, ...]


def sample_fleet(entries: Iterable[Entry], step_s: float = 1.0) -> list[FleetSample]:
    """Return the fleet before a change, at most one sample a step.

    Nothing is sampled while nothing changes, however long that is.
    """
    known: dict[str, _Known] = {}
    samples: list[FleetSample] = []
    next_at: float | None = None
    for entry in sorted(entries, key=lambda item: item.at):
        if entry.name not in ('instance.changed', 'instance.gone'):
            continue
        if next_at is not None and entry.at >= next_at:
            samples.append(_sample(known, entry.at))
        if next_at is None or entry.at >= next_at:
            next_at = entry.at + step_s
        _take(known, entry)
    if next_at is not None:
        samples.append(_sample(known, next_at))
    return samples


def _take(known: dict[str, _Known], entry: Entry) -> None:
    name = str(entry.details.get('instance', ''))
    if entry.name == 'instance.gone':
        known.pop(name, None)
    elif entry.details.get('domain'):
        known[name] = _Known(
            str(entry.details.get('group', '')),
            int(entry.details.get('rank', 0)),
            str(entry.details.get('state', '')),
            tuple(entry.details.get('models', ())),
        )


def _sample(known: Mapping[str, _Known], at: float) -> FleetSample:
    open_names = {item.group for item in known.values() if item.state == 'open'}
    models = Counter(
        item.models[0]
        for item in known.values()
        if item.state == 'open' and item.models
    )
    free = sum(1 for item in known.values() if not item.group or item.state == 'broken')
    in_open = sum(1 for item in known.values() if item.group in open_names)
    return FleetSample(at, dict(models), free, len(known) - free - in_open)
