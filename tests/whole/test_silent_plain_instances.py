"""Sound plain instances that fall silent for a moment, and what their clients get."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from tests.whole.platform_base import PlatformCase, build_configuration

#: Calls that are under way at once.
CALLS = 6

#: Seconds after which a call is tried at another instance: twice the ``goal_ms``.
OVERDUE_S = 1.0

#: Seconds for which an instance stands still that is of no use to a call.
LONG_S = 7.0


class SilentPlainInstancesCase(PlatformCase):
    """Routes of calls that may be repeated twice or more often, and that may not."""

    nodes = ('n1',)

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with these routes."""
        routes = build_configuration()['routes']
        again = next(route for route in routes if route['name'] == 'again')
        often = {'name': 'often', 'path_prefix': '/often/', 'max_attempts': 4}
        super().configure(routes=[*routes, {**again, **often}], **fields)

    def setUp(self):
        """Begin with instances that all answer."""
        self.addCleanup(self.pause, [], 0.0)
        self.addCleanup(self.control, 'api', '/fault', mode='none')

    def pause(self, instances, seconds):
        """Let plain instances stand still; none named: all."""
        self.control('api', '/pause', instances=instances, for_s=seconds)

    def begin(self, pool, path, request, method='GET'):
        """Send a request in the background; its result has the status and seconds."""

        def send():
            began = time.monotonic()
            reply = self.send('n1', method, path, request)
            return reply.status_code, time.monotonic() - began

        return pool.submit(send)

    def find_sends(self, request):
        """Return the instances that a request was sent to, in order."""
        events = self.running['n1'].read_events('request.sent')
        return [event['instance'] for event in events if event['request'] == request]

    def wait_for_sends(self, request, count):
        """Wait until a request was sent so often; return the instances."""
        return self.wait_for(
            lambda: len(found := self.find_sends(request)) >= count and found,
            f'{request} is sent {count} times',
        )

    def check_answered(self, path, seconds, method='GET'):
        """Check that calls sent while all instances stand still are answered."""
        name = self.id().rpartition('.')[2]
        requests = [f'{name}-{number}' for number in range(CALLS)]
        self.pause([], seconds)
        with ThreadPoolExecutor(CALLS) as pool:
            futures = [self.begin(pool, path, item, method) for item in requests]
        found = [future.result()[0] for future in futures]
        self.assertEqual(found, [200] * CALLS)
        return requests


class SilentPlainInstancesTest(SilentPlainInstancesCase):
    """Calls at plain instances that stand still and go on."""

    # Guards against the first run being abandoned for one that is silent for longer.
    def test_call_gets_the_answer_of_its_first_run_while_the_second_is_silent(self):
        request = 'silent-in-turn'
        self.pause([], OVERDUE_S * 1.8)
        with ThreadPoolExecutor(1) as pool:
            future = self.begin(pool, '/again/x', request)
            first, second = self.wait_for_sends(request, 2)
            self.pause([second], LONG_S)
            status, took_s = future.result()
        self.assertNotEqual(first, second)
        self.assertEqual(status, 200)
        self.assertLess(took_s, LONG_S)

    # Guards against the last allowed send being abandoned because of silence.
    def test_call_whose_instances_are_all_silent_is_answered_as_they_go_on(self):
        self.check_answered('/often/x', OVERDUE_S * 3.6)

    def test_call_that_must_not_be_repeated_waits_and_runs_once(self):
        requests = self.check_answered('/once/x', OVERDUE_S * 1.8, method='POST')
        self.assertEqual([len(self.find_runs(item)) for item in requests], [1] * CALLS)

    def test_call_at_an_instance_that_never_answers_is_answered_by_another(self):
        (silent, *_) = self.stats('api')
        self.control('api', '/fault', instances=[silent], mode='mute')
        requests = [f'mute-{number}' for number in range(CALLS)]
        # Calls that are in flight together go to all instances.
        self.pause([], 0.3)
        with ThreadPoolExecutor(CALLS) as pool:
            futures = [self.begin(pool, '/again/m', item) for item in requests]
        for request, future in zip(requests, futures, strict=True):
            with self.subTest(request=request):
                self.assertEqual(future.result()[0], 200)
                self.assertLessEqual(len(self.find_runs(request)), 2)
        self.assertIn(2, [len(self.find_runs(item)) for item in requests])


class NoRetryBudgetTest(SilentPlainInstancesCase):
    """Calls that may be repeated while the retry budget allows no repetition."""

    @classmethod
    def setUpClass(cls):
        """Start with a budget of no retries."""
        super().setUpClass()
        node = cls.running['n1']
        node.change_settings(
            'retry_ratio = 0.2\nretry_extra = 100', 'retry_ratio = 0\nretry_extra = 0'
        )
        cls.wait_for(
            lambda: node.read_events('node.settings_read'), 'the node has new settings'
        )

    # Guards against a run being abandoned before a retry is granted.
    def test_call_is_answered_after_a_silence_though_no_retry_is_granted(self):
        requests = self.check_answered('/again/b', OVERDUE_S * 1.8)
        self.assertEqual([len(self.find_runs(item)) for item in requests], [1] * CALLS)
