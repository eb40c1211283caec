"""See claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
from pathlib import Path

from world import (
    HOST,
    KEY,
    NotRunnableError,
    World,
    build_configuration,
    call,
    read_head,
)

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

ZONES = ('kurasini', 'mikocheni', 'ubungo')
REPLICAS = 6
ROUNDS = 7
REQUESTS_PER_S = 60
#: Seconds for which a replica works on a request.
WORK_S = 0.09

#: Seconds without a byte after which a connection to the store goes silent.
IDLE_S = 2.0
#: Seconds from a replica's start to the silence, and from there to a notice, and
#: from there to the end of the round.  `contact_ms` is 3,000.
QUIET_S, CALM_S, WATCH_S = 3.4, 3.6, 3.6
#: Seconds until the next round, in which watches that went silent are given up.
PAUSE_S = 4.0
#: `drain_ms`.
DRAIN_S = 2.0


class Tunnel:
    """A proxy to the store, whose open connections can go silent for good."""

    def __init__(self, world):
        self.world = world
        self.address = ''
        self.links = []

    async def start(self):
        """Listen."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    async def serve(self, reader, writer):
        """Pass bytes both ways until either side ends, or for ever drop them."""
        link = {'silent': False, 'at': self.world.now()}
        host, _, port = self.world.store.rpartition(':')
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        self.links.append(link)

        async def pass_on(source, target):
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    link['at'] = self.world.now()
                    if not link['silent']:
                        target.write(data)
                        await target.drain()
            if not link['silent']:
                target.close()

        await asyncio.gather(
            pass_on(reader, store_writer), pass_on(store_reader, writer)
        )
        if link in self.links:
            self.links.remove(link)
        writer.close()
        store_writer.close()

    def silence_idle(self):
        """Let the connections that were idle go silent; return how many of how many."""
        idle = [link for link in self.links if self.world.now() - link['at'] >= IDLE_S]
        for link in idle:
            link['silent'] = True
        return len(idle), len(self.links)


