"""The end of a node: its tasks are over before what they use is closed.

Users of the demo saw a node end with code 1 at a planned stop, some sessions in a
hundred and only beside other work: a check of an instance that was due just then met a
client that had been closed, and the fault ended the node.
"""

from __future__ import annotations

import os
import signal
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from coursepitch import application
from coursepitch.application import NodeApplication
from coursepitch.serving.outcomes import RefusedError
from tests.serving.test_planned_end import OpenGate


class StoppingNode(NodeApplication):
    """A node whose only task notes whether its clients are open."""

    def __init__(self):
        listening = SimpleNamespace(address='127.0.0.1', port=0, key_hashes=('x',))
        self.settings = SimpleNamespace(
            node=listening, entry=listening, admin=listening, peers=listening
        )
        self.gate = SimpleNamespace(end_requests=lambda: None)
        self.closed = False
        self.used_closed = False

    def _build_registrar(self, ports):
        async def leave():
            await anyio.lowlevel.checkpoint()

        return SimpleNamespace(run=anyio.sleep_forever, leave=leave)

    def _list_servers(self, sockets, stop):
        return []

    def _list_tasks(self, peers):
        async def use_clients():
            while True:
                await anyio.lowlevel.checkpoint()
                self.used_closed = self.used_closed or self.closed

        async def end():
            os.kill(os.getpid(), signal.SIGUSR1)

        return [use_clients, end]

    async def _drain(self, signals):
        return ()

    async def _close(self):
        self.closed = True
        for _ in range(10):
            await anyio.lowlevel.checkpoint()


class EndTest(unittest.TestCase):
    """A planned stop of a node that is busy with its own work."""

    def test_no_task_meets_closed_clients(self):
        node = StoppingNode()
        # A signal that comes before the node waits for it ends nothing here.
        kinds = (signal.SIGUSR1, signal.SIGUSR2)
        before = {kind: signal.signal(kind, signal.SIG_IGN) for kind in kinds}
        try:
            with mock.patch.object(application, 'STOP_SIGNALS', kinds):
                code = anyio.run(node.run, lambda ports: None)
            after = [signal.getsignal(kind) for kind in kinds]
        finally:
            for kind, handler in before.items():
                signal.signal(kind, handler)
        self.assertEqual(code, 0)
        self.assertEqual(after, [signal.SIG_IGN] * 2)
        self.assertTrue(node.closed)
        self.assertFalse(node.used_closed)


class DrainingNode(NodeApplication):
    """A node with a gate only, whose balancer notice lasts longer than any test.

    :param limit_s: longest planned stop in seconds; 0 for none.
    """

    def __init__(self, limit_s):
        node = SimpleNamespace(drain_limit_s=limit_s, drain_notice_s=3600.0)
        self.settings = SimpleNamespace(node=node)
        self.gate = OpenGate()
        self.duties = SimpleNamespace(stop_acquiring=lambda: None)
        self.session = SimpleNamespace(revoke_lease=anyio.lowlevel.checkpoint)


async def send_second_signal():
    """Yield the signal that ends the wait of a planned stop."""
    yield signal.SIGTERM


async def send_no_signal():
    """Yield no further signal."""
    await anyio.sleep_forever()
    yield signal.SIGTERM


class DrainTest(unittest.TestCase):
    """Requests after a wait that ended within the notice to the balancer.

    They were let in after those under way had been ended, so nothing ended them, and
    the servers closed their connections without a response.
    """

    def check_refusal(self, limit_s, signals):
        """Check that a request is refused once the wait is over."""

        async def main():
            node = DrainingNode(limit_s)
            scope = node.gate.begin_request('before')
            with anyio.fail_after(5):
                cut = await node._drain(signals)
            node.gate.end_requests()
            self.assertEqual(cut, ('before',))
            self.assertTrue(scope.cancel_called)
            with self.assertRaises(RefusedError):
                node.gate.begin_request('after')
            self.assertEqual(node.gate.in_flight, ('before',))

        anyio.run(main)

    def test_request_after_a_second_signal_is_refused(self):
        self.check_refusal(0.0, send_second_signal())

    def test_request_after_a_limit_below_the_notice_is_refused(self):
        self.check_refusal(0.01, send_no_signal())


if __name__ == '__main__':
    unittest.main()
