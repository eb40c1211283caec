"""Claims: which instances form which group, written before any order."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import orjson

from coursepitch.errors import CodecError

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['GroupClaim', 'decode_claims', 'decode_loads', 'encode_claims']
__all__ += ['encode_loads']


@dataclass(frozen=True, slots=True)
class GroupClaim:
    """A group of instances that run one replica of a model.

    :param epoch: fencing token of its orders, above those of all earlier ones.
    :param members: names of the instances, the head first.
    """

    name: str
    epoch: int
    service: str
    domain: str
    model: str
    members: tuple[str, ...]

    @property
    def head(self) -> str:
        """Name of the instance that takes the group's requests."""
        return self.members[0]


def encode_claims(claims: tuple[GroupClaim, ...]) -> str:
    """Return the value that holds the claims of one fabric domain."""
    return orjson.dumps([asdict(claim) for claim in claims]).decode()


def decode_claims(text: str) -> tuple[GroupClaim, ...]:
    """Return the claims that a value holds.

    :raises CodecError: it is damaged.
    """
    try:
        return tuple(_read_claim(item) for item in orjson.loads(text))
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f'claims: {error!r}') from error


def _read_claim(item: Any) -> GroupClaim:
    members = tuple(str(name) for name in item['members'])
    if not members:
        raise ValueError('a group without members')
    return GroupClaim(
        str(item['name']),
        int(item['epoch']),
        str(item['service']),
        str(item['domain']),
        str(item['model']),
        members,
    )


def encode_loads(loads: Mapping[str, str]) -> str:
    """Return the value that holds the loads of a service that have begun.

    :param loads: models by instance.
    """
    return orjson.dumps(dict(loads)).decode()


def decode_loads(text: str) -> dict[str, str]:
    """Return the loads that a value holds.

    :raises CodecError: it is damaged.
    """
    try:
        return {str(name): str(model) for name, model in orjson.loads(text).items()}
    except (AttributeError, ValueError) as error:
        raise CodecError(f'loads: {error!r}') from error
