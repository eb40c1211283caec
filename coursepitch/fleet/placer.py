"""Claims of new groups and orders to load weights, made by the leader."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.fleet.claims import GroupClaim
from coursepitch.fleet.conversions import (
    Conversion,
    ConvertibleGroup,
    choose_conversion,
)
from coursepitch.fleet.instances import GroupState
from coursepitch.fleet.orders import Order, OrderKind
from coursepitch.fleet.placement import (
    PlacementPlan,
    Staging,
    choose_second_weights,
    count_targets,
    find_weight_tier,
    plan_domains,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from coursepitch.config.routes import EngineProfile, ModelProfile, Service
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.ledger import LoadLimiter, OrderLedger
    from coursepitch.fleet.view import FleetView

__all__ = [
    'ClaimChange',
    'Placer',
    'ServiceSnapshot',
    'is_warming_up',
    'is_warmup_group',
]

#: Fraction of the weight store's concurrent loads that may be of second models, which
#: no group waits for.  The rest is left for instances that arrive without weights.
SECOND_MODEL_LOAD_FRACTION = 0.5

#: Seconds without a change in the list of instances before groups of one model are
#: ended for a group of another.  A conversion costs two to four seconds of service, and
#: instances are lost and return in bursts, so survivors first form groups again.
CONVERSION_QUIET_S = 0.6

#: Prefix of the names of single-instance groups that only load weights into memory.
#: They are never claimed and never opened.
WARMUP_GROUP_PREFIX = 'w'

#: Seconds beyond a model's usual warm-up time after which the order to warm up is sent
#: again.
WARMUP_RETRY_S = 3.0

#: Free instances that hold the largest model in memory, kept in each fabric domain that
#: has a group of it, with the instances that are loading it.  Two or three members are
#: lost at a time.
LARGEST_MODEL_SPARES = 3

#: Seconds beyond a model's load time after which an order to load is sent again if the
#: instance's entry does not show the weights.
STAGE_RETRY_S = 3.0


@dataclass(frozen=True, slots=True)
class ClaimChange:
    """The new claims of one fabric domain, to be written conditionally.

    :param claims: all claims of the domain after the change.
    :param added: names of the new groups.
    :param dropped: names of the groups that are removed.
    """

    service: str
    domain: str
    claims: tuple[GroupClaim, ...]
    added: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """Snapshot of one service, from which the leader decides.

    :param claims: the claims that are kept.
    :param dropped: the claims that are removed now.
    :param free: instances that may join a group, by fabric domain.
    :param work: arriving work by model, in instance-seconds per second.
    :param now: monotonic time in seconds.
    :param loads_fast: whether no request has arrived yet, so that loads are fast and
        are not limited.
    :param instances_stable: whether the list of instances has stopped changing.
    :param reserved: models for which groups are being ended, by fabric domain.
    """

    view: FleetView
    service: Service
    engine: EngineProfile
    claims: Sequence[GroupClaim]
    dropped: Sequence[GroupClaim]
    free: Mapping[str, Sequence[FleetInstance]]
    work: Mapping[str, float]
    now: float
    loads_fast: bool
    instances_stable: bool
    reserved: Mapping[str, str]

    def list_instances(self) -> list[FleetInstance]:
        """Return the instances of the service that can be in groups from now on.

        They are not leaving, and the evacuation of their zone is not requested.
        """
        evacuations = self.view.evacuations
        present = self.list_present()
        if not evacuations.is_any_requested:
            return present
        return [
            item
            for item in present
            if not evacuations.is_requested(item.availability_zone)
        ]

    def list_present(self) -> list[FleetInstance]:
        """Return the instances of the service that are not leaving, in all zones."""
        return [
            item
            for item in self.view.instances.values()
            if item.service == self.service.name and not item.draining
        ]

    def count_groups(self) -> dict[str, int]:
        """Return the number of claimed groups by model, except in evacuated zones."""
        counts: dict[str, int] = defaultdict(int)
        for claim in self.claims:
            if not self.view.is_being_evacuated(claim):
                counts[claim.model] += 1
        return counts

    def list_open_groups(self) -> dict[str, list[ConvertibleGroup]]:
        """Return the open groups by fabric domain, except in evacuated zones."""
        standing: dict[str, list[ConvertibleGroup]] = defaultdict(list)
        for claim in self.claims:
            group = self.view.find_open(claim)
            if group is not None and not self.view.is_being_evacuated(claim):
                standing[claim.domain].append(
                    ConvertibleGroup(claim.name, claim.model, group.members)
                )
        return standing

    def find_targets(self) -> dict[str, float]:
        """Return the target number of groups by model."""
        total = len(self.list_instances())
        return count_targets(self.engine.models, total, self.work)


def is_warming_up(instance: FleetInstance) -> bool:
    """Whether an instance is in a group that only loads weights into memory."""
    membership = instance.membership
    return membership is not None and is_warmup_group(membership.group)


def is_warmup_group(name: str) -> bool:
    """Whether a group of one instance only loads weights into memory."""
    return name.startswith(WARMUP_GROUP_PREFIX)


class Placer:
    """Turns placement plans into claims and orders."""

    def __init__(self, ledger: OrderLedger, loads: LoadLimiter) -> None:
        self._ledger = ledger
        self._loads = loads
        self._warmup_ordered_at: dict[str, float] = {}
        self._fully_loaded: dict[str, FleetInstance] = {}
        self._models: tuple[ModelProfile, ...] = ()
        self._last_instances: frozenset[str] = frozenset()
        self._unchanged_since = float('-inf')

    def place(self, snapshot: ServiceSnapshot) -> tuple[list[ClaimChange], list[Order]]:
        """Return the claims to change and the orders to load weights."""
        load_s = {model.name: model.load_s for model in snapshot.engine.models}
        self._loads.drop_finished(snapshot.view.instances, load_s, snapshot.now)
        plans: dict[str, PlacementPlan] = {}
        if snapshot.instances_stable:
            plans = plan_domains(
                snapshot.free,
                snapshot.engine.models,
                snapshot.count_groups(),
                snapshot.find_targets(),
                allow_unloaded=snapshot.loads_fast,
                reserved=snapshot.reserved,
            )
        changes = self._list_claim_changes(snapshot, plans)
        orders: list[Order] = []
        for plan in plans.values():
            for staging in plan.stagings:
                orders += self._stage(staging, snapshot)
        if snapshot.loads_fast or self._may_load_second_models(snapshot.engine):
            orders += self._stage_second_models(snapshot)
        used = {
            name
            for plan in plans.values()
            for formation in plan.formations
            for name in formation.members
        }
        if not snapshot.loads_fast:
            orders += self._order_spares(snapshot, used)
        return changes, orders + self._order_warmups(snapshot, used)

    def _order_warmups(
        self, snapshot: ServiceSnapshot, used: Collection[str]
    ) -> list[Order]:
        """Return orders that make free instances load their hosts' weights into memory.

        An instance that was never in a group holds one model's weights, and only on its
        host.  It can't join groups of another model, and takes 1 to 2 s longer to join
        one of its own.  With the weights also in memory, its host can load another
        model's.

        :param used: names of instances from which groups are being formed.
        """
        orders = []
        for instance in (item for items in snapshot.free.values() for item in items):
            name = instance.name
            bare = not (instance.models or instance.last_model or instance.membership)
            busy = name in used or name in self._loads.running
            model = snapshot.engine.find_model(min(instance.staged, default=''))
            if not bare or busy or model is None:
                continue
            retry_s = model.warm_s + WARMUP_RETRY_S
            if (
                snapshot.now - self._warmup_ordered_at.get(name, float('-inf'))
                < retry_s
            ):
                continue
            self._warmup_ordered_at[name] = snapshot.now
            orders.append(_order_warmup(snapshot, instance, model.name))
        return orders

    def _order_spares(
        self, snapshot: ServiceSnapshot, used: Collection[str]
    ) -> list[Order]:
        """Return orders that make spares of the largest model hold it in memory.

        A group that lost members forms again from its survivors and free instances.
        Where one of these holds the weights only on its host, the whole group waits
        ``warm_s`` for it instead of 0.2 s.  Only domains with a group of the model get
        spares.

        :param used: names of instances from which groups are being formed.
        """
        largest = max(snapshot.engine.models, key=lambda item: item.size)
        if all(item.size == largest.size for item in snapshot.engine.models):
            return []
        able: dict[str, list[FleetInstance]] = {}
        for domain, items in snapshot.free.items():
            for instance in items:
                if self._may_become_spare(instance, largest, snapshot.now):
                    able.setdefault(domain, []).append(instance)
        if not able:
            return []
        domains = {
            claim.domain for claim in snapshot.claims if claim.model == largest.name
        }
        orders: list[Order] = []
        for domain in sorted(domains.intersection(able)):
            have = sum(
                self._is_spare(item, largest, snapshot.now)
                for item in snapshot.free[domain]
                if item.name not in used
            )
            chosen = [item for item in able[domain] if item.name not in used]
            for instance in chosen[: max(0, LARGEST_MODEL_SPARES - have)]:
                self._warmup_ordered_at[instance.name] = snapshot.now
                orders.append(_order_warmup(snapshot, instance, largest.name))
        return orders

    def _may_become_spare(
        self, instance: FleetInstance, model: ModelProfile, now: float
    ) -> bool:
        """Whether a free instance may be ordered to load a model from its host."""
        return (
            instance.membership is None
            and instance.last_model not in ('', model.name)
            and model.name in instance.staged
            and instance.name not in self._loads.running
            and not self._is_spare(instance, model, now)
        )

    def _is_spare(
        self, instance: FleetInstance, model: ModelProfile, now: float
    ) -> bool:
        """Whether a free instance holds a model in memory or was ordered to load it."""
        if find_weight_tier(instance, model.name) == 2:
            return True
        ordered_at = self._warmup_ordered_at.get(instance.name, float('-inf'))
        return (
            model.name in instance.staged
            and now - ordered_at < model.warm_s + WARMUP_RETRY_S
        )

    def _may_load_second_models(self, engine: EngineProfile) -> bool:
        """Whether loads of second models, which no group waits for, may start."""
        most = int(engine.loads_at_once * SECOND_MODEL_LOAD_FRACTION)
        return len(self._loads.running) < most

    def _list_claim_changes(
        self, snapshot: ServiceSnapshot, plans: Mapping[str, PlacementPlan]
    ) -> list[ClaimChange]:
        changes = []
        ending = {claim.domain for claim in snapshot.dropped}
        for domain in sorted(set(plans) | ending):
            added = _form_claims(snapshot, domain, plans.get(domain, PlacementPlan()))
            if not added and domain not in ending:
                continue
            kept = [claim for claim in snapshot.claims if claim.domain == domain]
            changes.append(
                ClaimChange(
                    snapshot.service.name,
                    domain,
                    (*kept, *added),
                    tuple(claim.name for claim in added),
                    tuple(
                        item.name for item in snapshot.dropped if item.domain == domain
                    ),
                )
            )
        return changes

    def _stage_second_models(self, snapshot: ServiceSnapshot) -> list[Order]:
        """Return orders to load a second model's weights onto hosts.

        An instance that holds both models can join any group within a second or two.
        Once loads are slow, at most one is started per decision, and only within
        :data:`SECOND_MODEL_LOAD_FRACTION` of the concurrent loads.
        """
        orders: list[Order] = []
        gone = len(self._fully_loaded) > 2 * len(snapshot.view.instances)
        if gone or self._models != snapshot.engine.models:
            self._models = snapshot.engine.models
            self._fully_loaded.clear()
        for instance in snapshot.list_instances():
            membership = instance.membership
            state = membership.state if membership else None
            if state in (GroupState.JOINING, GroupState.BROKEN):
                continue
            # Most instances already hold both models: checking all 3,000 again took
            # 13% of the time of a decision.
            if self._fully_loaded.get(instance.name) is instance:
                continue
            staging = choose_second_weights(instance, snapshot.engine.models)
            if staging is None:
                self._fully_loaded[instance.name] = instance
            else:
                orders += self._stage(staging, snapshot)
            if orders and not snapshot.loads_fast:
                break
        return orders

    def _stage(self, staging: Staging, snapshot: ServiceSnapshot) -> list[Order]:
        """Return an order to load weights if the load limits allow one now."""
        model = snapshot.engine.find_model(staging.model)
        address = self._ledger.addresses[staging.instance]
        order = Order(OrderKind.STAGE, staging.instance, address, model=staging.model)
        if snapshot.loads_fast:
            retry_s = STAGE_RETRY_S + (model.load_s if model else 0.0)
            return self._ledger.list_if_due(order, retry_s, snapshot.now)
        engine = snapshot.engine
        if staging.instance in self._loads.running:
            return []
        if not self._loads.take(engine.loads_per_s, engine.loads_at_once, snapshot.now):
            return []
        self._loads.running[staging.instance] = (staging.model, snapshot.now)
        return [order]

    def _is_quiet(self, snapshot: ServiceSnapshot) -> bool:
        """Whether no instance came or went for :data:`CONVERSION_QUIET_S`."""
        present = frozenset(item.name for item in snapshot.list_present())
        if present != self._last_instances:
            self._last_instances, self._unchanged_since = present, snapshot.now
        return snapshot.now - self._unchanged_since >= CONVERSION_QUIET_S

    def choose_conversion(self, snapshot: ServiceSnapshot) -> Conversion | None:
        """Return the open groups to end for one of a model with a larger shortage."""
        if not self._is_quiet(snapshot):
            return None
        return choose_conversion(
            snapshot.free,
            snapshot.list_open_groups(),
            snapshot.engine.models,
            snapshot.count_groups(),
            snapshot.find_targets(),
        )


def _order_warmup(
    snapshot: ServiceSnapshot, instance: FleetInstance, model: str
) -> Order:
    """Return an order to join an unclaimed group with the instance as only member.

    Its epoch is below that of every group claimed later, so that instances refuse the
    order if it arrives after a later one.
    """
    epoch = snapshot.view.store_revision
    return Order(
        OrderKind.JOIN,
        instance.name,
        instance.address,
        f'{WARMUP_GROUP_PREFIX}{epoch}-{instance.name}',
        epoch,
        model,
        (instance.name,),
    )


def _form_claims(
    snapshot: ServiceSnapshot, domain: str, plan: PlacementPlan
) -> list[GroupClaim]:
    """Return the claims of the groups to form in a domain.

    Their epoch is above that of all earlier groups, as each transaction that writes
    claims raises the store's revision.
    """
    epoch = snapshot.view.store_revision + 1
    return [
        GroupClaim(
            f'g{epoch}-{domain or "x"}-{place}',
            epoch,
            snapshot.service.name,
            domain,
            formation.model,
            formation.members,
        )
        for place, formation in enumerate(plan.formations)
    ]
