"""Decode the operators' configuration from the platform's key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from coursepitch.config.findings import Finding, Place
from coursepitch.config.routes import (
    Backend,
    EngineProfile,
    ModelProfile,
    Route,
    RoutedCustomer,
    RouteKind,
    RouteTable,
    Service,
    hash_key,
)
from coursepitch.errors import FindingsError
from coursepitch.http.server import ConnectionRules
from coursepitch.util.decoding import describe_error, shorten

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['CONFIGURATION_KEY', 'decode_configuration']

#: Key that holds the complete current configuration.
CONFIGURATION_KEY = 'op/config'

#: Shortest time in seconds for which clients wait for an event of a stream, and what
#: they wait for as multiples of the objective and of the longest pause in time.
_MIN_PATIENCE_S = 2.0
_OBJECTIVES_OF_PATIENCE = 4.0
_PAUSES_OF_PATIENCE = 8.0

_ROUTE_KINDS = {
    'idempotent': RouteKind.REPEATABLE,
    'non_idempotent': RouteKind.ONCE,
    'streaming': RouteKind.STREAM,
}


def decode_configuration(text: str, revision: int) -> RouteTable:
    """Decode a configuration value into a route table.

    :param text: the configuration as JSON.
    :param revision: revision of the value in the store.
    :raises FindingsError: the value is invalid; lists the location of each error.
    """
    findings: list[Finding] = []
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise FindingsError([_build_finding('', f'invalid JSON: {error}')]) from error
    if not isinstance(data, dict):
        raise FindingsError([_build_finding('', 'not a JSON object')])
    routes = _decode_list(data, 'routes', _decode_route, findings)
    services = _decode_list(data, 'services', _decode_service, findings)
    customers = _decode_list(data, 'tenants', _decode_customer, findings)
    rules = _decode_list(
        {'limits': [data.get('limits') or {}]}, 'limits', _decode_rules, []
    )
    if not isinstance(data.get('version'), int):
        findings.append(_build_finding('version', 'missing or not an integer'))
    if findings:
        raise FindingsError(findings)
    return RouteTable(
        version=data['version'],
        revision=revision,
        routes=tuple(routes),
        services={service.name: service for service in services},
        keys={digest: customer for keys, customer in customers for digest in keys},
        keyed=bool(data.get('tenants')),
        rules=rules[0] if rules else ConnectionRules(),
    )


def _build_finding(place: str, message: str) -> Finding:
    return Finding(Place(CONFIGURATION_KEY, 0, place or '-'), message)


def _decode_list(
    data: dict[str, Any],
    name: str,
    decode: Callable[[dict[str, Any]], Any],
    findings: list[Finding],
) -> list[Any]:
    """Decode the items of a list and record a finding for each invalid one."""
    items = data.get(name) or []
    if not isinstance(items, list):
        findings.append(_build_finding(name, 'not a list'))
        return []
    result = []
    for number, item in enumerate(items):
        try:
            result.append(decode(item))
        except KeyError as error:
            findings.append(
                _build_finding(f'{name}[{number}]', f'{error.args[0]}: missing')
            )
        except Exception as error:
            # An item may be invalid in more ways than are foreseen, as by its depth.
            reason = f'invalid: {describe_error(error)}'
            findings.append(_build_finding(f'{name}[{number}]', reason))
    return result


def _decode_route(item: dict[str, Any]) -> Route:
    kind = _ROUTE_KINDS.get(item['route_type'])
    if kind is None:
        raise ValueError(f'route_type is unknown: {shorten(item["route_type"])}')
    timeout_s = float(item['timeout_ms']) / 1000
    objective_s = float(item.get('goal_ms') or item['timeout_ms']) / 1000
    pause_s = float(item.get('gap_aim_ms') or 0) / 1000
    patience_s = float('inf')
    if kind is RouteKind.STREAM:
        patience_s = max(
            _MIN_PATIENCE_S,
            objective_s * _OBJECTIVES_OF_PATIENCE,
            pause_s * _PAUSES_OF_PATIENCE,
        )
    backends = item.get('backends') or [{'service': item['service'], 'weight': 1}]
    return Route(
        name=str(item['name']),
        host=str(item['host']).lower(),
        prefix=str(item['path_prefix']),
        kind=kind,
        timeout_s=timeout_s,
        objective_s=objective_s,
        urgency=int(item.get('priority') or 0),
        backends=tuple(
            Backend(str(row['service']), float(row['weight'])) for row in backends
        ),
        attempts=max(1, int(item.get('max_attempts') or 1)),
        public=bool(item.get('public')),
        resumable=bool(item.get('resumable')),
        pause_s=pause_s,
        patience_s=patience_s,
    )


def _decode_service(item: dict[str, Any]) -> Service:
    engine = item.get('engine')
    return Service(
        name=str(item['name']),
        health_path=str(item.get('health_path') or '/health'),
        connections=int(item.get('max_conns') or 100),
        engine=_decode_engine(engine) if engine else None,
        cold_s=_check_not_negative(item, 'cold_s'),
        cold_per_s=_check_not_negative(item, 'cold_per_s'),
    )


def _check_not_negative(item: dict[str, Any], name: str) -> float:
    """Return a finite number of at least 0; 0 if it is absent."""
    value = float(item.get(name) or 0)
    if not 0 <= value < float('inf'):
        raise ValueError(f'{name} {value!r} is not a number of at least 0')
    return value


def _decode_engine(item: dict[str, Any]) -> EngineProfile:
    usual = item.get('usual') or {}
    return EngineProfile(
        slots=int(item['slots']),
        kv_tokens=int(item['kv_capacity']),
        models=tuple(_decode_model(row) for row in item.get('models') or ()),
        step_s=float(item['step_ms']) / 1000,
        sequence_s=float(item['per_seq_ms']) / 1000,
        context_s=float(item['context_per_k']) / 1000,
        read_per_s=float(item['read_per_s']),
        pairs_s=float(item['pairs_per_m']) / 1000,
        chunk=int(item['chunk']),
        stride=int(item['stride']),
        form_s=float(item.get('form_ms') or 0) / 1000,
        loads_per_s=float(item.get('loads_per_s') or 0),
        loads_at_once=int(item.get('loads_at_once') or 0),
        usual_prompt=int(usual.get('prompt') or 1000),
        usual_answer=int(usual.get('answer') or 100),
    )


def _decode_model(item: dict[str, Any]) -> ModelProfile:
    return ModelProfile(
        name=str(item['name']),
        size=max(1, int(item.get('size') or 1)),
        share=float(item.get('share') or 0),
        pace=float(item.get('pace') or 1),
        load_s=float(item.get('load_s') or 0),
        warm_s=float(item.get('warm_s') or 0),
    )


def _decode_customer(item: dict[str, Any]) -> tuple[list[bytes], RoutedCustomer]:
    urgency = item.get('priority')
    customer = RoutedCustomer(
        str(item['name']), None if urgency is None else int(urgency)
    )
    keys = [hash_key(str(key).encode()) for key in item.get('api_keys') or ()]
    return keys, customer


def _decode_rules(item: dict[str, Any]) -> ConnectionRules:
    defaults = ConnectionRules()
    return ConnectionRules(
        head_bytes=int(item.get('max_header_bytes') or defaults.head_bytes),
        body_bytes=int(item.get('max_body_bytes') or defaults.body_bytes),
        head_timeout_s=_convert_ms(
            item.get('header_timeout_ms'), defaults.head_timeout_s
        ),
        idle_timeout_s=_convert_ms(
            item.get('idle_timeout_ms'), defaults.idle_timeout_s
        ),
    )


def _convert_ms(value: Any, default_s: float) -> float:
    return float(value) / 1000 if value else default_s
