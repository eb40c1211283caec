"""The body of one request in the account of all that is held for clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch.errors import OverloadedError
from coursepitch.http.body_buffer import BodyBuffer

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.http.memory import ClientMemory

__all__ = ['BodyHold']

#: Bytes that a whole body takes for each of its own: as it came, parsed, and as it is
#: sent to a target.
KEPT_FACTOR = 3


class BodyHold:
    """Body of a request, which may have to give way until it is whole.

    :param memory: account of the bytes that are held for clients.
    """

    def __init__(self, memory: ClientMemory, clock: Clock) -> None:
        self._memory = memory
        self._clock = clock
        self._body = BodyBuffer()
        self._kept_bytes = 0
        self._reading = anyio.CancelScope()
        self._has_given_up = False
        self.arrived_at = clock()

    @property
    def expendable_bytes(self) -> int:
        """Bytes of a body that is not whole."""
        return 0 if self._kept_bytes else len(self._body)

    def give_up(self) -> None:
        """Drop what has arrived, and end the reading."""
        self._has_given_up = True
        self._body.clear()
        self._reading.cancel()
        self._memory.note(self, self._kept_bytes)

    def reserve(self, size: int) -> None:
        """Check that a body of an announced size can be kept.

        :raises OverloadedError: too much is held for others.
        """
        if not self._memory.has_room(size * KEPT_FACTOR):
            raise OverloadedError

    def append(self, part: bytes) -> None:
        """Add a part of the body; others may have to give way, or this one."""
        self.arrived_at = self._clock()
        self._body.append(part)
        self._memory.note(self, len(self._body))

    def __enter__(self) -> BodyHold:
        """Begin to read the body."""
        self._reading.__enter__()
        return self

    def __exit__(self, *details: object) -> bool | None:
        """End the reading, which a body that gives way has cancelled."""
        return self._reading.__exit__(*details)  # type: ignore[arg-type]

    def take(self) -> bytes:
        """Return the whole body, which counts until :meth:`release`.

        :raises OverloadedError: it had to give way, or too much is held for others.
        """
        kept = len(self._body) * KEPT_FACTOR
        if self._has_given_up or not self._memory.take(kept):
            self.release()
            raise OverloadedError
        self._kept_bytes = kept
        self._memory.note(self, kept)
        return self._body.take()

    def release(self) -> None:
        """Count nothing of the request any more."""
        self._memory.give_back(self._kept_bytes)
        self._kept_bytes = 0
        self._body.clear()
        self._memory.note(self, 0)
