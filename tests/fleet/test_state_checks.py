"""Whether the process of an instance is gone, as asked by a node that stood still."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

import anyio

from coursepitch.fleet import control
from coursepitch.fleet.control import InstanceControl, Probe, ProcessState
from tests.fleet.builders import build_instance
from tests.gateway.simulated_runs import VirtualTimeLoop

LIMIT_S = 0.2


class StandstillTest(unittest.TestCase):
    """The limit of a check that passes while the node stands still tells nothing."""

    # Guards against whole responses that are broken off as nobody could ask whether
    # their instance runs, after a standstill of the asking node.
    def test_check_during_a_standstill_is_made_again(self):
        asked = []

        async def ask(instance, pool, timeout_s):
            asked.append(instance.name)
            try:
                with anyio.fail_after(timeout_s):
                    if len(asked) == 1:
                        # The process does not run, and goes on late.
                        asyncio.get_running_loop().call_soon(time.sleep, 2 * LIMIT_S)
                    # Connecting, and reading the answer.
                    for _ in range(2):
                        await anyio.sleep(0.01)
            except TimeoutError:
                return Probe.SILENT
            return Probe.ANSWERS

        async def main():
            found = InstanceControl(time.monotonic)
            found._request_report_within = ask
            return await found.find_state(build_instance('i1'))

        with mock.patch.object(control, 'CONFIRM_TIMEOUT_S', LIMIT_S):
            self.assertIs(anyio.run(main), ProcessState.RUNS)

    # Guards against checks that take twice as long while nobody can be asked.
    def test_check_whose_limit_passes_in_time_is_not_made_again(self):
        asked = []

        async def ask(instance, pool, timeout_s):
            asked.append(instance.name)
            await anyio.sleep_forever()

        async def main():
            found = InstanceControl(anyio.current_time)
            found._request_report_within = ask
            return await found.find_state(build_instance('i1'))

        state = anyio.run(main, backend_options={'loop_factory': VirtualTimeLoop})
        self.assertIs(state, ProcessState.UNREACHED)
        self.assertEqual(asked, ['i1'])


if __name__ == '__main__':
    unittest.main()
