"""Rounds of an observer beside an engine that sends bytes without end."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from types import SimpleNamespace

import anyio

from coursepitch.config.settings import TargetSettings
from coursepitch.control.chart import load_chart
from coursepitch.control.domain import DomainController
from coursepitch.peers.records import DomainBody
from coursepitch.targets.engine import EngineControl
from tests.builders import build_check, build_seen
from tests.serving.endless_scripts import FAST, HEAD_KINDS, SLOW, EndlessScript
from tests.serving.engines import Engine, listen

#: Limit of a check, and a bound by which a round must have ended, in seconds.
TIMEOUT_S = 0.3
ENDED_S = 3.0

KINDS = (*HEAD_KINDS, 'body', 'chunks', 'extension', 'error_body')


def report(claim):
    """Return a script of a sound report."""
    check = build_check(claim)
    fields = ('state', 'claim', 'model', 'version', 'adapters', 'epoch', 'running')
    body = json.dumps({name: getattr(check, name) for name in fields})

    async def run(stream, name, start):
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        await stream.send((head + body).encode())

    return run


def observe(script):
    """Return the published members after a round, and the check of the sick one.

    ``None`` if the round does not end in time.
    """
    sound, sick = Engine(report('r')), Engine(script)
    engines = EngineControl(TIMEOUT_S)
    published = []

    async def confirm():
        return True

    async def check(address):
        server = sound if address.endswith(':1') else sick
        return await engines.check(f'127.0.0.1:{server.port}')

    async def main():
        controller = DomainController(
            'd',
            'n1',
            None,
            None,
            SimpleNamespace(check=check),
            replace(TargetSettings(), check_timeout_s=TIMEOUT_S),
            load_chart('replica'),
            lambda domain, body, load, at: published.append(body),
            anyio.current_time,
            DomainBody(1, 1, (build_seen('r'),)),
            SimpleNamespace(confirm=confirm),
        )
        async with anyio.create_task_group() as tasks:
            await listen((sound, sick), tasks)
            with anyio.move_on_after(ENDED_S):
                await controller._run_round()
            tasks.cancel_scope.cancel()
        await engines.close()
        if not published:
            return None
        return published[0].replicas[0].members, controller._checks['r-1']

    return anyio.run(main)


class EndlessReportTest(unittest.TestCase):
    """A sick engine counts as silent or failed, and others as what they report."""

    # Guards against a round of checks that one engine holds for ever.
    def test_round_ends_and_tells_of_the_sound_member(self):
        for kind in KINDS:
            for pace in (FAST, SLOW):
                with self.subTest(kind=kind, pace=pace):
                    found = observe(EndlessScript(kind, pace))
                    self.assertIsNotNone(found)
                    members, sick = found
                    self.assertEqual([item.answers for item in members], [True, False])
                    self.assertTrue(sick.failures or sick.silent_s)


if __name__ == '__main__':
    unittest.main()
