"""A value that one task sets and others read and wait for."""

from __future__ import annotations

from typing import Generic, TypeVar

import anyio

__all__ = ['Topic']

T = TypeVar('T')


class Topic(Generic[T]):
    """The newest of a line of frozen values."""

    def __init__(self, value: T) -> None:
        self._value = value
        self._changed = anyio.Event()

    @property
    def value(self) -> T:
        """The newest value."""
        return self._value

    def set(self, value: T) -> None:
        """Replace the value and wake those who wait."""
        self._value = value
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait(self) -> T:
        """Wait for the next value."""
        await self._changed.wait()
        return self._value
