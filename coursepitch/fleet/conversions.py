"""Conversion of groups to a model that has too few.

A pure computation like :mod:`coursepitch.fleet.placement`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.fleet.placement import find_weight_tier, meets_target

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from coursepitch.config.routes import ModelProfile
    from coursepitch.fleet.instances import FleetInstance

__all__ = ['Conversion', 'ConvertibleGroup', 'choose_conversion']

#: Minimum reduction of the shortage by a conversion, to justify its cost: its instances
#: serve no requests for two to three seconds.
CONVERSION_GAIN = 0.15

#: Maximum number of groups ended for one group of another model, unless that model has
#: no group at all.
MAX_ENDED_GROUPS = 3


@dataclass(frozen=True, slots=True)
class ConvertibleGroup:
    """An open group that a conversion may end."""

    name: str
    model: str
    members: tuple[FleetInstance, ...]


@dataclass(frozen=True, slots=True)
class Conversion:
    """Groups of a fabric domain to end, so that one of another model can form."""

    domain: str
    model: str
    ended: tuple[str, ...]


def choose_conversion(
    free: Mapping[str, Sequence[FleetInstance]],
    standing: Mapping[str, Sequence[ConvertibleGroup]],
    models: Sequence[ModelProfile],
    groups: Mapping[str, int],
    targets: Mapping[str, float],
) -> Conversion | None:
    """Return the conversion that reduces the shortage most over all domains.

    ``None`` if no conversion reduces it by ``CONVERSION_GAIN``, or gives its first
    group to a model.

    :param free: free instances by fabric domain.
    :param standing: open groups by fabric domain.
    :param groups: groups of each model over all domains.
    :param targets: wanted number of groups by model.
    """
    absent = [
        item
        for item in models
        if not groups.get(item.name, 0) and not meets_target(item, groups, targets)
    ]
    # Free instances form the first group of a model, with its weights or without.
    if any(len(items) >= item.size for item in absent for items in free.values()):
        return None
    # A model without any group, as after the loss of a zone, gets one whatever the
    # shortage of the others; instances that hold its weights are preferred.
    for allow_unloaded in (False, True) if absent else ():
        found = _choose_best(
            free,
            standing,
            models,
            groups,
            targets,
            wanted=absent,
            allow_unloaded=allow_unloaded,
        )
        if found is not None:
            return found
    return _choose_best(
        free, standing, models, groups, targets, wanted=models, allow_unloaded=False
    )


def _choose_best(
    free: Mapping[str, Sequence[FleetInstance]],
    standing: Mapping[str, Sequence[ConvertibleGroup]],
    models: Sequence[ModelProfile],
    groups: Mapping[str, int],
    targets: Mapping[str, float],
    *,
    wanted: Sequence[ModelProfile],
    allow_unloaded: bool,
) -> Conversion | None:
    """Return the best conversion to one of the wanted models.

    It need not reduce the shortage if none of these has a group.

    :param allow_unloaded: whether instances without the model's weights count.
    """
    best: Conversion | None = None
    least = _compute_shortage(models, groups, targets) - CONVERSION_GAIN
    if not any(groups.get(item.name, 0) for item in wanted):
        least = float('inf')
    for domain, instances in free.items():
        for model in wanted:
            if meets_target(model, groups, targets):
                continue
            others = [
                item for item in standing.get(domain, ()) if item.model != model.name
            ]
            ended = _choose_ended(
                model,
                instances,
                others,
                has_no_group=groups.get(model.name, 0) == 0,
                allow_unloaded=allow_unloaded,
            )
            if not ended:
                continue
            after = _count_groups_after(model, instances, ended, models, groups)
            loss = _compute_shortage(models, after, targets)
            if loss < least and all(after[item.model] > 0 for item in ended):
                least = loss
                names = tuple(item.name for item in ended)
                best = Conversion(domain, model.name, names)
    return best


def _compute_shortage(
    models: Sequence[ModelProfile],
    counts: Mapping[str, int],
    targets: Mapping[str, float],
) -> float:
    """Return the shortage: 1 if the groups meet the targets, more if they don't.

    A model's contribution grows with the square of the load per group.
    """
    sizes = {item.name: targets.get(item.name, 0.0) * item.size for item in models}
    total = sum(sizes.values()) or 1.0
    return sum(
        sizes[item.name]
        / total
        * (targets.get(item.name, 0.0) / max(0.5, counts.get(item.name, 0))) ** 2
        for item in models
    )


def _choose_ended(
    model: ModelProfile,
    free: Sequence[FleetInstance],
    others: Sequence[ConvertibleGroup],
    *,
    has_no_group: bool,
    allow_unloaded: bool,
) -> list[ConvertibleGroup]:
    """Return the fewest groups whose members complete a new group, or none.

    For a model without any group, as after the loss of a zone, as many groups as needed
    are ended: three groups of 4 never complete one of 16.
    """

    def count_able(instances: Sequence[FleetInstance]) -> int:
        return sum(
            1
            for item in instances
            if allow_unloaded or find_weight_tier(item, model.name)
        )

    missing = model.size - count_able(free)
    ended: list[ConvertibleGroup] = []
    for group in sorted(
        others, key=lambda item: (-count_able(item.members), item.name)
    ):
        full = len(ended) == MAX_ENDED_GROUPS and not has_no_group
        if missing <= 0 or full:
            break
        missing -= count_able(group.members)
        ended.append(group)
    return ended if missing <= 0 else []


def _count_groups_after(
    model: ModelProfile,
    free: Sequence[FleetInstance],
    ended: Sequence[ConvertibleGroup],
    models: Sequence[ModelProfile],
    groups: Mapping[str, int],
) -> dict[str, int]:
    """Return the number of groups of each model after a conversion.

    The remaining instances form other groups as far as possible.
    """
    after = {item.name: groups.get(item.name, 0) for item in models}
    pool = [*free, *(item for group in ended for item in group.members)]
    for group in ended:
        after[group.model] -= 1
    after[model.name] += 1
    used = sorted(pool, key=lambda item: -find_weight_tier(item, model.name))[
        : model.size
    ]
    taken = {item.name for item in used}
    left = [item for item in pool if item.name not in taken]
    for other in models:
        if other.name != model.name and ended and other.name == ended[0].model:
            able = sum(1 for item in left if find_weight_tier(item, other.name))
            after[other.name] += able // other.size
    return after
