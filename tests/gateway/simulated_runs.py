"""A request whose runs meet scripted instances, in virtual time and without a network.

The server, watchdog, admission, router and load tracker are the node's own.  Instances,
connections, the client and the retry budget are simulated; what breaks a promise is
recorded in :attr:`Simulation.faults`.
"""

from __future__ import annotations

import asyncio
import enum
import math
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio

from coursepitch.config.routes import Backend, Route, RouteKind
from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.control import Probe, ProcessState
from coursepitch.gateway.admission import Admission
from coursepitch.gateway.answer_times import AnswerTimes
from coursepitch.gateway.components import GatewayComponents
from coursepitch.gateway.job import Job
from coursepitch.gateway.late_starts import LateStarts
from coursepitch.gateway.load_tracker import LoadTracker
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.router import Router
from coursepitch.gateway.send_gate import SendGate
from coursepitch.gateway.streams import MAX_SENDS, StreamServer
from coursepitch.gateway.watchdog import Watchdog
from coursepitch.http.client import (
    ConnectionPool,
    ExchangeError,
    Framing,
    NoConnectionError,
)
from coursepitch.metrics import Metrics
from coursepitch.platform.headers import RequestFields
from tests.fleet.builders import (
    NO_SUSPICION,
    SERVICE,
    SOUND_PATHS,
    build_instance,
    build_service,
    build_table,
    build_view,
)
from tests.gateway.waiting_node import FakeSession, OpenPermits

#: Number of the last event of each stream.
LAST_EVENT = 5

#: Seconds of an instance's work up to the head of a response, and between events.
HEAD_S = 0.04
STEP_S = 0.06

#: Seconds between the two parts in which an event arrives.
PART_S = 0.01

#: Seconds that probes take, if they are answered and if not.
PROBE_S = 0.004
SILENT_PROBE_S = 0.26

#: Seconds after a silence until the fleet tells that the instance answers.
CLEAR_S = 0.3

#: Requests in flight of a group that is full.
FULL = 1000

START = 100.0

#: Statuses that guarantee that a request was not executed.
GUARANTEE_STATUSES = frozenset({408, 421, 429, 503})

#: Statuses of errors of an instance, and of its final answers to a request.
FAILED_STATUS = 500
DECLINED_STATUS = 400

REQUEST = 'r'


class Fate(enum.Enum):
    """How an instance treats a request.

    :cvar REFUSES: no process listens at its address.
    :cvar REJECTS: it tells that it did not run the request.
    :cvar FAILS: it answers with an error.
    :cvar DECLINES: it answers that the request is at fault.
    :cvar CLAIMS: it answers with a status that guarantees what it does not tell.
    :cvar BREAKS_OFF: the connection is reset after some events.
    :cvar ENDS_INSIDE: the response ends regularly inside an event.
    """

    SERVES = 'serves'
    REFUSES = 'refuses'
    REJECTS = 'rejects'
    FAILS = 'fails'
    DECLINES = 'declines'
    CLAIMS = 'claims'
    BREAKS_OFF = 'breaks off'
    ENDS_INSIDE = 'ends inside an event'


class Seen(enum.Enum):
    """How the silence of an instance shows.

    :cvar PROBED: it does not answer probes either.
    :cvar REPORTED: another node reports it as lost, and it answers probes.
    :cvar OVERDUE: it answers probes.
    """

    PROBED = 'probed'
    REPORTED = 'reported'
    OVERDUE = 'overdue'


@dataclass(frozen=True, slots=True)
class Script:
    """What an instance does; times are in seconds after the request arrives.

    :param after: events of a run before its fate.
    :param silent_at: when it falls silent.
    :param silent_s: for how long; infinite for good.
    :param gone_at: when its process ends and its entry disappears.
    :param resets: whether its connections are reset then, as those of a process are
        and those of a machine without power are not.
    :param connect_s: seconds that a connection takes.
    :param full_until: until when its group accepts no request.
    """

    fate: Fate = Fate.SERVES
    after: int = 0
    silent_at: float = math.inf
    silent_s: float = 0.0
    seen: Seen = Seen.PROBED
    gone_at: float = math.inf
    resets: bool = True
    connect_s: float = 0.0
    full_until: float = 0.0

    def is_silent(self, at):
        """Whether it is silent at a time."""
        return self.silent_at <= at < self.silent_at + self.silent_s

    def find_due(self, since, work_s):
        """Return when it has worked for some seconds since a time."""
        due = since + work_s
        if due <= self.silent_at or since >= self.silent_at + self.silent_s:
            return due
        return due + self.silent_at + self.silent_s - max(since, self.silent_at)


