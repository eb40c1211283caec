"""Clients and codecs for the services of the underlying platform."""

from __future__ import annotations

from coursepitch.platform.instances import Instance, InstanceList
from coursepitch.platform.kv import (
    Condition,
    Conflict,
    Entry,
    Events,
    KeyValue,
    Rejected,
    Swapped,
    Unavailable,
    Write,
    swap_with_readback,
)

__all__ = [
    'Condition',
    'Conflict',
    'Entry',
    'Events',
    'Instance',
    'InstanceList',
    'KeyValue',
    'Rejected',
    'Swapped',
    'Unavailable',
    'Write',
    'swap_with_readback',
]
