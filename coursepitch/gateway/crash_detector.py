"""Detection of instances that crashed while they executed a request."""

from __future__ import annotations

import collections
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.crashes.suspects import REPORT_DELAY_S, Crash
from coursepitch.fleet.control import ProcessState
from coursepitch.gateway.job import MAX_CRASHES

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.crashes.reports import CrashReporter
    from coursepitch.fleet.control import InstanceControl
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.session import FleetSession
    from coursepitch.gateway.job import Job

__all__ = ['CrashDetector']

#: Seconds for which the finding that an instance ended is cached.  Source: the requests
#: that it interrupts fail within some tens of milliseconds, and its entry expires after
#: three heartbeats of about 1.2 s.
ENDED_CACHE_S = 5.0

#: Seconds between two events of a run after which the parts of its prompt did not crash
#: the instance: a part that does so crashes it as the response begins.
PROVEN_S = 1.0

#: Seconds for which a check that reached nobody is not repeated: a run whose response
#: is broken off for it is examined for a crash right after.
UNREACHED_CACHE_S = 0.5

#: Seconds for which an instance that does not answer is asked again about a response
#: that was silent, and seconds between two questions.  A sound instance may stand still
#: for a second or so, and clients abandon a stream that stalls for two seconds.
SILENT_TIMEOUT_S = 2.0
SILENT_PAUSE_S = 0.05

#: Seconds for which an instance without an entry is asked whether it runs on.
RUNS_ON_TIMEOUT_S = 0.15

#: Number of checks to finish later that are kept; the oldest are dropped beyond it.
MAX_UNFINISHED = 1_000


@dataclass(frozen=True, slots=True)
class _Interruption:
    """Run of a request that an instance interrupted.

    :param sent_at: monotonic time of the send.
    :param wrote_s: seconds between the first and the last event of the run.
    :param has_events: whether any event of the run was forwarded.
    """

    job: Job
    instance: FleetInstance
    sent_at: float
    wrote_s: float
    has_events: bool


@dataclass(frozen=True, slots=True)
class _Finding:
    """Result of a check of an instance.

    :param began_at: monotonic time at which the check began.
    :param ended_at: monotonic time at which it ended.
    """

    state: ProcessState
    began_at: float
    ended_at: float


