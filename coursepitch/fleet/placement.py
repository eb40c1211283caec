"""Which free instances of a fabric domain form groups, and of which model.

A pure computation: groups form from instances that hold the weights already,
as far as there are any; the others load them onto their hosts first and stay
free meanwhile, so that whatever becomes possible sooner is not missed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from coursepitch.config.routes import ModelProfile
    from coursepitch.fleet.instances import FleetInstance

__all__ = ['Formation', 'PlacementPlan', 'Staging', 'count_targets', 'plan_domain']

#: Share of the instances kept free, with weights on their hosts, to replace
#: members that fail.  Source: on the users' standard days a member is lost every
#: three seconds, and a load takes 12 to 16 s.
SPARE_SHARE = 0.2


#: Part of a group that has to be wanted for it to form.
ROUNDING = 0.5


@dataclass(frozen=True, slots=True)
class Formation:
    """A group to form; the head comes first."""

    model: str
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Staging:
    """Weights to load onto an instance's host."""

    instance: str
    model: str


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """What to do in one fabric domain."""

    formations: tuple[Formation, ...] = ()
    stagings: tuple[Staging, ...] = ()


def count_targets(
    models: Sequence[ModelProfile], instances: int, demand: Mapping[str, float]
) -> dict[str, float]:
    """Return how many groups of each model are wanted.

    :param instances: instances that can be in groups, spares among them.
    :param demand: share of the work by model; the profile's own where absent.
    """
    shares = {item.name: demand.get(item.name, item.share) for item in models}
    total = sum(shares.values()) or 1.0
    used = instances * (1.0 - SPARE_SHARE)
    return {item.name: used * shares[item.name] / total / item.size for item in models}


def plan_domain(
    free: Sequence[FleetInstance],
    models: Sequence[ModelProfile],
    groups: Mapping[str, int],
    targets: Mapping[str, float],
    *,
    cold: bool,
) -> PlacementPlan:
    """Return what to do with the free instances of one fabric domain.

    :param groups: groups of each model over all domains.
    :param cold: whether groups form from instances that hold no weights, as
        before the first request, when loads are fast.
    """
    left = list(free)
    counts = dict(groups)
    formations: list[Formation] = []
    while True:
        found = _choose_formation(left, models, counts, targets, cold)
        if found is None:
            break
        formations.append(found)
        counts[found.model] = counts.get(found.model, 0) + 1
        left = [item for item in left if item.name not in found.members]
    stagings = _choose_stagings(left, models, counts, targets)
    return PlacementPlan(tuple(formations), stagings)


def _shortage(
    model: ModelProfile, counts: Mapping[str, int], targets: Mapping[str, float]
) -> float:
    """Return how short a model is of groups: 1 without any, 0 with all."""
    target = targets.get(model.name, 0.0)
    if target <= 0:
        return -1.0
    return (target - counts.get(model.name, 0)) / target


def _warmth(instance: FleetInstance, model: str) -> int:
    """Return 2 for weights in memory, 1 on the host, 0 for neither."""
    if model in instance.models:
        return 2
    return 1 if model in instance.staged else 0


def _choose_formation(
    free: Sequence[FleetInstance],
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
    cold: bool,
) -> Formation | None:
    ranked = sorted(models, key=lambda item: -_shortage(item, counts, targets))
    for model in ranked:
        count = counts.get(model.name, 0)
        bare = count == 0
        if len(free) < model.size or count + ROUNDING > targets.get(model.name, 0.0):
            continue
        members = sorted(free, key=lambda item: -_warmth(item, model.name))
        chosen = members[: model.size]
        warm = all(_warmth(item, model.name) for item in chosen)
        if len(chosen) == model.size and (warm or cold or bare):
            return Formation(model.name, tuple(item.name for item in chosen))
    return None


def _choose_stagings(
    free: Sequence[FleetInstance],
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
) -> tuple[Staging, ...]:
    """Return weights to load so that free instances can complete groups."""
    have = {
        model.name: sum(1 for item in free if _warmth(item, model.name))
        for model in models
    }
    bare = [
        item for item in free if not any(_warmth(item, model.name) for model in models)
    ]
    stagings = []
    for instance in bare:
        ranked = sorted(
            models,
            key=lambda item: (
                min(have[item.name], item.size) / item.size,
                -_shortage(item, counts, targets),
            ),
        )
        # The model that is closest to whole, if one has survivors here; else
        # the one with the fewest spares.
        partial = [item for item in models if 0 < have[item.name] < item.size]
        model = max(partial, key=lambda item: have[item.name]) if partial else ranked[0]
        stagings.append(Staging(instance.name, model.name))
        have[model.name] += 1
    return tuple(stagings)
