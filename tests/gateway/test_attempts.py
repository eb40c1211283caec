"""Checks that are repeated once a connection to an instance is established."""

from __future__ import annotations

import unittest
from dataclasses import replace
from types import SimpleNamespace

import anyio

from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.gateway.attempts import Result, SendPlan, send_attempt
from coursepitch.gateway.send_gate import SendGate
from coursepitch.gateway.stop_schedule import StopSchedule
from tests.fleet.builders import (
    SOUND_PATHS,
    build_instance,
    build_service,
    build_view,
)
from tests.gateway.builders import UNKNOWN_TIMES


class FakePool:
    """Connection pool; ``on_acquire`` is called while a connection is established."""

    def __init__(self):
        self.on_acquire = lambda: None
        self.discarded = []
        self.sent = []

    async def acquire(self, address, *, instance, fresh, limit):
        self.on_acquire()
        return 'connection'

    def discard(self, connection):
        self.discarded.append(connection)

    async def exchange(self, *arguments):
        self.sent.append(arguments)
        raise AssertionError('no request must be sent')


class RecheckBeforeSendTest(unittest.TestCase):
    """A request is not sent if its instance became unavailable while connecting.

    Guards against requests that reach an instance too long after it left.  Connecting
    takes up to a second, in which the instance may leave.
    """

    def setUp(self):
        self.instance = build_instance('a')
        self.view = build_view([self.instance])
        self.fresh = True
        self.allowed = True
        self.pool = FakePool()
        self.backoffs = InstanceBackoffs(lambda: 100.0)
        permits = SimpleNamespace(allows=lambda instance, permit: self.allowed)
        session = SimpleNamespace(
            view=self.view, count_nodes=lambda: 3, is_fresh=lambda: self.fresh
        )
        self.components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            pool=self.pool,
            gate=SendGate(self.view, self.backoffs, permits),
            paths=SOUND_PATHS,
            crash_detector=SimpleNamespace(is_refused=lambda job: self.refused),
            clock=lambda: 100.0,
        )
        self.refused = self.has_left = False
        self.job = SimpleNamespace(
            reply=SimpleNamespace(has_client_left=lambda: self.has_left),
            service=build_service(),
            deadline_at=105.0,
            awaited_until=105.0,
            may_have_run=set(),
            sent=[],
            permit=None,
            last_reason='',
            fields=SimpleNamespace(request='r'),
        )

    def check_not_sent(self):
        attempt = anyio.run(
            send_attempt, self.components, self.job, self.instance, SendPlan(5.0)
        )
        self.assertIs(attempt.result, Result.NOT_RUN)
        self.assertEqual(self.pool.sent, [])
        self.assertEqual(self.pool.discarded, ['connection'])
        self.assertEqual(self.job.sent, [])

    def test_instance_announces_that_it_leaves(self):
        leaving = replace(self.instance, draining=True)
        self.pool.on_acquire = lambda: self.view.instances.update(a=leaving)
        self.check_not_sent()

    def test_client_leaves(self):
        def leave():
            self.has_left = True

        self.pool.on_acquire = leave
        self.check_not_sent()

    def test_instance_disappears(self):
        self.pool.on_acquire = self.view.instances.clear
        self.check_not_sent()

    def test_configuration_confirmation_expires(self):
        def lose():
            self.fresh = False

        self.pool.on_acquire = lose
        self.check_not_sent()

    def test_permit_expires(self):
        def lapse():
            self.allowed = False

        self.pool.on_acquire = lapse
        self.check_not_sent()

    # Guards against requests that waited while they were found to crash instances.
    def test_request_is_found_to_crash_instances(self):
        def find_out():
            self.refused = True

        self.pool.on_acquire = find_out
        self.check_not_sent()

    def test_instance_asks_for_a_backoff(self):
        self.pool.on_acquire = lambda: self.backoffs.note('a', 0.1)
        self.check_not_sent()

    def test_trial_after_a_backoff_is_already_running(self):
        self.backoffs.note('a', 0.0)
        self.pool.on_acquire = lambda: self.backoffs.begin_trial('a')
        self.check_not_sent()


if __name__ == '__main__':
    unittest.main()
