"""Stand-ins of instances and engines whose answers have no end."""

from __future__ import annotations

import itertools
import json
import shutil
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path
from types import SimpleNamespace

import anyio
import httpx

from standins.endless import KINDS, build_endless
from standins.harness import Process
from standins.replica import Host, Instance, control, listen

#: Bytes that are read of an answer that comes fast.
FAST_BYTES = 300_000

#: Bytes that are read at least of an answer that comes slowly.
SLOW_BYTES = 40

#: Seconds for the first bytes of an answer.
READ_S = 5.0

#: Seconds for a stand-in to see that its caller has closed.
CLOSE_S = 2.0

GROUP = {'name': 'g1', 'epoch': 1, 'state': 'open'}


def build_request(path, host):
    """Return the bytes of a request."""
    return f'POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: r1\r\n\r\n'.encode()


class InstanceCase(unittest.TestCase):
    """Calls of one instance in the process of the test."""

    def call(self, fault, path, work, *, engine=False):
        """Let an instance answer with a fault; return what a coroutine returns.

        :param work: is called with the connection, the instance and its flood.
        """

        async def serve():
            async with anyio.create_task_group() as tasks:
                options = SimpleNamespace(
                    domain=[], seed='1', store='127.0.0.1:1', nodes=[], events=3
                )
                options.event_bytes = 0
                host = Host(options, tasks)
                instance = Instance('pool', 'd0', options.store, 'a', engine=engine)
                instance.group = dict(GROUP) if engine else None
                host.instances = {instance.name: instance}
                await listen(tasks, instance, host)
                await control(host, '/fault', json.dumps(fault).encode())
                place, port = instance.address.split(':')
                stream = await anyio.connect_tcp(place, int(port))
                await stream.send(build_request(path, instance.address))
                result = await work(stream, instance)
                await anyio.aclose_forcefully(stream)
                with anyio.fail_after(CLOSE_S):
                    while not all(item['left'] for item in instance.floods):
                        await anyio.sleep(0.005)
                stats = await control(host, '/stats', b'{}')
                tasks.cancel_scope.cancel()
            return result, stats[instance.name]

        return anyio.run(serve)


async def read(stream, size, end=b''):
    """Return the first bytes of an answer, so many at least and up to an end."""
    data = b''
    with anyio.fail_after(READ_S):
        while len(data) < size or end not in data[-FAST_BYTES:]:
            data += await stream.receive()
    return data


class EndlessInstanceTest(InstanceCase):
    """Every kind of bytes, fast and slow, of engines and of plain instances."""

    # Guards against a flood that ends by itself, or that goes on after its caller.
    def test_bytes_come_until_the_caller_closes(self):
        for kind, pace, engine in itertools.product(
            KINDS, ('fast', 'slow'), (False, True)
        ):
            with self.subTest(kind=kind, pace=pace, engine=engine):
                size = FAST_BYTES if pace == 'fast' else SLOW_BYTES
                fault = {'mode': 'endless', 'kind': kind, 'pace': pace}
                path = '/-/report' if kind == 'report' else '/x'

                unit = build_endless(kind, {}).unit

                async def work(stream, instance, size=size, unit=unit):
                    return await read(stream, size, unit * 2)

                _, stats = self.call(fault, path, work, engine=engine)
                (flood,) = stats['floods']
                self.assertEqual((flood['kind'], flood['pace']), (kind, pace))
                self.assertIsNotNone(flood['left_at'])
                self.assertGreater(flood['sent'], 0)
                ran = kind not in ('rejection_body', 'report')
                self.assertEqual(len(stats['runs']), int(ran))

    # Guards against a stand-in that keeps in memory what its caller does not read.
    def test_fast_bytes_wait_for_a_caller_that_does_not_read(self):
        async def work(stream, instance):
            await read(stream, FAST_BYTES)
            sent = -1
            while sent != instance.floods[0]['sent']:
                sent = instance.floods[0]['sent']
                await anyio.sleep(0.1)
            return sent

        fault = {'mode': 'endless', 'kind': 'body', 'pace': 'fast'}
        sent, _ = self.call(fault, '/x', work)
        self.assertLess(sent, 64_000_000)

    # Guards against a fault whose answer comes at once in place of ten bytes a time.
    def test_slow_bytes_take_their_time(self):
        async def work(stream, instance):
            began = time.monotonic()
            await read(stream, 6 * 10)
            return time.monotonic() - began

        fault = {'mode': 'endless', 'kind': 'status_line', 'pace': 'slow'}
        seconds, _ = self.call(fault, '/x', work)
        self.assertGreater(seconds, 4 * 0.05)

    # Guards against reports without end when the answers to requests are meant.
    def test_other_answers_are_sound(self):
        async def work(stream, instance):
            return await read(stream, 20)

        fault = {'mode': 'endless', 'kind': 'body', 'pace': 'fast'}
        data, stats = self.call(fault, '/-/report', work)
        self.assertEqual((data[:12], stats['floods']), (b'HTTP/1.1 200', []))
        data, stats = self.call({**fault, 'kind': 'report'}, '/x', work)
        self.assertEqual((data[:12], stats['floods']), (b'HTTP/1.1 200', []))


