"""The urgency of a request reaches its target, from customer or route."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from coursepitch.config.routes import RoutedCustomer, hash_key
from coursepitch.gateway.attempts import Attempt, Result
from coursepitch.gateway.calls import CallRun
from coursepitch.gateway.request_handler import Gateway
from coursepitch.gateway.runs import Run, RunSet
from coursepitch.gateway.stop_schedule import StopSchedule
from coursepitch.http.event_splitter import EventSplitter
from coursepitch.platform.headers import RequestFields
from tests.config.test_routes import build_route
from tests.fleet.builders import build_service, build_table
from tests.gateway.builders import UNKNOWN_TIMES
from tests.gateway.waiting_node import WaitingNode


def resolve(table, key=b''):
    """Return the request that a node makes of a client's."""
    components = SimpleNamespace(
        stop_schedule=StopSchedule(),
        answer_times=UNKNOWN_TIMES,
        session=None,
        router=SimpleNamespace(choose_service=lambda route: 'pool'),
        budget=None,
        clock=lambda: 0.0,
    )
    fields = RequestFields('r', 'a.example', 8.0, key, 'small', 1, 1, 1, b'')
    request = SimpleNamespace(path=b'/r/x', received_at=0.0, waited_s=0.0)
    gateway = Gateway(components, None, None, None, None)
    return gateway._resolve(table, request, None, fields)


class ResolveTest(unittest.TestCase):
    """A request has the urgency of its customer, or else of its route."""

    def build(self, *routes, **customers):
        keys = {
            hash_key(name.encode()): RoutedCustomer(name, urgency)
            for name, urgency in customers.items()
        }
        return build_table(routes, [build_service()], keys)

    def test_urgency_of_the_route(self):
        job = resolve(self.build(build_route(0), build_route(2, name='s')))
        self.assertEqual((job.urgency, job.priority), (0, 0))

    def test_urgency_of_the_customer_goes_before_the_route(self):
        table = self.build(build_route(1), first=0, usual=None)
        jobs = [resolve(table, key) for key in (b'first', b'usual')]
        self.assertEqual([job.urgency for job in jobs], [0, 1])
        self.assertEqual([job.priority for job in jobs], [0, 1])

    def test_default_priority_with_one_urgency(self):
        job = resolve(self.build(build_route(1)))
        self.assertEqual((job.urgency, job.priority), (1, None))


class SendTest(unittest.TestCase):
    """Attempts of both kinds carry the priority of their request."""

    def send(self, priority, plain):
        node = WaitingNode()
        plans = []

        async def send_attempt(components, job, instance, plan):
            plans.append(plan)
            return Attempt(Result.NOT_RUN, 'test', withheld=True)

        job = node.build_job(plain=plain, priority=priority)
        job.route.repeatable = True
        place = 'calls' if plain else 'streams'
        with mock.patch(f'coursepitch.gateway.{place}.send_attempt', send_attempt):
            if plain:
                run = CallRun(node.view.instances['p0'])
                anyio.run(node.calls._advance, job, RunSet(), run)
            else:
                (group,) = node.view.list_open('pool', 'small')
                run = Run(group, EventSplitter())
                anyio.run(node.streams._send, job, run)
        return plans[0].priority

    def test_stream(self):
        self.assertEqual(self.send(2, plain=False), 2)
        self.assertIsNone(self.send(None, plain=False))

    def test_plain_request(self):
        self.assertEqual(self.send(2, plain=True), 2)
        self.assertIsNone(self.send(None, plain=True))


if __name__ == '__main__':
    unittest.main()
