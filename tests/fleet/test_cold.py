"""Tests of instances that are cold after a start, and of what they are sent."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import anyio
from hypothesis import given, strategies

from coursepitch.config.routes import Service
from coursepitch.fleet.cold import (
    COUNTED_S,
    UNASKED_INTERVAL_S,
    ColdInstances,
    UnaskedSends,
    count_unasked_nodes,
    find_granted_rate,
)
from coursepitch.fleet.messages import SendReply, SendRequest
from coursepitch.fleet.rate_limits import RateLimits
from coursepitch.fleet.send_permits import (
    COLD_ANSWER_TIMEOUT_S,
    COLD_UNANSWERED_RETRY_S,
    PERMIT_VALID_S,
    Permit,
    SendGranter,
    SendPermits,
)
from coursepitch.fleet.shares import LIST_LAG_S
from tests.fleet.simulated_cold import SimulatedColdFleet

LIMIT = 23.0

#: Duration in seconds of a node's lease in the store.
LEASE_S = 2.0

#: Requests that users allow in any one second.
BOUND = 1.5 * LIMIT + 5


class ColdTestCase(unittest.TestCase):
    """A node's knowledge of instances, with a clock that the test moves."""

    def setUp(self):
        self.now = 100.0
        self.service = Service('pool', '/', 100, None, 3.0, LIMIT)
        self.logs = True
        self.cold = ColdInstances(
            lambda: self.now, lambda name: self.service, lambda: self.logs
        )
        self.limits = RateLimits('n1', 1, lambda: self.now)
        self.limits.find_cold = self.cold.find_limit


class ColdInstancesTest(ColdTestCase):
    """Until when an instance is cold, by its entries, responses and peers."""

    def test_instance_is_limited_while_its_entry_says_so(self):
        self.assertIsNone(self.cold.find_limit('a'))
        self.cold.note_entry('a', 3.0)
        self.assertEqual(self.cold.find_limit('a'), LIMIT)
        self.now += 2.99
        self.assertEqual(self.cold.find_limit('a'), LIMIT)
        self.now += 0.01
        self.assertIsNone(self.cold.find_limit('a'))

    def test_newest_entry_counts(self):
        self.cold.note_entry('a', 3.0)
        self.cold.note_entry('a', 1.0)
        self.assertEqual(self.cold.find_left_s('a'), 1.0)
        self.cold.note_entry('a', 0.0)
        self.assertIsNone(self.cold.find_limit('a'))

    def test_instance_becomes_cold_again(self):
        self.cold.note_entry('a', 0.5)
        self.now += 2.0
        self.cold.note_entry('a', 3.0)
        self.now += 2.0
        self.assertEqual(self.cold.find_limit('a'), LIMIT)

    def test_entry_from_before_a_response_does_not_end_what_that_said(self):
        self.cold.note_told('a', 3.0)
        self.cold.note_entry('a', 0.0)
        self.assertEqual(self.cold.find_limit('a'), LIMIT)

    def test_told_time_is_news_once(self):
        self.assertTrue(self.cold.note_told('a', 3.0))
        self.now += 0.2
        self.assertFalse(self.cold.note_told('a', 3.0))
        self.assertFalse(self.cold.note_told('a', 1.0))
        self.assertAlmostEqual(self.cold.find_left_s('a'), 3.0)

    def test_malformed_told_time_does_not_last(self):
        self.cold.note_told('a', 1e15)
        self.assertEqual(self.cold.find_left_s('a'), 3.0)

    def test_restart_drops_what_was_told_of_the_earlier_incarnation(self):
        self.cold.note_told('a', 3.0)
        self.cold.note_restart('a')
        self.assertIsNone(self.cold.find_limit('a'))

    def test_service_without_a_limit_has_no_cold_instances(self):
        self.service = Service('pool', '/', 100)
        self.cold.note_entry('a', 3.0)
        self.assertFalse(self.cold.note_told('a', 3.0))
        self.assertIsNone(self.limits.find('a'))
        self.assertEqual(self.cold.list_cold(), set())

    def test_entry_that_precedes_the_configuration_counts(self):
        self.service = None
        self.cold.note_entry('a', 3.0)
        self.assertIsNone(self.limits.find('a'))
        self.service = Service('pool', '/', 100, None, 3.0, LIMIT)
        self.assertEqual(self.limits.find('a'), LIMIT)

    def test_lower_of_both_limits_counts(self):
        self.limits.note_answer('a', 5.0)
        self.cold.note_entry('a', 3.0)
        self.assertEqual(self.limits.find('a'), 5.0)
        self.assertFalse(self.limits.is_by_cold('a'))
        self.limits.note_answer('a', 50.0)
        self.assertEqual(self.limits.find('a'), LIMIT)
        self.assertTrue(self.limits.is_by_cold('a'))
        self.now += 3.0
        self.assertEqual(self.limits.find('a'), 50.0)

    def sweep(self):
        """Return the events of a sweep."""
        with mock.patch('coursepitch.fleet.cold.log.emit') as emit:
            self.cold.sweep()
        return [call.args[0].name for call in emit.call_args_list]

    def test_change_is_logged_once_and_the_countdown_is_not(self):
        self.cold.note_entry('a', 3.0)
        self.assertEqual(self.sweep(), ['instance.cold'])
        for left_s in (1.8, 0.6):
            self.now += 1.2
            self.cold.note_entry('a', left_s)
            self.assertEqual(self.sweep(), [])
        self.now += 1.2
        self.assertEqual(self.sweep(), ['instance.warm'])
        self.assertEqual(self.sweep(), [])

    def test_only_nodes_that_follow_the_store_log(self):
        self.logs = False
        self.cold.note_entry('a', 3.0)
        self.assertEqual(self.sweep(), [])

    def test_state_of_warm_instances_is_dropped(self):
        self.cold.note_entry('a', 3.0)
        self.cold.note_told('b', 3.0)
        self.now += 4.0
        self.sweep()
        known = (self.cold._listed_until, self.cold._told_until, self.cold._since)
        self.assertEqual(known, ({}, {}, {}))


