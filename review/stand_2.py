"""Stand-ins and helpers of the second review's scripts (cases 6 to 10).

The store is the project's own stand-in (``standins.kv``).  Replicas are processes of
their own, started as ``stand_2.py replica ...``: plain HTTP/1.1 servers of a service
without groups, which write their entries as the platform's pages say and log what they
got.  Nodes are started with the command of the deploy file.  Every address is a
loopback address, and all processes are ended by their ids.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
KEY = 'caller-key'
HOST = 'a.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

_picked: set[int] = set()

#: As ``deploy/node.ini.template`` is filled for the small sites (ksw-signq and
#: rnl-harvest state the same bounds).
SETTINGS = """[node]
name = {name}
address = 127.0.0.1
availability_zone = {zone}
bootstrap = {bootstrap}
stop_s = 8.0

[listen]
clients = 127.0.0.1:{clients}
ready = 127.0.0.1:{ready}
metrics_port = {metrics}
peer_port = {peers}

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
retry_extra = 134
retry_window_s = 10

[log]
path = -
"""


class CouldNotRunError(Exception):
    """The case could not be set up."""


def pick_port() -> int:
    """Return a port that is free now and that no other call returned.

    It is below the ports that the kernel usually gives to outgoing connections, which
    could take it before the process for which it is meant listens.
    """
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            if port not in _picked:
                _picked.add(port)
                return port


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'route_type': kind,
        'service': service,
        'max_attempts': 1 if kind == 'non_idempotent' else 2,
        'timeout_ms': 8000,
        'goal_ms': 500,
        'priority': 1,
        'public': False,
        **more,
    }


def configuration(routes: list[dict], services: list[str]) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        'version': 1,
        'routes': routes,
        'services': [{'name': name, 'max_conns': 200} for name in services],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'acme', 'api_keys': [KEY]}],
    }


# -- HTTP of clients -----------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')[:-2]
    pairs = (line.partition(':') for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class Answer:
    """What a client got; ``complete`` tells whether the answer ended regularly."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False
        self.error = ''


async def call(
    port: int, method: str, path: str, request: str, limit_s: float = 10, **headers: str
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    fields = {
        'Host': HOST,
        'X-Request-Id': request,
        'X-Deadline-Ms': str(int(limit_s * 1000)),
        'Authorization': f'Bearer {KEY}',
        **{name.replace('_', '-'): value for name, value in headers.items()},
    }
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    writer = None
    try:
        async with asyncio.timeout(limit_s + 1):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            length = '' if method == 'GET' else 'Content-Length: 0\r\n'
            writer.write(f'{method} {path} HTTP/1.1\r\n{lines}{length}\r\n'.encode())
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])
            if answer.headers.get('transfer-encoding') == 'chunked':
                while size := int((await reader.readline()).split(b';')[0], 16):
                    while size:
                        part = await reader.read(size)
                        if not part:
                            raise EOFError
                        answer.body += part
                        size -= len(part)
                    await reader.readexactly(2)
                await reader.readline()
            else:
                left = int(answer.headers.get('content-length', '0'))
                while left:
                    part = await reader.read(left)
                    if not part:
                        raise EOFError
                    answer.body += part
                    left -= len(part)
            answer.complete = True
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


# -- a proxy ---------------------------------------------------------------------


