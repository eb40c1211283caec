"""Answers of the key-value service that break off."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

import anyio
import orjson

from coursepitch.metrics import Metrics
from coursepitch.platform import kv as module
from coursepitch.platform.kv import Condition, Events, KeyValue, Unavailable, Write

#: A whole answer to a call of each kind.
ITEM = b'{"tls_key":"k","value":"dg==","revision":7,"created":7,"lease":0}'
PAGE = b'{"items":[%b],"has_more":false,"timestamp":9}' % ITEM
EVENTS = b'{"events":[%b],"timestamp":9}' % ITEM
SWAPPED = b'{"revision":9}'
LEASE = b'{"lease":5,"ttl_ms":2000}'


async def call_with_answer(answer, call):
    """Return the result of a call to which a server sends some bytes and ends."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            await stream.send(answer)

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    kv = KeyValue(f'127.0.0.1:{port}', 5.0, 100.0, Metrics())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        result = await call(kv)
        tasks.cancel_scope.cancel()
    return result


class BrokenOffAnswerTest(unittest.TestCase):
    """An answer without length that ends anywhere is never taken for a whole one."""

    def check(self, body, call, *, writes=False):
        whole = b'HTTP/1.1 200 OK\r\n\r\n' + body
        found = anyio.run(call_with_answer, whole, call)
        self.assertNotIsInstance(found, Unavailable)
        for end in (0, 1, len(body) // 2, len(body) - 1):
            answer = whole[: len(whole) - len(body) + end]
            found = anyio.run(call_with_answer, answer, call)
            self.assertIsInstance(found, Unavailable, answer)
            self.assertEqual(found.maybe_applied, writes, answer)

    def test_item(self):
        self.check(ITEM, lambda kv: kv.get('k'))

    def test_list(self):
        self.check(PAGE, lambda kv: kv.list_prefix(''))

    def test_watch(self):
        self.check(EVENTS, lambda kv: kv.watch('', 1, 0.0))

    def test_confirmation(self):
        self.check(SWAPPED, lambda kv: kv.transact([Condition('k', 7)]))

    # Guards against writes that were done and count as not done.
    def test_write_may_have_been_done(self):
        conditions, writes = [Condition('k', 7)], [Write('k', 'v')]
        self.check(SWAPPED, lambda kv: kv.transact(conditions, writes), writes=True)

    # Guards against leases that were granted and count as not granted.
    def test_lease_may_have_been_granted(self):
        self.check(LEASE, lambda kv: kv.grant(2.0), writes=True)


class EndlessStoreTest(unittest.TestCase):
    """A service whose answers have no end holds no call beyond its limit."""

    def list_pages(self, build_key, size=12, last=None):
        """Return the result of a listing, and the number of pages sent.

        :param build_key: returns the key of a page by its number.
        :param size: bytes of the value on each page.
        :param last: number of the last page, if there is one.
        """
        count = 0

        async def serve(stream):
            nonlocal count
            async with stream:
                while True:
                    try:
                        await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                    item = {'tls_key': build_key(count), 'value': 'A' * size}
                    item['revision'] = 7
                    page = {'items': [item], 'timestamp': 9, 'has_more': count != last}
                    count += 1
                    body = orjson.dumps(page)
                    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
                    await stream.send(head + body)

        async def run():
            local = {'local_host': '127.0.0.1', 'local_port': 0}
            listener = await anyio.create_tcp_listener(**local)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            kv = KeyValue(f'127.0.0.1:{port}', 5.0, 1_000_000.0, Metrics())
            result = None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with anyio.move_on_after(5.0):
                    result = await kv.list_prefix('k')
                tasks.cancel_scope.cancel()
            return result

        return anyio.run(run), count

    # Guards against a listing that asks for the same page for ever.
    def test_page_that_does_not_go_on_fails_the_listing(self):
        result, count = self.list_pages(lambda number: 'k')
        self.assertIsInstance(result, Unavailable)
        self.assertEqual(count, 2)

    # Guards against a listing that grows until the memory is full.
    def test_pages_without_end_fail_the_listing(self):
        with mock.patch.object(module, 'MAX_LIST_PAGES', 20):
            result, count = self.list_pages(lambda number: f'k{number:09}')
        self.assertIsInstance(result, Unavailable)
        self.assertEqual(count, 20)
        with mock.patch.object(module, 'MAX_LIST_BYTES', 10_000):
            result, count = self.list_pages(lambda number: f'k{number:09}', 4_000)
        self.assertIsInstance(result, Unavailable)
        self.assertLess(count, 10)

    def test_listing_of_many_pages_is_whole(self):
        result, count = self.list_pages(lambda number: f'k{number:09}', last=99)
        self.assertIsInstance(result, Events)
        self.assertEqual((len(result.entries), count), (100, 100))

    # Guards against a refused write that counts as done, as the body does not end.
    def test_refusal_counts_although_its_body_does_not_end(self):
        for status in (b'429', b'503'):
            for pace_s in (0.0, 0.02):
                with self.subTest(status=status, pace_s=pace_s):
                    self.check_refusal(status, pace_s)

    def check_refusal(self, status, pace_s):
        left = anyio.Event()

        async def serve(stream):
            async with stream:
                await stream.receive()
                length = b'Content-Length: 999999999'
                await stream.send(b'HTTP/1.1 %b No\r\n%b\r\n\r\n' % (status, length))
                try:
                    while True:
                        await stream.send(b'x' * (10 if pace_s else 65_536))
                        await anyio.sleep(pace_s)
                except anyio.BrokenResourceError:
                    left.set()

        async def run():
            local = {'local_host': '127.0.0.1', 'local_port': 0}
            listener = await anyio.create_tcp_listener(**local)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            kv = KeyValue(f'127.0.0.1:{port}', 5.0, 1_000.0, Metrics())
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with anyio.fail_after(3.0):
                    found = await kv.transact([Condition('k', 7)], [Write('k', 'v')])
                    await left.wait()
                tasks.cancel_scope.cancel()
            return found

        found = anyio.run(run)
        self.assertIsInstance(found, Unavailable)
        self.assertFalse(found.maybe_applied)

    # Guards against a watch that is held by bytes which are no answer, or for good.
    def test_watch_ends_in_time_and_the_next_one_succeeds(self):
        whole = b'HTTP/1.1 200 OK\r\n\r\n' + EVENTS
        noise = (
            b'',
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n',
        )

        async def run():
            left = []
            starts = itertools.chain(noise, itertools.repeat(whole))

            async def serve(stream):
                async with stream:
                    await stream.receive()
                    start = next(starts)
                    await stream.send(start)
                    if start is whole:
                        return
                    try:
                        while True:
                            await stream.send(b'x')
                            await anyio.sleep(0.02)
                    except anyio.BrokenResourceError:
                        left.append(start)

            local = {'local_host': '127.0.0.1', 'local_port': 0}
            listener = await anyio.create_tcp_listener(**local)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            kv = KeyValue(f'127.0.0.1:{port}', 0.2, 1_000.0, Metrics())
            with anyio.fail_after(10.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, serve)
                    for _ in noise:
                        found = await kv.watch('', 1, 0.1)
                        self.assertIsInstance(found, Unavailable)
                    self.assertIsInstance(await kv.watch('', 1, 0.1), Events)
                    while len(left) < len(noise):
                        await anyio.sleep(0)
                    tasks.cancel_scope.cancel()

        anyio.run(run)
