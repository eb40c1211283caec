"""Selection of the instance or group for a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from coursepitch.gateway.load_shares import choose_by_shares

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from coursepitch.config.routes import Route, Service
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.view import FleetView, OpenGroup
    from coursepitch.gateway.load_tracker import LoadTracker
    from coursepitch.gateway.watchdog import Watchdog

__all__ = ['Router']

#: Cost of sending to another availability zone, in requests in flight per slot of a
#: group.  Traffic between zones is charged, and a group that meets its objective can
#: serve one or two more requests.  With a cost of two requests (13 slots) instead of
#: 0.3, 0.008 GB instead of 0.012 GB a day crossed zones, and the mean score of six days
#: with losses was 0.815 instead of 0.809 (7 nodes); with four requests it was 0.814.
ZONE_COST_PER_SLOT = 0.15

#: Cost of sending to a zone whose evacuation is requested, in requests in flight: more
#: than any load, so that it is used only where no other zone has room.
EVACUATION_COST = 1000.0

#: Delay in seconds of the loads of other nodes: they take one heartbeat to the leader,
#: which adds them up, one from the leader to a relay, and one from the relay.
PEER_LOAD_DELAY_S = 0.4


class Router:
    """Choose targets by requests in flight, slowness, failures and zone.

    :param read_rate: returns the requests per second of all nodes for a model.
    :param is_closed: whether a listed instance accepts no requests at present.
    """

    def __init__(
        self,
        view: FleetView,
        load_tracker: LoadTracker,
        watchdog: Watchdog,
        availability_zone: str,
        read_rate: Callable[[str], float] = lambda model: 0.0,
        is_closed: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        self._view = view
        self._load_tracker = load_tracker
        self._watchdog = watchdog
        self._zone = availability_zone
        self._read_rate = read_rate
        self._is_closed = is_closed

    def choose_service(self, route: Route) -> str:
        """Return the name of a service of a route, drawn by backend weights."""
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [item.weight for item in route.backends]
        if sum(weights) <= 0:
            return route.backends[0].service
        return random.choices(route.backends, weights)[0].service

    def _zone_cost(self, instance: FleetInstance, slots: int) -> float:
        """Return the cost of an instance's zone, in requests in flight."""
        if self._view.evacuations.is_requested(instance.availability_zone):
            return EVACUATION_COST
        return (
            0.0
            if instance.availability_zone == self._zone
            else ZONE_COST_PER_SLOT * slots
        )

    def choose_group(
        self, service: Service, model: str, tried: Collection[str], max_in_flight: int
    ) -> OpenGroup | None:
        """Return the open group of a model with the least load, or ``None``.

        :param tried: heads that the request has already been sent to.
        :param max_in_flight: requests in flight at which a group counts as full.
        """
        groups = []
        loads = []
        for group in self._view.list_open(service.name, model):
            head = group.head.name
            if head in tried or self._watchdog.is_avoided(group):
                continue
            if self._load_tracker.is_outdated(group.head) or self._is_closed(head):
                continue
            count = self._load_tracker.count_in_flight(head)
            if count >= max_in_flight:
                continue
            groups.append(group)
            loads.append(self._find_load(group.head, count, service))
        if not groups:
            return None
        arrivals = self._read_rate(model) * PEER_LOAD_DELAY_S
        return groups[choose_by_shares(loads, arrivals, random.random())]

    def _find_load(self, head: FleetInstance, count: int, service: Service) -> float:
        """Return a head's load and costs, in requests in flight."""
        slots = service.engine.slots if service.engine else 1
        load = count * self._load_tracker.slowness(head.name) + self._zone_cost(
            head, slots
        )
        if self._load_tracker.is_avoided(head.name):
            load += slots
        return load

    def choose_instance(
        self, service: Service, tried: Collection[str]
    ) -> FleetInstance | None:
        """Return the instance of a plain service with the least load."""
        best: FleetInstance | None = None
        least = float('inf')
        for instance in self._view.list_serving(service.name):
            name = instance.name
            if name in tried or self._is_closed(name):
                continue
            load = (
                self._load_tracker.count_in_flight(name) + 1
            ) * self._load_tracker.slowness(name)
            cost = (
                load + self._zone_cost(instance, instance.slots) + random.random() * 0.2
            )
            if self._load_tracker.is_avoided(name):
                cost += 100.0
            if cost < least:
                best, least = instance, cost
        return best