@dataclass(frozen=True, slots=True)
class Case:
    """A request, and the instances that it meets.

    :param attempts: most instances that the route allows to run the request.
    :param last_event: number of the last event that the client has already.
    :param leaves_at: when the client leaves.
    :param grants: retries that the budget has.
    :param granted_at: when the budget has them.
    :param settled_at: when the node's share of the budget takes effect.
    :param check_s: seconds that the check for a crash takes.
    :param paused_at: when the node's process pauses.
    :param paused_s: for how long.
    :param seed: seed of the choice between equally loaded groups.
    """

    scripts: tuple[Script, ...]
    attempts: int = 2
    resumable: bool = True
    last_event: int = 0
    timeout_s: float = 6.0
    leaves_at: float = math.inf
    grants: int = 9
    granted_at: float = 0.0
    settled_at: float = 0.0
    check_s: float = 0.0
    paused_at: float = math.inf
    paused_s: float = 0.0
    seed: int = 0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer once all tasks wait."""

    def __init__(self):
        super().__init__()
        self._virtual_now = START
        select = self._selector.select

        def advance(timeout):
            if timeout is None:
                raise RuntimeError('all tasks wait and no timer is set')
            self._virtual_now += timeout
            return select(0)

        self._selector.select = advance

    def time(self):
        return self._virtual_now

    def pause(self, seconds):
        """Let time pass in which the process does not run."""
        self._virtual_now += seconds


@dataclass(eq=False)
class Send:
    """A request at an instance, and its response.

    :param parts: what is yet to be read, each with the seconds of work before it.
    :param advanced_at: when the latest complete event or the end was read.
    :param failed: whether its failure was read.
    :param over: whether the gateway has read all of it or closed it.
    """

    simulation: Simulation
    name: str
    script: Script
    last_event: int
    began_at: float
    parts: list
    status: int = 200
    headers: tuple = ()
    framing: Framing = Framing.CHUNKS
    complete: bool = False
    advanced_at: float = -math.inf
    failed: bool = False
    over: bool = False

    @property
    def executes(self):
        return self.script.fate is not Fate.REJECTS

    def find_due(self, work_s):
        due = self.script.find_due(self.began_at, work_s)
        if due < self.script.gone_at:
            return due
        return self.script.gone_at if self.script.resets else math.inf

    async def reach(self, work_s):
        """Wait until the instance has done some work on the request."""
        due = self.find_due(work_s)
        if due == math.inf:
            await anyio.sleep_forever()
        await anyio.sleep(max(0.0, due - self.simulation.now))
        if due >= self.script.gone_at:
            self.failed = True
            raise ExchangeError('connection reset')

    async def read_chunk(self, timeout_s=None):
        if self.over:
            self.simulation.note_fault(f'{self.name} was read after its end')
        work_s, data, whole = self.parts[0]
        left_s = self.find_due(work_s) - self.simulation.now
        if timeout_s is not None and left_s > timeout_s:
            await anyio.sleep(timeout_s)
            raise TimeoutError
        await self.reach(work_s)
        self.parts.pop(0)
        if isinstance(data, Exception):
            self.failed = True
            raise data
        # A final answer ends other runs only while it can be forwarded.
        if whole and (
            self.status == 200
            or (self.status == DECLINED_STATUS and not self.simulation.reply.started)
        ):
            self.advanced_at = self.simulation.now
        self.complete = data is None
        return data

    async def read_whole(self, limit, note=lambda: None):
        parts, size = [], 0
        while (data := await self.read_chunk()) is not None:
            note()
            size += len(data)
            if size > limit:
                self.failed = True
                raise ExchangeError(f'response body larger than {limit} bytes')
            parts.append(data)
        return b''.join(parts)

    @property
    def pool(self):
        return self.simulation.pool

    @property
    def is_live(self):
        """Whether it may still deliver, as far as the gateway can know."""
        return not (self.failed or self.complete or self.status != 200)

    def release(self):
        self.simulation.end_send(self)


def build_parts(script, last_event):
    """Return the parts of the response to a request that resumes after an event."""
    if script.fate in (Fate.REJECTS, Fate.FAILS, Fate.DECLINES, Fate.CLAIMS):
        return [(HEAD_S, b'error', False), (HEAD_S + PART_S, None, True)]
    parts, work_s = [], HEAD_S
    for number in range(last_event + 1, LAST_EVENT + 1):
        work_s += STEP_S
        event = b'id: %d\ndata: x\n\n' % number
        parts.append((work_s, event[:9], False))
        is_last = len(parts) // 2 >= script.after
        if script.fate is Fate.ENDS_INSIDE and is_last:
            return [*parts, (work_s + PART_S, None, False)]
        if script.fate is Fate.BREAKS_OFF and is_last:
            return [*parts, (work_s + PART_S, ExchangeError('reset'), False)]
        parts.append((work_s + PART_S, event[9:], True))
    return [*parts, (work_s + PART_S, None, True)]


class SimulatedPool:
    """Connections to the instances of a simulation."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.open = 0
        self.buffers = ConnectionPool()
        self.note_buffered = self.buffers.note_buffered

    async def acquire(self, address, *, instance, fresh, limit):
        script = self._simulation.scripts[instance]
        self.open += 1
        try:
            await anyio.sleep(script.connect_s)
            if script.fate is Fate.REFUSES or self._simulation.now >= script.gone_at:
                raise NoConnectionError('refused', refused=True)
        except BaseException:
            self.open -= 1
            raise
        return instance

    def discard(self, connection):
        self.open -= 1

    async def exchange(self, connection, method, target, headers, body):
        send = self._simulation.begin_send(connection, dict(headers))
        try:
            await send.reach(HEAD_S)
        except BaseException:
            send.release()
            raise
        self._simulation.note_tasks()
        return send


