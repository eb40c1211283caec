"""Stand-in for instances of the users' platform: entries, orders, streams, faults.

One process plays several instances of one service, each on a port of its own.
They record themselves in the store's stand-in, take the orders of groups as the
published protocol says, and answer requests with events or a small body.  What
goes wrong is set by ``POST /fault`` on the control port: ``dark`` (nothing is
answered), ``mute`` (requests are taken and not answered), ``half`` (a stream
breaks off at ``place``: ``inside`` an event, before its last ``line`` break, before
the ``first`` event or ``between`` two; other answers break off in their middle, with a
reset where only the end of the connection tells their end or ``reset`` is set),
``surplus`` (a second answer follows), ``shed`` (rejected), ``error`` (status 500, whose
body follows ``delay_s`` after its head), ``status`` (an answer whose status is the
``code``, whatever that is), ``late_events`` (the instance stands still for
``for_s`` after the head of its next stream),
``late_orders`` (no answer, carried out after ``delay_s``), ``grouped`` (streams are cut
once their head has left its group, and some seconds after another member has) and
``stale`` (a request id of another) and ``endless`` (bytes of a ``kind`` come at a
``pace`` until the caller closes, see :mod:`standins.endless`; answers to all requests
but orders and, unless the kind is ``report``, reports).
Plain instances answer with events below ``/events/``.  The query of a request may name
the number of ``events`` of its stream.
Beside the mode, ``framing`` says what tells the end of answers with status 200:
their ``length``, ``chunks``, or the end of their ``connection``; by default any of
these, drawn anew for each answer by ``--seed``.
``POST /crash_on`` names a body, or a ``part`` of prompts that is not the last: each
instance that begins to run a request with it ends at once, or after the head of its
answer and ``events`` events or parts, and an empty one takes its place; ``times``
bounds how often.  For ``lingers_s`` it still ends connections as they come up, as a
process that takes a while to exit.
``POST /limit`` names a limit that instances tell in all their answers to requests from
then on; null for none.
``POST /backoff`` names the seconds for which instances want no requests, told in the
rejection of each request that they get; null for none.  ``POST /leave`` lets instances
say in all answers that they leave, while their entries do not; ``POST /crash`` ends
instances, and empty ones take their places.  ``POST /cold`` writes to the entries of
instances for how many milliseconds they stay cold, and does not count down.
``POST /pause`` lets instances stand still for ``for_s`` seconds: they accept
connections and take requests, and send nothing until they go on where they were.
``POST /cut`` cuts the paths of ``nodes`` to instances, see :mod:`standins.paths`:
each node named with ``--nodes`` has a path of its own to each instance.
"""

from __future__ import annotations

import argparse
import json
import random
import secrets
import signal
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import anyio
import h11
import httpx

from standins.endless import build_endless, send_endless
from standins.exchange import (
    FRAMINGS,
    AnswerWriter,
    read_request,
    send_whole,
    wait_closed,
    wait_left,
)
from standins.network import INSTANCE_HOST, find_host
from standins.paths import Path

#: Seconds of a load, from memory, from the host and from the weight store.
JOIN_S = {'again': 0.02, 'warm': 0.1, 'cold': 0.3}

#: Seconds after a crash until the entry has lapsed and an empty instance starts.
LAPSE_S = 1.0

#: Seconds for which a stream whose group lacks a member stands still before it is cut.
STALL_S = 5.0

#: Ports that are tried until one is free at the hosts of all nodes.
BIND_TRIES = 20

#: Seconds between two events of a stream.
PAUSE_S = 0.02


