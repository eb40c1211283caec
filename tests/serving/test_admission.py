"""Slots and queues of the OpenAI entry: order of service, eviction, refusals."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.serving import outcomes
from coursepitch.serving.admission import Admission, QueuedRequest
from coursepitch.serving.model_request import ModelRequest
from coursepitch.serving.outcomes import RefusedError
from coursepitch.serving.routing import Choice
from tests.builders import build_servable


class QueueTest(unittest.TestCase):
    """Order of service and eviction in the queue, on one replica with some slots."""

    def setUp(self):
        self.now = 100.0
        self.slots = 1
        self.servable = 1
        self.admission = Admission(50, 5.0, lambda: self.now, lambda: 0.0)
        self.held = []
        self.refused = {}

    def build(self, name, customer, urgency=3, group='g', **fields):
        wait_s = fields.pop('wait_s', 1000.0)
        until = self.now + wait_s
        return QueuedRequest(
            customer,
            urgency,
            fields.pop('work', 1.0),
            fields.pop('deadline_at', until),
            until,
            request_id=name,
            group=group,
        )

    def choose(self, request=None):
        if sum(self.admission.in_flight_by_replica.values()) >= self.slots:
            return None
        return Choice(build_servable('r'), {})

    async def ask(self, request):
        try:
            slot = await self.admission.acquire(
                request, self.choose, lambda: self.servable
            )
        except RefusedError as error:
            self.refused[request.request_id] = error.problem
            return
        self.held.append((request.request_id, slot))

    async def finish(self):
        """End all requests that hold slots, one after the other; return the next."""
        name, slot = self.held.pop(0)
        self.admission.release(slot, completed=True)
        self.admission.assign_slots('g', self.choose)
        await anyio.wait_all_tasks_blocked()
        return self.held[-1][0] if self.held else ''

    def run_scenario(self, scenario):
        async def main():
            async with anyio.create_task_group() as tasks:
                await scenario(tasks)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def start(self, tasks, *requests):
        for request in requests:
            tasks.start_soon(self.ask, request)
            await anyio.wait_all_tasks_blocked()

    def test_large_customer_does_not_starve_a_small_one(self):
        async def scenario(tasks):
            flood = [self.build(f'f{n}', 'large') for n in range(50)]
            await self.start(tasks, self.build('first', 'large'), *flood)
            self.assertEqual(self.admission.queued, 50)
            await self.start(tasks, self.build('s', 'small'))
            # The queue is full, and the large customer makes room.
            self.assertEqual(list(self.refused), ['f49'])
            self.assertEqual(await self.finish(), 's')

        self.run_scenario(scenario)

    def test_most_urgent_is_served_and_least_urgent_evicted(self):
        async def scenario(tasks):
            await self.start(tasks, self.build('running', 'x'))
            fill = [self.build(f'n{n}', 'x', 3) for n in range(47)]
            items = [
                self.build('a', 'x', 5),
                self.build('b', 'x', 1),
                self.build('c', 'x', 7),
            ]
            await self.start(tasks, *items, *fill)
            await self.start(tasks, self.build('d', 'x', 0))
            self.assertEqual(list(self.refused), ['c'])
            self.assertEqual(await self.finish(), 'd')
            self.assertEqual(await self.finish(), 'b')

        self.run_scenario(scenario)

    def test_least_urgent_arrival_at_a_full_queue_is_refused(self):
        async def scenario(tasks):
            fill = [self.build(f'n{n}', 'x', 3) for n in range(51)]
            await self.start(tasks, *fill, self.build('last', 'x', 4))
            self.assertEqual(list(self.refused), ['last'])
            self.assertEqual(self.refused['last'].refusal, outcomes.OVERLOADED)

        self.run_scenario(scenario)

    def test_limit_holds_over_all_groups(self):
        async def scenario(tasks):
            await self.start(tasks, self.build('running', 'x'))
            fill = [self.build(f'n{n}', 'x', 5, group=f'g{n % 5}') for n in range(50)]
            await self.start(tasks, *fill)
            await self.start(tasks, self.build('urgent', 'y', 0))
            self.assertEqual(self.admission.queued, 50)
            self.assertEqual(len(self.refused), 1)
            self.assertNotIn('urgent', self.refused)

        self.run_scenario(scenario)

    def test_customers_share_slots_by_work(self):
        async def scenario(tasks):
            await self.start(tasks, self.build('running', 'x'))
            for n in range(20):
                await self.start(
                    tasks,
                    self.build(f'long{n}', 'a', work=400.0),
                    self.build(f'short{n}', 'b', work=100.0),
                )
            served = [await self.finish() for _ in range(10)]
            self.assertEqual(sum(name.startswith('long') for name in served), 2)

        self.run_scenario(scenario)

    def test_request_without_a_replica_is_refused(self):
        async def scenario(tasks):
            self.slots = self.servable = 0
            await self.start(tasks, self.build('r', 'x'))
            self.assertEqual(self.refused['r'].refusal, outcomes.NO_REPLICA)
            self.assertEqual(self.admission.queued, 0)

        self.run_scenario(scenario)

    def test_request_that_would_wait_too_long_is_refused_at_once(self):
        async def scenario(tasks):
            await self.start(tasks, *[self.build(f'n{n}', 'x') for n in range(40)])
            for _ in range(10):
                self.now += 0.1
                await self.finish()
            # 29 requests wait, of which ten per second are served.
            await self.start(tasks, self.build('hasty', 'x', 4, wait_s=1.0))
            await self.start(tasks, self.build('patient', 'x', 4, wait_s=9.0))
            self.assertEqual(list(self.refused), ['hasty'])
            self.assertGreater(self.refused['hasty'].retry_after_s, 2.0)

        self.run_scenario(scenario)

    def test_waiting_request_is_refused_once_it_is_known_to_be_late(self):
        async def scenario(tasks):
            await self.start(tasks, *[self.build(f'n{n}', 'x') for n in range(20)])
            for _ in range(10):
                self.now += 0.1
                await self.finish()
            await self.start(tasks, self.build('low', 'y', 7, wait_s=1.5))
            self.assertEqual(self.refused, {})
            await self.start(tasks, *[self.build(f'u{n}', 'x', 0) for n in range(30)])
            self.admission.assign_slots('g', self.choose)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(list(self.refused), ['low'])

        self.run_scenario(scenario)

    def test_cancelled_request_leaves_no_slot_in_use(self):
        async def scenario(tasks):
            await self.start(tasks, self.build('running', 'x'))
            async with anyio.create_task_group() as inner:
                inner.start_soon(self.ask, self.build('left', 'y'))
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(self.admission.queued, 1)
                inner.cancel_scope.cancel()
            self.assertEqual(self.admission.queued, 0)
            self.assertEqual(self.admission.in_flight_by_customer, {'x': 1})

        self.run_scenario(scenario)


class WorkTest(unittest.TestCase):
    """The work of a request follows from its prompt and its limit of tokens."""

    def build(self, **body):
        return ModelRequest('r', None, (), '', body, False, True, 3, 0.0, 1.0).work

    def test_longer_prompts_and_responses_are_more_work(self):
        short = self.build(prompt='x' * 400, max_tokens=100)
        self.assertGreater(self.build(prompt='x' * 400, max_tokens=200), 1.9 * short)
        self.assertGreater(self.build(prompt='x' * 40_000, max_tokens=100), short + 100)
        self.assertEqual(self.build(prompt='', max_completion_tokens=9), 9.0)
        self.assertEqual(self.build(prompt=''), 16.0)


if __name__ == '__main__':
    unittest.main()