class ColdGranterTest(ColdTestCase):
    """Permits that the leader grants for a cold instance."""

    def setUp(self):
        super().setUp()
        self.term = 1
        self.granter = SendGranter(
            self.limits, lambda: self.term, lambda: self.now, lambda: 0.0, self.cold
        )
        self.granter.note_term()

    def list_grants(self, seconds, step_s=0.002):
        """Ask repeatedly; return the times of grants."""
        times = []
        end = self.now + seconds
        while self.now < end:
            if self.granter.decide('a').granted:
                times.append(self.now)
            self.now += step_s
        return times

    def test_first_request_is_granted(self):
        """Guards against a denial for each instance that becomes cold."""
        self.now += 10.0
        self.cold.note_entry('a', 3.0)
        self.now += 0.1
        self.assertTrue(self.granter.decide('a').granted)

    def test_new_leader_grants_nothing_at_first(self):
        """The previous leader may have granted all that is allowed."""
        self.cold.note_entry('a', 3.0)
        self.now += 1.0
        self.assertTrue(self.granter.decide('a').granted)
        self.term = 2
        self.assertFalse(self.granter.decide('a').granted)

    def test_new_leader_that_is_not_asked_at_once_grants(self):
        self.cold.note_entry('a', 3.0)
        self.term = 2
        self.granter.note_term()
        self.now += 0.5
        self.assertTrue(self.granter.decide('a').granted)

    def test_limit_is_used_and_no_second_gets_more_than_the_bound(self):
        """Requests that need no permit, and those that arrive late, fit as well."""
        for limit in (0.5, 1.0, 5.0, LIMIT, 100.0):
            with self.subTest(limit=limit):
                self.service = Service('pool', '/', 100, None, 99.0, limit)
                self.granter._buckets.clear()
                self.cold.note_entry('a', 99.0)
                self.now += 5.0
                times = self.list_grants(10.0)
                window_s = 1.0 + PERMIT_VALID_S + 0.15
                most = max(
                    sum(at <= other < at + window_s for other in times) for at in times
                )
                unasked = count_unasked_nodes(limit)
                self.assertLessEqual(most + unasked, 1.5 * limit + 5)
                used = len(times) / 10.0 + unasked / UNASKED_INTERVAL_S
                self.assertLessEqual(used, limit * 1.05 + 0.2)
                self.assertGreaterEqual(used, limit * 0.95 - 0.2)

    @given(strategies.floats(0.01, 10_000.0))
    def test_parts_of_a_limit_add_up(self, limit):
        unasked = count_unasked_nodes(limit)
        rate = find_granted_rate(limit)
        self.assertAlmostEqual(rate + unasked / UNASKED_INTERVAL_S, limit)
        self.assertGreater(rate, limit / 2)


