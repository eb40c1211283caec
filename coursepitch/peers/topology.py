"""Topology of the links between nodes, and publication intervals."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    'choose_links',
    'choose_peers',
    'compute_domain_interval',
    'compute_node_interval',
    'pick_first',
    'rank_nodes',
]

#: Factor between the ring distances of successive links.
DISTANCE_FACTOR = 4


def choose_peers(node_name: str, names: Iterable[str]) -> frozenset[str]:
    """Return the nodes to which ``node_name`` opens links.

    Nodes form a ring in the order of a hash.  Each connects to those 1, 4, 16 and so
    on places further, which makes 10 links per node at 370 nodes.  Distances that
    double (1, 2, 4 and so on) would make 18, and each link adds to the traffic, since
    a record crosses nearly every link once.
    Source: Stoica et al., Chord (2001).
    """
    ring = sorted({node_name, *names}, key=_hash_name)
    position = ring.index(node_name)
    peers = set()
    distance = 1
    while distance < len(ring):
        peers.add(ring[(position + distance) % len(ring)])
        distance *= DISTANCE_FACTOR
    return frozenset(peers - {node_name})


def choose_links(
    node_name: str, names: Iterable[str], present: Iterable[str]
) -> frozenset[str]:
    """Return the nodes to which ``node_name`` opens links, past absent ones.

    Two absent nodes can separate the others of a small ring, so the nodes that are
    present form a ring of their own too.  While all are present the rings are equal.

    :param names: all nodes.
    :param present: nodes that are known to be alive.
    """
    everyone = frozenset(names)
    return choose_peers(node_name, everyone) | choose_peers(
        node_name, everyone & frozenset(present)
    )


def rank_nodes(subject: str, names: Iterable[str]) -> list[str]:
    """Return the nodes sorted by rendezvous hash for a subject, best first.

    Source: Thaler and Ravishankar, highest random weight (1998).
    """
    return sorted(names, key=lambda name: _hash_name(f'{subject}\0{name}'))


def pick_first(subject: str, names: Iterable[str]) -> str:
    """Return the node that ranks first for a subject by rendezvous hash.

    :raises ValueError: ``names`` is empty.
    """
    return min(names, key=lambda name: _hash_name(f'{subject}\0{name}'))


def _hash_name(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def compute_node_interval(nodes: int) -> float:
    """Return the publication interval of node records in seconds.

    It grows with the number of nodes to limit the bytes that each node forwards:
    0.5 s up to 46 nodes, 4 s at 370.
    """
    return max(0.5, nodes / 93)


def compute_domain_interval(nodes: int) -> float:
    """Return the publication interval of domain records in seconds.

    It is shorter than that of node records, as there are fewer domains than nodes and
    their state must be more recent: 0.5 s up to 92 nodes, 2 s at 370.
    """
    return max(0.5, nodes / 185)