class Proxy:
    """Relays connections; it can let the open ones go silent, or reset them.

    :param stop_at: called with all bytes that the server sent on a connection; returns
        how many of them to pass on before a reset, or ``None``.
    """

    def __init__(self, target: int, stop_at: Any = None) -> None:
        self.target = target
        self.stop_at = stop_at
        self.port = 0
        self._open: set[_Relayed] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self, idle_s: float = 0.0) -> int:
        """Let open connections go silent for good; new ones work.

        :param idle_s: only those over which nothing went for so long.
        """
        found = self.find_idle(idle_s)
        for item in found:
            item.is_silent = True
        return len(found)

    def find_idle(self, idle_s: float) -> list[_Relayed]:
        """Return the connections that work and over which nothing went for so long."""
        now = time.monotonic()
        return [
            item
            for item in self._open
            if not item.is_silent and now - item.active_at >= idle_s
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        item = _Relayed()
        self._open.add(item)
        try:
            there = await asyncio.open_connection('127.0.0.1', self.target)
        except OSError:
            writer.transport.abort()
            return
        tasks = [
            asyncio.ensure_future(self._relay(item, reader, there[1], back=False)),
            asyncio.ensure_future(self._relay(item, there[0], writer, back=True)),
        ]
        # The event loop itself holds tasks that wait only weakly.
        item.tasks = [*tasks, asyncio.current_task()]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._open.discard(item)
        there[1].close()
        writer.close()

    async def _relay(
        self, item: _Relayed, source: Any, sink: Any, *, back: bool
    ) -> None:
        seen = b''
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if item.is_silent:
                    await asyncio.Event().wait()
                item.active_at = time.monotonic()
                if back and self.stop_at is not None:
                    keep = self.stop_at(seen + data)
                    if keep is not None:
                        sink.write((seen + data)[len(seen) : keep])
                        await sink.drain()
                        await asyncio.sleep(0.2)
                        reset(sink)
                        return
                    seen += data
                sink.write(data)
                await sink.drain()
        if item.is_silent:
            await asyncio.Event().wait()


class _Relayed:
    """A connection that a proxy relays."""

    def __init__(self) -> None:
        self.is_silent = False
        self.active_at = time.monotonic()
        self.tasks: list[Any] = []


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


# -- processes -------------------------------------------------------------------


class Case:
    """The processes of a case, its record, and its store."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder).resolve().parent
        self.temporary = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = (self.folder / 'record.txt').open('w', encoding='utf-8')
        self.began = time.monotonic()
        self.processes: list[subprocess.Popen] = []
        self.nodes: dict[str, dict[str, Any]] = {}
        self.store = 0
        self.note(f'TROUBLE={int(TROUBLE)}')

    def fork(self) -> Case:
        """Return a system of its own within the same case."""
        found = copy.copy(self)
        found.temporary = Path(tempfile.mkdtemp(dir=self.temporary))
        found.nodes, found.store = {}, 0
        return found

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record."""
        at = time.monotonic() if at is None else at
        self.record.write(f'{at - self.began:9.3f} {text}\n')
        self.record.flush()

    def spawn(self, *command: str, log: str = '', **settings: str) -> subprocess.Popen:
        """Start a process from the root of the repository."""
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        output = subprocess.PIPE
        if log:
            output = (self.temporary / log).open('ab')
        process = subprocess.Popen(
            command, cwd=ROOT, env={**environment, **settings}, stdout=output
        )
        self.processes.append(process)
        return process

    def start_store(self) -> None:
        """Start the platform's store."""
        process = self.spawn('python3', '-m', 'standins.kv')
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise CouldNotRunError('the store did not start')
        self.store = json.loads(line)['port']

    async def write(self, key: str, value: dict | None) -> float:
        """Write a key as operator or replica; return the time of the store's answer."""
        return await write_key(self.store, key, value)

    def start_node(self, name: str, zone: str, store: int, bootstrap: bool) -> None:
        """Start a node with the command of the deploy file."""
        ports = {kind: pick_port() for kind in ('clients', 'ready', 'metrics', 'peers')}
        path = self.temporary / f'{name}.ini'
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                bootstrap=str(bootstrap).lower(),
                store=f'127.0.0.1:{store}',
                **ports,
            )
        )
        process = self.spawn(
            'python3',
            '-m',
            'coursepitch',
            'serve',
            log=f'{name}.log',
            COURSEPITCH_CONFIG=str(path),
        )
        self.nodes[name] = {
            **ports,
            'process': process,
            'zone': zone,
            'store': store,
            'first': bootstrap,
        }

    async def wait_ready(self) -> None:
        """Wait until all nodes say that they are ready."""
        for name in list(self.nodes):
            node = self.nodes[name]
            for _ in range(300):
                if node['process'].poll() is not None:
                    # Another script took one of its ports first.
                    self.start_node(name, node['zone'], node['store'], node['first'])
                    node = self.nodes[name]
                if (await call(node['ready'], 'GET', '/-/ready', 'r')).status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CouldNotRunError(f'{name} is not ready')
        self.note(f'ready: {", ".join(self.nodes)}')

    async def start_replica(self, service: str, **options: Any) -> Replica:
        """Start a replica and wait until it listens and is listed."""
        replica = Replica(self, service, options)
        await replica.wait_listed()
        return replica

    def close(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        keep = os.environ.get('REVIEW_KEEP')
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


class Replica:
    """A replica as a process."""

    def __init__(self, case: Case, service: str, options: dict[str, Any]) -> None:
        self.case = case
        self.service = service
        self.name = 'i-' + os.urandom(5).hex()
        self.port = pick_port()
        self.log = case.temporary / f'{self.name}.jsonl'
        flags = [
            part
            for key, value in options.items()
            for part in (f'--{key.replace("_", "-")}', str(value))
        ]
        self.process = case.spawn(
            'python3',
            str(Path(__file__).resolve()),
            'replica',
            *('--id', self.name, '--port', str(self.port), '--log', str(self.log)),
            *flags,
            log=f'{self.name}.out',
        )

    def entry(self, state: str) -> dict[str, Any]:
        """Return the replica's entry in the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 16,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 0,
        }

    async def wait_listed(self) -> None:
        """Wait until it listens, and let it record itself."""
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection('127.0.0.1', self.port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        else:
            raise CouldNotRunError('a replica did not start')
        await self.case.write(f'servers/{self.name}', self.entry('ready'))

    async def drain(self) -> float:
        """Let it say that it drains; return the time of the store's ack."""
        return await self.case.write(f'servers/{self.name}', self.entry('draining'))

    def events(self) -> list[dict[str, Any]]:
        """Return what it logged."""
        if not self.log.exists():
            return []
        return [json.loads(line) for line in self.log.read_text().splitlines()]


async def write_key(store: int, key: str, value: dict | None) -> float:
    """Write or delete a key that the system may not write."""
    body = json.dumps({'key': key, 'value': json.dumps(value)}).encode()
    reader, writer = await asyncio.open_connection('127.0.0.1', store)
    method = 'DELETE' if value is None else 'POST'
    writer.write(
        f'{method} /operator HTTP/1.1\r\nHost: store\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'.encode()
        + body
    )
    first, _ = await read_head(reader)
    at = time.monotonic()
    writer.close()
    if ' 200 ' not in f'{first} ':
        raise CouldNotRunError(f'the store answered {first}')
    return at


def run_case(folder: str, play: Any) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed."""
    case = Case(folder)
    code = 2

    def stop(number: int, frame: Any) -> None:
        raise CouldNotRunError(f'ended by {signal.Signals(number).name}')

    signal.signal(signal.SIGTERM, stop)
    try:
        code = 1 if asyncio.run(play(case)) else 0
    except (CouldNotRunError, OSError, subprocess.SubprocessError) as error:
        case.note(f'could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
    finally:
        case.note({0: 'the rule held', 1: 'THE RULE WAS BROKEN'}.get(code, 'no result'))
        case.close()
    sys.exit(code)


# -- the program of a replica ----------------------------------------------------


class ReplicaServer:
    """Serves requests of a plain service and logs them.

    ``/events/N`` answers with N events and goes on after ``Last-Event-Id``;
    ``/open/`` answers in parts without a length, its end told by the connection's, and
    ``/feed/`` with events in the same way; everything else answers with a small body
    after the work's time.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.runs = 0
        self.log = Path(options.log).open('a', encoding='utf-8')  # noqa: SIM115

    def note(self, **fields: Any) -> None:
        """Log an event with the steady clock's reading."""
        self.log.write(json.dumps({'at': time.monotonic(), **fields}) + '\n')
        self.log.flush()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with contextlib.suppress(OSError, EOFError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        arrived = time.monotonic()
        _, target, _ = first.split(' ')
        await reader.readexactly(int(headers.get('content-length', '0')))
        options = self.options
        expected = headers.get('x-expect-replica', options.id)
        mark = f'X-Request-Id: {headers.get("x-request-id", "")}\r\n'
        mark += f'X-Replica-Id: {options.id}\r\n'
        if expected != options.id:
            self._send(writer, '421 Misdirected Request', mark, b'')
            return True
        if target == '/-/report':
            report = {'stage': 'both', 'models': [], 'busy': False, 'sequence': 0}
            report |= {'queued': 0, 'active': 0, 'pace': 1.0}
            self._send(writer, '200 OK', mark, json.dumps(report).encode())
            return True
        self.runs += 1
        self.note(
            arrived=arrived,
            request=headers.get('x-request-id'),
            target=target,
            last_event=headers.get('last-event-id'),
        )
        mark += f'X-Replica-Signature: {options.id}.{self.runs}\r\n'
        if target.startswith('/events/'):
            await self._stream(writer, mark, target, headers)
            return True
        if target.startswith(('/open/', '/feed/')):
            await self._send_open(writer, mark, headers, target.startswith('/feed/'))
            return False
        await asyncio.sleep(options.work_ms / 1000)
        body = f'done by {options.id}'.encode()
        self._send(writer, '200 OK', mark, body)
        await writer.drain()
        self.note(answered=headers.get('x-request-id'))
        return True

    @staticmethod
    def _send(writer: Any, status: str, mark: str, body: bytes) -> None:
        head = f'HTTP/1.1 {status}\r\n{mark}Content-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)

    async def _stream(
        self, writer: Any, mark: str, target: str, headers: dict[str, str]
    ) -> None:
        """Answer with a stream of events, in chunks."""
        last = int(target.partition('/events/')[2])
        first = int(headers.get('last-event-id', '0')) + 1
        mark += 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'
        writer.write(f'HTTP/1.1 200 OK\r\n{mark}\r\n'.encode())
        for number in range(first, last + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.note(answered=headers.get('x-request-id'), first=first, last=last)

    async def _send_open(
        self, writer: Any, mark: str, headers: dict[str, str], has_events: bool
    ) -> None:
        """Answer in parts; the end of the connection tells the end of the answer."""
        if has_events:
            mark += 'Content-Type: text/event-stream\r\n'
        writer.write(f'HTTP/1.1 200 OK\r\n{mark}Connection: close\r\n\r\n'.encode())
        for number in range(1, self.options.parts + 1):
            writer.write(build_part(number, self.options.parts, has_events).encode())
            await writer.drain()
            self.note(sent=number, request=headers.get('x-request-id'))
            await asyncio.sleep(self.options.part_ms / 1000)
        self.note(answered=headers.get('x-request-id'))


def build_part(number: int, count: int, is_event: bool) -> str:
    """Return a part of an answer that has no length."""
    text = f'part {number} of {count}\n'
    return f'id: {number}\ndata: {text}\n' if is_event else text


async def serve_replica(options: argparse.Namespace) -> None:
    """Serve until a signal ends the process."""
    server = ReplicaServer(options)
    listener = await asyncio.start_server(server.serve, '127.0.0.1', options.port)
    async with listener:
        await listener.serve_forever()


def main() -> None:
    """Run a replica."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=['replica'])
    parser.add_argument('--id', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--log', required=True)
    parser.add_argument('--work-ms', type=float, default=45)
    parser.add_argument('--parts', type=int, default=10)
    parser.add_argument('--part-ms', type=float, default=300)
    asyncio.run(serve_replica(parser.parse_args()))


if __name__ == '__main__':
    main()
