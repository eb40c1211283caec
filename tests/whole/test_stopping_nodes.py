"""Requests that a node has begun to read, or reads, while it stops as planned."""

from __future__ import annotations

import itertools
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.whole.platform_base import PlatformCase
from tests.whole.raw_clients import RawClient, build_request, wait_until

#: Events of a stream, which takes 6 s.
EVENTS = 300

#: Seconds that a slow instance takes for a call, well above its objective of 0.5 s.
CALL_S = 4.0

#: Seconds from the signal, in the part of the stop in which a stream can't end in time.
LATE_S = (3.05, 3.2, 3.4, 3.8, 4.4, 5.0, 5.6, 6.2, 6.8, 7.2)


class StoppingNodeCase(PlatformCase):
    """A node that stops in eight seconds, and is started again after each test."""

    nodes = ('n1',)
    events = EVENTS

    def setUp(self):
        self.node = self.running['n1']
        self.pool = ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown)
        self.addCleanup(self.restart)
        self.wait_for(self.find_heads, 'all groups are open')

    def restart(self):
        """Wait until the node has ended, and start it again."""
        self.node.process.wait()
        self.node.start_again()
        self.wait_for(self.node.has_started_again, 'n1 listens')
        self.wait_for(self.serves_call, 'n1 serves')

    def serves_call(self):
        """Whether a call is answered."""
        reply = self.connect().ask(build_request('GET', '/again/x', 'probe'))
        return reply.status == 200

    def connect(self):
        client = RawClient(self.node)
        self.addCleanup(client.close)
        return client

    def connect_used(self, name):
        """Return a connection on which a call was answered."""
        client = self.connect()
        reply = client.ask(build_request('GET', '/again/x', f'{name}-before'))
        self.assertEqual(reply.status, 200)
        return client

    def begin_stop(self):
        """Tell the node to stop; return when."""
        self.node.process.send_signal(signal.SIGTERM)
        return time.monotonic()

    def assert_all_answered(self, replies):
        """Check that each reply is whole, or a refusal."""
        found = {
            name: (reply.status, len(reply.body), reply.whole)
            for name, reply in replies.items()
            if not reply.is_answered
        }
        self.assertEqual(found, {})


class BodyThatEndsLateTest(StoppingNodeCase):
    """Bodies that began to come before the signal, and end after it."""

    def finish(self, client, after_s):
        wait_until(self.began_at + after_s)
        return client.ask(b'1\r\ny\r\n0\r\n\r\n')

    def check(self, path):
        clients = {after_s: self.connect() for after_s in LATE_S}
        for after_s, client in clients.items():
            name = f'late-{path[1:5]}-{after_s}'
            client.send(build_request('POST', path, name, chunked=True) + b'1\r\nx\r\n')
        self.wait_for(
            lambda: all(client.was_read() for client in clients.values()),
            'the requests are being read',
        )
        self.began_at = self.begin_stop()
        waiting = {
            f'{path}{after_s}': self.pool.submit(self.finish, client, after_s)
            for after_s, client in clients.items()
        }
        self.assert_all_answered({name: it.result() for name, it in waiting.items()})

    # Guards against streams that are begun in a stop and broken off at its end.
    def test_stream_is_whole_or_refused(self):
        self.check('/stream/x')

    def test_call_is_whole_or_refused(self):
        self.check('/once/x')

    # Guards against calls that run and are cut, where another node could serve them.
    def test_slow_call_that_may_not_be_repeated_is_whole_or_refused(self):
        self.control('api', '/fault', mode='slow', for_s=CALL_S)
        self.addCleanup(self.control, 'api', '/fault', mode='none')
        self.check('/once/x')

    # Guards against clients that send a whole body to a node that refuses it.
    def test_stream_is_refused_before_the_rest_of_its_body_comes(self):
        client = self.connect()
        data = build_request('POST', '/stream/x', 'early', chunked=True)
        client.send(data + b'1\r\nx\r\n')
        self.wait_for(client.was_read, 'the request is being read')
        began_at = self.begin_stop()
        reply = client.read()
        self.assertEqual((reply.status, reply.whole), (503, True))
        self.assertTrue(reply.says_close())
        self.assertIn(b'retry-after', dict(reply.headers))
        self.assertLess(time.monotonic() - began_at, min(LATE_S))


