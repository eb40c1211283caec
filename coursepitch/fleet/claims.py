"""Claims, which assign instances to groups and are stored before orders are sent."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import orjson

from coursepitch.util.decoding import raise_codec_errors

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['GroupClaim', 'decode_claims', 'decode_loads', 'encode_claims']
__all__ += ['encode_loads']


@dataclass(frozen=True, slots=True)
class GroupClaim:
    """A group of instances that run one replica of a model.

    :param epoch: fencing token of the group's orders, higher than that of any earlier
        group.
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
        """Name of the instance that receives the group's requests."""
        return self.members[0]


def encode_claims(claims: tuple[GroupClaim, ...]) -> str:
    """Encode the claims of one fabric domain as a value of the store."""
    return orjson.dumps([asdict(claim) for claim in claims]).decode()


def decode_claims(text: str) -> tuple[GroupClaim, ...]:
    """Decode claims from a value of the store.

    :raises CodecError: the value is malformed.
    """
    with raise_codec_errors('claims'):
        return tuple(_read_claim(item) for item in orjson.loads(text))


def _read_claim(item: Any) -> GroupClaim:
    members = tuple(str(name) for name in item['members'])
    if not members:
        raise ValueError('group has no members')
    return GroupClaim(
        str(item['name']),
        int(item['epoch']),
        str(item['service']),
        str(item['domain']),
        str(item['model']),
        members,
    )


def encode_loads(loads: Mapping[str, str]) -> str:
    """Encode the loads in progress of a service as a value of the store.

    :param loads: the model that each instance loads.
    """
    return orjson.dumps(dict(loads)).decode()


def decode_loads(text: str) -> dict[str, str]:
    """Decode loads in progress from a value of the store.

    :raises CodecError: the value is malformed.
    """
    with raise_codec_errors('loads'):
        return {str(name): str(model) for name, model in orjson.loads(text).items()}
