"""Requests wait for a target in a queue and are woken by freed capacity.

No test lets real time pass: the clock is injected, and a request that waits is woken
only by what the test does.
"""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import anyio

from coursepitch import events
from coursepitch.config.gateway import load_gateway_settings
from coursepitch.fleet.messages import Heartbeat
from coursepitch.gateway.admission import MAX_LINES_PER_S, MAX_WAITING, DecisionLog
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.gateway_application import GatewayApplication
from tests.gateway.builders import UNKNOWN_TIMES
from tests.gateway.waiting_node import OBJECTIVE_S, WaitingNode, run, settle
from tests.whole.platform_base import SETTINGS


class FreeCapacityTest(unittest.TestCase):
    """With free capacity, requests are sent as without a queue."""

    def check_sent_at_once(self, node, job, before):
        coroutine = node.ask(job)
        with self.assertRaises(StopIteration):
            coroutine.send(None)
        self.assertEqual(node.got, ['r'])
        self.assertEqual(before + 1, sum(node.load_tracker.count_own().values()))

    def test_request_gets_the_group_without_waiting(self):
        node = WaitingNode(groups=2)
        node.fill('h0', count=1)
        choose = mock.Mock(wraps=node.router.choose_group)
        node.router.choose_group = choose
        self.check_sent_at_once(node, node.build_job(), before=1)
        choose.assert_called_once_with(
            node.engine_service,
            'small',
            set(),
            2,
            with_suspected=True,
            has_failed=False,
        )
        self.assertEqual(node.load_tracker.count_in_flight('h1'), 1)

    def test_request_gets_the_plain_instance_without_waiting(self):
        node = WaitingNode()
        node.fill('p0', count=1)
        self.check_sent_at_once(node, node.build_job(plain=True), before=1)
        self.assertEqual(node.load_tracker.count_in_flight('p1'), 1)


class WakeTest(unittest.TestCase):
    """Waiting requests are woken by what makes room for them."""

    def check_woken(self, make_room, groups=1):
        node = WaitingNode(groups)
        node.fill(*[f'h{number}' for number in range(groups)])

        async def scenario(tasks):
            tasks.start_soon(node.admission.run)
            tasks.start_soon(node.ask, node.build_job())
            await settle()
            self.assertEqual((node.got, node.list_waiting()), ([], 1))
            make_room(node)
            await settle()
            self.assertEqual((node.got, node.list_waiting()), (['r'], 0))

        run(scenario)

    def test_end_of_a_request(self):
        self.check_woken(lambda node: node.end())

    def test_failure_of_a_request(self):
        self.check_woken(lambda node: node.end(completed=False))

    def test_newer_loads_of_peers(self):
        def make_room(node):
            node.load_tracker.count_peers = lambda name: -1
            node.admission.note_loads()

        self.check_woken(make_room)

    def test_change_of_the_view(self):
        def make_room(node):
            node.load_tracker._records.clear()
            node.session.wake()

        self.check_woken(make_room)

    def test_freed_slot_wakes_one_request(self):
        """Guards against several requests that are sent to the same free slot."""
        node = WaitingNode()
        node.fill('h0')

        async def scenario(tasks):
            for name in 'abc':
                tasks.start_soon(node.ask, node.build_job(name))
            await settle()
            node.end()
            # Before the woken request has run, another one arrives.
            tasks.start_soon(node.ask, node.build_job('d'))
            await settle()
            self.assertEqual(node.got, ['a'])
            self.assertEqual(node.load_tracker.count_in_flight('h0'), 2)

        run(scenario)

    def test_client_that_left_is_never_sent_and_its_slot_goes_to_the_next(self):
        node = WaitingNode()
        node.fill('h0')
        scopes = []

        async def leave():
            with anyio.CancelScope() as scope:
                scopes.append(scope)
                await node.ask(node.build_job('left', urgency=0))

        async def scenario(tasks):
            tasks.start_soon(leave)
            tasks.start_soon(node.ask, node.build_job('next', urgency=1))
            await settle()
            # The target is reserved for the first request when its client leaves.
            node.end()
            scopes[0].cancel()
            await settle()
            self.assertEqual(node.got, ['next'])
            self.assertEqual(node.load_tracker.count_in_flight('h0'), 2)

        run(scenario)

    def test_client_that_leaves_is_removed_at_once(self):
        node = WaitingNode()
        node.fill('h0')
        scopes = []

        async def leave():
            with anyio.CancelScope() as scope:
                scopes.append(scope)
                await node.ask(node.build_job('left'))

        async def scenario(tasks):
            tasks.start_soon(leave)
            await settle()
            self.assertEqual(node.list_waiting(), 1)
            scopes[0].cancel()
            await settle()
            self.assertEqual(node.list_waiting(), 0)
            node.end()
            await settle()
            self.assertEqual(node.got, [])

        run(scenario)