class SimulatedReply:
    """A client; records what it gets and checks that no event is missing or doubled."""

    def __init__(self, simulation, last_event):
        self._simulation = simulation
        self.last_event = last_event
        self.started = self.written = self.whole = self.aborted = False
        self.status = None

    def has_client_left(self):
        return False

    def _check_open(self):
        if self.written or self.aborted:
            self._simulation.note_fault('a response goes on after its end')

    async def start(self, status, headers):
        self._check_open()
        self.started = True
        await anyio.sleep(0)

    async def send(self, data):
        self._check_open()
        expected = b''
        while len(expected) < len(data):
            self.last_event += 1
            expected += b'id: %d\ndata: x\n\n' % self.last_event
        if data != expected:
            self._simulation.note_fault(f'got {data} instead of {expected}')
        await anyio.sleep(0)

    async def end(self):
        self._check_open()
        self.whole = self.written = True
        if self.last_event != LAST_EVENT:
            self._simulation.note_fault(f'whole after event {self.last_event}')

    async def send_whole(self, status, headers, body):
        self._check_open()
        self.started = self.written = True
        self.status = status

    def abort(self):
        self._check_open()
        self.aborted = True


class SimulatedBudget:
    """A retry budget; each further run takes one retry."""

    def __init__(self, simulation, case):
        self._simulation, self._case = simulation, case
        self.granted = self.denied = self.unused = 0

    def has_room(self, service, part):
        case = self._case
        return self.granted < case.grants and (
            self._simulation.now >= START + case.granted_at
        )

    def take(self, service, part, request):
        granted = self.has_room(service, part)
        self.granted += granted
        self.denied += not granted
        self.unused += granted
        return granted

    def note_request(self, service):
        """Count a first send."""


class CountedPermits(OpenPermits):
    """Permits that are always granted, and counted."""

    taken = 0

    async def take(self, instance):
        self.taken += 1
        return await super().take(instance)


class CheckedLoadTracker(LoadTracker):
    """A load tracker that tells if more requests end than began."""

    on_fault = None

    def end(self, instance):
        if instance not in self.count_own():
            self.on_fault(f'a request at {instance} ended twice')
        super().end(instance)