class UnaskedSendsTest(unittest.TestCase):
    """Nodes that send to a cold instance without asking."""

    def setUp(self):
        self.now = 100.0
        self.names = [f'n{number}' for number in range(74)]
        self.settled = True

    def build(self, me, names):
        unasked = UnaskedSends(me, lambda: self.now, lambda: 0.0)
        unasked.may_send = lambda: self.settled
        unasked.note_nodes(names)
        return unasked

    def count(self, known):
        """Return how many nodes take a request for one instance at once."""
        return sum(
            self.build(name, known(name)).take('a', LIMIT) for name in self.names
        )

    def test_a_fixed_number_of_nodes_may(self):
        self.assertEqual(count_unasked_nodes(LIMIT), 11)
        self.assertEqual(self.count(lambda name: self.names), 11)

    def test_instances_have_different_nodes(self):
        unasked = self.build('n1', self.names)
        count = sum(unasked.take(f'i{number}', LIMIT) for number in range(300))
        self.assertTrue(20 < count < 75, count)

    def test_nodes_that_count_more_others_take_no_more(self):
        """A node counts others for some time after they were listed."""
        gone = [f'gone{number}' for number in range(20)]
        count = self.count(lambda name: [*self.names, *gone[: int(name[1:]) % 20]])
        self.assertLessEqual(count, 11)

    def test_node_that_may_not_send_takes_none(self):
        """Guards against nodes that start at once and don't know each other."""
        self.settled = False
        self.assertEqual(self.count(lambda name: [name]), 0)

    def test_node_takes_one_at_a_time(self):
        unasked = self.build('n1', ['n1'])
        self.assertTrue(unasked.take('a', LIMIT))
        self.now += UNASKED_INTERVAL_S - 0.01
        self.assertFalse(unasked.take('a', LIMIT))
        self.now += 0.02
        self.assertTrue(unasked.take('a', LIMIT))

    def test_small_limits_are_left_to_the_leader(self):
        self.assertFalse(self.build('n1', ['n1']).take('a', 1.0))

    def test_change_of_the_nodes_counts(self):
        """A node that is no longer listed still has its place for some time."""
        unasked = self.build('n1', ['n1'])
        first = next(
            name
            for name in (f'i{number}' for number in range(300))
            if not self.build('n1', self.names).take(name, LIMIT)
        )
        self.assertTrue(unasked.find_next_at(first, LIMIT) <= self.now)
        unasked.note_nodes(self.names)
        self.assertEqual(unasked.find_next_at(first, LIMIT), float('inf'))
        self.now += COUNTED_S
        unasked.note_nodes(['n1'])
        self.assertEqual(unasked.find_next_at(first, LIMIT), float('inf'))
        self.now += 0.1
        unasked.note_nodes(['n1'])
        self.assertLessEqual(unasked.find_next_at(first, LIMIT), self.now)


class ListedNode:
    """A node that starts, is cut off and ends, with its knowledge of the others.

    :param lists: what the store listed, by time.
    :param waits: whether the node waits until it is listed for long enough.
    """

    def __init__(self, name, now, lists, *, waits):
        self.name = name
        self.now = now
        self.lists = lists
        self.cut_at = None
        self.lease_until = now + LEASE_S
        self.unasked = UnaskedSends(name, lambda: self.now, self.find_age_s)
        if not waits:
            self.unasked.may_send = lambda: True

    def find_age_s(self):
        return 0.0 if self.cut_at is None else self.now - self.cut_at

    def step(self, now):
        """Learn what the store listed 2 s ago, or 2 s before this node was cut off."""
        self.now = now
        if self.cut_at is None:
            self.lease_until = now + LEASE_S
        if now < self.lease_until:
            self.unasked.note_listed()
        known_at = (now if self.cut_at is None else self.cut_at) - LIST_LAG_S
        self.unasked.note_nodes(self.lists.get(known_at, ()))


