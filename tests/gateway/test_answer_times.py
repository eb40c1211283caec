"""Sends that no instance can answer while the client waits."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

from coursepitch.config.routes import RouteKind
from coursepitch.gateway.answer_times import (
    MIN_ANSWERS,
    MIN_SILENT,
    RECENT_S,
    AnswerTimes,
)
from coursepitch.gateway.attempts import comes_too_late, is_futile
from coursepitch.gateway.job import Job
from coursepitch.platform.configuration import decode_configuration
from tests.whole.platform_base import build_configuration


class AnswerTimesTest(unittest.TestCase):
    """The fastest answer tells how long the way from the node takes."""

    def setUp(self):
        self.now = 100.0
        self.times = AnswerTimes(lambda: self.now)

    def answer(self, *seconds, instance='a'):
        """Let instances answer after some seconds each, one after the other."""
        for taken_s in seconds:
            pending = self.times.begin(instance)
            self.now += taken_s
            self.times.note_answer(pending)
            self.times.end(pending)

    def test_nothing_is_known_before_there_are_answers(self):
        self.assertEqual(self.times.find_shortest_s(), 0.0)

    def test_fastest_of_recent_answers_counts(self):
        self.answer(0.5, 0.2, 0.4)
        self.assertAlmostEqual(self.times.find_shortest_s(), 0.2)

    def test_few_answers_tell_nothing(self):
        self.answer(*[0.5] * (MIN_ANSWERS - 1))
        self.assertEqual(self.times.find_shortest_s(), 0.0)

    def test_old_answers_tell_nothing(self):
        self.answer(0.5, 0.5, 0.5)
        self.now += RECENT_S + 0.1
        self.assertEqual(self.times.find_shortest_s(), 0.0)

    def test_silence_of_one_instance_tells_nothing(self):
        for _ in range(10):
            self.times.begin('a')
        self.now += 5.0
        self.assertEqual(self.times.find_shortest_s(), 0.0)

    def test_silence_of_several_counts_from_the_send_to_the_last_of_them(self):
        for number in range(MIN_SILENT):
            self.times.begin(f'i{number}')
            self.now += 0.1
        self.now += 0.9
        self.assertAlmostEqual(self.times.find_shortest_s(), 1.0)

    # Guards against requests that are refused as a part of the instances has ended.
    def test_silence_of_a_part_of_the_instances_tells_nothing(self):
        for number in range(4):
            self.answer(0.1, instance=f'a{number}')
        for number in range(3):
            self.times.begin(f'i{number}')
        self.now += 1.0
        self.assertAlmostEqual(self.times.find_shortest_s(), 0.1)

    def test_answer_of_another_instance_ends_the_silence(self):
        for number in range(MIN_SILENT):
            self.times.begin(f'i{number}')
        self.now += 1.0
        self.answer(*[0.1] * MIN_ANSWERS, instance='b')
        self.assertAlmostEqual(self.times.find_shortest_s(), 0.1)

    def test_first_late_answers_do_not_hide_that_others_are_silent(self):
        first = self.times.begin('a')
        for number in range(MIN_ANSWERS):
            self.times.begin(f'i{number}')
        self.now += 1.8
        self.times.note_answer(first)
        self.times.end(first)
        self.now += 0.1
        self.assertAlmostEqual(self.times.find_shortest_s(), 1.8)

    def test_request_that_is_given_up_is_forgotten(self):
        pending = [self.times.begin(f'i{number}') for number in range(MIN_SILENT)]
        self.now += 1.0
        for item in pending:
            self.times.end(item)
        self.assertEqual(self.times.find_shortest_s(), 0.0)


class FutileSendTest(unittest.TestCase):
    """A request is not sent if its client leaves before any answer."""

    def check(self, left_s, shortest_s, *, futile):
        components = SimpleNamespace(
            clock=lambda: 100.0,
            answer_times=SimpleNamespace(find_shortest_s=lambda: shortest_s),
        )
        job = SimpleNamespace(awaited_until=100.0 + left_s, last_reason='')
        self.assertIs(is_futile(components, job), futile)
        self.assertEqual(job.last_reason, '')
        self.assertIs(comes_too_late(components, job), futile)
        self.assertIs(bool(job.last_reason), futile)

    def test_client_waits_for_longer(self):
        self.check(2.0, 1.8, futile=False)

    def test_client_leaves_before(self):
        self.check(1.0, 1.8, futile=True)

    def test_unknown_time_leaves_it_to_the_deadline(self):
        self.check(0.01, 0.0, futile=False)
        self.check(0.0, 0.0, futile=True)


class PatienceTest(unittest.TestCase):
    """Clients give a stream up after a pause, and wait for calls until the deadline."""

    def find_route(self, **changed):
        """Return the route of streams, with some fields of its entry changed."""
        data = build_configuration()
        data['routes'][0].update(changed)
        return self.decode(data).routes[0]

    def decode(self, data):
        return decode_configuration(json.dumps(data), 7)

    def test_patience_of_streams(self):
        for fields, expected in (
            ({'goal_ms': 300, 'gap_aim_ms': 200}, 2.0),
            ({'goal_ms': 1000, 'gap_aim_ms': 200}, 4.0),
            ({'goal_ms': 300, 'gap_aim_ms': 500}, 4.0),
        ):
            with self.subTest(fields):
                self.assertEqual(self.find_route(**fields).patience_s, expected)

    def test_calls_are_waited_for_until_the_deadline(self):
        routes = self.decode(build_configuration()).routes
        calls = [item for item in routes if item.kind is not RouteKind.STREAM]
        self.assertEqual({item.patience_s for item in calls}, {float('inf')})

    def build_job(self, **fields):
        incoming = SimpleNamespace(received_at=100.5, waited_s=0.5)
        route = self.find_route()
        return Job(incoming, None, None, route, None, None, 108.0, **fields)

    def test_patience_begins_when_the_request_can_have_come(self):
        self.assertEqual(self.build_job().awaited_until, 100.0 + 2.4)

    def test_patience_begins_anew_with_each_event(self):
        self.assertEqual(self.build_job(last_event_at=103.0).awaited_until, 103.0 + 2.4)

    def test_deadline_ends_it(self):
        self.assertEqual(self.build_job(last_event_at=107.0).awaited_until, 108.0)


if __name__ == '__main__':
    unittest.main()
