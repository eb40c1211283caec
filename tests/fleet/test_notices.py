"""Tests of the notices in answers of instances."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from coursepitch.config.routes import Service
from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.cold import ColdInstances
from coursepitch.fleet.messages import NoticeReport, decode_message, encode_message
from coursepitch.fleet.notices import InstanceNotices
from coursepitch.fleet.rate_limits import RateLimits
from coursepitch.platform.headers import read_response_metadata
from tests.fleet.builders import build_instance, build_view


def read_marks(status, **headers):
    """Return the notices in an answer with these headers."""
    lines = tuple(
        (name.replace('_', '-').encode(), value.encode())
        for name, value in headers.items()
    )
    return read_response_metadata(status, lines)


class NoticesTest(unittest.TestCase):
    """A notice applies only to the run of the instance that sent the answer."""

    def setUp(self):
        self.view = build_view([build_instance('a', born=5)])
        self.counts = []
        limits = RateLimits('n1', 1, lambda: 100.0)
        self.now = 100.0
        self.backoffs = InstanceBackoffs(lambda: self.now)
        self.notices = InstanceNotices(
            'n1', self.view, limits, self.backoffs, lambda: self.now, self.counts.append
        )
        self.told = []
        self.notices.tell = lambda message, node: self.told.append((message, node))
        patcher = mock.patch('coursepitch.fleet.notices.log.emit')
        self.emit = patcher.start()
        self.addCleanup(patcher.stop)

    def test_backoff_is_logged_and_counted(self):
        self.notices.take('a', 5, read_marks(503, retry_after='2.5'))
        self.assertEqual(self.counts, ['backoff'])
        self.assertEqual(self.emit.call_args.kwargs['backoff_s'], 2.5)
        self.assertEqual(self.backoffs.find_left_s('a'), 2.5)

    def test_malformed_backoff_is_logged_once(self):
        for _ in range(3):
            self.notices.take('a', 5, read_marks(503, retry_after='soon'))
        self.assertEqual(self.counts, ['damaged'] * 3)
        self.emit.assert_called_once()
        self.assertEqual(self.emit.call_args.kwargs['value'], 'soon')
        self.assertFalse(self.backoffs.is_closed('a'))

    def test_leaving_is_sent_and_logged_once(self):
        for _ in range(3):
            self.notices.take('a', 5, read_marks(200, server_leaving='1'))
        self.assertEqual(self.counts, ['leaving'])
        fields = self.emit.call_args.kwargs
        self.assertEqual((fields['born'], fields['listed_leaving']), (5, False))
        self.assertEqual(self.told, [(NoticeReport('n1', (('a', 5),)), '')])

    def test_answer_of_another_instance_is_ignored(self):
        headers = {'server_leaving': '1', 'server_limit': '1'}
        self.notices.take('a', 5, read_marks(421, **headers))
        self.notices.take('a', 5, read_marks(421, x_replica_id='b', **headers))
        self.assertEqual(self.counts, [])
        self.assertIsNone(self.notices.limits.find('a'))

    def test_former_head_announces_that_it_is_leaving(self):
        self.notices.take('a', 5, read_marks(421, server_leaving='1', x_replica_id='a'))
        self.assertEqual(self.counts, ['leaving'])

    def test_late_answer_of_an_earlier_run_is_ignored(self):
        self.notices.take('a', 4, read_marks(503, retry_after='9', server_leaving='1'))
        self.assertEqual(self.counts, [])
        self.assertTrue(self.view.accepts_requests('a'))
        self.assertFalse(self.backoffs.is_closed('a'))

    def test_relay_forwards_new_notices(self):
        told = NoticeReport('n2', (('a', 5),))
        self.notices.take_told(told)
        self.notices.take_told(told)
        self.assertFalse(self.view.accepts_requests('a'))
        self.assertEqual((self.counts, self.told), (['leaving'], []))
        self.notices.is_watching = lambda: True
        more = NoticeReport('n2', (('a', 5), ('b', 7)))
        self.notices.take_told(more)
        self.assertEqual(self.told, [(NoticeReport('n1', (('b', 7),), hops=1), '')])

    def note_cold(self):
        """Let the node know which instances are cold; return that state."""
        service = Service('pool', '/', 100, None, 3.0, 23.0)
        cold = ColdInstances(lambda: self.now, lambda name: service)
        self.notices.note_cold = cold.note_told
        return cold

    def test_cold_instance_is_told_once(self):
        cold = self.note_cold()
        for left in ('3000', '2900', '0'):
            self.notices.take('a', 5, read_marks(200, x_cold_ms=left))
            self.now += 0.1
        self.assertEqual(cold.find_limit('a'), 23.0)
        told = NoticeReport('n1', cold=(('a', 5, 3.0),))
        self.assertEqual(self.told, [(told, '')])

    def test_relay_forwards_that_an_instance_is_cold(self):
        cold = self.note_cold()
        self.notices.is_watching = lambda: True
        rows = (('a', 4, 3.0), ('a', 5, 3.0), ('a', 5, 2.9), ('b', 7, 3.0))
        self.notices.take_told(NoticeReport('n2', cold=rows))
        told = NoticeReport('n1', cold=(('a', 5, 3.0),), hops=1)
        self.assertEqual(self.told, [(told, '')])
        self.assertIsNone(cold.find_limit('b'))

    def test_misdirected_answer_does_not_make_an_instance_cold(self):
        cold = self.note_cold()
        self.notices.take('a', 5, read_marks(421, x_cold_ms='3000'))
        self.assertIsNone(cold.find_limit('a'))

    def test_all_leaving_instances_are_sent_when_a_link_comes_up(self):
        self.notices.send_all('n5')
        self.assertEqual(self.told, [])
        self.notices.take_told(NoticeReport('n2', (('a', 5), ('b', 7))))
        self.notices.send_all('n5')
        self.assertEqual(self.told, [(NoticeReport('n1', (('a', 5), ('b', 7))), 'n5')])

    def test_message_is_decoded_as_it_was_encoded(self):
        for rows in (
            (),
            ((('a', 5),),),
            ((('a', 0), ('b', 1_769_994_961_810)), (('c', 1, 0.5),)),
        ):
            message = NoticeReport('n1', *rows)
            self.assertEqual(decode_message(encode_message(message)), message)
            message = replace(message, cold=(('d', 1, 2.5),))
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_backoff_is_sent_only_if_it_ends_later_than_the_known_one(self):
        for backoff_s in ('3', '0.4', '3'):
            self.notices.take('a', 5, read_marks(503, retry_after=backoff_s))
            self.now += 0.2
        self.assertEqual(self.told, [(NoticeReport('n1', (), (('a', 5, 3.0),)), '')])
        self.now += 0.2
        self.notices.take('a', 5, read_marks(503, retry_after='3'))
        self.assertEqual(len(self.told), 2)

    def test_short_backoff_is_not_sent(self):
        self.notices.take('a', 5, read_marks(503, retry_after='0.4'))
        self.assertEqual(self.told, [])

    def test_backoff_requested_from_a_peer_avoids_the_instance(self):
        avoided = []
        self.notices.avoid = lambda name, seconds: avoided.append((name, seconds))
        self.notices.is_watching = lambda: True
        rows = (('a', 5, 3.0), ('a', 5, 3.2), ('a', 4, 9.0), ('b', 7, 3.0))
        self.notices.take_told(NoticeReport('n2', (), rows))
        self.assertEqual(avoided, [('a', 3.0)])
        self.assertFalse(self.backoffs.is_closed('a'))
        told = NoticeReport('n1', (), (('a', 5, 3.0),), hops=1)
        self.assertEqual(self.told, [(told, '')])