@dataclass
class Instance:
    """One instance; ``runs`` holds what it began to run.

    ``visits`` holds all requests, with readings of the machine's steady clock and what
    the instance told in answer.  ``floods`` holds the answers without end, each with
    the bytes ``sent`` and when its caller closed; what ran is in ``runs`` too.
    """

    service: str
    domain: str
    store: str
    zone: str
    engine: bool
    name: str = field(default_factory=lambda: 'i-' + secrets.token_hex(5))
    address: str = ''
    state: str = 'ready'
    group: dict[str, Any] | None = None
    members: list[str] = field(default_factory=list)
    seen_epoch: int = 0
    model: str = ''
    last_model: str = ''
    staged: list[str] = field(default_factory=list)
    fault: dict[str, Any] = field(default_factory=lambda: {'mode': 'none'})
    runs: list[dict[str, Any]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    connections: set[anyio.CancelScope] = field(default_factory=set)
    crashed: bool = False
    crashed_at: float | None = None
    crashed_by: str = ''
    limit: str | None = None
    visits: list[dict[str, Any]] = field(default_factory=list)
    floods: list[dict[str, Any]] = field(default_factory=list)
    backoff: str | None = None
    leaving: bool = False
    has_vanished: bool = False
    cold_left_ms: int = 0
    paused_until: float = 0.0
    paths: dict[str, Path] = field(default_factory=dict)

    async def wait_resumed(self) -> None:
        """Wait while the instance stands still."""
        while (left_s := self.paused_until - time.monotonic()) > 0:
            await anyio.sleep(left_s)

    def entry(self) -> dict[str, Any]:
        """Return what stands in the store."""
        data: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 13,
            'state': self.state,
            'cold_left_ms': self.cold_left_ms,
            'sequence': len(self.orders),
        }
        if self.engine:
            told = bool(self.model)
            data['models'] = [{'name': self.model, 'version': 1}] if told else []
            data['domain'] = self.domain
            data['staged'] = self.staged
            data['group'] = self.group
        return data


