"""Priorities at targets, as the urgencies of routes and customers imply them."""

from __future__ import annotations

import unittest

from coursepitch.config.routes import Backend, Route, RoutedCustomer, RouteKind
from tests.fleet.builders import build_table


def build_route(urgency, service='pool', name='r', public=False):
    """Return a route to one service."""
    return Route(
        name=name,
        host='a.example',
        prefix=f'/{name}/',
        kind=RouteKind.STREAM,
        timeout_s=8.0,
        objective_s=0.5,
        urgency=urgency,
        backends=(Backend(service, 1.0),),
        attempts=2,
        public=public,
        resumable=True,
        pause_s=0.3,
    )


def build_keys(*urgencies):
    """Return customers with these urgencies, by key."""
    return {
        b'%d' % number: RoutedCustomer(f'c{number}', urgency)
        for number, urgency in enumerate(urgencies)
    }


class PriorityTest(unittest.TestCase):
    """Targets get a priority only where the requests of their service differ.

    Guards against a priority that all requests of a service share: a target would
    rank them before or behind those of others that send none.
    """

    def test_none_where_all_routes_are_equally_urgent(self):
        table = build_table([build_route(1), build_route(1, name='s')])
        self.assertIsNone(table.find_priority('pool', 1))
        self.assertIsNone(table.find_priority('unknown', 1))

    def test_urgency_where_the_routes_of_the_service_differ(self):
        table = build_table(
            [
                build_route(0),
                build_route(2, name='s'),
                build_route(2, 'plain', name='t'),
                build_route(2, 'plain', name='u'),
            ]
        )
        self.assertEqual(table.find_priority('pool', 0), 0)
        self.assertEqual(table.find_priority('pool', 2), 2)
        self.assertIsNone(table.find_priority('plain', 2))

    def test_urgency_where_customers_differ(self):
        table = build_table([build_route(1)], keys=build_keys(None, 3))
        self.assertEqual(table.find_priority('pool', 1), 1)
        self.assertEqual(table.find_priority('pool', 3), 3)

    def test_none_where_customers_are_as_urgent_as_the_route(self):
        table = build_table([build_route(1)], keys=build_keys(None, 1))
        self.assertIsNone(table.find_priority('pool', 1))

    def test_none_where_all_customers_override_different_routes_alike(self):
        routes = [build_route(0), build_route(2, name='s')]
        table = build_table(routes, keys=build_keys(1, 1))
        self.assertIsNone(table.find_priority('pool', 1))

    def test_public_routes_are_as_urgent_as_the_route_says(self):
        table = build_table([build_route(1, public=True)], keys=build_keys(None, 3))
        self.assertIsNone(table.find_priority('pool', 1))

    def test_priority_is_a_single_digit(self):
        table = build_table([build_route(-1), build_route(12, name='s')])
        self.assertEqual(table.find_priority('pool', -1), 0)
        self.assertEqual(table.find_priority('pool', 12), 9)


if __name__ == '__main__':
    unittest.main()
