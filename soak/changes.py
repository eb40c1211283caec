"""What operators change in a run: the configuration and the settings of nodes."""

from __future__ import annotations

import configparser
import io
import json
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from tests.whole.platform_base import build_configuration

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    'CHANGED_ROUTES',
    'IDLE_TIMES_S',
    'Operation',
    'build_value',
    'change_operation',
    'choose_option',
    'damage_value',
    'write_option',
    'write_settings',
]

#: Routes that changes of the configuration add and remove.
CHANGED_ROUTES = ('added0', 'added1')

#: Seconds for which connections may be idle, and time-outs of routes in seconds.
IDLE_TIMES_S = (15.0, 10.0, 30.0)
TIMEOUTS_S = (8.0, 5.0, 12.0)

#: Steps of versions are uneven.
VERSION_STEPS = (1, 2, 7)

#: Settings of nodes that are in force without a restart, and the values that they take
#: in turn.  Promises that a checker holds nodes to are never looser than its bounds.
OPTIONS = (
    ('promises', 'revoke_s', ('5.0', '4.6')),
    ('promises', 'retry_extra', ('100', '80')),
    ('promises', 'drain_s', ('2.0', '1.8')),
    ('promises', 'heartbeat_s', ('1.2', '1.0')),
    ('promises', 'retry_ratio', ('0.2', '0.15')),
)

#: Values that no setting may take.
INVALID_VALUES = ('soon', '-1', '')


@dataclass(frozen=True, slots=True)
class Operation:
    """What operators want of the nodes.

    :param routes: routes beside those that all configurations have.
    """

    version: int = 1
    timeout_s: float = TIMEOUTS_S[0]
    idle_s: float = IDLE_TIMES_S[0]
    routes: frozenset[str] = field(default=frozenset())


def change_operation(before: Operation, mode: str, choice: float) -> Operation:
    """Return the operation with the next version and another value.

    :param mode: ``timeout``, ``idle`` or ``route``.
    :param choice: from 0 to 1; chooses a step of the version, and a value or a route.
    """
    version = before.version + VERSION_STEPS[int(choice * len(VERSION_STEPS))]
    if mode == 'timeout':
        timeout_s = _choose_other(TIMEOUTS_S, before.timeout_s, choice)
        return replace(before, version=version, timeout_s=timeout_s)
    if mode == 'idle':
        idle_s = _choose_other(IDLE_TIMES_S, before.idle_s, choice)
        return replace(before, version=version, idle_s=idle_s)
    route = CHANGED_ROUTES[int(choice * len(CHANGED_ROUTES))]
    return replace(before, version=version, routes=before.routes ^ {route})


def _choose_other(values: tuple[float, ...], before: float, choice: float) -> float:
    others = [value for value in values if value != before]
    return others[int(choice * len(others))]


def build_value(operation: Operation) -> dict[str, Any]:
    """Return the configuration as the store holds it.

    One of its routes has streams that may not be resumed.
    """
    usual = build_configuration()
    stream, once, again = usual['routes']
    single = {'name': 'single', 'path_prefix': '/single/', 'resumable': False}
    added = [
        {**again, 'name': name, 'path_prefix': f'/{name}/'}
        for name in sorted(operation.routes)
    ]
    routes = [stream, once, again, {**stream, **single}, *added]
    timeout_ms = round(operation.timeout_s * 1000)
    idle_ms = round(operation.idle_s * 1000)
    return {
        **usual,
        'version': operation.version,
        'routes': [{**route, 'timeout_ms': timeout_ms} for route in routes],
        'limits': {**usual['limits'], 'idle_timeout_ms': idle_ms},
    }


def damage_value(value: dict[str, Any], choice: float) -> tuple[str, str]:
    """Return an invalid configuration, and what is wrong as a node has to name it.

    Its sound parts lack a route and its keys, so that a node which takes them denies
    requests.

    :param choice: from 0 to 1; chooses what is wrong.
    """
    stream, *others = value['routes']
    sound = {**value, 'routes': others, 'tenants': [{'name': 'other', 'api_keys': []}]}
    bad_timeout = [*others, {**stream, 'timeout_ms': 'soon'}]
    unknown_type = [{**stream, 'route_type': 'sometimes'}, *others]
    lacking = {name: stream[name] for name in stream if name != 'host'}
    without_version = {name: sound[name] for name in sound if name != 'version'}
    ways = (
        (json.dumps({**sound, 'routes': bad_timeout}), f'routes[{len(others)}]'),
        (json.dumps({**sound, 'routes': unknown_type}), 'routes[0]'),
        (json.dumps({**sound, 'routes': [*others, lacking]}), 'host: missing'),
        (json.dumps(without_version), 'version'),
        (json.dumps(sound)[:-20], 'JSON'),
    )
    return ways[int(choice * len(ways))]


def choose_option(
    settings: Path, choice: float, *, valid: bool = True
) -> tuple[str, str, str]:
    """Return the section, the name and the next value of an option of a node.

    :param choice: from 0 to 1; chooses the option, and an invalid value.
    """
    section, name, values = OPTIONS[int(choice * len(OPTIONS))]
    if not valid:
        place = choice * len(OPTIONS) % 1
        return section, name, INVALID_VALUES[int(place * len(INVALID_VALUES))]
    present = _read(settings).get(section, name, fallback=values[0])
    return section, name, values[1] if present == values[0] else values[0]


def write_option(settings: Path, section: str, name: str, value: str) -> str:
    """Write an option to a node's settings file; return the text of the file before."""
    before = settings.read_text()
    parser = _read(settings)
    parser.set(section, name, value)
    text = io.StringIO()
    parser.write(text)
    write_settings(settings, text.getvalue())
    return before


def write_settings(settings: Path, text: str) -> None:
    """Write a node's settings file, which is never seen half written."""
    other = settings.with_suffix('.new')
    other.write_text(text)
    other.replace(settings)


def _read(settings: Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(settings.read_text())
    return parser
