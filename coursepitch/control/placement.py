"""Plan which instances form which replicas, without side effects.

The objective is a weighted sum of costs: groups without an active replica, missing
replicas, accelerators stranded in fragments, and model loads.  The planner is
greedy: it repeatedly takes the step that lowers the objective most, until no step
lowers it.  Source: design note ``placement``.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, replace
from typing import TYPE_CHECKING, Any

from coursepitch.config.resources import Group
from coursepitch.errors import CodecError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coursepitch.config.settings import PlacementSettings

__all__ = [
    'Candidate',
    'Fleet',
    'PlacedReplica',
    'Plan',
    'FreeInstance',
    'compute_objective',
    'count_stranded',
    'fleet_to_dict',
    'plan_placement',
    'fleet_from_dict',
]

#: States in which a replica counts towards the size of its group.
_ACTIVE_STATES = ('claimed', 'loading', 'serving')

#: Cost of each replica in an availability zone that already has one of its group.
_SAME_ZONE_COST = 0.01

#: Cost, in addition to that of its load, of a replica that does not yet run the
#: requested version.
_OUTDATED_COST = 0.2


@dataclass(frozen=True, slots=True)
class FreeInstance:
    """A live instance that is not claimed by any replica."""

    name: str
    domain: str
    availability_zone: str
    accelerators: int = 2


@dataclass(frozen=True, slots=True)
class PlacedReplica:
    """A claimed replica.

    :param leaving: whether a member is about to leave.
    :param settled: whether the replica has served with all members healthy for long
        enough that every node knows of it.
    """

    name: str
    group: str
    domain: str
    state: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    availability_zone: str = ''
    leaving: bool = False
    settled: bool = True

    @property
    def is_active(self) -> bool:
        """Whether the replica serves or is going to serve."""
        return self.state in _ACTIVE_STATES and not self.leaving


@dataclass(frozen=True, slots=True)
class Fleet:
    """Input of the planner."""

    groups: Mapping[str, Group]
    spares: tuple[FreeInstance, ...]
    replicas: tuple[PlacedReplica, ...]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A step considered by the planner, with the objective after the step."""

    action: str
    group: str
    domain: str
    replica: str
    instances: tuple[str, ...]
    objective: float
    why: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The chosen and rejected steps, and the objective before and after."""

    steps: tuple[Candidate, ...]
    rejected: tuple[Candidate, ...]
    before: float
    after: float


def plan_placement(fleet: Fleet, weights: PlacementSettings) -> Plan:
    """Return the steps that lower the objective most.

    Replicas are retired first: those of removed groups, surplus or outdated ones and
    those with leaving members.  Then new replicas are formed one at a time.
    """
    before = compute_objective(fleet, weights)
    steps = list(_list_retirements(fleet, before))
    rejected: list[Candidate] = []
    retired = {step.replica for step in steps}
    fleet = replace(
        fleet,
        replicas=tuple(item for item in fleet.replicas if item.name not in retired),
    )
    loading = sum(item.state in ('claimed', 'loading') for item in fleet.replicas)
    current = compute_objective(fleet, weights)
    while loading < weights.loads_at_once:
        candidates = sorted(_list_formations(fleet, weights), key=_candidate_sort_key)
        if not candidates or candidates[0].objective >= current:
            rejected.extend(candidates)
            break
        best, *others = candidates
        rejected.extend(others)
        steps.append(best)
        fleet = _apply_formation(fleet, best)
        current = best.objective
        loading += 1
    else:
        candidates = sorted(_list_formations(fleet, weights), key=_candidate_sort_key)
        rejected.extend(
            replace(item, why='too many replicas load at once') for item in candidates
        )
    steps.extend(_choose_preemption(fleet, weights, current))
    return Plan(tuple(steps), tuple(rejected), before, current)


def _candidate_sort_key(item: Candidate) -> tuple[float, str, str]:
    return (item.objective, item.group, item.domain)


def compute_objective(fleet: Fleet, weights: PlacementSettings) -> float:
    """Return the objective of a fleet; lower is better."""
    total = 0.0
    for name, group in fleet.groups.items():
        group_replicas = [item for item in fleet.replicas if item.group == name]
        active = sum(item.is_active for item in group_replicas)
        missing = max(0, group.replicas - active)
        total += weights.shortage_weight * missing
        if missing and not active:
            total += weights.downtime_weight
        zones = {item.availability_zone for item in group_replicas if item.is_active}
        total += _SAME_ZONE_COST * max(0, active - len(zones))
        current = sum(
            item.is_active and _is_current(item, group) for item in group_replicas
        )
        outdated = max(0, group.replicas - current)
        total += (weights.load_weight + _OUTDATED_COST) * outdated
    total += weights.stranded_weight * count_stranded(fleet)
    loads = sum(item.state == 'claimed' for item in fleet.replicas)
    return total + weights.load_weight * loads


def count_stranded(fleet: Fleet) -> int:
    """Return the number of accelerators that no further replica can use.

    In each domain, the free instances that remain after division by the smallest
    replica size are stranded.
    """
    sizes = [group.instances for group in fleet.groups.values() if group.replicas]
    if not sizes:
        return 0
    smallest = min(sizes)
    stranded = 0
    for spares in _group_spares(fleet.spares).values():
        left = len(spares) % smallest
        stranded += sum(item.accelerators for item in spares[:left])
    return stranded


def _group_spares(spares: Iterable[FreeInstance]) -> dict[str, list[FreeInstance]]:
    domains: dict[str, list[FreeInstance]] = {}
    for spare in spares:
        domains.setdefault(spare.domain, []).append(spare)
    return domains


def _list_retirements(fleet: Fleet, objective: float) -> Iterable[Candidate]:
    """Return the replicas to retire.

    Outdated serving replicas are limited by the unavailability that their group
    allows.
    """

    def retire(item: PlacedReplica, why: str) -> Candidate:
        return Candidate(
            'retire', item.group, item.domain, item.name, (), objective, why
        )

    for name in sorted({item.group for item in fleet.replicas}):
        group = fleet.groups.get(name)
        active = [
            item
            for item in fleet.replicas
            if item.group == name and item.state in _ACTIVE_STATES
        ]
        if group is None:
            yield from (retire(item, 'no such group') for item in active)
            continue
        yield from (retire(item, 'leaving') for item in active if item.leaving)
        active = [item for item in active if not item.leaving]
        current = [item for item in active if _is_current(item, group)]
        outdated = [item for item in active if not _is_current(item, group)]
        surplus = len(current) - group.replicas
        for item in sorted(current, key=_retirement_sort_key)[: max(0, surplus)]:
            yield retire(item, 'surplus')
        yield from (
            retire(item, 'version')
            for item in _choose_outdated(group, current, outdated)
        )


def _choose_outdated(
    group: Group, current: list[PlacedReplica], outdated: list[PlacedReplica]
) -> list[PlacedReplica]:
    """Return the outdated replicas that may be retired now."""
    not_serving = [item for item in outdated if item.state != 'serving']
    serving_outdated = [item for item in outdated if item.state == 'serving']
    settled = [item for item in current if item.state == 'serving' and item.settled]
    serving = len(serving_outdated) + len(settled)
    min_serving = max(0, group.replicas - group.max_unavailable)
    max_retired = max(0, serving - min_serving)
    return (
        not_serving + sorted(serving_outdated, key=_retirement_sort_key)[:max_retired]
    )


def _is_current(item: PlacedReplica, group: Group) -> bool:
    return (item.model, item.version, item.adapters) == (
        group.model,
        group.version,
        group.adapters,
    )


def _retirement_sort_key(item: PlacedReplica) -> tuple[bool, str]:
    return (item.state == 'serving', item.name)


def _list_formations(fleet: Fleet, weights: PlacementSettings) -> Iterable[Candidate]:
    """Return the replicas that can be formed now, with the objective after each.

    One candidate is returned for each group that lacks replicas and each domain with
    enough free instances.
    """
    domains = _group_spares(fleet.spares)
    for name, group in sorted(fleet.groups.items()):
        placed = sum(
            item.is_active and _is_current(item, group)
            for item in fleet.replicas
            if item.group == name
        )
        if placed >= group.replicas:
            continue
        for domain, spares in sorted(domains.items()):
            zone = spares[0].availability_zone
            if group.zones and zone not in group.zones:
                continue
            if len(spares) < group.instances:
                continue
            chosen = tuple(item.name for item in spares[: group.instances])
            candidate = Candidate('form', name, domain, '', chosen, 0.0, 'short')
            after = compute_objective(_apply_formation(fleet, candidate), weights)
            yield replace(candidate, objective=after)


def _apply_formation(fleet: Fleet, step: Candidate) -> Fleet:
    group = fleet.groups[step.group]
    zone = next(
        item.availability_zone for item in fleet.spares if item.name in step.instances
    )
    placed = PlacedReplica(
        f'planned-{len(fleet.replicas)}',
        step.group,
        step.domain,
        'claimed',
        group.model,
        group.version,
        group.adapters,
        zone,
    )
    spares = tuple(item for item in fleet.spares if item.name not in step.instances)
    return replace(fleet, spares=spares, replicas=(*fleet.replicas, placed))


def _choose_preemption(
    fleet: Fleet, weights: PlacementSettings, current: float
) -> list[Candidate]:
    """Return a replica to retire in favor of a group that has none, if worthwhile.

    The donor group keeps at least one replica.  The gain is the downtime weight
    less the weight of one load.
    """
    groups_down = [
        name
        for name, group in fleet.groups.items()
        if group.replicas
        and not any(i.is_active for i in fleet.replicas if i.group == name)
    ]
    freeing = any(item.state in ('draining', 'releasing') for item in fleet.replicas)
    if not groups_down or freeing:
        return []
    gain = weights.downtime_weight - weights.load_weight
    if gain <= 0:
        return []
    name = sorted(groups_down)[0]
    recipient = fleet.groups[name]
    for item in sorted(fleet.replicas, key=_retirement_sort_key, reverse=True):
        donor = fleet.groups.get(item.group)
        serving = sum(i.group == item.group and i.is_active for i in fleet.replicas)
        if donor is None or not item.is_active or serving < 2:
            continue
        fits = donor.instances >= recipient.instances
        zone_fits = not recipient.zones or item.availability_zone in recipient.zones
        if fits and zone_fits:
            why = f'group {name} has no replica'
            return [
                Candidate(
                    'retire',
                    item.group,
                    item.domain,
                    item.name,
                    (),
                    current - gain,
                    why,
                )
            ]
    return []


def fleet_to_dict(fleet: Fleet) -> dict[str, Any]:
    """Convert a fleet to plain data, the format recorded by ``coursepitch plan``."""
    return {
        'groups': {name: asdict(group) for name, group in fleet.groups.items()},
        'spares': [asdict(item) for item in fleet.spares],
        'replicas': [asdict(item) for item in fleet.replicas],
    }


def fleet_from_dict(data: Any) -> Fleet:
    """Convert plain data to a fleet.

    :raises CodecError: the data does not describe a valid fleet.
    """
    try:
        groups = {
            name: Group(**_lists_to_tuples(group))
            for name, group in data['groups'].items()
        }
        spares = tuple(FreeInstance(**item) for item in data['spares'])
        replicas = tuple(
            PlacedReplica(**_lists_to_tuples(item)) for item in data['replicas']
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise CodecError(f'invalid fleet record: {error!r}') from error
    return Fleet(groups, spares, replicas)


def _lists_to_tuples(data: dict[str, Any]) -> dict[str, Any]:
    return {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in data.items()
    }
