"""What a run holds, what its end tells the queue, and answers beside a kept run."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from coursepitch.gateway.calls import CallRun
from coursepitch.gateway.job import Ending
from coursepitch.gateway.runs import RunSet
from coursepitch.gateway.watchdog import Stall
from coursepitch.http.client import ExchangeError, Framing
from tests.gateway.waiting_node import WaitingNode, run, settle


class EndedRunTest(unittest.TestCase):
    """A run that ends releases what it held."""

    def setUp(self):
        self.node = WaitingNode()
        (group,) = self.node.view.list_open('pool', 'small')
        self.job = self.node.build_job()
        self.run_of_job = self.node.streams._begin_run(self.job, group, b'')
        self.note_end = mock.Mock()
        self.node.admission.note_end = self.note_end

    def test_run_is_ended_once(self):
        for _ in range(2):
            self.node.streams._end_run(self.job, self.run_of_job)
        self.assertEqual(self.node.load_tracker.count_in_flight('h0'), 0)
        self.note_end.assert_called_once()

    # Guards against forwarded errors that slow the completion rate of the queue.
    def test_run_whose_error_was_forwarded_counts_as_completed(self):
        self.job.ending = Ending.ANSWERED
        self.node.streams._end_run(self.job, self.run_of_job)
        self.note_end.assert_called_once_with(self.job, completed=True)


class DroppedRunTest(unittest.TestCase):
    """A run that is ended because another one made progress."""

    # Guards against a failed run that is logged and counted as a failure once more.
    def test_run_that_has_failed_is_not_dropped(self):
        node = WaitingNode()
        (group,) = node.view.list_open('pool', 'small')
        job = node.build_job()
        run = node.streams._begin_run(job, group, b'')
        run.suspected = True
        node.streams._end_run(job, run)
        node.streams._drop_run(job, run)
        self.assertFalse(node.load_tracker.is_avoided('h0'))

    def test_silent_instance_is_avoided_and_another_is_not(self):
        for suspected in (True, False):
            with self.subTest(suspected=suspected):
                node = WaitingNode()
                (group,) = node.view.list_open('pool', 'small')

                async def drop(node=node, group=group, suspected=suspected):
                    job = node.build_job()
                    run = node.streams._begin_run(job, group, b'')
                    run.suspected = suspected
                    node.streams._drop_run(job, run)

                anyio.run(drop)
                self.assertIs(node.load_tracker.is_avoided('h0'), suspected)


class ProbedStreamTest(unittest.TestCase):
    """A stream whose group is probed, as its head was silent."""

    def read(self, read_chunk, find_stall):
        """Return what reading on gives, and the events that were read."""
        node = WaitingNode()
        (group,) = node.view.list_open('pool', 'small')
        job = node.build_job()
        runs = RunSet()
        run = node.streams._begin_run(job, group, b'')
        runs.add(run)
        watchdog = node.streams._watchdog
        watchdog.find_quiet_left_s = lambda head, since, limit_s: 0.0
        watchdog.find_stall = find_stall
        node.streams._may_add_run = lambda job, runs: True
        node.streams._log_stall = lambda job, run, stall, since: None
        response = SimpleNamespace(read_chunk=read_chunk)

        async def main():
            with anyio.fail_after(1.0):
                return await node.streams._read_in_time(job, runs, run, response)

        return anyio.run(main), run.events

    async def wait(self, *args):
        await anyio.sleep_forever()

    # Guards against events that are read only after the probe and its report.
    def test_events_are_read_while_the_group_is_probed(self):
        event = b'id: 1\ndata: x\n\n'

        async def read_chunk(timeout_s=None):
            await anyio.sleep(0)
            return event

        self.assertEqual(self.read(read_chunk, self.wait), (True, event))

    def test_stream_is_stalled_once_the_probe_tells_so(self):
        async def find_stall(group, since):
            await anyio.sleep(0)
            return Stall.SILENT

        self.assertEqual(self.read(self.wait, find_stall), (False, b''))

    # Guards against a broken connection that ends the request without another run.
    def test_connection_that_breaks_during_a_probe_is_told_as_such(self):
        async def read_chunk(timeout_s=None):
            raise ExchangeError('reset')

        with self.assertRaises(ExchangeError):
            self.read(read_chunk, self.wait)

    # Guards against a second run beside one that has just gone on.
    def test_events_that_come_with_the_result_of_the_probe_count(self):
        event = b'id: 1\ndata: x\n\n'

        async def read_chunk(timeout_s=None):
            return event

        async def find_stall(group, since):
            return Stall.SILENT

        self.assertEqual(self.read(read_chunk, find_stall), (True, event))


class OtherGroupTest(unittest.TestCase):
    """The group of a run beside one that is kept."""

    def ask(self, node, job, tried, live=frozenset()):
        return anyio.run(node.streams._wait_for_group, job, set(tried), live)

    def build_begun_job(self, node):
        job = node.build_job(deadline_at=node.now + 0.05)
        job.reply.started = True
        return job

    # Guards against retries that are spent in a row at a head that refuses connections.
    def test_head_that_failed_is_not_tried_again_beside_a_kept_run(self):
        node = WaitingNode(groups=2)
        job = self.build_begun_job(node)
        self.assertIsNone(self.ask(node, job, {'h0', 'h1'}, frozenset({'h0'})))

    def test_begun_stream_without_runs_returns_to_heads_that_it_tried(self):
        node = WaitingNode(groups=2)
        self.assertIsNotNone(self.ask(node, self.build_begun_job(node), {'h0', 'h1'}))

    # Guards against requests that wait behind one that must not use suspected groups.
    def test_request_without_runs_does_not_wait_behind_one_with_a_kept_run(self):
        async def scenario(tasks):
            node = WaitingNode(groups=2)
            for group in node.view.list_open('pool', 'small'):
                node.view.lost.note_report(group.head.name)
            node.view.version += 1
            first, second = (
                node.build_job('r1', may_have_run={'x'}),
                node.build_job('r2'),
            )
            second.may_have_run = {'x'}
            wait = node.streams._wait_for_group
            tasks.start_soon(wait, first, {'h0'}, frozenset({'h0'}))
            await settle()
            with anyio.fail_after(1.0):
                group = await wait(second, {'h0'})
            self.assertEqual(group.head.name, 'h1')

        run(scenario)

    # Guards against an error although a silent group that was not tried is left.
    def test_suspected_group_is_tried_after_the_trusted_one_failed(self):
        node = WaitingNode(groups=2)
        node.view.lost.note_report('h1')
        node.view.version += 1
        service = node.engine_service
        for tried, has_failed, head in (
            ((), True, 'h0'),
            (('h0',), True, 'h1'),
            # A request that was only rejected may come back.
            (('h0',), False, None),
        ):
            with self.subTest(tried=tried, has_failed=has_failed):
                group = node.router.choose_group(
                    service, 'small', tried, 99, has_failed=has_failed
                )
                self.assertEqual(group and group.head.name, head)


class InterruptedRunTest(unittest.TestCase):
    """A run whose connection was lost."""

    # Guards against slots that are held during the check for a crash.
    def test_run_holds_nothing_while_its_instance_is_examined(self):
        node = WaitingNode()
        (group,) = node.view.list_open('pool', 'small')
        job = node.build_job(switch_run=lambda run: None)
        run = node.streams._begin_run(job, group, b'')
        in_flight = []

        async def check_crash(job):
            in_flight.append(node.load_tracker.count_in_flight('h0'))

        node.streams._components.crash_detector = SimpleNamespace(
            check_crash=check_crash
        )
        anyio.run(node.streams._check_crash, job, run)
        self.assertEqual(in_flight, [0])


class ErrorBesideKeptRunTest(unittest.TestCase):
    """An error of the second run while the first one, which was silent, is kept."""

    def is_forwarded(self, *live, status=500):
        """Whether an error of ``p1`` is forwarded beside runs at instances."""

        async def read_whole(limit, note=None):
            return b''

        node = WaitingNode()
        job = self.job = node.build_job(
            plain=True, may_have_run={'p0', 'p1'}, sent=['p0', 'p1'], error=None
        )
        job.route = SimpleNamespace(repeatable=True, attempts=2)
        answer = SimpleNamespace(
            status=status, headers=(), framing=Framing.LENGTH, read_whole=read_whole
        )
        runs = RunSet()
        for name in live:
            runs.add(CallRun(node.view.instances[name]))
        run = CallRun(node.view.instances['p1'], response=answer)
        runs.add(run)
        node.calls._components.crash_detector = None
        return anyio.run(node.calls._read_whole, job, runs, run, answer)

    def test_error_is_forwarded_if_no_other_run_is_left(self):
        self.assertTrue(self.is_forwarded())

    # Guards against an error that ends a request whose first run may still succeed.
    def test_error_beside_a_kept_run_is_not_forwarded(self):
        self.assertFalse(self.is_forwarded('p0'))

    # Guards against an error of the node in place of the one that an instance gave.
    def test_error_beside_a_kept_run_is_kept_as_well(self):
        self.is_forwarded('p0')
        self.assertEqual(self.job.error.status, 500)

    # Guards against a status that denies a run that may have taken place.
    def test_status_that_claims_no_run_is_not_kept(self):
        self.assertFalse(self.is_forwarded('p0', status=503))
        self.assertIsNone(self.job.error)

    # Guards against a final answer that is dropped to wait for a silent run.
    def test_final_answer_beside_a_kept_run_is_forwarded(self):
        self.assertTrue(self.is_forwarded('p0', status=400))


if __name__ == '__main__':
    unittest.main()
