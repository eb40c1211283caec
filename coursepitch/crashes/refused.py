"""Store entries of requests that are refused because they crash instances.

The entries outlive the nodes that wrote them; operators can list and lift them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from coursepitch.errors import CodecError

if TYPE_CHECKING:
    from coursepitch.crashes.suspects import Suspect

__all__ = [
    'CrashedInstance',
    'RefusedRequest',
    'decode_refused',
    'encode_lifted',
    'encode_refused',
]


@dataclass(frozen=True, slots=True)
class CrashedInstance:
    """An instance that crashed while it ran a request.

    :param born: its start in Unix milliseconds; 0 if unknown.
    :param seen_by: node that observed the crash.
    :param software: version of the instance's software; empty if unknown.
    """

    name: str
    born: int
    seen_by: str
    software: str = ''


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """A request that is refused on all nodes.

    :param customer: customer that sent the request; empty on public routes.
    :param ended: instances that crashed while they ran it.
    :param lifted: whether an operator allowed it again.  This is stored, since a
        missing entry may also have been lost with the store.
    """

    fingerprint: str
    customer: str
    ended: tuple[CrashedInstance, ...] = ()
    lifted: bool = False


def encode_refused(suspect: Suspect) -> str:
    """Encode a suspected request as a value of the store."""
    rows = [
        [item.instance, item.born, item.seen_by, item.software]
        for item in suspect.crashes.values()
    ]
    return orjson.dumps({'customer': suspect.customer, 'ended': rows}).decode()


def encode_lifted(found: RefusedRequest) -> str:
    """Encode the value with which an operator allows a request again."""
    return orjson.dumps({'customer': found.customer, 'lifted': True}).decode()


def decode_refused(fingerprint: str, text: str) -> RefusedRequest:
    """Decode a value of the store.

    :raises CodecError: the value is malformed.
    """
    try:
        data = orjson.loads(text)
        return RefusedRequest(
            fingerprint,
            str(data['customer']),
            tuple(
                CrashedInstance(str(name), int(born), str(seen_by), str(software))
                for name, born, seen_by, software in data.get('ended') or ()
            ),
            bool(data.get('lifted')),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise CodecError(f'refused request {fingerprint}: {error!r}') from error
