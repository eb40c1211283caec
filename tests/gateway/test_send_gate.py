"""Decisions of the send gate, whatever the order in which notices arrive."""

from __future__ import annotations

import unittest
from dataclasses import replace
from types import SimpleNamespace

import anyio
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from coursepitch.fleet.backoffs import InstanceBackoffs
from coursepitch.fleet.messages import NoticeReport
from coursepitch.fleet.notices import InstanceNotices
from coursepitch.fleet.rate_limits import RateLimits
from coursepitch.fleet.send_permits import SendGranter, SendPermits
from coursepitch.gateway.attempts import Result, SendPlan, send_attempt
from coursepitch.gateway.send_gate import RETRY_AFTER_JITTER, SendGate, Withheld
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.http.client import Framing
from coursepitch.platform.fleet import INSTANCE_PREFIX
from coursepitch.platform.headers import read_response_metadata
from coursepitch.platform.kv import Entry
from tests.fleet.builders import (
    NO_CRASHES,
    NO_SUSPICION,
    SOUND_PATHS,
    build_instance,
    build_service,
    build_view,
)
from tests.gateway.builders import UNKNOWN_TIMES, WAITING_CLIENT

NAMES = ('a', 'b', 'c')

#: Instances of the state machine; with few of them, more happens to each.
MACHINE_NAMES = NAMES[:2]

RARELY_TRUE = strategies.sampled_from((False,) * 9 + (True,))

#: Statuses with the value of Retry-After in seconds.
RESPONSES = strategies.sampled_from(
    ((200, None), (200, '1'), (500, '1'), (503, None), (503, '0.5'), (503, '9'))
)

STORE_EVENTS = strategies.sampled_from(('again', 'lapse', 'restart', 'restart'))


class Node:
    """Components of a node that decide whether a request may be sent."""

    def __init__(self, instances, clock):
        self.view = build_view(instances, (), clock)
        self.limits = RateLimits('n1', 1, clock)
        granter = SendGranter(self.limits, lambda: 1, clock)
        permits = SendPermits('n1', self.limits, granter, lambda: 'n1', clock)
        self.backoffs = InstanceBackoffs(clock)
        self.notices = InstanceNotices(
            'n1', self.view, self.limits, self.backoffs, clock
        )
        self.counts = []
        self.gate = SendGate(
            self.view, self.backoffs, permits, self.counts.append, lambda: 0.0
        )
        self.view.on_restart = self.backoffs.note_restart

    def take_answer(self, name, status, born=0, **headers):
        """Process a response of an instance with these headers."""
        lines = tuple(
            (key.replace('_', '-').encode(), value.encode())
            for key, value in headers.items()
        )
        self.notices.take(name, born, read_response_metadata(status, lines))


class GateTest(unittest.TestCase):
    """Single decisions and their reasons."""

    def setUp(self):
        self.now = 100.0
        instances = [build_instance(name) for name in NAMES]
        self.node = Node(instances, lambda: self.now)
        self.gate = self.node.gate

    def check_withheld(self, reason):
        self.assertIs(self.gate.withhold('a', None), reason)

    def test_instance_without_notices_is_open(self):
        self.assertFalse(self.gate.is_closed('a'))
        self.check_withheld(None)

    def test_each_reason_is_returned_and_counted(self):
        self.node.limits.note_answer('a', 1.0)
        self.check_withheld(Withheld.NO_PERMIT)
        self.node.take_answer('a', 503, retry_after='2')
        self.check_withheld(Withheld.BACKOFF)
        del self.node.view.instances['a']
        self.check_withheld(Withheld.LEFT)
        self.assertEqual(self.node.counts, ['no_permit', 'backoff', 'left'])

    def test_success_of_an_earlier_request_does_not_end_a_backoff(self):
        self.node.take_answer('a', 503, retry_after='2')
        self.node.take_answer('a', 200, x_replica_signature='s')
        self.check_withheld(Withheld.BACKOFF)

    def test_instance_that_is_backed_off_is_not_chosen(self):
        self.node.take_answer('a', 503, retry_after='2')
        self.assertTrue(self.gate.is_closed('a'))
        self.assertFalse(self.gate.is_closed('b'))

    def test_all_of_several_are_closed_until_the_first_backoff_ends(self):
        self.assertFalse(self.gate.are_closed(()))
        for name, backoff_s in zip(NAMES, ('3', '1', '2'), strict=True):
            self.assertFalse(self.gate.are_closed(NAMES))
            self.node.take_answer(name, 503, retry_after=backoff_s)
        self.assertTrue(self.gate.are_closed(NAMES))
        self.assertTrue(self.gate.are_closed(NAMES, 0.9))
        self.assertFalse(self.gate.are_closed(NAMES, 1.0))
        self.assertEqual(self.gate.find_retry_after_s(NAMES, 9), 1.0)

    def test_retry_after_has_jitter(self):
        self.node.take_answer('a', 503, retry_after='4')
        self.gate.random_fraction = lambda: 1.0
        self.assertEqual(
            self.gate.find_retry_after_s(['a'], 9), 4.0 * (1 + RETRY_AFTER_JITTER)
        )

    def test_retry_after_uses_a_rate_limit_that_ends_before_the_backoffs(self):
        self.node.take_answer('a', 503, retry_after='9')
        self.node.limits.note_answer('b', 2.0)
        anyio.run(self.gate.take_permit, 'b')
        self.assertTrue(self.gate.are_closed(('a', 'b')))
        self.assertEqual(self.gate.find_retry_after_s(('a', 'b'), 9), 4.5)
        self.assertIn('backoff', self.gate.explain_closed(('a', 'b')))
        self.assertNotIn('backoff', self.gate.explain_closed(('b',)))


