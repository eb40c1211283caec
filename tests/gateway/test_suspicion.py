"""Requests that crash instances: detection and refusal at one node."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

import anyio

from coursepitch.crashes.parts import TRIAL_S
from coursepitch.crashes.reports import CrashReporter
from coursepitch.crashes.suspects import (
    CRASHES_TO_CONFIRM,
    REPORT_DELAY_S,
    RETRY_PAUSE_S,
    Crash,
    SuspectTable,
)
from coursepitch.crashes.trials import GRANT_INTERVAL_S, PartTrials
from coursepitch.fleet.control import InstanceControl, ProcessState
from coursepitch.fleet.messages import CrashReport
from coursepitch.fleet.pause_detector import PAUSE_THRESHOLD_S, PauseDetector
from coursepitch.gateway.crash_detector import (
    PROVEN_S,
    SILENT_TIMEOUT_S,
    UNREACHED_CACHE_S,
    CrashDetector,
)
from coursepitch.gateway.fingerprint import build_fingerprint
from coursepitch.gateway.job import Ending, Job
from coursepitch.gateway.problems import render_problem
from coursepitch.gateway.suspicion import SuspicionGate, explain_crashes
from coursepitch.http.messages import IncomingRequest, start_digest
from coursepitch.metrics import Metrics
from tests.fleet.builders import SERVICE, build_instance, build_view


def build_incoming(body=b'x', target=b'/notes/1', method=b'POST'):
    """Return a request that has been read."""
    digest = start_digest()
    digest.update(body)
    return IncomingRequest(method, target, (), body, 100.0, digest.digest())


def build_job(body=b'x', customer='acme', target=b'/notes/1', request='r1', parts=()):
    """Return a request that has not been sent."""
    fields = SimpleNamespace(
        request=request, host='a.example', model='m', prompt_parts=parts
    )
    return Job(
        build_incoming(body, target),
        None,
        fields,
        None,
        SimpleNamespace(name=SERVICE),
        SimpleNamespace(name=customer) if customer else None,
        108.0,
    )


class FingerprintTest(unittest.TestCase):
    """Equality of requests by fingerprint."""

    def build(self, body=b'x', target=b'/notes/1', host='a', customer='acme'):
        return build_fingerprint(build_incoming(body, target), host, customer)

    def test_same_customer_host_target_and_body_are_equal(self):
        self.assertEqual(self.build(), self.build())
        self.assertEqual(self.build(host='A'), self.build(host='a'))

    def test_each_part_distinguishes_requests(self):
        others = {
            self.build(body=b'y'),
            self.build(target=b'/notes/2'),
            self.build(host='b'),
            self.build(customer='other'),
            self.build(customer=''),
        }
        self.assertEqual(len(others | {self.build()}), 6)

    def test_boundaries_of_parts_matter(self):
        self.assertNotEqual(
            self.build(customer='ab', host='c'), self.build(customer='a', host='bc')
        )


class FakeInstanceControl(InstanceControl):
    """Instance control with the names of ended instances; records the queries."""

    def __init__(self, ended=()):
        self.ended = set(ended)
        self.unreached = set()
        self.asked = []
        #: Set once queries are answered, if they are held back.
        self.held = None
        #: Returns whether no instance answers now.
        self.are_silent = lambda: False

    async def find_state(self, instance):
        self.asked.append(instance.name)
        if self.held is not None:
            await self.held.wait()
        await anyio.lowlevel.checkpoint()
        if self.are_silent():
            return ProcessState.UNKNOWN
        if instance.name in self.unreached:
            return ProcessState.UNREACHED
        ended = instance.name in self.ended
        return ProcessState.ENDED if ended else ProcessState.RUNS


class CrashCase(unittest.TestCase):
    """A node with its suspects and with instances a, b and c."""

    def setUp(self):
        self.now = 100.0
        clock = self.clock
        self.view = build_view([build_instance(name, born=1) for name in 'abc'])
        self.table = SuspectTable(clock)
        self.reporter = CrashReporter('n1', self.table, None, self.view, clock)
        self.instances = FakeInstanceControl('abc')
        self.pause_detector = PauseDetector(clock)
        self.pause_detector.note_tick()
        session = SimpleNamespace(view=self.view, pause_detector=self.pause_detector)
        self.crash_detector = CrashDetector(
            'n1', session, self.instances, self.reporter, clock
        )
        self.leader = 'n2'
        self.trials = PartTrials(
            'n1', lambda: self.leader, self.table.is_trial_due, clock
        )
        self.gate = SuspicionGate(
            self.table,
            self.reporter,
            self.trials,
            self.view,
            Metrics(),
            clock,
            lambda: 0.5,
        )

    def clock(self):
        return self.now

    def interrupt(self, job, name):
        """Interrupt an attempt of a request at an instance."""
        job.note_sent(name, self.now)
        job.interrupted_by = self.view.instances.get(name) or build_instance(
            name, born=1
        )
        anyio.run(self.crash_detector.check_crash, job)

    def count_crashes(self, job):
        suspect = self.table.find(job.fingerprint)
        return 0 if suspect is None else len(suspect.crashes)


class RetryAfterCrashTest(CrashCase):
    """Crashes that other nodes report are taken into account before a retry.

    Guards against eight crashes instead of the six allowed, when four clients sent a
    request that crashes instances to four nodes at once.  Each node checked the reports
    of others only when a request arrived, and not before its retry.  All four saw their
    first crash within 7 ms and each retried 1 ms later, before the reports, which take
    some milliseconds, had any effect.  A second run had seven crashes.
    """

    def deliver_crashes(self, job, *names):
        """Deliver reports of other nodes on crashes by the same request."""
        crashes = tuple(
            Crash(job.fingerprint, 'acme', name, 1, self.now, f'n-{name}')
            for name in names
        )
        self.reporter.take(CrashReport('n2', self.now, crashes))

    def test_request_with_reported_crashes_is_not_retried(self):
        job = build_job()
        self.interrupt(job, 'a')
        self.deliver_crashes(job, 'x', 'y')
        self.assertTrue(self.crash_detector.forbids_retry(job))

    def test_crash_reported_shortly_after_counts(self):
        job = build_job()
        job.note_sent('a', self.now)
        job.interrupted_by = self.view.instances['a']

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.crash_detector.check_crash, job)
                await anyio.wait_all_tasks_blocked()
                self.deliver_crashes(job, 'x', 'y')

        anyio.run(run)
        self.assertTrue(self.crash_detector.forbids_retry(job))

    def test_stream_with_events_resumes_at_once(self):
        job = build_job()
        job.note_sent('a', self.now)
        job.note_event(self.now + 0.1)
        job.interrupted_by = self.view.instances['a']

        async def run():
            with anyio.fail_after(REPORT_DELAY_S / 2):
                await self.crash_detector.check_crash(job)

        anyio.run(run)
        self.assertEqual(job.crashes, 1)

    def test_request_with_one_crash_is_retried(self):
        job = build_job()
        self.interrupt(job, 'a')
        self.assertFalse(self.crash_detector.forbids_retry(job))

    def test_request_with_two_crashes_here_is_not_retried(self):
        job = build_job()
        self.interrupt(job, 'a')
        self.interrupt(job, 'b')
        self.assertTrue(self.crash_detector.forbids_retry(job))

    def test_request_without_a_crash_here_is_retried(self):
        job = build_job()
        self.deliver_crashes(job, 'x', 'y', 'z')
        self.assertFalse(self.crash_detector.forbids_retry(job))


class CrashDetectionTest(CrashCase):
    """Conditions under which an ended instance counts as a crash."""

    def test_end_of_an_instance_during_a_run_is_a_crash(self):
        job = build_job()
        self.interrupt(job, 'a')
        self.assertEqual((job.crashes, self.count_crashes(job)), (1, 1))

    def test_interrupted_requests_share_one_query(self):
        jobs = [build_job(bytes([number])) for number in range(13)]
        for job in jobs:
            job.note_sent('a', self.now)
            job.interrupted_by = self.view.instances['a']

        async def run():
            async with anyio.create_task_group() as tasks:
                for job in jobs:
                    tasks.start_soon(self.crash_detector.check_crash, job)

        anyio.run(run)
        self.assertEqual(self.instances.asked, ['a'])
        self.assertEqual([job.crashes for job in jobs], [1] * 13)

    def test_checks_that_wait_share_the_next_query_of_a_live_instance(self):
        self.instances.ended.clear()
        found = []

        async def check():
            found.append(
                await self.crash_detector.has_crashed(self.view.instances['a'])
            )

        async def run():
            self.instances.held = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(check)
                await anyio.wait_all_tasks_blocked()
                # These ask later than the first query began, so it tells them nothing.
                self.now += 0.01
                for _ in range(12):
                    tasks.start_soon(check)
                await anyio.wait_all_tasks_blocked()
                self.instances.held.set()

        anyio.run(run)
        self.assertEqual(found, [False] * 13)
        self.assertEqual(self.instances.asked, ['a', 'a'])

    def test_end_of_a_leaving_instance_leaves_its_responses_whole(self):
        self.view.instances['a'] = build_instance('a', born=1, draining=True)
        found = anyio.run(self.crash_detector.has_crashed, self.view.instances['a'])
        self.assertEqual((found, self.instances.asked), (False, []))

    def test_ended_instance_is_reported_once(self):
        reported = []

        async def report_lost(name):
            reported.append(name)

        self.reporter.report_lost = report_lost

        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.reporter.run)
                for number in range(3):
                    job = build_job(bytes([number]))
                    job.note_sent('a', self.now)
                    job.interrupted_by = self.view.instances['a']
                    await self.crash_detector.check_crash(job)
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(reported, ['a'])

    def test_lost_connection_to_a_live_instance_is_no_crash(self):
        self.instances.ended.clear()
        job = build_job()
        self.interrupt(job, 'a')
        self.assertEqual(self.count_crashes(job), 0)

    # Guards against crashes that go unnoticed because another run makes progress first.
    def test_check_is_finished_after_its_request_went_on(self):
        job = build_job()
        job.note_sent('a', self.now)
        job.interrupted_by = self.view.instances['a']

        async def run():
            self.instances.held = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.crash_detector.run)
                async with anyio.create_task_group() as race:
                    race.start_soon(self.crash_detector.check_crash, job)
                    await anyio.wait_all_tasks_blocked()
                    race.cancel_scope.cancel()
                # The request has another run now.
                job.note_sent('b', self.now)
                job.interrupted_by = None
                self.instances.held.set()
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        (crash,) = self.table.find(job.fingerprint).list_crashes()
        self.assertEqual(crash.instance, 'a')

    def test_attempt_without_interruption_is_no_crash(self):
        # State after a rejection, a refused connection, a timeout or an error response.
        job = build_job()
        job.note_sent('a', self.now)
        anyio.run(self.crash_detector.check_crash, job)
        self.assertEqual(self.instances.asked, [])

    def test_end_of_a_leaving_instance_is_no_crash(self):
        self.view.instances['a'] = build_instance('a', born=1, draining=True)
        job = build_job()
        self.interrupt(job, 'a')
        self.assertEqual(self.count_crashes(job), 0)

    def test_end_of_an_unlisted_instance_is_no_crash(self):
        del self.view.instances['a']
        job = build_job()
        self.interrupt(job, 'a')
        self.assertEqual(self.count_crashes(job), 0)

    def test_restart_under_the_same_name_is_a_crash(self):
        self.instances.ended.clear()
        job = build_job()
        job.note_sent('a', self.now)
        job.interrupted_by = self.view.instances['a']
        self.view.instances['a'] = build_instance('a', born=2)
        anyio.run(self.crash_detector.check_crash, job)
        self.assertEqual(self.count_crashes(job), 1)

    def test_node_suspended_during_the_run_reports_no_crash(self):
        job = build_job()
        job.note_sent('a', self.now)
        job.interrupted_by = self.view.instances['a']
        self.now += PAUSE_THRESHOLD_S + 0.1
        anyio.run(self.crash_detector.check_crash, job)
        self.assertEqual(self.count_crashes(job), 0)

    def test_node_suspended_before_the_run_reports_a_crash(self):
        self.now += PAUSE_THRESHOLD_S + 0.1
        self.pause_detector.note_tick()
        job = build_job()
        self.interrupt(job, 'a')
        self.assertEqual(self.count_crashes(job), 1)


class HeldProofTest(CrashCase):
    """Proofs of an instance's end that the node holds when a response there ends."""

    def find_state(self, born=1):
        instance = build_instance('a', born=born)
        return anyio.run(self.crash_detector.find_state, instance)

    def report_crash(self):
        crash = Crash('f', 'acme', 'a', 1, self.now, 'n2')
        self.reporter.take(CrashReport('n2', self.now, (crash,)))

    # Guards against streams that look complete although a peer has told that their
    # instance crashed, as its entry is gone.
    def test_reported_crash_is_a_proof_once_the_entry_is_gone(self):
        del self.view.instances['a']
        self.assertIs(self.find_state(), ProcessState.UNKNOWN)
        self.report_crash()
        self.assertIs(self.find_state(), ProcessState.ENDED)
        self.assertIs(self.find_state(born=2), ProcessState.UNKNOWN)

    # Guards against a proof that is not looked at as nobody can be asked.
    def test_reported_crash_is_a_proof_if_nobody_can_be_asked(self):
        self.instances.unreached.add('a')
        self.assertIs(self.find_state(), ProcessState.UNREACHED)
        self.report_crash()
        self.assertIs(self.find_state(), ProcessState.ENDED)

    def test_answer_of_the_instance_refutes_a_reported_crash(self):
        self.instances.ended.clear()
        self.report_crash()
        self.assertIs(self.find_state(), ProcessState.RUNS)

    # Guards against a node that forgets its own finding once the entry is gone.
    def test_own_finding_is_a_proof_once_the_entry_is_gone(self):
        self.assertIs(self.find_state(), ProcessState.ENDED)
        del self.view.instances['a']
        self.assertIs(self.find_state(), ProcessState.ENDED)
        self.assertEqual(self.instances.asked, ['a'])

    # Guards against a newer incarnation that tells nothing, as it is leaving itself.
    def test_newer_birth_is_a_proof_whether_or_not_that_incarnation_leaves(self):
        for draining in (False, True):
            with self.subTest(draining=draining):
                newer = build_instance('a', born=2, draining=draining)
                self.view.instances['a'] = newer
                self.assertIs(self.find_state(), ProcessState.ENDED)
        self.assertEqual(self.instances.asked, [])

    def find_state_of_silent(self):
        instance = build_instance('a', born=1)
        return anyio.run(self.crash_detector.find_state_of_silent, instance)

    # Guards against parts of responses that look whole as a leaving instance is not
    # asked, and against blaming a request for the end of one that was leaving.
    def test_leaving_instance_is_asked_about_a_silent_response_and_not_blamed(self):
        for leaves in ('draining', 'unlisted'):
            with self.subTest(leaves):
                self.view.instances['a'] = build_instance('a', born=1, draining=True)
                if leaves == 'unlisted':
                    del self.view.instances['a']
                self.instances.ended = {'a'}
                self.assertIs(self.find_state_of_silent(), ProcessState.ENDED)
                self.assertIs(self.find_state(), ProcessState.UNKNOWN)
                self.instances.ended.clear()
                self.assertIs(self.find_state_of_silent(), ProcessState.RUNS)

    def fall_silent(self, seconds):
        """Let no instance answer for a time; each question takes a part of it."""
        until = self.now + seconds

        def are_silent():
            self.now += min(0.25, max(0.0, until - self.now))
            return self.now < until

        self.instances.are_silent = are_silent

    # Guards against whole streams that look broken off as their instance, listed or
    # leaving, stands still once more when they end.
    def test_silent_instance_is_asked_until_it_goes_on(self):
        for state in (ProcessState.RUNS, ProcessState.ENDED):
            for leaves in (False, True):
                with self.subTest(state=state, leaves=leaves):
                    self.setUp()
                    if leaves:
                        del self.view.instances['a']
                    if state is ProcessState.RUNS:
                        self.instances.ended.clear()
                    self.fall_silent(SILENT_TIMEOUT_S - 0.5)
                    self.assertIs(self.find_state_of_silent(), state)

    # Guards against callers that wait for an instance that does not go on.
    def test_silent_instance_is_not_asked_for_long(self):
        began_at = self.now
        self.fall_silent(100.0)
        self.assertIs(self.find_state_of_silent(), ProcessState.UNKNOWN)
        self.assertLessEqual(self.now - began_at, SILENT_TIMEOUT_S + 0.25)

    # Guards against callers that wait for a second answer to the same question.
    def test_instance_that_answers_is_asked_once_about_a_silent_response(self):
        self.instances.ended.clear()
        self.assertIs(self.find_state_of_silent(), ProcessState.RUNS)
        self.instances.unreached.add('a')
        self.assertIs(self.find_state_of_silent(), ProcessState.UNREACHED)
        self.assertEqual(self.instances.asked, ['a', 'a'])

    # Guards against callers that wait for a second check just like the first one.
    def test_check_that_reached_nobody_is_not_repeated_at_once(self):
        self.instances.unreached.add('a')
        for _ in range(2):
            self.assertIs(self.find_state(), ProcessState.UNREACHED)
        self.assertEqual(self.instances.asked, ['a'])
        self.instances.unreached.clear()
        self.now += UNREACHED_CACHE_S
        self.assertIs(self.find_state(), ProcessState.ENDED)


