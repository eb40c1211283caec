"""Error responses of two runs beside each other, whose bodies come late."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.gateway.attempts import DROPPED_BODY_TIMEOUT_S
from coursepitch.gateway.streams import StreamServer
from coursepitch.http.client import Framing
from tests.gateway.builders import build_runs
from tests.gateway.simulated_runs import VirtualTimeLoop

#: Seconds until the deadline of the request.
LEFT_S = 8.0


class TwoErrorsTest(unittest.TestCase):
    """One of two errors reaches the client however late its body comes.

    Guards against a 502 in place of an error that both of two runs gave.
    """

    def read(self, statuses, body_s):
        """Read the errors of runs as they come; return which are forwarded.

        :param statuses: statuses by run; ``None`` for one that has not answered.
        :param body_s: seconds after which bodies come.
        """
        runs, live = build_runs(*(f'h{number}' for number in range(len(statuses))))
        forwarded = {}

        class Body:
            async def read_whole(self, limit, note):
                await anyio.sleep(body_s)
                note()
                return b'no'

        async def main():
            job = SimpleNamespace(
                route=SimpleNamespace(repeatable=True, attempts=2),
                may_have_run={run.head for run in live},
                unlisted=set(),
                sent=[run.head for run in live],
                reply=SimpleNamespace(started=False),
                deadline_at=anyio.current_time() + LEFT_S,
                error=None,
                last_reason='',
            )
            view = SimpleNamespace(instances=dict.fromkeys(job.sent))
            components = SimpleNamespace(
                clock=anyio.current_time,
                load_tracker=SimpleNamespace(note_failure=lambda name: None),
                session=SimpleNamespace(view=view),
                crash_detector=None,
            )
            server = StreamServer(components, None)

            async def read(run, status):
                response = Body()
                response.status, response.headers = status, ()
                response.framing = Framing.LENGTH
                run.response = response
                forwarded[run.head] = await server._read_error(job, runs, run, response)

            async with anyio.create_task_group() as tasks:
                for run, status in zip(live, statuses, strict=True):
                    if status is not None:
                        tasks.start_soon(read, run, status)
            return job

        self.job = anyio.run(main, backend_options={'loop_factory': VirtualTimeLoop})
        return [forwarded.get(run.head) for run in live]

    def test_late_body_of_the_last_error_is_waited_for(self):
        for body_s in (1.5, 3.5):
            with self.subTest(body_s):
                found = self.read((500, 500), body_s)
                self.assertEqual(found.count(True), 1)

    def test_run_that_may_succeed_is_waited_for_instead(self):
        found = self.read((500, None), 1.5)
        self.assertEqual(found, [False, None])
        self.assertGreater(1.5, DROPPED_BODY_TIMEOUT_S)


if __name__ == '__main__':
    unittest.main()
