"""Claims of one fabric domain: one value that one compare-and-swap changes.

A replica never spans fabric domains, so this value alone says which instance
belongs to which replica.  Source: design note ``claims``.
"""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass

from coursepitch.errors import CodecError, CoursepitchError

__all__ = [
    'Claims',
    'Member',
    'Replica',
    'add_replica',
    'claims_key',
    'decode_claims',
    'encode_claims',
    'free_names',
    'replace_replica',
]

PREFIX = 'claims/'


@dataclass(frozen=True, slots=True)
class Member:
    """An instance of a replica; the place in the replica is its rank."""

    instance: str
    address: str
    kind: str = 'engine'
    accelerators: int = 2


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica as claimed.

    :param name: name of the claim; never used again.
    :param state: a state of the chart ``replica``.
    :param cause: action tree of the log under which it was claimed.
    """

    name: str
    group: str
    state: str
    model: str
    version: str
    adapters: tuple[str, ...]
    availability_zone: str
    members: tuple[Member, ...]
    cause: str = ''


@dataclass(frozen=True, slots=True)
class Claims:
    """The claims of a fabric domain.

    :param epoch: grows with each new holder of the duty; orders carry it.
    """

    domain: str
    epoch: int = 0
    replicas: tuple[Replica, ...] = ()

    def members(self) -> set[str]:
        """Return the names of all claimed instances."""
        return {item.instance for rep in self.replicas for item in rep.members}

    def find(self, name: str) -> Replica | None:
        """Return a replica by its name."""
        return next((item for item in self.replicas if item.name == name), None)


class DoubleClaimError(CoursepitchError):
    """An instance would belong to two replicas."""

    category = 'claims'


def claims_key(domain: str) -> str:
    """Return the key of a domain's claims in the service."""
    return PREFIX + domain


def free_names(claims: Claims, names: list[str]) -> list[str]:
    """Return those instances that no replica claims."""
    taken = claims.members()
    return [name for name in names if name not in taken]


def add_replica(claims: Claims, replica: Replica) -> Claims:
    """Return the claims with one more replica.

    :raises DoubleClaimError: a member is claimed, or named twice.
    """
    names = [member.instance for member in replica.members]
    if len(set(names)) < len(names) or claims.members() & set(names):
        raise DoubleClaimError(f'{replica.name}: {names} are not all free')
    return dataclasses.replace(claims, replicas=(*claims.replicas, replica))


def replace_replica(claims: Claims, name: str, state: str | None) -> Claims:
    """Return the claims with a replica in another state, or without it."""
    replicas = []
    for replica in claims.replicas:
        if replica.name != name:
            replicas.append(replica)
        elif state is not None:
            replicas.append(dataclasses.replace(replica, state=state))
    return dataclasses.replace(claims, replicas=tuple(replicas))


def encode_claims(claims: Claims) -> str:
    """Return the claims as the text kept in the service."""
    return json.dumps(dataclasses.asdict(claims), separators=(',', ':'))


def decode_claims(domain: str, text: str) -> Claims:
    """Return claims from their text; an empty text is empty claims.

    :raises CodecError: it is none.
    """
    if not text:
        return Claims(domain)
    try:
        data = json.loads(text)
        replicas = tuple(_unpack_replica(item) for item in data['replicas'])
        return Claims(domain, int(data['epoch']), replicas)
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f'not claims of {domain}: {error!r}') from error


def _unpack_replica(data: dict[str, object]) -> Replica:
    members = data.pop('members')
    adapters = data.pop('adapters')
    if not isinstance(members, list) or not isinstance(adapters, list):
        raise TypeError('members and adapters are lists')
    texts = {name: str(value) for name, value in data.items()}
    return Replica(
        **texts,
        adapters=tuple(adapters),
        members=tuple(Member(**member) for member in members),
    )