class UsedConnectionTest(StoppingNodeCase):
    """Requests on connections that were used before."""

    # Guards against streams that are begun late in a stop and broken off at its end.
    def test_stream_that_is_sent_late_is_whole_or_refused_or_not_read(self):
        clients = {
            after_s: self.connect_used(f'used-{after_s}')
            for after_s in (3.01, 3.05, 3.1, 3.15, 3.2, 3.3, 3.4, 3.6, 3.8)
        }
        began_at = self.begin_stop()

        def send(client, after_s):
            wait_until(began_at + after_s)
            return client.ask(
                build_request('POST', '/stream/x', f'stream-used-{after_s}')
            )

        waiting = {
            after_s: self.pool.submit(send, client, after_s)
            for after_s, client in clients.items()
        }
        replies = {after_s: it.result() for after_s, it in waiting.items()}
        self.assert_all_answered(
            {name: reply for name, reply in replies.items() if reply.status}
        )
        ran = {
            after_s
            for after_s, reply in replies.items()
            if not reply.status and self.find_runs(f'stream-used-{after_s}')
        }
        self.assertEqual(ran, set())

    # Guards against a connection that closes after a response that did not say so.
    def test_request_after_a_stream_that_began_before_the_signal(self):
        client = self.connect()
        client.send(build_request('POST', '/stream/x', 'first-of-two'))
        self.wait_for(lambda: self.find_runs('first-of-two'), 'it runs')
        self.begin_stop()
        first = client.read()
        wait_until(time.monotonic() + 0.005)
        second = client.ask(build_request('GET', '/again/x', 'second-of-two'))
        self.assert_all_answered({'first': first, 'second': second})

    # Guards against requests that are dropped as the response before them ends.
    def test_requests_sent_ahead_of_the_signal(self):
        clients = {}
        for path, method in (('/stream/x', 'POST'), ('/again/x', 'GET')):
            client = clients[path] = self.connect()
            ahead = f'ahead-{method}'
            client.send(
                build_request('POST', '/stream/x', f'{ahead}-first')
                + build_request(method, path, ahead)
            )
            self.wait_for(lambda: self.find_runs(f'{ahead}-first'), 'it runs')  # noqa: B023
        self.begin_stop()
        replies = {
            f'{path} {number}': client.read()
            for path, client in clients.items()
            for number in range(2)
        }
        self.assert_all_answered(replies)


class SignalsInSeriesTest(StoppingNodeCase):
    """Signals that follow the first SIGTERM."""

    # Guards against a second signal that ends the process with its requests.
    def test_requests_outlast_further_signals(self):
        clients = {number: self.connect() for number in range(4)}
        for number, client in clients.items():
            client.send(build_request('POST', '/stream/x', f'series-{number}'))
        self.wait_for(
            lambda: all(self.find_runs(f'series-{number}') for number in clients),
            'they run',
        )
        began_at = self.begin_stop()
        reading = {
            number: self.pool.submit(client.read) for number, client in clients.items()
        }
        for after_s, kind in (
            (0.05, signal.SIGTERM),
            (1.0, signal.SIGHUP),
            (1.05, signal.SIGINT),
            (4.0, signal.SIGTERM),
        ):
            wait_until(began_at + after_s)
            self.node.process.send_signal(kind)
        replies = {number: it.result() for number, it in reading.items()}
        self.assert_all_answered(replies)
        self.assertEqual({reply.status for reply in replies.values()}, {200})
        self.assertEqual(self.node.process.wait(), 0)
        self.assertTrue(self.node.read_events('node.stopped'))

    # Guards against a signal that ends the process in the last moments of a stop.
    def test_signals_until_the_end_do_not_change_the_exit_code(self):
        self.begin_stop()
        kinds = itertools.cycle((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        while self.node.process.poll() is None:
            self.node.process.send_signal(next(kinds))
            time.sleep(0.005)
        self.assertEqual(self.node.process.wait(), 0)
        self.assertTrue(self.node.read_events('node.stopped'))


class ResumedStreamTest(StoppingNodeCase):
    """Streams of a stopping node whose instance ends, while another node goes on."""

    nodes = ('n1', 'n2')

    # Guards against a node that can send no stream again after it gave up its entry.
    def test_stream_goes_on_at_another_group(self):
        client = self.connect()
        client.send(build_request('POST', '/stream/x', 'resumed'))
        self.wait_for(lambda: self.find_runs('resumed'), 'it runs')
        began_at = self.begin_stop()
        wait_until(began_at + 1.0)
        heads = [
            name
            for name, item in self.stats('pool').items()
            if any(run['request'] == 'resumed' for run in item['runs'])
        ]
        self.control('pool', '/crash', instances=heads)
        reply = client.read()
        self.assert_all_answered({'resumed': reply})
        ids = [line for line in reply.body.split(b'\n') if line.startswith(b'id: ')]
        self.assertEqual(ids, [b'id: %d' % number for number in range(1, EVENTS + 1)])
        self.assertGreater(len(self.find_runs('resumed')), 1)


if __name__ == '__main__':
    unittest.main()
