"""Slowness of instances, as observed by a node."""

from __future__ import annotations

import unittest

from coursepitch.gateway.load_tracker import LoadTracker
from coursepitch.gateway.router import Router
from tests.fleet.builders import build_instance, build_service, build_view


class SlownessTest(unittest.TestCase):
    """A slow instance is avoided at first and gets requests again later."""

    def setUp(self):
        self.now = 100.0
        self.load_tracker = LoadTracker(lambda: self.now)
        view = build_view([build_instance(name) for name in 'abc'])
        self.router = Router(view, self.load_tracker, None, 'a')
        self.load_tracker.note_success('a', 4.0)

    def send_for(self, seconds):
        """Send sequential requests; return how many go to the slow instance."""
        count = 0
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            name = self.router.choose_instance(build_service(), ()).name
            self.load_tracker.note_success(name, 0.5)
            count += name == 'a'
        return count

    def test_slow_instance_is_avoided_at_first(self):
        self.send_for(1.0)
        self.assertEqual(self.send_for(2.0), 0)

    def test_instance_gets_its_share_again_once_it_is_as_fast_as_others(self):
        self.send_for(30.0)
        self.assertGreater(self.send_for(30.0), 0.2 * 600)

    def test_instance_that_stays_slow_is_rarely_tried(self):
        self.send_for(1.0)
        tries = 0
        for _ in range(1200):
            self.now += 0.05
            name = self.router.choose_instance(build_service(), ()).name
            self.load_tracker.note_success(name, 4.0 if name == 'a' else 0.5)
            tries += name == 'a'
        self.assertLess(tries, 12)


class UnsampledInstanceTest(unittest.TestCase):
    """An instance that a node had no response from, beside others.

    Guards against an instance that some nodes pass over as long as the others are idle:
    one that named a limit for its first seconds got requests from few nodes, and
    afterwards none from the rest.
    """

    def test_instance_without_a_sample_gets_its_share(self):
        now = 100.0
        load_tracker = LoadTracker(lambda: now)
        view = build_view([build_instance(name) for name in 'abc'])
        router = Router(view, load_tracker, None, 'a')
        for name in 'bc':
            for _ in range(20):
                load_tracker.note_success(name, 0.5)
        count = 0
        for _ in range(300):
            now += 0.05
            name = router.choose_instance(build_service(), ()).name
            load_tracker.note_success(name, 0.5)
            count += name == 'a'
        self.assertGreater(count, 0.2 * 300)