class ChosenNodesTest(unittest.TestCase):
    """No more nodes than chosen send without asking, whatever each knows of the others.

    Nodes of new and old names start, end and are cut off at random.
    """

    def play(self, seed, *, waits=True):
        """Return the most requests without permits in a second, for one instance."""
        choice = random.Random(seed)
        lists, nodes, leases, takes = {}, {}, {}, []
        step_s = 0.25
        for number in range(1200):
            now = 1000.0 + step_s * number
            if choice.random() < 0.08 or not nodes:
                name = f'n{choice.randrange(30)}'
                nodes[name] = ListedNode(name, now, lists, waits=waits)
            if choice.random() < 0.05:
                nodes.pop(choice.choice(sorted(nodes)), None)
            for node in nodes.values():
                if choice.random() < 0.01:
                    node.cut_at = now if node.cut_at is None else None
                node.step(now)
                leases[node.name] = node.lease_until
                if node.unasked.take('a', 6.0):
                    takes.append(now)
            lists[now] = [name for name, until in leases.items() if until > now]
        self.assertGreater(len(takes), 20)
        return max(sum(at <= other < at + 1.0 for other in takes) for at in takes)

    def test_chosen_nodes_are_never_more(self):
        most = max(self.play(seed) for seed in range(20))
        self.assertEqual(most, count_unasked_nodes(6.0))

    def test_check_fails_if_nodes_send_right_after_their_start(self):
        most = max(self.play(seed, waits=False) for seed in range(20))
        self.assertGreater(most, count_unasked_nodes(6.0))


