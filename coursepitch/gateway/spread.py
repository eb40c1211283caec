"""Choice among loads that are seen late, by many nodes at once.

Nodes that all go to the least load that they see go to the same one until they
see what came of it.  So a node takes what arrives in the meantime into account:
it reckons how all of these requests would fill up the lowest loads evenly, and
chooses each with the chance of its part (load interpretation after Dahlin,
"Interpreting stale load information", 1999).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['choose_spread', 'share_out']


def share_out(loads: Sequence[float], arrivals: float) -> list[float]:
    """Return the part of the next arrivals that each load takes, 1 in all.

    :param loads: requests in flight at each choice, as seen.
    :param arrivals: requests that all nodes send before any sees the others'.
    """
    arrivals = max(arrivals, 1e-6)
    order = sorted(range(len(loads)), key=lambda place: loads[place])
    level = 0.0
    below = 0.0
    for count, place in enumerate(order, 1):
        below += loads[place]
        level = (below + arrivals) / count
        if count < len(order) and level <= loads[order[count]]:
            break
    return [max(0.0, level - load) / arrivals for load in loads]


def choose_spread(loads: Sequence[float], arrivals: float, chance: float) -> int:
    """Return the place of the load to choose.

    :param chance: a random number from 0 to 1.
    """
    left = chance
    parts = share_out(loads, arrivals)
    for place, part in enumerate(parts):
        left -= part
        if part > 0 and left <= 0:
            return place
    return parts.index(max(parts))
