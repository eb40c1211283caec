"""A node whose requests wait for targets, with an injected clock and no sockets."""

from __future__ import annotations

from types import SimpleNamespace

import anyio

from coursepitch.config.routes import RoutedCustomer
from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.claims import GroupClaim
from coursepitch.gateway.admission import Admission
from coursepitch.gateway.calls import CallServer
from coursepitch.gateway.job import Ending
from coursepitch.gateway.late_starts import LateStarts
from coursepitch.gateway.load_tracker import LoadTracker
from coursepitch.gateway.router import Router
from coursepitch.gateway.send_gate import SendGate
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.gateway.streams import StreamServer
from coursepitch.gateway.watchdog import Watchdog
from coursepitch.metrics import Metrics
from tests.fleet.builders import (
    SERVICE,
    SOUND_PATHS,
    build_instance,
    build_service,
    build_table,
    build_view,
)
from tests.gateway.builders import UNKNOWN_TIMES

#: Objective of requests in seconds.  Waits are shares of it, and must not end by the
#: real clock while a test runs.
OBJECTIVE_S = 1000.0

#: Requests in flight at which a group counts as full in these tests.
FULL = 2


class FakeSession:
    """A session whose state the test sets; ``wake`` announces a change of the view."""

    def __init__(self, view):
        self.view = view
        self.fresh = True
        self.share = 0.0
        self.confirmation_age_s = 0.0
        self.changed = None

    def is_fresh(self):
        return self.fresh

    def count_nodes(self):
        return 1

    def find_share(self):
        return None

    async def wait_changed(self, limit_s):
        self.changed = anyio.Event()
        await self.changed.wait()

    def wake(self):
        if self.changed is not None:
            self.changed.set()


class OpenPermits:
    """Permits that are never needed."""

    def __init__(self, clock):
        self.clock = clock

    def is_closed(self, instance):
        return False

    def are_closed(self, instances, open_at):
        return False

    def allows(self, instance, permit):
        return True

    def find_retry_s(self, instances, nodes):
        return 0.0

    async def take(self, instance):
        return 'permit'


class WaitingNode:
    """Groups ``g0``, ``g1``, ... with heads ``h0``, ``h1``, ..., all of one model."""

    def __init__(self, groups=1, bound=FULL):
        self.now = 100.0
        instances, claims = [], []
        for number in range(groups):
            group, names = f'g{number}', (f'h{number}', f'm{number}')
            claims.append(GroupClaim(group, 5, SERVICE, 'd0', 'small', names))
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                instances.append(
                    build_instance(name, state=state, group=group, epoch=5, rank=rank)
                )
        instances += [
            build_instance(f'p{n}', service='plain', slots=2) for n in range(2)
        ]
        self.engine_service = build_service()
        self.plain_service = SimpleNamespace(name='plain', engine=None)
        self.view = build_view(instances, claims, self.clock)
        services = (self.engine_service, self.plain_service)
        self.view.table = build_table(services=services)
        self.session = FakeSession(self.view)
        self.load_tracker = LoadTracker(self.clock)
        self.metrics = Metrics()
        self.backoffs = InstanceBackoffs(self.clock)
        self.gate = SendGate(self.view, self.backoffs, OpenPermits(self.clock))
        self.admission = Admission(
            self.session,
            self.gate,
            self.load_tracker,
            self.metrics,
            self.clock,
            lambda: 0.5,
        )
        watchdog = Watchdog(self.session, None, self.clock)
        self.router = Router(
            self.view, self.load_tracker, watchdog, 'a', is_closed=self.gate.is_closed
        )
        components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=self.session,
            router=self.router,
            load_tracker=self.load_tracker,
            gate=self.gate,
            admission=self.admission,
            paths=SOUND_PATHS,
            clock=self.clock,
            late_starts=LateStarts(self.session, self.clock),
        )
        self.streams = StreamServer(components, watchdog)
        self.streams._find_max_in_flight = lambda job, live: bound
        self.calls = CallServer(components)
        self.got = []
        self.denied = []

    def clock(self):
        return self.now

    def build_job(self, name='r', customer='', urgency=0, plain=False, **fields):
        """Return a request that has just arrived."""
        found = {
            'fields': SimpleNamespace(
                request=name,
                model='' if plain else 'small',
                prompt_tokens=100,
                answer_tokens=100,
                expected_tokens=100,
            ),
            'service': self.plain_service if plain else self.engine_service,
            'customer': RoutedCustomer(customer) if customer else None,
            'urgency': urgency,
            'route': SimpleNamespace(objective_s=OBJECTIVE_S),
            'reply': SimpleNamespace(started=False),
            'arrived_at': self.now,
            'first_arrived_at': self.now,
            'deadline_at': self.now + 4 * OBJECTIVE_S,
            'is_client_retry': False,
            'work': 1.0,
            'retry_after_s': 0.0,
            'last_reason': '',
            'sent': [],
            'may_have_run': set(),
            'permit': None,
            'ending': Ending.NOT_RUN,
        }
        found.update(fields)
        return SimpleNamespace(**found)

    async def ask(self, job, tried=()):
        """Wait for a target and send a request to it."""
        server = self.calls if job.service is self.plain_service else self.streams
        wait = getattr(server, '_wait_for_group', None) or server._wait_for_instance
        target = await wait(job, set(tried))
        if target is None:
            self.denied.append(job.fields.request)
            return
        name = target.name if hasattr(target, 'name') else target.head.name
        self.load_tracker.begin(name)
        self.got.append(job.fields.request)

    def fill(self, *names, count=FULL):
        """Count requests as in flight to instances."""
        for name in names:
            for _ in range(count):
                self.load_tracker.begin(name)

    def end(self, name='h0', completed=True, job=None):
        """End a request that is in flight to an instance."""
        self.load_tracker.end(name)
        self.admission.note_end(job or self.build_job(), completed=completed)

    def list_waiting(self):
        return sum(self.admission.count_waiting().values())


def run(scenario):
    """Run a scenario with a task group, and cancel what still waits at its end."""

    async def main():
        async with anyio.create_task_group() as tasks:
            await scenario(tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def settle():
    """Let all tasks run until they wait."""
    await anyio.wait_all_tasks_blocked()
