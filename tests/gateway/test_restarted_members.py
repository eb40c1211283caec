"""Proofs of ended instances, and later incarnations under the same names."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace

import anyio

from coursepitch.fleet.control import Probe
from coursepitch.fleet.lost import IGNORE_REPORTS_S, REPORT_VALID_S, LossReporter
from coursepitch.fleet.messages import LostReport
from coursepitch.platform.fleet import INSTANCE_PREFIX
from coursepitch.platform.kv import Entry, Unavailable
from tests.fleet.builders import SERVICE
from tests.gateway.test_decisions import FakeControl, reporting
from tests.gateway.waiting_node import WaitingNode


class DownStore:
    """A store that does not answer."""

    async def transact(self, conditions, writes=()):
        return Unavailable('down')


def build_entry(name, born, revision):
    """Return the entry of an idle instance at a port of its own incarnation."""
    data = {
        'service': SERVICE,
        'address': f'127.0.0.1:{born}',
        'state': 'ready',
        'slots': 13,
        'born': born,
    }
    return Entry(INSTANCE_PREFIX + name, json.dumps(data), revision)


class RestartedMemberTest(unittest.TestCase):
    """An instance that restarted under its name is not proven to have ended."""

    def setUp(self):
        self.node = WaitingNode()
        view = self.view = self.node.view
        for name in ('h0', 'm0'):
            view.instances[name] = replace(view.instances[name], born=2000)
        view.version += 1
        (self.group,) = view.list_open('pool', 'small')
        self.told = []
        self.losses = LossReporter('n', DownStore(), view, self.node.session.wake)
        self.losses.tell = lambda message, node: self.told.append(message)
        self.node.session.losses = self.losses

    def restart(self):
        """List a later incarnation of the member, and wait until reports count."""
        self.view.apply_entry(build_entry('m0', 3000, 20))
        self.assertEqual(self.view.instances['m0'].born, 3000)
        self.node.now += 2 * IGNORE_REPORTS_S

    # Guards against a sound instance that counts as gone, as a run at the group of its
    # earlier incarnation asked at that one's address.
    def test_refusal_at_the_earlier_address_tells_nothing_of_the_later_one(self):
        self.restart()

        async def main():
            control = FakeControl(silent=('m0',), found=Probe.REFUSED)
            control.go.set()
            watchdog = self.node.streams._watchdog
            watchdog._control = control
            async with reporting(watchdog):
                await watchdog.check_members(self.group)

        anyio.run(main)
        self.assertFalse(self.view.lost.has_ended('m0'), self.told)

    # Guards against the same by the report of a node that stood still.
    def test_late_report_tells_nothing_of_the_later_incarnation(self):
        self.restart()
        self.losses.take(LostReport('n2', ('m0',), (), ('m0',)))
        self.assertFalse(self.view.lost.has_ended('m0'))

    # Guards against proofs that no longer count at other nodes.
    def test_report_of_the_listed_incarnation_proves_its_end(self):
        self.losses.is_watching = lambda: True
        self.losses.take(LostReport('n2', ('m0',), (), ('m0',), (('m0', 2000),)))
        self.assertTrue(self.view.lost.has_ended('m0'))
        (told,) = self.told
        self.assertEqual(told.births, (('m0', 2000),))

    # Guards against a proof that outlasts the entry of the instance.
    def test_proof_ends_with_the_entry_of_the_instance(self):
        for stored, later_s in ((False, 1.5), (True, 1.5), (True, 10.0)):
            with self.subTest(stored=stored, later_s=later_s):
                self.setUp()
                self.view.note_reported_lost('m0', ended=True)
                if stored:
                    self.view.note_stored_lost('m0')
                self.view._remove_instance('m0')
                self.node.now += later_s
                self.view.sweep()
                self.view.apply_entry(build_entry('m0', 3000, 20))
                self.assertFalse(self.view.lost.has_ended('m0'))

    # Guards against groups that stay left out, as the word that clears a proof changes
    # nothing that is cached, and is not passed on.
    def test_word_that_clears_a_proof_is_news(self):
        self.view.note_reported_lost('m0', ended=True)
        self.view.note_stored_lost('m0')
        self.node.now += 2 * REPORT_VALID_S
        self.view.sweep()
        self.assertEqual(self.view.list_suspected('pool', 'small'), [])
        self.assertTrue(self.view.lost.has_ended('m0'))
        self.losses.is_watching = lambda: True
        self.losses.take(LostReport('n2', (), ('m0',)))
        self.assertFalse(self.view.lost.has_ended('m0'))
        self.assertEqual(len(self.view.list_suspected('pool', 'small')), 1)
        self.assertEqual(len(self.told), 1)


class MemoryTest(unittest.TestCase):
    """What a node keeps of groups is bounded."""

    # Guards against memory that grows with each group that ever fell silent.
    def test_nothing_is_kept_of_groups_that_are_gone(self):
        node = WaitingNode()
        (group,) = node.view.list_open('pool', 'small')

        async def main():
            control = FakeControl()
            control.go.set()
            watchdog = node.streams._watchdog
            watchdog._control = control
            node.session.losses = LossReporter(
                'n', DownStore(), node.view, node.session.wake
            )
            for epoch in range(6, 206):
                control.silent = (f'm{epoch}',)
                head = replace(group.head, name=f'h{epoch}')
                member = replace(group.members[1], name=f'm{epoch}')
                claim = replace(group.claim, epoch=epoch)
                old = replace(group, claim=claim, members=(head, member))
                watchdog.note_activity(head.name)
                await watchdog.check_members(old)
                node.now += 60.0
            return watchdog

        watchdog = anyio.run(main)
        for name in ('_unsure', '_avoided', '_cached_results', '_last_activity'):
            with self.subTest(name):
                self.assertLess(len(getattr(watchdog, name)), 20)


if __name__ == '__main__':
    unittest.main()
