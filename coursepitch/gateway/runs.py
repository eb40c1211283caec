"""Runs of a request: each is one send, and at most one of them delivers the response.

A silent instance may have failed or may be about to go on, and silence does not tell
which.  So a run that is suspected of having failed is kept while another is tried, and
the first one to make progress delivers the response.  A run ends when its failure is
proven, when another one makes progress, or with its request; never by silence.

Progress is a whole event or the regular end of a response.  Other bytes, such as
comments or parts of an event, may come without end and show no more than silence does.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import anyio

from coursepitch.gateway.response_ends import Arrivals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from coursepitch.fleet.send_permits import Permit
    from coursepitch.fleet.view import OpenGroup
    from coursepitch.gateway.watchdog import Stall
    from coursepitch.http.client import Response
    from coursepitch.http.event_splitter import EventSplitter

__all__ = ['EndProof', 'Progress', 'Run', 'RunRace', 'RunSet', 'Runnable']

#: Seconds without bytes after which a run fails whose instance, or a member of its
#: group, is known to have ended: what had been sent before has arrived by then.
PROVEN_END_S = 1.0

#: Seconds without progress after which it fails although bytes arrive, as what the
#: buffers on the way hold takes a while to read.
PROVEN_REST_S = 2.0


class Progress(enum.Enum):
    """How the delivery of a response came to a halt.

    :cvar WHOLE: the client has the whole response.
    :cvar STALLED: the run may have failed.
    """

    WHOLE = 'whole'
    STALLED = 'stalled'
    FAILED = 'failed'


class Runnable(Protocol):
    """One send of a request, to a group or to a plain instance.

    :ivar suspected: whether it may have failed, as it makes no progress.
    :ivar interrupted: whether its connection was lost, and it is being examined whether
        the instance crashed.
    """

    suspected: bool
    interrupted: bool

    @property
    def head(self) -> str:
        """Name of the instance that the request is sent to."""


R = TypeVar('R', bound=Runnable)


@dataclass(eq=False)
class EndProof:
    """What is known of the end of a run's instance, or of a member of its group.

    :param proven_at: monotonic time since which its end is known, without progress of
        the run; ``None`` if it is not.
    """

    proven_at: float | None = None

    def note(self, now: float, *, ended: bool, has_paused: bool) -> None:
        """Record whether the end is known at a monotonic time.

        :param has_paused: whether this process has paused since the last time, so that
            bytes may have arrived that are yet to be read.
        """
        if not ended:
            self.proven_at = None
        elif self.proven_at is None or has_paused:
            self.proven_at = now

    def postpone(self, seconds: float) -> None:
        """Let some seconds not count, in which the run was not read."""
        if self.proven_at is not None:
            self.proven_at += seconds

    def is_final(self, now: float, arrivals: Arrivals) -> bool:
        """Whether a run that has not progressed since can do so no more."""
        if self.proven_at is None:
            return False
        heard_at = max(self.proven_at, arrivals.latest_at or self.proven_at)
        return now - heard_at >= PROVEN_END_S or now - self.proven_at >= PROVEN_REST_S


@dataclass(eq=False)
class Run:
    """One send of a request to a group, and its response.

    :param splitter: splits the response into events; its last event at the beginning
        is the one after which the run starts.
    :param permit: permit for the send, where the instance limits its rate.
    :param tokens: estimated tokens of the request in the group's key-value cache.
    :param sent_at: monotonic time of the send; ``None`` before it.
    :param began_at: monotonic time at which its first event was forwarded.
    :param response: ``None`` before its head has arrived.
    :param events: whole events, and comments, that are yet to be forwarded.
    :param has_progressed: whether there is an event among them, or the response has
        ended regularly.
    :param arrivals: when the bytes of the response arrived.
    :param received: bytes of the response since the last event that it gave.
    :param body: body of an error response.
    :param parts: what has arrived of a body that is forwarded at its regular end;
        ``None`` for a stream of events.
    :param counted_bytes: bytes of the response that count among all that are buffered.
    :param complete: whether the response has ended regularly.
    :param suspected: whether the run may have failed, as it makes no progress.
    :param interrupted: whether its connection was lost, and it is being examined
        whether the instance crashed.
    :param ended: whether what it held was released.
    :param stall: why it was last suspected; ``None`` if it was never.
    :param stalled_at: monotonic time since which it is suspected.
    :param answering_since: monotonic time since which its group is known to answer
        again, and it makes no progress nevertheless; ``None`` if it does not answer.
    :param waits_since: monotonic time from which it counts as waiting for progress.
    :param progressed_at: monotonic time at which it last progressed as it delivers the
        response, or at which the node last went on after a pause.
    :param checked_at: monotonic time at which its group was last probed for it.
    :param proof: whether a member of its group is known to have ended.
    :param scope: cancelled if the run is to fail; ``None`` while it is not read.
    """

    group: OpenGroup
    splitter: EventSplitter
    permit: Permit | None = None
    tokens: int = 0
    sent_at: float | None = None
    began_at: float | None = None
    response: Response | None = None
    events: bytes = b''
    has_progressed: bool = False
    arrivals: Arrivals = field(default_factory=Arrivals)
    received: int = 0
    body: bytes | None = None
    parts: list[bytes] | None = None
    counted_bytes: int = 0
    complete: bool = False
    suspected: bool = False
    interrupted: bool = False
    ended: bool = False
    stall: Stall | None = None
    stalled_at: float = 0.0
    answering_since: float | None = None
    waits_since: float = 0.0
    progressed_at: float = 0.0
    checked_at: float = float('-inf')
    proof: EndProof = field(default_factory=EndProof)
    scope: anyio.CancelScope | None = None

    @property
    def head(self) -> str:
        """Name of the instance that the request is sent to."""
        return self.group.head.name

    def note_arrival(self, now: float) -> None:
        """Record that bytes of the response arrived at a monotonic time.

        A group that did not answer before the first bytes was silent: they may have
        been held up, and arrive together with the end of an instance that was ended.
        """
        arrivals, stall = self.arrivals, self.stall
        if arrivals.latest_at is None and stall is not None and stall.is_silence:
            arrivals.latest_at = self.stalled_at
        arrivals.note(now)

    def take_events(self) -> bytes:
        """Return the events that are yet to be forwarded, once."""
        events, self.events, self.has_progressed = self.events, b'', False
        return events


class RunSet(Generic[R]):
    """Runs of one request that may still deliver its response.

    :param last_event: id of the last event that the client has; empty for none.
    """

    def __init__(self, last_event: bytes = b'') -> None:
        self.last_event = last_event
        self.live: list[R] = []

    @property
    def heads(self) -> frozenset[str]:
        """Names of the instances of the runs."""
        return frozenset(run.head for run in self.live)

    def add(self, run: R) -> None:
        """Add a run."""
        self.live.append(run)

    def remove(self, run: R) -> None:
        """Remove a run that has ended."""
        self.live.remove(run)

    def choose(self, run: R) -> tuple[R, ...]:
        """Let a run deliver the response; return the others, which are removed."""
        others = tuple(other for other in self.live if other is not run)
        self.live = [run]
        run.suspected = False
        return others

    def needs_another(self) -> bool:
        """Whether there are runs, all are suspected, and none is being examined."""
        return (
            bool(self.live)
            and all(run.suspected for run in self.live)
            and not self.is_examining()
        )

    def is_examining(self) -> bool:
        """Whether it is being examined why the connection of a run was lost.

        The request may have crashed the instance, and another run the next one.
        """
        return any(run.interrupted for run in self.live)


def _start_at_once(_: object, start: Callable[[], object]) -> Callable[[], None]:
    start()
    return lambda: None


class RunRace(Generic[R]):
    """Wait until a run makes progress; try another one while all are suspected.

    Most requests have a single run, which makes progress before it is suspected.  So
    the first run is read by the task that waits, and its watch may start late.

    :param advance: sends a request unless it has been sent, and reads on to the next
        event; returns whether there is one, or the regular end.
    :param watch: returns once a run is suspected.
    :param find_other: returns another run once there is a group to try.
    :param defer: calls a function once a run is to be watched, at once by default;
        returns a function that prevents it.
    """

    def __init__(
        self,
        runs: RunSet[R],
        advance: Callable[[R], Awaitable[bool]],
        watch: Callable[[R], Awaitable[None]],
        find_other: Callable[[], Awaitable[R]],
        defer: Callable[[R, Callable[[], object]], Callable[[], None]] = _start_at_once,
    ) -> None:
        self._runs = runs
        self._advance = advance
        self._watch = watch
        self._find_other = find_other
        self._defer = defer
        self._withdrawals: list[Callable[[], None]] = []
        self._finding = False
        self._winner: R | None = None

    async def wait(self) -> R | None:
        """Return the first run that makes progress, or ``None`` if all have failed."""
        winner = await self._wait_once()
        # Another run may have been found just as the last one failed.
        while winner is None and self._runs.live:
            winner = await self._wait_once()
        return winner

    async def _wait_once(self) -> R | None:
        self._finding, self._winner = False, None
        first, *others = self._runs.live
        try:
            async with anyio.create_task_group() as tasks:
                self._start_watch(first, tasks)
                for run in others:
                    self._start(run, tasks)
                self._find_if_needed(tasks)
                try:
                    await self._read(first, tasks)
                except BaseException:
                    self._withdraw_watches()
                    raise
                if tasks.cancel_scope.cancel_called:
                    self._withdraw_watches()
        finally:
            self._withdraw_watches()
        return self._winner

    def _withdraw_watches(self) -> None:
        """Let no further watch start; a task group that ends does not wait for it."""
        for withdraw in self._withdrawals:
            withdraw()
        self._withdrawals.clear()

    def _start(self, run: R, tasks: TaskGroup) -> None:
        tasks.start_soon(self._read, run, tasks)
        self._start_watch(run, tasks)

    def _start_watch(self, run: R, tasks: TaskGroup) -> None:
        if not run.suspected:
            start = partial(tasks.start_soon, self._suspect, run, tasks)
            self._withdrawals.append(self._defer(run, start))

    def _find_if_needed(self, tasks: TaskGroup) -> None:
        if self._runs.needs_another() and not self._finding:
            self._finding = True
            tasks.start_soon(self._add_other, tasks)

    async def _read(self, run: R, tasks: TaskGroup) -> None:
        """Read a run until it makes progress or has failed."""
        advanced = await self._advance(run)
        if tasks.cancel_scope.cancel_called:
            # Another run made progress just before.
            return
        if advanced:
            self._winner = run
            tasks.cancel_scope.cancel()
            return
        self._runs.remove(run)
        if self._runs.live:
            self._find_if_needed(tasks)
        else:
            tasks.cancel_scope.cancel()

    async def _suspect(self, run: R, tasks: TaskGroup) -> None:
        """Watch a run until it is suspected."""
        if tasks.cancel_scope.cancel_called:
            return
        await self._watch(run)
        if not tasks.cancel_scope.cancel_called:
            run.suspected = True
            self._find_if_needed(tasks)

    async def _add_other(self, tasks: TaskGroup) -> None:
        """Find another run and read it."""
        run = await self._find_other()
        # Counted at once, so that it is ended with the others whatever happens.
        self._runs.add(run)
        self._finding = False
        if not tasks.cancel_scope.cancel_called:
            self._start(run, tasks)
