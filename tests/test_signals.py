"""Signals of a node: when they came, and that none has its default action."""

from __future__ import annotations

import os
import signal
import threading
import time
import unittest

import anyio

from coursepitch.clock import boottime
from coursepitch.http.event_loop import build_event_loop
from coursepitch.signals import MAX_WAITING, receive_signals

#: Seconds for which other work keeps the event loop busy.
BUSY_S = 0.3

#: Largest error in seconds, on a machine that has other work.
SLACK_S = 0.15

KINDS = (signal.SIGUSR1, signal.SIGUSR2)


def send(kind):
    """Send a signal to this process."""
    os.kill(os.getpid(), kind)


class SignalTest(unittest.TestCase):
    """Signals are received as streams, whose handlers outlast the event loop."""

    def setUp(self):
        for kind in KINDS:
            self.addCleanup(signal.signal, kind, signal.getsignal(kind))

    def play(self, scenario):
        """Run a scenario with a stream for each kind of signal; return its result."""

        async def run():
            with receive_signals(*((kind,) for kind in KINDS)) as streams:
                with anyio.fail_after(20.0):
                    return await scenario(*streams)

        options = {'loop_factory': lambda: build_event_loop(boottime)}
        return anyio.run(run, backend_options=options)

    def test_each_stream_gets_its_signals(self):
        async def scenario(first, second):
            send(signal.SIGUSR2)
            send(signal.SIGUSR1)
            return [(await anext(item)).number for item in (first, second)]

        self.assertEqual(self.play(scenario), list(KINDS))

    # Guards against an event loop that sleeps on as another thread gets the signal.
    def test_signal_to_another_thread_wakes_the_event_loop(self):
        async def scenario(first, second):
            target = threading.Event()
            thread = threading.Thread(target=target.wait)
            thread.start()
            signal.pthread_kill(thread.ident, signal.SIGUSR1)
            found = await anext(first)
            target.set()
            thread.join()
            return found.number

        self.assertEqual(self.play(scenario), signal.SIGUSR1)

    # Guards against a grace period that is counted from when a busy node goes on.
    def test_signal_tells_when_it_may_have_come(self):
        async def scenario(first, second):
            await anyio.sleep(0.01)
            sent_at = boottime()
            send(signal.SIGUSR1)
            until = time.monotonic() + BUSY_S
            while time.monotonic() < until:
                pass
            found = await anext(first)
            return found.came_at - sent_at, boottime() - sent_at

        came_s, read_s = self.play(scenario)
        self.assertGreaterEqual(read_s, BUSY_S)
        self.assertLess(abs(came_s), SLACK_S)

    # Guards against a signal that ends the process once nobody receives it.
    def test_signals_are_ignored_after_the_end(self):
        async def scenario(first, second):
            send(signal.SIGUSR1)
            await anext(first)

        self.play(scenario)
        for kind in KINDS:
            self.assertEqual(signal.getsignal(kind), signal.SIG_IGN)
            send(kind)

    def test_more_signals_than_wait_are_dropped(self):
        async def scenario(first, second):
            for _ in range(2 * MAX_WAITING):
                send(signal.SIGUSR1)
                await anyio.sleep(0)
            await anyio.sleep(0.05)
            return first.statistics().current_buffer_used

        self.assertLessEqual(self.play(scenario), MAX_WAITING)


if __name__ == '__main__':
    unittest.main()