class ColdPermitsTest(ColdTestCase):
    """Requests of a node to a cold instance."""

    def setUp(self):
        super().setUp()
        self.leader = 'n2'
        self.heard = True
        self.told = []
        granter = SendGranter(
            self.limits, lambda: 1, lambda: self.now, lambda: 0.0, self.cold
        )
        self.unasked = UnaskedSends('n1', lambda: self.now, lambda: 0.0)
        self.unasked.may_send = lambda: self.settled
        self.settled = False
        self.unasked.note_nodes(['n1'])
        self.permits = SendPermits(
            'n1',
            self.limits,
            granter,
            lambda: self.leader,
            lambda: self.now,
            lambda message, node: self.told.append((message, node)),
            cold=self.cold,
            unasked=self.unasked,
            hears_leader=lambda: self.heard,
        )
        for name in ('a', 'b'):
            self.cold.note_entry(name, 3.0)

    def take(self, instance='a', answer=None):
        """Request a permit; the leader gives the answer, or none for ``None``."""

        async def run():
            found = []

            async def take():
                found.append(await self.permits.take(instance))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(take)
                await anyio.lowlevel.checkpoint()
                if answer is not None:
                    asked, _ = self.told[-1]
                    self.permits.take_answer(SendReply('n2', asked.number, *answer))
            return found[0]

        return anyio.run(run)

    def test_permit_is_requested_of_the_leader(self):
        permit = self.take('a', (True, 0.0))
        self.assertEqual(permit, Permit('a', self.now + PERMIT_VALID_S))
        message, leader = self.told[0]
        self.assertEqual((leader, message.instance), ('n2', 'a'))
        self.assertIsNone(message.limit)
        self.assertEqual(message.cold, ('a', 3.0))

    def test_denied_request_goes_elsewhere(self):
        self.assertIsNone(self.take('a', (False, 0.1)))
        self.assertTrue(self.permits.is_closed('a'))
        self.assertFalse(self.permits.is_closed('b'))

    def test_instance_is_open_when_it_is_warm(self):
        self.take('a', (False, 9.0))
        self.now += 3.0
        self.assertFalse(self.permits.is_closed('a'))
        self.assertTrue(self.permits.allows('a', Permit('a')))

    def test_request_without_a_permit_is_withheld_if_the_instance_became_cold(self):
        """Connecting takes up to a second, in which the entry may arrive."""
        self.cold.note_entry('a', 0.0)
        permit = self.take('a')
        self.assertTrue(self.permits.allows('a', permit))
        self.cold.note_entry('a', 3.0)
        self.assertFalse(self.permits.allows('a', permit))

    def test_node_sends_without_asking_and_without_a_leader(self):
        self.settled = True
        self.leader = ''
        permit = self.take()
        self.assertEqual(self.told, [])
        self.assertTrue(self.permits.allows('a', permit))
        self.now += PERMIT_VALID_S + 0.01
        self.assertFalse(self.permits.allows('a', permit))
        self.assertIsNone(self.take())
        self.assertTrue(self.permits.are_closed(['a'], self.now + 0.2))
        self.now += UNASKED_INTERVAL_S
        self.assertFalse(self.permits.is_closed('a'))

    def test_lower_limit_of_the_instance_itself_needs_permits(self):
        self.settled = True
        self.limits.note_answer('a', 1.0)
        self.assertIsNone(self.take('a', (False, 1.0)))
        self.assertEqual(len(self.told), 1)

    def test_silent_leader_is_asked_once_for_all_instances(self):
        """Guards against a wait at each of many cold instances."""
        self.assertEqual(self.permits.find_timeout_s('a'), COLD_ANSWER_TIMEOUT_S)
        self.assertIsNone(self.take('a'))
        self.assertTrue(self.permits.is_closed('a'))
        self.assertTrue(self.permits.is_closed('b'))
        self.assertIsNone(self.take('b'))
        self.assertEqual(len(self.told), 1)
        self.now += COLD_UNANSWERED_RETRY_S
        self.assertFalse(self.permits.is_closed('b'))

    def test_new_leader_is_asked_at_once(self):
        self.take('a')
        self.leader = 'n3'
        self.assertFalse(self.permits.is_closed('a'))

    def test_leader_that_is_not_heard_from_is_not_waited_for(self):
        self.heard = False
        self.assertEqual(self.permits.find_timeout_s('a'), 0.0)
        self.leader, self.heard = '', True
        self.assertEqual(self.permits.find_timeout_s('a'), 0.0)

    def test_late_permit_is_used_by_the_next_request(self):
        """Guards against a slow leader whose grants all come too late."""
        self.assertIsNone(self.take('a'))
        asked, _ = self.told[-1]
        asked_at = self.now
        self.now += 0.1
        self.permits.take_answer(SendReply('n2', asked.number, True))
        self.assertFalse(self.permits.is_closed('a'))
        self.assertFalse(self.permits.is_closed('b'))
        permit = self.take('a')
        self.assertEqual(permit, Permit('a', asked_at + PERMIT_VALID_S))
        self.assertIsNone(self.take('a', (False, 1.0)))
        self.assertEqual(len(self.told), 2)

    def test_late_permit_is_not_used_when_it_is_over(self):
        self.assertIsNone(self.take('a'))
        asked, _ = self.told[-1]
        self.permits.take_answer(SendReply('n2', asked.number, True))
        self.now += PERMIT_VALID_S + 0.01
        self.assertIsNone(self.take('a', (False, 1.0)))

    def test_late_denial_counts(self):
        self.assertIsNone(self.take('a'))
        asked, _ = self.told[-1]
        self.permits.take_answer(SendReply('n2', asked.number, False, 0.7))
        self.assertTrue(self.permits.is_closed('a'))
        self.assertFalse(self.permits.is_closed('b'))

    def test_leader_that_did_not_know_grants_within_the_limit(self):
        """A node may know sooner than the leader that an instance is cold."""
        self.cold.note_entry('a', 0.0)
        self.assertTrue(self.permits.granter.decide('a').granted)
        for number in range(50):
            self.permits.answer(SendRequest('n3', number, None, ('a', 3.0)))
        granted = sum(message.granted for message, _ in self.told)
        self.assertLessEqual(granted, 1)


#: Heads in the zone that becomes cold, and in both others: in each zone of 54 instances
#: there are 11 groups of 2 and 4 groups of 8.
COLD = [f'h{number}' for number in range(15)]
WARM = [f'h{number}' for number in range(15, 45)]
NODES = 74
RATE = 220.0


