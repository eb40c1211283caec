"""Refusals that guarantee that a request was not executed are correct."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio
from hypothesis import given
from hypothesis import strategies as st

from coursepitch.gateway.calls import CallServer
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.runs import Run, RunSet
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.gateway.streams import StreamServer
from coursepitch.http.client import Framing
from coursepitch.http.event_splitter import EventSplitter
from tests.fleet.builders import NO_SUSPICION, build_instance, build_service, build_view
from tests.gateway.builders import UNKNOWN_TIMES

#: Statuses that guarantee that a request was not executed.
GUARANTEE_STATUSES = {408, 421, 429, 503}

NAMES = st.lists(st.sampled_from('abc'), unique=True)


def build_job(sent, ran, left_s):
    """Return a request that was sent to instances, some of which may have run it."""
    return SimpleNamespace(
        sent=list(sent),
        may_have_run=set(ran),
        deadline_at=100.0 + left_s,
        awaited_until=100.0 + left_s,
        last_reason='',
        crashes=0,
        retry_after_s=0.0,
        reply=SimpleNamespace(started=False, written=False),
        service=build_service(),
        fields=SimpleNamespace(model=''),
        route=SimpleNamespace(attempts=2, repeatable=True),
    )


class GuaranteeTest(unittest.TestCase):
    """The guarantee is given only if no instance can have executed the request."""

    def setUp(self):
        view = build_view([build_instance('a')])
        session = SimpleNamespace(view=view)
        self.components = SimpleNamespace(
            stop_schedule=StopSchedule(),
            answer_times=UNKNOWN_TIMES,
            session=session,
            router=None,
            budget=None,
            gate=SimpleNamespace(are_closed=lambda names: False),
            clock=lambda: 100.0,
            suspicion=NO_SUSPICION,
        )

    def check(self, refusal, job):
        guaranteed = refusal.status in GUARANTEE_STATUSES
        self.assertFalse(guaranteed and job.may_have_run, refusal)

    @given(sent=NAMES, ran=NAMES, left_s=st.floats(-5.0, 5.0))
    def test_refusal_after_attempts(self, sent, ran, left_s):
        job = build_job(sent, ran, left_s)
        self.check(StreamServer(self.components, None)._give_up(job), job)
        self.check(CallServer(self.components)._give_up(job), job)

    @given(sent=NAMES)
    def test_deadline_of_a_sent_request_gives_no_guarantee(self, sent):
        gateway = Gateway(self.components, None, None, None, None)
        refusal = gateway._end_at_deadline(build_job(sent, (), 0.0))
        self.assertEqual(refusal.status in GUARANTEE_STATUSES, not sent)

    @given(status=st.sampled_from(sorted({400, 500, 502} | GUARANTEE_STATUSES)))
    def test_status_with_guarantee_is_not_forwarded(self, status):
        async def read_whole(limit, note=None):
            return b''

        sent = []

        async def send_whole(code, headers, body):
            sent.append(code)

        load_tracker = SimpleNamespace(note_failure=lambda name: None)
        components = SimpleNamespace(
            **vars(self.components),
            load_tracker=load_tracker,
            crash_detector=None,
        )
        job = build_job(['a'], ['a'], 5.0)
        job.route.repeatable = False
        job.reply.send_whole = send_whole
        answer = SimpleNamespace(
            status=status, headers=(), framing=Framing.LENGTH, read_whole=read_whole
        )
        group = SimpleNamespace(head=build_instance('a'))
        server = StreamServer(components, None)
        run, runs = Run(group, EventSplitter(), response=answer), RunSet()
        runs.add(run)

        async def forward():
            if await server._read_error(job, runs, run, answer):
                await server._deliver(job, runs, run)

        anyio.run(forward)
        self.assertEqual(sent, [] if status in GUARANTEE_STATUSES else [status])


if __name__ == '__main__':
    unittest.main()