class Replica:
    """A replica of a plain service, on a port of its own."""

    def __init__(self, world, number):
        self.world = world
        self.name = f'i-{secrets.token_hex(5)}'
        self.zone = ZONES[number % 3]
        self.arrivals = []
        self.draining_at = None
        self.server = None
        self.entry = {}

    async def start(self):
        """Listen, and record itself in the store."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.entry = {
            'service': 'queue-api',
            'address': f'127.0.0.1:{self.server.sockets[0].getsockname()[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 13,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
        }
        await self.world.put(f'servers/{self.name}', self.entry)

    async def drain(self):
        """Say that it leaves; it serves on."""
        entry = {**self.entry, 'state': 'draining', 'sequence': 2}
        self.draining_at = await self.world.put(f'servers/{self.name}', entry)

    async def end(self):
        """End as planned."""
        self.server.close()
        await self.world.delete(f'servers/{self.name}')

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, ValueError
        ):
            while True:
                line, headers = await read_head(reader)
                path = line.split()[1]
                await reader.readexactly(int(headers.get('content-length', 0)))
                request = headers.get('x-request-id', '')
                if headers.get('x-expect-replica', self.name) != self.name:
                    answer = 'HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n'
                    body = ''
                elif path in ('/-/report', '/health'):
                    answer, body = (
                        f'HTTP/1.1 200 OK\r\nX-Replica-Id: {self.name}\r\n',
                        '{}',
                    )
                else:
                    self.arrivals.append((self.world.now(), request))
                    self.world.record(f'replica {self.name} gets and runs {request}')
                    await asyncio.sleep(WORK_S)
                    answer = (
                        'HTTP/1.1 200 OK\r\n'
                        f'X-Replica-Signature: {self.name}.{request}\r\n'
                    )
                    body = f'answer to {request}'
                if request:
                    answer += f'X-Request-Id: {request}\r\n'
                answer += f'Content-Length: {len(body)}\r\n\r\n{body}'
                writer.write(answer.encode())
                await writer.drain()
        writer.close()


class Case:
    """The run of the case."""

    def __init__(self, world):
        self.world = world
        self.served = 0
        self.sent_at = {}
        self.late = []

    async def request(self, node):
        """Send a request that may be repeated."""
        name = secrets.token_hex(8)
        headers = {
            'Host': HOST,
            'X-Request-Id': name,
            'X-Deadline-Ms': '4000',
            'Authorization': f'Bearer {KEY}',
        }
        self.sent_at[name] = self.world.now()
        self.world.record(f'requester sends {name} to {node}')
        try:
            status, *_ = await call(
                self.world.address(node), 'GET', '/cert/2f', b'', headers
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.world.record(f'requester has no answer to {name}: {error!r}')
            return
        self.world.record(f'requester gets {status} for {name}')
        self.served += status == 200

    async def send_all(self, names):
        """Send requests without an end."""
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                tasks.create_task(self.request(names[number % len(names)]))
                number += 1
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def play_round(self, tunnel, replicas, number):
        """Let open connections go silent, then a replica leave."""
        world = self.world
        new = Replica(world, number)
        await new.start()
        replicas.append(new)
        world.record(f'replica {new.name} has started')
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            silent, of = tunnel.silence_idle()
            world.record(f'{silent} of {of} connections to the store go silent')
        await asyncio.sleep(CALM_S)
        left = replicas.pop(0)
        await left.drain()
        world.record(f'replica {left.name} says draining, acknowledged')
        await asyncio.sleep(WATCH_S)
        late = [
            (at - left.draining_at, request)
            for at, request in left.arrivals
            if at - left.draining_at > DRAIN_S
        ]
        for after_s, request in late:
            sent_s = self.sent_at.get(request, 0.0) - left.draining_at
            world.record(
                f'BROKEN: {request}, sent {sent_s:.3f} s after the ack, reaches '
                f'{left.name} {after_s:.3f} s after it'
            )
        last_s = max((at for at, _ in left.arrivals), default=0.0) - left.draining_at
        world.record(
            f'round {number}: {len(late)} late; the last request came {last_s:.3f} s '
            'after the ack'
        )
        self.late += late
        await left.end()
        await asyncio.sleep(PAUSE_S)

    async def run(self):
        """Play the case; return whether the rule was broken."""
        world = self.world
        await world.start_store()
        tunnel = Tunnel(world)
        await tunnel.start()
        await world.put('op/config', build_configuration(1))
        replicas = [Replica(world, number) for number in range(REPLICAS)]
        for replica in replicas:
            await replica.start()
        names = [f'front-{zone}-1' for zone in ZONES]
        await asyncio.gather(
            *(
                world.start_node(name, zone, tunnel.address)
                for name, zone in zip(names, ZONES, strict=True)
            )
        )
        await asyncio.sleep(3.0)
        traffic = asyncio.create_task(self.send_all(names))
        for number in range(ROUNDS):
            await self.play_round(tunnel, replicas, number)
        traffic.cancel()
        await asyncio.gather(traffic, return_exceptions=True)
        world.record(f'{self.served} served, {len(self.late)} too late')
        if not self.served:
            raise NotRunnableError('no request was served')
        return bool(self.late)


async def main():
    """Run the case; return the exit code."""
    world = World(FOLDER)
    try:
        async with asyncio.timeout(116):
            broken = await Case(world).run()
    except (NotRunnableError, OSError, TimeoutError) as error:
        world.record(f'could not run: {error!r}')
        return 2
    finally:
        await world.end()
    world.record('the rule was broken' if broken else 'the rule held')
    return int(broken)


async def run_and_exit():
    """Run the case and exit; tasks of connections that are silent would never end."""
    code = await main()
    os._exit(code)


asyncio.run(run_and_exit())
