"""The fleet session: freshness, startup, outages and watches, with a fake store."""

from __future__ import annotations

import json
import time
import unittest
from unittest import mock

import anyio

from coursepitch.fleet.cold import MAX_CONFIRMATION_AGE_S
from coursepitch.fleet.contact import GAP_S
from coursepitch.fleet.freshness import OUTAGE_EVIDENCE_S, Freshness
from coursepitch.fleet.messages import Heartbeat, TableReply
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.fleet.session import (
    CONFIRM_RETRY_S,
    MAX_RETRY_S,
    MAX_START_S,
    FleetSession,
)
from coursepitch.platform.fleet import INSTANCE_PREFIX
from coursepitch.platform.kv import Conflict, Entry, Events, Swapped, Unavailable
from tests.whole.platform_base import build_configuration

BOUND_S = 4.25


class FakeStore:
    """Returns a preset answer to transactions, each after ``delay_s``."""

    def __init__(self):
        self.now = 100.0
        self.delay_s = 0.0
        self.answer = None
        self.calls = []

    def clock(self):
        return self.now

    async def transact(self, conditions, writes=()):
        self.calls.append((tuple(conditions), tuple(writes)))
        self.now += self.delay_s
        return self.answer


def write_configuration(version, revision):
    """Return a configuration as the store holds it."""
    return Entry('op/config', json.dumps(build_configuration(version)), revision)


class FreshnessTest(unittest.TestCase):
    """A node uses its configuration only while its confirmation is recent."""

    def setUp(self):
        self.store = FakeStore()
        clock = self.store.clock
        self.session = FleetSession('n1', self.store, Freshness(BOUND_S, clock), clock)
        self.session.view.apply_configuration(write_configuration(1, 10))

    def confirm(self, answer):
        self.store.answer = answer
        return anyio.run(self.session.confirm)

    def test_configuration_alone_is_not_fresh(self):
        self.assertFalse(self.session.is_fresh())

    def test_confirmed_configuration_is_fresh_until_the_bound(self):
        self.assertTrue(self.confirm(Swapped(12)))
        self.store.now += BOUND_S - 0.01
        self.assertTrue(self.session.is_fresh())
        self.store.now += 0.02
        self.assertFalse(self.session.is_fresh())

    def test_node_is_fading_before_it_stops_serving(self):
        self.confirm(Swapped(12))
        self.store.now += BOUND_S * 0.7
        self.assertTrue(self.session.is_fading())
        self.assertTrue(self.session.is_fresh())

    def test_age_counts_from_when_the_question_was_sent(self):
        self.store.delay_s = 3.0
        self.confirm(Swapped(12))
        self.assertAlmostEqual(self.session.confirmation_age_s, 3.0)

    def test_process_that_was_paused_is_not_fresh(self):
        self.confirm(Swapped(12))
        self.store.now += 60.0
        self.assertFalse(self.session.is_fresh())

    def test_no_answer_confirms_nothing(self):
        self.assertFalse(self.confirm(Unavailable('down')))
        self.assertFalse(self.session.is_fresh())

    def test_newer_configuration_in_the_answer_is_activated(self):
        newest = write_configuration(2, 20)
        self.assertTrue(self.confirm(Conflict(newest, (newest,))))
        self.assertEqual(self.session.view.table.version, 2)
        self.assertTrue(self.session.is_fresh())

    def test_newer_configuration_that_is_damaged_is_not_confirmed(self):
        damaged = Entry('op/config', '{', 20)
        self.assertFalse(self.confirm(Conflict(damaged, (damaged,))))
        self.assertFalse(self.session.is_fresh())

    def test_unknown_configuration_is_never_fresh(self):
        clock = self.store.clock
        session = FleetSession('n2', self.store, Freshness(BOUND_S, clock), clock)
        self.store.answer = Swapped(1)
        anyio.run(session.confirm)
        self.assertFalse(session.is_fresh())


class StartTest(unittest.TestCase):
    """A node is starting until it has both a configuration and a listing.

    Guards against refused requests when all nodes restart at once: the configuration
    is confirmed after 0.13 s, but the listing takes 0.23 to 0.30 s, and a node that
    counted as started in between refused requests with "no group is open" (84 of 173
    in one second, after 80 nodes had been killed).
    """

    def setUp(self):
        self.store = FakeStore()
        clock = self.store.clock
        self.session = FleetSession('n1', self.store, Freshness(BOUND_S, clock), clock)

    def confirm(self):
        self.store.answer = Conflict(write_configuration(1, 10))
        anyio.run(self.session.confirm)

    def list_all(self):
        self.session._apply_response(Events((), 12, complete=True), 0)

    def test_node_that_lacks_its_first_listing_is_starting(self):
        self.confirm()
        self.assertTrue(self.session.is_starting())
        self.list_all()
        self.assertFalse(self.session.is_starting())

    def test_node_that_lacks_its_configuration_is_starting(self):
        self.list_all()
        self.assertTrue(self.session.is_starting())
        self.confirm()
        self.assertFalse(self.session.is_starting())

    def test_start_during_an_outage_ends_after_a_limit(self):
        self.confirm()
        self.store.now += MAX_START_S + 0.1
        self.assertFalse(self.session.is_starting())


