"""Requests whose replicas are silent: they wait, and go to none of these."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.config.settings import RoutingSettings
from coursepitch.metrics import Metrics
from coursepitch.serving import outcomes
from coursepitch.serving.admission import Admission
from coursepitch.serving.dispatch import Dispatcher
from coursepitch.serving.outcomes import RefusedError
from coursepitch.serving.replica_selector import CACHE_S, ReplicaSelector
from tests.builders import build_domain_record, build_seen

EVIDENCE_LIMIT_S = 4.0

WEIGHTS = RoutingSettings()


class SelectorCase(unittest.TestCase):
    """One replica, as reported by another node."""

    def setUp(self):
        self.now = 100.0
        self.record = build_domain_record('a', 1, 100.0, build_seen('r'))
        self.selector = ReplicaSelector(
            SimpleNamespace(records=self.read),
            'z',
            WEIGHTS,
            EVIDENCE_LIMIT_S,
            lambda: self.now,
        )

    def read(self, kind):
        return (self.record,) if kind == 'domain' else ()

    def report(self, **fields):
        self.record = build_domain_record('a', 1, self.now, build_seen('r', **fields))

    def count(self):
        """Return the replicas that can serve now, and those that may serve again."""
        self.now += 2 * CACHE_S
        servable = self.selector.list_servable_replicas(('g',))
        return len(servable), self.selector.count_expected(('g',))


class CapacityTest(SelectorCase):
    """Silence takes a replica out of service, but does not prove that it has ended."""

    def test_sound_replica_counts(self):
        self.assertEqual(self.count(), (1, 1))

    # Guards against requests that are refused at once after a silent attempt.
    def test_replica_with_a_silent_attempt_may_serve_again(self):
        self.selector.record_silence('r')
        self.assertEqual(self.count(), (0, 1))
        self.now += 2 * WEIGHTS.failure_hold_s
        self.assertEqual(self.count(), (0, 1))
        self.report()
        self.assertEqual(self.count(), (1, 1))

    def test_replica_with_a_failed_attempt_does_not_count_until_it_is_seen(self):
        for record in (self.selector.record_silence, self.selector.record_failure):
            record('r')
        self.assertEqual(self.count(), (0, 0))
        self.now += 2 * WEIGHTS.failure_hold_s
        self.report()
        self.assertEqual(self.count(), (1, 1))

    # Guards against requests that are refused as no node can check the engines, or as
    # this node has read no reports while it stood still.
    def test_replica_with_an_old_report_may_serve_again(self):
        self.now += 2 * EVIDENCE_LIMIT_S
        self.assertEqual(self.count(), (0, 1))
        self.report()
        self.assertEqual(self.count(), (1, 1))

    def test_old_report_does_not_count_against_newer_claims(self):
        self.now += 2 * EVIDENCE_LIMIT_S
        newer = build_domain_record('b', 2, self.now)
        self.read = lambda kind: (self.record, newer) if kind == 'domain' else ()
        self.selector._hub.records = self.read
        self.assertEqual(self.count(), (0, 0))

    # Guards against requests that are refused at once as all their replicas are silent.
    def test_replica_with_a_silent_member_may_serve_again(self):
        self.report(silent=True)
        self.assertEqual(self.count(), (0, 1))
        self.report(silent=True, state='releasing')
        self.assertEqual(self.count(), (0, 0))

    def test_replica_that_is_not_whole_does_not_count(self):
        self.report(good=False)
        self.assertEqual(self.count(), (0, 0))
        self.report(state='draining')
        self.assertEqual(self.count(), (0, 0))


class QueueTest(SelectorCase):
    """Requests that arrive while the only replica is silent."""

    def setUp(self):
        super().setUp()
        admission = Admission(4, 20.0, lambda: self.now)
        self.dispatcher = Dispatcher(
            self.selector, admission, WEIGHTS, 20.0, Metrics(), lambda: self.now
        )
        self.admission = admission
        self.is_cut_off = False
        self.dispatcher.is_cut_off = lambda: self.is_cut_off

    def build_request(self):
        return SimpleNamespace(
            identity=SimpleNamespace(customer='c'),
            request_id='r1',
            urgency=3,
            work=1.0,
            arrived_at=self.now,
            deadline_at=self.now + 60.0,
            queue_name='g',
            groups=('g',),
            prefix_hash='',
        )

    def admit(self, meanwhile):
        """Return the replica of a request, or its refusal, after what happens."""

        async def run():
            found = []

            async def wait():
                try:
                    run = await self.dispatcher.admit(self.build_request())
                    found.append(run.slot.choice.replica.name)
                except RefusedError as error:
                    found.append(error.problem.refusal)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                meanwhile(list(found))
                self.now += 2 * CACHE_S
                self.dispatcher.assign_slots()
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()
            await self.dispatcher.close()
            return found

        return anyio.run(run)

    def test_request_waits_until_the_replica_goes_on(self):
        self.selector.record_silence('r')

        def go_on(found):
            self.assertEqual((found, self.admission.queued), ([], 1))
            self.now += 2 * WEIGHTS.failure_hold_s
            self.report()

        self.assertEqual(self.admit(go_on), ['r'])

    def test_request_is_refused_at_once_if_the_replica_failed(self):
        self.selector.record_failure('r')
        found = self.admit(lambda found: self.assertEqual(len(found), 1))
        self.assertEqual(found, [outcomes.NO_REPLICA])

    # Guards against requests that wait on a node that can reach no engine.
    def test_waiting_request_is_refused_once_the_node_is_cut_off(self):
        self.selector.record_silence('r')

        def cut_off(found):
            self.assertEqual(found, [])
            self.is_cut_off = True

        self.assertEqual(self.admit(cut_off), [outcomes.NOT_READY])
        self.assertEqual(self.admission.queued, 0)


if __name__ == '__main__':
    unittest.main()
