"""Typed bodies of the records that nodes exchange, and their codec."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from coursepitch.crashes.parts import Scope
from coursepitch.crashes.suspects import Clearance, Crash
from coursepitch.errors import CodecError

__all__ = [
    'Body',
    'ContactBody',
    'CrashBody',
    'DemandBody',
    'DomainBody',
    'FleetBody',
    'LoadBody',
    'NodeBody',
    'ObservedMember',
    'ObservedReplica',
    'pack_body',
    'unpack_body',
]

#: Maximum number of items in any list or map of a record.
LIST_LIMIT = 4096

#: Maximum length of a string in a record, in characters.
MAX_TEXT_CHARACTERS = 512


@dataclass(frozen=True, slots=True)
class NodeBody:
    """Status of a node.

    :param in_force: revision of the configuration in force at the node.
    :param cut_off: whether no engine answers it.
    :param unchecked: whether no check has told lately if engines answer it.
    """

    incarnation: str
    in_force: int
    ready: bool
    draining: bool
    cut_off: bool = False
    unchecked: bool = False

    @property
    def reaches(self) -> bool:
        """Whether an engine answered a check begun when the record was made."""
        return not self.cut_off and not self.unchecked


@dataclass(frozen=True, slots=True)
class ContactBody:
    """Confirmation by the key-value service that a configuration is the newest.

    When the record was made, no revision newer than ``in_force`` existed.
    """

    in_force: int


@dataclass(frozen=True, slots=True)
class DemandBody:
    """Demand of each customer at a node, in requests per second."""

    rates: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadBody:
    """Number of running requests on each replica of a domain.

    :param claims_revision: revision of the claims that define the replicas.
    :param running: counts, in the order of the replicas in the domain's body.
    """

    claims_revision: int
    running: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """A member of a replica at its last check.

    :param good: whether it serves exactly what its claim says.
    :param answers: whether it responded; if so, the instance can be reused.
    :param silent: whether it did not respond in time, and nothing else speaks against
        it.
    """

    instance: str
    address: str
    good: bool
    answers: bool
    silent: bool = False


@dataclass(frozen=True, slots=True)
class ObservedReplica:
    """A replica as its observer saw it; members are sorted by rank."""

    name: str
    group: str
    state: str
    model: str
    version: str
    adapters: tuple[str, ...]
    availability_zone: str
    members: tuple[ObservedMember, ...]

    @property
    def whole(self) -> bool:
        """Whether every member passed its check."""
        return bool(self.members) and all(member.good for member in self.members)

    @property
    def expected(self) -> bool:
        """Whether every member passed its check or is only silent."""
        return bool(self.members) and all(
            member.good or member.silent for member in self.members
        )


@dataclass(frozen=True, slots=True)
class DomainBody:
    """Observed state of all replicas of one fabric domain.

    :param claims_revision: store revision of the claims that were checked.
    """

    epoch: int
    claims_revision: int
    replicas: tuple[ObservedReplica, ...]


@dataclass(frozen=True, slots=True)
class FleetBody:
    """Fabric domains and leaving instances according to the instance list."""

    domains: tuple[str, ...]
    leaving: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CrashBody:
    """Crashes of engines that a node saw, and successes of what they made suspect.

    :param told_at: monotonic time of the node, to which the other times relate.
    """

    crashes: tuple[Crash, ...]
    successes: tuple[Clearance, ...]
    told_at: float


Body = (
    NodeBody | ContactBody | DemandBody | LoadBody | DomainBody | FleetBody | CrashBody
)


def pack_body(body: Body) -> list[Any]:
    """Convert a body to plain data for encoding."""
    if isinstance(body, NodeBody):
        row = [body.incarnation, body.in_force, body.ready, body.draining]
        # Nodes of an older version read ``False`` as not cut off.
        return row if body.reaches else [*row, body.cut_off]
    if isinstance(body, ContactBody):
        return [body.in_force]
    if isinstance(body, DemandBody):
        return [body.rates]
    if isinstance(body, LoadBody):
        return [body.claims_revision, list(body.running)]
    if isinstance(body, FleetBody):
        return [list(body.domains), list(body.leaving)]
    if isinstance(body, CrashBody):
        return _pack_crashes(body)
    replicas = [_pack_replica(replica) for replica in body.replicas]
    return [body.epoch, body.claims_revision, replicas]


def _pack_crashes(body: CrashBody) -> list[Any]:
    crashes = [
        [
            item.fingerprint,
            item.customer,
            item.instance,
            item.at,
            item.seen_by,
            item.workload,
            list(item.parts),
            [list(pair) for pair in item.sound_parts],
        ]
        for item in body.crashes
    ]
    successes = [
        [item.fingerprint, item.at, list(item.scope) if item.scope else []]
        for item in body.successes
    ]
    return [crashes, successes, body.told_at]


def _pack_replica(seen: ObservedReplica) -> list[Any]:
    # Nodes of an older version read ``None`` as a member that does not answer.
    members = [
        [item.instance, item.address, item.good, None if item.silent else item.answers]
        for item in seen.members
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
    """Decode the body of a record of a kind.

    :raises CodecError: the data is not a valid body, or the kind is unknown.
    """
    try:
        if kind == 'node':
            return _unpack_node(data)
        if kind == 'contact':
            (in_force,) = data
            return ContactBody(_check_integer(in_force))
        if kind == 'demand':
            return _unpack_demand(data)
        if kind == 'load':
            revision, running = data
            counts = tuple(_check_integer(item) for item in _check_list(running))
            return LoadBody(_check_integer(revision), counts)
        if kind == 'fleet':
            domains, leaving = data
            return FleetBody(_check_texts(domains), _check_texts(leaving))
        if kind == 'crash':
            crashes, successes, told_at = data
            return CrashBody(
                tuple(_unpack_crash(item) for item in _check_list(crashes)),
                tuple(_unpack_success(item) for item in _check_list(successes)),
                float(told_at),
            )
        if kind == 'domain':
            epoch, revision, replicas = data
            return DomainBody(
                _check_integer(epoch),
                _check_integer(revision),
                tuple(_unpack_replica(item) for item in _check_list(replicas)),
            )
    except (TypeError, ValueError) as error:
        raise CodecError(f'invalid {kind} record: {error}') from error
    raise CodecError(f'unknown record kind {kind!r}')


def _unpack_node(data: Any) -> NodeBody:
    incarnation, in_force, ready, draining, *cut_off = data
    if len(cut_off) > 1:
        raise ValueError('too many fields')
    return NodeBody(
        _check_text(incarnation),
        _check_integer(in_force),
        ready is True,
        draining is True,
        cut_off == [True],
        cut_off == [False],
    )


def _unpack_demand(data: Any) -> DemandBody:
    (rates,) = data
    if not isinstance(rates, dict) or len(rates) > LIST_LIMIT:
        raise TypeError(f'rates are not a map of at most {LIST_LIMIT} items')
    return DemandBody({_check_text(name): float(rate) for name, rate in rates.items()})


def _unpack_crash(data: Any) -> Crash:
    fingerprint, customer, instance, at, seen_by, workload, parts, sound = data
    return Crash(
        _check_text(fingerprint),
        _check_text(customer),
        _check_text(instance),
        0,
        float(at),
        _check_text(seen_by),
        '',
        _check_text(workload),
        _check_texts(parts),
        tuple((_check_text(name), float(since)) for name, since in _check_list(sound)),
    )


def _unpack_success(data: Any) -> Clearance:
    fingerprint, at, scope = data
    names = _check_texts(scope)
    return Clearance(
        _check_text(fingerprint), float(at), Scope(*names) if names else None
    )


def _unpack_replica(data: Any) -> ObservedReplica:
    name, group, state, model, version, adapters, zone, members = data
    return ObservedReplica(
        _check_text(name),
        _check_text(group),
        _check_text(state),
        _check_text(model),
        _check_text(version),
        _check_texts(adapters),
        _check_text(zone),
        tuple(_unpack_member(item) for item in _check_list(members)),
    )


def _unpack_member(data: Any) -> ObservedMember:
    instance, address, good, answers = data
    return ObservedMember(
        _check_text(instance),
        _check_text(address),
        good is True,
        answers is True,
        answers is None,
    )


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise TypeError(f'not a string of at most {MAX_TEXT_CHARACTERS} characters')
    return value


def _check_integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError('not an integer')
    return value


def _check_list(value: Any) -> list[Any]:
    if not isinstance(value, list) or len(value) > LIST_LIMIT:
        raise TypeError(f'not a list of at most {LIST_LIMIT} items')
    return value


def _check_texts(value: Any) -> tuple[str, ...]:
    return tuple(_check_text(item) for item in _check_list(value))