class OrderTest(unittest.TestCase):
    """The order in which waiting requests get targets."""

    def serve(self, *requests):
        """Return the order in which requests that wait are served."""
        node = WaitingNode()
        node.fill('h0')

        async def scenario(tasks):
            for fields in requests:
                tasks.start_soon(node.ask, node.build_job(**fields))
                await settle()
            for _ in requests:
                node.end()
                await settle()

        run(scenario)
        return node.got

    def test_more_urgent_requests_go_first(self):
        order = self.serve(
            {'name': 'low', 'urgency': 2},
            {'name': 'high', 'urgency': 0},
            {'name': 'middle', 'urgency': 1},
        )
        self.assertEqual(order, ['high', 'middle', 'low'])

    def test_interrupted_stream_goes_before_requests_that_have_not_started(self):
        order = self.serve(
            {'name': 'new', 'urgency': 0},
            {
                'name': 'interrupted',
                'urgency': 2,
                'reply': SimpleNamespace(started=True),
                'deadline_at': 1e6,
            },
        )
        self.assertEqual(order, ['interrupted', 'new'])

    def test_small_customer_goes_before_the_second_request_of_a_large_one(self):
        large = [{'name': f'l{n}', 'customer': 'large'} for n in range(5)]
        order = self.serve(*large, {'name': 's', 'customer': 'small'})
        self.assertEqual(order[:2], ['l0', 's'])

    def test_request_that_tried_the_free_group_does_not_block_others(self):
        node = WaitingNode(groups=2)
        node.fill('h1')

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job('rejected'), ('h0',))
            await settle()
            self.assertEqual(node.list_waiting(), 1)
            tasks.start_soon(node.ask, node.build_job('new'))
            await settle()
            self.assertEqual((node.got, node.list_waiting()), (['new'], 1))

        run(scenario)

    def test_client_that_returns_keeps_the_time_of_its_first_attempt(self):
        order = self.serve(
            {'name': 'new', 'arrived_at': 100.0},
            {'name': 'retry', 'first_arrived_at': 97.0},
        )
        self.assertEqual(order, ['retry', 'new'])


class WaitTest(unittest.TestCase):
    """How long requests wait, and when waiting is futile."""

    def setUp(self):
        self.node = WaitingNode()
        self.node.fill('h0')

    def check_wait(self, limit_s, **fields):
        """Check that a request is denied after a time and not before."""
        node = self.node
        job = node.build_job(**fields)
        real = mock.patch.object(anyio, 'move_on_after', lambda s: anyio.CancelScope())

        async def scenario(tasks):
            tasks.start_soon(node.ask, job)
            await settle()
            node.now = 100.0 + limit_s - 0.001
            node.admission.check()
            await settle()
            self.assertEqual((node.denied, node.list_waiting()), ([], 1))
            node.now = 100.0 + limit_s + 0.001
            node.admission.check()
            await settle()
            self.assertEqual((node.denied, node.list_waiting()), (['r'], 0))

        with real:
            run(scenario)
        self.assertGreater(job.retry_after_s, 0)
        return job

    def test_request_waits_for_a_fifth_of_its_objective(self):
        job = self.check_wait(0.2 * OBJECTIVE_S)
        self.assertEqual(job.last_reason, 'all groups are full or were tried')

    def test_retry_of_a_client_waits_for_1500_ms(self):
        self.check_wait(1.5, is_client_retry=True)

    def test_interrupted_stream_waits_for_4_s(self):
        self.check_wait(4.0, reply=SimpleNamespace(started=True))

    def test_wait_ends_with_the_deadline(self):
        self.check_wait(0.5, deadline_at=100.5)

    def check_denied(self, job, change):
        node = self.node

        async def scenario(tasks):
            tasks.start_soon(node.ask, job)
            await settle()
            self.assertEqual(node.list_waiting(), 1)
            change()
            node.admission.check()
            await settle()
            self.assertEqual((node.denied, node.list_waiting()), (['r'], 0))

        run(scenario)

    def test_unconfirmed_configuration_ends_the_wait(self):
        self.check_denied(
            self.node.build_job(), lambda: setattr(self.node.session, 'fresh', False)
        )

    def test_service_that_is_removed_ends_the_wait(self):
        job = self.node.build_job()
        self.check_denied(job, lambda: self.node.view.table.services.clear())
        self.assertEqual(job.last_reason, 'the service is unknown')

    def test_backoff_of_all_groups_that_lasts_longer_ends_the_wait(self):
        job = self.node.build_job(is_client_retry=True)
        self.check_denied(job, lambda: self.node.backoffs.note('h0', 9.0))

    def test_shorter_backoff_does_not_end_the_wait(self):
        node = self.node

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job())
            await settle()
            node.backoffs.note('h0', 0.1)
            node.admission.check()
            await settle()
            self.assertEqual((node.denied, node.list_waiting()), ([], 1))

        run(scenario)

    def test_rejected_plain_request_does_not_wait(self):
        node = self.node
        job = node.build_job(plain=True)
        anyio.run(node.ask, job, ('p0', 'p1'))
        self.assertEqual(node.denied, ['r'])


