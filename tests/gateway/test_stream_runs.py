"""What a run of a stream holds, and what its end tells the queue."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from coursepitch.gateway.job import Ending
from tests.gateway.waiting_node import WaitingNode


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


if __name__ == '__main__':
    unittest.main()