class ListingTest(unittest.IsolatedAsyncioTestCase):
    """What a node reads from the store when it starts.

    Guards against slow starts: when the listing included the configuration, a starting
    node read it twice.  With 1,800 routes it was active after a median of 0.81 s
    (0.13 s with 250 routes), and requests were delayed or refused with "the
    configuration is not confirmed" after 54 of 89 nodes had been killed.
    """

    async def test_configuration_is_not_read_twice(self):
        store = FakeStore()
        prefixes = []

        async def list_prefix(prefix):
            prefixes.append(prefix)
            key = f'{prefix}x'
            return Events((Entry(key, 'v', 5),), 10 + len(prefixes), complete=True)

        store.list_prefix = list_prefix
        freshness = Freshness(BOUND_S, store.clock)
        session = FleetSession('n1', store, freshness, store.clock)
        found = await session._list_all()
        self.assertFalse(any('op/config'.startswith(item) for item in prefixes))
        self.assertEqual(len(found.entries), 2)
        # The watch repeats changes made between the two listings.
        self.assertEqual((found.revision, found.complete), (11, True))

    async def test_partly_failed_listing_is_unavailable(self):
        store = FakeStore()

        async def list_prefix(prefix):
            if prefix == INSTANCE_PREFIX:
                return Unavailable('down')
            return Events((), 10, complete=True)

        store.list_prefix = list_prefix
        freshness = Freshness(BOUND_S, store.clock)
        session = FleetSession('n1', store, freshness, store.clock)
        self.assertIsInstance(await session._list_all(), Unavailable)


class ColdTest(unittest.TestCase):
    """A session limits what is sent to cold instances of its configuration."""

    def setUp(self):
        self.store = FakeStore()
        clock = self.store.clock
        self.session = FleetSession('n1', self.store, Freshness(BOUND_S, clock), clock)
        self.session.view.nodes['n1'] = None
        self.listed = True
        self.session.leases.is_listed = lambda: self.listed

    def apply(self, left_ms, **service):
        data = build_configuration()
        data['services'][0].update(service)
        instance = {
            'service': 'pool',
            'address': '10.0.0.1:1',
            'state': 'ready',
            'cold_left_ms': left_ms,
        }
        self.session.view.apply_entry(Entry('op/config', json.dumps(data), 10))
        self.session.view.apply_entry(Entry('servers/a', json.dumps(instance), 11))

    def wait(self, seconds, age_s=0.0):
        """Let some time pass, with sweeps and confirmations of this age."""
        end = self.store.now + seconds
        while self.store.now < end:
            self.store.now += 0.25
            self.session._update_unasked()
            self.session._freshness.note_confirmed(self.store.now - age_s)

    def can_send(self):
        return not self.session.permits.is_closed('a')

    def test_limit_follows_the_entry_and_the_configuration(self):
        self.apply(3000, cold_s=3, cold_per_s=23)
        self.assertEqual(self.session.limits.find('a'), 23.0)
        self.store.now += 3.0
        self.assertIsNone(self.session.limits.find('a'))

    def test_nothing_is_limited_without_the_figures(self):
        self.apply(3000)
        self.assertIsNone(self.session.limits.find('a'))
        self.assertTrue(self.can_send())

    def test_restarted_node_does_not_send_without_permits(self):
        """It does not know all nodes yet, nor what its earlier process sent."""
        self.apply(60_000, cold_s=60, cold_per_s=23)
        self.wait(11.0)
        self.assertIsNone(self.session.permits.take_unasked('a'))
        self.wait(2.0)
        self.assertIsNotNone(self.session.permits.take_unasked('a'))

    def test_node_that_is_not_listed_does_not_send_without_permits(self):
        self.listed = False
        self.apply(60_000, cold_s=60, cold_per_s=23)
        self.wait(30.0)
        self.assertIsNone(self.session.permits.take_unasked('a'))

    def test_node_that_is_cut_off_does_not_send_without_permits(self):
        """Others may have been listed meanwhile."""
        self.apply(90_000, cold_s=90, cold_per_s=23)
        self.wait(13.0)
        self.store.now += MAX_CONFIRMATION_AGE_S + 0.1
        self.assertIsNone(self.session.permits.take_unasked('a'))

    def test_leader_is_heard_while_its_heartbeats_arrive(self):
        self.session.view.leader = 'n2'
        self.assertFalse(self.session._hears_leader())
        self.session.view.leader = 'n1'
        self.assertTrue(self.session._hears_leader())


