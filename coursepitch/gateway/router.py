"""Choice of the instance or group that a request goes to."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from coursepitch.gateway.spread import choose_spread

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from coursepitch.config.routes import Route, Service
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.view import FleetView, OpenGroup
    from coursepitch.gateway.board import LoadBoard
    from coursepitch.gateway.watchdog import Watchdog

__all__ = ['Router']

#: Cost of another availability zone, in requests in flight, as a part of the slots:
#: bytes between zones are priced, and a group in reach of its objective serves one
#: or two requests more as well.  With two requests (of 13 slots) in place of 0.3,
#: 0.008 GB instead of 0.012 GB a day crossed zones, and the mean worth of six days
#: of losses was 0.815 instead of 0.809 (7 nodes); with four requests 0.814.
ZONE_COST = 0.15

#: Seconds by which requests in flight from other nodes are seen late: a heartbeat
#: to the leader, which adds them up, one from it to a relay, and one from there.
SEEN_LATE_S = 0.4


class Router:
    """Chooses by requests in flight, slowness, failures and zone.

    :param read_rate: returns the requests a second of all nodes for a model.
    :param is_closed: whether an instance that is listed takes no request now.
    """

    def __init__(
        self,
        view: FleetView,
        board: LoadBoard,
        watchdog: Watchdog,
        availability_zone: str,
        read_rate: Callable[[str], float] = lambda model: 0.0,
        is_closed: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        self._view = view
        self._board = board
        self._watchdog = watchdog
        self._zone = availability_zone
        self._read_rate = read_rate
        self._is_closed = is_closed

    def choose_service(self, route: Route) -> str:
        """Return a service of a route, by the weights of its backends."""
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [item.weight for item in route.backends]
        if sum(weights) <= 0:
            return route.backends[0].service
        return random.choices(route.backends, weights)[0].service

    def _away(self, instance: FleetInstance, slots: int) -> float:
        """Return what speaks against an instance's zone, in requests in flight."""
        return 0.0 if instance.availability_zone == self._zone else ZONE_COST * slots

    def choose_group(
        self, service: Service, model: str, avoided: Collection[str], bound: int
    ) -> OpenGroup | None:
        """Return the open group of a model with the least load, or ``None``.

        :param avoided: heads that the request was sent to already.
        :param bound: requests in flight at which a group takes no more.
        """
        groups = []
        loads = []
        for group in self._view.list_open(service.name, model):
            head = group.head.name
            if head in avoided or self._watchdog.is_avoided(group):
                continue
            if self._board.is_outdated(group.head) or self._is_closed(head):
                continue
            count = self._board.count(head)
            if count >= bound:
                continue
            groups.append(group)
            loads.append(self._weigh(group.head, count, service))
        if not groups:
            return None
        arrivals = self._read_rate(model) * SEEN_LATE_S
        return groups[choose_spread(loads, arrivals, random.random())]

    def _weigh(self, head: FleetInstance, count: int, service: Service) -> float:
        """Return a head's load with what speaks against it, in requests."""
        slots = service.engine.slots if service.engine else 1
        load = count * self._board.slowness(head.name) + self._away(head, slots)
        if self._board.is_held(head.name):
            load += slots
        return load

    def choose_instance(
        self, service: Service, avoided: Collection[str]
    ) -> FleetInstance | None:
        """Return the instance of a plain service with the least load."""
        best: FleetInstance | None = None
        least = float('inf')
        for instance in self._view.list_serving(service.name):
            name = instance.name
            if name in avoided or self._is_closed(name):
                continue
            load = (self._board.count(name) + 1) * self._board.slowness(name)
            cost = load + self._away(instance, instance.slots) + random.random() * 0.2
            if self._board.is_held(name):
                cost += 100.0
            if cost < least:
                best, least = instance, cost
        return best
