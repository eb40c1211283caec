"""What callers, targets and operators saw of a run, as its driver records it.

All times are seconds of one steady clock, that of the driver.
"""

from __future__ import annotations

import enum
import itertools
from dataclasses import dataclass, field

__all__ = [
    'Acknowledged',
    'Call',
    'Cut',
    'Disturbed',
    'Ended',
    'Ending',
    'History',
    'Left',
    'Run',
]


class Ending(enum.Enum):
    """How a call ended for its caller."""

    WHOLE = 'whole'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    CUT = 'cut'


@dataclass(frozen=True, slots=True)
class Call:
    """One try of a caller.

    :param key: the caller's key; empty for none.
    :param repeatable: whether it may run more than once.
    :param ended_at: when the answer was whole, refused, or its connection gone.
    :param answered_for: id that the answer named; empty without one.
    :param events: numbers of the events that came, in their order.
    :param expected: events that the whole answer has.
    :param short: whether the body lacks its end, where that is known.
    :param part: part of its prompt that ends instances; empty for none.
    :param node: node that it was sent to.
    """

    id: str
    service: str
    key: str
    sent_at: float
    ended_at: float
    ending: Ending
    repeatable: bool = True
    answered_for: str = ''
    events: tuple[int, ...] = ()
    expected: int = 0
    node: str = ''
    short: bool = False
    part: str = ''


@dataclass(frozen=True, slots=True)
class Run:
    """A request that arrived at an instance.

    :param executed: whether the instance began work on it.
    :param backoff_s: seconds for which it asked for no more in answer; 0 for none.
    :param told_leaving: whether it said in answer that it leaves.
    """

    call: str
    instance: str
    service: str
    arrived_at: float
    executed: bool = True
    backoff_s: float = 0.0
    told_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Left:
    """An instance whose leaving the store acknowledged."""

    instance: str
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class Ended:
    """An instance that ended as it began to answer a call."""

    instance: str
    call: str
    at: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A configuration that the store acknowledged.

    :param keys: keys that it holds.
    """

    version: int
    acknowledged_at: float
    keys: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Disturbed:
    """A node that was ended, started or stood still, or the store in trouble.

    :param node: empty for the store.
    """

    node: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Cut:
    """Nodes that had no path of their own to any instance."""

    nodes: frozenset[str]
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class History:
    """All that was recorded of a run, each part in the order of its times."""

    calls: tuple[Call, ...] = ()
    runs: tuple[Run, ...] = ()
    left: tuple[Left, ...] = ()
    configurations: tuple[Acknowledged, ...] = field(default=())
    disturbed: tuple[Disturbed, ...] = ()
    cuts: tuple[Cut, ...] = ()
    ends: tuple[Ended, ...] = ()

    def map_calls(self) -> dict[str, Call]:
        """Return the calls by their ids."""
        return {call.id: call for call in self.calls}

    def was_disturbed(self, node: str, since: float, until: float) -> bool:
        """Whether a node was disturbed in a time; of no name, the store."""
        return any(
            item.node == node and item.since <= until and item.until >= since
            for item in self.disturbed
        )

    def list_total_cuts(self) -> list[tuple[float, float]]:
        """Return the times in which no node that calls went to had a path."""
        nodes = {call.node for call in self.calls}
        times = sorted({at for cut in self.cuts for at in (cut.since, cut.until)})
        found = []
        for since, until in itertools.pairwise(times):
            cut_off = {
                node
                for cut in self.cuts
                if cut.since <= since and until <= cut.until
                for node in cut.nodes
            }
            if nodes <= cut_off:
                found.append((since, until))
        return found

    def may_be_held_up(self, run: Run, call: Call) -> bool:
        """Whether a cut of paths ended between a call and a run of it.

        The request may have stood still on a path, of the call's node or of a peer, so
        that the node had given it up before the instance answered it.
        """
        return any(call.sent_at < cut.until <= run.arrived_at for cut in self.cuts)
