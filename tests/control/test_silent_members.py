"""What checks of instances prove that are refused, or not answered in time."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.control.chart import load_chart
from coursepitch.control.lifecycle import (
    HealthCheck,
    LifecycleLimits,
    add_check,
    decide_step,
)
from coursepitch.targets.engine import EngineControl
from tests.builders import build_check, build_replica

CHART = load_chart('replica')

TIMEOUT_S = 0.1

LIMITS = LifecycleLimits(60, 5, 600, max_silent_s=0.45)


def check_member(checks, *, listening):
    """Return the last of several checks of an instance that never answers."""

    async def keep_silent(stream):
        async with stream:
            await anyio.sleep_forever()

    async def run():
        engines = EngineControl(TIMEOUT_S)
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        check = None
        async with anyio.create_task_group() as tasks:
            if listening:
                tasks.start_soon(listener.serve, keep_silent)
            else:
                await listener.aclose()
            for _ in range(checks):
                check = add_check(check, await engines.check(f'127.0.0.1:{port}'))
            tasks.cancel_scope.cancel()
        await engines.close()
        return check

    return anyio.run(run)


class SilentMemberTest(unittest.TestCase):
    """Silence replaces a replica only after the time that the settings state."""

    def decide(self, check):
        replica = build_replica('r', ('i0', 'i1'), 'serving')
        checks = {'i0': build_check('r'), 'i1': check}
        return decide_step(CHART, replica, checks, 0.0, LIMITS).event

    # Guards against a replica that is replaced after three time-outs.
    def test_member_is_not_lost_before_it_was_silent_for_the_limit(self):
        check = check_member(4, listening=True)
        self.assertEqual((check.failures, self.decide(check)), (0, ''))

    def test_member_is_lost_once_it_was_silent_for_the_limit(self):
        self.assertEqual(self.decide(check_member(5, listening=True)), 'lost')

    def test_member_that_refuses_connections_is_lost_after_three_checks(self):
        self.assertEqual(self.decide(check_member(2, listening=False)), '')
        self.assertEqual(self.decide(check_member(3, listening=False)), 'lost')

    def test_answer_ends_a_silence(self):
        silent = HealthCheck(False, silent_s=0.4)
        good = add_check(silent, build_check('r'))
        self.assertEqual(add_check(good, silent).silent_s, 0.4)