class UnconfirmedTest(unittest.TestCase):
    """Without ``refuse_unconfirmed``, a node serves during an outage of the store."""

    def setUp(self):
        self.store = FakeStore()
        clock = self.store.clock
        freshness = Freshness(BOUND_S, clock, refuse_unconfirmed=False)
        self.session = FleetSession('n1', self.store, freshness, clock)
        self.session.view.apply_configuration(write_configuration(1, 10))
        self.ask(Swapped(12))

    def ask(self, answer):
        self.store.answer = answer
        return anyio.run(self.session.confirm)

    def test_node_serves_during_an_outage(self):
        for _ in range(30):
            self.store.now += 2.0
            self.ask(Unavailable('down'))
            self.assertTrue(self.session.is_fresh())

    def test_paused_process_asks_before_it_serves(self):
        self.ask(Unavailable('down'))
        self.store.now += 60.0
        self.assertFalse(self.session.is_fresh())
        self.ask(Unavailable('down'))
        self.assertTrue(self.session.is_fresh())

    def test_evidence_of_an_outage_expires(self):
        self.store.now += BOUND_S
        self.ask(Unavailable('down'))
        self.store.now += OUTAGE_EVIDENCE_S + 0.01
        self.assertFalse(self.session.is_fresh())

    def test_newer_configuration_of_a_peer_makes_a_node_stale(self):
        self.store.now += BOUND_S
        self.ask(Unavailable('down'))
        self.session.book.take(Heartbeat('n2', 2, table_revision=20))
        self.assertFalse(self.session.is_fresh())
        self.session.view.apply_configuration(write_configuration(2, 20))
        self.assertTrue(self.session.is_fresh())

    def test_node_without_configuration_serves_nothing(self):
        clock = self.store.clock
        freshness = Freshness(BOUND_S, clock, refuse_unconfirmed=False)
        self.session = FleetSession('n2', self.store, freshness, clock)
        self.ask(Unavailable('down'))
        self.assertFalse(self.session.is_fresh())

    def test_only_a_node_without_peers_is_fading(self):
        self.store.now += BOUND_S
        self.ask(Unavailable('down'))
        self.assertTrue(self.session.is_fading())
        self.session.book.take(Heartbeat('n2', 2, table_revision=10))
        self.assertFalse(self.session.is_fading())


class PeerConfirmationTest(unittest.TestCase):
    """Effects of a peer's confirmation on retries."""

    def setUp(self):
        self.store = FakeStore()
        clock = self.store.clock
        self.session = FleetSession('n1', self.store, Freshness(BOUND_S, clock), clock)
        self.session.view.apply_configuration(write_configuration(1, 10))
        self.tries = 0
        self.session.leases.note_store_back = self.note_try

    def note_try(self):
        self.tries += 1

    def hear(self):
        """Receive a heartbeat with a confirmation requested now."""
        now = self.store.now
        beat = Heartbeat(
            'n2',
            2,
            table_revision=10,
            asked_at=now,
            sent_at=now,
            echo_incarnation=self.session.book.incarnation,
            echo_at=now,
        )
        self.session.handle_message(beat)

    def test_first_confirmation_after_an_outage_wakes_retries(self):
        self.hear()
        self.store.now += 7.0
        self.tries = 0
        self.hear()
        self.assertEqual(self.tries, 1)

    def test_regular_confirmations_do_not_wake_retries(self):
        self.hear()
        self.tries = 0
        for _ in range(20):
            self.store.now += 0.25
            self.hear()
        self.assertEqual(self.tries, 0)


