"""One run: processes are started, faults come in their order, and all is recorded."""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from typing import TYPE_CHECKING

from soak.clients import Client
from soak.history import (
    Broken,
    Call,
    Cut,
    Disturbed,
    Ended,
    Gone,
    History,
    Left,
    Run,
    Silence,
)
from soak.plan import FaultKind, draw_plan
from tests.whole.platform_base import KEY, PlatformCase, build_configuration

if TYPE_CHECKING:
    from soak.plan import Fault

__all__ = ['CLIENTS', 'ENGINES', 'SoakRun']

#: Clients of a run, by node.
CLIENTS = 2

#: Events of a stream.
EVENTS = 10

#: Instances of a run that serve streams.
ENGINES = 13

#: Seconds until a process that was killed or stopped is started again.
START_AFTER_S = 0.5

#: Seconds that a stopped process has to end by itself.
STOP_S = 9.0

#: Seconds for which a run goes on after its last fault.
SETTLE_S = 4.0


class _System(PlatformCase):
    """Store, instances and nodes as processes."""

    events = EVENTS
    own_paths = True

    @classmethod
    def configure(cls, **fields: object) -> None:
        """Write a configuration with a route of streams that may not be resumed."""
        routes = build_configuration()['routes']
        single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
        super().configure(routes=[*routes, {**routes[0], **single}], **fields)


