"""Store entries of requests and parts of prompts that crash instances.

The entries outlive the nodes that wrote them; operators can list and lift them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from coursepitch.crashes.parts import PART_PREFIX, SuspectPart
from coursepitch.crashes.suspects import Crash
from coursepitch.util.decoding import raise_codec_errors

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
    :param customer: customer that sent the request.
    :param workload: service and model that the request was for.
    """

    name: str
    born: int
    seen_by: str
    software: str = ''
    customer: str = ''
    workload: str = ''


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """A request, or all with a part in their prompts, that is refused on all nodes.

    :param fingerprint: fingerprint of the request, or key of the part.
    :param customer: customer that sent the request, or the first one of several; empty
        on public routes.
    :param ended: instances that crashed while they ran it.
    :param companions: parts without which a part is not known to crash instances.
    :param tried: whether a trial of a refused part crashed an instance.
    :param lifted: whether an operator allowed it again.  This is stored, since a
        missing entry may also have been lost with the store.
    """

    fingerprint: str
    customer: str
    ended: tuple[CrashedInstance, ...] = ()
    companions: tuple[str, ...] = ()
    tried: bool = False
    lifted: bool = False

    @property
    def customers(self) -> list[str]:
        """Customers whose requests crashed instances, in order."""
        found = (item.customer or self.customer for item in self.ended)
        return list(dict.fromkeys(found)) or [self.customer]

    def list_crashes(self, at: float) -> list[Crash]:
        """Return the crashes as they count from a monotonic time on."""
        parts: tuple[str, ...] = ()
        fingerprint = self.fingerprint
        if fingerprint.startswith(PART_PREFIX):
            parts = (fingerprint.removeprefix(PART_PREFIX), *self.companions)
            fingerprint = ''
        return [
            Crash(
                fingerprint,
                item.customer or self.customer,
                item.name,
                item.born,
                at,
                item.seen_by,
                item.software,
                item.workload,
                parts,
            )
            for item in self.ended
        ]


def encode_refused(suspect: Suspect | SuspectPart) -> str:
    """Encode a suspected request or part as a value of the store."""
    crashes = list(suspect.list_crashes())
    found = {
        item.incarnation: [
            item.instance,
            item.born,
            item.seen_by,
            item.software,
            item.customer,
            item.workload,
        ]
        for item in crashes
    }
    data: dict[str, object] = {
        'customer': crashes[0].customer,
        'ended': list(found.values()),
    }
    if isinstance(suspect, SuspectPart):
        data['companions'] = sorted(suspect.companions)
        data['tried'] = suspect.tried
    return orjson.dumps(data).decode()


def encode_lifted(found: RefusedRequest) -> str:
    """Encode the value with which an operator allows a request again."""
    return orjson.dumps({'customer': found.customer, 'lifted': True}).decode()


def decode_refused(fingerprint: str, text: str) -> RefusedRequest:
    """Decode a value of the store.

    :raises CodecError: the value is malformed.
    """
    with raise_codec_errors(f'refused request {fingerprint}'):
        data = orjson.loads(text)
        return RefusedRequest(
            fingerprint,
            str(data['customer']),
            tuple(
                CrashedInstance(str(name), int(born), *map(str, texts))
                for name, born, *texts in data.get('ended') or ()
            ),
            tuple(map(str, data.get('companions') or ())),
            bool(data.get('tried')),
            bool(data.get('lifted')),
        )
