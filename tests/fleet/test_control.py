"""Orders to instances leave in turn, however many are due at once."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.fleet.control import ORDERS_AT_ONCE, InstanceControl
from coursepitch.fleet.orders import Order, OrderKind, OrderResult


class TurnTest(unittest.TestCase):
    """What a cold start of many instances asks of the leader."""

    def test_few_orders_are_on_their_way_at_once_and_all_are_answered(self):
        count = ORDERS_AT_ONCE * 3
        running, most, answered = 0, 0, []

        async def run():
            control = InstanceControl(lambda: 0.0)
            go = anyio.Event()

            async def exchange(order):
                nonlocal running, most
                running += 1
                most = max(most, running)
                await go.wait()
                running -= 1
                return OrderResult.TAKEN

            async def send(number):
                order = Order(OrderKind.JOIN, f'i{number}', '127.0.0.1:1')
                answered.append(await control.send(order))

            control._send = exchange
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(send, number)
                await anyio.wait_all_tasks_blocked()
                go.set()

        anyio.run(run)
        self.assertEqual(most, ORDERS_AT_ONCE)
        self.assertEqual(answered, [OrderResult.TAKEN] * count)


if __name__ == '__main__':
    unittest.main()
