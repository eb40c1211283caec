"""Freshness and lead, with a store that a test plays."""

from __future__ import annotations

import json
import unittest

import anyio

from coursepitch.fleet.messages import Heartbeat
from coursepitch.fleet.session import (
    CONFIRM_RETRY_S,
    LONGEST_RETRY_S,
    FleetSession,
)
from coursepitch.platform.kv import Conflict, Entry, Swapped, Unavailable
from tests.whole.platform_base import build_configuration

BOUND_S = 4.25


class FakeStore:
    """Answers transactions as it is told; ``delay_s`` passes before each answer."""

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
    """A node acts on a configuration only while a confirmation is young."""

    def setUp(self):
        self.store = FakeStore()
        clock = self.store.clock
        self.session = FleetSession('n1', self.store, BOUND_S, clock)
        self.session.view.take_configuration(write_configuration(1, 10))

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

    def test_node_hands_clients_on_before_it_stops_serving(self):
        self.confirm(Swapped(12))
        self.store.now += BOUND_S * 0.7
        self.assertTrue(self.session.is_fading())
        self.assertTrue(self.session.is_fresh())

    def test_age_counts_from_when_the_question_was_sent(self):
        self.store.delay_s = 3.0
        self.confirm(Swapped(12))
        self.assertAlmostEqual(self.session.confirmation_age_s, 3.0)

    def test_process_that_stood_still_is_not_fresh(self):
        self.confirm(Swapped(12))
        self.store.now += 60.0
        self.assertFalse(self.session.is_fresh())

    def test_no_answer_confirms_nothing(self):
        self.assertFalse(self.confirm(Unavailable('down')))
        self.assertFalse(self.session.is_fresh())

    def test_newer_configuration_in_the_answer_comes_into_force(self):
        newest = write_configuration(2, 20)
        self.assertTrue(self.confirm(Conflict(newest, (newest,))))
        self.assertEqual(self.session.view.table.version, 2)
        self.assertTrue(self.session.is_fresh())

    def test_newer_configuration_that_is_damaged_is_not_confirmed(self):
        damaged = Entry('op/config', '{', 20)
        self.assertFalse(self.confirm(Conflict(damaged, (damaged,))))
        self.assertFalse(self.session.is_fresh())

    def test_unknown_configuration_is_never_fresh(self):
        session = FleetSession('n2', self.store, BOUND_S, self.store.clock)
        self.store.answer = Swapped(1)
        anyio.run(session.confirm)
        self.assertFalse(session.is_fresh())


class PauseTest(unittest.TestCase):
    """How often the store is asked while it gives no answer."""

    def setUp(self):
        self.now = 100.0
        self.session = FleetSession('n1', None, BOUND_S, lambda: self.now)

    def pauses(self):
        return [self.session._find_pause(attempt) for attempt in range(5)]

    def test_node_that_hears_of_nobody_asks_often(self):
        self.assertEqual(self.pauses(), [CONFIRM_RETRY_S] * 5)

    def test_node_that_is_told_by_others_asks_less_and_less(self):
        self.session.book.take(Heartbeat('n2', 2))
        pauses = self.pauses()
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual((pauses[0], pauses[-1]), (CONFIRM_RETRY_S, LONGEST_RETRY_S))

    def test_followed_node_asks_often_for_all_while_nothing_is_confirmed(self):
        self.session.book.take(Heartbeat('n2', 2))
        self.session.is_followed = lambda: True
        self.assertEqual(self.pauses(), [CONFIRM_RETRY_S] * 5)
