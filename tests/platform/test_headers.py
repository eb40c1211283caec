"""Tests of the metadata that targets send in response headers."""

from __future__ import annotations

import unittest

from hypothesis import given, strategies

from coursepitch.http.messages import IncomingRequest
from coursepitch.platform.headers import (
    ForwardFields,
    build_target_headers,
    read_request_fields,
    read_response_metadata,
)


def read_limit(*values):
    """Return the rate limit and the invalid value of a response."""
    headers = tuple((b'Server-Limit', value) for value in values)
    metadata = read_response_metadata(200, headers)
    return metadata.limit, metadata.invalid_limit


class PriorityHeaderTest(unittest.TestCase):
    """Only the node sets the priority of a request at its target."""

    def read_priorities(self, priority):
        sent = ((b'x-request-priority', b'0'), (b'X-Request-Priority', b'9'))
        fields = ForwardFields('i', 1.0, priority=priority)
        headers = build_target_headers(sent, fields)
        return [v for name, v in headers if name.lower() == b'x-request-priority']

    def test_priority_replaces_what_the_client_sent(self):
        self.assertEqual(self.read_priorities(0), [b'0'])
        self.assertEqual(self.read_priorities(2), [b'2'])

    def test_none_is_sent_without_one(self):
        self.assertEqual(self.read_priorities(None), [])


class LastEventHeaderTest(unittest.TestCase):
    """A target learns which events the client has already got."""

    def read_ids(self, *values, last_event=b''):
        sent = tuple((b'last-event-id', value) for value in values)
        fields = ForwardFields('i', 1.0, last_event=last_event)
        headers = build_target_headers(sent, fields)
        return [value for name, value in headers if name.lower() == b'last-event-id']

    # Guards against a continued request that begins anew, as its header is dropped.
    def test_header_of_the_client_is_forwarded_unchanged(self):
        for values in ([], [b''], [b'8'], [b'0'], [b'a b'], [b'x' * 200], [b'1', b'2']):
            with self.subTest(values=values):
                self.assertEqual(self.read_ids(*values), values)

    def test_last_event_of_an_earlier_run_replaces_it(self):
        self.assertEqual(self.read_ids(last_event=b'9'), [b'9'])
        self.assertEqual(self.read_ids(b'8', last_event=b'9'), [b'9'])
        self.assertEqual(self.read_ids(b'1', b'2', last_event=b'9'), [b'9'])

    # Guards against a stream that cannot go on after an id with white space around it.
    def test_white_space_around_an_id_is_removed(self):
        self.assertEqual(self.read_ids(last_event=b'\t9 0 '), [b'9 0'])


class LimitHeaderTest(unittest.TestCase):
    """Each value has one meaning."""

    def test_decimal_numbers_are_limits(self):
        for value, limit in (
            (b'1', 1.0),
            (b'1.2', 1.2),
            (b' 0.5 ', 0.5),
            (b'.5', 0.5),
            (b'3.', 3.0),
            (b'0', 0.0),
            (b'1' * 20, float('1' * 20)),
        ):
            with self.subTest(value=value):
                self.assertEqual(read_limit(value), (limit, None))

    def test_anything_else_is_invalid_and_no_limit(self):
        for value in (b'', b'-1', b'+1', b'nan', b'inf', b'1e3', b'1,5', b'1 2', b'.'):
            with self.subTest(value=value):
                self.assertEqual(read_limit(value), (None, value.decode()))

    def test_invalid_value_is_truncated(self):
        self.assertEqual(read_limit(b'9' * 1000), (None, '9' * 40))

    def test_lowest_of_several_limits_is_used(self):
        self.assertEqual(read_limit(b'2', b'1.5'), (1.5, None))
        self.assertEqual(read_limit(b'x', b'1.5'), (1.5, 'x'))

    def test_response_without_header_has_no_limit(self):
        self.assertEqual(read_limit(), (None, None))

    @given(strategies.binary(max_size=60))
    def test_any_bytes_are_parsed(self, value):
        limit, _ = read_limit(value)
        self.assertTrue(limit is None or 0 <= limit < float('inf'))


def read_retry_after(*values, status=503):
    """Return the back-off time and the invalid value of a response."""
    headers = tuple((b'Retry-After', value) for value in values)
    metadata = read_response_metadata(status, headers)
    return metadata.retry_after_s, metadata.invalid_retry_after


