"""Groups with a member that is proven gone, among groups that are only silent."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.fleet.control import Probe
from coursepitch.gateway.streams import WAIT_OBJECTIVE_SHARE
from tests.gateway.test_decisions import FakeControl, reporting
from tests.gateway.waiting_node import OBJECTIVE_S, WaitingNode, run, settle


class ProvenLossTest(unittest.TestCase):
    """No request goes to a group with a member that is proven gone."""

    def setUp(self):
        self.node = WaitingNode(groups=2)

    def report(self, name, *, ended=False):
        self.node.view.note_reported_lost(name, ended=ended)

    def list_choices(self, **options):
        """Return the heads that may be chosen in turn."""
        found = []
        while True:
            group = self.node.router.choose_group(
                self.node.engine_service, 'small', found, 99, **options
            )
            if group is None:
                return sorted(found)
            found.append(group.head.name)

    # Guards against requests that wait for a group whose member has ended.
    def test_group_is_not_chosen_while_others_are_only_silent(self):
        self.report('m0', ended=True)
        self.report('h1')
        self.assertEqual(self.list_choices(has_failed=True), ['h1'])

    def test_silent_groups_are_chosen_while_none_is_proven_gone(self):
        self.report('m0')
        self.report('h1')
        self.assertEqual(self.list_choices(has_failed=True), ['h0', 'h1'])

    # Guards against requests that hold a silent head until their deadline though all
    # groups are known to be gone.
    def test_request_is_refused_as_without_groups_if_all_are_proven_gone(self):
        self.report('m0', ended=True)
        self.report('h1', ended=True)
        self.assertEqual(self.list_choices(has_failed=True), [])
        job = self.node.build_job()

        async def scenario(tasks):
            tasks.start_soon(self.node.ask, job)
            await settle()
            self.node.now += OBJECTIVE_S * WAIT_OBJECTIVE_SHARE
            self.node.admission.check()
            await settle()

        run(scenario)
        self.assertEqual((self.node.got, self.node.denied), ([], ['r']))
        self.assertEqual(job.last_reason, 'no group is open')

    # Guards against an instance that answers and gets nothing for an earlier proof.
    def test_group_is_chosen_again_once_its_member_answers(self):
        self.report('m0', ended=True)
        self.report('h1')
        self.node.view.note_answering('m0')
        self.assertEqual(self.list_choices(), ['h0'])


class ProvenByProbeTest(unittest.TestCase):
    """What a probe of this node proves of a member."""

    def probe(self, found):
        """Return the reports after a probe, and whether a member has ended."""
        node = WaitingNode()
        (group,) = node.view.list_open('pool', 'small')
        reported = []

        async def report(name, *, ended=False):
            reported.append((name, ended))

        async def main():
            control = FakeControl(silent=('m0',), found=found)
            control.go.set()
            node.session.losses = type('Losses', (), {'report': staticmethod(report)})
            watchdog = node.streams._watchdog
            watchdog._control = control
            async with reporting(watchdog):
                await watchdog.check_members(group)
            return watchdog.has_ended_member(group)

        return reported, anyio.run(main)

    # Guards against a proof that only the node knows which found it.
    def test_refused_or_replaced_member_is_reported_as_ended(self):
        for found in (Probe.REFUSED, Probe.REPLACED):
            with self.subTest(found):
                self.assertEqual(self.probe(found), ([('m0', True)], True))

    def test_silent_member_is_not_proven_to_have_ended(self):
        for found in (Probe.SILENT, Probe.BROKEN):
            with self.subTest(found):
                self.assertEqual(self.probe(found), ([('m0', False)], False))


if __name__ == '__main__':
    unittest.main()
