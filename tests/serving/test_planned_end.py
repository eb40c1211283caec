"""Requests under way as the time of a planned stop is over."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio
import httpx
from starlette.applications import Starlette
from starlette.routing import Route

from coursepitch.config.settings import EntrySettings
from coursepitch.control.view import ClusterView
from coursepitch.http.memory import ClientMemory
from coursepitch.metrics import Metrics
from coursepitch.serving.caller_api import CallerApi
from coursepitch.serving.gate import Gate
from coursepitch.serving.outcomes import Outcome


class OpenGate(Gate):
    """A gate that lets all requests in."""

    def __init__(self):
        super().__init__(
            'n',
            SimpleNamespace(view=SimpleNamespace(value=ClusterView())),
            None,
            None,
            1.0,
            Metrics(),
            anyio.current_time,
        )

    def identify(self, authorization, request_id):
        return SimpleNamespace(customer='acme')

    def _explain_not_serving(self):
        return ''


class EndOfStopTest(unittest.TestCase):
    """No request is left without an answer or a refusal by the end of a stop."""

    def end(self, outcome):
        """Return the answer to a request that is ended, and whether it is open."""

        async def main():
            gate, begun = OpenGate(), anyio.Event()
            clock = anyio.current_time
            memory = ClientMemory(1_048_576, clock)
            api = CallerApi(
                gate, None, None, None, EntrySettings(), Metrics(), clock, memory
            )

            async def handle(request, context):
                context.outcome = outcome
                begun.set()
                await anyio.sleep_forever()

            app = Starlette(routes=[Route('/x', api._wrap_handler(handle))])
            transport = httpx.ASGITransport(app)
            async with httpx.AsyncClient(transport=transport) as client:
                answers = []

                async def ask():
                    answers.append(await client.get('http://n/x'))

                with anyio.fail_after(5):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(ask)
                        await begun.wait()
                        gate.end_requests()
            return answers[0], gate.in_flight

        return anyio.run(main)

    def test_request_that_waits_is_refused_as_not_run(self):
        answer, in_flight = self.end(Outcome.NOT_RUN)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.headers['coursepitch-outcome'], 'not-run')
        self.assertEqual(in_flight, ())

    def test_request_that_was_sent_is_answered_with_an_unknown_outcome(self):
        answer, _ = self.end(Outcome.UNKNOWN)
        self.assertEqual(answer.status_code, 502)
        self.assertEqual(answer.headers['coursepitch-outcome'], 'unknown')


if __name__ == '__main__':
    unittest.main()
