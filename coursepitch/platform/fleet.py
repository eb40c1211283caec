"""Instances in the platform's store: their entries, reports and orders."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import orjson

from coursepitch.errors import CodecError
from coursepitch.fleet.instances import FleetInstance, GroupState, Membership
from coursepitch.fleet.orders import Order, OrderKind

__all__ = [
    'INSTANCE_PREFIX',
    'ORDER_TARGET',
    'REPORT_TARGET',
    'InstanceReport',
    'decode_instance',
    'decode_report',
    'encode_order',
]

#: Prefix of the keys under which instances record themselves.
INSTANCE_PREFIX = 'servers/'

#: Where an instance takes orders, and where it reports.
ORDER_TARGET = b'/-/order'
REPORT_TARGET = b'/-/report'

#: Sets of names of models that are kept for instances that tell the same.
SHARED_SETS = 1_024

#: What an instance may say of itself, and whether it is leaving then.
_DRAINING = {'ready': False, 'draining': True}


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """What an instance tells of itself, some hundred milliseconds old.

    :param pace: factor on its times; above 1 it is slow.
    """

    membership: Membership | None
    queued: int
    active: int
    pace: float


def decode_instance(name: str, text: str) -> FleetInstance:
    """Return the instance that an entry describes.

    :raises CodecError: the entry is damaged.
    """
    try:
        data = orjson.loads(text)
        return FleetInstance(
            name=name,
            service=_check_text(data['service']),
            address=_check_address(data['address']),
            availability_zone=_check_text(data.get('zone', '')),
            slots=max(1, _check_number(data.get('slots', 1))),
            draining=_DRAINING[data['state']],
            domain=_check_text(data.get('domain', '')),
            models=_read_models(data),
            staged=_share_names(
                tuple(_check_text(item) for item in data.get('staged') or ())
            ),
            membership=_read_membership(data.get('group')),
            born=_check_number(data.get('born', 0)),
            software=_check_text(data.get('version', '')),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise CodecError(f'{INSTANCE_PREFIX}{name}: {error!r}') from error


def decode_report(body: bytes) -> InstanceReport:
    """Return what a report says.

    :raises CodecError: it is damaged.
    """
    try:
        data = orjson.loads(body)
        return InstanceReport(
            _read_membership(data.get('group')),
            int(data.get('queued') or 0),
            int(data.get('active') or 0),
            float(data.get('pace') or 1.0),
        )
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise CodecError(f'report: {error!r}') from error


def _read_models(data: dict[str, Any]) -> frozenset[str]:
    return _share_names(
        tuple(_check_text(item['name']) for item in data.get('models') or ())
    )


@lru_cache(SHARED_SETS)
def _share_names(names: tuple[str, ...]) -> frozenset[str]:
    """Return one set for all instances that tell the same names."""
    return frozenset(names)


def _read_membership(data: Any) -> Membership | None:
    if not data or not data.get('name'):
        return None
    return Membership(
        _check_text(data['name']),
        _check_number(data['epoch']),
        _check_number(data['rank']),
        GroupState(data['state']),
    )


def _check_text(value: object) -> str:
    """Return a text, one object for all that are equal.

    Instances share most of what they tell: 3,000 of them take 1.4 MB in place of 3.7.
    """
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is no text')
    return sys.intern(value)


def _check_number(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'{value!r} is no whole number')
    return value


def _check_address(value: object) -> str:
    """Return an address of the form ``IP:port``."""
    host, _, port = _check_text(value).rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'{value!r} is no address with a port')
    return f'{host}:{port}'


def encode_order(order: Order) -> bytes:
    """Return the body with which an order is sent."""
    data: dict[str, object] = {'operation': order.kind.value}
    if order.kind is OrderKind.STAGE:
        data['model'] = order.model
        return orjson.dumps(data)
    data['group'] = order.group
    data['epoch'] = order.epoch
    if order.kind is OrderKind.JOIN:
        data['model'] = order.model
        data['members'] = list(order.members)
    if order.kind is OrderKind.CLOSE:
        # Requests that run or wait at the head end first.
        data['method'] = 'queue'
    return orjson.dumps(data)
