"""Resources that operators declare: kinds, fields and checks."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from coursepitch.config.findings import Finding, Place
from coursepitch.config.options import REQUIRED, option, parse_options
from coursepitch.config.settings import is_sha256
from coursepitch.errors import FindingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.config.options import IniFile

__all__ = [
    'KINDS',
    'Caller',
    'Customer',
    'Group',
    'Key',
    'Node',
    'Resource',
    'Service',
    'Spec',
    'check_resource',
    'check_resources',
]

_NAME = re.compile(r'[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?')


@dataclass(frozen=True, slots=True)
class Group:
    """A group of replicas of one model."""

    model: str = option(REQUIRED, 'Model that the group serves, as callers name it.')
    version: str = option(REQUIRED, 'Version of the model.')
    adapters: tuple[str, ...] = option((), 'Adapters loaded with the model.')
    replicas: int = option(1, 'Number of replicas.', low=0, high=1000)
    instances: int = option(4, 'Number of instances of each replica.', low=1, high=64)
    zones: tuple[str, ...] = option(
        (), 'Availability zones in which replicas may be placed; empty: all.'
    )
    customers: tuple[str, ...] = option((), 'Customers that may reach the group.')
    max_unavailable: int = option(
        1, 'Replicas that a change of version may take out of service.', low=0
    )


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, with limits over all nodes."""

    requests_per_s: float = option(50.0, 'Requests a second.', low=0)
    burst: float = option(100.0, 'Requests at once after a pause.', low=1)
    in_flight: int = option(200, 'Requests in flight.', low=1)
    tokens_per_s: float = option(100_000.0, 'Generated tokens a second.', low=0)


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller of a customer, known by a key of its own."""

    customer: str = option(REQUIRED, 'Customer to which the caller belongs.')
    key_sha256: str = option(REQUIRED, "SHA-256 in hex of the caller's key.")
    requests_per_s: float = option(
        0.0, 'Requests a second, within those of the customer; 0: no limit.', low=0
    )


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service behind the system."""

    addresses: tuple[str, ...] = option(REQUIRED, 'IP:port of each instance.')
    customers: tuple[str, ...] = option((), 'Customers that may reach the service.')
    repeatable: bool = option(
        True, 'Whether calls may run twice unless the caller says otherwise.'
    )
    in_flight: int = option(64, 'Requests in flight per instance and node.', low=1)


@dataclass(frozen=True, slots=True)
class Node:
    """A registered node; nodes write it themselves."""

    address: str = option(REQUIRED, 'IP number.')
    peer_port: int = option(REQUIRED, 'TCP port for peers.', low=1)
    admin_port: int = option(0, 'TCP port for operators.', low=0)
    availability_zone: str = option(REQUIRED, 'Availability zone.')
    incarnation: str = option(REQUIRED, 'Random name of this run of the node.')


Spec = Group | Customer | Caller | Service | Node

#: Kinds by the name that stands in files and paths.
KINDS: dict[str, type[Any]] = {
    'group': Group,
    'customer': Customer,
    'caller': Caller,
    'service': Service,
    'node': Node,
}

#: Kinds that operators write.
OPERATOR_KINDS = ('group', 'customer', 'caller', 'service')


@dataclass(frozen=True, slots=True, order=True)
class Key:
    """Kind and name of a resource."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind} {self.name}'


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource as recorded.

    :param generation: grows with each change of the specification.
    :param revision: revision of the whole configuration that last changed it.
    """

    key: Key
    spec: Spec
    generation: int
    revision: int


def check_resource(
    key: Key, values: Mapping[str, object], place: Place, lines: Mapping[str, int]
) -> tuple[Spec | None, list[Finding]]:
    """Check one resource and return it with the findings."""
    findings = []
    if key.kind not in KINDS:
        known = ', '.join(OPERATOR_KINDS)
        return None, [Finding(place, 'unknown kind', key.kind, f'known are {known}')]
    if not _NAME.fullmatch(key.name):
        findings.append(
            Finding(
                place,
                'not a usable name',
                key.name[:80],
                'use 1 to 63 of a-z, 0-9, dot and hyphen',
            )
        )
    spec, found = parse_options(KINDS[key.kind], values, place, lines)
    findings.extend(found)
    if spec is not None:
        findings.extend(_check_values(spec, place, lines))
    return (None, findings) if findings else (spec, [])


def _check_values(spec: Spec, place: Place, lines: Mapping[str, int]) -> list[Finding]:
    findings = []

    def find(name: str, message: str, value: str, fix: str) -> None:
        at = Place(place.file, lines.get(name, place.line), place.section, name)
        findings.append(Finding(at, message, value, fix))

    if isinstance(spec, Caller) and not is_sha256(spec.key_sha256):
        find('key_sha256', 'not a SHA-256 in hex', '', 'hash the key with sha256')
    if isinstance(spec, Service):
        if not spec.addresses:
            find('addresses', 'empty', '', 'name one IP:port or more')
        for address in spec.addresses:
            if split_address(address) is None:
                find('addresses', 'not IP:port', address, 'write 10.0.0.1:8000')
    return findings


def split_address(text: str) -> tuple[str, int] | None:
    """Split ``IP:port``; return ``None`` when it is none."""
    match = re.fullmatch(r'([0-9a-fA-F.:]+):(\d{1,5})', text)
    if not match or not 0 < int(match[2]) < 65536:
        return None
    return match[1], int(match[2])


def check_resources(ini: IniFile) -> list[tuple[Key, Spec]]:
    """Check a file of resources, whose sections are ``[kind name]``.

    :raises FindingsError: with all findings together.
    """
    findings: list[Finding] = []
    resources = []
    for section, values in ini.sections.items():
        kind, _, name = section.partition(' ')
        key = Key(kind, name.strip())
        lines = ini.option_lines.get(section, {})
        if kind not in OPERATOR_KINDS:
            fix = f'known are {", ".join(OPERATOR_KINDS)}'
            findings.append(Finding(ini.place(section), 'unknown kind', kind, fix))
            continue
        spec, found = check_resource(key, values, ini.place(section), lines)
        findings.extend(found)
        if spec is not None:
            resources.append((key, spec))
    if findings:
        raise FindingsError(findings)
    return resources