class EndlessEngineTest(unittest.TestCase):
    """An engine of the OpenAI side, as a process."""

    @classmethod
    def setUpClass(cls):
        """Start the engine."""
        folder = Path(tempfile.mkdtemp(prefix='coursepitch-'))
        cls.addClassCleanup(shutil.rmtree, folder, ignore_errors=True)
        command = ('-m', 'standins.engine', '--id', 'e1', '--weights', 'http://x')
        process = Process('engine', [sys.executable, *command], folder)
        cls.addClassCleanup(process.kill)
        process.wait_told()
        cls.place = ('127.0.0.1', process.told['port'])
        cls.client = httpx.Client(
            base_url=f'http://127.0.0.1:{cls.place[1]}', trust_env=False
        )
        cls.addClassCleanup(cls.client.close)

    def read(self, path, size, end):
        """Read the first bytes of an answer, up to an end at least, and close."""
        with socket.create_connection(self.place, 5.0) as sock:
            sock.sendall(build_request(path, 'e1'))
            data = b''
            until = time.monotonic() + READ_S
            while len(data) < size or end not in data[-FAST_BYTES:]:
                self.assertLess(time.monotonic(), until, data[:100])
                data += sock.recv(65536)

    def wait_left(self, count):
        """Return the floods once the engine saw that the callers closed."""
        until = time.monotonic() + CLOSE_S
        while True:
            floods = self.client.get('/stats').json()['floods']
            if len(floods) == count and all(item['left'] for item in floods):
                return floods
            self.assertLess(time.monotonic(), until, floods)

    # Guards against a flood that ends by itself, or that goes on after its caller.
    def test_bytes_come_until_the_caller_closes(self):
        count = 0
        for kind, pace in itertools.product(KINDS, ('fast', 'slow')):
            with self.subTest(kind=kind, pace=pace):
                fault = {'mode': 'endless', 'kind': kind, 'pace': pace}
                path = '/health' if kind == 'report' else '/v1/streams/r1'
                size = FAST_BYTES if pace == 'fast' else SLOW_BYTES
                self.client.post('/fault', json=fault).raise_for_status()
                self.read(path, size, build_endless(kind, {}).unit * 2)
                count += 1
                flood = self.wait_left(count)[-1]
                self.assertEqual((flood['kind'], flood['pace']), (kind, pace))
                self.assertGreater(flood['sent'], 0)

    # Guards against an engine that its own members take for gone.
    def test_members_get_sound_answers(self):
        fault = {'mode': 'endless', 'kind': 'report', 'pace': 'slow'}
        self.client.post('/fault', json=fault).raise_for_status()
        reply = self.client.get('/health', headers={'x-member': '1'})
        self.assertEqual(reply.json()['instance'], 'e1')