class AdmissionTest(CrashCase):
    """Admission of suspected requests."""

    def test_unsuspected_request_runs(self):
        self.assertIsNone(self.gate.find_refusal(build_job()))

    def end_instances(self, count):
        for number in range(count):
            name = build_job().fingerprint
            crash = Crash(name, 'acme', f'x{number}', 1, self.now, 'n2')
            self.table.note_crash(crash)

    def test_request_that_ended_three_instances_is_refused_with_the_reason(self):
        self.end_instances(CRASHES_TO_CONFIRM)
        refusal = self.gate.find_refusal(build_job())
        self.assertEqual(refusal.status, 500)
        self.assertGreater(refusal.retry_after_s, 0)
        data = json.loads(render_problem(refusal.problem, refusal.status))
        self.assertEqual(data['outcome'], 'not-run')
        self.assertEqual(data['instances_ended'], CRASHES_TO_CONFIRM)
        self.assertEqual(data['fingerprint'], build_job().fingerprint)
        self.assertGreater(data['retry_after_s'], 0)

    def test_request_of_another_customer_with_the_same_body_runs(self):
        self.end_instances(CRASHES_TO_CONFIRM)
        self.assertIsNone(self.gate.find_refusal(build_job(customer='other')))
        self.assertIsNone(self.gate.find_refusal(build_job(customer='')))

    def test_request_runs_again_once_all_instances_run_other_software(self):
        self.end_instances(CRASHES_TO_CONFIRM)
        self.now += RETRY_PAUSE_S
        for name in 'ab':
            self.view.instances[name] = build_instance(name, software='v2')
        self.assertIsNotNone(self.gate.find_refusal(build_job()))
        self.view.instances['c'] = build_instance('c', software='v2')
        self.assertIsNone(self.gate.find_refusal(build_job()))

    def test_request_under_another_id_is_refused(self):
        self.end_instances(CRASHES_TO_CONFIRM)
        self.assertIsNotNone(self.gate.find_refusal(build_job(request='r2')))

    def test_suspect_runs_one_at_a_time(self):
        self.end_instances(1)
        job = build_job()
        with self.gate.track(job):
            self.assertEqual(
                self.gate.find_refusal(build_job(request='r2')).status, 503
            )
        self.assertIsNone(self.gate.find_refusal(build_job(request='r2')))

    def test_unsuspected_request_runs_concurrently(self):
        with self.gate.track(build_job()):
            self.assertIsNone(self.gate.find_refusal(build_job(request='r2')))

    def test_suspect_with_two_crashes_gets_retry_after(self):
        self.table.note_crash(Crash('z', 'acme', 'y', 1, self.now, 'n2'))
        self.end_instances(2)
        refusal = self.gate.find_refusal(build_job())
        self.assertEqual(refusal.status, 503)
        self.now += refusal.retry_after_s
        self.assertIsNone(self.gate.find_refusal(build_job()))

    def test_success_clears_suspicion(self):
        self.end_instances(2)
        self.now += 1.0
        job = build_job()
        with self.gate.track(job):
            job.ending, job.status, job.survived = Ending.ANSWERED, 200, True
        self.assertIsNone(self.table.find(job.fingerprint))

    # Guards against crashes that pass for ends of responses and clear the request.
    def test_response_whose_end_proves_nothing_keeps_suspicion(self):
        self.end_instances(2)
        job = build_job()
        with self.gate.track(job):
            job.ending, job.status = Ending.ANSWERED, 200
        self.assertIsNotNone(self.table.find(job.fingerprint))

    def test_forwarded_error_keeps_suspicion(self):
        self.end_instances(2)
        job = build_job()
        with self.gate.track(job):
            job.ending, job.status = Ending.ANSWERED, 500
        self.assertIsNotNone(self.table.find(job.fingerprint))

    def test_problem_reports_crashes_of_the_own_request(self):
        job = build_job()
        self.assertIsNone(explain_crashes(job))
        self.interrupt(job, 'a')
        problem = explain_crashes(job)
        self.assertEqual((problem.outcome, problem.instances_ended), ('unknown', 1))


