"""Instances of services and the groups they form, as the platform lists them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field, replace

__all__ = ['REMEMBERED_S', 'FleetInstance', 'GroupState', 'Membership']

#: Seconds for which an instance's notices are kept after it is no longer listed: its
#: entry may return after an outage of the store.
REMEMBERED_S = 60.0


class GroupState(enum.Enum):
    """State of an instance in its group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'

    @property
    def may_serve(self) -> bool:
        """Whether a group's head in this state may be running requests."""
        return self in (GroupState.OPEN, GroupState.CLOSING)


@dataclass(frozen=True, slots=True)
class Membership:
    """The group that an instance belongs to.

    :param epoch: fencing token of the order by which it joined.
    :param rank: index in the list of members; 0 is the head.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState


@dataclass(frozen=True, slots=True)
class FleetInstance:
    """One incarnation of an instance; a later one may have the same name.

    :param draining: whether it is about to end, by its entry or a response.
    :param domain: fabric domain; empty for none.
    :param models: models whose weights are loaded in the instance.
    :param staged: models whose weights are staged on its host.
    :param last_model: model of its last group, which it can rejoin without loading.
    :param born: start time of this incarnation in Unix milliseconds; 0 if unknown.
    :param software: version of its software; empty if unknown.
    :param cold_left_s: seconds for which it stayed cold when its entry was received.
        The view keeps the instance while nothing else changes, so the current value is
        in :class:`coursepitch.fleet.cold.ColdInstances`.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    domain: str = ''
    models: frozenset[str] = frozenset()
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None
    last_model: str = ''
    born: int = 0
    software: str = ''
    cold_left_s: float = field(default=0.0, compare=False)

    def is_restart_of(self, before: FleetInstance) -> bool:
        """Whether this is a later incarnation of the same instance."""
        return 0 < before.born < self.born

    def carry_over_model(self, before: FleetInstance) -> FleetInstance:
        """Return a copy that remembers the model of its last group.

        An instance outside a group no longer reports a model, but keeps the weights
        until it restarts.
        """
        if self.models or self.is_restart_of(before):
            return self
        last_model = next(iter(before.models), before.last_model)
        return replace(self, last_model=last_model)