class RetryDelayTest(unittest.TestCase):
    """How often the store is asked while it does not answer."""

    def setUp(self):
        self.now = 100.0
        freshness = Freshness(BOUND_S, lambda: self.now)
        self.session = FleetSession('n1', None, freshness, lambda: self.now)

    def pauses(self):
        return [self.session._choose_retry_delay_s(attempt) for attempt in range(5)]

    def test_node_without_peers_asks_often(self):
        self.assertEqual(self.pauses(), [CONFIRM_RETRY_S] * 5)

    def test_node_with_peers_asks_rarely_after_the_first_retry(self):
        self.session.book.take(Heartbeat('n2', 2))
        self.assertEqual(self.pauses(), [CONFIRM_RETRY_S, *[MAX_RETRY_S] * 4])

    def test_many_nodes_ask_a_silent_store_less_often_together(self):
        """Guards against a rate of calls in an outage that grows with the nodes."""
        self.session.book.take(Heartbeat('n2', 2))
        for count in (74, 370):
            for number in range(count):
                self.session.view.nodes[f'n{number}'] = NodeLocation('10.0.0.1:1')
            for pause_s in self.pauses()[1:]:
                self.assertGreaterEqual(pause_s, min(10.0, 0.5 * count / 10.0))
                self.assertLessEqual(pause_s, 10.0)

    def test_nodes_that_serve_unconfirmed_keep_asking(self):
        """Guards against a node that refuses for want of own signs of an outage."""
        self.session.book.take(Heartbeat('n2', 2))
        self.session._freshness.refuse_unconfirmed = False
        for number in range(370):
            self.session.view.nodes[f'n{number}'] = NodeLocation('10.0.0.1:1')
        self.assertLess(max(self.pauses()), OUTAGE_EVIDENCE_S)

    def test_unconfirmed_watcher_asks_often(self):
        self.session.book.take(Heartbeat('n2', 2))
        self.session.follows = lambda: True
        self.assertEqual(self.pauses(), [CONFIRM_RETRY_S] * 5)


class OutageEndTest(unittest.IsolatedAsyncioTestCase):
    """The end of an outage in which the configuration was changed.

    Guards against late updates: once the leader announces a newer configuration, no
    node may use the older one, but nodes waited for a retry pause of 2 s and were
    not woken by the announcement.  After an outage of 8 s, 291 of 1,190 requests were
    refused for 1.7 s with "the configuration is not confirmed"; 36 of 80 nodes had the
    newer configuration after 0.2 s, 14 after 1.0 s and 23 after 1.7 s.
    """

    def setUp(self):
        self.store = FakeStore()
        self.store.answer = Unavailable('down')
        clock = self.store.clock
        freshness = Freshness(BOUND_S, clock, refuse_unconfirmed=False)
        self.session = FleetSession('n1', self.store, freshness, clock)
        self.session.view.apply_configuration(write_configuration(1, 10))
        self.session.send = self.answer
        self.asked_twice = anyio.Event()
        self.in_force = anyio.Event()
        self.store.transact = self.stay_away

    async def stay_away(self, conditions, writes=()):
        self.store.calls.append(conditions)
        if len(self.store.calls) == 2:
            self.asked_twice.set()
        return self.store.answer

    def answer(self, message, node):
        self.session.handle_message(TableReply(node, write_configuration(2, 20)))
        self.in_force.set()

    async def test_newer_configuration_is_fetched_at_once(self):
        self.session.book.take(Heartbeat('n2', 2, table_revision=10))
        pauses = {'CONFIRM_RETRY_S': 0.01, 'MAX_RETRY_S': 600.0}
        with mock.patch.multiple('coursepitch.fleet.session', **pauses):
            async with anyio.create_task_group() as group:
                group.start_soon(self.session._keep_confirmed)
                with anyio.fail_after(20):
                    await self.asked_twice.wait()
                    beat = Heartbeat('n2', 2, table_revision=20)
                    self.session.handle_message(beat)
                    await self.in_force.wait()
                group.cancel_scope.cancel()
        self.assertEqual(self.session.view.table.version, 2)
        self.assertTrue(self.session.is_fresh())


