"""Builders of test data."""

from __future__ import annotations

from typing import Any

from coursepitch.config.resources import Group
from coursepitch.control.claims import Member, Replica
from coursepitch.control.lifecycle import HealthCheck
from coursepitch.control.placement import FreeInstance, PlacedReplica
from coursepitch.peers.records import DomainBody, ObservedMember, ObservedReplica
from coursepitch.peers.table import Record, RecordKey
from coursepitch.serving.servable import ServableReplica

__all__ = [
    'build_check',
    'build_domain_record',
    'build_group',
    'build_placed',
    'build_replica',
    'build_seen',
    'build_servable',
    'build_spares',
]


def build_group(**fields: Any) -> Group:
    """Return a group of one replica of two instances."""
    values = {'model': 'm', 'version': '1', 'replicas': 1, 'instances': 2, **fields}
    return Group(**values)


def build_spares(domain: str, count: int, zone: str = 'z') -> tuple[FreeInstance, ...]:
    """Return free instances of a domain."""
    return tuple(FreeInstance(f'{domain}-{n}', domain, zone) for n in range(count))


def build_placed(name: str, group: str, domain: str, **fields: Any) -> PlacedReplica:
    """Return a claimed replica that serves version 1."""
    values = {'state': 'serving', 'model': 'm', 'version': '1', **fields}
    return PlacedReplica(name, group, domain, **values)


def build_replica(name: str, instances: tuple[str, ...], state: str) -> Replica:
    """Return a claim on some instances."""
    members = tuple(
        Member(item, f'10.0.0.1:{n + 1}') for n, item in enumerate(instances)
    )
    return Replica(name, 'g', state, 'm', '1', (), 'z', members)


def build_check(claim: str, state: str = 'ready', **fields: Any) -> HealthCheck:
    """Return the check of an instance that serves a claim of version 1."""
    values = {'model': 'm', 'version': '1', **fields}
    return HealthCheck(True, 0, state, claim, **values)


def build_seen(
    name: str, good: bool = True, silent: bool = False, **fields: Any
) -> ObservedReplica:
    """Return evidence of a replica of two members."""
    answers = good and not silent
    members = (
        ObservedMember(f'{name}-0', '10.0.0.1:1', True, True),
        ObservedMember(f'{name}-1', '10.0.0.1:2', answers, answers, silent),
    )
    values = {'group': 'g', 'state': 'serving', 'model': 'm', 'version': '1', **fields}
    return ObservedReplica(
        name=name, adapters=(), availability_zone='z', members=members, **values
    )


def build_domain_record(
    origin: str, revision: int, made_at: float, *seen: ObservedReplica
) -> Record:
    """Return a record of evidence of domain ``d``."""
    key = RecordKey('domain', 'd', origin)
    return Record(key, 1, 1, 1, made_at, DomainBody(1, revision, tuple(seen)))


def build_servable(name: str, zone: str = 'z', reported: int = 0) -> ServableReplica:
    """Return a replica that may serve."""
    return ServableReplica(name, 'g', f'10.0.0.1:{len(name)}', zone, '1', reported, 9.0)
