"""Stand-ins of the platform and helpers that start nodes, for the scripts of review/.

All stand-ins live in the process of the script: the metadata store, the replicas and
the clients.  Nodes are separate processes, started with the command of
deploy/system.toml and settings filled in from deploy/node.ini.template.  Every address
is a loopback address.

Each node has an address of its own, but the kernel lets its connections come from
127.0.0.1.  So nodes refuse to connect to replicas on behalf of each other, which no
case needs: all nodes reach all replicas.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import http.client
import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent

#: Whether the disruption of a case takes place.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

#: Bounds of the two small deployments, as their pages give them.
BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_ms': 2000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 136,
    'stall_ms': 5000,
}

#: Seconds between two writes of a replica to its entry.
HEARTBEAT_S = 1.2


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def note(self, who: str, what: str) -> None:
        """Write one line."""
        at = time.monotonic() - self._began_at
        self._file.write(f'{at:8.3f} s  {who:<16} {what}\n')
        self._file.flush()


# -- HTTP ------------------------------------------------------------------------------


class Request:
    """A request as it was read from a connection."""

    def __init__(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return next((value for key, value in self.headers if key.lower() == name), '')


async def read_head(reader: asyncio.StreamReader) -> list[str]:
    """Return the lines of a head; none at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return []
    return data.decode('latin-1').split('\r\n')[:-2]


def split_headers(lines: list[str]) -> list[tuple[str, str]]:
    """Return the headers of the lines after the first."""
    pairs = (line.partition(':') for line in lines)
    return [(name.strip(), value.strip()) for name, _, value in pairs]


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks."""
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        body += part[:-2]
        if not size:
            return body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or ``None`` at its end."""
    lines = await read_head(reader)
    if not lines:
        return None
    method, target, _ = lines[0].split(' ')
    request = Request(method, target, split_headers(lines[1:]), b'')
    try:
        if request.header('transfer-encoding'):
            request.body = await read_chunked(reader)
        else:
            size = int(request.header('content-length') or 0)
            request.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


def build_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Return a whole answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


def build_json(status: int, value: Any) -> bytes:
    """Return an answer with a JSON body."""
    return build_answer(
        status, {'Content-Type': 'application/json'}, json.dumps(value).encode()
    )


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


# -- the store -------------------------------------------------------------------------


