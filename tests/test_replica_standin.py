"""The stand-in of instances while one of them starts."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

import anyio

from standins.replica import Instance, control


class StartingInstanceTest(unittest.TestCase):
    """Calls of a test that meet an instance that does not listen yet."""

    # Guards against a stand-in whose process ends as paths are cut while one starts.
    def test_cut_of_paths_concerns_an_instance_once_it_listens(self):
        async def cut():
            starting = Instance('pool', 'd0', '127.0.0.1:1', 'a', engine=True)
            host = SimpleNamespace(instances={starting.name: starting}, cuts={})
            body = json.dumps({'nodes': ['n1'], 'mode': 'hang'}).encode()
            await control(host, '/cut', body)
            return host.cuts

        self.assertEqual(anyio.run(cut), {'n1': 'hang'})
