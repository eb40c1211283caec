"""Retries that nodes lend to one that started recently.

Guards against 503 for what an instance rejected while others have room: for 12 s after
its start a node had next to no share of the retry budget.
"""

from __future__ import annotations

import random
import time
import unittest
from types import SimpleNamespace

import anyio
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from coursepitch.fleet.messages import decode_message, encode_message
from coursepitch.fleet.retry_loans import (
    LINK_TIMEOUT_S,
    PEER_PAUSE_S,
    RetryLoans,
    RetryReply,
    RetryRequest,
)
from coursepitch.fleet.shares import FIRST_START_LAG_S
from coursepitch.gateway.attempts import Retry, obtain_retry
from coursepitch.gateway.stop_schedule import StopSchedule
from tests.gateway.builders import UNKNOWN_TIMES
from tests.gateway.simulated_budget import LendingFleet, Node, build_job

NAMES = [f'n{number}' for number in range(9)]


class StartingNodeTest(unittest.TestCase):
    """A node that starts beside nodes that have been there."""

    def setUp(self):
        random.seed(20)
        self.fleet = LendingFleet(NAMES)
        self.fleet.advance(30.0)

    def retry(self, name, count):
        return anyio.run(self.fleet.retry, name, count)

    def test_started_node_may_retry_as_its_peers_lend(self):
        for name in NAMES:
            self.fleet.request(name, 40)
        self.fleet.start('n5')
        self.fleet.request('n5', 20)
        # A third of its requests.
        self.assertEqual(self.retry('n5', 7), 7)

    def test_all_nodes_but_two_start_and_the_budget_is_kept(self):
        for name in NAMES:
            self.fleet.request(name, 40)
            self.retry(name, 100)
        for name in NAMES[2:]:
            self.fleet.start(name)
            self.fleet.request(name, 20)
            self.retry(name, 100)
        for name in NAMES[:2]:
            self.retry(name, 100)
        self.assertLessEqual(self.fleet.find_excess(), 0)

    def test_lender_keeps_half_of_its_share(self):
        alone = self.retry('n3', 1000)
        self.fleet.start('n5')
        self.retry('n5', 1000)
        for name in NAMES[:2]:
            self.assertGreaterEqual(self.retry(name, 1000), alone // 2 - 1)

    def test_lent_retries_count_as_the_lender_s_own(self):
        alone = self.retry('n3', 1000)
        self.fleet.start('n5')
        borrowed = self.retry('n5', 1000)
        kept = [self.retry(name, 1000) for name in NAMES[:2]]
        self.assertGreater(borrowed, alone // 2)
        # A node may round its share up, and the started one has a small share.
        self.assertLessEqual(borrowed + sum(kept), 2 * alone + 3)

    def test_node_that_started_itself_lends_nothing(self):
        for name in NAMES:
            self.fleet.start(name)
            self.fleet.request(name, 40)
        # Its own small share: 0.2 * 0.15 * 40, rounded up.
        self.assertLessEqual(self.retry('n5', 100), 2)

    def test_settled_node_borrows_nothing(self):
        self.retry('n5', 1000)
        before = self.retry('n0', 0)
        self.assertEqual(self.retry('n5', 1), 0)
        self.assertEqual(before, 0)
        self.assertEqual(self.fleet.nodes['n5'].session.loans._paused_until, {})

    def test_unreachable_peer_is_not_waited_for_again(self):
        self.fleet.start('n5')
        self.fleet.unreachable = set(NAMES) - {'n5'}
        began = time.monotonic()
        self.retry('n5', 50)
        self.assertLess(time.monotonic() - began, 2.0)


class ShareWaitTest(unittest.TestCase):
    """Requests wait for a share that takes effect shortly."""

    def obtain(self, deadline_s):
        """Let a node of a first start use up its share, and ask for one retry more."""
        node = Node('n1', time.monotonic)
        node.session.share.first_start = True
        node.update_listing(['n1'])
        node.take_retries()
        began = time.monotonic()
        job = build_job(deadline_at=began + deadline_s)
        found = anyio.run(obtain_retry, node.components, job)
        return found, time.monotonic() - began

    # Guards against 503 in the first second of the whole system.
    def test_request_waits_for_the_share_of_a_first_start(self):
        found, took_s = self.obtain(5 * FIRST_START_LAG_S)
        self.assertIs(found, Retry.LATER)
        self.assertLess(took_s, 1.5 * FIRST_START_LAG_S)

    def test_request_whose_deadline_comes_first_is_refused_at_once(self):
        found, took_s = self.obtain(FIRST_START_LAG_S)
        self.assertIs(found, Retry.DENIED)
        self.assertLess(took_s, 0.5 * FIRST_START_LAG_S)


class LateLoanTest(unittest.TestCase):
    """The share of a node takes effect while it asks its peers for a retry."""

    # Guards against an error that ends the request in place of another choice.
    def test_request_asks_again_at_once(self):
        now = [100.0]

        async def borrow(service, request):
            now[0] += 0.02
            return False

        session = SimpleNamespace(
            share=SimpleNamespace(find_settled_at=lambda: 100.01),
            loans=SimpleNamespace(borrow=borrow),
            find_share=lambda: None,
        )
        budget = SimpleNamespace(take=lambda service, part, request: False)
        components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            budget=budget,
            clock=lambda: now[0],
        )
        job = build_job(deadline_at=108.0)
        self.assertIs(anyio.run(obtain_retry, components, job), Retry.LATER)


class RetryLoansTest(unittest.TestCase):
    """Requests of one node for retries of its peers."""

    def setUp(self):
        self.now = 100.0
        self.peers = ['a', 'b']
        self.answers = {'a': True, 'b': True}
        self.asked = []
        self.outcomes = []
        self.loans = RetryLoans(
            'me', lambda: self.peers, lambda: True, lambda: self.now, self.tell
        )
        self.loans.count = self.outcomes.append

    def tell(self, message, node):
        self.asked.append(node)
        if node in self.answers:
            reply = RetryReply(node, message.number, self.answers[node])
            self.loans.take_answer(reply)

    def borrow(self):
        return anyio.run(self.loans.borrow, 'pool')

    def test_retry_is_borrowed_from_a_peer(self):
        self.assertTrue(self.borrow())
        self.assertEqual(self.outcomes, ['granted'])

    def test_next_peer_is_asked_after_a_denial_and_each_once(self):
        self.answers = {'a': False, 'b': False}
        self.assertFalse(self.borrow())
        self.assertEqual(sorted(self.asked), ['a', 'b'])
        self.assertEqual(self.outcomes, ['denied'])

    def test_peer_that_denied_is_not_asked_for_a_while(self):
        self.answers = {'a': False, 'b': False}
        self.borrow()
        self.asked.clear()
        self.assertFalse(self.borrow())
        self.assertEqual(self.asked, [])
        self.now += PEER_PAUSE_S
        self.answers = {'a': True, 'b': True}
        self.assertTrue(self.borrow())

    def test_silent_peer_is_passed_over(self):
        for silent in 'ab':
            self.answers = {name: True for name in 'ab' if name != silent}
            self.now += PEER_PAUSE_S
            self.assertTrue(self.borrow())

    def test_answer_that_comes_late_or_from_another_peer_is_ignored(self):
        self.answers = {}

        def tell(message, node):
            self.asked.append(message.number)
            other = 'b' if node == 'a' else 'a'
            self.loans.take_answer(RetryReply(other, message.number, True))

        self.loans.tell = tell
        self.assertFalse(self.borrow())
        for number in self.asked:
            self.loans.take_answer(RetryReply('a', number, True))
        self.now += PEER_PAUSE_S
        self.assertFalse(self.borrow())

    def test_node_waits_for_its_first_link(self):
        self.peers = []

        async def link():
            async with anyio.create_task_group() as group:
                group.start_soon(self.hear)
                return await self.loans.borrow('pool')

        self.assertTrue(anyio.run(link))

    async def hear(self):
        self.peers = ['a']
        self.loans.note_heard()

    def test_node_without_links_gives_up(self):
        self.peers = []
        began = time.monotonic()
        self.assertFalse(self.borrow())
        self.assertGreaterEqual(time.monotonic() - began, 0.9 * LINK_TIMEOUT_S)
        self.assertEqual(self.outcomes, ['no peer to ask'])

    def test_only_node_gives_up_at_once(self):
        self.peers = []
        self.loans.has_peers = lambda: False
        began = time.monotonic()
        self.assertFalse(self.borrow())
        self.assertLess(time.monotonic() - began, 0.5 * LINK_TIMEOUT_S)

    def test_messages_are_decoded_as_they_were_encoded(self):
        for message in (RetryRequest('a', 7, 'pool'), RetryReply('b', 7, True)):
            self.assertEqual(decode_message(encode_message(message)), message)


class LendingMachine(RuleBasedStateMachine):
    """Nodes start, end and retry; no window exceeds the budget."""

    @initialize(count=strategies.sampled_from([2, 3, 9, 40]))
    def build(self, count):
        random.seed(20)
        self.names = [f'n{number}' for number in range(count)]
        self.fleet = LendingFleet(self.names)
        self.fleet.advance(30.0)

    def choose(self, number, names):
        names = sorted(names)
        return names[number % len(names)]

    @rule(seconds=strategies.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @rule(number=strategies.integers(0, 99), share=strategies.sampled_from([1, 2, 8]))
    def start(self, number, share):
        for place in range(max(1, len(self.names) * share // 10)):
            self.fleet.start(self.choose(number + place, self.names))

    @precondition(lambda self: len(self.fleet.nodes) > 1)
    @rule(number=strategies.integers(0, 99))
    def kill(self, number):
        self.fleet.kill(self.choose(number, self.fleet.nodes))

    @rule(count=strategies.integers(1, 12))
    def request(self, count):
        for name in self.fleet.nodes:
            self.fleet.request(name, count)

    @rule(count=strategies.integers(1, 60))
    def retry(self, count):
        for name in sorted(self.fleet.nodes):
            anyio.run(self.fleet.retry, name, count)

    @invariant()
    def keeps_budget(self):
        if hasattr(self, 'fleet'):
            assert self.fleet.find_excess() <= 0


LendingMachineTest = LendingMachine.TestCase
LendingMachineTest.settings = settings(stateful_step_count=20, max_examples=30)


if __name__ == '__main__':
    unittest.main()