class Store:
    """The platform's metadata store: items with revisions, leases and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 0
        self.changed = asyncio.Event()
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def write(self, writes: list[tuple[str, bytes, int]], delete: list[str]) -> int:
        """Carry out changes at one revision, and return it."""
        self.revision += 1
        for key, value, lease in writes:
            created = self.items.get(key, {}).get('created', self.revision)
            self.items[key] = {
                'tls_key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'created': created,
                'lease': lease,
            }
            self.events.append(self.items[key])
        for key in delete:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {'tls_key': key, 'revision': self.revision, 'deleted': True}
                )
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key: str, value: Any) -> int:
        """Write a key that belongs to the platform."""
        return self.write([(key, json.dumps(value).encode(), 0)], [])

    def remove(self, key: str) -> None:
        """Delete a key that belongs to the platform."""
        self.write([], [key])

    def expire(self) -> None:
        """Drop the leases that have run out, with their keys."""
        now = time.monotonic()
        over = {name for name, (_, until) in self.leases.items() if until <= now}
        for name in over:
            del self.leases[name]
        keys = [key for key, item in self.items.items() if item['lease'] in over]
        if keys:
            self.write([], keys)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self._answer(request)
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(answer or b'')
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> bytes | None:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        self.expire()
        data = json.loads(request.body) if request.body else {}
        if parts.path == '/platform':
            # A replica in a process of its own writes or deletes its entry.
            if data.get('value') is None:
                self.remove(data['key'])
            else:
                self.put(data['key'], data['value'])
            return build_json(200, {})
        match parts.path.split('/')[2]:
            case 'kv-key':
                item = self.items.get(query['tls_key'])
                if item is None:
                    return build_json(404, {})
                return build_json(200, {**item, 'timestamp': self.revision})
            case 'kv-range':
                return self._list(query)
            case 'kv-watch':
                return await self._watch(query)
            case 'kv-txn':
                return await self._transact(data)
            case 'kv-lease':
                self.revision += 1
                ttl_s = data['ttl_ms'] / 1000
                self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
                return build_json(200, {'lease': self.revision, **data})
            case 'kv-keep':
                name = int(parts.path.split('/')[3])
                if name not in self.leases:
                    return build_json(404, {})
                ttl_s = self.leases[name][0]
                self.leases[name] = (ttl_s, time.monotonic() + ttl_s)
                return build_json(200, {'ttl_ms': int(ttl_s * 1000)})
            case 'kv-lease-end':
                name = int(parts.path.split('/')[3])
                if name in self.leases:
                    self.leases[name] = (0.0, 0.0)
                self.expire()
                return build_json(200, {})
        return build_json(404, {})

    def _list(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get('path_prefix', ''), query.get('after_rev', '')
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        found = [self.items[key] for key in keys[:500]]
        return build_json(
            200,
            {
                'items': found,
                'has_more': len(keys) > 500,
                'timestamp': self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get('path_prefix', ''), int(query['after_rev'])
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event['revision'] > after and event['tls_key'].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                stamp = max([after, *(event['revision'] for event in found)])
                return build_json(200, {'events': found, 'timestamp': stamp})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    async def _transact(self, data: dict[str, Any]) -> bytes | None:
        conditions = data.get('expected_rev', [])
        missing = {'revision': 0}
        found = [
            self.items.get(row['tls_key'], {'tls_key': row['tls_key'], **missing})
            for row in conditions
        ]
        for row, item in zip(conditions, found, strict=True):
            if item['revision'] != row['revision']:
                return build_json(412, {'items': found})
        writes = [
            (row['tls_key'], base64.b64decode(row['value']), int(row['lease'] or 0))
            for row in data.get('writes', [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return build_json(404, {})
        delete = data.get('delete', [])
        if writes or delete:
            self.write(writes, delete)
        return build_json(200, {'revision': self.revision})


# -- replicas --------------------------------------------------------------------------


class Replica:
    """One replica of a service; it follows the users' pages.

    :param load_s: seconds of a load from the weight store, from the host, and of the
        model that the last group had.
    """

    def __init__(
        self,
        system: System,
        service: str,
        *,
        zone: str = 'a',
        domain: str = '',
        engine: bool = False,
        load_s: tuple[float, float, float] = (2.0, 0.5, 0.2),
        form_s: float = 0.02,
    ) -> None:
        self.system, self.service, self.zone = system, service, zone
        self.domain, self.engine, self.load_s = domain, engine, load_s
        self.form_s = form_s
        self.name = 'i-' + secrets.token_hex(4)
        self.label = self.name
        self.address = ''
        self.state = 'ready'
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.seen_epoch = 0
        self.model = self.last_model = ''
        self.staged: list[str] = []
        self.sequence = 0
        self.listed = False
        self.runs: list[Request] = []
        self.events, self.pause_s, self.framing = 10, 0.02, 'chunks'
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def note(self, what: str) -> None:
        """Write a line of the record."""
        self.system.record.note(self.label, what)

    # -- life ---------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and appear in the store."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.listed = True
        self.system.replicas[self.name] = self
        self.publish()
        self.note(f'starts as {self.name} at {self.address}')

    def publish(self) -> None:
        """Write the entry."""
        if self.listed:
            self.system.store.put(f'servers/{self.name}', self.entry())

    def drain(self) -> None:
        """Say that the replica is going to end."""
        self.state = 'draining'
        self.note('says draining')
        self.publish()

    def end(self) -> None:
        """End as planned: the entry goes, and nothing listens any more."""
        self.listed = False
        self.system.store.remove(f'servers/{self.name}')
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.note('ends')

    def entry(self) -> dict[str, Any]:
        """Return what stands in the store."""
        data: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 13,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': self.sequence,
        }
        if self.engine:
            models = [{'name': self.model, 'version': 1, 'adapters': []}]
            data |= {
                'stage': 'both',
                'models': models if self.model else [],
                'domain': self.domain,
                'staged': self.staged,
                'group': self.group,
            }
        return data

    # -- orders -------------------------------------------------------------------

    async def answer_order(self, order: dict[str, Any]) -> int | None:
        """Return the status of an order; ``None`` for no answer."""
        return self.carry_out(order)

    def carry_out(self, order: dict[str, Any], why: str = '') -> int:
        """Carry out an order and return its status."""
        status = self._carry_out(order)
        text = ' '.join(
            f'{key}={order[key]}'
            for key in ('operation', 'group', 'epoch', 'model', 'members')
            if key in order
        )
        now = f'{self.group["name"]} {self.group["state"]}' if self.group else 'none'
        self.note(f'order {text} -> {status}{why}; group now: {now}')
        return status

    def _carry_out(self, order: dict[str, Any]) -> int:
        kind = order['operation']
        if kind == 'stage':
            if order['model'] in self.staged:
                return 200
            self.sequence += 1
            self.system.spawn(self._stage(order['model']))
            return 202
        if kind == 'join':
            return self._join(order)
        group = self.group
        key = (order['group'], order['epoch'])
        if group is None or (group['name'], group['epoch']) != key:
            return 409
        if kind == 'leave':
            self.group, self.model = None, ''
        elif kind == 'open':
            if group['state'] == 'open':
                return 200
            if group['state'] != 'ready' or group['rank'] != 0:
                return 409
            group['state'] = 'open'
        elif kind == 'close':
            if group['state'] == 'ready':
                return 200
            group['state'] = 'ready'
        else:
            return 400
        self.sequence += 1
        self.publish()
        return 202

    def _join(self, order: dict[str, Any]) -> int:
        if order['epoch'] < self.seen_epoch:
            return 412
        group, key = self.group, (order['group'], order['epoch'])
        if group and (group['name'], group['epoch']) == key:
            return 200 if self.members == order['members'] else 412
        self.system.check_two(self, order)
        self.seen_epoch = order['epoch']
        self.members = order['members']
        self.group = group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': order['members'].index(self.name),
            'state': 'joining',
        }
        self.model = ''
        self.sequence += 1
        self.publish()
        self.system.spawn(self._load(group, order['model']))
        return 202

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(self.load_s[0])
        self.staged = [model]
        self.publish()

    async def _load(self, group: dict[str, Any], model: str) -> None:
        cold, warm, again = self.load_s
        wait_s = cold
        if model == self.last_model:
            wait_s = again
        elif model in self.staged:
            wait_s = warm
        await asyncio.sleep(wait_s)
        if self.group is not group:
            return
        self.model = self.last_model = model
        if model not in self.staged:
            self.staged = [model]
        group['state'] = 'ready'
        self.publish()

    # -- requests -----------------------------------------------------------------

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.serve_one(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve_one(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection goes on."""
        expected = request.header('x-expect-replica')
        mark = {'X-Request-Id': request.header('x-request-id')}
        if expected and expected != self.name:
            writer.write(build_answer(421, {**mark, 'At-Server': self.name}))
            return True
        if request.target == '/-/report':
            report = {
                **self.entry(),
                'busy': False,
                'queued': 0,
                'active': 0,
                'kv_used': 0,
                'kv_total': 700_000,
                'handles': 0,
                'pace': 1.0,
            }
            writer.write(build_json(200, report))
            return True
        if request.target == '/-/order':
            status = await self.answer_order(json.loads(request.body))
            if status is None:
                await asyncio.sleep(3600)
                return False
            writer.write(build_json(status, {}))
            return True
        return await self.run(request, writer, mark)

    async def run(
        self, request: Request, writer: asyncio.StreamWriter, mark: dict[str, str]
    ) -> bool:
        """Run a client's request and answer it."""
        if self.engine and (self.group is None or self.group['state'] != 'open'):
            writer.write(
                build_answer(
                    421, {**mark, 'X-Not-Executed': '1', 'At-Server': self.name}
                )
            )
            return True
        self.runs.append(request)
        self.note(f'runs {mark["X-Request-Id"]} {request.method} {request.target}')
        mark |= {
            'X-Replica-Signature': f'{self.name}.{len(self.runs)}',
            'X-Weight-Versions': '1',
        }
        if not self.engine:
            await asyncio.sleep(0.02)
            writer.write(build_answer(200, mark, f'{self.name}\n'.encode()))
            return True
        return await self._stream(request, writer, mark)

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, mark: dict[str, str]
    ) -> bool:
        """Answer with events, in chunks or up to the end of the connection."""
        first = int(request.header('last-event-id') or 0) + 1
        chunked = self.framing == 'chunks'
        lines = ['HTTP/1.1 200 X', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in mark.items()]
        how = 'Transfer-Encoding: chunked' if chunked else 'Connection: close'
        writer.write('\r\n'.join([*lines, how, '', '']).encode())
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            if chunked:
                event = b'%x\r\n%b\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        if chunked:
            writer.write(b'0\r\n\r\n')
        self.note(f'ends {request.header("x-request-id")} after {self.events} events')
        return chunked