class KnownLateTest(unittest.TestCase):
    """Requests that are known not to be served in time are refused at once."""

    def setUp(self):
        self.node = WaitingNode()
        self.node.fill('h0')

    async def complete(self, tasks, rate=10):
        """Measure completions per second while requests wait."""
        node = self.node
        tasks.start_soon(
            node.ask, node.build_job('long', reply=SimpleNamespace(started=True))
        )
        await settle()
        for _ in range(2 * rate):
            node.now += 1 / rate
            node.admission.note_end(node.build_job(), completed=True)

    def test_request_behind_a_long_queue_is_refused_at_once(self):
        node = self.node

        async def scenario(tasks):
            await self.complete(tasks)
            # 15 requests at 10 per second: 1.5 s, and a client's retry waits 1.5 s.
            for number in range(40):
                job = node.build_job(f'r{number}', is_client_retry=True)
                tasks.start_soon(node.ask, job)
                await settle()
            self.assertNotIn('r0', node.denied)
            self.assertNotIn('r12', node.denied)
            self.assertIn('r39', node.denied)
            self.assertEqual(
                job.last_reason, 'no group is expected to have room in time'
            )
            # The queue takes over 2 s to serve; jitter lengthens that.
            self.assertGreater(job.retry_after_s, 2.0)
            self.assertLess(job.retry_after_s, 5.0)

        run(scenario)

    def test_interrupted_stream_is_not_refused_early(self):
        node = self.node

        async def scenario(tasks):
            await self.complete(tasks)
            for number in range(100):
                job = node.build_job(f's{number}', reply=SimpleNamespace(started=True))
                tasks.start_soon(node.ask, job)
            await settle()
            node.admission.check()
            await settle()
            self.assertEqual(node.denied, [])

        run(scenario)

    def test_urgent_request_is_not_refused_behind_less_urgent_ones(self):
        node = self.node

        async def scenario(tasks):
            await self.complete(tasks)
            for number in range(40):
                job = node.build_job(f'r{number}', urgency=2)
                tasks.start_soon(node.ask, job)
            await settle()
            job = node.build_job('urgent', urgency=0, is_client_retry=True)
            tasks.start_soon(node.ask, job)
            await settle()
            self.assertNotIn('urgent', node.denied)
            node.end()
            node.end()
            await settle()
            self.assertIn('urgent', node.got)

        run(scenario)

    def test_urgent_request_evicts_the_least_urgent_of_a_full_queue(self):
        node = self.node

        async def scenario(tasks):
            jobs = [
                node.build_job(f'r{n}', urgency=2 if n == 7 else 1)
                for n in range(MAX_WAITING)
            ]
            for job in jobs:
                tasks.start_soon(node.ask, job)
            await settle()
            self.assertEqual(node.list_waiting(), MAX_WAITING)
            tasks.start_soon(node.ask, node.build_job('urgent', urgency=0))
            await settle()
            self.assertEqual(node.denied, ['r7'])
            self.assertIn('other requests', jobs[7].last_reason)
            tasks.start_soon(node.ask, node.build_job('late', urgency=2))
            await settle()
            self.assertEqual(node.denied, ['r7', 'late'])

        run(scenario)


