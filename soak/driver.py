"""One run: processes are started, faults come in their order, and all is recorded."""

from __future__ import annotations

import json
import signal
import subprocess
import threading
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from soak.changes import (
    Operation,
    build_value,
    change_operation,
    choose_option,
    damage_value,
    write_option,
    write_settings,
)
from soak.clients import Client
from soak.crowds import MEMORY_MB, hold_on
from soak.history import (
    Acknowledged,
    Broken,
    Call,
    Crowd,
    Cut,
    Damaged,
    Disturbed,
    Ended,
    Exit,
    Flood,
    Gone,
    History,
    InForce,
    Left,
    Peak,
    Refused,
    Reload,
    Run,
    Sent,
    SettingsRead,
    Silence,
    Started,
    StopCall,
    StopCut,
)
from soak.plan import FaultKind, draw_plan, draw_signals
from soak.stops import StopClients, is_stop_call
from tests.whole.crowds import read_resources
from tests.whole.platform_base import KEY, OTHER_KEY, PlatformCase

if TYPE_CHECKING:
    from soak.plan import Fault
    from tests.whole.platform_base import Node

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

#: Starts of a node whose process ends before it listens.
MOST_STARTS = 5

#: Seconds for a node to read its settings after SIGHUP.  No document states a bound;
#: nodes stand still for less.
READ_WITHIN_S = 15.0

#: Seconds between two looks at the log of a node that is to read its settings.
READ_CHECK_S = 0.05

#: Most signals SIGHUP in a row.
MOST_SIGNALS = 3

#: Kinds of bytes without end beside which answers are whole.
SPARING_FLOODS = frozenset({'after_answer', 'report'})

#: Seconds for which a run goes on after its last fault.
SETTLE_S = 4.0


def is_ended_by(pid: int, number: signal.Signals) -> bool:
    """Whether a signal has its default action in a process."""
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return True
    masks = dict(line.split(':\t') for line in lines if line.startswith('Sig'))
    kinds = ('SigBlk', 'SigIgn', 'SigCgt')
    return not any(int(masks[kind], 16) >> (number - 1) & 1 for kind in kinds)