# -- the system ------------------------------------------------------------------------


class Node:
    """A node of the project, as a process of its own."""

    def __init__(self, system: System, number: int, zone: str) -> None:
        self.name = f'front-{zone}-{number}'
        # Scripts that run at the same time have nodes at other addresses.
        high, low = divmod(os.getpid(), 64)
        self.ip = f'127.{1 + high // 256 % 250}.{high % 256}.{low * 4 + number}'
        self.zone = zone
        self._system = system
        ports = [find_free_port(self.ip) for _ in range(3)]
        self.front = f'{self.ip}:{ports[0]}'
        self.ready = f'{self.ip}:{ports[1]}'
        self._peer_port = ports[2]
        self.path = system.folder / f'{self.name}.ini'
        self.output = system.folder / f'{self.name}.out'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool) -> None:
        """Start the process, as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        fields = {
            'node': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'bootstrap': bootstrap,
            'bounds': self._system.bounds,
            'listen': {'front': self.front, 'ready': self.ready},
            'port_range': [self._peer_port, self._peer_port + 15],
            'platform': {'address': self._system.store_address(self)},
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
        }
        self.path.write_text(fill((ROOT / role['template']).read_text(), fields))
        command = [sys.executable, *role['run'].split()[1:]]
        keep = {name: os.environ[name] for name in ('PATH',) if name in os.environ}
        variables = {
            **keep,
            'COURSEPITCH_CONFIG': str(self.path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self.output.open('ab') as file:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=file, stderr=file
            )
        self._system.record.note(self.name, f'starts, process {self.process.pid}')

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._system.record.note(self.name, f'gets {number.name}')
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the node says that it is ready."""
        try:
            answer = await call(self.ready, 'GET', '/-/ready', {}, timeout_s=0.5)
        except (OSError, TimeoutError, ValueError):
            return False
        return answer.status == 200

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the events of one name that the node has logged."""
        found = []
        for line in self.output.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get('message_type') == name:
                    found.append(event)
        return found

    def end(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def find_free_port(host: str) -> int:
    """Return a port that nobody uses at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def fill(text: str, fields: dict[str, Any]) -> str:
    """Fill a template in as DEPLOY.md says, as far as this project's needs it."""

    def look_up(path: str) -> Any:
        value: Any = fields
        for part in path.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def span(found: re.Match[str]) -> str:
        return found[2] if look_up(found[1]) else ''

    def gap(found: re.Match[str]) -> str:
        path, _, form = found[1].partition('|')
        value = look_up(path)
        if form:
            return json.dumps(value)
        return '' if value is None else str(value)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', span, text, flags=re.S)
    return re.sub(r'\{\{([\w.|]+)\}\}', gap, text)


