"""Where a node can be linked to, as it stands in the store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ['NodePlace', 'decode_place', 'encode_place']


@dataclass(frozen=True, slots=True)
class NodePlace:
    """A node's address for links, and its availability zone."""

    address: str
    availability_zone: str = ''


def encode_place(place: NodePlace) -> str:
    """Return the value of a node's entry: address and zone, parted by a blank."""
    return f'{place.address} {place.availability_zone}'


def decode_place(value: str) -> NodePlace:
    """Return what a node's entry says; without a zone, it is in none."""
    address, _, zone = value.partition(' ')
    return NodePlace(address, zone)