class SoakRun:
    """A run of some seconds under faults that a seed decides.

    :param count: number of nodes.
    :param engines: number of instances that serve streams.
    :param clients: number of clients, by node.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        count: int,
        engines: int = ENGINES,
        clients: int = CLIENTS,
    ) -> None:
        self._seed = seed
        self._engines = engines
        self._clients = clients
        self._seconds = seconds
        self._names = tuple(f'n{number}' for number in range(1, count + 1))
        self._disturbed: list[Disturbed] = []
        self._left: list[Left] = []
        self._cuts: list[Cut] = []
        self._broken: list[Broken] = []
        self._silences: list[Silence] = []
        self._away: set[str] = set()
        self._without_paths: set[str] = set()
        self._part = ''
        self._lock = threading.Lock()
        self._tasks: list[threading.Thread] = []
        self._pause = threading.Event()

    def run(self) -> History:
        """Run it and return what was recorded."""
        _System.nodes = self._names
        _System.seed = self._seed
        _System.engines = self._engines
        _System.setUpClass()
        try:
            return self._run()
        finally:
            _System.doClassCleanups()

    def _run(self) -> History:
        clients = [
            Client(
                f'{name}c{number}',
                f'{self._seed}/{name}/{number}',
                KEY,
                EVENTS,
                self._find,
                lambda: self._part,
            )
            for name in self._names
            for number in range(self._clients)
        ]
        began_at = time.monotonic()
        for client in clients:
            client.start()
        for fault in draw_plan(self._seed, self._seconds):
            self._pause.wait(max(0.0, began_at + fault.at - time.monotonic()))
            self._begin(fault)
        for task in self._tasks:
            task.join()
        self._pause.wait(SETTLE_S)
        for client in clients:
            client.end()
        calls = sorted(
            (call for client in clients for call in client.calls),
            key=lambda call: call.sent_at,
        )
        return self._collect(calls)

    def _collect(self, calls: list[Call]) -> History:
        runs = [
            Run(
                visit['request'],
                name,
                service,
                visit['at'],
                visit['ran'],
                float(visit['backoff'] or 0),
                visit['leaving'],
            )
            for service in ('pool', 'api')
            for name, item in _System.stats(service).items()
            for visit in item['visits']
        ]
        runs.sort(key=lambda run: run.arrived_at)
        return History(
            tuple(calls),
            tuple(runs),
            tuple(self._left),
            disturbed=tuple(self._disturbed),
            cuts=tuple(self._cuts),
            ends=self._list_ends(),
            gone=self._list_gone(),
            broken=tuple(self._broken),
            silences=tuple(self._silences),
        )

    def _list_ends(self) -> tuple[Ended, ...]:
        """Return the instances that ended as they began to answer, in order."""
        ends = [
            Ended(name, item['crashed_by'], item['crashed_at'])
            for name, item in _System.stats('pool').items()
            if item['crashed_by']
        ]
        return tuple(sorted(ends, key=lambda end: end.at))

    def _list_gone(self) -> tuple[Gone, ...]:
        """Return all instances that ended."""
        return tuple(
            Gone(name, service, item['crashed_at'])
            for service in ('pool', 'api')
            for name, item in _System.stats(service).items()
            if item['crashed']
        )

    def _find(self, choice: float) -> tuple[str, str]:
        """Return the name and the URL of a node."""
        name = self._names[int(choice * len(self._names))]
        return name, _System.running[name].url

    # -- faults ------------------------------------------------------------------

    def _begin(self, fault: Fault) -> None:
        """Let a fault begin and end, beside others."""
        kinds = {
            FaultKind.KILL: self._end_node,
            FaultKind.STOP: self._end_node,
            FaultKind.FREEZE: self._freeze,
            FaultKind.STORE: self._trouble_store,
            FaultKind.BACKOFF: self._backoff,
            FaultKind.LEAVE: self._leave,
            FaultKind.DRAIN: self._leave,
            FaultKind.CRASH: self._leave,
            FaultKind.PATHS: self._cut_paths,
            FaultKind.BREAK: self._break_off,
            FaultKind.PART: self._end_by_part,
            FaultKind.PAUSE: self._stand_still,
            FaultKind.SUSPEND: self._suspend,
        }
        task = threading.Thread(target=kinds[fault.kind], args=(fault,))
        task.start()
        self._tasks.append(task)

    def _take(self, names: list[str], choice: float) -> str:
        """Return one that no other fault concerns now, and keep it; empty for none."""
        with self._lock:
            free = [name for name in names if name not in self._away]
            # Half of them stay, so that something is left to serve.
            if len(free) <= len(names) / 2:
                return ''
            name = free[int(choice * len(free))]
            self._away.add(name)
            return name

    def _give_back(self, name: str) -> None:
        with self._lock:
            self._away.discard(name)

    def _note(self, node: str, since: float) -> None:
        self._disturbed.append(Disturbed(node, since, time.monotonic()))

    def _end_node(self, fault: Fault) -> None:
        """Kill or stop a node's process, and start it again."""
        name = self._take(list(self._names), fault.choice)
        if not name:
            return
        since = time.monotonic()
        node = _System.running[name]
        killed = fault.kind is FaultKind.KILL
        node.process.send_signal(signal.SIGKILL if killed else signal.SIGTERM)
        try:
            node.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            node.process.kill()
            node.process.wait()
        self._pause.wait(START_AFTER_S)
        node.start_again()
        _System.wait_for(node.has_started_again, f'{name} listens')
        self._note(name, since)
        self._give_back(name)

    def _freeze(self, fault: Fault) -> None:
        """Let a node's process stand still for a while."""
        name = self._take(list(self._names), fault.choice)
        if not name:
            return
        since = time.monotonic()
        process = _System.running[name].process
        process.send_signal(signal.SIGSTOP)
        self._pause.wait(fault.length_s)
        process.send_signal(signal.SIGCONT)
        self._note(name, since)
        self._give_back(name)

    def _cut_paths(self, fault: Fault) -> None:
        """Let some nodes, or all, lose their paths to all instances for a while."""
        with self._lock:
            names = [name for name in self._names if name not in self._without_paths]
            count = round(fault.share * len(names))
            start = int(fault.choice * len(names))
            chosen = (names + names)[start : start + max(1, count)]
            self._without_paths.update(chosen)
        if not chosen:
            return
        since = time.monotonic()
        _System.cut(chosen, fault.mode)
        in_force_at = time.monotonic()
        self._pause.wait(fault.length_s)
        lifted_at = time.monotonic()
        _System.cut(chosen, 'none')
        until = time.monotonic()
        cut = Cut(frozenset(chosen), since, until, in_force_at, lifted_at)
        self._cuts.append(cut)
        with self._lock:
            self._without_paths.difference_update(chosen)

    def _trouble_store(self, fault: Fault) -> None:
        """Let the store answer nothing, or nobody, for a while."""
        if not self._take(['store'], 0.0):
            return
        since = time.monotonic()
        _System.set_store_fault(mode='down' if fault.choice < 0.5 else 'refuse')
        self._pause.wait(fault.length_s)
        _System.set_store_fault(mode='none')
        self._note('', since)
        self._give_back('store')

    def _list_present(self, service: str) -> list[str]:
        stats = _System.stats(service)
        return sorted(name for name, item in stats.items() if not item['crashed'])

    def _choose(self, fault: Fault) -> list[str]:
        """Return the instances of a service that a fault concerns."""
        present = self._list_present(fault.service)
        count = max(1, round(fault.share * len(present)))
        start = int(fault.choice * len(present))
        return (present + present)[start : start + count]

    def _backoff(self, fault: Fault) -> None:
        """Let some of a service's instances turn requests away and ask for backoffs."""
        chosen = self._choose(fault)
        backoff = str(fault.backoff_s)
        _System.control(fault.service, '/backoff', instances=chosen, backoff=backoff)
        self._pause.wait(fault.length_s)
        _System.control(fault.service, '/backoff', instances=chosen, backoff=None)

    def _break_off(self, fault: Fault) -> None:
        """Let some of a service's instances break off all their answers."""
        chosen = self._choose(fault)
        since = time.monotonic()
        broken = {'place': fault.place, 'reset': fault.place == 'between'}
        _System.control(
            fault.service, '/fault', mode='half', instances=chosen, **broken
        )
        self._pause.wait(fault.length_s)
        _System.control(fault.service, '/fault', mode='none', instances=chosen)
        self._broken.append(Broken(frozenset(chosen), since, time.monotonic()))

    def _stand_still(self, fault: Fault) -> None:
        """Let some of a service's instances stand still and go on."""
        chosen = self._choose(fault)
        since = time.monotonic()
        length_s = fault.length_s
        _System.control(fault.service, '/pause', instances=chosen, for_s=length_s)
        self._pause.wait(length_s)
        self._note_silence(fault, chosen, since)

    def _suspend(self, fault: Fault) -> None:
        """Stop the process of all instances of a service by a signal; let it go on."""
        name = self._take([f'process of {fault.service}'], 0.0)
        if not name:
            return
        present = self._list_present(fault.service)
        since = time.monotonic()
        process = _System.processes[fault.service]
        process.send(signal.SIGSTOP)
        self._pause.wait(fault.length_s)
        process.send(signal.SIGCONT)
        self._note_silence(fault, present, since)
        self._give_back(name)

    def _note_silence(self, fault: Fault, names: list[str], since: float) -> None:
        silence = Silence(fault.service, frozenset(names), since, time.monotonic())
        self._silences.append(silence)

    def _end_by_part(self, fault: Fault) -> None:
        """Let a part of prompts end each instance that begins to answer with it."""
        part = f'bad{int(fault.at * 1000):05}'
        events = int(fault.choice * 3)
        _System.control('pool', '/crash_on', part=part, events=events)
        self._part = part
        self._pause.wait(fault.length_s)
        self._part = ''

    def _leave(self, fault: Fault) -> None:
        """Let an instance end: announced in answers, in the store, or not at all."""
        name = self._take(self._list_present(fault.service), fault.choice)
        if not name:
            return
        if fault.kind is FaultKind.LEAVE:
            _System.control(fault.service, '/leave', instances=[name])
        elif fault.kind is FaultKind.DRAIN:
            _System.control(fault.service, '/drain', instances=[name])
            self._left.append(Left(name, time.monotonic()))
        if fault.kind is not FaultKind.CRASH:
            self._pause.wait(fault.length_s)
        _System.control(fault.service, '/crash', instances=[name])
