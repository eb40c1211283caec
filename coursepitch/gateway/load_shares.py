"""Load balancing by many nodes with stale load information.

If all nodes chose the target with the least known load, they would all choose the
same one until its new load becomes known.  So a node takes into account the requests
that arrive in the meantime: it computes how they would fill up the lowest loads evenly,
and chooses each target with the probability of its share of them (Dahlin, "Interpreting
stale load information", 1999).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['choose_by_shares', 'compute_shares']


def compute_shares(loads: Sequence[float], arrivals: float) -> list[float]:
    """Return the share of the next arrivals for each target; the shares add up to 1.

    :param loads: last known requests in flight at each target.
    :param arrivals: requests to spread before the new loads are known.
    """
    arrivals = max(arrivals, 1e-6)
    order = sorted(range(len(loads)), key=lambda index: loads[index])
    level = 0.0
    below = 0.0
    for count, index in enumerate(order, 1):
        below += loads[index]
        level = (below + arrivals) / count
        if count < len(order) and level <= loads[order[count]]:
            break
    return [max(0.0, level - load) / arrivals for load in loads]


def choose_by_shares(
    loads: Sequence[float], arrivals: float, random_fraction: float
) -> int:
    """Return the index of the target to choose.

    :param random_fraction: a random number from 0 to 1.
    """
    left = random_fraction
    shares = compute_shares(loads, arrivals)
    for index, share in enumerate(shares):
        left -= share
        if share > 0 and left <= 0:
            return index
    return shares.index(max(shares))
