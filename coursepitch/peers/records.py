"""Typed bodies of the records that nodes pass on to each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from coursepitch.errors import CodecError

__all__ = [
    'Body',
    'ContactBody',
    'DemandBody',
    'DomainBody',
    'FleetBody',
    'LoadBody',
    'MemberSeen',
    'NodeBody',
    'ReplicaSeen',
    'pack_body',
    'unpack_body',
]

#: Largest number of replicas, members or names in one record.
LIST_LIMIT = 4096


@dataclass(frozen=True, slots=True)
class NodeBody:
    """What a node tells of itself.

    :param in_force: revision of the configuration in force there.
    """

    incarnation: str
    in_force: int
    ready: bool
    draining: bool


@dataclass(frozen=True, slots=True)
class ContactBody:
    """The service confirmed, when the record was made, that no newer
    revision than ``in_force`` existed.
    """

    in_force: int


@dataclass(frozen=True, slots=True)
class DemandBody:
    """Requests a second that each customer asks for at a node."""

    rates: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadBody:
    """Requests that run on each replica of a domain, in the order of its body."""

    claims_revision: int
    running: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MemberSeen:
    """A member of a replica at its last check.

    :param good: whether it serves just what its claim says.
    :param answers: whether it answered; one that does may be used again.
    """

    instance: str
    address: str
    good: bool
    answers: bool


@dataclass(frozen=True, slots=True)
class ReplicaSeen:
    """A replica as its observer saw it; members are in the order of rank."""

    name: str
    group: str
    state: str
    model: str
    version: str
    adapters: tuple[str, ...]
    availability_zone: str
    members: tuple[MemberSeen, ...]

    @property
    def whole(self) -> bool:
        """Whether every member passed its check."""
        return bool(self.members) and all(member.good for member in self.members)


@dataclass(frozen=True, slots=True)
class DomainBody:
    """Serving evidence of one fabric domain.

    :param claims_revision: revision in the service of the claims observed.
    """

    epoch: int
    claims_revision: int
    replicas: tuple[ReplicaSeen, ...]


@dataclass(frozen=True, slots=True)
class FleetBody:
    """What the list of instances shows: fabric domains and leaving instances."""

    domains: tuple[str, ...]
    leaving: tuple[str, ...]


Body = NodeBody | ContactBody | DemandBody | LoadBody | DomainBody | FleetBody


def pack_body(body: Body) -> list[Any]:
    """Return a body as plain data."""
    if isinstance(body, NodeBody):
        return [body.incarnation, body.in_force, body.ready, body.draining]
    if isinstance(body, ContactBody):
        return [body.in_force]
    if isinstance(body, DemandBody):
        return [body.rates]
    if isinstance(body, LoadBody):
        return [body.claims_revision, list(body.running)]
    if isinstance(body, FleetBody):
        return [list(body.domains), list(body.leaving)]
    replicas = [_pack_replica(replica) for replica in body.replicas]
    return [body.epoch, body.claims_revision, replicas]


def _pack_replica(seen: ReplicaSeen) -> list[Any]:
    members = [
        [item.instance, item.address, item.good, item.answers] for item in seen.members
    ]
    return [
        seen.name,
        seen.group,
        seen.state,
        seen.model,
        seen.version,
        list(seen.adapters),
        seen.availability_zone,
        members,
    ]


def unpack_body(kind: str, data: Any) -> Body:
    """Return the body of a record of a kind.

    :raises CodecError: the data is no such body.
    """
    try:
        if kind == 'node':
            return _unpack_node(data)
        if kind == 'contact':
            (in_force,) = data
            return ContactBody(_number(in_force))
        if kind == 'demand':
            return _unpack_demand(data)
        if kind == 'load':
            revision, running = data
            counts = tuple(_number(item) for item in _list(running))
            return LoadBody(_number(revision), counts)
        if kind == 'fleet':
            domains, leaving = data
            return FleetBody(_texts(domains), _texts(leaving))
        if kind == 'domain':
            epoch, revision, replicas = data
            return DomainBody(
                _number(epoch),
                _number(revision),
                tuple(_unpack_replica(item) for item in _list(replicas)),
            )
    except (TypeError, ValueError) as error:
        raise CodecError(f'not a {kind} record: {error}') from error
    raise CodecError(f'unknown kind of record: {kind!r}')


def _unpack_node(data: Any) -> NodeBody:
    incarnation, in_force, ready, draining = data
    return NodeBody(
        _text(incarnation), _number(in_force), ready is True, draining is True
    )


def _unpack_demand(data: Any) -> DemandBody:
    (rates,) = data
    if not isinstance(rates, dict) or len(rates) > LIST_LIMIT:
        raise TypeError('rates are no bounded map')
    return DemandBody({_text(name): float(rate) for name, rate in rates.items()})


def _unpack_replica(data: Any) -> ReplicaSeen:
    name, group, state, model, version, adapters, zone, members = data
    return ReplicaSeen(
        _text(name),
        _text(group),
        _text(state),
        _text(model),
        _text(version),
        _texts(adapters),
        _text(zone),
        tuple(_unpack_member(item) for item in _list(members)),
    )


def _unpack_member(data: Any) -> MemberSeen:
    instance, address, good, answers = data
    return MemberSeen(_text(instance), _text(address), good is True, answers is True)


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 512:
        raise TypeError('not a short text')
    return value


def _number(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError('not a whole number')
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list) or len(value) > LIST_LIMIT:
        raise TypeError('not a bounded list')
    return value


def _texts(value: Any) -> tuple[str, ...]:
    return tuple(_text(item) for item in _list(value))
