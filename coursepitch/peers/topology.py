"""Which nodes link to which: a ring with links of growing reach."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['choose_peers', 'pace_evidence', 'pace_nodes', 'pick_first', 'rank_nodes']

#: Factor by which the reach of each further link grows.
REACH_FACTOR = 4


def choose_peers(me: str, names: Iterable[str]) -> frozenset[str]:
    """Return the nodes to which ``me`` opens links.

    Nodes stand on a ring in the order of a hash; each links to those 1, 4, 16
    and so on places further: 10 links a node at 370 nodes.  With steps that
    double there would be 18, and a record crosses about every link once.
    Source: Stoica et al., Chord (2001).
    """
    ring = sorted({me, *names}, key=_hash_name)
    place = ring.index(me)
    peers = set()
    step = 1
    while step < len(ring):
        peers.add(ring[(place + step) % len(ring)])
        step *= REACH_FACTOR
    return frozenset(peers - {me})


def rank_nodes(subject: str, names: Iterable[str]) -> list[str]:
    """Return the nodes by their rendezvous weight for a subject, best first.

    Source: Thaler and Ravishankar, highest random weight (1998).
    """
    return sorted(names, key=lambda name: _hash_name(f'{subject}\0{name}'))


def pick_first(subject: str, names: Iterable[str]) -> str:
    """Return the name that ranks first for a subject.

    :raises ValueError: there is no name.
    """
    return min(names, key=lambda name: _hash_name(f'{subject}\0{name}'))


def _hash_name(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def pace_nodes(nodes: int) -> float:
    """Return the seconds between two states of the record of a node.

    They grow with the nodes, so that the bytes a node passes on stay within
    their bound: half a second up to 46 nodes, 4 s at 370.
    """
    return max(0.5, nodes / 93)


def pace_evidence(nodes: int) -> float:
    """Return the seconds between two pieces of evidence of a domain.

    There are fewer domains than nodes, and evidence has to be younger: half a
    second up to 92 nodes, 2 s at 370.
    """
    return max(0.5, nodes / 185)
