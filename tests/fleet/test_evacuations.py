"""Evacuation of zones: what a node learns, when it stops, and what the leader does."""

from __future__ import annotations

import json
import unittest

import anyio
import eliot
from hypothesis import given, strategies

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.evacuations import USE_FRACTION, Evacuations
from coursepitch.fleet.freshness import Freshness
from coursepitch.fleet.groups import GroupController
from coursepitch.fleet.ledger import LoadLimiter, OrderLedger
from coursepitch.fleet.messages import Changes, ChangesRequest, Heartbeat
from coursepitch.fleet.orders import OrderKind
from coursepitch.fleet.placer import CONVERSION_QUIET_S, Placer, ServiceSnapshot
from coursepitch.fleet.session import MAX_CHANGE_AGE_S, FleetSession
from coursepitch.fleet.view import MAX_LOGGED_DAMAGED_KEYS, FleetView
from coursepitch.platform.fleet import EVACUATION_PREFIX
from coursepitch.platform.kv import Entry, Events, Swapped, Unavailable
from tests.fleet.builders import (
    SERVICE,
    build_engine,
    build_instance,
    build_service,
    build_view,
)
from tests.whole.platform_base import build_configuration

#: Evacuation time of the tests in seconds, and for how long of it a zone is still used.
EVACUATE_S = 5.0
USE_S = EVACUATE_S * USE_FRACTION


def request(zone, revision):
    """Return the entry that requests the evacuation of a zone."""
    return Entry(EVACUATION_PREFIX + zone, '{}', revision)


def withdraw(zone, revision):
    """Return the deletion of such an entry."""
    return Entry(EVACUATION_PREFIX + zone, deleted_at=revision)


def write_instance(name, zone, revision):
    """Return the entry of an instance in a zone."""
    data = {
        'service': SERVICE,
        'address': '10.0.0.1:1',
        'state': 'ready',
        'zone': zone,
    }
    return Entry(f'servers/{name}', json.dumps(data), revision)


class LogCase(unittest.TestCase):
    """Collects the lines logged during a test."""

    def setUp(self):
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)
        self.lines.clear()  # The first destination receives buffered messages.

    def read_zones(self, kind):
        """Return the zones of the lines of one kind."""
        return [line['zone'] for line in self.lines if line.get('message_type') == kind]