class Pool:
    """Connection pool that gives the same response to each request."""

    def __init__(self, answer):
        self.answer = answer

    async def acquire(self, address, *, instance, fresh, limit):
        return 'connection'

    async def exchange(self, connection, *request):
        return self.answer


class TrialTest(unittest.IsolatedAsyncioTestCase):
    """The outcome of the first request after a backoff decides about the instance."""

    def setUp(self):
        self.now = 100.0
        instance = build_instance('a')
        self.node = Node([instance], lambda: self.now)
        self.node.take_answer('a', 503, retry_after='1')
        self.now += 1.0

    async def send(self, status, **headers):
        """Send a request and return the attempt."""
        lines = [(b'X-Request-Id', b'r')]
        for key, value in headers.items():
            lines.append((key.replace('_', '-').encode(), value.encode()))

        async def read_whole(limit, note=None):
            return b''

        answer = SimpleNamespace(
            status=status,
            headers=tuple(lines),
            framing=Framing.LENGTH,
            read_whole=read_whole,
            release=lambda: None,
        )
        node = self.node
        session = SimpleNamespace(
            view=node.view, count_nodes=lambda: 3, is_fresh=lambda: True
        )
        components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            pool=Pool(answer),
            gate=node.gate,
            notices=node.notices,
            paths=SOUND_PATHS,
            crash_detector=NO_CRASHES,
            suspicion=NO_SUSPICION,
            clock=lambda: self.now,
        )
        incoming = SimpleNamespace(headers=(), method=b'GET', target=b'/', body=b'')
        job = SimpleNamespace(
            reply=WAITING_CLIENT,
            service=build_service(),
            deadline_at=self.now + 5.0,
            awaited_until=self.now + 5.0,
            may_have_run=set(),
            sent=[],
            permit=None,
            customer=None,
            incoming=incoming,
            last_reason='',
            note_sent=lambda name, now, software: None,
            fields=SimpleNamespace(request='r'),
        )
        instance = node.view.instances['a']
        return await send_attempt(components, job, instance, SendPlan(5.0))

    async def test_successful_response_opens_the_instance(self):
        attempt = await self.send(200)
        self.assertIs(attempt.result, Result.ANSWERED)
        self.assertIsNone(self.node.backoffs.begin_trial('a'))

    async def test_rejection_with_retry_after_starts_another_backoff(self):
        await self.send(503, x_not_executed='1', retry_after='2')
        self.assertEqual(self.node.backoffs.find_left_s('a'), 2.0)

    async def test_rejection_without_retry_after_allows_another_trial(self):
        await self.send(503, x_not_executed='1')
        self.assertFalse(self.node.gate.is_closed('a'))
        self.assertIsNotNone(self.node.backoffs.begin_trial('a'))