class _System(PlatformCase):
    """Store, instances and nodes as processes."""

    events = EVENTS
    own_paths = True
    more_settings = f'[limits]\nmemory_mb = {MEMORY_MB}\n'

    @classmethod
    def configure(cls, **fields: object) -> None:
        """Write the first configuration."""
        cls.put(json.dumps(build_value(Operation())))

    @classmethod
    def put(cls, text: str) -> int:
        """Write a configuration as the operators do, and return its revision."""
        url = f'http://127.0.0.1:{cls.store}/operator'
        reply = cls.client.post(url, json={'key': 'op/config', 'value': text})
        reply.raise_for_status()
        return int(reply.json()['revision'])


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
        self._floods: list[Flood] = []
        self._silences: list[Silence] = []
        self._away: set[str] = set()
        self._crowded: set[str] = set()
        self._without_paths: set[str] = set()
        self._part = ''
        self._operation = Operation()
        self._configurations: list[Acknowledged] = []
        self._damaged: list[Damaged] = []
        self._reloads: list[Reload] = []
        self._exits: list[Exit] = []
        self._stop_calls: list[StopCall] = []
        self._peaks: list[Peak] = []
        self._crowds: list[Crowd] = []
        self._starting: set[str] = set()
        self._clock_offset_s = time.time() - time.monotonic()
        self._lock = threading.Lock()
        self._operators = threading.Lock()
        self._settings = {name: threading.Lock() for name in self._names}
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
        self._note_acknowledged(began_at)
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
        for node in _System.running.values():
            self._note_if_ended(node)
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
            tuple(run for run in runs if not is_stop_call(run.call)),
            tuple(self._left),
            tuple(self._configurations),
            disturbed=tuple(self._disturbed),
            cuts=tuple(self._cuts),
            ends=self._list_ends(),
            gone=self._list_gone(),
            broken=tuple(self._broken),
            floods=tuple(self._floods),
            silences=tuple(self._silences),
            nodes=self._names,
            damaged=tuple(self._damaged),
            reloads=tuple(self._reloads),
            exits=tuple(self._exits),
            stop_calls=tuple(self._stop_calls),
            peaks=tuple(self._peaks),
            crowds=tuple(self._crowds),
            stop_runs=tuple(run for run in runs if is_stop_call(run.call)),
            **self._collect_events(),
        )

    def _collect_events(self) -> dict[str, Any]:
        """Return what nodes logged, as fields of a history."""
        fields: dict[str, list[Any]] = {
            'sent': [],
            'in_force': [],
            'refused': [],
            'settings_read': [],
            'started': [],
            'stop_cuts': [],
        }
        for name, node in _System.running.items():
            for event in node.read_events():
                kind = event.get('message_type')
                if kind == 'request.sent' and not is_stop_call(event['request']):
                    sent = Sent(event['request'], event['instance'])
                    fields['sent'].append(sent)
                elif kind == 'request.ended' and event['outcome'] == 'cut':
                    if event['reason'] == 'the node stops':
                        cut = StopCut(
                            event['request'],
                            name,
                            self._find_time(event),
                            event['stopping_s'],
                        )
                        fields['stop_cuts'].append(cut)
                elif kind == 'node.started':
                    fields['started'].append(Started(name, self._find_time(event)))
                elif kind == 'config.table_in_force':
                    in_force = InForce(name, event['version'], self._find_time(event))
                    fields['in_force'].append(in_force)
                elif kind == 'config.damaged':
                    fields['refused'].append(
                        Refused(
                            name,
                            event['revision'],
                            event['reason'],
                            self._find_time(event),
                        )
                    )
                elif kind == 'node.settings_read':
                    outcome = event['outcome']
                    fields['settings_read'].append(
                        SettingsRead(
                            name,
                            self._find_time(event),
                            '' if outcome == 'good' else outcome,
                            frozenset(event['taken']),
                        )
                    )
        return {name: tuple(items) for name, items in fields.items()}

    def _find_time(self, event: dict[str, Any]) -> float:
        """Return the time of a logged event by the driver's clock."""
        return float(event['timestamp']) - self._clock_offset_s

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
            FaultKind.FLOOD: self._flood,
            FaultKind.CROWD: self._crowd,
            FaultKind.CHANGE: self._change,
            FaultKind.RELOAD: self._reload,
            FaultKind.INVALID_CHANGE: self._damage,
            FaultKind.INVALID_RELOAD: self._reload,
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
        if not self._note_if_ended(node):
            if fault.kind is FaultKind.KILL:
                self._end_process(node, signal.SIGKILL)
            else:
                self._stop_node(node, fault)
        self._pause.wait(START_AFTER_S)
        self._start_again(node)
        self._note(name, since)
        self._give_back(name)

    def _stop_node(self, node: Node, fault: Fault) -> None:
        """Stop a node by a series of signals, beside clients of its own."""
        clients = StopClients(node, fault.at, self._seed)
        clients.start()
        series = threading.Thread(target=self._signal, args=(node.process, fault))
        clients.note_signal()
        series.start()
        self._end_process(node, signal.SIGTERM)
        series.join()
        clients.end()
        self._stop_calls += clients.calls

    def _signal(self, process: subprocess.Popen[bytes], fault: Fault) -> None:
        """Send the signals of a stop that follow the first one."""
        since = time.monotonic()
        for after_s, number in draw_signals(self._seed, fault):
            self._pause.wait(max(0.0, since + after_s - time.monotonic()))
            if process.poll() is not None:
                return
            process.send_signal(number)

    def _end_process(self, node: Node, number: signal.Signals) -> None:
        since = time.monotonic()
        node.process.send_signal(number)
        try:
            node.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            node.process.kill()
        code = node.process.wait()
        expected = -signal.SIGKILL if number is signal.SIGKILL else 0
        self._exits.append(Exit(node.name, since, time.monotonic(), code, expected))

    def _note_if_ended(self, node: Node) -> bool:
        """Note that a node's process has ended by itself, if it has."""
        code = node.process.poll()
        if code is None:
            return False
        now = time.monotonic()
        self._exits.append(Exit(node.name, now, now, code, None))
        return True

    def _start_again(self, node: Node) -> None:
        """Start a node's process, again if it ends before it listens."""
        for _ in range(MOST_STARTS):
            with self._settings[node.name]:
                self._starting.add(node.name)
                node.starts = len(node.read_events('node.started'))
                node.start_again()
            _System.wait_for(
                lambda: node.has_started_again() or node.process.poll() is not None,
                f'{node.name} listens',
            )
            self._starting.discard(node.name)
            if not self._note_if_ended(node):
                return

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

    def _flood(self, fault: Fault) -> None:
        """Let some of a service's instances send bytes that are no answer."""
        chosen = self._choose(fault)
        since = time.monotonic()
        _System.control(
            fault.service,
            '/fault',
            mode='endless',
            kind=fault.place,
            pace=fault.mode,
            instances=chosen,
        )
        self._pause.wait(fault.length_s)
        _System.control(fault.service, '/fault', mode='none', instances=chosen)
        flood = Flood(
            fault.service,
            frozenset(chosen),
            since,
            time.monotonic(),
            fault.place in SPARING_FLOODS,
        )
        self._floods.append(flood)

    def _crowd(self, fault: Fault) -> None:
        """Let clients that keep to no limit hold on to a node."""
        name = self._names[int(fault.choice * len(self._names))]
        with self._lock:
            if name in self._crowded:
                return
            self._crowded.add(name)
        node, since = _System.running[name], time.monotonic()
        hold_on(node, fault.mode, fault.length_s, f'crowd-{name}-{fault.at:.3f}')
        self._crowds.append(Crowd(name, since, time.monotonic()))
        found = read_resources(node.process)
        with self._lock:
            self._crowded.discard(name)
        if found.lives:
            self._peaks.append(Peak(name, time.monotonic(), found.peak_mb))

    def _note_acknowledged(self, sent_at: float) -> None:
        operation = self._operation
        change = Acknowledged(
            operation.version,
            time.monotonic(),
            frozenset({KEY, OTHER_KEY}),
            sent_at,
            operation.routes,
            operation.timeout_s,
        )
        self._configurations.append(change)

    def _write(self, operation: Operation) -> None:
        self._operation = operation
        sent_at = time.monotonic()
        _System.put(json.dumps(build_value(operation)))
        self._note_acknowledged(sent_at)

    def _change(self, fault: Fault) -> None:
        """Write a configuration with the next version."""
        with self._operators:
            choice = fault.choice
            self._write(change_operation(self._operation, fault.mode, choice))

    def _damage(self, fault: Fault) -> None:
        """Write an invalid configuration, and after a while a valid one."""
        with self._operators:
            value = build_value(self._operation)
            text, error = damage_value(value, fault.choice)
            since = time.monotonic()
            revision = _System.put(text)
            self._pause.wait(fault.length_s)
            version = self._operation.version + 1
            self._write(replace(self._operation, version=version))
            self._damaged.append(Damaged(revision, error, since, time.monotonic()))

    def _reload(self, fault: Fault) -> None:
        """Change an option of a node's settings and send SIGHUP, once or in a row.

        An invalid value is taken back once the node has read it, before it may start
        again.
        """
        node = _System.running[self._names[int(fault.choice * len(self._names))]]
        path = node.output.with_suffix('.ini')
        valid = fault.kind is FaultKind.RELOAD
        with self._settings[node.name]:
            if not valid and node.name in self._starting:
                return
            section, name, value = choose_option(path, fault.share, valid=valid)
            process = node.process
            # An interpreter that has not begun to run the program ends by the signal.
            starting = node.name in self._starting
            if starting and not self._wait_handled(process):
                return
            logged = node.output.stat().st_size
            at = time.monotonic()
            before = write_option(path, section, name, value)
            for _ in range(1 + int(fault.share * MOST_SIGNALS)):
                process.send_signal(signal.SIGHUP)
            if process.poll() is None:
                option = f'{section}.{name}'
                self._wait_read(node, process, logged, option if valid else '')
                until = time.monotonic()
                self._reloads.append(Reload(node.name, at, option, until, valid))
            if not valid:
                write_settings(path, before)
                process.send_signal(signal.SIGHUP)

    def _wait_handled(self, process: subprocess.Popen[bytes]) -> bool:
        """Wait until SIGHUP does not end a process; ``False`` if it ends before."""
        while process.poll() is None:
            if not is_ended_by(process.pid, signal.SIGHUP):
                return True
            self._pause.wait(READ_CHECK_S)
        return False

    def _wait_read(
        self, node: Node, process: subprocess.Popen[bytes], logged: int, option: str
    ) -> None:
        """Wait until a node has read its settings, or its process has ended.

        :param logged: bytes of its log before.
        :param option: what it has to take; empty if it has to refuse them.
        """
        until = time.monotonic() + READ_WITHIN_S
        while time.monotonic() < until and process.poll() is None:
            with node.output.open('rb') as file:
                file.seek(logged)
                lines = file.read().splitlines(keepends=True)
            for line in lines:
                if b'node.settings_read' not in line or not line.endswith(b'\n'):
                    continue
                event = json.loads(line)
                refused = event['outcome'] != 'good'
                if option in event['taken'] or (refused and not option):
                    return
            self._pause.wait(READ_CHECK_S)

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
