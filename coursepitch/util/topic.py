"""Observable value that one task sets and other tasks read or await."""

from __future__ import annotations

from typing import Generic, TypeVar

import anyio

__all__ = ['ObservableValue']

T = TypeVar('T')


class ObservableValue(Generic[T]):
    """Holds the current value of a changing, immutable object."""

    def __init__(self, value: T) -> None:
        self._value = value
        self._changed = anyio.Event()

    @property
    def value(self) -> T:
        """The current value."""
        return self._value

    def set(self, value: T) -> None:
        """Replace the value and wake all waiting tasks."""
        self._value = value
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait(self) -> T:
        """Wait for the next change and return the value then current."""
        await self._changed.wait()
        return self._value
