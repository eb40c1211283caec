"""Settings of a node: one table a section, checked at start."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any

from coursepitch.config.findings import Finding, Place
from coursepitch.config.options import (
    REQUIRED,
    IniFile,
    describe_options,
    option,
    read_ini,
)
from coursepitch.config.sections import (
    LimitSettings,
    LogSettings,
    list_sections,
    parse_sections,
)
from coursepitch.errors import FindingsError

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    'AdminSettings',
    'EntrySettings',
    'NodeSettings',
    'PeerSettings',
    'PlacementSettings',
    'PlatformSettings',
    'RoutingSettings',
    'Settings',
    'TargetSettings',
    'load_settings',
    'write_example',
]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The node itself."""

    name: str = option(REQUIRED, 'Name of the node, unlike that of any other node.')
    address: str = option(REQUIRED, 'IP number on which peers and callers reach it.')
    availability_zone: str = option(REQUIRED, 'Availability zone in which it runs.')
    drain_limit_s: float = option(
        0.0, 'Longest planned stop in seconds; 0 waits for every request.', low=0
    )
    drain_notice_s: float = option(
        1.0,
        'Seconds in which a stopping node still takes requests, for the balancer.',
        low=0,
    )


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """The side that callers see."""

    port: int = option(8101, 'TCP port for callers; 0 lets the OS choose.', low=0)
    body_limit: int = option(1_048_576, 'Largest request body in bytes.', low=1024)
    body_timeout_s: float = option(
        10.0, 'Longest time in seconds in which a body arrives.', low=0.1
    )
    idle_timeout_s: float = option(
        30.0,
        'Seconds for which a connection without a whole request head is kept.',
        low=0.1,
    )
    header_limit: int = option(16_384, 'Largest request head in bytes.', low=1024)
    queue_limit: int = option(200, 'Most requests that wait for a replica.', low=0)
    queue_wait_s: float = option(5.0, 'Longest wait in the queue in seconds.', low=0)
    default_deadline_s: float = option(
        120.0, 'Deadline in seconds of a request that names none.', low=1
    )
    record_ttl_s: float = option(
        86_400.0, 'Seconds for which an idempotency key is remembered.', low=60
    )
    record_body_limit: int = option(
        262_144, 'Largest answer in bytes kept under an idempotency key.', low=0
    )
    tls_certificate: str = option('', 'PEM file with the certificate; empty: no TLS.')
    tls_key: str = option('', 'PEM file with the private key of the certificate.')


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """The side that operators see."""

    address: str = option('127.0.0.1', 'IP number on which operators reach the node.')
    port: int = option(8201, 'TCP port for operators; 0 lets the OS choose.', low=0)
    key_hashes: tuple[str, ...] = option(
        (), 'SHA-256 in hex of each operator key, separated by commas.', secret=True
    )
    tls_certificate: str = option('', 'PEM file with the certificate; empty: no TLS.')
    tls_key: str = option('', 'PEM file with the private key of the certificate.')


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The links between nodes."""

    port: int = option(8301, 'TCP port for peers; 0 lets the OS choose.', low=0)
    key: str = option(REQUIRED, 'Secret that all nodes share.', secret=True)
    seeds: tuple[str, ...] = option(
        (), 'IP:port of nodes asked for the configuration in an outage.'
    )
    interval_s: float = option(
        0.5, 'Seconds between two digests on a link.', low=0.05, high=10
    )
    message_limit: int = option(
        1_048_576, 'Largest message from a peer in bytes.', low=1024
    )


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's services."""

    key_value_url: str = option(REQUIRED, 'URL of the key-value service.')
    instance_list_url: str = option(REQUIRED, 'URL of the list of instances.')
    timeout_s: float = option(1.0, 'Time-out of one call in seconds.', low=0.05)
    calls_per_s: float = option(
        40.0, 'Most calls that this node makes to the key-value service.', low=1
    )
    lease_s: float = option(6.0, "Length of the node's lease in seconds.", low=1)
    confirm_bound_s: float = option(
        6.0, 'Seconds a node serves on a configuration it could not confirm.', low=1
    )
    watch_s: float = option(20.0, 'Seconds for which one watch waits.', low=0.1)


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Orders to targets and checks of them."""

    check_interval_s: float = option(
        0.5, 'Seconds between two checks of an instance.', low=0.05
    )
    check_timeout_s: float = option(
        1.0, 'Time-out of a check in seconds; a paused instance fails it.', low=0.05
    )
    evidence_limit_s: float = option(
        4.0, 'Age in seconds at which serving evidence no longer counts.', low=0.5
    )
    silence_limit_s: float = option(
        5.0,
        'Seconds of checks in a row that time out, after which an instance counts as '
        'lost and its replica is replaced.  One that refuses connections is lost '
        'after three checks.',
        low=0.5,
    )
    load_timeout_s: float = option(
        120.0, 'Longest time in seconds in which a replica loads.', low=1
    )
    drain_timeout_s: float = option(
        600.0, 'Longest time in seconds in which a replica drains.', low=0
    )
    takeover_wait_s: float = option(
        2.0,
        'Seconds a new holder of a duty waits before it orders targets that check '
        'no fence, so that orders of the old holder arrive first.',
        low=0,
    )
    unfenced_kinds: tuple[str, ...] = option(
        (), 'Kinds of targets that do not check the fence of an order.'
    )


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Weights of the objective that placement makes small."""

    downtime_weight: float = option(
        10.0, 'Weight of a group with no whole replica.', low=0
    )
    shortage_weight: float = option(3.0, 'Weight of each missing replica.', low=0)
    stranded_weight: float = option(
        0.05, 'Weight of each accelerator left idle in a fragment.', low=0
    )
    load_weight: float = option(
        0.5, 'Weight of loading the weights of one replica.', low=0
    )
    loads_at_once: int = option(
        8, 'Most replicas that load at a time, for the weight store.', low=1
    )
    avoid_s: float = option(
        15.0, 'Seconds for which a failed instance is not chosen again.', low=0
    )


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Weights of routing and the budget of retries."""

    load_weight: float = option(1.0, 'Cost of one request in flight.', low=0)
    prefix_weight: float = option(
        3.0, 'Gain when the whole prompt is in the prefix cache.', low=0
    )
    zone_weight: float = option(
        0.5, 'Cost of a replica in another availability zone.', low=0
    )
    slow_weight: float = option(2.0, 'Cost per factor of slowness of a replica.', low=0)
    replica_limit: int = option(
        16, 'Most requests in flight that this node gives one replica.', low=1
    )
    retry_ratio: float = option(
        0.1, 'Retries allowed per first attempt, over time.', low=0, high=1
    )
    retry_burst: float = option(10.0, 'Retries allowed at once.', low=0)
    attempts: int = option(3, 'Most attempts of a repeatable request.', low=1)
    failure_hold_s: float = option(
        1.0, 'Seconds for which a failed replica is not chosen.', low=0
    )
    first_byte_timeout_s: float = option(
        30.0,
        'Silence in seconds before the head of an answer after which another replica '
        'is tried.  The silent one is kept until one of them answers.',
        low=0.1,
    )
    gap_timeout_s: float = option(
        10.0,
        'Silence in seconds within an answer after which it is read on another '
        'connection, and after as long again on another replica.  The silent one is '
        'kept until one of them goes on.',
        low=0.1,
    )


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one node, a field a section."""

    node: NodeSettings
    entry: EntrySettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    targets: TargetSettings
    placement: PlacementSettings
    routing: RoutingSettings
    limits: LimitSettings
    log: LogSettings


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises FindingsError: with all findings together.
    """
    return check_settings(read_ini(path))


def check_settings(ini: IniFile) -> Settings:
    """Turn the sections of an INI file into settings.

    :raises FindingsError: with all findings together.
    """
    parts, findings = parse_sections(ini, list_sections(Settings))
    if not findings:
        findings = _check_across(parts, ini)
    if findings:
        raise FindingsError(findings)
    return Settings(**parts)


def _check_across(parts: dict[str, Any], ini: IniFile) -> list[Finding]:
    """Check what concerns more than one option."""
    findings = []

    def place(section: str, name: str) -> Place:
        line = ini.option_lines.get(section, {}).get(name, 0)
        return dataclasses.replace(ini.place(section), option=name, line=line)

    for section in ('node', 'admin'):
        address = parts[section].address
        if not _is_ip(address):
            findings.append(
                Finding(place(section, 'address'), 'not an IP number', address)
            )
    for section in ('entry', 'admin'):
        part = parts[section]
        if bool(part.tls_certificate) != bool(part.tls_key):
            findings.append(
                Finding(
                    place(section, 'tls_certificate'),
                    'needs both',
                    fix='set tls_certificate and tls_key, or neither',
                )
            )
    admin = parts['admin']
    open_to_all = not admin.key_hashes and _is_ip(admin.address)
    if open_to_all and not ip_address(admin.address).is_loopback:
        findings.append(
            Finding(
                place('admin', 'address'),
                'without operator keys only loopback is allowed',
                admin.address,
                'set key_hashes, or address = 127.0.0.1',
            )
        )
    for digest in admin.key_hashes:
        if not is_sha256(digest):
            findings.append(
                Finding(place('admin', 'key_hashes'), 'not a SHA-256 in hex')
            )
    return findings


def _is_ip(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def is_sha256(text: str) -> bool:
    """Return whether a text is a SHA-256 digest in lower-case hex."""
    return len(text) == 64 and all(char in '0123456789abcdef' for char in text)


def write_example() -> str:
    """Return an annotated settings file with every option and its default."""
    lines = ['# Settings of a coursepitch node. Options without a default are marked.']
    for name, table in list_sections(Settings).items():
        lines += ['', f'# {(table.__doc__ or "").splitlines()[0]}', f'[{name}]']
        for row in describe_options(table):
            lines.append(f'# {row.doc} ({row.kind})')
            if row.required:
                lines.append(f'{row.name} = REQUIRED')
            else:
                lines.append(f'# {row.name} = {format_default(row.default)}')
    return '\n'.join(lines) + '\n'


def format_default(value: object) -> str:
    """Return a default as it is written in INI."""
    if isinstance(value, tuple):
        return ', '.join(value)
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:g}'
    return str(value)