class CrashDetector:
    """Check whether an instance ended, once for all requests interrupted there.

    Without a proof, only an instance that is listed and not leaving can have crashed:
    one that said that it leaves, or whose entry has been deleted, may have ended on
    purpose.  A node that was suspended since the send reports no crash, as its view of
    the instances is stale.
    """

    def __init__(
        self,
        node_name: str,
        session: FleetSession,
        control: InstanceControl,
        reporter: CrashReporter,
        clock: Clock,
    ) -> None:
        self._node_name = node_name
        self._session = session
        self._control = control
        self._reporter = reporter
        self.clock = clock
        self._findings: dict[tuple[str, int], _Finding] = {}
        self._pending: dict[tuple[str, int], anyio.Event] = {}
        self._unfinished: collections.deque[_Interruption] = collections.deque(
            maxlen=MAX_UNFINISHED
        )
        self._has_unfinished = anyio.Event()

    async def run(self) -> None:
        """Finish checks that were cancelled with their runs, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_unfinished.wait()
                self._has_unfinished = anyio.Event()
                while self._unfinished:
                    found = self._unfinished.popleft()
                    tasks.start_soon(self._record_crash, found)

    async def check_crash(self, job: Job) -> None:
        """Record a crash if the instance that interrupted a request has ended."""
        instance, sent_at = job.interrupted_by, job.last_sent_at
        if instance is None:
            return
        has_events = job.last_event_at is not None and job.last_event_at >= sent_at
        found = _Interruption(job, instance, sent_at, job.wrote_s, has_events)
        try:
            has_crashed = await self._record_crash(found)
        except anyio.get_cancelled_exc_class():
            # Another run of the request made progress, or its client left.
            self._unfinished.append(found)
            self._has_unfinished.set()
            raise
        if has_crashed and not has_events:
            # A request without events from this run is the likely cause of the crash.
            # It waits for concurrent reports of other nodes: when four nodes retried at
            # once, eight instances crashed before any node had another's report.
            await anyio.sleep(REPORT_DELAY_S)

    async def _record_crash(self, found: _Interruption) -> bool:
        """Record a crash if an instance has ended; return whether it did."""
        job, instance = found.job, found.instance
        if not await self.has_crashed(instance):
            return False
        if not self._session.pause_detector.has_run_since(found.sent_at):
            return False
        traits = job.traits
        job.crashes += 1
        log.emit(
            events.INSTANCE_CRASHED,
            instance=instance.name,
            born=instance.born,
            request=job.fields.request,
            fingerprint=traits.fingerprint,
            customer=traits.customer,
            parts=list(traits.parts),
            wrote_s=round(found.wrote_s, 3),
        )
        self._reporter.note_crash(self._build_crash(job, instance, found.wrote_s))
        return True

    def _build_crash(self, job: Job, instance: FleetInstance, wrote_s: float) -> Crash:
        """Return the crash; only a run that had just begun counts against its parts.

        :param wrote_s: seconds between the first and the last event of the run.
        """
        traits, software = job.traits, instance.software
        if wrote_s >= PROVEN_S:
            self._reporter.note_sound(traits, software)
            traits = replace(traits, parts=())
        return Crash(
            traits.fingerprint,
            traits.customer,
            instance.name,
            instance.born,
            self.clock(),
            self._node_name,
            software,
            traits.workload,
            traits.parts,
            self._reporter.list_sound_parts(traits, software),
        )

    def is_listed(self, instance: FleetInstance) -> bool:
        """Whether an instance is listed and not known to be leaving."""
        return self._session.view.accepts_requests(instance.name)

    async def has_crashed(self, instance: FleetInstance) -> bool:
        """Whether an instance is proven to have ended without leaving before."""
        return await self.find_state(instance) is ProcessState.ENDED

    async def find_state(self, instance: FleetInstance) -> ProcessState:
        """Return what is proven of an instance.

        One that is leaving, or no longer listed, is not asked, so only a proof that
        this node holds tells of its end.
        """
        if self._has_found_end(instance):
            return ProcessState.ENDED
        state = ProcessState.UNKNOWN
        if self.is_listed(instance):
            state = await self._check_state(instance)
            if state in (ProcessState.RUNS, ProcessState.ENDED):
                return state
        if self._reporter.knows_crash(instance):
            return ProcessState.ENDED
        return state

    async def find_state_of_leaving(self, instance: FleetInstance) -> ProcessState:
        """Return the state of an instance that is leaving, or has no entry.

        Its end alone is no crash, so it is not recorded.
        """
        return await self._control.find_state(instance)

    async def runs_on(self, instance: FleetInstance) -> bool:
        """Whether an instance answers, whatever is known of its entry.

        One that answers does so at once, and the request waits for it.
        """
        with anyio.move_on_after(RUNS_ON_TIMEOUT_S):
            return await self._control.find_state(instance) is ProcessState.RUNS
        return False

    async def find_state_of_silent(self, instance: FleetInstance) -> ProcessState:
        """Return the state of an instance of which nothing is proven.

        It is asked until it answers, as a sound one that stands still goes on soon.
        One that leaves is asked as well.  Its end alone is no crash, so it is not
        recorded.
        """
        until = self.clock() + SILENT_TIMEOUT_S
        while True:
            if self.is_listed(instance):
                state = await self.find_state(instance)
            else:
                state = await self._control.find_state(instance)
            if state is not ProcessState.UNKNOWN or self.clock() >= until:
                return state
            await anyio.sleep(SILENT_PAUSE_S)

    def _has_found_end(self, instance: FleetInstance) -> bool:
        """Whether this node found that an instance ended, or lists a later birth."""
        present = self._session.view.instances.get(instance.name)
        if present is not None and present.is_restart_of(instance):
            return True
        self._drop_expired()
        found = self._findings.get((instance.name, instance.born))
        return found is not None and found.state is ProcessState.ENDED

    def forbids_retry(self, job: Job) -> bool:
        """Whether a request that crashed instances may not be retried here.

        Crashes that other nodes reported in the meantime count as well.
        """
        if job.crashes >= MAX_CRASHES:
            return True
        return job.crashes > 0 and self.is_refused(job)

    def is_refused(self, job: Job) -> bool:
        """Whether a request is known to crash instances that it may be sent to."""
        if not self._reporter.has_suspects():
            return False
        software = self._session.view.list_software(job.service.name)
        return self._reporter.is_refused(job.traits, software)

    async def _check_state(self, instance: FleetInstance) -> ProcessState:
        key = (instance.name, instance.born)
        asked_at, waited = self.clock(), False
        while (pending := self._pending.get(key)) is not None:
            waited = True
            await pending.wait()
        found = self._findings.get(key)
        if found is not None and self._is_valid(found, asked_at, waited):
            return found.state
        done = self._pending[key] = anyio.Event()
        began_at = self.clock()
        try:
            state = await self._control.find_state(instance)
        finally:
            del self._pending[key]
            done.set()
        if state is ProcessState.ENDED:
            self._reporter.note_ended(instance.name)
        elif self._has_found_end(instance):
            state = ProcessState.ENDED
        self._findings[key] = _Finding(state, began_at, self.clock())
        return state

    def _is_valid(self, found: _Finding, asked_at: float, waited: bool) -> bool:
        """Whether a finding answers a question that was asked at a monotonic time.

        A live instance may still end, so only checks that began since tell of it.

        :param waited: whether the check was under way then.
        """
        if found.state is ProcessState.ENDED:
            return True
        if found.state is ProcessState.UNREACHED:
            return self.clock() - found.ended_at < UNREACHED_CACHE_S
        return waited and found.began_at >= asked_at

    def _drop_expired(self) -> None:
        start = self.clock() - ENDED_CACHE_S
        for key in [
            key for key, found in self._findings.items() if found.began_at < start
        ]:
            del self._findings[key]
