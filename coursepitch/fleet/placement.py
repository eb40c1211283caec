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

__all__ = ['Formation', 'PlacementPlan', 'Staging', 'choose_draft', 'choose_second']
__all__ += ['count_targets', 'holds_model', 'plan_domains']

#: Part of the instances that the measured work has to fill to be trusted fully.
TRUSTED_PART = 0.3

#: Difference of two models' shortages at which one gives a group to the other.
DRAFT_GAP = 0.2


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
    models: Sequence[ModelProfile], instances: int, work: Mapping[str, float]
) -> dict[str, float]:
    """Return how many groups of each model are wanted.

    The operators' shares are taken for granted as far as the work measured so
    far is small; once it fills a part of the instances, it decides.

    :param instances: instances that can be in groups.  None is kept as a spare:
        a group that lost a member is whole again from any instances of its domain
        that hold the weights, and an idle one serves nobody.
    :param work: work that arrives by model, in instance-seconds a second.
    """
    stated = sum(item.share for item in models) or 1.0
    measured = sum(work.get(item.name, 0.0) for item in models)
    trust = min(1.0, measured / max(1.0, instances * TRUSTED_PART))
    targets = {}
    for item in models:
        share = item.share / stated * (1.0 - trust)
        if measured > 0:
            share += work.get(item.name, 0.0) / measured * trust
        targets[item.name] = instances * share / item.size
    return targets


def plan_domains(
    free: Mapping[str, Sequence[FleetInstance]],
    models: Sequence[ModelProfile],
    groups: Mapping[str, int],
    targets: Mapping[str, float],
    *,
    cold: bool,
) -> dict[str, PlacementPlan]:
    """Return what to do with the free instances of each fabric domain.

    The domains take turns, one group at a time, so that the instances that
    stay free are spread over them: a group finds spares in its own domain only.

    :param groups: groups of each model over all domains.
    :param cold: whether groups form from instances that hold no weights, as
        before the first request, when loads are fast.
    """
    left = {domain: list(items) for domain, items in free.items()}
    counts = dict(groups)
    formations: dict[str, list[Formation]] = {domain: [] for domain in free}
    placed = True
    while placed:
        placed = False
        # Beyond the targets groups form of what nobody is short of, or when all
        # weights are near: what stays idle would serve nobody.
        beyond = all(_is_served(item, counts, targets) for item in models)
        for domain in sorted(left, key=lambda name: (-len(left[name]), name)):
            found = _choose_formation(
                left[domain], models, counts, targets, cold=cold, beyond=beyond
            )
            if found is None:
                continue
            placed = True
            formations[domain].append(found)
            counts[found.model] = counts.get(found.model, 0) + 1
            left[domain] = [
                item for item in left[domain] if item.name not in found.members
            ]
    return {
        domain: PlacementPlan(
            tuple(formations[domain]), _choose_stagings(rest, models, counts, targets)
        )
        for domain, rest in left.items()
    }


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
    if model in instance.models or model == instance.last_model:
        return 2
    return 1 if model in instance.staged else 0


def holds_model(instance: FleetInstance, model: str) -> bool:
    """Whether an instance joins a group of a model without a load."""
    return _warmth(instance, model) > 0


def _is_served(
    model: ModelProfile, counts: Mapping[str, int], targets: Mapping[str, float]
) -> bool:
    """Whether a model has the groups that are wanted for it."""
    return counts.get(model.name, 0) + ROUNDING > targets.get(model.name, 0.0)


def _choose_formation(
    free: Sequence[FleetInstance],
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
    *,
    cold: bool,
    beyond: bool,
) -> Formation | None:
    """Return a group to form from free instances, of the shortest model that can.

    :param beyond: whether a group more than wanted forms too.
    """
    ranked = sorted(models, key=lambda item: -_shortage(item, counts, targets))
    for model in ranked:
        bare = counts.get(model.name, 0) == 0
        wanted = targets.get(model.name, 0.0) > 0
        spare = _is_served(model, counts, targets) and not (cold or beyond)
        if len(free) < model.size or not wanted or spare:
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
    """Return weights to load so that free instances can complete groups.

    Instances without any weights load those of the model that is closest to a
    whole group here, the larger one first: it is the harder to complete.
    """
    have = {
        model.name: sum(1 for item in free if _warmth(item, model.name))
        for model in models
    }
    stagings = []
    for instance in free:
        if any(_warmth(instance, model.name) for model in models):
            continue
        wanted = [item for item in models if targets.get(item.name, 0.0) > 0]
        if not wanted:
            break
        model = max(
            wanted,
            key=lambda item: (
                0 < have[item.name] < item.size,
                item.size,
                _shortage(item, counts, targets),
            ),
        )
        stagings.append(Staging(instance.name, model.name))
        have[model.name] += 1
    return tuple(stagings)


def choose_second(
    instance: FleetInstance, models: Sequence[ModelProfile]
) -> Staging | None:
    """Return the weights that an instance lacks to serve either model.

    A host keeps one model, so only what it holds in memory as well may give way.
    """
    held = set(instance.models) or {instance.last_model} - {''}
    if not held or instance.staged - held:
        return None
    missing = [item for item in models if item.name not in held]
    if not missing:
        return None
    return Staging(instance.name, max(missing, key=lambda item: item.size).name)


def choose_draft(
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
) -> tuple[ModelProfile, ModelProfile] | None:
    """Return the model that needs a group most and the one that can give one up."""
    ranked = sorted(models, key=lambda item: _shortage(item, counts, targets))
    if len(ranked) < 2:
        return None
    donor, needy = ranked[0], ranked[-1]
    after = dict(counts)
    after[donor.name] = counts.get(donor.name, 0) - 1
    if after[donor.name] < 1:
        return None
    gap = _shortage(needy, counts, targets) - _shortage(donor, after, targets)
    return (needy, donor) if gap > DRAFT_GAP else None
