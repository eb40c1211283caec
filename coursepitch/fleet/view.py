"""A node's local copy of the fleet state in the platform's store.

The view applies the entries of a listing or a watch in their order.  It makes no
requests of its own; :mod:`coursepitch.fleet.session` feeds it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from coursepitch import events, log
from coursepitch.crashes.refused import decode_refused
from coursepitch.errors import CodecError, FindingsError
from coursepitch.fleet.claims import GroupClaim, decode_claims, decode_loads
from coursepitch.fleet.evacuations import Evacuations
from coursepitch.fleet.instances import GroupState
from coursepitch.fleet.leaving import LeavingInstances
from coursepitch.fleet.lost import LOST_PREFIX, LostInstances
from coursepitch.fleet.nodes import decode_place
from coursepitch.platform.configuration import CONFIGURATION_KEY, decode_configuration
from coursepitch.platform.fleet import (
    EVACUATION_PREFIX,
    INSTANCE_PREFIX,
    MAX_NAME_CHARACTERS,
    decode_instance,
)
from coursepitch.platform.kv import Entry
from coursepitch.util.decoding import describe_error

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coursepitch.clock import Clock
    from coursepitch.config.routes import RouteTable
    from coursepitch.crashes.refused import RefusedRequest
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.nodes import NodeLocation
    from coursepitch.platform.kv import Events

__all__ = [
    'CLAIM_PREFIX',
    'LEADER_KEY',
    'LOAD_PREFIX',
    'NODE_PREFIX',
    'REFUSED_PREFIX',
    'ROOT',
    'FleetView',
    'OpenGroup',
    'claim_key',
]

#: Prefix of this system's keys in the store; each is written conditionally.
ROOT = 'coursepitch/'
NODE_PREFIX = ROOT + 'nodes/'
CLAIM_PREFIX = ROOT + 'claims/'
LOAD_PREFIX = ROOT + 'loads/'
REFUSED_PREFIX = ROOT + 'refused/'
LEADER_KEY = ROOT + 'leader'

#: Seconds for which the store must have answered before a missing entry means that
#: the instance or node is gone.  After an outage of the store, the platform restores
#: expired entries within about two seconds.
LAPSE_HOLD_S = 2.3

#: Default number of seconds for which an instance still gets requests after its entry
#: may have expired with the store.  Users accept requests up to 2 s after an instance
#: left, and entries of live instances are usually back within 0.8 s of its return.
DEFAULT_LAPSED_SERVE_S = 1.4

#: Seconds for which a node that gave up its entry may still finish requests; a planned
#: stop takes less.
DEPARTED_S = 60.0

#: Maximum number of keys whose damaged entries are logged: a faulty writer may create
#: any number of keys.
MAX_LOGGED_DAMAGED_KEYS = 64


def claim_key(service: str, domain: str) -> str:
    """Return the key that holds the claims of one fabric domain."""
    return f'{CLAIM_PREFIX}{service}/{domain or "-"}'


@dataclass(frozen=True, slots=True)
class OpenGroup:
    """A group that may receive requests.

    :param members: all members, head first.
    """

    claim: GroupClaim
    head: FleetInstance
    members: tuple[FleetInstance, ...]


@dataclass(eq=False)
class FleetView:
    """Configuration, instances, claims and nodes, as last received.

    :param lost: instances that do not respond.
    :param leaving: instances that announced in a response that they are leaving.
    :param evacuations: zones that operators evacuate.
    :param loads: models whose loading has begun, by service and instance.
    :param table_entry: store entry of the active configuration.
    :param leader_changed_at: revision at which the leader's key last changed.
    :param store_revision: newest known revision of the store.
    :param received_revision: revision up to which all changes were received.
    :param lapsed_serve_s: seconds for which an instance still gets requests after its
        entry may have expired with the store.
    :param find_store_uptime_s: returns for how many seconds, up to now, the store is
        known to have answered.
    :param on_restart: called with the name of an instance that restarted.
    :param logs_changes: returns whether this node logs changes of instances.  Only
        nodes that watch the store do: when all 89 nodes did, 80% of the log lines
        were duplicates.
    :param is_change_recent: returns whether a change that arrives now was written only
        a moment ago.
    :param refused: requests that are known to crash instances, by fingerprint.
    :param on_cold: called with the name of an instance and the seconds for which it
        stays cold, for each entry of an instance that is received.
    :param on_refused: called with such a request when its entry is received.
    """

    clock: Clock
    table: RouteTable | None = None
    table_entry: Entry | None = None
    instances: dict[str, FleetInstance] = field(default_factory=dict)
    claims: dict[str, tuple[GroupClaim, ...]] = field(default_factory=dict)
    claim_revisions: dict[str, int] = field(default_factory=dict)
    loads: dict[str, dict[str, str]] = field(default_factory=dict)
    nodes: dict[str, NodeLocation] = field(default_factory=dict)
    lost: LostInstances = field(init=False)
    leaving: LeavingInstances = field(init=False)
    evacuations: Evacuations = field(init=False)
    leader: str = ''
    leader_revision: int = 0
    leader_changed_at: int = 0
    store_revision: int = 0
    received_revision: int = 0
    lapsed_serve_s: float = DEFAULT_LAPSED_SERVE_S
    find_store_uptime_s: Callable[[], float] = lambda: float('inf')
    on_restart: Callable[[str], None] = lambda name: None
    on_cold: Callable[[str, float], None] = lambda name, left_s: None
    logs_changes: Callable[[], bool] = lambda: True
    is_change_recent: Callable[[], bool] = lambda: True
    refused: dict[str, RefusedRequest] = field(default_factory=dict)
    on_refused: Callable[[RefusedRequest], None] = lambda found: None
    arrived_at: float = float('-inf')
    version: int = 0
    _lapsed_since: dict[str, float] = field(default_factory=dict)
    _lapsed_nodes: set[str] = field(default_factory=set)
    _departed_nodes: dict[str, tuple[NodeLocation, float]] = field(default_factory=dict)
    _excluded: set[str] = field(default_factory=set)
    _damaged_names: set[str] = field(default_factory=set)
    _evacuation_revisions: dict[str, int] = field(default_factory=dict)
    _unknown_zones: set[str] = field(default_factory=set)
    _evacuated_services: set[str] = field(default_factory=set)
    _zone_examples: dict[str, dict[str, str]] = field(default_factory=dict)
    _zone_examples_version: int = -1
    _open_by_model: dict[tuple[str, str], list[OpenGroup]] = field(default_factory=dict)
    _open_by_model_version: int = -1
    _suspected_by_model: dict[tuple[str, str], list[OpenGroup]] = field(
        default_factory=dict
    )
    _suspected_by_model_version: int = -1
    _open_groups: dict[GroupClaim, OpenGroup] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.lost = LostInstances(self.clock)
        self.leaving = LeavingInstances(self.clock)
        self.evacuations = Evacuations(self.clock)

    # -- applying changes --------------------------------------------------------

    def apply(self, found: Events) -> bool:
        """Apply the result of a listing or a watch; ``False`` if it is out of date.

        Of a watch, only entries newer than the revision received so far are applied.
        """
        if found.revision < self.received_revision:
            return False
        changed = found.complete
        if found.complete:
            for entry in self._list_missing(found):
                self.apply_entry(entry)
        for entry in found.entries:
            if found.complete or entry.changed_at > self.received_revision:
                changed |= self.apply_entry(entry, listed=found.complete)
        self.store_revision = max(self.store_revision, found.revision)
        self.received_revision = found.revision
        self.version += changed
        return True

    def list_changes(self, found: Events) -> tuple[Entry, ...]:
        """Return the entries of a listing or a watch that change this view.

        Of a listing, these are the entries newer than the revision received so far,
        and a deletion at the listing's revision for each known key that is missing.
        """
        if not found.complete:
            return found.entries
        newer = [
            item for item in found.entries if item.changed_at > self.received_revision
        ]
        return (*self._list_missing(found), *newer)

    def _list_missing(self, found: Events) -> list[Entry]:
        """Return deletions for the known keys that a full listing lacks."""
        present = {entry.key for entry in found.entries}
        known = [
            *(INSTANCE_PREFIX + name for name in self.instances),
            *(NODE_PREFIX + name for name in self.nodes),
            *(LOST_PREFIX + name for name in self.lost.stored),
            *(LOAD_PREFIX + name for name in self.loads),
            *(REFUSED_PREFIX + name for name in self.refused),
            *(EVACUATION_PREFIX + zone for zone in self.evacuations.list_requested()),
        ]
        # This node may have written these after the listing was made.
        known += [
            key
            for key, revision in self.claim_revisions.items()
            if revision <= found.revision
        ]
        if self.leader and self.leader_revision <= found.revision:
            known.append(LEADER_KEY)
        return [
            Entry(key, deleted_at=found.revision) for key in known if key not in present
        ]

    def apply_entry(self, entry: Entry, *, listed: bool = False) -> bool:
        """Apply the write or deletion of one key.

        Return ``False`` for the entry of an instance of which at most the time until it
        is warm changed.  An entry that can't be applied is left out, as any process may
        have written it.

        :param listed: whether the entry comes from a listing, so that it may have been
            written long ago.
        """
        try:
            return self._apply_entry(entry, listed)
        except Exception as error:
            self._log_damaged(entry.key, describe_error(error))
            return True

    def _apply_entry(self, entry: Entry, listed: bool) -> bool:
        key = entry.key
        if key.startswith(INSTANCE_PREFIX):
            return self._apply_instance(key[len(INSTANCE_PREFIX) :], entry)
        if key == CONFIGURATION_KEY:
            self.apply_configuration(entry)
        elif key.startswith(CLAIM_PREFIX):
            self.apply_claims(entry)
        elif key.startswith(LOAD_PREFIX):
            self._apply_loads(key[len(LOAD_PREFIX) :], entry)
        elif key.startswith(NODE_PREFIX):
            self._apply_node(key[len(NODE_PREFIX) :], entry)
        elif key.startswith(LOST_PREFIX):
            self._apply_lost(key[len(LOST_PREFIX) :], entry)
        elif key.startswith(REFUSED_PREFIX):
            self._apply_refused(key[len(REFUSED_PREFIX) :], entry)
        elif key == LEADER_KEY:
            self._apply_leader(entry)
        elif key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(key[len(EVACUATION_PREFIX) :], entry, listed)
        return True

    def _apply_lost(self, name: str, entry: Entry) -> None:
        if entry.present:
            self.note_stored_lost(name)
        else:
            self.drop_stored_lost(name)

    def note_stored_lost(self, name: str) -> None:
        """Record that the store lists an instance as lost."""
        self.lost.note_stored(name)
        self.version += 1

    def drop_stored_lost(self, name: str) -> None:
        """Record that the store no longer lists an instance as lost."""
        self.lost.stored.discard(name)
        self.note_answering(name)
        self.version += 1

    def note_reported_lost(self, name: str, *, ended: bool = False) -> bool:
        """Record a peer's report of a lost instance; ``False`` if nothing changes.

        :param ended: whether its process is proven to be gone.
        """
        news = name in self.instances and self.lost.note_report(name, ended=ended)
        self.version += news
        return news

    def note_answering(self, name: str) -> bool:
        """Record that an instance responds again; ``False`` if nothing changes."""
        news = self.lost.note_answering(name)
        self.version += news
        return news

    def note_leaving(self, name: str, born: int) -> bool:
        """Record that an instance is leaving; ``False`` if that is known already.

        :param born: start time of its incarnation, in Unix milliseconds.
        """
        if not self.leaving.note(name, born):
            return False
        found = self.instances.get(name)
        if found is not None and self.leaving.has(found):
            self.instances[name] = replace(found, draining=True)
            self.version += 1
        return True

    def _apply_leader(self, entry: Entry) -> None:
        """Apply the leader's key, unless a newer revision is known."""
        if entry.changed_at and entry.changed_at < self.leader_revision:
            return
        self.leader = entry.value if entry.present else ''
        self.leader_revision = entry.revision
        self.leader_changed_at = entry.changed_at

    def apply_configuration(self, entry: Entry) -> None:
        """Activate a configuration unless one at least as new is active."""
        if not entry.present:
            return
        if self.table is not None and entry.revision <= self.table.revision:
            return
        try:
            table = decode_configuration(entry.value, entry.revision)
        except FindingsError as error:
            log.emit(events.CONFIG_DAMAGED, revision=entry.revision, reason=str(error))
            return
        self.table = table
        self.table_entry = entry
        self.version += 1
        log.emit(
            events.TABLE_IN_FORCE,
            version=table.version,
            revision=table.revision,
            routes=len(table.routes),
        )

    def apply_claims(self, entry: Entry) -> None:
        """Apply the claims of a fabric domain, unless newer ones are known."""
        known = self.claim_revisions.get(entry.key, 0)
        if entry.changed_at and entry.changed_at < known:
            return
        self.version += 1
        if not entry.present:
            self.claims.pop(entry.key, None)
            self.claim_revisions.pop(entry.key, None)
            return
        # Recorded for damaged claims too: the leader overwrites them at this revision.
        self.claim_revisions[entry.key] = entry.revision
        try:
            self.claims[entry.key] = decode_claims(entry.value)
        except CodecError as error:
            log.emit(events.CLAIMS_DAMAGED, domain=entry.key, reason=str(error))

    def _apply_refused(self, fingerprint: str, entry: Entry) -> None:
        """Apply the entry of a refused request.

        A request whose entry was deleted is refused until its block expires.
        """
        if entry.present:
            self.note_refused(fingerprint, entry.value)
        else:
            self.refused.pop(fingerprint, None)

    def note_refused(self, fingerprint: str, value: str) -> None:
        """Record the value of a refused request's entry."""
        try:
            found = decode_refused(fingerprint, value)
        except CodecError as error:
            log.emit(events.CLAIMS_DAMAGED, domain=fingerprint, reason=str(error))
            return
        self.refused[fingerprint] = found
        self.on_refused(found)

    def _apply_loads(self, service: str, entry: Entry) -> None:
        try:
            self.loads[service] = decode_loads(entry.value) if entry.present else {}
        except CodecError as error:
            log.emit(events.CLAIMS_DAMAGED, domain=entry.key, reason=str(error))

    def _apply_evacuation(self, zone: str, entry: Entry, listed: bool) -> None:
        """Apply the request to evacuate a zone, or its withdrawal.

        The value is not read: the presence of the key is the request.
        """
        if not self.evacuations.enabled:
            return
        # A listing may contain a request whose withdrawal has already arrived.
        if 0 < entry.changed_at < self._evacuation_revisions.get(zone, 0):
            return
        self._evacuation_revisions[zone] = entry.changed_at
        if not entry.present:
            self._unknown_zones.discard(zone)
            if self.evacuations.note_withdrawn(zone):
                self._evacuated_services.clear()
                log.emit(events.ZONE_WITHDRAWN, zone=zone)
            return
        if not self._has_zone(zone):
            self._log_unknown_zone(zone)
        known_age = not listed and self.is_change_recent()
        # A request for a zone without instances is kept, in case they are listed later.
        if zone and self.evacuations.note_requested(zone, known_age):
            left_s = round(self.evacuations.find_left_s(zone), 3)
            log.emit(
                events.ZONE_REQUESTED,
                zone=zone,
                known_age=known_age,
                closes_in_s=left_s,
            )
            self._log_closed_zones()

    def _has_zone(self, zone: str) -> bool:
        """Whether an instance or node in a zone is listed."""
        return any(
            item.availability_zone == zone for item in self.instances.values()
        ) or any(item.availability_zone == zone for item in self.nodes.values())

    def _log_unknown_zone(self, zone: str) -> None:
        """Log an evacuation key without a known zone, once until it is deleted."""
        if (
            zone not in self._unknown_zones
            and len(self._unknown_zones) < MAX_LOGGED_DAMAGED_KEYS
        ):
            self._unknown_zones.add(zone)
            log.emit(events.ZONE_UNKNOWN, zone=zone)

    def _log_closed_zones(self) -> None:
        """Log zones that were closed since the last call, and services without any."""
        for zone in self.evacuations.take_newly_closed():
            log.emit(events.ZONE_CLOSED, zone=zone)
        if not self.evacuations.is_any_requested:
            return
        services = self._find_zone_examples()
        evacuated = {name for name in services if self.list_evacuated(name)}
        for service in sorted(evacuated - self._evacuated_services):
            log.emit(events.SERVICE_EVACUATED, service=service)
        self._evacuated_services = evacuated

    def _apply_node(self, name: str, entry: Entry) -> None:
        if entry.present:
            try:
                self.nodes[name] = decode_place(entry.value)
            except CodecError as error:
                self._log_damaged(NODE_PREFIX + name, str(error))
                return
            self._lapsed_nodes.discard(name)
            self._damaged_names.discard(NODE_PREFIX + name)
        else:
            self._remove_or_hold_node(name)

    def has_entry(self, node: str) -> bool:
        """Whether the store holds the entry of a node, as far as is known."""
        return node in self.nodes and node not in self._lapsed_nodes

    def _remove_or_hold_node(self, name: str) -> None:
        """Remove a node, unless its entry may have expired with the store.

        Links are only held to listed nodes.  Without this, an outage that let all
        entries expire closed every link, and four of seven nodes received no changes
        for 2.1 s after the store's return (one run).
        """
        if name in self.nodes and self._may_have_lapsed():
            self._lapsed_nodes.add(name)
            return
        self._drop_node(name)
        self._lapsed_nodes.discard(name)

    def _drop_node(self, name: str) -> None:
        place = self.nodes.pop(name, None)
        if place is not None:
            self._departed_nodes[name] = (place, self.clock())

    def list_nodes_and_departed(self) -> dict[str, NodeLocation]:
        """Return the listed nodes, and those that may still finish their requests.

        A node that stops as planned gives up its entry first.
        """
        start = self.clock() - DEPARTED_S
        self._departed_nodes = {
            name: (place, at)
            for name, (place, at) in self._departed_nodes.items()
            if at >= start
        }
        departed = {name: place for name, (place, _) in self._departed_nodes.items()}
        return {**departed, **self.nodes}

    def _may_have_lapsed(self) -> bool:
        """Whether an entry that is missing now may have expired in an outage.

        Not while any node knows that the store answered: a node that is cut off can't
        tell its own failure from an outage.  When its view alone counted, instances
        that had left got requests for 2.3 s on all nodes.
        """
        return self.find_store_uptime_s() < LAPSE_HOLD_S

    def _apply_instance(self, name: str, entry: Entry) -> bool:
        if not entry.present:
            self._remove_or_hold_instance(name)
            return True
        try:
            instance = decode_instance(name, entry.value)
        except CodecError as error:
            self._log_damaged(name, str(error))
            return True
        self._damaged_names.discard(name)
        before = self.instances.get(name)
        if before is not None:
            if before.is_restart_of(instance):
                # A late write of an earlier incarnation is ignored.
                log.emit(events.INSTANCE_STALE, instance=name, born=instance.born)
                return True
            self._handle_restart(before, instance)
            instance = instance.carry_over_model(before)
        self.on_cold(name, instance.cold_left_s)
        if self.leaving.has(instance):
            instance = replace(instance, draining=True)
        if instance == before and name not in self._lapsed_since:
            # Groups are evaluated again when the object of a member is replaced, and
            # the entry of a cold instance is written at each of its heartbeats.
            return False
        self._lapsed_since.pop(name, None)
        self._excluded.discard(name)
        self.instances[name] = instance
        if before is None:
            self.arrived_at = self.clock()
        if (before is None or before != instance) and self.logs_changes():
            _log_instance(instance, entry.revision)
        return True

    def log_instances(self) -> None:
        """Log the state of all instances; called when this node becomes leader."""
        for instance in self.instances.values():
            _log_instance(instance, self.received_revision)

    def _handle_restart(self, before: FleetInstance, after: FleetInstance) -> None:
        """Log and report an instance that restarted."""
        if after.is_restart_of(before):
            self.note_answering(after.name)
            log.emit(events.INSTANCE_RESTARTED, instance=after.name, born=after.born)
            self.on_restart(after.name)

    def _log_damaged(self, name: str, reason: str) -> None:
        """Log a damaged entry; the last valid state of its key is kept.

        One line per key until a valid entry arrives, however often it is written.
        """
        if (
            name not in self._damaged_names
            and len(self._damaged_names) < MAX_LOGGED_DAMAGED_KEYS
        ):
            self._damaged_names.add(name)
            name = name[:MAX_NAME_CHARACTERS]
            log.emit(events.INSTANCE_DAMAGED, instance=name, reason=reason)

    def _remove_or_hold_instance(self, name: str) -> None:
        """Remove an instance, unless its entry may have expired with the store.

        A draining instance is removed at once.
        """
        self._damaged_names.discard(name)
        found = self.instances.get(name)
        if found is None:
            return
        if found.draining or not self._may_have_lapsed():
            self._remove_instance(name)
        elif name not in self._lapsed_since:
            self._lapsed_since[name] = self.clock()
            uptime_s = round(self.find_store_uptime_s(), 3)
            log.emit(events.INSTANCE_VANISHED, instance=name, steady_s=uptime_s)

    def _remove_instance(self, name: str) -> None:
        """Remove an instance that is gone."""
        now = self.clock()
        held_s = round(now - self._lapsed_since.pop(name, now), 3)
        self._excluded.discard(name)
        # Another process may be listed under this name later.
        self.lost.forget_proof(name)
        if self.instances.pop(name, None) is not None:
            self.version += 1
            log.emit(events.INSTANCE_GONE, instance=name, held_s=held_s)

    def sweep(self) -> None:
        """Expire entries that did not return with the store.

        Instances whose entry has been missing for ``lapsed_serve_s`` get no more
        requests.
        """
        self.version += self.lost.forget_old()
        self._log_closed_zones()
        self.leaving.forget_old(self.instances)
        if not self._may_have_lapsed():
            for node in self._lapsed_nodes:
                self._drop_node(node)
            self._lapsed_nodes.clear()
            for name in list(self._lapsed_since):
                self._remove_instance(name)
        start = self.clock() - self.lapsed_serve_s
        late = {name for name, since in self._lapsed_since.items() if since <= start}
        if late - self._excluded:
            self._excluded |= late
            self.version += 1

    # -- queries ---------------------------------------------------------------------

    def all_claims(self) -> Iterable[GroupClaim]:
        """Yield the claims of all fabric domains."""
        for claims in self.claims.values():
            yield from claims

    def is_lapsed(self, name: str) -> bool:
        """Whether an instance's entry may have expired in an outage of the store."""
        return name in self._lapsed_since

    def list_serving(self, service: str) -> list[FleetInstance]:
        """Return the instances that accept requests for a service without groups."""
        return [
            item
            for item in self.instances.values()
            if item.service == service and self.accepts_requests(item.name)
        ]

    def list_software(self, service: str) -> set[str]:
        """Return the software versions of a service's instances."""
        return {
            item.software for item in self.instances.values() if item.service == service
        }

    def accepts_requests(self, name: str) -> bool:
        """Whether an instance is listed, not draining, and not lapsed for too long."""
        found = self.instances.get(name)
        return found is not None and not found.draining and name not in self._excluded

    def is_evacuated(self, name: str) -> bool:
        """Whether an instance is in a closed zone, so that nothing is sent to it."""
        if not self.evacuations.is_any_requested:
            return False
        found = self.instances.get(name)
        return found is not None and self.evacuations.is_closed(found.availability_zone)

    def list_evacuated(self, service: str) -> list[str]:
        """Return one instance of each zone of a service if all zones are closed.

        If any zone is open, none is returned.
        """
        examples = self._find_zone_examples().get(service, {})
        if all(self.evacuations.is_closed(zone) for zone in examples):
            return list(examples.values())
        return []

    def _find_zone_examples(self) -> dict[str, dict[str, str]]:
        """Return an instance that accepts requests, by service and zone."""
        if self._zone_examples_version != self.version:
            self._zone_examples_version = self.version
            self._zone_examples = {}
            for item in self.instances.values():
                if self.accepts_requests(item.name):
                    zones = self._zone_examples.setdefault(item.service, {})
                    zones[item.availability_zone] = item.name
        return self._zone_examples

    def drop_evacuated(self, service: str, names: list[str]) -> list[str]:
        """Return the instances outside closed zones.

        If all zones of the service are closed, some instances there are returned.

        :param names: some instances of the service.
        """
        if not self.evacuations.is_any_requested:
            return names
        left = [name for name in names if not self.is_evacuated(name)]
        return left or self.list_evacuated(service)

    def is_being_evacuated(self, claim: GroupClaim) -> bool:
        """Whether the evacuation of a group's zone is requested."""
        if not self.evacuations.is_any_requested:
            return False
        for name in claim.members:
            found = self.instances.get(name)
            if found is not None:
                return self.evacuations.is_requested(found.availability_zone)
        return False

    def list_open(self, service: str, model: str) -> list[OpenGroup]:
        """Return the open groups of a model, those whose members are all available."""
        if self._open_by_model_version != self.version:
            self._open_by_model_version = self.version
            self._open_by_model = self._find_open_groups()
        return self._open_by_model.get((service, model), [])

    def list_suspected(self, service: str, model: str) -> list[OpenGroup]:
        """Return the groups of a model that are open but for members reported lost.

        Groups with a member whose process is proven to be gone are left out.
        """
        if self.lost.is_empty():
            return []
        if self._suspected_by_model_version != self.version:
            self._suspected_by_model_version = self.version
            self._suspected_by_model = self._find_suspected_groups()
        return self._suspected_by_model.get((service, model), [])

    def _find_open_groups(self) -> dict[tuple[str, str], list[OpenGroup]]:
        found: dict[tuple[str, str], list[OpenGroup]] = {}
        for claim in self.all_claims():
            group = self.find_open(claim)
            if group is not None:
                found.setdefault((claim.service, claim.model), []).append(group)
        self._open_groups = {
            group.claim: group for groups in found.values() for group in groups
        }
        return found

    def _find_suspected_groups(self) -> dict[tuple[str, str], list[OpenGroup]]:
        found: dict[tuple[str, str], list[OpenGroup]] = {}
        for claim in self.all_claims():
            if self.find_open(claim) is not None:
                continue
            if any(self.lost.has_ended(name) for name in claim.members):
                continue
            group = self._evaluate_group(claim, with_lost=True)
            if group is not None:
                found.setdefault((claim.service, claim.model), []).append(group)
        return found

    def find_open(self, claim: GroupClaim) -> OpenGroup | None:
        """Return a claimed group if it may receive requests."""
        known = self._open_groups.get(claim)
        if known is not None and self._has_same_members(known):
            return known
        return self._evaluate_group(claim)

    def _has_same_members(self, group: OpenGroup) -> bool:
        """Whether an open group has the same member objects as before.

        Every change re-evaluates all groups, most of them unchanged: this takes
        2.3 ms for 1,179 groups instead of 8.1.
        """
        instances = self.instances
        if not all(instances.get(item.name) is item for item in group.members):
            return False
        if not self._excluded and self.lost.is_empty():
            return True
        return not any(
            item.name in self._excluded or self.lost.has(item.name)
            for item in group.members
        )

    def _evaluate_group(
        self, claim: GroupClaim, *, with_lost: bool = False
    ) -> OpenGroup | None:
        members = [self.instances.get(name) for name in claim.members]
        present = [item for item in members if item is not None]
        if len(present) < len(members):
            return None
        if not with_lost and any(self.lost.has(item.name) for item in present):
            return None
        if not all(self.accepts_requests(item.name) for item in present):
            return None
        if not all(self.holds(item, claim) for item in present):
            return None
        head = present[0]
        if head.membership is None or head.membership.state is not GroupState.OPEN:
            return None
        return OpenGroup(claim, head, tuple(present))

    @staticmethod
    def holds(instance: FleetInstance, claim: GroupClaim) -> bool:
        """Whether an instance reports membership in a claimed group."""
        membership = instance.membership
        return (
            membership is not None
            and membership.group == claim.name
            and membership.epoch == claim.epoch
        )


def _log_instance(instance: FleetInstance, revision: int) -> None:
    """Log the state of an instance.

    :param revision: store revision at which it was received.
    """
    log.emit(
        events.INSTANCE_CHANGED,
        instance=instance.name,
        draining=instance.draining,
        **_describe_membership(instance),
        domain=instance.domain,
        models=sorted(instance.models),
        staged=sorted(instance.staged),
        revision=revision,
    )


def _describe_membership(instance: FleetInstance) -> dict[str, object]:
    """Return the log fields that describe an instance's group."""
    found = instance.membership
    if found is None:
        return {'group': '', 'epoch': 0, 'rank': 0, 'state': ''}
    return {
        'group': found.group,
        'epoch': found.epoch,
        'rank': found.rank,
        'state': found.state.value,
    }