class GateMachine(RuleBasedStateMachine):
    """Connections that take time, responses out of order, and restarts.

    ``backoffs`` and ``leaving`` model what the node has received: the end of each
    instance's longest backoff, and the instances that announced that they leave, with
    the numbers of their starts.
    """

    @initialize()
    def start(self):
        self.now = 100.0
        self.born = dict.fromkeys(MACHINE_NAMES, 1)
        self.backoffs = dict.fromkeys(MACHINE_NAMES, 0.0)
        self.trying = dict.fromkeys(MACHINE_NAMES, False)
        self.leaving = set()
        self.in_flight = []
        self.connecting = []
        instances = [build_instance(name, born=1) for name in MACHINE_NAMES]
        self.node = Node(instances, lambda: self.now)

    @rule(seconds=strategies.sampled_from((0.1, 0.5, 1.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        name=strategies.sampled_from(MACHINE_NAMES),
        count=strategies.integers(1, 4),
        waiting=strategies.booleans(),
    )
    def send(self, name, count, waiting):
        """Send requests whose connections are established at once or later."""
        for _ in range(count):
            if self.node.gate.is_closed(name):
                return
            if waiting:
                self.connecting.append(name)
            else:
                self.leave(name)

    @precondition(lambda self: self.connecting)
    @rule(data=strategies.data())
    def connect(self, data):
        place = data.draw(strategies.integers(0, len(self.connecting) - 1))
        self.leave(self.connecting.pop(place))

    def leave(self, name):
        """Send a request if the gate allows it."""
        if self.node.gate.withhold(name, None) is not None:
            return
        assert self.now >= self.backoffs[name], 'sent during a backoff'
        assert (name, self.born[name]) not in self.leaving, 'sent to a leaving instance'
        first = self.backoffs[name] > 0
        assert not (first and self.trying[name]), (
            'sent in parallel to the trial request'
        )
        self.trying[name] = first
        trial = self.node.backoffs.begin_trial(name)
        self.in_flight.append((name, self.born[name], first, trial))

    @precondition(lambda self: self.in_flight)
    @rule(data=strategies.data(), answer=RESPONSES, leaves=RARELY_TRUE)
    def answer(self, data, answer, leaves):
        """Answer any request in flight, so that responses arrive in any order."""
        place = data.draw(strategies.integers(0, len(self.in_flight) - 1))
        name, born, first, trial = self.in_flight.pop(place)
        status, backoff_s = answer
        headers = {'x_replica_signature': 's'} if status == 200 else {}
        if backoff_s:
            headers['retry_after'] = backoff_s
        if leaves:
            headers['server_leaving'] = '1'
            self.leaving.add((name, born))
        self.node.take_answer(name, status, born, **headers)
        present = born == self.born[name]
        if present and backoff_s and status == 503:
            self.backoffs[name] = max(self.backoffs[name], self.now + float(backoff_s))
        if trial is not None:
            self.node.backoffs.end_trial(trial, status != 503)
        if present and first:
            self.trying[name] = False
            if status != 503 and self.backoffs[name] <= self.now:
                self.backoffs[name] = 0.0

    @rule(name=strategies.sampled_from(MACHINE_NAMES), present=RARELY_TRUE)
    def receive_leaving_notice(self, name, present):
        """A peer reports that this process, or an earlier one, leaves."""
        born = self.born[name] - (not present)
        self.leaving.add((name, born))
        self.node.notices.take_told(NoticeReport('n2', ((name, born),)))

    @rule(name=strategies.sampled_from(MACHINE_NAMES), event=STORE_EVENTS)
    def receive_store_event(self, name, event):
        """The store repeats an entry or lets it expire, or the instance restarts."""
        found = self.node.view.instances[name]
        if event == 'lapse':
            self.node.view.apply_entry(Entry(INSTANCE_PREFIX + name, deleted_at=6))
            self.node.view.leaving.forget_old(self.node.view.instances)
            self.node.backoffs.forget(set(self.node.view.instances))
        if event == 'restart':
            self.born[name] += 1
            self.backoffs[name] = 0.0
            self.trying[name] = False
        self.node.view.apply_entry(build_entry(replace(found, born=self.born[name])))


def build_entry(instance):
    """Return the store entry of an instance that is ready."""
    value = (
        f'{{"service": "{instance.service}", "address": "{instance.address}", '
        f'"zone": "a", "slots": 13, "state": "ready", "born": {instance.born}}}'
    )
    return Entry(INSTANCE_PREFIX + instance.name, value, 5)


GateMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=80)
GateMachineTest = GateMachine.TestCase
