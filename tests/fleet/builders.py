"""Builders of test data for the fleet: engines, instances, views."""

from __future__ import annotations

from types import SimpleNamespace

from coursepitch.config.routes import EngineProfile, ModelProfile, RouteTable, Service
from coursepitch.fleet.claims import encode_claims
from coursepitch.fleet.instances import FleetInstance, GroupState, Membership
from coursepitch.fleet.view import FleetView, claim_key
from coursepitch.http.server import ConnectionRules
from coursepitch.platform.kv import Entry

SERVICE = 'pool'

#: Paths of a node that reaches all instances directly.
SOUND_PATHS = SimpleNamespace(is_cut_off=False, is_isolated=lambda: False)

#: A node that knows of no crash of an instance.
NO_CRASHES = SimpleNamespace(is_refused=lambda job: False)
NO_SUSPICION = SimpleNamespace(find_late_refusal=lambda job: None)

LARGE = ModelProfile('large', 3, 0.6, 1.0, 16.0, 1.6)
SMALL = ModelProfile('small', 2, 0.4, 0.6, 12.0, 1.1)


def build_engine(models=(LARGE, SMALL), loads_per_s=4.0, loads_at_once=6):
    """Return the profile of an engine service."""
    return EngineProfile(
        slots=13,
        kv_tokens=700_000,
        models=tuple(models),
        step_s=0.00607,
        sequence_s=0.000482,
        context_s=0.00000976,
        read_per_s=46_000.0,
        pairs_s=0.0007,
        chunk=2048,
        stride=5,
        form_s=0.3,
        loads_per_s=loads_per_s,
        loads_at_once=loads_at_once,
        usual_prompt=1000,
        usual_answer=100,
    )


def build_service(models=(LARGE, SMALL), loads_per_s=4.0, loads_at_once=6):
    """Return an engine service."""
    engine = build_engine(models, loads_per_s, loads_at_once)
    return Service(SERVICE, '/health', 400, engine)


def build_instance(name, domain='d0', state=None, group='', epoch=0, **fields):
    """Return an instance; a member of a group if a state is given."""
    membership = None
    if state is not None:
        membership = Membership(group, epoch, fields.pop('rank', 0), GroupState(state))
    values = {
        'service': SERVICE,
        'address': f'127.0.0.1:{abs(hash(name)) % 50_000 + 1024}',
        'availability_zone': 'a',
        'slots': 13,
        'draining': False,
        'models': frozenset(),
        'staged': frozenset(),
    }
    values.update(fields)
    return FleetInstance(name=name, domain=domain, membership=membership, **values)


def build_view(instances=(), claims=(), clock=lambda: 0.0):
    """Return a view with these instances and claims."""
    view = FleetView(clock)
    for instance in instances:
        view.instances[instance.name] = instance
    by_key = {}
    for claim in claims:
        by_key.setdefault(claim_key(claim.service, claim.domain), []).append(claim)
    for key, rows in by_key.items():
        view.apply_claims(Entry(key, encode_claims(tuple(rows)), 1))
    view.store_revision = 10
    view.version += 1
    return view


def build_table(routes=(), services=(), keys=None, revision=1):
    """Return a version of the configuration."""
    return RouteTable(
        version=revision,
        revision=revision,
        routes=tuple(routes),
        services={service.name: service for service in services},
        keys=keys or {},
        keyed=bool(keys),
        rules=ConnectionRules(),
    )