class RetryAfterHeaderTest(unittest.TestCase):
    """Each value has one meaning."""

    def test_fractional_seconds_are_accepted(self):
        for value, backoff_s in (
            (b'3', 3.0),
            (b' 0.25 ', 0.25),
            (b'0', 0.0),
            (b'.5', 0.5),
        ):
            with self.subTest(value=value):
                self.assertEqual(read_retry_after(value), (backoff_s, None))

    def test_longest_backoff_is_not_capped(self):
        self.assertEqual(read_retry_after(b'9' * 20), (float('9' * 20), None))

    def test_anything_else_is_invalid_and_no_backoff(self):
        date = b'Thu, 03 Dec 2026 09:00:00 GMT'
        for value in (
            b'',
            b'-1',
            b'+1',
            b'nan',
            b'inf',
            b'1e3',
            b'1,5',
            date,
            b'9' * 21,
        ):
            with self.subTest(value=value):
                self.assertEqual(read_retry_after(value), (None, value.decode()))

    def test_longest_of_several_times_is_used(self):
        self.assertEqual(read_retry_after(b'1', b'2.5', b'2'), (2.5, None))
        self.assertEqual(read_retry_after(b'x', b'1.5'), (1.5, 'x'))

    def test_only_429_and_503_request_a_backoff(self):
        for status in (200, 301, 421, 500, 502):
            with self.subTest(status=status):
                self.assertEqual(read_retry_after(b'3', status=status), (None, None))
        self.assertEqual(read_retry_after(b'3', status=429), (3.0, None))

    @given(strategies.binary(max_size=60))
    def test_any_bytes_are_parsed(self, value):
        backoff_s, _ = read_retry_after(value)
        self.assertTrue(backoff_s is None or 0 <= backoff_s < float('inf'))


class LeavingHeaderTest(unittest.TestCase):
    """Only the value 1 announces a shutdown, with any status."""

    def test_only_the_value_1_announces_leaving(self):
        for value, leaving in (
            (b'1', True),
            (b' 1 ', True),
            (b'0', False),
            (b'', False),
        ):
            with self.subTest(value=value):
                metadata = read_response_metadata(200, ((b'server-leaving', value),))
                self.assertIs(metadata.leaving, leaving)

    def test_leaving_is_announced_with_any_status(self):
        for status in (200, 404, 421, 429, 500, 503):
            metadata = read_response_metadata(status, ((b'Server-Leaving', b'1'),))
            self.assertTrue(metadata.leaving)


class ColdHeaderTest(unittest.TestCase):
    """The time until a target is warm."""

    def test_milliseconds_are_read(self):
        for values, left_s in (
            ((b'3000',), 3.0),
            ((b'0',), 0.0),
            ((b'1200', b'900'), 1.2),
            ((b'soon', b'900'), 0.9),
            ((b'soon',), None),
            ((b'-1',), None),
            ((), None),
        ):
            with self.subTest(values=values):
                headers = tuple((b'X-Cold-Ms', value) for value in values)
                found = read_response_metadata(200, headers).cold_left_s
                self.assertEqual(found, left_s)


class NumberTest(unittest.TestCase):
    """Numbers of clients."""

    # Guards against requests whose reading raises, so that they get no answer.
    def test_numbers_of_tokens_that_no_request_has_count_as_none(self):
        for value in (b'inf', b'-inf', b'nan', b'1e999', b'1e308', b'1e10', b'x', b''):
            with self.subTest(value):
                headers = (
                    (b'X-Token-Usage', value + b',' + value),
                    (b'X-Length-Hint', value),
                    (b'X-Deadline-Ms', value),
                )
                request = IncomingRequest(b'POST', b'/', headers, b'', 0.0, b'')
                fields = read_request_fields(request)
                found = (
                    fields.prompt_tokens,
                    fields.answer_tokens,
                    fields.expected_tokens,
                )
                self.assertEqual(found, (0, 0, 0))


class PromptPartsTest(unittest.TestCase):
    """Ids of the parts of a prompt."""

    def read(self, value):
        headers = ((b'X-Prompt-Prefix', value),)
        request = IncomingRequest(b'POST', b'/', headers, b'', 0.0, b'')
        return read_request_fields(request).prompt_parts

    def test_ids_are_read_in_order(self):
        self.assertEqual(
            self.read(b'5c1e07a2:800, 91BD3f06:410,e4402b7d:250'),
            ('5c1e07a2', '91bd3f06', 'e4402b7d'),
        )

    def test_malformed_parts_and_repeats_are_left_out(self):
        self.assertEqual(self.read(b''), ())
        self.assertEqual(self.read(b'a:1,,b,c:x,zz:1,d:2,a:3,:4,e:1x'), ('a', 'd'))

    @given(strategies.binary(max_size=200))
    def test_any_value_is_read(self, value):
        for name in self.read(value):
            int(name, 16)