class System:
    """Store, replicas and nodes of one script."""

    def __init__(self, folder: Path, **bounds: Any) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.bounds = {**BOUNDS, **bounds}
        self.store = Store(self.record)
        self.replicas: dict[str, Replica] = {}
        self.nodes: list[Node] = []
        self.breaks: list[str] = []
        self.processes: list[subprocess.Popen[str]] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def store_address(self, node: Node) -> str:
        """Return the address at which a node finds the store."""
        return self.store.address

    def spawn(self, work: Any) -> None:
        """Run something beside."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_break(self, what: str) -> None:
        """Record that a rule was broken."""
        self.breaks.append(what)
        self.record.note('RULE BROKEN', what)

    def check_two(self, replica: Replica, order: dict[str, Any]) -> None:
        """Check the rule TWO as a replica takes a join of another group."""
        group = replica.group
        if group is None or not replica.members:
            return
        head = self.replicas.get(replica.members[0])
        if head is None or head.group is None:
            return
        same = all(head.group[key] == group[key] for key in ('name', 'epoch'))
        if same and head.group['state'] in ('open', 'closing'):
            self.note_break(
                f'TWO: {replica.label} takes the join of {order["group"]} while '
                f'{head.label}, the head of its group {group["name"]}, is '
                f'{head.group["state"]}'
            )

    async def start(self, configuration: dict[str, Any], zones: list[str]) -> None:
        """Start the store, write the configuration, and start the nodes."""
        await self.store.start()
        self.spawn(self._beat())
        self.store.put('op/config', configuration)
        for number, zone in enumerate(zones):
            node = Node(self, number, zone)
            self.nodes.append(node)
            node.start(bootstrap=True)

    async def _beat(self) -> None:
        """Let leases run out and replicas write to their entries."""
        beaten_at = time.monotonic()
        while True:
            await asyncio.sleep(0.1)
            self.store.expire()
            if time.monotonic() - beaten_at >= HEARTBEAT_S:
                beaten_at = time.monotonic()
                for replica in list(self.replicas.values()):
                    replica.sequence += 1
                    replica.publish()

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until all nodes say that they are ready."""

        async def all_ready() -> bool:
            return all([await node.is_ready() for node in self.nodes])

        await self.wait_for(all_ready, 'all nodes are ready', limit_s)

    async def wait_for(self, condition: Any, what: str, limit_s: float = 20.0) -> None:
        """Wait until a condition holds; the case could not run if it never does."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            found = condition()
            if await found if asyncio.iscoroutine(found) else found:
                self.record.note('script', f'seen: {what}')
                return
            await asyncio.sleep(0.05)
        raise NotRunError(f'not within {limit_s:g} s: {what}')

    def close(self) -> None:
        """End all processes and remove what was written."""
        for node in self.nodes:
            node.end()
        for process in self.processes:
            process.kill()
            process.wait()
        if os.environ.get('KEEP'):
            print(self.folder, file=sys.stderr)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRunError(Exception):
    """A case could not run."""


# -- clients ---------------------------------------------------------------------------


class Answer:
    """An answer as a client saw it."""

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes, whole: bool
    ) -> None:
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return next((value for key, value in self.headers if key.lower() == name), '')


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {target} HTTP/1.1']
            fields = {'Host': address, **headers}
            if body or method == 'POST':
                fields['Content-Length'] = str(len(body))
            lines += [f'{name}: {value}' for name, value in fields.items()]
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            return await read_answer(reader)
        finally:
            writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer, as far as it comes."""
    lines = await read_head(reader)
    if not lines:
        return Answer(0, [], b'', False)
    answer = Answer(int(lines[0].split(' ')[1]), split_headers(lines[1:]), b'', True)
    try:
        if answer.header('transfer-encoding'):
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                answer.body += part[:-2]
                if not size:
                    break
        elif answer.header('content-length'):
            size = int(answer.header('content-length'))
            while len(answer.body) < size:
                part = await reader.read(size - len(answer.body))
                if not part:
                    answer.whole = False
                    break
                answer.body += part
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.whole = False
    return answer


