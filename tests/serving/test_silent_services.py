"""Calls of plain services that fall silent and go on, or never go on."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio
import anyio.abc

from coursepitch.config.settings import RoutingSettings
from coursepitch.serving import outcomes
from coursepitch.serving.outcomes import RefusedError
from coursepitch.serving.services import ServiceCaller
from tests.serving.engines import (
    Engine,
    answer_whole,
    break_off,
    listen,
    refuse,
    stand_still,
    stream_tokens,
)

#: Limit of silence, and a silence beyond it.
LIMIT_S = 0.2
SILENT_S = 0.5

#: Deadline of a call that is not answered at all.
DEADLINE_S = 5.0


async def close_port():
    """Return an address that refuses connections."""
    async with await anyio.create_tcp_listener(local_host='127.0.0.1') as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return f'127.0.0.1:{port}'


def call(
    *servers,
    repeatable=False,
    attempts=3,
    refusing=0,
    clock=anyio.current_time,
    counts=None,
    limit_s=LIMIT_S,
):
    """Return the body of an answer of a service at some addresses.

    :param refusing: number of further addresses that refuse connections.
    :param counts: filled with the requests in flight by address before the answer is
        forwarded.
    :param limit_s: limit of silence.
    """

    async def run():
        settings = RoutingSettings(
            first_byte_timeout_s=limit_s, gap_timeout_s=limit_s, attempts=attempts
        )
        caller = ServiceCaller(settings, clock)
        request = SimpleNamespace(
            method='POST',
            headers={},
            scope={'raw_path': b'/services/stamp/approve'},
            url=SimpleNamespace(query=''),
        )
        async with anyio.create_task_group() as tasks:
            await listen(servers, tasks)
            addresses = [f'127.0.0.1:{server.port}' for server in servers]
            addresses += [await close_port() for _ in range(refusing)]
            try:
                with anyio.fail_after(DEADLINE_S):
                    reply, _ = await caller._attempt(
                        request,
                        SimpleNamespace(request_id='r1'),
                        SimpleNamespace(addresses=addresses, in_flight=16),
                        SimpleNamespace(repeatable=repeatable, deadline_s=DEADLINE_S),
                        b'{}',
                    )
                body = await reply.aread()
            except RefusedError as error:
                body = error.problem.refusal
            if counts is not None:
                counts.update(caller._in_flight)
            await caller.close()
            tasks.cancel_scope.cancel()
        return body

    return anyio.run(run)


class SilentServiceTest(unittest.TestCase):
    """Silence of a service ends a call only for one at another address."""

    def test_call_that_is_not_repeatable_outlasts_a_silence(self):
        server, other = Engine(answer_whole(before_s=SILENT_S)), Engine(answer_whole())
        self.assertIn(b'r1', call(server, other))
        self.assertEqual(other.seen, [])

    def test_repeatable_call_without_another_address_outlasts_a_silence(self):
        server = Engine(answer_whole(before_s=SILENT_S))
        self.assertIn(b'r1', call(server, repeatable=True))

    def test_body_outlasts_a_silence(self):
        server = Engine(stream_tokens(after=2, silent_s=SILENT_S))
        self.assertIn(b'[DONE]', call(server))

    # Guards against calls that wait for a service which ended in silence.
    def test_repeatable_call_goes_to_another_address_after_a_silence(self):
        silent, other = Engine(stand_still()), Engine(answer_whole())
        self.assertIn(b'r1', call(silent, other, repeatable=True))

    # Guards against a call that is let go before another address has answered.
    def test_repeatable_call_outlasts_a_silence_of_all_addresses(self):
        server, other = Engine(answer_whole(before_s=SILENT_S)), Engine(stand_still())
        self.assertIn(b'r1', call(server, other, repeatable=True))
        self.assertEqual((len(server.seen), len(other.seen)), (1, 1))

    def test_silent_call_goes_on_after_another_address_failed(self):
        for script in (refuse(), break_off()):
            server, other = Engine(answer_whole(before_s=SILENT_S)), Engine(script)
            self.assertIn(b'r1', call(server, other, repeatable=True))
            self.assertEqual(len(other.seen), 1)

    def test_failure_is_forwarded_once_no_other_address_may_answer(self):
        server, other = Engine(break_off(before_s=SILENT_S)), Engine(refuse())
        self.assertEqual(call(server, other, repeatable=True, attempts=2), b'')

    # Guards against a call that is told as not run as its last attempt was refused.
    def test_call_that_may_have_run_is_told_so(self):
        found = call(Engine(break_off()), repeatable=True, refusing=1)
        self.assertIs(found, outcomes.TARGET_FAILED)

    # Guards against a stop of the own process that is taken for a silence.
    def test_limit_of_silence_that_passes_late_begins_anew(self):
        limit_s = 1.0
        server, other = Engine(answer_whole(before_s=1.2 * limit_s)), Engine(refuse())
        # Readings for the deadline, the address, the run, and two before the limit.
        late = [0.0] * 5

        def read_clock():
            return anyio.current_time() + (late.pop() if late else limit_s)

        found = call(server, other, repeatable=True, clock=read_clock, limit_s=limit_s)
        self.assertIn(b'r1', found)
        self.assertEqual(other.seen, [])

    def test_no_address_counts_a_call_that_has_ended(self):
        counts = {}
        silent, other = Engine(stand_still()), Engine(answer_whole())
        call(silent, other, repeatable=True, counts=counts)
        self.assertEqual(sorted(counts.values()), [0, 1])
