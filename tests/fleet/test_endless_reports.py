"""Probes of, and orders to, instances that answer with bytes without end."""

from __future__ import annotations

import contextlib
import time
import unittest

import anyio

from coursepitch.fleet.control import (
    CONFIRM_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    ORDER_TIMEOUT_S,
    PROBE_STAGGER_S,
    PROBE_TIMEOUT_S,
    InstanceControl,
    Probe,
    ProcessState,
)
from coursepitch.fleet.orders import Order, OrderKind, OrderResult
from tests.fleet.builders import build_instance

#: Timeout in seconds for any expected condition.
WAIT_S = 20.0

#: Seconds that a busy machine may add.
SLACK_S = 0.5

OK = b'HTTP/1.1 200 OK\r\n'
SOUND = OK + b'Content-Length: 2\r\n\r\n{}'

#: First bytes, and those that go on without end, by kind.
KINDS = {
    'status line': (b'', b'x'),
    'header lines': (OK, b'a: b\r\n'),
    'header value': (OK + b'a: ', b'x'),
    'length': (OK + b'Content-Length: 999999999\r\n\r\n', b'x'),
    'no length': (OK + b'\r\n', b'x'),
    'extension': (OK + b'Transfer-Encoding: chunked\r\n\r\n1;', b'x'),
    'trailers': (OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n', b'a: b\r\n'),
}


class EndlessReportTest(unittest.TestCase):
    """An instance whose report has no end is as a silent one, and trusted after it."""

    def play(self, scenario, start, unit, pace_s):
        """Run a scenario with the control, and an instance that sends without end.

        :param start: first bytes of each answer.
        :param unit: bytes that follow again and again.
        :param pace_s: seconds between them; 0 for 64 KiB at a time.
        """
        self.is_sound = False
        self.under_way = 0
        self.most_bytes = 0

        async def serve(stream):
            async with stream:
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    while True:
                        await stream.receive()
                        if not self.is_sound:
                            break
                        await stream.send(SOUND)
                    self.under_way += 1
                    try:
                        await self.send_without_end(stream, start, unit, pace_s)
                    finally:
                        self.under_way -= 1

        async def run():
            local = {'local_host': '127.0.0.1', 'local_port': 0}
            listener = await anyio.create_tcp_listener(**local)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            instance = build_instance('i0', address=f'127.0.0.1:{port}')
            control = InstanceControl(time.monotonic)
            with anyio.fail_after(WAIT_S):
                async with listener, anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, serve)
                    await scenario(control, instance)
                    while self.under_way:
                        await anyio.sleep(0.01)
                    self.is_sound = True
                    self.assertIs(await control.probe(instance), Probe.ANSWERS)
                    control.close()
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    async def send_without_end(self, stream, start, unit, pace_s):
        sent = 0
        await stream.send(start)
        data = unit if pace_s else unit * (65_536 // len(unit))
        while True:
            await stream.send(data)
            sent += len(data)
            self.most_bytes = max(self.most_bytes, sent)
            await anyio.sleep(pace_s)

    def play_all(self, scenario):
        for kind, (start, unit) in KINDS.items():
            for pace_s in (0.0, 0.02):
                with self.subTest(kind=kind, pace_s=pace_s):
                    self.play(scenario, start, unit, pace_s)
                    # The kernel's buffers take some megabytes more.
                    self.assertLess(self.most_bytes, MAX_ANSWER_BYTES + 16_777_216)

    # Guards against a probe that a report without end holds, or that trusts its head.
    def test_probe_ends_in_time_and_finds_silence(self):
        limit_s = PROBE_TIMEOUT_S + PROBE_STAGGER_S + SLACK_S

        async def scenario(control, instance):
            began_at = time.monotonic()
            self.assertIs(await control.probe(instance), Probe.SILENT)
            self.assertLess(time.monotonic() - began_at, limit_s)

        self.play_all(scenario)

    # Guards against a flood that counts as the end of a process.
    def test_flood_proves_no_end(self):
        async def scenario(control, instance):
            began_at = time.monotonic()
            self.assertIs(await control.find_state(instance), ProcessState.UNKNOWN)
            took_s = time.monotonic() - began_at
            self.assertLess(took_s, CONFIRM_TIMEOUT_S + SLACK_S)

        self.play_all(scenario)

    # Guards against an order that is held, or that counts as taken.
    def test_order_ends_in_time_and_its_result_is_unknown(self):
        async def scenario(control, instance):
            order = Order(OrderKind.JOIN, instance.name, instance.address)
            began_at = time.monotonic()
            self.assertIs(await control.send(order), OrderResult.UNKNOWN)
            self.assertLess(time.monotonic() - began_at, ORDER_TIMEOUT_S + SLACK_S)

        self.play_all(scenario)


if __name__ == '__main__':
    unittest.main()