class ColdZoneTest(unittest.TestCase):
    """54 of 162 instances become cold at once; 74 nodes get 220 requests a second."""

    def build(self, seed, **options):
        """Return nodes whose zone serves again, 2 s before its instances are warm."""
        fleet = SimulatedColdFleet(NODES, len(COLD) + len(WARM), seed=seed, **options)
        fleet.play(2.0, RATE, WARM)
        fleet.make_cold(COLD)
        fleet.play(1.0, RATE, WARM)
        return fleet

    def test_callers_lose_next_to_nothing(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet = self.build(seed)
                start = fleet.now
                fleet.play(2.0, RATE)
                requests = fleet.list_requests(start, start + 2.0)
                self.assertFalse([item for item in requests if item[2] is None])
                self.assertLess(max(item[1] for item in requests), 0.02)
                self.assertLessEqual(fleet.find_most(COLD, start, fleet.now), BOUND)
                # Cold heads serve as many requests as the others.
                cold = fleet.measure_rate(COLD, start, fleet.now)
                self.assertGreater(cold, 4.0)
                self.assertLess(fleet.outcomes.count('denied'), 15)

    def test_cold_heads_serve_while_no_leader_answers(self):
        """Without requests that need no permit, they get nothing."""
        for heard_s in (0.0, 0.6):
            with self.subTest(heard_s=heard_s):
                fleet = self.build(1)
                fleet.lose_leader(heard_s)
                start = fleet.now
                fleet.play(2.0, RATE)
                requests = fleet.list_requests(start, start + 2.0)
                self.assertFalse([item for item in requests if item[2] is None])
                longest_s = max(item[1] for item in requests)
                self.assertLess(longest_s, COLD_ANSWER_TIMEOUT_S + 0.01)
                late = sum(item[1] > 0.02 for item in requests)
                self.assertLess(late, 0.2 * len(requests) if heard_s else 1)
                self.assertGreater(fleet.measure_rate(COLD, start, fleet.now), 2.0)
                fleet.elect('n5')
                fleet.play(2.0, RATE)
                self.assertLessEqual(fleet.find_most(COLD, start, fleet.now), BOUND)


class ShortAnswersTest(unittest.TestCase):
    """Requests of 0.1 s, so that a few cold heads could be sent far too many."""

    def play(self, **options):
        fleet = SimulatedColdFleet(NODES, 12, service_s=0.1, **options)
        cold = COLD[:4]
        fleet.play(1.0, RATE)
        fleet.make_cold(cold)
        fleet.play(1.0, RATE)
        return fleet, cold

    def test_bound_holds_and_the_rest_goes_elsewhere(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet, cold = self.play(seed=seed)
                start = fleet.now
                fleet.play(2.0, 3 * RATE)
                self.assertLessEqual(fleet.find_most(cold, start, fleet.now), BOUND)
                used = fleet.measure_rate(cold, start, fleet.now)
                self.assertGreater(used, 0.5 * LIMIT)
                others = fleet.measure_rate(COLD[4:12], start, fleet.now)
                self.assertGreater(others, 2 * LIMIT)
                requests = fleet.list_requests(start, fleet.now)
                refused = sum(item[2] is None for item in requests)
                self.assertLess(refused, 0.01 * len(requests))

    def test_load_rises_again_when_the_instances_are_warm(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet, cold = self.play(seed=seed)
                start = fleet.now
                fleet.play(2.0, RATE, cold)
                end = fleet.now
                self.assertLessEqual(fleet.find_most(cold, start, end), BOUND)
                used = fleet.measure_rate(cold, start, end)
                self.assertGreater(used, 0.8 * LIMIT)
                self.assertLess(used, 1.1 * LIMIT)
                fleet.advance(2.0)
                start = fleet.now
                fleet.play(2.0, RATE, cold)
                warm = fleet.measure_rate(cold, start, fleet.now)
                self.assertGreater(warm, 2 * LIMIT)
                refused = [
                    item
                    for item in fleet.list_requests(start, fleet.now)
                    if item[2] is None
                ]
                self.assertEqual(refused, [])

    def test_bound_holds_over_changes_of_the_leader(self):
        """A new leader does not know what the previous one has granted."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet = SimulatedColdFleet(NODES, 2, service_s=0.02, seed=seed)
                fleet.make_cold(['h0', 'h1'], 20.0)
                fleet.advance(2.0)
                start = fleet.now
                for name in ('n5', 'n6', 'n7', 'n8'):
                    fleet.play(1.0, 4 * RATE)
                    fleet.lose_leader()
                    fleet.play(0.5, 4 * RATE)
                    fleet.elect(name)
                most = fleet.find_most(['h0', 'h1'], start, fleet.now)
                self.assertLessEqual(most, BOUND)

    def test_check_fails_where_nothing_limits_the_requests(self):
        fleet, cold = self.play(seed=1, enforces=False)
        start = fleet.now
        fleet.play(2.0, RATE, cold)
        self.assertGreater(fleet.find_most(cold, start, fleet.now), BOUND)


if __name__ == '__main__':
    unittest.main()