class EvacuationsTest(unittest.TestCase):
    """State of the zones, by an injected clock."""

    def setUp(self):
        self.now = 100.0
        self.evacuations = Evacuations(lambda: self.now, EVACUATE_S)

    def test_zone_of_a_recent_request_is_used_for_a_limited_time(self):
        self.assertTrue(self.evacuations.note_requested('b', True))
        self.assertTrue(self.evacuations.is_requested('b'))
        self.assertFalse(self.evacuations.is_closed('b'))
        self.now += USE_S - 0.01
        self.assertFalse(self.evacuations.is_closed('b'))
        self.now += 0.01
        self.assertTrue(self.evacuations.is_closed('b'))

    def test_use_is_within_the_stated_share_of_the_evacuation_time(self):
        self.assertLessEqual(USE_FRACTION, 0.3)

    def test_zone_of_a_request_of_unknown_age_is_closed_at_once(self):
        self.evacuations.note_requested('b', False)
        self.assertTrue(self.evacuations.is_closed('b'))

    def test_repeated_request_does_not_prolong_the_use(self):
        self.evacuations.note_requested('b', True)
        self.now += USE_S
        self.assertFalse(self.evacuations.note_requested('b', True))
        self.assertTrue(self.evacuations.is_closed('b'))

    def test_request_after_a_withdrawal_is_a_new_one(self):
        self.evacuations.note_requested('b', False)
        self.assertTrue(self.evacuations.note_withdrawn('b'))
        self.assertFalse(self.evacuations.is_closed('b'))
        self.evacuations.note_requested('b', True)
        self.assertFalse(self.evacuations.is_closed('b'))

    def test_each_closing_is_reported_once(self):
        self.evacuations.note_requested('b', True)
        self.assertEqual(self.evacuations.take_newly_closed(), [])
        self.now += USE_S
        self.assertEqual(self.evacuations.take_newly_closed(), ['b'])
        self.assertEqual(self.evacuations.take_newly_closed(), [])

    def test_nothing_is_requested_without_an_evacuation_time(self):
        self.evacuations.set_bound(0.0)
        self.assertFalse(self.evacuations.note_requested('b', False))
        self.assertFalse(self.evacuations.is_requested('b'))

    def test_requests_are_dropped_when_evacuations_are_disabled(self):
        self.evacuations.note_requested('b', False)
        self.evacuations.set_bound(0.0)
        self.assertFalse(self.evacuations.is_closed('b'))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('ab'),
                strategies.sampled_from(('recent', 'old', 'withdrawn')),
                strategies.floats(0, 2),
            )
        )
    )
    def test_zone_is_closed_in_time_whatever_the_order(self, steps):
        """A zone that stays requested is closed from the first request on, in time."""
        now = [100.0]
        evacuations = Evacuations(lambda: now[0], EVACUATE_S)
        closed_from = {}
        for zone, kind, pause_s in steps:
            if kind == 'withdrawn':
                evacuations.note_withdrawn(zone)
                closed_from.pop(zone, None)
            else:
                evacuations.note_requested(zone, kind == 'recent')
                use_s = USE_S if kind == 'recent' else 0.0
                closed_from.setdefault(zone, now[0] + use_s)
            now[0] += pause_s
            for name in 'ab':
                since = closed_from.get(name)
                closed = since is not None and now[0] >= since
                self.assertEqual(evacuations.is_closed(name), closed)
                self.assertEqual(evacuations.is_requested(name), since is not None)