class PlainBoundTest(unittest.TestCase):
    """Requests to plain services wait while the instances are full, and are then sent.

    The instances have two slots, so that they are full with three requests.
    """

    def setUp(self):
        self.node = WaitingNode()

    def test_request_waits_while_the_instances_are_full(self):
        node = self.node
        node.fill('p0', 'p1', count=3)

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job(plain=True))
            await settle()
            self.assertEqual((node.got, node.list_waiting()), ([], 1))
            node.end('p1', job=node.build_job(plain=True))
            await settle()
            self.assertEqual(node.got, ['r'])
            self.assertEqual(node.load_tracker.count_in_flight('p1'), 3)

        run(scenario)

    def test_requests_of_other_nodes_count(self):
        node = self.node
        node.load_tracker.count_peers = lambda name: 3

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job(plain=True))
            await settle()
            self.assertEqual((node.got, node.list_waiting()), ([], 1))

        run(scenario)

    def test_request_is_sent_at_the_end_of_its_wait(self):
        """Guards against refusals because of the bound alone."""
        node = self.node
        node.fill('p0', count=3)
        node.fill('p1', count=4)

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job(plain=True))
            await settle()
            node.now += 0.2 * OBJECTIVE_S + 0.001
            node.admission.check()
            await settle()
            self.assertEqual((node.got, node.denied), (['r'], []))
            self.assertEqual(node.load_tracker.count_in_flight('p0'), 4)

        run(scenario)

    def test_retry_of_a_client_waits_for_1_s(self):
        node = self.node
        node.fill('p0', 'p1', count=3)

        async def scenario(tasks):
            job = node.build_job(plain=True, is_client_retry=True)
            tasks.start_soon(node.ask, job)
            await settle()
            for late_s, expected in ((0.999, []), (1.001, ['r'])):
                node.now = 100.0 + late_s
                node.admission.check()
                await settle()
                self.assertEqual(node.got, expected)

        with mock.patch.object(anyio, 'move_on_after', lambda s: anyio.CancelScope()):
            run(scenario)

    def test_request_is_sent_although_the_queue_is_full(self):
        node = self.node
        node.fill('p0', 'p1', count=3)

        async def scenario(tasks):
            for number in range(MAX_WAITING + 1):
                job = node.build_job(f'r{number}', plain=True)
                tasks.start_soon(node.ask, job)
            await settle()
            self.assertEqual(node.denied, [])
            self.assertEqual((len(node.got), node.list_waiting()), (1, MAX_WAITING))

        run(scenario)

    def test_request_that_is_expected_to_be_late_waits_all_the_same(self):
        """Guards against a burst that is sent to full instances at once."""
        node = self.node
        node.fill('p0', 'p1', count=3)

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job('first', plain=True))
            await settle()
            for _ in range(20):
                node.now += 0.1
                job = node.build_job(plain=True)
                node.admission.note_end(job, completed=True)
            for number in range(40):
                job = node.build_job(f'r{number}', plain=True, is_client_retry=True)
                tasks.start_soon(node.ask, job)
            await settle()
            node.admission.check()
            await settle()
            self.assertEqual((node.got, node.list_waiting()), ([], 41))

        run(scenario)

    def test_full_instance_is_not_passed_over_for_one_that_fails(self):
        node = self.node
        node.fill('p0', count=3)
        node.load_tracker.note_failure('p1')

        async def scenario(tasks):
            tasks.start_soon(node.ask, node.build_job(plain=True))
            await settle()
            self.assertEqual((node.got, node.list_waiting()), ([], 1))

        run(scenario)

    def test_rejected_request_goes_to_another_instance_at_once(self):
        node = self.node
        node.fill('p1', count=9)
        anyio.run(node.ask, node.build_job(plain=True), ('p0',))
        self.assertEqual(node.got, ['r'])


