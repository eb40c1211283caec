"""Entry of a node in the store: where peers can reach it."""

from __future__ import annotations

from dataclasses import dataclass

from coursepitch.errors import CodecError
from coursepitch.util.addresses import is_address
from coursepitch.util.decoding import shorten

__all__ = ['NodeLocation', 'decode_place', 'encode_place']


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Address of a node for links, and its availability zone."""

    address: str
    availability_zone: str = ''


def encode_place(place: NodeLocation) -> str:
    """Return the value of a node's entry: address and zone, separated by a space."""
    return f'{place.address} {place.availability_zone}'


def decode_place(value: str) -> NodeLocation:
    """Return the decoded value of a node's entry; the zone may be missing.

    :raises CodecError: it has no address.
    """
    address, _, zone = value.partition(' ')
    if not is_address(address):
        raise CodecError(f'{shorten(address)} is not an address with a port')
    return NodeLocation(address, zone)
