"""What callers, targets and operators saw of a run, as its driver records it.

All times are seconds of one steady clock, that of the driver.
"""

from __future__ import annotations

import enum
import itertools
import math
from dataclasses import dataclass, field

__all__ = [
    'Acknowledged',
    'Broken',
    'Call',
    'Cut',
    'Disturbed',
    'Ended',
    'Ending',
    'Gone',
    'History',
    'Left',
    'Run',
    'Silence',
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
    :param status: status of its answer; 0 without one.
    :param deadline_s: seconds for which its caller lets it run.
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
    status: int = 0
    deadline_s: float = 8.0


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
class Gone:
    """An instance that ended, for whatever reason."""

    instance: str
    service: str
    at: float


@dataclass(frozen=True, slots=True)
class Broken:
    """Instances that broke off their answers."""

    instances: frozenset[str]
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Silence:
    """Instances of a service that stood still and then went on."""

    service: str
    instances: frozenset[str]
    since: float
    until: float


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
    """Nodes that had no path of their own to any instance.

    :param in_force_at: when all of them had lost it, if that took a while.
    :param lifted_at: when the first of them may have got it back, if that took a while.
    """

    nodes: frozenset[str]
    since: float
    until: float
    in_force_at: float = 0.0
    lifted_at: float = math.inf


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
    gone: tuple[Gone, ...] = ()
    broken: tuple[Broken, ...] = ()
    silences: tuple[Silence, ...] = ()

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
        """Whether a call may have waited before a run of it.

        The request may have stood still on a path, of the call's node or of a peer, or
        at the instance, so that the node had given it up before the instance answered
        it.
        """
        return self.may_have_met_silence(run, call) or any(
            call.sent_at < cut.until and min(cut.until, cut.lifted_at) <= run.arrived_at
            for cut in self.cuts
        )

    def may_have_met_silence(self, run: Run, call: Call) -> bool:
        """Whether the instance of a run stood still between the call and the run.

        Arrivals are noted when the instance goes on.
        """
        return any(
            run.instance in silence.instances
            and call.sent_at < silence.until
            and silence.since <= run.arrived_at
            for silence in self.silences
        )

    def list_silences(self, call: Call, after_s: float = 0.0) -> list[Silence]:
        """Return the times in which instances of a call's service stood still.

        :param after_s: seconds before a call for which they count as well.
        """
        return [
            silence
            for silence in self.silences
            if silence.service == call.service
            and silence.since <= call.ended_at
            and call.sent_at <= silence.until + after_s
        ]

    def measure_silence(self, call: Call) -> float:
        """Return the seconds of a call's time in which instances stood still."""
        until = call.sent_at + call.deadline_s
        silent_s, counted_until = 0.0, call.sent_at
        for silence in sorted(self.list_silences(call), key=lambda item: item.since):
            start = max(silence.since, counted_until)
            counted_until = max(counted_until, min(silence.until, until))
            silent_s += max(0.0, counted_until - start)
        return silent_s
