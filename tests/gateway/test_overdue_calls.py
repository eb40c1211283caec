"""Overdue plain calls whose retry budget is used up."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import anyio

from coursepitch.fleet.lost import LostInstances
from coursepitch.gateway.calls import CallRun, CallServer
from coursepitch.gateway.runs import RunSet
from coursepitch.gateway.stop_schedule import StopSchedule
from tests.fleet.builders import SOUND_PATHS, build_instance
from tests.gateway.builders import UNKNOWN_TIMES
from tests.gateway.simulated_runs import VirtualTimeLoop

SEARCHED_S = 5.0


class DeniedRetryTest(unittest.TestCase):
    """A denied retry is not asked for again while the budget has no room."""

    def search(self, settled_s):
        """Search for another run without a budget; return what was asked, and why.

        :param settled_s: seconds until the node's share of the budget takes effect.
        """
        asked = []

        def take(*args):
            asked.append('budget')
            return False

        async def borrow(service, request):
            asked.append('peers')
            return False

        job = SimpleNamespace(
            route=SimpleNamespace(repeatable=True, attempts=2, objective_s=1.0),
            service=SimpleNamespace(name='plain'),
            fields=SimpleNamespace(request='r'),
            may_have_run=set(),
            sent=['p0'],
            last_reason='reset',
        )

        async def main():
            clock = anyio.current_time
            job.deadline_at = job.awaited_until = clock() + 60.0
            settled_at = clock() + settled_s
            components = SimpleNamespace(
                stop_schedule=StopSchedule(),
                answer_times=UNKNOWN_TIMES,
                clock=clock,
                paths=SOUND_PATHS,
                crash_detector=SimpleNamespace(
                    is_refused=lambda job: False, forbids_retry=lambda job: False
                ),
                router=SimpleNamespace(
                    choose_instance=lambda service, tried: build_instance('p1')
                ),
                budget=SimpleNamespace(
                    take=take, has_room=lambda service, share: False
                ),
                session=SimpleNamespace(
                    view=SimpleNamespace(lost=LostInstances(clock)),
                    find_share=lambda: None,
                    share=SimpleNamespace(find_settled_at=lambda: settled_at),
                    loans=SimpleNamespace(borrow=borrow),
                ),
            )
            runs = RunSet()
            runs.add(CallRun(SimpleNamespace(name='p0'), suspected=True))
            with anyio.move_on_after(SEARCHED_S):
                await CallServer(components)._find_other(job, runs, {'p0'})

        anyio.run(main, backend_options={'loop_factory': VirtualTimeLoop})
        return asked, job.last_reason

    # Guards against a node that asks its peers for retries four times a second for
    # each overdue call.
    def test_peers_are_asked_once(self):
        asked, _ = self.search(settled_s=30.0)
        self.assertEqual(asked.count('peers'), 1)

    def test_budget_without_room_is_asked_once(self):
        asked, _ = self.search(settled_s=0.0)
        self.assertEqual(asked, ['budget'])

    # Guards against a reason that is not why the call ends.
    def test_denied_retry_is_not_the_reason_of_a_call_that_goes_on(self):
        _, reason = self.search(settled_s=0.0)
        self.assertEqual(reason, 'reset')


if __name__ == '__main__':
    unittest.main()