class PartTest(CrashCase):
    """Requests that share a part of their prompts, at one node."""

    def run_whole(self, *parts, status=200, survived=True):
        """Let a request be answered."""
        job = build_job(parts=parts)
        with self.gate.track(job):
            job.ending, job.status, job.survived = Ending.ANSWERED, status, survived

    def crash(self, *names, wrote_s=0.0, parts=('a', 'bad')):
        """Let instances crash under requests that are never alike."""
        for name in names:
            job = build_job(name.encode(), request=f'r-{name}', parts=parts)
            job.note_sent(name, self.now)
            if wrote_s:
                job.note_event(self.now)
                for _ in range(10):
                    self.now += wrote_s / 10
                    self.pause_detector.note_tick()
                job.note_event(self.now)
            job.interrupted_by = self.view.instances[name]
            anyio.run(self.crash_detector.check_crash, job)

    def find_refusal(self, *parts):
        return self.gate.find_refusal(build_job(b'another', parts=parts))

    def test_request_with_a_part_that_crashed_three_instances_is_refused(self):
        self.run_whole('a')
        self.crash('a', 'b')
        self.assertIsNone(self.find_refusal('a', 'bad'))
        self.crash('c')
        refusal = self.find_refusal('a', 'bad')
        self.assertEqual(refusal.status, 500)
        data = json.loads(render_problem(refusal.problem, refusal.status))
        self.assertEqual((data['outcome'], data['part']), ('not-run', 'bad'))
        self.assertEqual(data['fingerprint'], 'part:bad')
        self.assertEqual(data['instances_ended'], 3)
        self.assertIsNone(self.find_refusal('a', 'other'))

    def test_run_that_had_written_for_a_while_speaks_for_its_parts(self):
        self.crash('a', 'b')
        self.crash('c', wrote_s=PROVEN_S + 0.1)
        self.assertIsNone(self.find_refusal('a', 'bad'))
        self.assertIsNone(self.table.parts.find('bad'))

    # Guards against crashes that pass for ends of responses and clear the part.
    def test_response_whose_end_proves_nothing_speaks_for_no_part(self):
        self.crash('a', 'b')
        self.run_whole('a', 'bad', survived=False)
        self.run_whole('a', 'bad', status=400)
        self.crash('c')
        self.assertIsNotNone(self.find_refusal('a', 'bad'))

    def admit(self, *parts):
        return anyio.run(self.gate.admit, build_job(b'another', parts=parts))

    def test_part_is_tried_by_one_request_at_a_time(self):
        self.run_whole('a')
        self.crash('a', 'b', 'c')
        self.leader = 'n1'
        self.assertIsNotNone(self.admit('a', 'bad'))
        self.now += TRIAL_S
        self.assertIsNone(self.admit('a', 'bad'))
        self.assertIsNotNone(self.admit('a', 'bad'))
        self.assertIsNone(self.admit('a', 'other'))
        self.now += GRANT_INTERVAL_S
        self.assertIsNone(self.admit('a', 'bad'))

    def test_request_that_crashes_instances_itself_is_not_tried_for_its_part(self):
        self.crash('a', 'b', 'c')
        self.now += TRIAL_S
        self.leader = 'n1'
        job = build_job(b'another', parts=('a', 'bad'))
        for name in 'xyz':
            crash = Crash(job.fingerprint, 'acme', name, 1, self.now, 'n2')
            self.table.note_crash(crash)
        self.assertIsNotNone(anyio.run(self.gate.admit, job))

    def test_request_that_waited_meanwhile_is_not_sent(self):
        job = build_job(b'another', parts=('a', 'bad'))
        self.run_whole('a')
        self.assertFalse(self.crash_detector.is_refused(job))
        self.assertIsNone(self.gate.find_late_refusal(job))
        self.crash('a', 'b', 'c')
        self.assertTrue(self.crash_detector.is_refused(job))
        self.assertEqual(self.gate.find_late_refusal(job).status, 500)

    # Guards against a request that is tried, finds no group and is told to stay away.
    def test_request_that_is_tried_is_not_refused_for_its_part(self):
        self.run_whole('a')
        self.crash('a', 'b', 'c')
        self.find_refusal('a', 'bad')
        self.now += TRIAL_S
        job = build_job(b'another', parts=('a', 'bad'))
        with self.gate.track(job):
            self.assertIsNone(self.gate.find_late_refusal(job))


if __name__ == '__main__':
    unittest.main()
