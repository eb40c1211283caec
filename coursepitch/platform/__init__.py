"""Ports and adapters to the platform's services."""

from __future__ import annotations

from coursepitch.platform.instances import Instance, InstanceList
from coursepitch.platform.kv import (
    Conflict,
    Entry,
    Events,
    KeyValue,
    Swapped,
    Unavailable,
    settle_swap,
)

__all__ = [
    'Conflict',
    'Entry',
    'Events',
    'Instance',
    'InstanceList',
    'KeyValue',
    'Swapped',
    'Unavailable',
    'settle_swap',
]