# -- replicas as processes of their own ------------------------------------------------


class RemoteStore:
    """The platform's side of the store, for a replica in another process."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(address)

    def put(self, key: str, value: Any) -> None:
        """Write a key."""
        body = json.dumps({'key': key, 'value': value})
        self._connection.request('POST', '/platform', body)
        self._connection.getresponse().read()

    def remove(self, key: str) -> None:
        """Delete a key."""
        self.put(key, None)


class LineRecord:
    """Tells the script what a replica's process saw, a line each."""

    def note(self, who: str, what: str) -> None:
        """Write one line."""
        print(json.dumps([who, what]), flush=True)


class ReplicaSystem:
    """What a replica in a process of its own needs of a system."""

    def __init__(self, store: str) -> None:
        self.record = LineRecord()
        self.store = RemoteStore(store)
        self.replicas: dict[str, Replica] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> None:
        """Run something beside."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def check_two(self, replica: Replica, order: dict[str, Any]) -> None:
        """Check nothing: the other replicas are in other processes."""


class ReplicaProcess:
    """A replica in a process of its own, so that it can be killed."""

    def __init__(self, system: System, label: str, **options: Any) -> None:
        self.label = label
        self.name = self.state = ''
        self._system = system
        options |= {'label': label, 'store': system.store.address}
        command = [sys.executable, str(ROOT / 'review/stand.py'), json.dumps(options)]
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
        )
        system.processes.append(self.process)
        loop = asyncio.get_running_loop()
        threading.Thread(target=self._read, args=(loop,), daemon=True).start()

    def _read(self, loop: asyncio.AbstractEventLoop) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(self._take, *json.loads(line))

    def _take(self, who: str, what: str) -> None:
        self._system.record.note(who, what)
        if what.startswith('starts as '):
            self.name = what.split(' ')[2]

    def drain(self) -> None:
        """Let the replica say that it is going to end."""
        assert self.process.stdin is not None
        self.process.stdin.write('drain\n')
        self.process.stdin.flush()

    def kill(self) -> None:
        """End the process at once; its entry goes as the platform notices."""
        self.process.kill()
        self._system.record.note(self.label, 'gets SIGKILL')

    @property
    def group(self) -> dict[str, Any] | None:
        """The group that the replica's entry tells."""
        item = self._system.store.items.get(f'servers/{self.name}')
        if item is None:
            return None
        group: dict[str, Any] | None = json.loads(base64.b64decode(item['value']))[
            'group'
        ]
        return group


