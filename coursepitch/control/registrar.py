"""Task that keeps this node in the registry, which is part of the configuration."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from coursepitch.control.session import ACCEPTED_KEY, read_number
from coursepitch.errors import CodecError, ConflictError, UnavailableError
from coursepitch.platform.kv import Unavailable

if TYPE_CHECKING:
    from coursepitch.config.resources import Key, Spec
    from coursepitch.control.session import Session
    from coursepitch.platform.kv import KeyValue

__all__ = ['Registrar']

#: Seconds between two looks at the registry, with as much jitter on top.
LOOK_S = 0.2


class Registrar:
    """Owner of what this node registers of itself.

    A node joins only when the last change of the registry is accepted, so
    that two majorities always have a node in common.  Source: Ongaro,
    Consensus: Bridging Theory and Practice (2014), section 4.1.
    """

    def __init__(self, key: Key, spec: Spec, session: Session, kv: KeyValue) -> None:
        self._key = key
        self._spec = spec
        self._session = session
        self._kv = kv
        self._leaving = False

    async def run(self) -> None:
        """Register, and register again if removed, until cancelled."""
        while not self._leaving:
            resources = self._session.view.value.configuration.resources
            held = resources.get(self._key)
            if held is None or held.spec != self._spec:
                await self._try_register()
            await anyio.sleep(LOOK_S * (1 + random.random()))

    async def _try_register(self) -> None:
        try:
            head, _ = await self._session.read_head()
            entry = await self._kv.get(ACCEPTED_KEY)
            if isinstance(entry, Unavailable) or self._leaving:
                return
            nodes = self._session.view.value.configuration.of_kind('node')
            newest = max((item.revision for item in nodes), default=0)
            removed = max(
                (item.revision for item in head.changes if item.key.kind == 'node'),
                default=0,
            )
            if max(newest, removed) <= read_number(entry.value):
                await self._session.record(self._key, self._spec)
        except (UnavailableError, ConflictError, CodecError):
            return

    async def leave(self) -> None:
        """Remove this node from the registry, if the service answers."""
        self._leaving = True
        try:
            await self._session.record(self._key, None)
        except (UnavailableError, ConflictError, CodecError):
            return
