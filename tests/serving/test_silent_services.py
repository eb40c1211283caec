"""Calls of plain services that fall silent and go on, or never go on."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.config.settings import RoutingSettings
from coursepitch.serving.services import ServiceCaller
from tests.serving.engines import (
    Engine,
    answer_whole,
    listen,
    stand_still,
    stream_tokens,
)

#: Limit of silence, and a silence beyond it.
LIMIT_S = 0.2
SILENT_S = 0.5


def call(*servers, repeatable=False):
    """Return the body of an answer of a service at some addresses."""

    async def run():
        settings = RoutingSettings(first_byte_timeout_s=LIMIT_S, gap_timeout_s=LIMIT_S)
        caller = ServiceCaller(settings, anyio.current_time)
        request = SimpleNamespace(
            method='POST',
            headers={},
            scope={'raw_path': b'/services/stamp/approve'},
            url=SimpleNamespace(query=''),
        )
        async with anyio.create_task_group() as tasks:
            await listen(servers, tasks)
            addresses = [f'127.0.0.1:{server.port}' for server in servers]
            reply, _ = await caller._attempt(
                request,
                SimpleNamespace(request_id='r1'),
                SimpleNamespace(addresses=addresses, in_flight=16),
                SimpleNamespace(repeatable=repeatable),
                b'{}',
            )
            body = await reply.aread()
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