class Host:
    """All instances of a process, with the task group in which they run."""

    def __init__(self, options: argparse.Namespace, tasks: Any) -> None:
        self.options = options
        self.tasks = tasks
        self.client = httpx.AsyncClient(base_url=f'http://{options.store}')
        self.chance = random.Random(options.seed)
        self.crash_body = b''
        #: Part of prompts that ends instances, if it is not the last; empty for none.
        self.crash_part = ''
        #: Events or parts of an answer after which an instance ends; ``None`` for none.
        self.crash_events: int | None = None
        self.crashes_left = 0
        self.lingers_s = 0.0
        #: Modes of the paths of nodes, for instances that are yet to start.
        self.cuts: dict[str, str] = {}
        self.instances = {
            item.name: item
            for domain in options.domain
            for item in (
                Instance(
                    options.service,
                    domain,
                    options.store,
                    options.zone,
                    options.engine,
                )
                for _ in range(options.count)
            )
        }

    async def publish(self, instance: Instance) -> None:
        """Write the entry of an instance, unless it left without a word."""
        if instance.has_vanished:
            return
        value = json.dumps(instance.entry())
        key = f'servers/{instance.name}'
        await self.client.post('/operator', json={'key': key, 'value': value})

    async def remove(self, instance: Instance) -> None:
        """Delete the entry of an instance."""
        key = f'servers/{instance.name}'
        await self.client.request('DELETE', '/operator', json={'key': key})

    # -- crashes -----------------------------------------------------------------

    def crash(self, instance: Instance) -> None:
        """End an instance with all its connections, as a killed process."""
        instance.crashed = True
        instance.crashed_at = time.monotonic()
        for connection in list(instance.connections):
            connection.cancel()
        if not self.lingers_s:
            instance.scope.cancel()
        self.tasks.start_soon(self._replace, instance)

    async def _replace(self, instance: Instance) -> None:
        """Let the entry of a crashed instance lapse and an empty one start."""
        await anyio.sleep(self.lingers_s)
        instance.scope.cancel()
        await anyio.sleep(LAPSE_S)
        await self.remove(instance)
        item = Instance(
            instance.service,
            instance.domain,
            instance.store,
            instance.zone,
            instance.engine,
        )
        self.instances[item.name] = item
        await listen(self.tasks, item, self)
        await self.publish(item)

    # -- orders ------------------------------------------------------------------

    async def take_order(self, instance: Instance, order: dict[str, Any]) -> int:
        """Take an order; return the status."""
        if instance.fault['mode'] == 'late_orders':
            self.tasks.start_soon(self._take_late, instance, order)
            return 0
        return await self._carry_out(instance, order)

    async def _take_late(self, instance: Instance, order: dict[str, Any]) -> None:
        await anyio.sleep(instance.fault.get('delay_s', 1.0))
        await self._carry_out(instance, order)

    async def _carry_out(self, instance: Instance, order: dict[str, Any]) -> int:
        instance.orders.append(order)
        kind = order['operation']
        if kind == 'stage':
            instance.staged = [order['model']]
            await self.publish(instance)
            return 202
        if kind == 'join':
            return await self._join(instance, order)
        group = instance.group
        named = group and (group['name'], group['epoch']) == (
            order['group'],
            order['epoch'],
        )
        if not named or group is None:
            return 409
        if kind == 'leave':
            instance.group, instance.model = None, ''
        elif kind == 'open':
            if group['state'] != 'ready':
                return 409
            group['state'] = 'open'
        elif kind == 'close':
            group['state'] = 'ready'
        await self.publish(instance)
        return 202

    async def _join(self, instance: Instance, order: dict[str, Any]) -> int:
        if order['epoch'] < instance.seen_epoch:
            return 412
        group = instance.group
        if group and (group['name'], group['epoch']) == (
            order['group'],
            order['epoch'],
        ):
            return 200 if instance.members == order['members'] else 412
        instance.seen_epoch = order['epoch']
        instance.members = order['members']
        group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': order['members'].index(instance.name),
            'state': 'joining',
        }
        instance.group = group
        instance.model = ''
        await self.publish(instance)
        # The instance may have left the group in the meantime, which ends the load.
        self.tasks.start_soon(self._load, instance, group, order['model'])
        return 202

    async def _load(
        self, instance: Instance, group: dict[str, Any], model: str
    ) -> None:
        warmth = 'warm' if model in instance.staged else 'cold'
        if model == instance.last_model:
            warmth = 'again'
        await anyio.sleep(JOIN_S[warmth])
        if instance.group is not group:
            return
        instance.model = instance.last_model = model
        if warmth == 'cold':
            instance.staged = [model]
        group['state'] = 'ready'
        await self.publish(instance)

    # -- connections -----------------------------------------------------------------

    async def serve(self, instance: Instance, stream: Any) -> None:
        """Serve one connection of an instance, until either ends."""
        if instance.crashed:
            await anyio.aclose_forcefully(stream)
            return
        with anyio.CancelScope() as scope:
            instance.connections.add(scope)
            try:
                await self._serve(instance, stream)
            finally:
                instance.connections.discard(scope)

    async def _serve(self, instance: Instance, stream: Any) -> None:
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(instance, stream, parser):
                parser.start_next_cycle()
        except (anyio.BrokenResourceError, anyio.EndOfStream, h11.ProtocolError):
            pass
        finally:
            await anyio.aclose_forcefully(stream)

    async def _serve_one(self, instance: Instance, stream: Any, parser: Any) -> bool:
        request, body = await read_request(stream, parser)
        if request is None:
            return False
        if instance.fault['mode'] == 'dark':
            await anyio.sleep_forever()
        await instance.wait_resumed()
        headers = {key.decode(): value.decode() for key, value in request.headers}
        expected = headers.get('x-expect-replica')
        if expected and expected != instance.name:
            await send_whole(stream, parser, 421, {'X-Replica-Id': instance.name})
            return True
        target = request.target.decode()
        if target == '/-/report':
            if instance.fault.get('kind') == 'report':
                record = {'target': target}
                await self._flood(instance, instance.fault, stream, {}, record)
                return False
            report = {**instance.entry(), 'queued': 0, 'active': 0, 'pace': 1.0}
            await send_whole(stream, parser, 200, {}, json.dumps(report).encode())
            return True
        if target == '/-/order':
            status = await self.take_order(instance, json.loads(body))
            if not status:
                await anyio.sleep_forever()
            await send_whole(stream, parser, status, {})
            return True
        return await self._answer(instance, stream, parser, request, headers, body)

    async def _answer(
        self,
        instance: Instance,
        stream: Any,
        parser: Any,
        request: Any,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Answer a client's request; return whether the connection goes on."""
        mode = instance.fault['mode']
        mark = {'X-Request-Id': headers.get('x-request-id', '')}
        visit = {
            'request': mark['X-Request-Id'],
            'at': time.monotonic(),
            'backoff': instance.backoff,
            'leaving': instance.leaving,
            'ran': False,
        }
        instance.visits.append(visit)
        if instance.limit is not None:
            mark['Server-Limit'] = instance.limit
        if instance.leaving:
            mark['Server-Leaving'] = '1'
        if instance.backoff is not None:
            mark |= {'X-Not-Executed': '1', 'Retry-After': instance.backoff}
            await send_whole(stream, parser, 503, mark)
            return True
        head = instance.group and instance.group['state'] == 'open'
        if mode == 'shed' or (instance.engine and not head):
            status = 503 if mode == 'shed' else 421
            await send_whole(stream, parser, status, {**mark, 'X-Not-Executed': '1'})
            return True
        if mode == 'endless' and instance.fault['kind'] == 'rejection_body':
            record = {'request': mark['X-Request-Id']}
            await self._flood(instance, instance.fault, stream, mark, record)
            return False
        run = {
            'request': mark['X-Request-Id'],
            'target': request.target.decode(),
            'method': request.method.decode(),
            'body': body.decode('latin-1'),
            'headers': headers,
            'left': False,
        }
        instance.runs.append(run)
        visit['ran'] = True
        if mode == 'mute':
            await wait_left(stream, run)
            return False
        if mode == 'slow':
            with anyio.move_on_after(instance.fault['for_s']):
                await wait_left(stream, run)
        run['ends'] = self._ends_instances(headers, body)
        if self.crash_events is None:
            await self._end_with(instance, run)
        mark['X-Replica-Signature'] = f'{instance.name}.{len(instance.runs)}'
        if mode == 'stale':
            mark['X-Request-Id'] = 'another'
        if mode == 'error':
            return await self._send_error(instance, stream, parser, mark)
        if mode == 'status':
            await self._send_status(instance, stream, mark)
            return False
        fault = instance.fault
        kind = fault['kind'] if mode == 'endless' else None
        if kind not in (None, 'after_answer', 'report'):
            await self._flood(instance, fault, stream, mark, run)
            return False
        whole = await self._send_answer(instance, stream, parser, mark, run)
        if kind == 'after_answer':
            await self._flood(instance, fault, stream, mark, run)
            return False
        return whole

    async def _flood(
        self,
        instance: Instance,
        fault: dict[str, Any],
        stream: Any,
        mark: dict[str, str],
        record: dict[str, Any],
    ) -> None:
        """Send bytes that are no answer until the caller closes."""
        record |= {'kind': fault['kind'], 'pace': fault['pace']}
        instance.floods.append(record)
        endless = build_endless(fault['kind'], mark)
        await send_endless(
            stream.send, lambda: wait_closed(stream), endless, fault['pace'], record
        )

    async def _send_answer(
        self,
        instance: Instance,
        stream: Any,
        parser: Any,
        mark: dict[str, str],
        run: dict[str, Any],
    ) -> bool:
        """Send the answer that a run has; return whether the connection goes on."""
        mode, headers = instance.fault['mode'], run['headers']
        if instance.engine or run['target'].startswith('/events/'):
            return await self._stream(instance, stream, parser, mark, run, headers)
        answer = f'{instance.name} {run["request"]}'.encode()
        if mode == 'surplus':
            await send_whole(stream, parser, 200, mark, answer)
            await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx')
            return True
        writer = AnswerWriter(stream, parser, self._choose_framing(instance))
        await writer.start(mark, len(answer))
        for number, part in enumerate((answer[:3], answer[3:])):
            if self.crash_events == number:
                await self._end_with(instance, run)
            await instance.wait_resumed()
            if mode == 'half' and number:
                if writer.framing == 'connection' or instance.fault.get('reset'):
                    writer.reset()
                return False
            await writer.send(part)
        return await writer.end()

    async def _send_error(
        self, instance: Instance, stream: Any, parser: Any, mark: dict[str, str]
    ) -> bool:
        body = b'no'
        writer = AnswerWriter(stream, parser, 'length')
        await writer.start(mark, len(body), status=500)
        await anyio.sleep(instance.fault.get('delay_s', 0.0))
        await writer.send(body)
        return await writer.end()

    async def _send_status(
        self, instance: Instance, stream: Any, mark: dict[str, str]
    ) -> None:
        """Send an answer whose status may be none; its connection ends with it."""
        framing = self._choose_framing(instance)
        told, body = {**mark, 'Connection': 'close'}, b'2\r\nno\r\n0\r\n\r\n'
        if framing == 'chunks':
            told['Transfer-Encoding'] = 'chunked'
        else:
            body = b'no'
        if framing == 'length':
            told['Content-Length'] = str(len(body))
        lines = ''.join(f'{key}: {value}\r\n' for key, value in told.items())
        head = f'HTTP/1.1 {instance.fault["code"]}\r\n{lines}\r\n'
        await stream.send(head.encode() + body)

    def _ends_instances(self, headers: dict[str, str], body: bytes) -> bool:
        parts = headers.get('x-prompt-prefix', '').split(',')[:-1]
        if self.crash_part and self.crash_part in [
            part.split(':')[0] for part in parts
        ]:
            return True
        return bool(self.crash_body) and body == self.crash_body

    async def _end_with(self, instance: Instance, run: dict[str, Any]) -> None:
        """Let the instance end if this run is one that ends it."""
        if run['ends'] and self.crashes_left > 0:
            self.crashes_left -= 1
            instance.crashed_by = run['request']
            self.crash(instance)
            await anyio.sleep_forever()

    def _choose_framing(self, instance: Instance) -> str:
        """Return what tells the end of the next answer."""
        if instance.fault.get('kind') == 'after_answer':
            # The end of the connection would not tell where the answer ends.
            return 'length'
        drawn = self.chance.choice(FRAMINGS)
        framing: str = instance.fault.get('framing', drawn)
        return framing

    async def _stream(
        self,
        instance: Instance,
        stream: Any,
        parser: Any,
        mark: dict[str, str],
        run: dict[str, Any],
        headers: dict[str, str],
    ) -> bool:
        first = int(headers.get('last-event-id') or 0) + 1
        last, group = self._count_events(run['target']), instance.group
        events = {
            number: self._build_event(number) for number in range(first, last + 1)
        }
        writer = AnswerWriter(stream, parser, self._choose_framing(instance))
        told = {**mark, 'Content-Type': 'text/event-stream'}
        await writer.start(told, sum(map(len, events.values())))
        if instance.fault['mode'] == 'late_events':
            instance.paused_until = time.monotonic() + instance.fault['for_s']
            instance.fault = {'mode': 'none'}
        for number, event in events.items():
            await instance.wait_resumed()
            fault = instance.fault
            if self.crash_events == number - first:
                await self._end_with(instance, run)
            if fault['mode'] == 'dark':
                await anyio.sleep_forever()
            if fault['mode'] == 'grouped' and not self._has_members(instance, group):
                # It is cut at once if the head itself has left.
                if instance.group is group:
                    await anyio.sleep(STALL_S)
                writer.reset()
                return False
            if fault['mode'] == 'still' and number == last // 2:
                await wait_left(stream, run)
                return False
            if fault['mode'] == 'half':
                place = fault.get('place', 'inside')
                if number == (first if place == 'first' else last // 2):
                    sent = {'inside': event[:9], 'line': event[:-1]}.get(place, b'')
                    if sent:
                        await writer.send(sent)
                    if fault.get('reset'):
                        writer.reset()
                    return False
            try:
                await writer.send(event)
            except anyio.BrokenResourceError:
                run['left'] = True
                raise
            await anyio.sleep(PAUSE_S)
        await instance.wait_resumed()
        return await writer.end()

    def _count_events(self, target: str) -> int:
        """Return the number of events of a stream."""
        named = parse_qs(target.partition('?')[2]).get('events')
        return int(named[0]) if named else int(self.options.events)

    def _has_members(self, head: Instance, group: dict[str, Any] | None) -> bool:
        """Whether a head and all its members are in the group of a stream."""
        if group is None or head.group is not group:
            return False
        key = (group['name'], group['epoch'])
        members = [self.instances.get(name) for name in head.members]
        return all(
            item is not None
            and item.group is not None
            and (item.group['name'], item.group['epoch']) == key
            for item in members
        )

    def _build_event(self, number: int) -> bytes:
        text = f'id: {number}\ndata: token {number}'
        return f'{text.ljust(self.options.event_bytes - 2)}\n\n'.encode()


async def serve_control(host: Host, stream: Any) -> None:
    """Serve the port over which tests set faults and read what happened."""
    parser = h11.Connection(h11.SERVER)
    try:
        while True:
            request, body = await read_request(stream, parser)
            if request is None:
                return
            result = await control(host, request.target.decode(), body)
            await send_whole(stream, parser, 200, {}, json.dumps(result).encode())
            parser.start_next_cycle()
    except (anyio.BrokenResourceError, h11.ProtocolError):
        pass
    finally:
        await anyio.aclose_forcefully(stream)


async def control(host: Host, target: str, body: bytes) -> Any:
    """Carry out one call of a test."""
    if target == '/stats':
        return {
            name: {
                **item.entry(),
                'members': item.members,
                'runs': item.runs,
                'orders': item.orders,
                'crashed': item.crashed,
                'crashed_at': item.crashed_at,
                'crashed_by': item.crashed_by,
                'arrivals': [visit['at'] for visit in item.visits],
                'visits': item.visits,
                'floods': item.floods,
            }
            for name, item in host.instances.items()
        }
    data = json.loads(body)
    if target == '/crash_on':
        host.crash_body = data.get('body', '').encode()
        host.crash_part = data.get('part', '')
        host.crash_events = data.get('events')
        host.crashes_left = data.get('times', 1_000_000)
        host.lingers_s = data.get('lingers_s', 0.0)
        return {}
    names = data.get('instances') or list(host.instances)
    if target == '/cut' and not data.get('instances'):
        host.cuts |= dict.fromkeys(data['nodes'], data['mode'])
    for name in names:
        instance = host.instances[name]
        if target == '/cut':
            # One that starts has no paths yet, and begins with the cuts of its host.
            for node in instance.paths.keys() & set(data['nodes']):
                instance.paths[node].cut(data['mode'])
        elif target == '/fault':
            instance.fault = data
        elif target == '/pause':
            instance.paused_until = time.monotonic() + data['for_s']
        elif target == '/limit':
            instance.limit = data['limit']
        elif target == '/backoff':
            instance.backoff = data['backoff']
        elif target == '/cold':
            instance.cold_left_ms = data['left_ms']
            await host.publish(instance)
        elif target == '/leave':
            instance.leaving = True
        elif target == '/crash':
            host.crash(instance)
        elif target == '/drain':
            instance.state = 'draining'
            await host.publish(instance)
        elif target == '/vanish':
            instance.has_vanished = True
            await host.remove(instance)
    return {}


async def run(options: argparse.Namespace) -> None:
    """Serve until a signal; print the control port once all instances listen."""
    async with anyio.create_task_group() as tasks:
        host = Host(options, tasks)
        for instance in host.instances.values():
            await listen(tasks, instance, host)
        multi = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
        port = multi.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(multi.serve, lambda stream: serve_control(host, stream))
        for instance in host.instances.values():
            await host.publish(instance)
        print(json.dumps({'port': port}), flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


async def listen(tasks: Any, instance: Instance, host: Host) -> None:
    """Let an instance listen on a port of its own, once for each node with a path."""

    async def serve(stream: Any) -> None:
        await host.serve(instance, stream)

    for _ in range(BIND_TRIES):
        listener = await anyio.create_tcp_listener(
            local_host=INSTANCE_HOST, local_port=0
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        try:
            instance.paths = {
                node: Path(find_host(number), port, serve)
                for number, node in enumerate(host.options.nodes)
            }
            break
        except OSError:
            await listener.aclose()
    instance.address = f'{INSTANCE_HOST}:{port}'
    for node, path in instance.paths.items():
        path.cut(host.cuts.get(node, 'none'))
    await tasks.start(serve_instance, host, instance, listener)


async def serve_instance(
    host: Host,
    instance: Instance,
    listener: Any,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    """Serve an instance's connections until it crashes."""
    with instance.scope:
        async with listener, anyio.create_task_group() as tasks:
            for path in instance.paths.values():
                await tasks.start(path.run)
            task_status.started()
            await listener.serve(lambda stream: host.serve(instance, stream))


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--store', required=True, help='IP:port of the store')
    parser.add_argument('--service', default='pool')
    parser.add_argument('--zone', default='a', help='zone of all instances')
    parser.add_argument('--domain', action='append', default=[])
    parser.add_argument('--count', type=int, default=4, help='instances a domain')
    parser.add_argument('--events', type=int, default=20, help='events of a stream')
    parser.add_argument('--event-bytes', type=int, default=0)
    parser.add_argument('--seed', default='1', help='decides the framing of answers')
    parser.add_argument('--engine', action='store_true')
    parser.add_argument('--nodes', nargs='*', default=[], help='nodes with own paths')
    options = parser.parse_args()
    options.domain = options.domain or ['']
    anyio.run(run, options)


if __name__ == '__main__':
    main()
