"""Leases: leadership is never taken from another node, and nodes are listed again."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from coursepitch.fleet import leases
from coursepitch.fleet.leases import (
    LEAD_LEASE_S,
    MAX_CAMPAIGN_DELAY_S,
    RESIGN_PAUSE_S,
    NodeLeases,
)
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.view import LEADER_KEY, NODE_PREFIX, FleetView
from coursepitch.platform.kv import (
    Condition,
    Conflict,
    Entry,
    Events,
    Swapped,
    Unavailable,
)


class FakeStore:
    """Holds one key; ``on_grant`` is called while a lease is granted."""

    def __init__(self):
        self.revision = 10
        self.leader = Entry(LEADER_KEY)
        self.on_grant = lambda: None
        self.conditions = []

    async def grant(self, ttl_s):
        self.on_grant()
        return '7'

    async def renew(self, lease):
        return True

    async def transact(self, conditions, writes=()):
        self.conditions += conditions
        held = {LEADER_KEY: self.leader.revision}
        if any(held.get(item.key, 0) != item.revision for item in conditions):
            return Conflict(self.leader, (self.leader,))
        self.write(writes[0].value)
        return Swapped(self.revision)

    def write(self, name):
        """Make a node the leader."""
        self.revision += 1
        self.leader = Entry(LEADER_KEY, name, self.revision)
        return self.leader


class LeadershipTest(unittest.TestCase):
    """Campaigns of one node for leadership."""

    def setUp(self):
        self.now = 100.0
        self.store = FakeStore()
        self.view = FleetView(lambda: self.now)
        self.leases = NodeLeases(
            'n1', self.store, self.view, lambda: None, lambda: self.now
        )
        anyio.run(self.leases._node_lease.grant)

    def campaign(self):
        anyio.run(self.leases._campaign)

    def test_vacant_leadership_is_taken(self):
        self.campaign()
        self.assertTrue(self.leases.is_leader())
        self.assertEqual(self.store.conditions, [Condition(LEADER_KEY, 0)])

    def test_leadership_ends_with_the_local_estimate_of_the_lease(self):
        self.campaign()
        self.now += LEAD_LEASE_S
        self.assertFalse(self.leases.is_leader())

    def test_leader_elected_during_the_grant_is_kept(self):
        def take():
            self.view.apply_entry(self.store.write('n2'))

        self.store.on_grant = take
        self.campaign()
        self.assertFalse(self.leases.is_leader())
        self.assertEqual(self.store.leader.value, 'n2')

    def test_leader_unknown_to_the_node_is_kept(self):
        self.store.write('n2')
        self.campaign()
        self.assertFalse(self.leases.is_leader())
        self.assertEqual(self.view.leader, 'n2')

    def test_leadership_of_an_earlier_incarnation_is_taken_over(self):
        self.view.apply_entry(self.store.write('n1'))
        self.assertFalse(self.leases.is_leader())
        self.campaign()
        self.assertTrue(self.leases.is_leader())

    def test_older_entry_of_the_leader_is_ignored(self):
        self.campaign()
        self.view.apply_entry(Entry(LEADER_KEY, deleted_at=5))
        self.assertTrue(self.leases.is_leader())
        self.view.apply_entry(Entry(LEADER_KEY, deleted_at=self.store.revision + 1))
        self.assertFalse(self.leases.is_leader())


class ResignationTest(unittest.TestCase):
    """A leader that reaches no instance gives the lead to a node that does."""

    def setUp(self):
        self.now = 100.0
        self.resigned = 0
        self.store = FakeStore()
        self.view = FleetView(lambda: self.now)
        self.leases = NodeLeases(
            'n1', self.store, self.view, lambda: None, lambda: self.now
        )
        anyio.run(self.leases._node_lease.grant)
        anyio.run(self.leases._campaign)

    def test_leader_ends_its_lease(self):
        self.leases.should_resign = lambda: True
        with mock.patch.object(self.leases._leader_lease, 'end') as end:
            anyio.run(self.leases._renew_lead)
        end.assert_awaited_once()
        self.assertFalse(self.leases.is_leader())
        self.assertEqual(self.view.leader, '')

    def test_leader_that_nobody_replaced_does_not_resign_again_soon(self):
        self.leases.should_resign = lambda: True
        for expected in (1, 1, 2):
            with mock.patch.object(self.leases, '_resign') as resign:
                anyio.run(self.leases._renew_lead)
            self.resigned += resign.await_count
            self.assertEqual(self.resigned, expected)
            self.now += RESIGN_PAUSE_S / 2

    def test_impaired_node_campaigns_after_the_others(self):
        delays = {}
        self.view.leader = ''
        for impaired in (False, True):
            self.leases.is_impaired = lambda value=impaired: value
            with mock.patch.object(anyio, 'sleep') as sleep:
                anyio.run(self.leases._campaign)
            delays[impaired] = sleep.await_args_list[0].args[0]
            self.view.leader = ''
        self.assertGreater(delays[True], MAX_CAMPAIGN_DELAY_S)
        self.assertLessEqual(delays[False], MAX_CAMPAIGN_DELAY_S)


class FirstCampaignTest(unittest.TestCase):
    """A starting node campaigns only once it knows whether there is a leader."""

    def setUp(self):
        self.store = FakeStore()
        self.calls = []
        self.store.on_grant = lambda: self.calls.append('grant')
        self.view = FleetView(lambda: 100.0)
        self.node = NodeLeases('n1', self.store, self.view, lambda: None, lambda: 100.0)
        anyio.run(self.node._node_lease.grant)
        self.calls.clear()

    def run_checks(self, count):
        """Run ``keep_leading`` until it has checked for a vacancy several times."""

        async def run():
            checked = []
            async with anyio.create_task_group() as tasks:

                async def wait(limit_s):
                    checked.append(limit_s)
                    if len(checked) == count:
                        tasks.cancel_scope.cancel()
                    await anyio.lowlevel.checkpoint()

                self.node.wait_changed = wait
                with anyio.fail_after(5):
                    await self.node.keep_leading()

        anyio.run(run)

    def test_no_calls_before_the_first_listing(self):
        self.run_checks(3)
        self.assertEqual(self.calls, [])

    def test_no_calls_when_the_listing_shows_a_leader(self):
        self.view.apply(Events((self.store.write('n2'),), 11, complete=True))
        self.run_checks(3)
        self.assertEqual(self.calls, [])


class ListingTest(unittest.TestCase):
    """A node is listed again as soon as the store permits."""

    def setUp(self):
        # A pause longer than the test, so that only a wake-up can end it.
        for name in ('RETRY_S', 'NODE_RENEW_S'):
            patch = mock.patch.object(leases, name, 3600.0)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = FakeStore()
        self.store.on_grant = lambda: self.calls.append('grant')
        self.calls = []
        self.view = FleetView(lambda: 100.0)

    def keep_until_listed(self, prepare):
        """Run ``keep_listed`` until the node is listed; fail after a timeout.

        :param prepare: called with the leases and the task group before that.
        """

        async def run():
            listed = anyio.Event()
            node = NodeLeases('n1', self.store, self.view, listed.set, lambda: 100.0)
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    prepare(node, tasks)
                    tasks.start_soon(node.keep_listed)
                    await listed.wait()
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_expired_lease_is_replaced_without_a_pause(self):
        async def refuse(lease):
            self.calls.append('renew')
            return False

        def prepare(node, tasks):
            node._node_lease.name = '5'
            self.store.renew = refuse

        self.keep_until_listed(prepare)
        self.assertEqual(self.calls, ['renew', 'grant'])

    def test_node_retries_once_the_store_is_back(self):
        grant = self.store.grant

        async def fail(ttl_s):
            self.calls.append('failed')
            return Unavailable('no answer in time')

        def prepare(node, tasks):
            async def come_back():
                while 'failed' not in self.calls:
                    await anyio.lowlevel.checkpoint()
                await anyio.wait_all_tasks_blocked()
                self.store.grant = grant
                node.note_store_back()

            self.store.grant = fail
            tasks.start_soon(come_back)

        self.keep_until_listed(prepare)
        self.assertEqual(self.calls, ['failed', 'grant'])


if __name__ == '__main__':
    unittest.main()


class LateWriteTest(unittest.TestCase):
    """A write without an answer does not take a node off the list for good.

    Guards against nodes that divide the retry budget by too few, as entries of their
    peers hang on leases that these have given up.
    """

    def setUp(self):
        self.now, self.revision = 100.0, 10
        self.answers = True
        self.leases = []
        self.ended = []
        self.writes = []
        self.view = FleetView(lambda: self.now)
        self.node = NodeLeases('n1', self, self.view, lambda: None, lambda: self.now)
        self.node.place = NodeLocation('10.0.0.1:7340', 'a')

    # -- the store ----------------------------------------------------------------

    async def grant(self, ttl_s):
        self.leases.append(f'{len(self.leases) + 1}')
        return self.leases[-1]

    async def renew(self, lease):
        return lease not in self.ended

    async def revoke(self, lease):
        self.ended.append(lease)

    async def transact(self, conditions, writes=()):
        if not self.answers:
            return Unavailable('no answer in time', maybe_applied=True)
        self.writes += writes
        self.revision += 1
        return Swapped(self.revision)

    # -- tests --------------------------------------------------------------------

    def keep(self):
        return anyio.run(self.node.renew_listing)

    def apply_writes(self):
        """Let the view receive the newest entry."""
        entry = Entry(NODE_PREFIX + 'n1', self.writes[-1].value, self.revision)
        self.view.apply(Events((entry,), self.revision))

    def test_lease_of_a_write_without_an_answer_is_ended(self):
        self.answers = False
        self.assertFalse(self.keep())
        self.answers = True
        self.assertTrue(self.keep())
        self.assertEqual(self.ended, ['1'])
        self.assertEqual(self.writes[-1].lease, '2')

    def test_entry_that_goes_is_written_again(self):
        self.assertTrue(self.keep())
        self.apply_writes()
        self.revision += 1
        gone = Entry(NODE_PREFIX + 'n1', deleted_at=self.revision)
        self.view.apply(Events((gone,), self.revision))
        self.assertTrue(self.keep())
        self.assertEqual([write.lease for write in self.writes], ['1', '1'])
        self.apply_writes()
        self.assertTrue(self.keep())
        self.assertEqual(len(self.writes), 2)

    def test_entry_that_is_yet_to_arrive_is_not_written_again(self):
        self.assertTrue(self.keep())
        self.assertTrue(self.keep())
        self.assertEqual(len(self.writes), 1)
