"""The stand-in of instances: what reaches them while they start or join a group."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

import anyio

from standins.replica import Host, Instance, control


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


class JoiningInstanceTest(unittest.TestCase):
    """Orders that meet an instance that joins a group."""

    # Guards against a stand-in whose process ends as a join overlaps with a leave.
    def test_instance_that_leaves_a_group_while_it_joins_loads_nothing(self):
        join = {'operation': 'join', 'group': 'g1', 'epoch': 1, 'model': 'm'}
        leave = {'operation': 'leave', 'group': 'g1', 'epoch': 1}

        async def join_and_leave():
            async with anyio.create_task_group() as tasks:
                options = SimpleNamespace(domain=[], seed='1', store='127.0.0.1:1')
                host = Host(options, tasks)
                instance = Instance('pool', 'd0', options.store, 'a', engine=True)
                published = []

                async def publish(item):
                    published.append(item.group)
                    if len(published) == 1:
                        await host.take_order(instance, leave)

                host.publish = publish
                members = [instance.name]
                await host.take_order(instance, {**join, 'members': members})
            return instance

        instance = anyio.run(join_and_leave)
        self.assertEqual((instance.group, instance.model), (None, ''))
