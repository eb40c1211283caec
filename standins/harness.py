"""Starts the stand-ins and nodes as processes of their own, and ends them."""

from __future__ import annotations

import configparser
import hashlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx

from standins.diagnosis import summarize_node
from standins.network import INSTANCE_HOST, find_host

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    'CALLER_KEY',
    'OPERATOR_KEY',
    'Harness',
    'HarnessError',
    'PortReservations',
    'Process',
]

CALLER_KEY = 'demo-caller'
OPERATOR_KEY = 'demo-operator'
PEER_KEY = 'demo-peers'

#: Longest wait in seconds for a process to start or a condition to hold.
WAIT_S = 60.0

#: Ports that are tried until one is free at all hosts that need it.
RESERVE_TRIES = 50


class HarnessError(Exception):
    """A process did not do what was asked of it."""


class PortReservations:
    """Ports that the OS chose and gives to nobody else until they are let go.

    Each is held by a socket at every host that is bound and doesn't listen.  A process
    that sets ``SO_REUSEADDR`` can listen there, again after its end as well; while none
    does, connections are refused.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self, *more_hosts: str) -> int:
        """Return the port of a new reservation at 127.0.0.1.

        :param more_hosts: further hosts at which the port is needed.
        :raises HarnessError: no port was found that is free at all of them.
        """
        for _ in range(RESERVE_TRIES):
            first = _bind('127.0.0.1', 0)
            port: int = first.getsockname()[1]
            found = [first]
            try:
                found += [_bind(host, port) for host in more_hosts]
            except OSError:
                for sock in found:
                    sock.close()
                continue
            self._sockets += found
            return port
        raise HarnessError(f'no port is free at all of {", ".join(more_hosts)}')

    def close(self) -> None:
        """Let all ports go."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


