"""Stand-ins and processes that the script of this case needs; standard library alone.

The store is the project's own stand-in, as a process.  Nodes are started with the
command of the deploy file and settings as the platform fills them from its template.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = 'front.example'
KEY = 'n2ctnfzs989anu6wsjnb'

#: Bounds and shapes of the small deployments' settings.
SETTINGS = """
[node]
name = {name}
address = 127.0.0.1
availability_zone = {zone}
bootstrap = true
stop_s = 8.0

[listen]
clients = 127.0.0.1:0
ready = 127.0.0.1:0
metrics_port = 0
peer_port = 0

[store]
address = {store}

[limits]
memory_mb = 300
descriptors = 4100

[promises]
revoke_s = 5000e-3
refuse_unconfirmed = true
drain_s = 2000e-3
heartbeat_s = 1200e-3
retry_ratio = 0.2
retry_extra = 136
retry_window_s = 10

[log]
path = -
"""


class NotRunnableError(Exception):
    """The case could not run."""


def build_configuration(version, tenant='hule930'):
    """Return a configuration with one plain service and two routes."""
    common = {
        'host': HOST,
        'service': 'queue-api',
        'timeout_ms': 4000,
        'goal_ms': 400,
        'priority': 2,
        'public': False,
    }
    return {
        'version': version,
        'routes': [
            {
                'name': 'sign-status',
                'path_prefix': '/status/',
                'route_type': 'non_idempotent',
                'max_attempts': 1,
                **common,
            },
            {
                'name': 'cert-fetch',
                'path_prefix': '/cert/',
                'route_type': 'idempotent',
                'max_attempts': 2,
                **common,
            },
        ],
        'services': [{'name': 'queue-api', 'health_path': '/health', 'max_conns': 110}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': tenant, 'api_keys': [KEY]}],
    }


async def read_head(reader):
    """Return the first line and the headers of a message, by lower-case name."""
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    fields = (line.partition(':') for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in fields}


async def call(address, method, path, body=b'', headers=None, timeout_s=5.0):
    """Send one request on a connection of its own.

    :return: status, headers, body, and whether the answer is whole by its framing.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {'Host': address, **(headers or {})}
            fields['Content-Length'] = str(len(body))
            head = f'{method} {path} HTTP/1.1\r\n'
            head += ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
            writer.write(head.encode() + b'\r\n' + body)
            line, found = await read_head(reader)
            status = int(line.split()[1])
            data, whole = await read_body(reader, found)
            return status, found, data, whole
        finally:
            writer.close()


async def read_body(reader, headers):
    """Return a body, and whether its framing says that it is whole."""
    if 'content-length' in headers:
        size = int(headers['content-length'])
        try:
            return await reader.readexactly(size), True
        except asyncio.IncompleteReadError as error:
            return error.partial, False
    data = b''
    if headers.get('transfer-encoding') == 'chunked':
        try:
            while True:
                size = int((await reader.readline()).strip(), 16)
                data += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return data, True
        except (asyncio.IncompleteReadError, ValueError, ConnectionError):
            return data, False
    try:
        return await reader.read(), True
    except ConnectionError:
        return data, False


class World:
    """A store, replicas and nodes as processes, and the record of the run."""

    def __init__(self, folder):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record_path = folder / 'record.txt'
        self.record_path.write_text('')
        self.processes = []
        self.nodes = {}
        self.store = ''
        self.began_at = asyncio.get_running_loop().time()

    def now(self):
        """Return the seconds since the script began."""
        return asyncio.get_running_loop().time() - self.began_at

    def record(self, text):
        """Write a line to the record."""
        with self.record_path.open('a') as file:
            file.write(f'{self.now():8.3f} {text}\n')

    async def spawn(self, *command, stdout=asyncio.subprocess.PIPE, **variables):
        """Start a process of the project, or a stand-in."""
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            cwd=ROOT,
            stdout=stdout,
            env={**environment, **variables},
        )
        self.processes.append(process)
        return process

    async def start_store(self):
        """Start the store's stand-in."""
        process = await self.spawn('-m', 'standins.kv')
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        if not line:
            raise NotRunnableError('the store did not start')
        self.store = f'127.0.0.1:{json.loads(line)["port"]}'

    async def put(self, key, value):
        """Write a key as the operator or a replica does; return the time of the ack."""
        data = json.dumps({'key': key, 'value': json.dumps(value)}).encode()
        headers = {'Content-Type': 'application/json'}
        status, *_ = await call(self.store, 'POST', '/operator', data, headers)
        if status != 200:
            raise NotRunnableError(f'the store answered {status}')
        return self.now()

    async def delete(self, key):
        """Delete a key as the platform does when an entry lapses."""
        data = json.dumps({'key': key}).encode()
        headers = {'Content-Type': 'application/json'}
        await call(self.store, 'DELETE', '/operator', data, headers)

    async def start_node(self, name, zone, store):
        """Start a node with the deploy file's command, and wait until it is ready."""
        settings = self.folder / f'{name}.ini'
        settings.write_text(SETTINGS.format(name=name, zone=zone, store=store))
        output = self.folder / f'{name}.out'
        with output.open('wb') as file:
            await self.spawn(
                '-m',
                'coursepitch',
                'serve',
                stdout=file,
                COURSEPITCH_CONFIG=str(settings),
            )
        for _ in range(400):
            await asyncio.sleep(0.05)
            for line in output.read_text(errors='replace').splitlines():
                with contextlib.suppress(ValueError):
                    event = json.loads(line)
                    if event.get('message_type') == 'node.started':
                        self.nodes[name] = event['ports']
            if name in self.nodes and await self.is_ready(name):
                return
        raise NotRunnableError(f'{name} is not ready')

    async def is_ready(self, name):
        """Whether a node says that it is ready."""
        try:
            address = f'127.0.0.1:{self.nodes[name]["ready"]}'
            return (await call(address, 'GET', '/-/ready'))[0] == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def address(self, name):
        """Return where requesters reach a node."""
        return f'127.0.0.1:{self.nodes[name]["clients"]}'

    async def end(self):
        """End all processes that were started."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes:
            await process.communicate()
        shutil.rmtree(self.folder, ignore_errors=True)