class TokenBoundTest(unittest.TestCase):
    """Groups get no more than their key-value caches hold (700,000 tokens)."""

    def setUp(self):
        self.node = WaitingNode(groups=2, bound=100)

    def build_job(self, prompt, **fields):
        job = self.node.build_job(**fields)
        job.fields.prompt_tokens = prompt
        return job

    def test_group_with_a_full_cache_is_passed_over(self):
        node = self.node
        node.streams._tokens.begin('h0', 699_900)
        node.fill('h1', count=5)
        anyio.run(node.ask, self.build_job(400))
        self.assertEqual(node.load_tracker.count_own(), {'h1': 6})

    def test_requests_of_other_nodes_count_with_the_usual_tokens(self):
        node = self.node
        node.load_tracker.count_peers = lambda name: 0 if name == 'h1' else 10
        node.fill('h1', count=20)
        # The requests of others at h0 need 11,000 tokens.
        anyio.run(node.ask, self.build_job(689_000))
        self.assertEqual(node.load_tracker.count_own(), {'h1': 21})
        anyio.run(node.ask, self.build_job(688_900))
        self.assertEqual(node.load_tracker.count_own(), {'h1': 21, 'h0': 1})

    def test_request_waits_until_tokens_are_free(self):
        node = self.node
        for head in ('h0', 'h1'):
            node.streams._tokens.begin(head, 699_900)

        async def scenario(tasks):
            tasks.start_soon(node.ask, self.build_job(400))
            # A smaller one that would fit does not overtake it.
            tasks.start_soon(node.ask, self.build_job(1, name='small'))
            await settle()
            self.assertEqual((node.got, node.list_waiting()), ([], 2))
            node.streams._tokens.end('h1', 699_900)
            node.admission.note_end(node.build_job(), completed=True)
            await settle()
            self.assertEqual(node.got, ['r', 'small'])

        run(scenario)

    def test_request_is_sent_at_the_end_of_its_wait(self):
        """Guards against refusals because of estimated tokens alone."""
        node = self.node
        for head in ('h0', 'h1'):
            node.streams._tokens.begin(head, 699_900)

        async def scenario(tasks):
            tasks.start_soon(node.ask, self.build_job(400))
            await settle()
            node.now += 0.2 * OBJECTIVE_S + 0.001
            node.admission.check()
            await settle()
            self.assertEqual((node.got, node.denied), (['r'], []))

        run(scenario)


class FirstAttemptTest(unittest.TestCase):
    """The time of a client's first attempt follows from its remaining timeout."""

    def test_remaining_timeout_tells_how_long_ago_it_was(self):
        components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=None,
            router=None,
            budget=None,
            clock=lambda: 0.0,
        )
        gateway = Gateway(components, None, None, None, None)
        self.assertEqual(gateway._find_waited_before_s('r', 8.0), 0.0)
        self.assertEqual(gateway._find_waited_before_s('r', 7.95), 0.0)
        self.assertEqual(gateway._find_waited_before_s('r', 6.5), 1.5)
        self.assertEqual(gateway._find_waited_before_s('r', None), 0.0)


class ApplicationTest(unittest.TestCase):
    """The node passes on what makes room, and counts what waits."""

    def setUp(self):
        text = SETTINGS.format(name='n1', store=1, revoke_s=5.0, evacuate_s=0)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'node.ini'
            path.write_text(text, encoding='utf-8')
            settings = load_gateway_settings(path)
        self.application = GatewayApplication(settings, path, None, lambda: 0.0)

    def test_heartbeats_of_peers_wake_waiting_requests(self):
        application = self.application
        order = []
        application.session.handle_message = lambda message: order.append('session')
        application.admission.note_loads = lambda: order.append('admission')
        application._handle_message(Heartbeat.__new__(Heartbeat))
        self.assertEqual(order, ['session', 'admission'])

    def test_components_share_one_admission(self):
        application = self.application
        for server in (application.gateway._streams, application.gateway._calls):
            self.assertIs(server._components.admission, application.admission)

    def test_waiting_requests_are_counted_by_urgency(self):
        application = self.application
        for counts in ({0: 2, 1: 5}, {1: 1}):
            application.admission.count_waiting = lambda counts=counts: counts
            application._set_waiting()
        text = application.metrics.render('')[0].decode()
        self.assertIn('coursepitch_requests_waiting{urgency="0"} 0', text)
        self.assertIn('coursepitch_requests_waiting{urgency="1"} 1', text)


class DecisionLogTest(unittest.TestCase):
    """Decisions are logged one by one up to a bound, and counted beyond it."""

    def test_decisions_beyond_the_bound_are_counted_by_reason(self):
        now = [10.0]
        lines = []
        log = DecisionLog(lambda: now[0])
        with mock.patch(
            'coursepitch.log.emit',
            lambda event, **fields: lines.append((event, fields)),
        ):
            for _ in range(MAX_LINES_PER_S + 30):
                log.note('wait over', request='r')
            log.note('evicted', request='r')
            self.assertEqual(len(lines), MAX_LINES_PER_S)
            self.assertTrue(log.has_counts())
            now[0] = 11.0
            log.flush()
        counted = [
            fields for event, fields in lines if event is events.ADMISSIONS_COUNTED
        ]
        self.assertEqual(
            counted,
            [
                {'decision': 'evicted', 'count': 1},
                {'decision': 'wait over', 'count': 30},
            ],
        )
        self.assertFalse(log.has_counts())


if __name__ == '__main__':
    unittest.main()
