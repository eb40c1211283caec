"""Bound on the bytes that a server holds for all of its clients together.

Each connection is bounded by the limits of a request, but thousands of connections that
all reach these limits are not.  Whoever holds bytes for a client notes them in one
account.  Once they exceed its limit, the largest holders give up what can still be
refused; requests of the usual size are far below them and are kept.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from coursepitch import events, log

if TYPE_CHECKING:
    from coursepitch.clock import Clock

__all__ = ['SMALL_BYTES', 'UNCOUNTED_BYTES', 'ClientMemory', 'Holder']

#: Bytes of one connection that are not counted, so that most requests cost the account
#: nothing.
UNCOUNTED_BYTES = 4_096

#: Size in bytes up to which a whole request is accepted however many large ones are
#: held.
SMALL_BYTES = 65_536

#: Share of the limit that whole requests above :data:`SMALL_BYTES` may take.
LARGE_SHARE = 0.75

#: Share of the limit down to which bytes are given up at once, so that not every
#: further byte makes the account look for the largest holders.
RELIEF_SHARE = 0.875

#: Smallest limit, as a multiple of the largest body of a request, which has to fit
#: beside others.
MIN_BODIES = 2

#: Seconds between two log lines.
LOG_INTERVAL_S = 1.0


class Holder(Protocol):
    """What holds bytes for a client.

    :ivar arrived_at: time at which bytes of the client came last.
    """

    @property
    def arrived_at(self) -> float:
        """Time at which bytes of the client came last."""

    @property
    def expendable_bytes(self) -> int:
        """Bytes that :meth:`give_up` frees."""

    def give_up(self) -> None:
        """Free the expendable bytes, and note what is left."""


class ClientMemory:
    """Account of the bytes that are held for clients.

    :param limit_bytes: limit of all of them together.
    :ivar body_bytes: largest body that a request may have at present.
    :ivar held_bytes: all bytes that are held.
    """

    def __init__(self, limit_bytes: int, clock: Clock) -> None:
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._sizes: dict[Holder, int] = {}
        self._large_bytes = 0
        self._given_up = 0
        self._logged_at = float('-inf')
        self.body_bytes = 0
        self.held_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Limit of all bytes; a single request within its own limits always fits."""
        return max(self._limit_bytes, MIN_BODIES * self.body_bytes)

    def note(self, holder: Holder, size: int) -> None:
        """Note how many bytes a holder holds; others may have to give up theirs."""
        before = self._sizes.get(holder, 0)
        if size > UNCOUNTED_BYTES:
            self._sizes[holder] = size
        else:
            size = 0
            self._sizes.pop(holder, None)
        self.held_bytes += size - before
        if size > before and self.held_bytes > self.limit_bytes:
            self._make_room()

    def has_room(self, size: int) -> bool:
        """Whether a whole request of a size in bytes would be accepted now."""
        if size <= SMALL_BYTES or not self._large_bytes:
            return True
        return self._large_bytes + size <= LARGE_SHARE * self.limit_bytes

    def take(self, size: int) -> bool:
        """Count a whole request until it is given back; return whether it fits."""
        if not self.has_room(size):
            return False
        if size > SMALL_BYTES:
            self._large_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Count a request that was taken no longer."""
        if size > SMALL_BYTES:
            self._large_bytes -= size

    def _make_room(self) -> None:
        """Let the largest holders give up their bytes, the stalled ones first."""
        held_bytes = self.held_bytes
        enough = RELIEF_SHARE * self.limit_bytes
        order = sorted(
            self._sizes, key=lambda item: (-item.expendable_bytes, item.arrived_at)
        )
        for holder in order:
            if self.held_bytes <= enough or not holder.expendable_bytes:
                break
            holder.give_up()
            self._given_up += 1
        now = self._clock()
        if now - self._logged_at >= LOG_INTERVAL_S:
            log.emit(
                events.MEMORY_GIVEN_UP,
                held_bytes=held_bytes,
                limit_bytes=self.limit_bytes,
                left_bytes=self.held_bytes,
                connections=self._given_up,
            )
            self._logged_at, self._given_up = now, 0
