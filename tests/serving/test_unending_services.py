"""Bodies of plain services whose instance is lost without a reset."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.config.settings import RoutingSettings
from coursepitch.serving.services import ServiceCaller
from tests.serving.engines import Engine, listen

#: Deadline and limit of silence of a call, and when it must have ended, in seconds.
DEADLINE_S = 0.5
LIMIT_S = 0.2
ENDED_S = 3.0


async def send_part(stream, name, start):
    """Send a part of an answer, and then nothing."""
    await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it')
    await anyio.sleep_forever()


class UnendingBodyTest(unittest.TestCase):
    """A body that never goes on ends, and so does what it holds."""

    # Guards against calls, and places at addresses, that are held for ever.
    def test_call_whose_body_never_goes_on_ends(self):
        finished = []

        async def finish(context):
            finished.append(context.request_id)

        async def record(context):
            return None

        async def receive():
            await anyio.sleep_forever()

        async def send(message):
            return None

        async def main():
            settings = RoutingSettings(
                first_byte_timeout_s=LIMIT_S, gap_timeout_s=LIMIT_S
            )
            caller = ServiceCaller(settings, anyio.current_time)
            request = SimpleNamespace(
                method='POST',
                headers={},
                scope={'raw_path': b'/services/stamp/approve'},
                url=SimpleNamespace(query=''),
            )
            server = Engine(send_part)
            context = SimpleNamespace(
                request_id='r1', outcome=None, claim=None, status=0, content_type=''
            )
            async with anyio.create_task_group() as tasks:
                await listen((server,), tasks)
                reply = await caller.call(
                    request,
                    context,
                    'stamp',
                    SimpleNamespace(
                        addresses=[f'127.0.0.1:{server.port}'], in_flight=16
                    ),
                    SimpleNamespace(repeatable=True, deadline_s=DEADLINE_S),
                    b'{}',
                    record,
                    finish,
                )
                ended = False
                with anyio.move_on_after(ENDED_S):
                    try:
                        await reply({'http_version': '1.1'}, receive, send)
                    except Exception as error:
                        self.assertIn('Cutoff', repr(error))
                    ended = True
                held = sum(caller._in_flight.values())
                await caller.close()
                tasks.cancel_scope.cancel()
            return ended, held

        self.assertEqual(anyio.run(main), (True, 0))
        self.assertEqual(finished, ['r1'])


if __name__ == '__main__':
    unittest.main()
