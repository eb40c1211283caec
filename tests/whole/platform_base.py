"""Base of tests on nodes that run on the users' platform, played by stand-ins."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from standins.diagnosis import summarize_node
from standins.harness import Process
from standins.network import find_host

#: Longest time in seconds for anything to come about.
WAIT_S = 30.0

KEY = 'caller-key'
OTHER_KEY = 'other-key'

SETTINGS = """
[node]
name = {name}
address = 127.0.0.1
availability_zone = a
bootstrap = yes
stop_s = 8

[listen]
clients = 127.0.0.1:0
ready = 127.0.0.1:0
metrics_port = 0
peer_port = 0

[store]
address = 127.0.0.1:{store}

[promises]
revoke_s = {revoke_s}
retry_ratio = 0.2
retry_extra = 100
evacuate_s = {evacuate_s}

[log]
path = -
"""


def build_configuration(version=1, keys=(KEY, OTHER_KEY), **fields):
    """Return a configuration as the operators write it."""
    usual = {'timeout_ms': 8000, 'goal_ms': 500, 'priority': 1}
    routes = [
        {
            'name': 'stream',
            'host': 'a.example',
            'path_prefix': '/stream/',
            'route_type': 'streaming',
            'service': 'pool',
            'max_attempts': 2,
            'public': False,
            'resumable': True,
            'gap_aim_ms': 300,
            **usual,
        },
        {
            'name': 'once',
            'host': 'a.example',
            'path_prefix': '/once/',
            'route_type': 'non_idempotent',
            'service': 'api',
            'max_attempts': 1,
            'public': False,
            **usual,
        },
        {
            'name': 'again',
            'host': 'a.example',
            'path_prefix': '/again/',
            'route_type': 'idempotent',
            'service': 'api',
            'max_attempts': 2,
            'public': False,
            **usual,
        },
    ]
    model = {'name': 'm', 'size': 2, 'share': 1.0, 'pace': 1.0}
    engine = {
        'slots': 13,
        'kv_capacity': 700_000,
        'stride': 5,
        'models': [{**model, 'load_s': 0.3, 'warm_s': 0.1}],
        'step_ms': 6.07,
        'per_seq_ms': 0.482,
        'context_per_k': 0.00976,
        'read_per_s': 46_000.0,
        'pairs_per_m': 0.7,
        'chunk': 2048,
        'loads_per_s': 4.0,
        'form_ms': 20.0,
        'usual': {'prompt': 100, 'answer': 20},
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'pool', 'max_conns': 400, 'engine': engine},
            {'name': 'api', 'max_conns': 100},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'acme', 'api_keys': list(keys)}],
        **fields,
    }


def build_headers(request, key=KEY, **headers):
    """Return the headers of a client's request.

    :param request: its id.
    """
    fields = {
        'Host': 'a.example',
        'X-Request-Id': request,
        'X-Deadline-Ms': '8000',
        'X-Model': 'm',
        'X-Token-Usage': '100,20',
        **headers,
    }
    if key:
        fields['Authorization'] = f'Bearer {key}'
    return fields


class Node:
    """A node as a process, its output in a file."""

    def __init__(
        self,
        name,
        store,
        folder,
        revoke_s,
        evacuate_s=0,
        module=('coursepitch',),
        more_settings='',
    ):
        settings = folder / f'{name}.ini'
        text = SETTINGS.format(
            name=name, store=store, revoke_s=revoke_s, evacuate_s=evacuate_s
        )
        settings.write_text(text + more_settings)
        self.name = name
        self.output = folder / f'{name}.out'
        self.command = [sys.executable, '-m', *module, 'serve', str(settings)]
        self.ports = {}
        self.starts = 0
        self._spawn()

    def _spawn(self):
        self.starts += 1
        with self.output.open('ab') as file:
            self.process = subprocess.Popen(self.command, stdout=file)

    def start_again(self):
        """Start the process again, which is not the system's first start any more."""
        path = self.output.with_suffix('.ini')
        path.write_text(path.read_text().replace('bootstrap = yes', 'bootstrap = no'))
        self._spawn()

    def has_started_again(self):
        """Whether the newest process listens; its ports are known then."""
        started = self.read_events('node.started')
        if len(started) < self.starts:
            return False
        self.ports = started[-1]['ports']
        return True

    def change_settings(self, before, after):
        """Change the node's settings file and tell the node."""
        path = self.output.with_suffix('.ini')
        path.write_text(path.read_text().replace(before, after))
        self.process.send_signal(signal.SIGHUP)

    def read_events(self, name=''):
        """Return the events logged so far, those of one name if given."""
        events = []
        for line in self.output.read_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if not name or event.get('message_type') == name:
                events.append(event)
        return events

    @property
    def url(self):
        """Where clients reach the node."""
        return f'http://127.0.0.1:{self.ports["clients"]}'

    def is_ready(self, client):
        """Whether the node answers the balancer that it is ready."""
        try:
            url = f'http://127.0.0.1:{self.ports["ready"]}/-/ready'
            return client.get(url).status_code == 200
        except httpx.HTTPError:
            return False


