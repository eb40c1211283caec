"""Instances of services and the groups they form, as the platform lists them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

__all__ = ['REMEMBERED_S', 'FleetInstance', 'GroupState', 'Membership']

#: Seconds for which what an instance said of itself is kept once it is not listed: its
#: entry may be back after an outage of the store.
REMEMBERED_S = 60.0


class GroupState(enum.Enum):
    """What an instance does in its group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'

    @property
    def may_serve(self) -> bool:
        """Whether the group's head may be running requests."""
        return self in (GroupState.OPEN, GroupState.CLOSING)


@dataclass(frozen=True, slots=True)
class Membership:
    """The group that an instance belongs to.

    :param epoch: fencing token of the order with which it joined.
    :param rank: place in the list of members; 0 is the head.
    """

    group: str
    epoch: int
    rank: int
    state: GroupState


@dataclass(frozen=True, slots=True)
class FleetInstance:
    """One incarnation of an instance; a later one may have the same name.

    :param draining: whether it is about to end, as its entry or an answer says.
    :param domain: fabric domain; empty where there are none.
    :param models: models whose weights it holds.
    :param staged: models whose weights lie on its host.
    :param last_model: model of its last group, which it joins again at once.
    :param software: version of the program that runs there; empty where untold.
    :param born: Unix millisecond at which this incarnation started; 0 where it isn't
        told.
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

    def is_restart_of(self, before: FleetInstance) -> bool:
        """Whether this is a later incarnation than another one of that name."""
        return 0 < before.born < self.born

    def carry_over(self, before: FleetInstance) -> FleetInstance:
        """Return this with the model that it is known to hold from its last group.

        Once out of its group it no longer tells the model, but still has it, unless it
        started again.
        """
        if self.models or self.is_restart_of(before):
            return self
        last_model = next(iter(before.models), before.last_model)
        return replace(self, last_model=last_model)
