"""Requests known to end instances, as entries of the store.

What is refused outlives the nodes that found it out; operators can list and lift it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from coursepitch.errors import CodecError

if TYPE_CHECKING:
    from coursepitch.fleet.suspects import Suspect

__all__ = [
    'EndedInstance',
    'RefusedRequest',
    'decode_refused',
    'encode_lifted',
    'encode_refused',
]


@dataclass(frozen=True, slots=True)
class EndedInstance:
    """An instance that ended under a request.

    :param born: Unix millisecond at which it had started; 0 if untold.
    :param seen_by: the node that saw it.
    :param software: version of the program that ran there; empty where untold.
    """

    name: str
    born: int
    seen_by: str
    software: str = ''


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """A request that is refused on all nodes.

    :param customer: whose request it is; empty on public routes.
    :param lifted: whether an operator lets it run again.  An entry that is gone says
        nothing: it may have lapsed with the store.
    """

    fingerprint: str
    customer: str
    ended: tuple[EndedInstance, ...] = ()
    lifted: bool = False


def encode_refused(suspect: Suspect) -> str:
    """Return the value of a suspect's entry."""
    rows = [
        [item.instance, item.born, item.seen_by, item.software]
        for item in suspect.crashes.values()
    ]
    return orjson.dumps({'customer': suspect.customer, 'ended': rows}).decode()


def encode_lifted(found: RefusedRequest) -> str:
    """Return the value with which an operator lets a request run again."""
    return orjson.dumps({'customer': found.customer, 'lifted': True}).decode()


def decode_refused(fingerprint: str, text: str) -> RefusedRequest:
    """Return what an entry says.

    :raises CodecError: it is damaged.
    """
    try:
        data = orjson.loads(text)
        return RefusedRequest(
            fingerprint,
            str(data['customer']),
            tuple(
                EndedInstance(str(name), int(born), str(seen_by), str(software))
                for name, born, seen_by, software in data.get('ended') or ()
            ),
            bool(data.get('lifted')),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise CodecError(f'refused request {fingerprint}: {error!r}') from error