class CheckedStreamServer(StreamServer):
    """A stream server that keeps the runs it begins."""

    def __init__(self, components, watchdog, on_begin):
        super().__init__(components, watchdog)
        self._on_begin = on_begin

    def _begin_run(self, job, group, last_event):
        run = super()._begin_run(job, group, last_event)
        self._on_begin(job, run)
        return run


class SimulatedSession(FakeSession):
    """A session whose view changes as instances end and answer again."""

    def __init__(self, view, simulation, settled_at):
        super().__init__(view)
        self.confirmation_age_s = 0.0
        self.share = SimpleNamespace(find_settled_at=lambda: settled_at)
        self.loans = SimpleNamespace(borrow=self._borrow)
        self.losses = SimpleNamespace(report=self._report)
        self.changed = anyio.Event()

    async def _borrow(self, service, request):
        await anyio.sleep(0.02)
        return False

    async def _report(self, name, *, ended=False):
        if self.view.note_reported_lost(name, ended=ended):
            self.wake()
        await anyio.sleep(0)

    async def wait_changed(self, limit_s):
        changed = self.changed
        with anyio.move_on_after(limit_s):
            await changed.wait()

    def wake(self):
        changed, self.changed = self.changed, anyio.Event()
        changed.set()


@dataclass(eq=False)
class Simulation:
    """One request up to its end.

    :param faults: promises that were broken.
    :param most_tasks: most tasks at the head of a response, without the one that serves
        the request.
    """

    case: Case
    faults: list[str] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    begun: list = field(default_factory=list)
    left: bool = False
    refusal: object = None
    tasks_before: frozenset[int] = frozenset()
    most_tasks: int = 0
    ended_s: float = math.nan

    @property
    def now(self):
        return anyio.current_time()

    def note_fault(self, fault):
        self.faults.append(fault)

    def note_tasks(self):
        """Count the tasks of the request."""
        found = {task.id for task in anyio.get_running_tasks()} - self.tasks_before
        self.most_tasks = max(self.most_tasks, len(found))

    def play(self):
        """Serve the request in virtual time; return this simulation."""
        state = random.getstate()
        # The router draws one of several groups with equal loads.
        random.seed(self.case.seed)
        try:
            anyio.run(self._play, backend_options={'loop_factory': VirtualTimeLoop})
        finally:
            random.setstate(state)
        return self

    def _build(self):
        case = self.case
        self.scripts, instances, claims = {}, [], []
        for number, script in enumerate(case.scripts):
            group, names = f'g{number}', (f'h{number}', f'm{number}')
            claims.append(GroupClaim(group, 5, SERVICE, 'd0', 'small', names))
            self.scripts[names[0]] = _shift(script)
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                # Zones are preferred in their order, so that h0 gets the first run.
                zone = 'a' if not number else 'b'
                instances.append(
                    build_instance(
                        name,
                        state=state,
                        group=group,
                        epoch=5,
                        rank=rank,
                        availability_zone=zone,
                    )
                )
        clock = anyio.current_time
        service = build_service()
        view = self.view = build_view(instances, claims, clock)
        view.table = build_table(services=[service])
        session = self.session = SimulatedSession(view, self, START + case.settled_at)
        tracker = self.tracker = CheckedLoadTracker(clock, self._count_peers)
        tracker.on_fault = self.note_fault
        self.permits = CountedPermits(clock)
        gate = SendGate(view, InstanceBackoffs(clock), self.permits)
        metrics = Metrics()
        self.admission = Admission(session, gate, tracker, metrics, clock, lambda: 0.5)
        watchdog = self.watchdog = Watchdog(
            session, SimpleNamespace(probe=self._probe), clock
        )
        router = Router(view, tracker, watchdog, 'a', is_closed=gate.is_closed)
        self.pool = SimulatedPool(self)
        self.budget = SimulatedBudget(self, case)
        components = GatewayComponents(
            session=session,
            router=router,
            load_tracker=tracker,
            budget=self.budget,
            pool=self.pool,
            crash_detector=SimpleNamespace(
                is_refused=lambda job: False,
                forbids_retry=lambda job: False,
                check_crash=self._check_crash,
                runs_on=self._runs_on,
                find_state=self._find_state,
            ),
            suspicion=NO_SUSPICION,
            notices=SimpleNamespace(take=lambda name, born, marks: None),
            gate=gate,
            admission=self.admission,
            paths=SOUND_PATHS,
            clock=clock,
            late_starts=LateStarts(session, clock),
            answer_times=AnswerTimes(clock),
        )
        self.late_starts = components.late_starts
        self.streams = CheckedStreamServer(components, watchdog, self._note_begin)
        self.gateway = Gateway(components, self.streams, None, NO_SUSPICION, metrics)
        self.reply = SimulatedReply(self, case.last_event)
        self.job = self._build_job(service)

    def _build_job(self, service):
        case = self.case
        last_event = b'%d' % case.last_event if case.last_event else b''
        fields = RequestFields(
            REQUEST, 'a.example', None, b'', 'small', 100, 100, 100, last_event
        )
        route = Route(
            name='r',
            host='a.example',
            prefix='/r/',
            kind=RouteKind.STREAM,
            timeout_s=case.timeout_s,
            objective_s=2.0,
            urgency=1,
            backends=(Backend(SERVICE, 1.0),),
            attempts=case.attempts,
            public=True,
            resumable=case.resumable,
            pause_s=0.3,
        )
        headers = ((b'Last-Event-Id', last_event),) if last_event else ()
        incoming = SimpleNamespace(
            method=b'POST',
            target=b'/r/x',
            headers=headers,
            body=b'',
            received_at=START,
            waited_s=0.0,
        )
        deadline_at = START + case.timeout_s
        return Job(incoming, self.reply, fields, route, service, None, deadline_at)

    async def _play(self):
        self._build()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.admission.run)
            tasks.start_soon(self.watchdog.run)
            tasks.start_soon(self.late_starts.run)
            for name, script in self.scripts.items():
                tasks.start_soon(self._change_view, name, script)
            scope = anyio.CancelScope()
            tasks.start_soon(self._leave, scope)
            tasks.start_soon(self._pause)
            for _ in range(3):
                await anyio.sleep(0)
            before = frozenset(task.id for task in anyio.get_running_tasks())
            self.tasks_before = before
            with scope:
                self.refusal = await self.gateway._run(self.job)
            self.ended_s = self.now - START
            after = {task.id for task in anyio.get_running_tasks()}
            tasks.cancel_scope.cancel()
        self._check_end(len(after - before))

    async def _leave(self, scope):
        await self._wait_until(START + self.case.leaves_at)
        self.left = True
        scope.cancel()

    async def _pause(self):
        await self._wait_until(START + self.case.paused_at)
        asyncio.get_running_loop().pause(self.case.paused_s)

    async def _wait_until(self, at):
        if at == math.inf:
            await anyio.sleep_forever()
        await anyio.sleep(max(0.0, at - self.now))

    async def _change_view(self, name, script):
        """Change the view as an instance is reported, answers again and ends."""

        async def report():
            await self._wait_until(script.silent_at)
            if script.seen is Seen.REPORTED:
                await self.session.losses.report(name)
            await self._wait_until(script.silent_at + script.silent_s + CLEAR_S)
            self.view.note_answering(name)
            self.session.wake()

        async def end():
            await self._wait_until(script.gone_at)
            self.view.instances.pop(name)
            self.view.version += 1
            self.session.wake()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(report)
            tasks.start_soon(end)

    # -- what the instances do --------------------------------------------------------

    def _count_peers(self, name):
        script = self.scripts.get(name)
        return FULL if script is not None and self.now < script.full_until else 0

    async def _probe(self, instance):
        script = self.scripts.get(instance.name)
        if script is None:
            return Probe.ANSWERS
        if self.now >= script.gone_at and script.resets:
            return Probe.REFUSED
        is_silent = script.seen is Seen.PROBED and script.is_silent(self.now)
        if is_silent or self.now >= script.gone_at:
            await anyio.sleep(SILENT_PROBE_S)
            return Probe.SILENT
        await anyio.sleep(PROBE_S)
        return Probe.ANSWERS

    async def _check_crash(self, job):
        await anyio.sleep(self.case.check_s)

    async def _runs_on(self, instance):
        await anyio.sleep(0)
        return self.now < self.scripts[instance.name].gone_at

    async def _find_state(self, instance):
        await anyio.sleep(self.case.check_s)
        return ProcessState.RUNS

    # -- what is checked on the way ---------------------------------------------------

    def _note_begin(self, job, run):
        self.begun.append(run)
        if self.budget.unused:
            self.budget.unused -= 1
        elif job.sent:
            self.note_fault(f'a run at {run.head} without a retry of the budget')

    def begin_send(self, name, headers):
        """Return a send to an instance, which is checked against the route."""
        script = self.scripts[name]
        last_event = int(headers.get(b'Last-Event-Id', b'0'))
        status = {
            Fate.REJECTS: 503,
            Fate.FAILS: FAILED_STATUS,
            Fate.DECLINES: DECLINED_STATUS,
            Fate.CLAIMS: 429,
        }
        marks = [(b'x-request-id', REQUEST.encode())]
        if script.fate is Fate.REJECTS:
            marks.append((b'x-not-executed', b'1'))
        send = Send(
            self,
            name,
            script,
            last_event,
            self.now,
            build_parts(script, last_event),
            status.get(script.fate, 200),
            tuple(marks),
        )
        if last_event != self.reply.last_event:
            self.note_fault(
                f'{name} goes on after {last_event}, the client has '
                f'{self.reply.last_event}'
            )
        if any(item.name == name and not item.over for item in self.sends):
            self.note_fault(f'two runs at {name} at a time')
        self.sends.append(send)
        ran = {item.name for item in self.sends if item.executes}
        if len(ran & self.view.instances.keys()) > self.case.attempts:
            self.note_fault(f'runs on {sorted(ran)} exceed the route')
        if not self.case.resumable and len(ran) > 1:
            self.note_fault(f'a stream that may not be resumed runs on {sorted(ran)}')
        if len(self.sends) > MAX_SENDS:
            self.note_fault(f'{len(self.sends)} sends')
        return send

    def end_send(self, send):
        """Take a connection back; a run that may still deliver ends for a reason."""
        if send.over:
            self.note_fault(f'the connection to {send.name} was released twice')
            return
        send.over = True
        self.pool.open -= 1
        if not send.is_live:
            return
        if self.left or self.now >= self.job.deadline_at - 0.001:
            if send.find_due(send.parts[0][0]) < self.now - PART_S:
                self.note_fault(f'the run at {send.name} was not read')
            return
        others = [item for item in self.sends if item is not send]
        if not any(item.advanced_at == self.now for item in others):
            self.note_fault(f'a live run at {send.name} was ended')

    def _check_end(self, tasks_left):
        if tasks_left:
            self.note_fault(f'{tasks_left} tasks are left')
        if self.tracker.count_own():
            self.note_fault(f'still in flight: {self.tracker.count_own()}')
        tokens = {name: self.streams._tokens.count(name) for name in self.scripts}
        if any(tokens.values()):
            self.note_fault(f'still counted: {tokens}')
        if self.pool.open:
            self.note_fault(f'{self.pool.open} connections are left')
        if self.pool.buffers.buffered_bytes:
            self.note_fault(f'{self.pool.buffers.buffered_bytes} bytes are left')
        if not all(run.ended for run in self.begun):
            self.note_fault('a run has not ended')
        if self.budget.unused:
            self.note_fault(f'{self.budget.unused} retries were taken for no run')
        ran = {send.name for send in self.sends if send.executes}
        if not ran <= self.job.may_have_run:
            self.note_fault(f'{ran} ran, known is {self.job.may_have_run}')
        unsent = self.job.may_have_run - {send.name for send in self.sends}
        if unsent:
            self.note_fault(f'{unsent} count as runs and were never sent')
        self._check_answer(ran)

    def _check_answer(self, ran):
        status = getattr(self.refusal, 'status', self.reply.status)
        if status in GUARANTEE_STATUSES and ran:
            self.note_fault(f'{status} although it ran on {sorted(ran)}')
        answers = (self.reply.written, self.reply.aborted, self.refusal is not None)
        if not self.left and sum(answers) != 1:
            self.note_fault(f'{sum(answers)} ends of a response')


def _shift(script):
    """Return a script whose times are those of the virtual clock."""
    return Script(
        script.fate,
        script.after,
        START + script.silent_at,
        script.silent_s,
        script.seen,
        START + script.gone_at,
        script.resets,
        script.connect_s,
        START + script.full_until,
    )
