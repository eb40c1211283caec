"""Assignment of the free instances of a fabric domain to new groups.

This is a pure computation.  Groups form from instances that already hold a model's
weights.  Other instances first load weights onto their hosts and stay free while
they do, so that they can still join any group that can form sooner.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from coursepitch.config.routes import ModelProfile
    from coursepitch.fleet.instances import FleetInstance

__all__ = [
    'Formation',
    'PlacementPlan',
    'Staging',
    'choose_second_weights',
    'count_targets',
]
__all__ += ['find_weight_tier', 'meets_target', 'plan_domains']

#: Fraction of the instances that the measured work must fill before targets follow
#: it alone and the configured shares no longer count.
FULL_TRUST_FRACTION = 0.3

#: Groups that each model gets before the rest are divided in proportion to work.  With
#: proportional targets alone, losing two groups hurts a model with few large groups
#: most.
BASE_GROUPS = 2.0

#: Largest fraction of the instances that these groups may use, so that targets in a
#: small fleet still follow its work.
BASE_GROUPS_FRACTION = 0.25

#: Difference in shortage above which instances that hold the weights of two models are
#: kept for the one that is shorter of groups, while its other members load weights.
YIELD_SHORTAGE_GAP = 0.2

#: A model meets its target if it lacks less than this fraction of a group.
TARGET_TOLERANCE = 0.5


@dataclass(frozen=True, slots=True)
class Formation:
    """A group to form.

    :param members: names of the instances, the head first.
    """

    model: str
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Staging:
    """A model's weights to load onto an instance's host."""

    instance: str
    model: str


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """Groups to form and weights to load in one fabric domain."""

    formations: tuple[Formation, ...] = ()
    stagings: tuple[Staging, ...] = ()


def count_targets(
    models: Sequence[ModelProfile], instances: int, work: Mapping[str, float]
) -> dict[str, float]:
    """Return the target number of groups of each model; it may be fractional.

    While little work has been measured, the configured shares decide.  As measured work
    grows to :data:`FULL_TRUST_FRACTION` of the instances, it replaces them, with a few
    groups reserved for each model.

    :param instances: number of instances that can be in groups.  No spares are set
        aside: a group that lost a member can be formed again from any instances of
        its domain that hold the weights, and idle instances serve no requests.
    :param work: arriving work by model, in instance-seconds per second.
    """
    stated = sum(item.share for item in models) or 1.0
    measured = sum(work.get(item.name, 0.0) for item in models)
    trust = min(1.0, measured / max(1.0, instances * FULL_TRUST_FRACTION))
    by_work = _divide_by_work(models, instances, work)
    return {
        item.name: instances * item.share / stated / item.size * (1.0 - trust)
        + by_work.get(item.name, 0.0) * trust
        for item in models
    }


def _divide_by_work(
    models: Sequence[ModelProfile], instances: int, work: Mapping[str, float]
) -> dict[str, float]:
    """Return the target number of groups of each model that has work."""
    asked = [item for item in models if work.get(item.name, 0.0) > 0]
    measured = sum(work[item.name] for item in asked)
    size = sum(item.size for item in asked) or 1
    reserved = min(BASE_GROUPS, BASE_GROUPS_FRACTION * instances / size)
    left = instances - reserved * size
    return {
        item.name: reserved + left * work[item.name] / measured / item.size
        for item in asked
    }


def plan_domains(
    free: Mapping[str, Sequence[FleetInstance]],
    models: Sequence[ModelProfile],
    groups: Mapping[str, int],
    targets: Mapping[str, float],
    *,
    allow_unloaded: bool,
    reserved: Mapping[str, str] = MappingProxyType({}),
) -> dict[str, PlacementPlan]:
    """Return the placement plan of each fabric domain.

    Domains are served round-robin, one group at a time, so that the remaining free
    instances are spread over them: a group can only be completed from its own domain.

    :param free: free instances by fabric domain.
    :param groups: number of groups of each model over all domains.
    :param targets: wanted number of groups of each model.
    :param allow_unloaded: whether groups may form from instances that hold no weights,
        as before the first request, when loads are fast.
    :param reserved: by fabric domain, the model for which groups are being ended
        there; free instances of these domains are kept for it.
    """
    left = {domain: list(items) for domain, items in free.items()}
    counts = dict(groups)
    formations: dict[str, list[Formation]] = {domain: [] for domain in free}
    placed = True
    while placed:
        placed = False
        # Once every model meets its target, surplus groups form, since idle
        # instances would serve no requests.
        allow_surplus = all(meets_target(item, counts, targets) for item in models)
        for domain in sorted(left, key=lambda name: (-len(left[name]), name)):
            if domain in reserved:
                continue
            found = _choose_formation(
                left[domain],
                models,
                counts,
                targets,
                allow_unloaded=allow_unloaded,
                allow_surplus=allow_surplus,
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


def _find_shortage(
    model: ModelProfile, counts: Mapping[str, int], targets: Mapping[str, float]
) -> float:
    """Return the fraction of its target that a model lacks; -1 without a target."""
    target = targets.get(model.name, 0.0)
    if target <= 0:
        return -1.0
    return (target - counts.get(model.name, 0)) / target


def find_weight_tier(instance: FleetInstance, model: str) -> int:
    """Return 2 if an instance holds weights in memory, 1 on its host, else 0."""
    if model in instance.models or model == instance.last_model:
        return 2
    return 1 if model in instance.staged else 0


def meets_target(
    model: ModelProfile, counts: Mapping[str, int], targets: Mapping[str, float]
) -> bool:
    """Whether a model has its target number of groups, rounded."""
    return counts.get(model.name, 0) + TARGET_TOLERANCE > targets.get(model.name, 0.0)


def _choose_formation(
    free: Sequence[FleetInstance],
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
    *,
    allow_unloaded: bool,
    allow_surplus: bool,
) -> Formation | None:
    """Return a group to form, of the model with the largest shortage that can.

    :param allow_surplus: whether all models meet their targets, so that a surplus group
        takes no instances that another model needs.
    """
    ranked = sorted(models, key=lambda item: -_find_shortage(item, counts, targets))
    for model in ranked:
        has_no_group = counts.get(model.name, 0) == 0
        if len(free) < model.size or targets.get(model.name, 0.0) <= 0:
            continue
        usable = free
        if meets_target(model, counts, targets) and not (
            allow_unloaded or allow_surplus
        ):
            continue
        if not allow_unloaded and _must_yield(model, ranked[0], free, counts, targets):
            usable = [
                item for item in free if not find_weight_tier(item, ranked[0].name)
            ]
        members = sorted(usable, key=lambda item: -find_weight_tier(item, model.name))
        chosen = members[: model.size]
        warm = all(find_weight_tier(item, model.name) for item in chosen)
        if len(chosen) == model.size and (warm or allow_unloaded or has_no_group):
            return Formation(model.name, tuple(item.name for item in chosen))
    return None


def _must_yield(
    model: ModelProfile,
    shorter: ModelProfile,
    free: Sequence[FleetInstance],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
) -> bool:
    """Whether a model must leave instances that a shorter model can use."""
    if model is shorter or len(free) < shorter.size:
        return False
    gap = _find_shortage(shorter, counts, targets) - _find_shortage(
        model, counts, targets
    )
    return gap > YIELD_SHORTAGE_GAP


def _choose_stagings(
    free: Sequence[FleetInstance],
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
) -> tuple[Staging, ...]:
    """Return the weights to load so that free instances can complete groups.

    An instance without weights loads those of a model that has some, but too few,
    instances here; the model with the larger groups comes first, as these are harder
    to complete.
    """
    have = {
        model.name: sum(1 for item in free if find_weight_tier(item, model.name))
        for model in models
    }
    stagings = []
    for instance in free:
        if any(find_weight_tier(instance, model.name) for model in models):
            continue
        wanted = [item for item in models if targets.get(item.name, 0.0) > 0]
        if not wanted:
            break
        model = max(
            wanted,
            key=lambda item: (
                0 < have[item.name] < item.size,
                item.size,
                _find_shortage(item, counts, targets),
            ),
        )
        stagings.append(Staging(instance.name, model.name))
        have[model.name] += 1
    return tuple(stagings)


def choose_second_weights(
    instance: FleetInstance, models: Sequence[ModelProfile]
) -> Staging | None:
    """Return the weights of a second model to load onto an instance's host.

    Returns ``None`` if the instance holds all models, holds none in memory, or if its
    host keeps weights that are not in memory too: a host keeps one model, and only
    weights that are also in memory may be replaced.
    """
    held = set(instance.models) or {instance.last_model} - {''}
    if not held or instance.staged - held:
        return None
    missing = [item for item in models if item.name not in held]
    if not missing:
        return None
    return Staging(instance.name, max(missing, key=lambda item: item.size).name)