class ViewTest(LogCase):
    """Keys that the view receives by changes and listings."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.view = FleetView(lambda: self.now)
        self.view.evacuations.set_bound(EVACUATE_S)
        entries = [write_instance(f'i-{zone}', zone, 5) for zone in 'abc']
        self.view.apply(Events(tuple(entries), 10, complete=True))

    def change(self, *entries):
        self.view.apply(Events(entries, max(item.changed_at for item in entries)))

    def find_closed(self):
        return [zone for zone in 'abc' if self.view.is_evacuated(f'i-{zone}')]

    def test_request_received_by_a_change_closes_the_zone_after_its_use(self):
        self.change(request('b', 11))
        self.assertTrue(self.view.evacuations.is_requested('b'))
        self.assertEqual(self.find_closed(), [])
        self.now += USE_S
        self.assertEqual(self.find_closed(), ['b'])

    def test_request_received_by_a_listing_closes_the_zone_at_once(self):
        self.view.apply(Events((request('b', 7),), 12, complete=True))
        self.assertTrue(self.view.evacuations.is_closed('b'))

    def test_request_received_after_a_cut_closes_the_zone_at_once(self):
        self.view.is_change_recent = lambda: False
        self.change(request('b', 11))
        self.assertEqual(self.find_closed(), ['b'])

    def test_listing_does_not_change_when_a_known_zone_is_closed(self):
        self.change(request('b', 11))
        self.now += USE_S / 2
        instances = [write_instance(f'i-{zone}', zone, 5) for zone in 'abc']
        self.view.apply(Events((*instances, request('b', 11)), 12, complete=True))
        self.assertEqual(self.find_closed(), [])
        self.now += USE_S / 2
        self.assertEqual(self.find_closed(), ['b'])

    def test_two_zones_are_both_closed(self):
        self.change(request('b', 11))
        self.now += USE_S / 2
        self.change(request('c', 12))
        self.now += USE_S / 2
        self.assertEqual(self.find_closed(), ['b'])
        self.now += USE_S / 2
        self.assertEqual(self.find_closed(), ['b', 'c'])
        self.change(withdraw('b', 13))
        self.assertEqual(self.find_closed(), ['c'])

    def test_withdrawal_opens_the_zone_at_once(self):
        self.change(request('b', 11))
        self.now += USE_S
        self.change(withdraw('b', 12))
        self.assertEqual(self.find_closed(), [])
        self.assertFalse(self.view.evacuations.is_requested('b'))
        self.assertEqual(self.read_zones('zone.evacuation_withdrawn'), ['b'])

    def test_key_missing_from_a_full_listing_is_a_withdrawal(self):
        self.change(request('b', 11))
        found = Events((write_instance('i-b', 'b', 5),), 12, complete=True)
        self.assertIn(withdraw('b', 12), self.view.list_changes(found))
        self.view.apply(found)
        self.assertFalse(self.view.evacuations.is_requested('b'))

    def test_withdrawal_counts_also_while_the_store_was_away(self):
        # Entries of instances are held then, as they may have expired.
        self.change(request('b', 11))
        self.view.find_store_uptime_s = lambda: 0.0
        self.change(withdraw('b', 12))
        self.assertFalse(self.view.evacuations.is_requested('b'))

    def test_zone_stays_closed_while_the_store_is_down(self):
        self.change(request('b', 11))
        self.view.find_store_uptime_s = lambda: 0.0
        for _ in range(100):
            self.now += 1.0
            self.view.sweep()
        self.assertEqual(self.find_closed(), ['b'])

    def test_listing_older_than_the_withdrawal_does_not_close_the_zone(self):
        self.change(request('b', 11))
        self.change(withdraw('b', 12))
        self.view.apply_entry(request('b', 11), listed=True)
        self.assertFalse(self.view.evacuations.is_requested('b'))
        self.view.apply_entry(request('b', 13), listed=True)
        self.assertTrue(self.view.evacuations.is_requested('b'))

    def test_instance_that_starts_in_a_closed_zone_gets_nothing(self):
        self.change(request('b', 11))
        self.now += USE_S
        self.change(write_instance('late', 'b', 12))
        self.assertTrue(self.view.is_evacuated('late'))

    def test_key_without_a_known_zone_is_logged_once(self):
        self.change(request('nowhere', 11), request('', 12), request('a/b', 13))
        self.change(request('nowhere', 14))
        self.now += USE_S
        self.view.sweep()
        self.assertEqual(self.read_zones('zone.unknown'), ['nowhere', '', 'a/b'])
        self.assertEqual(self.find_closed(), [])
        self.assertFalse(self.view.evacuations.is_requested(''))

    def test_log_lines_about_unknown_zones_are_bounded(self):
        for number in range(MAX_LOGGED_DAMAGED_KEYS + 9):
            self.change(request(f'x{number}', 11 + number))
        self.assertEqual(len(self.read_zones('zone.unknown')), MAX_LOGGED_DAMAGED_KEYS)

    def test_zone_whose_instances_are_listed_after_the_request_is_closed(self):
        self.change(request('d', 11))
        self.now += USE_S
        self.change(write_instance('i-d', 'd', 12))
        self.assertTrue(self.view.is_evacuated('i-d'))

    def test_value_of_the_key_does_not_matter(self):
        self.change(Entry(EVACUATION_PREFIX + 'b', 'not json', 11))
        self.assertTrue(self.view.evacuations.is_requested('b'))

    def test_request_closing_and_services_without_zones_are_logged(self):
        self.change(request('b', 11))
        self.assertEqual(self.read_zones('zone.evacuation_requested'), ['b'])
        self.view.sweep()
        self.assertEqual(self.read_zones('zone.closed'), [])
        self.now += USE_S
        self.view.sweep()
        self.view.sweep()
        self.assertEqual(self.read_zones('zone.closed'), ['b'])
        self.change(request('a', 12), request('c', 13))
        self.now += USE_S
        self.view.sweep()
        self.view.sweep()
        self.assertEqual(self.read_zones('zone.closed'), ['b', 'a', 'c'])
        services = [
            line['service']
            for line in self.lines
            if line.get('message_type') == 'service.evacuated'
        ]
        self.assertEqual(services, [SERVICE])

    def test_keys_are_ignored_without_an_evacuation_time(self):
        view = FleetView(lambda: self.now)
        listing = (write_instance('i-b', 'b', 5), request('b', 6))
        view.apply(Events(listing, 10, complete=True))
        view.apply(Events((request('b', 11), request('', 12)), 12))
        self.now += EVACUATE_S
        view.sweep()
        self.assertFalse(view.evacuations.is_requested('b'))
        self.assertFalse(view.is_evacuated('i-b'))
        kinds = {line.get('message_type') for line in self.lines}
        self.assertEqual([name for name in kinds if name.startswith('zone.')], [])


class FakeStore:
    """Lists preset entries, and counts listings by prefix."""

    def __init__(self, *entries):
        self.entries = entries
        self.down = False
        self.prefixes = []
        self.revision = 20

    async def list_prefix(self, prefix):
        self.prefixes.append(prefix)
        if self.down:
            return Unavailable('down')
        found = [item for item in self.entries if item.key.startswith(prefix)]
        return Events(tuple(found), self.revision, complete=True)

    async def transact(self, conditions, writes=()):
        return Swapped(self.revision)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """How requests reach a node: by its listing, by a peer, and after a cut."""

    def setUp(self):
        self.now = 100.0
        self.store = FakeStore(write_instance('i-b', 'b', 5), request('b', 6))
        self.session = self.build_session()

    def build_session(self, evacuate_s=EVACUATE_S):
        session = FleetSession(
            'n1', self.store, Freshness(4.25, lambda: self.now), lambda: self.now
        )
        session.view.evacuations.set_bound(evacuate_s)
        value = json.dumps(build_configuration(1))
        session.view.apply_configuration(Entry('op/config', value, 4))
        return session

    async def list_all(self, session):
        found = await session._list_all()
        session._apply_response(found, 0)

    def hear(self, received=0, asked_ago=0.2):
        """Let a peer confirm the configuration and state what it received."""
        beat = Heartbeat(
            'p',
            2,
            4,
            50.0 - asked_ago,
            received,
            sent_at=50.0,
            echo_incarnation=self.session.book.incarnation,
            echo_at=self.now,
        )
        self.session.handle_message(beat)

    def relay(self, *entries, after=20):
        revision = max(item.changed_at for item in entries)
        self.session.handle_message(Changes('p', after, revision, entries))

    async def start_without_requests(self):
        """Start a node that has been confirmed for a while."""
        self.store.entries = self.store.entries[:1]
        await self.list_all(self.session)
        self.hear()
        self.now += MAX_CHANGE_AGE_S + 0.1
        self.hear()

    async def test_node_that_starts_in_the_middle_closes_the_zone_at_once(self):
        await self.list_all(self.session)
        self.assertEqual(self.store.prefixes.count(EVACUATION_PREFIX), 1)
        self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_first_listing_that_lacks_the_requests_is_not_used(self):
        # Without this, a node would send to a closed zone until its next listing.
        list_prefix = self.store.list_prefix

        async def fail(prefix):
            if prefix == EVACUATION_PREFIX:
                return Unavailable('down')
            return await list_prefix(prefix)

        self.store.list_prefix = fail
        self.assertIsInstance(await self.session._list_all(), Unavailable)

    async def test_node_that_starts_while_the_store_is_down_has_no_instances(self):
        self.store.down = True
        self.assertIsInstance(await self.session._list_all(), Unavailable)
        self.assertEqual(self.session.view.instances, {})

    async def test_deployment_without_evacuations_lists_and_follows_no_keys(self):
        session = self.build_session(0.0)
        await self.list_all(session)
        self.assertNotIn(EVACUATION_PREFIX, self.store.prefixes)
        self.assertEqual(len(self.store.prefixes), 2)
        session.handle_message(Changes('p', 20, 21, (request('b', 21),)))
        self.now += EVACUATE_S
        self.assertFalse(session.view.is_evacuated('i-b'))

    async def test_relayed_request_leaves_the_zone_in_use_for_a_limited_time(self):
        await self.start_without_requests()
        self.relay(request('b', 21))
        self.assertFalse(self.session.view.is_evacuated('i-b'))
        self.assertTrue(self.session.view.evacuations.is_requested('b'))
        self.now += USE_S
        self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_request_that_arrives_late_after_a_cut_closes_the_zone_at_once(self):
        await self.start_without_requests()
        self.now += MAX_CHANGE_AGE_S + 0.1
        self.relay(request('b', 21))
        self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_request_that_arrives_after_the_end_of_a_cut_closes_at_once(self):
        # The peer's heartbeat, with its confirmation, arrives before the change.
        for confirms_itself in (False, True):
            self.session = self.build_session()
            await self.start_without_requests()
            self.now += 4.0
            if confirms_itself:
                await self.session.confirm()
            else:
                self.hear(received=21)
            self.assertLess(self.session.confirmation_age_s, MAX_CHANGE_AGE_S)
            self.now += 0.5
            self.relay(request('b', 21))
            self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_request_behind_a_stalled_relay_closes_the_zone_at_once(self):
        # Another peer goes on to confirm the configuration, and is ahead.
        await self.start_without_requests()
        self.hear(received=21)
        self.now += MAX_CHANGE_AGE_S + 0.1
        self.hear(received=30)
        self.relay(request('b', 21))
        self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_node_that_is_always_a_little_behind_does_not_count_as_cut_off(self):
        await self.start_without_requests()
        for revision in range(21, 41):
            self.hear(received=revision + 1)
            self.now += 0.2
            self.relay(write_instance('x', 'a', revision), after=revision - 1)
        self.hear(received=42)
        self.relay(request('b', 41), after=40)
        self.assertFalse(self.session.view.is_evacuated('i-b'))
        # A relay that stalls later is noticed.
        self.relay(withdraw('b', 42), after=41)
        self.hear(received=44)
        self.now += MAX_CHANGE_AGE_S + 0.1
        self.hear(received=44)
        self.relay(request('b', 43), after=42)
        self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_store_that_is_ahead_of_a_silent_watch_makes_the_age_unknown(self):
        await self.start_without_requests()
        self.store.revision = 21
        await self.session.confirm()
        self.now += MAX_CHANGE_AGE_S + 0.1
        await self.session.confirm()
        self.relay(request('b', 21))
        self.assertTrue(self.session.view.is_evacuated('i-b'))

    async def test_request_is_relayed_and_kept_for_peers_that_missed_it(self):
        await self.start_without_requests()
        relayed = []
        self.session.follows = lambda: True
        self.session.relay_changes = lambda changes, sender: relayed.append(changes)
        self.relay(request('b', 21))
        self.assertEqual(relayed[0].entries, (request('b', 21),))
        answer = self.session._catch_up.answer(ChangesRequest('n2', 20))
        self.assertEqual(answer.entries, (request('b', 21),))

    async def test_requests_are_listed_once_when_evacuations_are_enabled(self):
        session = self.build_session(0.0)
        await self.list_all(session)
        async with anyio.create_task_group() as group:
            group.start_soon(session._list_evacuations)
            await anyio.wait_all_tasks_blocked()
            self.assertNotIn(EVACUATION_PREFIX, self.store.prefixes)
            session.view.evacuations.set_bound(EVACUATE_S)
            session.note_evacuations_enabled()
            with anyio.fail_after(5):
                while not session.view.is_evacuated('i-b'):
                    await session.wait_changed(1.0)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        self.assertEqual(self.store.prefixes.count(EVACUATION_PREFIX), 1)


class LeaderCase(unittest.TestCase):
    """A leader of two zones with one fabric domain each."""

    def setUp(self):
        self.now = 100.0
        self.controller = GroupController()

    def build_view(self, instances, claims=(), zones=()):
        view = build_view(instances, claims, lambda: self.now)
        view.evacuations.set_bound(EVACUATE_S)
        for zone in zones:
            view.apply_entry(request(zone, 9))
        return view

    def build_free(self, zone, count=4):
        held = {'staged': frozenset({'large', 'small'}), 'last_model': 'small'}
        return [
            build_instance(f'{zone}{n}', f'd-{zone}', availability_zone=zone, **held)
            for n in range(count)
        ]

    def build_group(self, name, zone, state='open'):
        names = (f'{name}-0', f'{name}-1')
        fields = {'models': frozenset({'small'}), 'staged': frozenset({'large'})}
        members = [
            build_instance(
                item,
                f'd-{zone}',
                'ready' if rank else state,
                name,
                1,
                rank=rank,
                availability_zone=zone,
                **fields,
            )
            for rank, item in enumerate(names)
        ]
        return members, GroupClaim(name, 1, SERVICE, f'd-{zone}', 'small', names)

    def decide(self, view, controller=None, work=None):
        return (controller or self.controller).decide(
            view,
            build_service(),
            {'small': 10.0} if work is None else work,
            self.now,
            loads_fast=False,
            instances_stable=True,
        )

    def find_domains(self, decision):
        return {change.domain for change in decision.changes}


class ClaimTest(LeaderCase):
    """No group is claimed in a zone whose evacuation is requested."""

    def test_groups_are_claimed_outside_the_zone_only(self):
        instances = self.build_free('a') + self.build_free('b')
        both = self.decide(self.build_view(instances))
        self.assertEqual(self.find_domains(both), {'d-a', 'd-b'})
        view = self.build_view(instances, zones=['b'])
        # The rule applies from the request on, while the zone is still used.
        self.assertFalse(view.evacuations.is_closed('b'))
        self.assertEqual(self.find_domains(self.decide(view)), {'d-a'})

    def test_nothing_is_claimed_if_all_zones_are_evacuated(self):
        instances = self.build_free('a') + self.build_free('b')
        view = self.build_view(instances, zones=['a', 'b'])
        self.assertEqual(self.decide(view).changes, ())

    def test_next_leader_claims_nothing_there_either(self):
        instances = self.build_free('a') + self.build_free('b')
        view = self.build_view(instances, zones=['b'])
        self.decide(view)
        following = self.decide(view, GroupController())
        self.assertEqual(self.find_domains(following), {'d-a'})

    def test_groups_are_claimed_there_again_after_the_withdrawal(self):
        instances = self.build_free('a') + self.build_free('b')
        view = self.build_view(instances, zones=['b'])
        self.decide(view)
        view.apply_entry(withdraw('b', 12))
        self.assertIn('d-b', self.find_domains(self.decide(view)))

    def test_no_weights_are_loaded_there(self):
        items = [
            build_instance(f'b{n}', 'd-b', availability_zone='b') for n in range(4)
        ]
        members, claim = self.build_group('g', 'a')
        instances = [*members, *items]

        def find_loading(zones):
            view = self.build_view(instances, [claim], zones)
            controller = GroupController()
            orders = self.decide(view, controller).orders
            self.now += 1.0  # Loads are limited to some per second.
            orders += self.decide(view, controller).orders
            kinds = (OrderKind.STAGE, OrderKind.JOIN)
            names = {item.instance for item in orders if item.kind in kinds}
            return names & {item.name for item in items}

        self.assertNotEqual(find_loading([]), set())
        self.assertEqual(find_loading(['b']), set())


class GroupTest(LeaderCase):
    """What becomes of groups in a zone whose evacuation is requested."""

    def setUp(self):
        super().setUp()
        self.members, self.claim = self.build_group('g', 'b')

    def test_open_group_is_left_unchanged(self):
        view = self.build_view(self.members, [self.claim], ['b'])
        for _ in range(3):
            decision = self.decide(view)
            self.assertEqual((decision.changes, decision.retired), ((), ()))
            self.assertEqual(decision.orders, ())
            self.now += 10.0
        self.assertEqual(len(view.list_open(SERVICE, 'small')), 1)

    def test_group_that_loses_a_member_ends_as_usual(self):
        view = self.build_view(self.members, [self.claim], ['b'])
        self.decide(view)
        del view.instances['g-1']
        view.version += 1
        self.decide(view)
        self.now += 10.0
        decision = self.decide(view)
        self.assertEqual([name for name, _ in decision.retired], ['g'])

    def test_group_that_was_ending_for_another_model_opens_again(self):
        # Its successor can't be claimed, so the zone would have no group after the
        # withdrawal.
        view = self.build_view(self.members, [self.claim])
        self.decide(view)
        record = self.controller._records['g', 1]
        record.converting_to = 'large'
        kinds = [item.kind for item in self.decide(view).orders]
        self.assertEqual(kinds, [OrderKind.CLOSE])
        view.apply_entry(request('b', 11))
        closed, _ = self.build_group('g', 'b', 'ready')
        view.instances.update({item.name: item for item in closed})
        view.version += 1
        decision = self.decide(view)
        self.assertEqual(decision.retired, ())
        self.assertEqual([item.kind for item in decision.orders], [OrderKind.OPEN])


class CapacityTest(LeaderCase):
    """A zone counts neither as capacity nor as groups from the request on."""

    def setUp(self):
        super().setUp()
        self.instances, self.claims = [], []
        for zone, count in (('a', 12), ('b', 4)):
            for number in range(count):
                members, claim = self.build_group(f'{zone}{number}', zone)
                self.instances += members
                self.claims.append(claim)
        self.placer = Placer(OrderLedger(), LoadLimiter())

    def build_snapshot(self, view, claims, work):
        return ServiceSnapshot(
            view,
            build_service(),
            build_engine(),
            claims,
            [],
            {'d-a': [], 'd-b': []},
            work,
            self.now,
            loads_fast=False,
            instances_stable=True,
            reserved={},
        )

    def test_instances_and_groups_of_the_zone_do_not_count(self):
        work = {'small': 10.0}
        view = self.build_view(self.instances, self.claims)
        before = self.build_snapshot(view, self.claims, work)
        self.assertEqual(before.count_groups(), {'small': 16})
        target = before.find_targets()['small']
        view.apply_entry(request('b', 11))
        after = self.build_snapshot(view, self.claims, work)
        self.assertEqual(after.count_groups(), {'small': 12})
        self.assertAlmostEqual(after.find_targets()['small'], target * 12 / 16)
        self.assertEqual(set(after.list_open_groups()), {'d-a'})

    def test_conversion_replaces_the_groups_without_a_wait_for_quiet(self):
        """Groups of the larger model, all in the zone, are replaced by a conversion.

        A wait of :data:`CONVERSION_QUIET_S` after the request would delay it.
        """
        claims = [*self.claims]
        for group in ('l0', 'l1'):
            names = tuple(f'{group}-{n}' for n in range(3))
            claims.append(GroupClaim(group, 1, SERVICE, 'd-b', 'large', names))
            for rank, name in enumerate(names):
                state = 'ready' if rank else 'open'
                fields = {'models': frozenset({'large'}), 'availability_zone': 'b'}
                fields['rank'] = rank
                item = build_instance(name, 'd-b', state, group, 1, **fields)
                self.instances.append(item)
        view = self.build_view(self.instances, claims)
        work = {'large': 0.6, 'small': 11.4}
        choose = self.placer.choose_conversion
        choose(self.build_snapshot(view, claims, work))
        self.now += CONVERSION_QUIET_S * 2
        self.assertIsNone(choose(self.build_snapshot(view, claims, work)))
        view.apply_entry(request('b', 11))
        found = choose(self.build_snapshot(view, claims, work))
        self.assertEqual((found.domain, found.model), ('d-a', 'large'))


if __name__ == '__main__':
    unittest.main()
