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

from coursepitch.application import NodeApplication


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
            os.kill(os.getpid(), signal.SIGTERM)

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
        with mock.patch.object(signal, 'SIGTERM', signal.SIGUSR1):
            before = signal.signal(signal.SIGUSR1, signal.SIG_IGN)
            try:
                code = anyio.run(node.run, lambda ports: None)
            finally:
                signal.signal(signal.SIGUSR1, before)
        self.assertEqual(code, 0)
        self.assertTrue(node.closed)
        self.assertFalse(node.used_closed)


if __name__ == '__main__':
    unittest.main()
