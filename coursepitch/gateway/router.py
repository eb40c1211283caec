"""Selection of the instance or group for a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from coursepitch.gateway.load_shares import choose_by_shares

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from coursepitch.config.routes import Route, Service
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.view import FleetView, OpenGroup
    from coursepitch.gateway.load_tracker import LoadTracker
    from coursepitch.gateway.watchdog import Watchdog

__all__ = ['Router', 'find_zone_cost']

#: Cost of sending to another availability zone, in requests in flight per slot of a
#: group.  Traffic between zones is charged, and a group that meets its objective can
#: serve one or two more requests.
ZONE_COST_PER_SLOT = 0.15

#: Cost of sending to a zone whose evacuation is requested, in requests in flight: more
#: than any load, so that it is used only where no other zone has room.
EVACUATION_COST = 1000.0

#: Largest factor on that cost for groups.  Spreading the arrivals of other nodes would
#: otherwise send more to other zones.
MAX_ZONE_COST_FACTOR = 2.0

#: Delay in seconds of the loads of other nodes: they take one heartbeat to the leader,
#: which adds them up, one from the leader to a relay, and one from the relay.
PEER_LOAD_DELAY_S = 0.4

#: Factor on the requests that other nodes send in that time.  The known loads do not
#: show yet how other nodes reacted to the loads before, so filling up the lowest loads
#: within one delay overcorrects and loads oscillate.  A correction that is delayed by T
#: stops oscillating where its rate is 1 / (e * T).
ARRIVALS_FACTOR = 2.7


def find_zone_cost(service: Service, arrivals_per_group: float) -> float:
    """Return the cost of sending to a group in another zone, in requests in flight.

    :param arrivals_per_group: arrivals over which the choice is spread.
    """
    slots = service.engine.slots if service.engine else 1
    factor = min(MAX_ZONE_COST_FACTOR, 1 + arrivals_per_group)
    return ZONE_COST_PER_SLOT * slots * factor


class Router:
    """Choose targets by requests in flight, slowness, failures and zone.

    :param read_rate: returns the requests per second of other nodes for a model.
    :param is_closed: whether a listed instance accepts no requests at present.
    :param has_idle: whether an idle connection to an address may be reused.
    """

    def __init__(
        self,
        view: FleetView,
        load_tracker: LoadTracker,
        watchdog: Watchdog,
        availability_zone: str,
        read_rate: Callable[[str], float] = lambda model: 0.0,
        is_closed: Callable[[str], bool] = lambda instance: False,
        has_idle: Callable[[str], bool] = lambda address: False,
    ) -> None:
        self._view = view
        self._load_tracker = load_tracker
        self._watchdog = watchdog
        self._zone = availability_zone
        self._read_rate = read_rate
        self._is_closed = is_closed
        self._has_idle = has_idle

    def choose_service(self, route: Route) -> str:
        """Return the name of a service of a route, drawn by backend weights."""
        if len(route.backends) == 1:
            return route.backends[0].service
        weights = [item.weight for item in route.backends]
        if sum(weights) <= 0:
            return route.backends[0].service
        return random.choices(route.backends, weights)[0].service

    def _zone_cost(self, instance: FleetInstance, cost: float) -> float:
        """Return the cost of an instance's zone, in requests in flight.

        :param cost: cost of another zone.
        """
        if self._view.evacuations.is_requested(instance.availability_zone):
            return EVACUATION_COST
        return 0.0 if instance.availability_zone == self._zone else cost

    def _list_untried(
        self,
        service: Service,
        model: str,
        tried: Collection[str],
        *,
        with_suspected: bool,
        has_failed: bool,
    ) -> list[OpenGroup]:
        """Return the open groups of a model whose members are not suspected.

        If all are suspected, silence does not tell the failed ones from the others,
        and only those with a member that is proven gone are left out.

        :param tried: heads whose groups are left out.
        """
        found = self._view.list_open(service.name, model)
        trusted = [group for group in found if not self._watchdog.is_avoided(group)]
        untried = [group for group in trusted if group.head.name not in tried]
        if untried or not with_suspected or (trusted and not has_failed):
            return untried
        suspected = self._view.list_suspected(service.name, model)
        return [
            group
            for group in [*found, *suspected]
            if group.head.name not in tried
            and not self._watchdog.has_ended_member(group)
        ]

    def choose_group(
        self,
        service: Service,
        model: str,
        tried: Collection[str],
        max_in_flight: int,
        *,
        with_suspected: bool = True,
        has_failed: bool = False,
    ) -> OpenGroup | None:
        """Return the open group of a model with the least load, or ``None``.

        :param tried: heads that the request has already been sent to.
        :param max_in_flight: requests in flight at which a group counts as full.
        :param with_suspected: whether a group may be chosen that is suspected of having
            lost a member, if all are.
        :param has_failed: whether the request has failed where it was tried, so that a
            suspected group may be chosen if all others were tried.
        """
        groups = []
        counts = []
        for group in self._list_untried(
            service,
            model,
            tried,
            with_suspected=with_suspected,
            has_failed=has_failed,
        ):
            head = group.head.name
            if self._load_tracker.is_outdated(group.head) or self._is_closed(head):
                continue
            count = self._load_tracker.count_in_flight(head)
            if count >= max_in_flight:
                continue
            groups.append(group)
            counts.append(count)
        if not groups:
            return None
        arrivals = self._read_rate(model) * PEER_LOAD_DELAY_S * ARRIVALS_FACTOR
        zone_cost = find_zone_cost(service, arrivals / len(groups))
        loads = [
            self._find_load(group.head, count, service, zone_cost)
            for group, count in zip(groups, counts, strict=True)
        ]
        index = choose_by_shares(loads, arrivals, random.random())
        return self._prefer_connected(groups, loads, index)

    def _prefer_connected(
        self, groups: Sequence[OpenGroup], loads: Sequence[float], index: int
    ) -> OpenGroup:
        """Return the chosen group, or an equally loaded one with an idle connection.

        A new connection costs the head a millisecond of a slot, and is charged.
        """
        if self._has_idle(groups[index].head.address):
            return groups[index]
        load = loads[index]
        connected = [
            group
            for group, other in zip(groups, loads, strict=True)
            if other == load and self._has_idle(group.head.address)
        ]
        return random.choice(connected) if connected else groups[index]

    def _find_load(
        self, head: FleetInstance, count: int, service: Service, zone_cost: float
    ) -> float:
        """Return a head's load and costs, in requests in flight.

        :param zone_cost: cost of another zone.
        """
        slots = service.engine.slots if service.engine else 1
        load = count * self._load_tracker.slowness(head.name) + self._zone_cost(
            head, zone_cost
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
            zone_cost = self._zone_cost(instance, ZONE_COST_PER_SLOT * instance.slots)
            cost = load + zone_cost + random.random() * 0.2
            if self._load_tracker.is_avoided(name):
                cost += 100.0
            if cost < least:
                best, least = instance, cost
        return best
