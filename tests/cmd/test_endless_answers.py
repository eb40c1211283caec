"""Commands of operators at a node that sends bytes without end."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
import anyio.to_thread

from coursepitch.cmd import admin_client as module
from coursepitch.cmd.admin_client import AdminClient, AdminError
from tests.serving.endless_scripts import FAST, HEAD_KINDS, SLOW, EndlessScript
from tests.serving.engines import Engine, listen

#: Limit of a call, and a bound by which it must have ended, in seconds.
TIMEOUT_S = 0.5
ENDED_S = 5.0

#: Largest answer in bytes.
MAX_BYTES = 1_000_000


def call(script):
    """Return the result of a call or its error; ``None`` if it does not end."""

    async def main():
        server, found = Engine(script), None
        async with anyio.create_task_group() as tasks:
            await listen((server,), tasks)
            url = f'http://127.0.0.1:{server.port}'
            options = {'admin': url}
            client = AdminClient(SimpleNamespace(option=options.get))
            with anyio.move_on_after(ENDED_S):
                try:
                    found = await anyio.to_thread.run_sync(
                        client.call, 'GET', '/apis/v1/plan', abandon_on_cancel=True
                    )
                except AdminError as error:
                    found = error
            tasks.cancel_scope.cancel()
        return found

    with (
        mock.patch.object(module, 'TIMEOUT_S', TIMEOUT_S, create=True),
        mock.patch.object(module, 'MAX_ANSWER_BYTES', MAX_BYTES, create=True),
    ):
        return anyio.run(main)


class EndlessAnswerTest(unittest.TestCase):
    """Commands end, and tell why."""

    # Guards against commands that wait for ever.
    def test_command_ends_whatever_the_node_sends(self):
        for kind in (*HEAD_KINDS, 'body', 'chunks', 'error_body'):
            for pace in (FAST, SLOW):
                with self.subTest(kind=kind, pace=pace):
                    found = call(EndlessScript(kind, pace))
                    self.assertIsInstance(found, AdminError)

    def test_large_answer_is_refused_before_the_limit_of_time(self):
        with mock.patch(f'{__name__}.TIMEOUT_S', 10 * ENDED_S):
            found = call(EndlessScript('body', FAST))
        self.assertIn('more than', str(found))

    def test_sound_answer_is_returned(self):
        for status, expected in (('200 OK', {'a': 1}), ('409 Conflict', AdminError)):
            body = json.dumps({'a': 1})

            async def answer(stream, name, start, status=status, body=body):
                head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
                await stream.send((head + body).encode())

            found = call(answer)
            if expected is AdminError:
                self.assertIsInstance(found, AdminError)
                self.assertIn('409', str(found))
            else:
                self.assertEqual(found, expected)


if __name__ == '__main__':
    unittest.main()
