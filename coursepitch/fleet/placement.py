"""Which free instances of a fabric domain form groups, and of which model.

A pure computation: groups form from instances that hold the weights already,
as far as there are any; the others load them onto their hosts first and stay
free meanwhile, so that whatever becomes possible sooner is not missed.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from coursepitch.config.routes import ModelProfile
    from coursepitch.fleet.instances import FleetInstance

__all__ = ['Formation', 'PlacementPlan', 'Staging', 'choose_second', 'count_targets']
__all__ += ['find_warmth', 'is_served', 'plan_domains']

#: Part of the instances that the measured work has to fill to be trusted fully.
TRUSTED_PART = 0.3

#: Groups that each model gets beforehand; the others are shared out by work.  With
#: groups in proportion to the work alone, what the loss of two leaves falls hardest on
#: the model of few large groups.  Requests of the larger model in time 0.87 in place of
#: 0.81, of the smaller one 0.95 both (162 instances in six domains, groups of 12 and 6,
#: two members lost every 3 s); 0.93 in place of 0.90, and 0.97 in place of 0.98, where
#: groups are of 8 and 4 (171 instances; simulated, 30 pairs each).
RESERVED_GROUPS = 2.0

#: Part of the instances that these may take up, so that a small fleet still follows
#: its work.
RESERVED_PART = 0.25

#: Difference of two models' shortages at which instances that hold the weights of
#: both wait for the shorter one, while its missing members load theirs.
RESERVED_GAP = 0.2


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
    far is small; once it fills a part of the instances, it decides, with some groups
    for each model beforehand.

    :param instances: instances that can be in groups.  None is kept as a spare:
        a group that lost a member is whole again from any instances of its domain
        that hold the weights, and an idle one serves nobody.
    :param work: work that arrives by model, in instance-seconds a second.
    """
    stated = sum(item.share for item in models) or 1.0
    measured = sum(work.get(item.name, 0.0) for item in models)
    trust = min(1.0, measured / max(1.0, instances * TRUSTED_PART))
    by_work = _share_by_work(models, instances, work)
    return {
        item.name: instances * item.share / stated / item.size * (1.0 - trust)
        + by_work.get(item.name, 0.0) * trust
        for item in models
    }


def _share_by_work(
    models: Sequence[ModelProfile], instances: int, work: Mapping[str, float]
) -> dict[str, float]:
    """Return the groups of each model that is asked for, by its work."""
    asked = [item for item in models if work.get(item.name, 0.0) > 0]
    measured = sum(work[item.name] for item in asked)
    size = sum(item.size for item in asked) or 1
    reserved = min(RESERVED_GROUPS, RESERVED_PART * instances / size)
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
    cold: bool,
    reserved: Mapping[str, str] = MappingProxyType({}),
) -> dict[str, PlacementPlan]:
    """Return what to do with the free instances of each fabric domain.

    The domains take turns, one group at a time, so that the instances that
    stay free are spread over them: a group finds spares in its own domain only.

    :param groups: groups of each model over all domains.
    :param cold: whether groups form from instances that hold no weights, as
        before the first request, when loads are fast.
    :param reserved: domains in which groups end for one of this model: what is
        free there waits for them.
    """
    left = {domain: list(items) for domain, items in free.items()}
    counts = dict(groups)
    formations: dict[str, list[Formation]] = {domain: [] for domain in free}
    placed = True
    while placed:
        placed = False
        # Beyond the targets groups form once no model is short: idle instances
        # would serve nobody.
        beyond = all(is_served(item, counts, targets) for item in models)
        for domain in sorted(left, key=lambda name: (-len(left[name]), name)):
            if domain in reserved:
                continue
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


def find_warmth(instance: FleetInstance, model: str) -> int:
    """Return 2 for weights in memory, 1 on the host, 0 for neither."""
    if model in instance.models or model == instance.last_model:
        return 2
    return 1 if model in instance.staged else 0


def is_served(
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

    :param beyond: whether all models have what is wanted, so that a group more
        takes nothing from another model.
    """
    ranked = sorted(models, key=lambda item: -_shortage(item, counts, targets))
    for model in ranked:
        bare = counts.get(model.name, 0) == 0
        if len(free) < model.size or targets.get(model.name, 0.0) <= 0:
            continue
        usable = free
        if is_served(model, counts, targets) and not (cold or beyond):
            continue
        if not cold and _gives_way(model, ranked[0], free, counts, targets):
            usable = [item for item in free if not find_warmth(item, ranked[0].name)]
        members = sorted(usable, key=lambda item: -find_warmth(item, model.name))
        chosen = members[: model.size]
        warm = all(find_warmth(item, model.name) for item in chosen)
        if len(chosen) == model.size and (warm or cold or bare):
            return Formation(model.name, tuple(item.name for item in chosen))
    return None


def _gives_way(
    model: ModelProfile,
    shorter: ModelProfile,
    free: Sequence[FleetInstance],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
) -> bool:
    """Whether a model leaves instances to a shorter one that they can complete."""
    if model is shorter or len(free) < shorter.size:
        return False
    gap = _shortage(shorter, counts, targets) - _shortage(model, counts, targets)
    return gap > RESERVED_GAP


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
        model.name: sum(1 for item in free if find_warmth(item, model.name))
        for model in models
    }
    stagings = []
    for instance in free:
        if any(find_warmth(instance, model.name) for model in models):
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
