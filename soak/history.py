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
    'Crowd',
    'Cut',
    'Damaged',
    'Disturbed',
    'Ended',
    'Ending',
    'Exit',
    'Flood',
    'Gone',
    'History',
    'InForce',
    'Left',
    'Peak',
    'Refused',
    'Reload',
    'Run',
    'SettingsRead',
    'Silence',
    'Started',
    'StopCall',
    'StopCut',
]


class Ending(enum.Enum):
    """How a call ended for its caller."""

    WHOLE = 'whole'
    NOT_RUN = 'not run'
    DENIED = 'denied'
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
    :param route: the route that it needs, if changes add and remove it; empty if all
        configurations have it.
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
    route: str = ''


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
class Sent:
    """A call that a node sent to an instance, at which it may not have arrived."""

    call: str
    instance: str


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
class Flood:
    """Instances of a service that sent bytes that are no answer, without end.

    :param spares_answers: whether their answers were whole nevertheless.
    """

    service: str
    instances: frozenset[str]
    since: float
    until: float
    spares_answers: bool = False


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
    :param sent_at: when the operator wrote it.
    :param routes: routes that it has of those that changes add and remove.
    :param timeout_s: time-out of its routes in seconds.
    """

    version: int
    acknowledged_at: float
    keys: frozenset[str] = frozenset()
    sent_at: float = 0.0
    routes: frozenset[str] = frozenset()
    timeout_s: float = math.inf


@dataclass(frozen=True, slots=True)
class InForce:
    """A version of the configuration that a node put in force."""

    node: str
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A configuration that a node refused, by its revision in the store."""

    node: str
    revision: int
    reason: str
    at: float


@dataclass(frozen=True, slots=True)
class Damaged:
    """An invalid configuration that lay in the store for a time.

    :param error: what is wrong with it, as a node has to name it.
    """

    revision: int
    error: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Reload:
    """Changed settings of a node whose process got SIGHUP.

    :param option: the changed option: its section, a dot and its name.
    :param until: when the node had read them, or its process had ended.
    :param valid: whether a node may take them.
    """

    node: str
    at: float
    option: str
    until: float = math.inf
    valid: bool = True


@dataclass(frozen=True, slots=True)
class SettingsRead:
    """A node read its settings again.

    :param error: why it refused them; empty if it did not.
    :param taken: options that took effect.
    """

    node: str
    at: float
    error: str = ''
    taken: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Started:
    """A process of a node that began to listen."""

    node: str
    at: float


@dataclass(frozen=True, slots=True)
class Exit:
    """A process of a node that ended.

    :param since: when the driver began to end it.
    :param code: its exit code; the negative number of the signal that ended it.
    :param expected: the exit code after what the driver did; ``None`` after nothing.
    """

    node: str
    since: float
    at: float
    code: int
    expected: int | None


@dataclass(frozen=True, slots=True)
class StopCall:
    """A request to a node around its SIGTERM.

    :param shape: how it was sent, see :data:`soak.stops.SHAPES`.
    :param sent_at: when its last byte was sent, or the first one behind a response.
    :param status: status of its response; 0 without one.
    :param whole: whether the regular end of the response arrived.
    """

    id: str
    node: str
    shape: str
    sent_at: float
    ended_at: float
    status: int
    whole: bool


@dataclass(frozen=True, slots=True)
class StopCut:
    """A response that a node broke off as it stopped.

    :param after_s: seconds from SIGTERM until its request was read.
    """

    call: str
    node: str
    at: float
    after_s: float


