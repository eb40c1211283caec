"""Settings of a node on the users' platform, which fills them from a template."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from coursepitch.config.options import REQUIRED, option, read_ini
from coursepitch.config.sections import (
    LimitSettings,
    LogSettings,
    list_sections,
    parse_sections,
)
from coursepitch.errors import FindingsError

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ['GatewaySettings', 'PromiseSettings', 'list_changed_options']
__all__ += ['load_gateway_settings']


@dataclass(frozen=True, slots=True)
class GatewayNodeSettings:
    """The node itself."""

    name: str = option(REQUIRED, 'Name of the node, unlike that of any other node.')
    address: str = option(REQUIRED, 'IP number on which peers reach it.')
    availability_zone: str = option(REQUIRED, 'Availability zone in which it runs.')
    bootstrap: bool = option(
        False, "Whether this is the whole system's first start, with no groups yet."
    )
    stop_s: float = option(
        8.0, 'Seconds after which a stopping process is killed.', low=1
    )


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses on which the node listens."""

    clients: str = option(REQUIRED, 'IP:port for clients.')
    ready: str = option(REQUIRED, "IP:port for the balancer's question.")
    metrics_port: int = option(9100, 'TCP port of the metrics.', low=0, high=65535)
    peer_port: int = option(7340, 'TCP port for peers.', low=0, high=65535)


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store."""

    address: str = option(REQUIRED, 'IP:port of the store.')
    timeout_s: float = option(1.0, 'Time-out of one call in seconds.', low=0.05)
    calls_per_s: float = option(
        60.0, 'Most calls that this node makes to the store.', low=1
    )


@dataclass(frozen=True, slots=True)
class GatewayLimitSettings(LimitSettings):
    """What the node may use of its machine; see :class:`LimitSettings`.

    Messages to other nodes leave a quarter of the network link to requests.
    """

    link_mbit_s: float = option(
        0.0,
        'Speed of the network link of the machine in Mbit/s; 0 if it is unknown, and '
        'messages to other nodes may fill it.',
        low=0,
    )


@dataclass(frozen=True, slots=True)
class PromiseSettings:
    """Bounds that the users state."""

    revoke_s: float = option(
        5.0, 'Seconds after which no key that was taken away is served.', low=0.5
    )
    refuse_unconfirmed: bool = option(
        True,
        'Whether requests are refused while the store is away and no key is known '
        'to be still valid; if not, they are served on the last configuration.',
    )
    drain_s: float = option(
        2.0,
        'Seconds after an instance left within which requests may reach it.',
        low=0.5,
    )
    heartbeat_s: float = option(
        1.2, 'Seconds between two heartbeats of an instance to the store.', low=0.05
    )
    evacuate_s: float = option(
        0.0,
        'Seconds after the request to evacuate a zone within which requests may reach '
        'it; 0 if the deployment has no evacuations.',
        low=0,
    )
    retry_ratio: float = option(0.2, 'Second sends for each request.', low=0)
    retry_extra: float = option(
        0.0, 'Second sends a window over all nodes, whatever the traffic.', low=0
    )
    retry_window_s: float = option(10.0, 'The window in seconds.', low=0.1)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a node on the platform, a field a section."""

    node: GatewayNodeSettings
    listen: ListenSettings
    store: StoreSettings
    limits: GatewayLimitSettings
    promises: PromiseSettings
    log: LogSettings


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    :raises FindingsError: with all findings together.
    """
    parts, findings = parse_sections(read_ini(path), list_sections(GatewaySettings))
    if findings:
        raise FindingsError(findings)
    return GatewaySettings(**parts)


def list_changed_options(old: GatewaySettings, new: GatewaySettings) -> list[str]:
    """Return the options that differ, each as its section, a dot and its name."""
    return [
        f'{section.name}.{row.name}'
        for section in fields(GatewaySettings)
        for row in fields(getattr(old, section.name))
        if getattr(getattr(old, section.name), row.name)
        != getattr(getattr(new, section.name), row.name)
    ]
