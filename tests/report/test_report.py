"""What became of requests, and why, from log lines."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from coursepitch.report import (
    Cause,
    collect_requests,
    draw_report,
    find_cause,
    sample_fleet,
    summarize,
    write_summary,
)
from coursepitch.timeline import read_log
from tests.report.builders import build_change, build_end, build_event, build_story


class CauseTest(unittest.TestCase):
    """Each way in which a request ends has its cause."""

    CASES = (
        (Cause.IN_TIME, {}),
        (Cause.LATE_ENGINE, {'first_s': 0.31}),
        (Cause.LATE_HELD, {'first_s': 0.31, 'held_s': 0.06}),
        (Cause.LATE_AGAIN, {'first_s': 0.31, 'loads': (1, 2)}),
        (Cause.PAUSE_ENGINE, {'pause_s': 0.21}),
        (Cause.PAUSE_RESUMED, {'pause_s': 0.21, 'resumed': 1}),
        (Cause.FAILED_THERE, {'status': 500}),
        (Cause.LEFT_WAITING, {'outcome': 'client left', 'held_s': None}),
        (Cause.LEFT_SILENT, {'outcome': 'client left', 'first_s': None}),
        (Cause.LEFT_MIDWAY, {'outcome': 'client left'}),
        (Cause.CUT, {'outcome': 'cut'}),
        (Cause.FAILED, {'outcome': 'unknown', 'status': 502}),
        (Cause.CLIENT, {'outcome': 'not run', 'status': 401}),
    )
    REFUSALS = (
        (Cause.NOT_CONFIRMED, 'the configuration is not confirmed'),
        (Cause.NOTHING_OPEN, 'no group is open'),
        (Cause.NOTHING_OPEN, 'no instance is there'),
        (Cause.FULL, 'all groups are full or were tried'),
        (Cause.BUDGET, 'the budget for second sends is used up'),
        (Cause.REFUSED, 'rejected with 503'),
    )

    def test_ways_to_end(self):
        for cause, changes in self.CASES:
            with self.subTest(cause.value):
                self.assertIs(find_cause(build_story(**changes)), cause)

    def test_refusals(self):
        for cause, reason in self.REFUSALS:
            with self.subTest(reason):
                story = build_story(outcome='not run', status=503, reason=reason)
                self.assertIs(find_cause(story), cause)


class StoryTest(unittest.TestCase):
    """The lines of a request become its story."""

    def test_sends_and_failures_belong_to_the_node_that_tells_them(self):
        entries = [
            build_end(at=3.0),
            build_event('request.sent', 1.0, request='r1', load=4),
            build_event('request.sent', 1.5, request='r1', load=7),
            build_event('request.sent', 1.5, 'n2', request='r1', load=9),
            build_event('request.attempt_failed', 1.4, request='r1', reason='cut'),
            build_event('request.resumed', 1.4, request='r1'),
        ]
        (story,) = collect_requests(entries)
        self.assertEqual(story.loads, (4, 7))
        self.assertEqual((story.failures, story.resumed), (('cut',), 1))

    def test_lines_of_an_older_version_have_no_times(self):
        entry = build_event('request.ended', request='r1', status=200, outcome='cut')
        (story,) = collect_requests([entry])
        self.assertIsNone(story.first_s)


class FleetTest(unittest.TestCase):
    """Groups and free instances over time."""

    def test_open_groups_and_free_instances(self):
        group = {'group': 'g1', 'models': ['large']}
        entries = [
            build_change('a', state='open', **group),
            build_change('b', state='ready', rank=1, **group),
            build_change('c'),
            build_change('e', state='joining', group='g2', models=[]),
            build_event('instance.gone', 5.0, instance='c'),
        ]
        samples = sample_fleet(entries)
        self.assertEqual(samples[0].open_groups, {'large': 1})
        self.assertEqual((samples[0].free, samples[0].forming), (1, 1))
        self.assertEqual(samples[-1].free, 0)

    def test_a_jump_of_the_clock_adds_no_samples(self):
        entries = [build_change('a', at=1.0), build_change('b', at=1e9)]
        self.assertLess(len(sample_fleet(entries)), 4)


class SummaryTest(unittest.TestCase):
    """Sums, text and page."""

    def setUp(self):
        stories = [
            build_story(),
            build_story(first_s=0.4),
            build_story(status=401, outcome='not run', model='<small>'),
            build_story(pause_s=0.5, model='<small>'),
        ]
        self.summary = summarize(stories)
        self.fleet = sample_fleet([build_change('a')])

    def test_what_the_client_spoilt_is_left_out(self):
        self.assertEqual(self.summary.requests, 3)
        self.assertEqual(self.summary.count(Cause.IN_TIME), 1)
        self.assertEqual(self.summary.by_cause[Cause.PAUSE_ENGINE, '<small>'], 1)

    def test_text_tells_causes_and_seconds(self):
        text = '\n'.join(write_summary(self.summary, self.fleet))
        self.assertIn('late: pause at the target', text)
        self.assertIn('3 tries of clients', text)

    def test_page_stands_alone_and_escapes(self):
        page = draw_report(self.summary, self.fleet)
        self.assertNotIn('<small>', page)
        self.assertNotIn('http', page)


class CollectedLogTest(unittest.TestCase):
    """Logs to which a collector put its own time."""

    def read(self, *lines):
        with tempfile.NamedTemporaryFile('w', suffix='.log') as file:
            file.write('\n'.join(lines))
            file.flush()
            return read_log(Path(file.name))

    def test_time_of_the_collector_is_taken(self):
        data = {'task_uuid': 't', 'task_level': [1], 'timestamp': 9.0}
        line = json.dumps({**data, 'message_type': 'e'})
        first, second, third = self.read(f' -1.5 n1 {line}', line, f'2.25 n1 {line}')
        self.assertEqual([first.at, second.at, third.at], [-1.5, -1.5, 2.25])

    def test_own_time_is_taken_without_one(self):
        data = {'task_uuid': 't', 'task_level': [1], 'timestamp': 9.0}
        (entry,) = self.read(json.dumps({**data, 'message_type': 'e'}))
        self.assertEqual(entry.at, 9.0)
