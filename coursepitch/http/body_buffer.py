"""Buffer of a body whose size is not known until its end."""

from __future__ import annotations

__all__ = ['PART_BYTES', 'BodyBuffer']

#: Smallest size in bytes of the parts but the last one.
PART_BYTES = 65_536


class BodyBuffer:
    """Bytes that arrive in pieces of any size.

    Growing one array moves it again and again and leaves holes in the heap, which are
    lost to others; a list of small pieces takes many times their size.  So the pieces
    are joined to parts of at least :data:`PART_BYTES`, which are never moved.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._part_bytes = 0
        self._tail = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._part_bytes + len(self._tail)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        if len(data) >= PART_BYTES:
            self._seal_tail()
            self._add_part(data)
            return
        self._tail += data
        if len(self._tail) >= PART_BYTES:
            self._seal_tail()

    def _seal_tail(self) -> None:
        if self._tail:
            self._add_part(bytes(self._tail))
            self._tail = bytearray()

    def _add_part(self, data: bytes) -> None:
        self._parts.append(data)
        self._part_bytes += len(data)

    def clear(self) -> None:
        """Drop all bytes."""
        self._parts.clear()
        self._part_bytes = 0
        self._tail = bytearray()

    def take(self) -> bytes:
        """Return all bytes, and hold none of them any more."""
        parts, tail = self._parts, bytes(self._tail)
        self._parts = []
        self.clear()
        if not parts:
            return tail
        return b''.join([*parts, tail])