class PlatformCase(unittest.TestCase):
    """A store, four engines in one domain, three plain instances, two nodes."""

    revoke_s = 5.0
    evacuate_s = 0
    nodes = ('n1', 'n2')
    engines = 5
    events = 20
    event_bytes = 0
    #: Decides how instances frame their answers.
    seed = 1
    #: Whether each node has paths of its own to the instances, which can be cut.
    own_paths = False
    #: Further sections of the settings of nodes.
    more_settings = ''

    @classmethod
    def setUpClass(cls):
        """Start all and wait until a group serves on every node."""
        cls.folder = Path(tempfile.mkdtemp(prefix='coursepitch-'))
        if not os.environ.get('COURSEPITCH_KEEP'):
            cls.addClassCleanup(shutil.rmtree, cls.folder, ignore_errors=True)
        cls.client = httpx.Client(timeout=15, trust_env=False)
        cls.addClassCleanup(cls.client.close)
        cls.processes = {}
        cls.addClassCleanup(cls.end_all)
        cls.start('store', 'standins.kv')
        cls.store = cls.processes['store'].told['port']
        cls.configure()
        place = ('--store', f'127.0.0.1:{cls.store}')
        count = ('--count', str(cls.engines))
        engine = ('--service', 'pool', '--engine', '--domain', 'd0', *count)
        events = ('--events', str(cls.events), '--seed', str(cls.seed))
        engine += events
        paths = ('--nodes', *cls.nodes) if cls.own_paths else ()
        engine += ('--event-bytes', str(cls.event_bytes), *paths)
        cls.start('pool', 'standins.replica', *place, *engine)
        api = ('--service', 'api', '--count', '3', *events, *paths)
        cls.start('api', 'standins.replica', *place, *api)
        cls.running = {}
        for name in cls.nodes:
            cls.start_node(name)
        for name in cls.nodes:
            cls.wait_for(lambda name=name: cls.serves(name), f'{name} serves')

    @classmethod
    def start(cls, name, *command):
        """Start a stand-in and wait until it listens."""
        process = Process(name, [sys.executable, '-m', *command], cls.folder)
        cls.processes[name] = process
        process.wait_told()

    @classmethod
    def start_node(cls, name):
        """Start a node and wait until it listens."""
        module = ('coursepitch',)
        if cls.own_paths:
            module = ('standins.network', find_host(cls.nodes.index(name)))
        node = Node(
            name,
            cls.store,
            cls.folder,
            cls.revoke_s,
            cls.evacuate_s,
            module=module,
            more_settings=cls.more_settings,
        )
        cls.running[name] = node
        before = len(node.read_events('node.started'))
        cls.wait_for(
            lambda: (
                len(node.read_events('node.started')) > before
                or node.read_events('node.started')
            ),
            f'{name} listens',
        )
        node.ports = node.read_events('node.started')[-1]['ports']

    @classmethod
    def end_all(cls):
        """End what was started."""
        for node in getattr(cls, 'running', {}).values():
            node.process.kill()
            node.process.wait()
        for process in cls.processes.values():
            process.kill()

    @classmethod
    def wait_for(cls, condition, what):
        """Wait until a condition holds, and return what it returned."""
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            found = condition()
            if found:
                return found
            time.sleep(0.02)
        raise AssertionError(f'not within {WAIT_S} s: {what}')

    @classmethod
    def summarize_nodes(cls):
        """Return what the nodes' logs tell of a failure."""
        return f'logs in {cls.folder}\n' + '\n'.join(
            summarize_node(name, node.output, node.process.poll())
            for name, node in cls.running.items()
        )

    # -- the platform -----------------------------------------------------------

    @classmethod
    def configure(cls, **fields):
        """Write a configuration as the operators do."""
        value = json.dumps(build_configuration(**fields))
        cls.client.post(
            f'http://127.0.0.1:{cls.store}/operator',
            json={'key': 'op/config', 'value': value},
        ).raise_for_status()

    @classmethod
    def set_store_fault(cls, **fault):
        """Let the store go wrong."""
        cls.client.post(f'http://127.0.0.1:{cls.store}/fault', json=fault)

    @classmethod
    def control(cls, service, path, **fields):
        """Call the control port of a service's stand-in."""
        port = cls.processes[service].told['port']
        url = f'http://127.0.0.1:{port}{path}'
        return cls.client.post(url, json=fields).json()

    @classmethod
    def cut(cls, nodes, mode, service=''):
        """Cut the paths of nodes to the instances of a service, or of all.

        :param mode: see :mod:`standins.paths`; ``none`` ends the cut.
        """
        for name in (service,) if service else ('pool', 'api'):
            cls.control(name, '/cut', nodes=list(nodes), mode=mode)

    @classmethod
    def stats(cls, service):
        """Return the instances of a service by name."""
        port = cls.processes[service].told['port']
        return cls.client.get(f'http://127.0.0.1:{port}/stats').json()

    @classmethod
    def find_runs(cls, request):
        """Return the runs of a request over all instances."""
        return [
            run
            for service in ('pool', 'api')
            for item in cls.stats(service).values()
            for run in item['runs']
            if run['request'] == request
        ]

    @classmethod
    def find_heads(cls):
        """Return the heads of the open groups once there are two."""
        heads = [
            name
            for name, item in cls.stats('pool').items()
            if item['group'] and item['group']['state'] == 'open'
        ]
        return heads if len(heads) >= 2 else None

    # -- clients --------------------------------------------------------------------

    def send(self, node, method, path, request, *, key=KEY, **options):
        """Send a request to a node and return its answer."""
        return self.call(node, method, path, request, key=key, **options)

    @classmethod
    def call(cls, node, method, path, request, *, key=KEY, headers=None, **options):
        """Send a request to a node and return its answer."""
        fields = build_headers(request, key, **(headers or {}))
        url = cls.running[node].url + path
        return cls.client.request(method, url, headers=fields, **options)

    @classmethod
    def serves(cls, node):
        """Whether a stream is answered on a node."""
        try:
            reply = cls.call(node, 'POST', '/stream/x', f'probe-{time.monotonic()}')
            return reply.status_code == 200
        except httpx.HTTPError:
            return False
