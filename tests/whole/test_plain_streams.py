"""Streams of a service without groups, which are forwarded as they come."""

from __future__ import annotations

import threading

from tests.whole.platform_base import build_configuration
from tests.whole.test_broken_off import FRAMINGS, BrokenOffCase

#: Events that an instance sends before it stands still: half of a stream.
EVENTS = 40


class PlainStreamTest(BrokenOffCase):
    """Streams that may be resumed, and that may not, of the same plain service."""

    nodes = ('n1',)
    events = EVENTS
    whole = list(range(1, EVENTS + 1))

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with these routes."""
        routes = build_configuration()['routes']
        plain = {**routes[0], 'service': 'api'}
        resumed = {'name': 'resumed', 'path_prefix': '/events/'}
        fixed = {
            'name': 'fixed',
            'path_prefix': '/events/fixed/',
            'resumable': False,
            'max_attempts': 1,
        }
        more = [{**plain, **changes} for changes in (resumed, fixed)]
        super(BrokenOffCase, cls).configure(routes=[*routes, *more], **fields)

    def setUp(self):
        """Begin with instances that all answer."""
        self.addCleanup(self.control, 'api', '/pause', instances=[], for_s=0.0)
        self.control('api', '/fault', mode='none')

    def find_instances(self, request):
        """Return the instances that ran a request."""
        return [
            name
            for name, item in self.stats('api').items()
            if any(run['request'] == request for run in item['runs'])
        ]

    # Guards against streams that are buffered until their end, or their deadline.
    def test_events_come_before_the_stream_ends(self):
        self.control('api', '/fault', mode='still')
        self.addCleanup(self.control, 'api', '/fault', mode='none')
        for path in ('/events/x', '/events/fixed/x'):
            with self.subTest(path=path):
                came = threading.Event()
                headers = {'X-Deadline-Ms': '3000'}
                ids, complete = self.read_unframed(
                    path, f'early-{path}', came.set, **headers
                )
                self.assertTrue(came.is_set())
                self.assertEqual(ids, self.whole[: len(ids)])
                self.assertGreaterEqual(len(ids), EVENTS // 2 - 1)
                self.assertFalse(complete)

    def test_stream_is_whole_however_it_is_framed(self):
        for framing in FRAMINGS:
            self.control('api', '/fault', mode='none', framing=framing)
            for path in ('/events/x', '/events/fixed/x'):
                with self.subTest(framing=framing, path=path):
                    found = self.read_stream(path, f'whole-{framing}-{path}')
                    self.assertEqual(found, (self.whole, True))

    # Guards against a stream that begins anew, or ends, as its instance breaks it off.
    def test_stream_that_is_broken_off_goes_on_at_another_instance(self):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                request = f'goes-on-{framing}'

                def break_off(request=request, framing=framing):
                    (name,) = self.find_instances(request)
                    self.break_off([name], 'api', framing=framing)

                self.control('api', '/fault', mode='none', framing=framing)
                found = self.read_stream('/events/x', request, break_off)
                self.assertEqual(found, (self.whole, True))
                runs = self.find_runs(request)
                self.assertEqual(len(runs), 2)
                ids = [run['headers'].get('last-event-id') for run in runs]
                self.assertIn(str(EVENTS // 2 - 1), ids)

    # Guards against a second run of a stream that may run only once.
    def test_stream_that_may_not_be_resumed_runs_once_and_looks_broken_off(self):
        for framing in FRAMINGS:
            with self.subTest(framing=framing):
                self.break_off([], 'api', framing=framing)
                request = f'once-{framing}'
                ids, complete = self.read_stream('/events/fixed/x', request)
                self.assertEqual(ids, self.whole[: EVENTS // 2 - 1])
                self.assertFalse(complete)
                self.assertEqual(len(self.find_runs(request)), 1)

    # Guards against a stream that waits for an instance that is silent for good.
    def test_stream_of_a_silent_instance_goes_on_at_another_one(self):
        request = 'silent'

        def pause():
            instances = self.find_instances(request)
            self.control('api', '/pause', instances=instances, for_s=20.0)

        found = self.read_stream('/events/x', request, pause)
        self.assertEqual(found, (self.whole, True))
        self.assertEqual(len(self.find_runs(request)), 2)

    def test_stream_outlasts_a_silence_of_all_instances(self):
        request = 'all-silent'

        def pause():
            self.control('api', '/pause', instances=[], for_s=1.5)

        found = self.read_stream('/events/x', request, pause)
        self.assertEqual(found, (self.whole, True))

    def test_stream_of_an_instance_that_ends_goes_on_at_another_one(self):
        request = 'ended'

        def crash():
            self.control('api', '/crash', instances=self.find_instances(request))

        found = self.read_stream('/events/x', request, crash)
        self.assertEqual(found, (self.whole, True))
        self.assertEqual(len(self.find_runs(request)), 2)

    def test_stream_without_events_is_whole(self):
        for framing in ('length', 'chunks'):
            self.control('api', '/fault', mode='none', framing=framing)
            found = self.read_stream('/events/x?events=0', f'empty-{framing}')
            self.assertEqual(found, ([], True))
