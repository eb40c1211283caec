"""Answers that are in hand while another attempt or address stays silent."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.config.settings import RoutingSettings
from coursepitch.serving import outcomes
from coursepitch.serving.admission import Admission
from coursepitch.serving.dispatch import Dispatcher
from coursepitch.serving.outcomes import RefusedError
from coursepitch.serving.services import ServiceCaller
from tests.serving.engines import (
    TOKENS,
    Engine,
    build_run,
    list_texts,
    listen,
    open_dispatcher,
    stand_still,
    stream_tokens,
)

LIMIT_S = 0.1
DEADLINE_S = 1.0


def answer_status(line):
    """Return a script that answers with a status and no body."""

    async def run(stream, name, start):
        await stream.send(f'HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n'.encode())

    return run


class ServiceErrorTest(unittest.TestCase):
    """Errors of plain services beside an address that is silent for good."""

    # Guards against callers that are told of the deadline in place of the error that
    # the service answered.
    def test_error_in_hand_is_forwarded_at_the_deadline(self):
        async def ignore(context):
            return None

        async def main():
            settings = RoutingSettings(
                first_byte_timeout_s=LIMIT_S, gap_timeout_s=LIMIT_S, attempts=2
            )
            caller = ServiceCaller(settings, anyio.current_time)
            request = SimpleNamespace(
                method='POST',
                headers={},
                scope={'raw_path': b'/services/stamp/approve'},
                url=SimpleNamespace(query=''),
            )
            silent = Engine(stand_still())
            failing = Engine(answer_status('500 Internal Server Error'))
            async with anyio.create_task_group() as tasks:
                await listen((silent, failing), tasks)
                addresses = [f'127.0.0.1:{item.port}' for item in (silent, failing)]
                context = SimpleNamespace(
                    request_id='r1', outcome=None, claim=None, status=0, content_type=''
                )
                try:
                    reply = await caller.call(
                        request,
                        context,
                        'stamp',
                        SimpleNamespace(addresses=addresses, in_flight=16),
                        SimpleNamespace(repeatable=True, deadline_s=DEADLINE_S),
                        b'{}',
                        ignore,
                        ignore,
                    )
                    found = reply.status_code
                except RefusedError as error:
                    found = error.problem.refusal
                await caller.close()
                tasks.cancel_scope.cancel()
            return len(failing.seen), found

        self.assertEqual(anyio.run(main), (1, 500))


class FinalAnswerTest(unittest.TestCase):
    """Answers that no other replica would better, beside a silent replica."""

    def ask(self, *engines, streamed=True, within_s=DEADLINE_S):
        """Return the refusal, the failures that were recorded, and the duration."""
        failed = []

        async def main():
            options = {'first_byte_timeout_s': LIMIT_S, 'gap_timeout_s': LIMIT_S}
            async with open_dispatcher(*engines, **options) as dispatcher:
                dispatcher._selector.record_failure = failed.append
                run = build_run(engines[0])
                began_at = anyio.current_time()
                found = None
                with anyio.move_on_after(within_s):
                    try:
                        if streamed:
                            chunks = [chunk async for chunk in dispatcher.stream(run)]
                            self.texts = list_texts(chunks)
                        else:
                            await dispatcher.fetch(run)
                    except RefusedError as error:
                        found = error.problem.refusal
                took_s = anyio.current_time() - began_at
            return found, failed, took_s

        return anyio.run(main)

    # Guards against a bad request that waits for its deadline.
    def test_bad_request_is_told_while_another_replica_is_silent(self):
        for streamed in (True, False):
            with self.subTest(streamed=streamed):
                other = Engine(answer_status('400 Bad Request'))
                found, _, _ = self.ask(Engine(stand_still()), other, streamed=streamed)
                self.assertIsNotNone(found)

    # Guards against retries of a request that no replica accepts.
    def test_bad_request_is_sent_to_another_replica_once(self):
        other = Engine(answer_status('400 Bad Request'))
        self.ask(Engine(stand_still()), other)
        self.assertEqual(len(other.seen), 1)

    # Guards against a sound replica that is excluded for the request of a caller.
    def test_bad_request_is_no_failure_of_its_replica(self):
        other = Engine(answer_status('400 Bad Request'))
        _, failed, _ = self.ask(Engine(stand_still()), other)
        self.assertEqual(failed, [])

    # Guards against streams that end as another replica declines the rest of them.
    def test_begun_stream_goes_on_though_another_replica_declines_the_rest(self):
        silent = Engine(stream_tokens(after=2, silent_s=4 * LIMIT_S))
        other = Engine(answer_status('400 Bad Request'))
        found, failed, _ = self.ask(silent, other, within_s=10.0)
        self.assertEqual((found, failed), (None, []))
        self.assertEqual(self.texts, [f't{place}' for place in range(TOKENS)])

    def test_bad_request_alone_is_no_failure_of_its_replica(self):
        other = Engine(answer_status('400 Bad Request'))
        found, failed, _ = self.ask(other)
        self.assertEqual((found, failed), (outcomes.BAD_REQUEST, []))


class QueuedTest(unittest.TestCase):
    """Queued requests whose last replica is proven to be gone meanwhile."""

    # Guards against requests that wait in a queue while new ones are refused at once.
    def test_queued_request_is_refused_once_no_replica_is_expected(self):
        expected = 1
        selector = SimpleNamespace(
            choose=lambda *args: None, count_expected=lambda groups: expected
        )

        async def main():
            nonlocal expected
            clock = anyio.current_time
            admission = Admission(10, 5.0, clock)
            dispatcher = Dispatcher(
                selector, admission, RoutingSettings(), 5.0, SimpleNamespace(), clock
            )
            found = []

            async def admit(name):
                request = SimpleNamespace(
                    request_id=name,
                    arrived_at=clock(),
                    deadline_at=clock() + 60,
                    identity=SimpleNamespace(customer='c'),
                    urgency=3,
                    work=1.0,
                    queue_name='g',
                    groups=('g',),
                    prefix_hash='',
                )
                try:
                    await dispatcher.admit(request)
                except RefusedError as error:
                    found.append((name, error.problem.refusal))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(admit, 'queued')
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(admission.queued, 1)
                expected = 0
                dispatcher.assign_slots()
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(admit, 'new')
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()
            return sorted(name for name, _ in found)

        self.assertEqual(anyio.run(main), ['new', 'queued'])


if __name__ == '__main__':
    unittest.main()