class SilentWatchTest(unittest.IsolatedAsyncioTestCase):
    """A watch with a stalled connection is repeated because of other responses."""

    def setUp(self):
        self.store = FakeStore()
        freshness = Freshness(BOUND_S, self.store.clock)
        self.session = FleetSession('n1', self.store, freshness, self.store.clock)
        self.session.is_followed = lambda: True
        self.listings = 0
        self.listed_again = anyio.Event()
        self.store.list_prefix = self.list_all
        self.store.watch = self.stay_silent
        self.waiting = anyio.Event()
        self.repeated = anyio.Event()

    async def list_all(self, prefix):
        # The session lists the instances after the system's own keys.
        self.listings += prefix == INSTANCE_PREFIX
        if self.listings == 2:
            self.listed_again.set()
        revision = 10 * (self.listings + (prefix != INSTANCE_PREFIX))
        return Events((), revision, complete=True)

    async def stay_silent(self, prefix, after, wait_s, *, new_connection=False):
        (self.repeated if new_connection else self.waiting).set()
        await anyio.sleep_forever()

    async def answer_repeated(self, prefix, after, wait_s, *, new_connection=False):
        if not new_connection or after > 10:
            await self.stay_silent(prefix, after, wait_s)
        return Events((), 12)

    async def confirm(self, revision):
        self.store.answer = Swapped(revision)
        await self.session.confirm()
        self.store.now += 0.8

    async def run_watch(self, revisions, limit_s, done):
        """Confirm with these store revisions while a watch is pending.

        :param limit_s: seconds after which to end.
        :param done: event that ends it before.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.session._follow_changes)
            await self.waiting.wait()
            for revision in revisions:
                await self.confirm(revision)
            with anyio.move_on_after(limit_s):
                await done.wait()
            group.cancel_scope.cancel()
        return self.listings

    async def test_silent_watch_is_cancelled_and_all_keys_are_listed(self):
        count = await self.run_watch([11, 11, 12], 5, self.listed_again)
        self.assertEqual(count, 2)
        self.assertTrue(self.repeated.is_set())
        self.assertEqual(self.session.view.received_revision, 20)

    async def test_watch_is_repeated_once_the_store_is_known_to_be_ahead(self):
        await self.run_watch([11], 5, self.repeated)
        self.assertTrue(self.repeated.is_set())

    async def test_response_of_the_repeated_watch_saves_the_listing(self):
        self.store.watch = self.answer_repeated
        self.assertEqual(await self.run_watch([12], 2, self.listed_again), 1)
        self.assertEqual(self.session.view.received_revision, 12)

    # Guards against a slow store whose responses are given up, one after the other.
    async def test_first_watch_of_a_slow_store_may_answer_after_it_was_repeated(self):
        async def answer_late(prefix, after, wait_s, *, new_connection=False):
            if new_connection or after > 10:
                await self.stay_silent(prefix, after, wait_s, new_connection=True)
            self.waiting.set()
            await self.repeated.wait()
            return Events((), 12)

        self.store.watch = answer_late
        self.assertEqual(await self.run_watch([12], 2, self.listed_again), 1)
        self.assertEqual(self.session.view.received_revision, 12)

    async def test_watch_from_before_an_outage_is_restarted(self):
        watches = []

        async def count_watches(prefix, after, wait_s, *, new_connection=False):
            watches.append(after)
            self.waiting.set()
            if len(watches) == 2:
                begun_anew.set()
            await anyio.sleep_forever()

        begun_anew = anyio.Event()
        self.store.watch = count_watches
        await self.confirm(10)
        async with anyio.create_task_group() as group:
            group.start_soon(self.session._follow_changes)
            await self.waiting.wait()
            self.store.now += GAP_S
            await self.confirm(10)
            with anyio.fail_after(5):
                await begun_anew.wait()
            group.cancel_scope.cancel()
        self.assertEqual(watches, [10, 10])
        self.assertEqual(self.listings, 1)

    async def test_watch_that_is_up_to_date_is_kept(self):
        count = await self.run_watch([10, 10, 10], 1, self.repeated)
        self.assertEqual(count, 1)
        self.assertFalse(self.repeated.is_set())


class SilentWatchTimeTest(unittest.IsolatedAsyncioTestCase):
    """Changes arrive in time although the connection of a watch is silent."""

    #: Time in seconds after which a draining instance may get no request.
    DRAIN_S = 2.0

    # Guards against draining instances that get requests as a watch is silent.
    async def test_change_right_after_a_confirmation_arrives_in_time(self):
        clock = time.monotonic
        store = FakeStore()
        session = FleetSession('n1', store, Freshness(BOUND_S, clock), clock)
        session.is_followed = lambda: True
        store.answer, waiting = Swapped(10), anyio.Event()

        async def list_all(prefix):
            return Events((), store.answer.revision, complete=True)

        async def watch(prefix, after, wait_s, *, new_connection=False):
            if store.answer.revision > after and new_connection:
                return Events((), store.answer.revision)
            waiting.set()
            return await anyio.sleep_forever()

        store.list_prefix, store.watch = list_all, watch
        async with anyio.create_task_group() as group:
            group.start_soon(session._follow_changes)
            group.start_soon(session._keep_confirmed)
            await waiting.wait()
            calls = len(store.calls)
            while len(store.calls) == calls:
                await anyio.sleep(0.01)
            store.answer, changed_at = Swapped(11), clock()
            with anyio.move_on_after(4 * self.DRAIN_S):
                while session.view.received_revision < 11:
                    await anyio.sleep(0.01)
            took_s = clock() - changed_at
            group.cancel_scope.cancel()
        self.assertLess(took_s, self.DRAIN_S)
