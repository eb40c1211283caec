"""Relays that forward to one another what peers tell stop once all know of it."""

from __future__ import annotations

import unittest
from functools import partial
from unittest.mock import Mock

import anyio

from coursepitch.config.routes import Service
from coursepitch.errors import CodecError
from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.cold import ColdInstances
from coursepitch.fleet.lost import LossReporter
from coursepitch.fleet.messages import (
    MAX_HOPS,
    LimitReport,
    LostReport,
    NoticeReport,
    decode_message,
    encode_message,
)
from coursepitch.fleet.notices import InstanceNotices
from coursepitch.fleet.rate_limits import RateLimits
from coursepitch.platform.kv import Unavailable
from tests.fleet.builders import build_instance, build_view
from tests.fleet.test_notices import read_marks

#: Seconds that a message takes on a quiet link, and on busy ones.
DELAYS_S = (0.01, 0.3, 0.7, 1.5)

STEP_S = 0.01

#: Seconds until nothing may be sent any more, in messages one after another: a report
#: reaches all nodes over two links.
HOPS = 6


class DeafStore:
    """A store that is down."""

    async def transact(self, conditions, writes=()):
        return Unavailable('down')


class Relay:
    """What a node that relays knows of an instance."""

    def __init__(self, name, clock):
        self.name = name
        self.view = build_view([build_instance('i', born=5)], (), clock)
        self.limits = RateLimits(name, hash(name), clock)
        self.limits.is_watching = lambda: True
        self.backoffs = InstanceBackoffs(clock)
        self.notices = InstanceNotices(
            name, self.view, self.limits, self.backoffs, clock
        )
        self.notices.is_watching = lambda: True
        service = Service('pool', '/', 100, None, 3.0, 23.0)
        self.cold = ColdInstances(clock, lambda name: service)
        self.notices.note_cold = self.cold.note_told
        self.losses = LossReporter(name, DeafStore(), self.view, lambda: None)
        self.losses.is_watching = lambda: True

    def take(self, message):
        match message:
            case NoticeReport():
                self.notices.take_told(message)
            case LostReport():
                self.losses.take(message)
            case LimitReport():
                self.limits.take(message)


class HopsTest(unittest.TestCase):
    """A report tells how many nodes have forwarded it, after its sender's name."""

    def test_hops_are_decoded_as_they_were_encoded(self):
        for hops in (0, 1, MAX_HOPS):
            for message in (
                LostReport('n1', ('i',), hops=hops),
                NoticeReport('n1', (('i', 5),), hops=hops),
            ):
                with self.subTest(message):
                    self.assertEqual(decode_message(encode_message(message)), message)

    def test_malformed_hops_are_refused(self):
        for text in ('x', '-1', '1000', '9' * 5_000, '1.0'):
            for build in (LostReport, NoticeReport):
                with self.subTest(text, build=build), self.assertRaises(CodecError):
                    decode_message(encode_message(build(f'n1\n{text}')))

    def test_report_with_as_many_hops_as_allowed_is_not_forwarded(self):
        for hops, count in ((MAX_HOPS, 0), (MAX_HOPS - 1, 2)):
            node = Relay('n1', lambda: 100.0)
            node.notices.tell = node.losses.tell = tell = Mock()
            node.take(NoticeReport('n2', (('i', 5),), hops=hops))
            node.take(LostReport('n2', ('i',), hops=hops))
            told = [call.args[0].hops for call in tell.call_args_list]
            self.assertEqual(told, [MAX_HOPS] * count)


class CirculationTest(unittest.TestCase):
    """Three nodes that are linked to one another, and messages that take their time.

    Guards against reports that go round for as long as links are slow.
    """

    def setUp(self):
        self.now = 100.0
        self.sent = 0
        self.due = []
        self.nodes = [Relay(name, lambda: self.now) for name in ('n1', 'n2', 'n3')]
        for node in self.nodes:
            tell = partial(self.send, node)
            node.notices.tell = node.losses.tell = node.limits.tell = tell

    def send(self, node, message, name):
        data = encode_message(message)
        for peer in self.nodes:
            if peer is not node and name in ('', peer.name):
                self.sent += 1
                self.due.append((self.now + self.delay_s, peer, data))

    def play(self, seconds):
        """Deliver messages as they are due; return how many were sent."""
        before = self.sent
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            due = [row for row in self.due if row[0] <= self.now]
            self.due = [row for row in self.due if row[0] > self.now]
            for _, peer, data in due:
                peer.take(decode_message(data))
            for node in self.nodes:
                node.view.sweep()
        return self.sent - before

    def check(self, begin):
        for self.delay_s in DELAYS_S:
            with self.subTest(self.delay_s):
                self.setUp()
                begin()
                self.play(HOPS * self.delay_s)
                self.assertEqual(self.play(5.0), 0)

    def answer(self, status, **headers):
        self.nodes[0].notices.take('i', 5, read_marks(status, **headers))

    def test_backoff(self):
        self.check(lambda: self.answer(503, retry_after='4'))

    def test_cold_instance(self):
        self.check(lambda: self.answer(200, x_cold_ms='2900'))

    def test_leaving_instance(self):
        self.check(lambda: self.answer(200, server_leaving='1'))

    def test_rate_limit(self):
        self.check(lambda: self.answer(200, server_limit='3'))

    def test_lost_instance(self):
        self.check(lambda: anyio.run(self.nodes[0].losses.report, 'i'))

    def test_lost_instance_that_answers_another_node(self):
        def begin():
            anyio.run(self.nodes[0].losses.report, 'i')
            self.play(self.delay_s + STEP_S)
            anyio.run(self.nodes[1].losses.clear, 'i')

        self.check(begin)


if __name__ == '__main__':
    unittest.main()
