"""Task that keeps this node registered in the configuration."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from coursepitch.errors import CodecError, ConflictError, UnavailableError

if TYPE_CHECKING:
    from coursepitch.config.resources import Key, Spec
    from coursepitch.control.session import Session

__all__ = ['Registrar']

#: Minimum seconds between two checks of the registry; up to as much jitter is added.
MIN_CHECK_INTERVAL_S = 0.2


class Registrar:
    """Registers this node and renews the registration if it is removed."""

    def __init__(self, key: Key, spec: Spec, session: Session) -> None:
        self._key = key
        self._spec = spec
        self._session = session
        self._leaving = False

    async def run(self) -> None:
        """Keep this node registered until cancelled."""
        while not self._leaving:
            resources = self._session.view.value.configuration.resources
            held = resources.get(self._key)
            if held is None or held.spec != self._spec:
                await self._try_register()
            await anyio.sleep(MIN_CHECK_INTERVAL_S * (1 + random.random()))

    async def _try_register(self) -> None:
        try:
            await self._session.read_head()
            if not self._leaving:
                await self._session.record(self._key, self._spec)
        except (UnavailableError, ConflictError, CodecError):
            return

    async def leave(self) -> None:
        """Remove this node from the registry if the key-value service answers."""
        self._leaving = True
        try:
            await self._session.record(self._key, None)
        except (UnavailableError, ConflictError, CodecError):
            return
