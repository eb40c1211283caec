"""Functions that are called late, unless they are withdrawn before."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.gateway.late_starts import MAX_WAIT_S, LateStarts
from tests.fleet.builders import build_view
from tests.gateway.simulated_runs import START, SimulatedSession, VirtualTimeLoop


class LateStartsTest(unittest.TestCase):
    """Functions are called in time, once, and not after they were withdrawn."""

    def play(self, scenario, until_s=5.0):
        """Run a scenario beside late starts; return what was called when."""
        self.called = []

        async def main():
            self.session = SimulatedSession(build_view(), None, 0.0)
            self.starts = LateStarts(self.session, anyio.current_time)
            with anyio.move_on_after(until_s):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.starts.run)
                    tasks.start_soon(scenario)

        anyio.run(main, backend_options={'loop_factory': VirtualTimeLoop})
        return self.called

    def add(self, name, delay_s, **options):
        """Add a function that records its call."""

        def start():
            self.called.append((name, round(anyio.current_time() - START, 3)))

        return self.starts.add(delay_s, start, **options)

    def test_functions_are_called_once_when_they_are_due(self):
        async def scenario():
            self.add('long', 1.0)
            self.add('short', 0.45)
            await anyio.sleep(0.3)
            self.add('later', 0.3)

        called = self.play(scenario)
        self.assertEqual(called, [('short', 0.45), ('later', 0.6), ('long', 1.0)])

    # Guards against a function that is due while all others are due much later.
    def test_function_that_is_due_before_those_waited_for_is_called_in_time(self):
        async def scenario():
            self.add('long', 4.0)
            for number in range(7):
                await anyio.sleep(0.13)
                self.add(number, MAX_WAIT_S)

        called = self.play(scenario)
        due = [(number, round(0.13 * (number + 1) + 0.2, 3)) for number in range(7)]
        self.assertEqual(called, [*due, ('long', 4.0)])

    def test_function_that_is_withdrawn_is_not_called(self):
        async def scenario():
            withdraw = self.add('a', 1.0)
            self.add('b', 1.0)
            await anyio.sleep(0.9)
            withdraw()
            withdraw()

        self.assertEqual(self.play(scenario), [('b', 1.0)])

    # Guards against requests that wait on although the loss of a member is known.
    def test_function_is_called_early_once_the_view_has_changed(self):
        lost = set()

        async def scenario():
            self.add('a', 1.0, is_early=lambda: 'a' in lost)
            self.add('b', 1.0, is_early=lambda: 'b' in lost)
            await anyio.sleep(0.07)
            lost.add('a')
            self.session.wake()

        self.assertEqual(self.play(scenario), [('a', 0.07), ('b', 1.0)])


if __name__ == '__main__':
    unittest.main()
