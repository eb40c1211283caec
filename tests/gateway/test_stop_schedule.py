"""Which requests a node that stops still begins."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.gateway.attempts import refuse_unexecuted, stops_too_soon
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.stop_schedule import OPEN_S, RETRY_AFTER_S, StopSchedule
from coursepitch.http import IncomingRequest

NOW = 100.0
STOP_S = 7.6


def build_stop(began_at=NOW):
    """Return the schedule of a stop that began at a time."""
    stop = StopSchedule()
    stop.begin(began_at, began_at + STOP_S)
    return stop


def build_route(timeout_s=8.0, repeatable=True):
    """Return a route."""
    backends = (SimpleNamespace(service='s'),)
    return SimpleNamespace(
        timeout_s=timeout_s, objective_s=0.5, backends=backends, repeatable=repeatable
    )


class LatestStartTest(unittest.TestCase):
    """The time from which requests may not begin."""

    def test_node_that_does_not_stop_begins_all(self):
        stop = StopSchedule()
        for streamed in (True, False):
            found = stop.find_latest_start(build_route(), 8.0, streamed=streamed)
            self.assertEqual(found, float('inf'))

    # Guards against streams that are begun and broken off at the end of a stop.
    @given(st.floats(0.0, STOP_S), st.floats(0.0, 60.0))
    def test_stream_that_begins_late_has_all_its_time(self, after_s, timeout_s):
        stop, now = build_stop(), NOW + after_s
        latest_at = stop.find_latest_start(build_route(), timeout_s, streamed=True)
        if now >= NOW + OPEN_S and now < latest_at:
            self.assertLess(now + timeout_s, stop.end_at)

    def test_request_begins_as_long_as_the_balancer_may_send_some(self):
        stop = build_stop()
        for streamed in (True, False):
            found = stop.find_latest_start(build_route(), 60.0, streamed=streamed)
            self.assertGreaterEqual(found, NOW + OPEN_S)

    # Guards against short calls that are refused for their long deadline.
    def test_call_begins_while_its_usual_time_is_left(self):
        found = build_stop().find_latest_start(build_route(), 8.0, streamed=False)
        self.assertAlmostEqual(found, NOW + STOP_S - 1.0)

    # Guards against calls that run and are cut, which nobody may send again.
    def test_call_that_may_not_be_repeated_has_all_its_time(self):
        route = build_route(repeatable=False)
        for timeout_s, expected in ((8.0, OPEN_S), (3.0, STOP_S - 3.0)):
            found = build_stop().find_latest_start(route, timeout_s, streamed=False)
            self.assertAlmostEqual(found, NOW + expected)


class JobTest(unittest.TestCase):
    """Requests that are read, and may have waited since."""

    def build(self, began_at, **fields):
        components = SimpleNamespace(
            stop_schedule=build_stop(began_at), clock=lambda: NOW
        )
        job = SimpleNamespace(
            route=build_route(),
            deadline_at=NOW + 8.0,
            is_streamed=True,
            may_have_run=set(),
            last_reason='',
            **fields,
        )
        return components, job

    def test_stream_is_refused_late_in_a_stop(self):
        for after_s, expected in ((0.0, False), (2.4, False), (2.6, True), (7.0, True)):
            components, job = self.build(NOW - after_s)
            self.assertEqual(stops_too_soon(components, job), expected, after_s)

    # Guards against streams that are not resumed, as their node stops.
    def test_request_that_has_run_goes_on(self):
        components, job = self.build(NOW - 5.0)
        job.may_have_run.add('a')
        self.assertFalse(stops_too_soon(components, job))

    # Guards against clients that are kept away from nodes that serve.
    def test_refusal_tells_to_come_back_at_once(self):
        components, job = self.build(NOW - 5.0)
        refusal = refuse_unexecuted(components, job, lambda job: [], 0.7)
        self.assertEqual((refusal.status, refusal.retry_after_s), (503, RETRY_AFTER_S))
        self.assertIn('stops', refusal.reason)


class ReadLimitTest(unittest.TestCase):
    """Requests whose body still comes."""

    def find(self, began_at=NOW, route=None, engine=None, model=b'm', timeout=b'8000'):
        """Return the limit of a request that has no body yet."""
        stop = StopSchedule() if began_at is None else build_stop(began_at)
        table = SimpleNamespace(
            find_route=lambda host, path: route,
            services={'s': SimpleNamespace(engine=engine)},
        )
        gateway = SimpleNamespace(
            _stop=stop, _session=SimpleNamespace(view=SimpleNamespace(table=table))
        )
        headers = ((b'X-Request-Id', b'r'), (b'X-Model', model))
        if timeout:
            headers += ((b'X-Deadline-Ms', timeout),)
        head = IncomingRequest(b'POST', b'/x', headers, b'', NOW)
        return Gateway.find_read_limit(gateway, head)

    def test_node_that_does_not_stop_reads_on(self):
        self.assertEqual(self.find(None, build_route()).until, float('inf'))

    # Guards against bodies that are read although their stream can't begin.
    def test_body_of_a_stream_is_read_as_long_as_it_may_begin(self):
        for timeout, route, expected in (
            (b'8000', build_route(), NOW + OPEN_S),
            (b'2000', build_route(), NOW + STOP_S - 2.0),
            (b'8000', build_route(3.0), NOW + STOP_S - 3.0),
            (b'', build_route(), NOW + OPEN_S),
            (b'', None, NOW + OPEN_S),
        ):
            found = self.find(route=route, engine=object(), timeout=timeout)
            self.assertAlmostEqual(found.until, expected)

    def test_body_of_a_call_is_read_longer(self):
        found = self.find(route=build_route())
        self.assertAlmostEqual(found.until, NOW + STOP_S - 1.0)

    # Guards against bodies that are read although their call can't be whole in time.
    def test_body_of_a_call_that_may_not_be_repeated_is_read_as_that_of_a_stream(self):
        found = self.find(route=build_route(3.0, repeatable=False))
        self.assertAlmostEqual(found.until, NOW + STOP_S - 3.0)

    def test_refusal_names_the_request_and_when_to_come_back(self):
        headers = dict(self.find(route=build_route()).headers)
        self.assertEqual(headers[b'X-Request-Id'], b'r')
        self.assertEqual(float(headers[b'Retry-After']), RETRY_AFTER_S)


if __name__ == '__main__':
    unittest.main()
