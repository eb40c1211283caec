"""Answers of the key-value service that break off."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.metrics import Metrics
from coursepitch.platform.kv import Condition, KeyValue, Unavailable, Write

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
