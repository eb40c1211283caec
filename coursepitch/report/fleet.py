"""Open groups per model and instances without a group over time, from log events."""

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
    """State of the instances at one moment.

    :param at: time in seconds, by the clock of the log.
    :param open_groups: number of open groups per model.
    :param free: number of instances without a group, in services that use groups.
    :param forming: number of instances in groups that are not open yet.
    """

    at: float
    open_groups: Mapping[str, int]
    free: int
    forming: int


@dataclass(frozen=True, slots=True)
class _InstanceState:
    group: str
    rank: int
    state: str
    models: tuple[str, ...]


def sample_fleet(entries: Iterable[Entry], step_s: float = 1.0) -> list[FleetSample]:
    """Return samples of the fleet, each taken just before a change.

    No samples are taken while nothing changes.

    :param step_s: minimum time between two samples in seconds.
    """
    instances: dict[str, _InstanceState] = {}
    samples: list[FleetSample] = []
    next_at: float | None = None
    for entry in sorted(entries, key=lambda item: item.at):
        if entry.name not in ('instance.changed', 'instance.gone'):
            continue
        if next_at is not None and entry.at >= next_at:
            samples.append(_take_sample(instances, entry.at))
        if next_at is None or entry.at >= next_at:
            next_at = entry.at + step_s
        _apply_change(instances, entry)
    if next_at is not None:
        samples.append(_take_sample(instances, next_at))
    return samples


def _apply_change(instances: dict[str, _InstanceState], entry: Entry) -> None:
    name = str(entry.details.get('instance', ''))
    if entry.name == 'instance.gone':
        instances.pop(name, None)
    elif entry.details.get('domain'):
        instances[name] = _InstanceState(
            str(entry.details.get('group', '')),
            int(entry.details.get('rank', 0)),
            str(entry.details.get('state', '')),
            tuple(entry.details.get('models', ())),
        )


def _take_sample(instances: Mapping[str, _InstanceState], at: float) -> FleetSample:
    open_names = {item.group for item in instances.values() if item.state == 'open'}
    models = Counter(
        item.models[0]
        for item in instances.values()
        if item.state == 'open' and item.models
    )
    free = sum(
        1 for item in instances.values() if not item.group or item.state == 'broken'
    )
    in_open = sum(1 for item in instances.values() if item.group in open_names)
    return FleetSample(at, dict(models), free, len(instances) - free - in_open)