class Process:
    """A started process that told its ports in one JSON line."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.command = command
        self.error_path = folder / f'{name}.stderr'
        with self.error_path.open('ab') as errors:
            self.process = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=errors, text=True
            )
        self.told: dict[str, Any] = {}

    def wait_told(self) -> None:
        """Wait for the line with the ports."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise HarnessError(f'{self.name} did not start: {self.read_errors()}')
        self.told = json.loads(line)

    def read_errors(self) -> str:
        """Return the last lines that it wrote to the standard error stream."""
        return self.error_path.read_text(errors='replace')[-2000:]

    def has_failed(self) -> bool:
        """Whether it ended by itself with an error, and not by a signal."""
        return (self.process.poll() or 0) > 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait for the end and return the exit code."""
        code = self.process.wait(timeout=WAIT_S)
        if self.process.stdout is not None:
            self.process.stdout.close()
        return code


class Harness:
    """A platform, engines, plain services and nodes on loopback."""

    def __init__(self, folder: Path | None = None) -> None:
        self._made = folder is None
        self.folder = folder or Path(tempfile.mkdtemp(prefix='coursepitch-'))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes: dict[str, Process] = {}
        #: All processes by name, the last one of a name, also after it was stopped.
        self.started: dict[str, Process] = {}
        self._standins: set[str] = set()
        self.instances: list[dict[str, Any]] = []
        self.client = httpx.Client(timeout=10, trust_env=False)
        self.settings: dict[str, dict[str, str]] = {}
        #: Nodes that have paths of their own to the engines, which can be cut.
        self.nodes_with_paths: tuple[str, ...] = ()
        #: Memory in MiB and descriptors of nodes, see :mod:`standins.limits`.
        self.node_limits: tuple[int, int] | None = None
        self._ports = PortReservations()

    # -- processes -----------------------------------------------------------

    def _start(self, name: str, *command: str) -> Process:
        process = Process(name, [sys.executable, '-m', *command], self.folder)
        self.processes[name] = self.started[name] = process
        return process

    def _start_standin(self, name: str, *command: str) -> Process:
        self._standins.add(name)
        return self._start(name, *command)

    def _url(self, name: str) -> str:
        return f'http://127.0.0.1:{self.processes[name].told["port"]}'

    def start_platform(
        self, domains: dict[str, tuple[str, int]], **engine: Any
    ) -> None:
        """Start the platform and the engines.

        :param domains: zone and number of instances of each fabric domain.
        :param engine: options of the engine stand-in.
        """
        weights_port = self._ports.reserve()
        self._weights = f'http://127.0.0.1:{weights_port}'
        self._start_standin('kv', 'standins.kv').wait_told()
        hosts: list[str] = []
        if self.nodes_with_paths:
            hosts += [INSTANCE_HOST, *map(find_host, range(len(self.nodes_with_paths)))]
        names = []
        for domain, (zone, count) in domains.items():
            for number in range(count):
                name = f'{domain}-{number}'
                self._start_engine(name, self._ports.reserve(*hosts), engine)
                names.append((name, domain, zone))
        for name, _, _ in names:
            self.processes[name].wait_told()
        host = '127.0.0.1'
        if self.nodes_with_paths:
            host = INSTANCE_HOST
            ports = [str(self.processes[name].told['port']) for name, _, _ in names]
            nodes = ('--nodes', *self.nodes_with_paths)
            command = ('standins.paths', *nodes, '--ports', *ports)
            self._start_standin('paths', *command).wait_told()
        for name, domain, zone in names:
            self.instances.append(
                {
                    'id': name,
                    'address': f'{host}:{self.processes[name].told["port"]}',
                    'zone': zone,
                    'domain': domain,
                    'kind': 'engine' if engine.get('fenced', 1) else 'plain-engine',
                    'accelerators': 2,
                }
            )
        path = self.folder / 'instances.json'
        path.write_text(json.dumps(self.instances))
        self._start_standin(
            'platform',
            'standins.platform',
            '--instances',
            str(path),
            '--port',
            str(weights_port),
        ).wait_told()

    def _start_engine(self, name: str, port: int, options: dict[str, Any]) -> Process:
        flags = [
            part
            for key, value in options.items()
            for part in (f'--{key.replace("_", "-")}', str(value))
        ]
        return self._start_standin(
            name,
            'standins.engine',
            '--id',
            name,
            '--port',
            str(port),
            '--weights',
            self._weights,
            *flags,
        )

    def restart_engine(self, name: str, **options: Any) -> None:
        """Start an engine again on its port, as an instance that comes back."""
        port = self.processes[name].told['port']
        self.processes[name].kill()
        self._start_engine(name, port, options).wait_told()

    def start_service(self, name: str) -> str:
        """Start a plain service and return its address."""
        process = self._start_standin(name, 'standins.service')
        process.wait_told()
        return f'127.0.0.1:{process.told["port"]}'

    def write_settings(self, name: str, zone: str, **ports: int) -> Path:
        """Write the settings file of a node."""
        sections = {
            'node': {
                'name': name,
                'address': '127.0.0.1',
                'availability_zone': zone,
                'drain_notice_s': '0.2',
            },
            'entry': {'port': str(ports.get('entry', 0))},
            'admin': {
                'port': str(ports.get('admin', 0)),
                'key_hashes': hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            },
            'peers': {'port': str(ports.get('peers', 0)), 'key': PEER_KEY},
            'platform': {
                'key_value_url': self._url('kv'),
                'instance_list_url': self._weights,
                'lease_s': '3',
                'confirm_bound_s': '3',
            },
            'targets': {'unfenced_kinds': 'plain-engine', 'takeover_wait_s': '1.5'},
            'placement': {'avoid_s': '3'},
            'log': {'path': str(self.folder / f'{name}.log')},
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        path = self.folder / f'{name}.ini'
        with path.open('w', encoding='utf-8') as file:
            parser.write(file)
        return path

    def start_node(self, name: str, zone: str, **ports: int) -> Process:
        """Start a node, without waiting until it serves."""
        path = self.write_settings(name, zone, **ports)
        module = ('coursepitch.cmd.main',)
        if name in self.nodes_with_paths:
            own_host = find_host(self.nodes_with_paths.index(name))
            module = ('standins.network', own_host)
        elif self.node_limits is not None:
            module = ('standins.limits', *map(str, self.node_limits))
        process = self._start(name, *module, 'node', str(path))
        process.wait_told()
        return process

    def start_nodes(self, zones: dict[str, str]) -> None:
        """Start nodes by name and zone, and wait until all serve."""
        for name, zone in zones.items():
            self.start_node(name, zone)
        for name in zones:
            self.wait_for(lambda name=name: self.is_ready(name), f'{name} is ready')

    # -- looking and acting -----------------------------------------------------

    def entry(self, node: str) -> str:
        """Return the URL for callers of a node."""
        return f'http://127.0.0.1:{self.processes[node].told["ports"]["entry"]}'

    def admin(self, node: str) -> str:
        """Return the URL for operators of a node."""
        return f'http://127.0.0.1:{self.processes[node].told["ports"]["admin"]}'

    def is_ready(self, node: str) -> bool:
        """Return whether a node says that it serves."""
        try:
            return self.client.get(f'{self.entry(node)}/readyz').status_code == 200
        except httpx.HTTPError:
            return False

    def operate(self, node: str, method: str, path: str, **options: Any) -> Any:
        """Call the resource interface of a node."""
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        url = f'{self.admin(node)}/apis/v1/{path}'
        return self.client.request(method, url, headers=headers, **options)

    def apply(self, node: str, kind: str, name: str, **spec: Any) -> dict[str, Any]:
        """Write a resource."""
        reply = self.operate(node, 'PUT', f'{kind}/{name}', json={'spec': spec})
        if reply.status_code != 200:
            raise HarnessError(f'{kind} {name}: {reply.text}')
        data: dict[str, Any] = reply.json()
        return data

    def conditions(self, node: str, kind: str, name: str) -> dict[str, bool]:
        """Return the conditions of a resource.

        A node that has not heard of it yet tells none; then ``Present`` is false.
        """
        data = self.operate(node, 'GET', f'{kind}/{name}').json()
        if 'status' not in data:
            return {'Present': False}
        return {item['type']: item['status'] for item in data['status']['conditions']}

    def replicas(self, node: str, group: str) -> list[dict[str, Any]]:
        """Return the replicas of a group as a node sees them."""
        data = self.operate(node, 'GET', f'group/{group}').json()
        found: list[dict[str, Any]] = data['status']['replicas']
        return found

    def wait_converged(self, node: str, kind: str, name: str) -> None:
        """Wait until every condition of a resource holds."""

        def converged() -> bool:
            return all(self.conditions(node, kind, name).values())

        self.wait_for(converged, f'{kind} {name} converges')

    def call(self, node: str, body: dict[str, Any], **headers: str) -> httpx.Response:
        """Send a chat request as the demo's caller."""
        return self.client.post(
            f'{self.entry(node)}/v1/chat/completions',
            json=body,
            headers={'Authorization': f'Bearer {CALLER_KEY}', **headers},
            timeout=60,
        )

    def cut(self, nodes: Iterable[str], mode: str) -> None:
        """Cut the paths of nodes to the engines, see :mod:`standins.paths`."""
        body = {'nodes': list(nodes), 'mode': mode}
        self.client.post(f'{self._url("paths")}/cut', json=body)

    def set_fault(self, name: str, **fault: Any) -> None:
        """Set the fault of a stand-in."""
        path = '/standin/fault' if name.startswith('service') else '/fault'
        self.client.post(self._url(name) + path, json=fault)

    def stats(self, name: str) -> Any:
        """Return the counts of a stand-in."""
        path = '/standin/stats' if name.startswith('service') else '/stats'
        return self.client.get(self._url(name) + path).json()

    def list_state(self, instance: str, state: str) -> None:
        """Change the state of an instance in the platform's list."""
        body = {'id': instance, 'state': state}
        self.client.post(f'{self._weights}/instances', json=body)

    def count_runs(self) -> dict[str, int]:
        """Return how often each attempt ran, by the engines' own count."""
        counts: dict[str, int] = {}
        for item in self.instances:
            process = self.processes[item['id']].process
            if process.poll() is None:
                for name, count in self.stats(item['id'])['ran'].items():
                    counts[name] = counts.get(name, 0) + count
        return counts

    def wait_for(self, condition: Callable[[], bool], what: str) -> float:
        """Poll a condition; return the seconds until it held.

        :raises HarnessError: it did not in time, or a stand-in failed meanwhile.
        """
        started = time.monotonic()
        while not condition():
            self._check_standins()
            if time.monotonic() - started > WAIT_S:
                raise HarnessError(f'not within {WAIT_S:g} s: {what}')
            time.sleep(0.05)
        return time.monotonic() - started

    def _check_standins(self) -> None:
        """Fail at once if a stand-in has failed, as nothing comes about without it."""
        for name in self._standins:
            process = self.processes.get(name)
            if process is not None and process.has_failed():
                errors = process.read_errors()
                raise HarnessError(f'the stand-in {name} has ended: {errors}')

    # -- the end --------------------------------------------------------------------

    def stop_node(self, name: str) -> int:
        """Stop a node as planned and return its exit code."""
        process = self.processes.pop(name)
        process.send(signal.SIGTERM)
        return process.wait()

    def summarize_nodes(self) -> str:
        """Return what the nodes' logs tell of a failure, see ``standins.diagnosis``."""
        parts = []
        for name, process in sorted(self.started.items()):
            log = self.folder / f'{name}.log'
            if log.exists():
                code = process.process.poll()
                errors = process.error_path.read_text(errors='replace')
                parts.append(summarize_node(name, log, code, errors))
        return '\n'.join(parts)

    def close(self) -> None:
        """End all processes; remove the folder if it was made here."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self._ports.close()
        self.client.close()
        if self._made and not os.environ.get('COURSEPITCH_KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