async def run_replica(options: dict[str, Any]) -> None:
    """Run a replica until its process is killed."""
    system: Any = ReplicaSystem(options.pop('store'))
    label, extra = options.pop('label'), options.pop('extra', {})
    replica = Replica(system, **options)
    replica.label = label
    for name, value in extra.items():
        setattr(replica, name, value)
    await replica.start()

    loop = asyncio.get_running_loop()

    def read() -> None:
        for _ in sys.stdin:
            loop.call_soon_threadsafe(replica.drain)
        # The script has ended.
        os._exit(0)

    threading.Thread(target=read, daemon=True).start()
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        replica.sequence += 1
        replica.publish()


# -- configurations --------------------------------------------------------------------

KEY = 'caller-key'


def build_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a configuration in the form of the pages."""
    usual = {'timeout_ms': 8000, 'goal_ms': 500, 'priority': 1, 'public': False}
    routes = [
        {
            'name': 'r-stream',
            'host': 'a.example',
            'path_prefix': '/stream/',
            'route_type': 'streaming',
            'service': 'pool',
            'max_attempts': 2,
            'session_affinity': True,
            'resumable': True,
            'gap_aim_ms': 300,
            **usual,
        },
        {
            'name': 'r-once',
            'host': 'a.example',
            'path_prefix': '/once/',
            'route_type': 'non_idempotent',
            'service': 'api',
            'max_attempts': 1,
            **usual,
        },
        {
            'name': 'r-again',
            'host': 'a.example',
            'path_prefix': '/again/',
            'route_type': 'idempotent',
            'service': 'api',
            'max_attempts': 2,
            **usual,
        },
    ]
    model = {'name': 'm', 'size': 4, 'share': 1.0, 'pace': 1.0}
    engine = {
        'slots': 13,
        'kv_capacity': 700_000,
        'stride': 5,
        'models': [{**model, 'load_s': 2.0, 'warm_s': 0.5}],
        'step_ms': 6.07,
        'per_seq_ms': 0.482,
        'context_per_k': 0.00976,
        'read_per_s': 46_000.0,
        'pairs_per_m': 0.7,
        'chunk': 2048,
        'loads_per_s': 4.0,
        'loads_at_once': 6,
        'form_ms': 20.0,
        'usual': {'prompt': 1076, 'answer': 116},
        'retains': 1,
        'far_x': 3.0,
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'pool',
                'health_path': '/health',
                'max_conns': 474,
                'engine': engine,
            },
            {'name': 'api', 'health_path': '/health', 'max_conns': 110},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'acme', 'api_keys': [KEY], 'priority': 1}],
        **fields,
    }


def build_headers(request: str, **headers: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'Host': 'a.example',
        'X-Request-Id': request,
        'X-Deadline-Ms': '8000',
        'X-Model': 'm',
        'X-Token-Usage': '100,20',
        'X-Prompt-Prefix': f'1:40,{secrets.token_hex(4)}:60',
        'Authorization': f'Bearer {KEY}',
        **headers,
    }


def main(folder: Path, play: Any) -> None:
    """Run a case and exit with its result."""
    system = System(folder)

    async def run() -> None:
        code = 2
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await asyncio.wait_for(play(system), 110)
            code = 1 if system.breaks else 0
        except (NotRunError, TimeoutError) as error:
            system.record.note('script', f'could not run: {error!r}')
        except Exception as error:
            system.record.note('script', f'failed: {error!r}')
            traceback.print_exc()
        finally:
            system.close()
            system.record.note('script', f'ends with {code}, trouble: {TROUBLE}')
            # The connections of the stand-ins need not be closed one by one.
            sys.stdout.flush()
            os._exit(code)

    asyncio.run(run())


if __name__ == '__main__':
    asyncio.run(run_replica(json.loads(sys.argv[1])))
