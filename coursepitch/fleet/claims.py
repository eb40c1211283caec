"""Claims: which instances form which group, written before any order."""

from __future__ import annotations

from dataclasses import asdict, dataclass

import orjson

from coursepitch.errors import CodecError

__all__ = ['GroupClaim', 'decode_claims', 'encode_claims']


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
        return tuple(
            GroupClaim(
                str(item['name']),
                int(item['epoch']),
                str(item['service']),
                str(item['domain']),
                str(item['model']),
                tuple(str(name) for name in item['members']),
            )
            for item in orjson.loads(text)
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f'claims: {error!r}') from error
