"""Assignment of the instances of a fabric domain to replicas.

The claims of a domain are one value in the key-value service, updated by a single
compare-and-swap.  A replica never spans fabric domains, so this value alone
determines which replica an instance belongs to.  Source: design note ``claims``.
"""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass

from coursepitch.errors import CoursepitchError
from coursepitch.util.decoding import raise_codec_errors

__all__ = [
    'CLAIMS_PREFIX',
    'Claims',
    'Member',
    'Replica',
    'add_replica',
    'claims_key',
    'decode_claims',
    'encode_claims',
    'list_unclaimed',
    'set_replica_state',
]

CLAIMS_PREFIX = 'claims/'


@dataclass(frozen=True, slots=True)
class Member:
    """An instance in a replica; its position among the members is its rank."""

    instance: str
    address: str
    kind: str = 'engine'
    accelerators: int = 2


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica and the instances claimed for it.

    :param name: name of the claim; never reused.
    :param state: a state of the ``replica`` chart.
    :param members: claimed instances, in rank order.
    :param cause: identifier of the log action tree in which the replica was claimed.
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
    """All claims in a fabric domain.

    :param epoch: fencing token, incremented by each new holder of the domain's
        duty and sent with every order.
    """

    domain: str
    epoch: int = 0
    replicas: tuple[Replica, ...] = ()

    def claimed_instances(self) -> set[str]:
        """Return the names of all claimed instances."""
        return {item.instance for rep in self.replicas for item in rep.members}

    def find(self, name: str) -> Replica | None:
        """Return the replica with the given name, or ``None``."""
        return next((item for item in self.replicas if item.name == name), None)


class DoubleClaimError(CoursepitchError):
    """An instance would be claimed twice."""

    category = 'claims'


def claims_key(domain: str) -> str:
    """Return the key of a domain's claims in the key-value service."""
    return CLAIMS_PREFIX + domain


def list_unclaimed(claims: Claims, names: list[str]) -> list[str]:
    """Return the given instances that are not claimed by any replica."""
    claimed = claims.claimed_instances()
    return [name for name in names if name not in claimed]


def add_replica(claims: Claims, replica: Replica) -> Claims:
    """Return the claims with a replica added.

    :raises DoubleClaimError: a member is already claimed or is listed twice.
    """
    names = [member.instance for member in replica.members]
    if len(set(names)) < len(names) or claims.claimed_instances() & set(names):
        raise DoubleClaimError(
            f'cannot claim {names} for {replica.name}: not all are free and distinct'
        )
    return dataclasses.replace(claims, replicas=(*claims.replicas, replica))


def set_replica_state(claims: Claims, name: str, state: str | None) -> Claims:
    """Return the claims with the state of a replica changed.

    :param state: new state; ``None`` removes the replica.
    """
    replicas = []
    for replica in claims.replicas:
        if replica.name != name:
            replicas.append(replica)
        elif state is not None:
            replicas.append(dataclasses.replace(replica, state=state))
    return dataclasses.replace(claims, replicas=tuple(replicas))


def encode_claims(claims: Claims) -> str:
    """Serialize claims to the JSON text stored in the key-value service."""
    return json.dumps(dataclasses.asdict(claims), separators=(',', ':'))


def decode_claims(domain: str, text: str) -> Claims:
    """Parse claims from JSON text; an empty text means no claims.

    :raises CodecError: the text does not describe valid claims.
    """
    if not text:
        return Claims(domain)
    with raise_codec_errors(f'claims of domain {domain}'):
        data = json.loads(text)
        replicas = tuple(_parse_replica(item) for item in data['replicas'])
        return Claims(domain, int(data['epoch']), replicas)


def _parse_replica(data: dict[str, object]) -> Replica:
    members = data.pop('members')
    adapters = data.pop('adapters')
    if not isinstance(members, list) or not isinstance(adapters, list):
        raise TypeError('members and adapters must be lists')
    texts = {name: str(value) for name, value in data.items()}
    return Replica(
        **texts,
        adapters=tuple(adapters),
        members=tuple(Member(**member) for member in members),
    )
