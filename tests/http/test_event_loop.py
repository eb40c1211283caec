"""Time for which requests wait until a busy event loop reads them."""

from __future__ import annotations

import socket
import threading
import time
import unittest

import anyio

from coursepitch.clock import boottime
from coursepitch.http import ConnectionRules, HttpServer
from coursepitch.http.event_loop import build_event_loop
from coursepitch.listeners import listen

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'

#: Seconds for which other work keeps the event loop busy.
BUSY_S = 0.3

#: Largest error in seconds, on a machine that has other work.
SLACK_S = 0.15


def keep_busy():
    """Keep the thread busy, as one long turn of a task does."""
    until = time.monotonic() + BUSY_S
    while time.monotonic() < until:
        pass


class WaitedTest(unittest.TestCase):
    """A request tells for how long it may have waited to be read."""

    def play(self, scenario):
        """Run a scenario with a connected client; return the requests read."""
        self.requests = []

        async def handle(request, reply):
            self.requests.append(request)
            await reply.send_whole(200, (), b'')

        async def run():
            sock = listen('127.0.0.1', 0)
            self.place = sock.getsockname()
            server = HttpServer(handle, ConnectionRules, boottime)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run, sock)
                with anyio.fail_after(20.0):
                    await scenario()
                tasks.cancel_scope.cancel()

        options = {'loop_factory': lambda: build_event_loop(boottime)}
        anyio.run(run, backend_options=options)
        return [request.waited_s for request in self.requests]

    async def wait_for(self, count):
        while len(self.requests) < count:
            await anyio.sleep(0.01)

    # Guards against requests that are kept for longer than their clients wait.
    def test_request_that_comes_while_the_loop_is_busy(self):
        async def scenario():
            with socket.create_connection(self.place) as client:
                client.sendall(REQUEST)
                await self.wait_for(1)
                client.sendall(REQUEST)
                keep_busy()
                await self.wait_for(2)

        first, second = self.play(scenario)
        self.assertLess(first, SLACK_S)
        self.assertGreater(second, BUSY_S - SLACK_S)
        self.assertLess(second, BUSY_S + SLACK_S)

    def test_connection_that_comes_while_the_loop_is_busy(self):
        async def scenario():
            # The listener is looked at before.
            await anyio.sleep(0.01)
            with socket.create_connection(self.place) as client:
                client.sendall(REQUEST)
                keep_busy()
                await self.wait_for(1)

        (waited_s,) = self.play(scenario)
        self.assertGreater(waited_s, BUSY_S - SLACK_S)
        self.assertLess(waited_s, BUSY_S + SLACK_S)

    def test_connection_that_waits_for_several_busy_turns(self):
        async def scenario():
            with socket.create_connection(self.place) as client:
                client.sendall(REQUEST)
                for _ in range(3):
                    keep_busy()
                    await anyio.sleep(0)
                await self.wait_for(1)

        (waited_s,) = self.play(scenario)
        self.assertGreater(waited_s, BUSY_S - SLACK_S)

    def test_idle_loop_counts_no_time(self):
        async def scenario():
            sent = threading.Event()

            def send():
                with socket.create_connection(self.place) as client:
                    client.sendall(REQUEST)
                    sent.wait(20.0)

            thread = threading.Thread(target=send)
            await anyio.sleep(BUSY_S)
            thread.start()
            await self.wait_for(1)
            sent.set()
            thread.join()

        (waited_s,) = self.play(scenario)
        self.assertLess(waited_s, SLACK_S)

    def test_loop_of_another_kind_counts_no_time(self):
        async def handle(request, reply):
            self.requests.append(request)
            await reply.send_whole(200, (), b'')

        async def run():
            sock = listen('127.0.0.1', 0)
            server = HttpServer(handle, ConnectionRules, boottime)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run, sock)
                with (
                    anyio.fail_after(20.0),
                    socket.create_connection(sock.getsockname()) as client,
                ):
                    client.sendall(REQUEST)
                    keep_busy()
                    await self.wait_for(1)
                tasks.cancel_scope.cancel()

        self.requests = []
        anyio.run(run)
        self.assertEqual(self.requests[0].waited_s, 0.0)