@dataclass(frozen=True, slots=True)
class Crowd:
    """A time in which clients that keep to no limit held on to a node."""

    node: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Peak:
    """The peak memory of a node's process after a crowd of clients.

    :param memory_mb: resident memory in MiB.
    """

    node: str
    at: float
    memory_mb: float


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
    floods: tuple[Flood, ...] = ()
    silences: tuple[Silence, ...] = ()
    nodes: tuple[str, ...] = ()
    in_force: tuple[InForce, ...] = ()
    damaged: tuple[Damaged, ...] = ()
    refused: tuple[Refused, ...] = ()
    reloads: tuple[Reload, ...] = ()
    settings_read: tuple[SettingsRead, ...] = ()
    started: tuple[Started, ...] = ()
    exits: tuple[Exit, ...] = ()
    sent: tuple[Sent, ...] = ()
    stop_calls: tuple[StopCall, ...] = ()
    stop_runs: tuple[Run, ...] = ()
    stop_cuts: tuple[StopCut, ...] = ()
    peaks: tuple[Peak, ...] = ()
    crowds: tuple[Crowd, ...] = ()

    def map_calls(self) -> dict[str, Call]:
        """Return the calls by their ids."""
        return {call.id: call for call in self.calls}

    def was_closed_unread(self, call: Call, contact_s: float) -> bool:
        """Whether a node closed the connection of a call unread beside a crowd.

        A node may do so while its event loop is behind or it has too many connections,
        and the client may send the call to another one.  Nothing of it has run then.

        :param contact_s: seconds after a crowd within which a node is as before.
        """
        if call.ending is not Ending.UNKNOWN or call.status:
            return False
        return (
            any(
                crowd.node == call.node
                and crowd.since <= call.ended_at
                and call.sent_at <= crowd.until + contact_s
                for crowd in self.crowds
            )
            and all(run.call != call.id for run in self.runs)
            and all(sent.call != call.id for sent in self.sent)
        )

    def was_disturbed(self, node: str, since: float, until: float) -> bool:
        """Whether a node was disturbed in a time; of no name, the store."""
        return any(
            item.node == node and item.since <= until and item.until >= since
            for item in self.disturbed
        )

    def list_versions(self, since: float, until: float) -> list[Acknowledged]:
        """Return the configurations that may have been in force in a time.

        :param since: the newest that was acknowledged until then is the oldest of them.
        """
        known = [item for item in self.configurations if item.acknowledged_at <= since]
        later = [
            item
            for item in self.configurations
            if item.acknowledged_at > since and item.sent_at <= until
        ]
        return known[-1:] + later

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

    def list_floods(self, call: Call) -> list[Flood]:
        """Return the times in which instances of any service sent without end."""
        return [
            flood
            for flood in self.floods
            if flood.since <= call.ended_at and call.sent_at <= flood.until
        ]

    def find_limit_s(self, call: Call, late_s: float) -> float:
        """Return the least seconds that a call has by its caller and by its route.

        :param late_s: seconds for which nodes may go on with an older time-out.
        """
        return min([call.deadline_s, *self._list_timeouts_s(call, late_s)])

    def find_latest_limit_s(self, call: Call, late_s: float) -> float:
        """Return the most seconds that a call has by its caller and by its route.

        :param late_s: seconds for which nodes may go on with an older time-out.
        """
        timeouts_s = self._list_timeouts_s(call, late_s)
        return min(call.deadline_s, max(timeouts_s, default=math.inf))

    def _list_timeouts_s(self, call: Call, late_s: float) -> list[float]:
        """Return the time-outs of routes that may have been in force for a call."""
        versions = self.list_versions(call.sent_at - late_s, call.sent_at)
        return [item.timeout_s for item in versions]

    def measure_silence(self, call: Call, limit_s: float) -> float:
        """Return the seconds of a call's time in which instances stood still.

        :param limit_s: seconds that the call has.
        """
        until = call.sent_at + limit_s
        silent_s, counted_until = 0.0, call.sent_at
        for silence in sorted(self.list_silences(call), key=lambda item: item.since):
            start = max(silence.since, counted_until)
            counted_until = max(counted_until, min(silence.until, until))
            silent_s += max(0.0, counted_until - start)
        return silent_s
