"""Bytes that a node sends to its peers, by kind of message."""

from __future__ import annotations

import collections
import re
from typing import TYPE_CHECKING

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Message

__all__ = ['LinkTraffic', 'name_kind']

#: Seconds that are counted together, and bytes from which they are logged.
INTERVAL_S = 1.0
LOGGED_BYTES = 1_048_576

_WORD_START = re.compile(r'(?<!^)(?=[A-Z])')


def name_kind(message: Message) -> str:
    """Return the name of a message's kind, in lower case with underscores."""
    return _WORD_START.sub('_', type(message).__name__).lower()


class LinkTraffic:
    """Counts the messages to all peers together.

    :param count: counts bytes by kind, for metrics.
    """

    def __init__(
        self,
        clock: Clock,
        count: Callable[[str, int], None] = lambda kind, size: None,
    ) -> None:
        self._clock = clock
        self.count = count
        self._since = clock()
        self._bytes: collections.Counter[str] = collections.Counter()
        self._messages: collections.Counter[str] = collections.Counter()
        self._dropped = 0

    def note_sent(self, kind: str, size: int) -> None:
        """Count a message that was given to the kernel."""
        self._bytes[kind] += size
        self._messages[kind] += 1
        self.count(kind, size)

    def note_dropped(self) -> None:
        """Count a message that was dropped, as too many waited for its peer."""
        self._dropped += 1

    def log_if_due(self, waiting: int, unsent: int) -> None:
        """Log what was sent since the last call that did, if it was much.

        :param waiting: messages that wait to be sent.
        :param unsent: bytes that the kernel has not taken.
        """
        now = self._clock()
        if now - self._since < INTERVAL_S:
            return
        if self._dropped or self._bytes.total() >= LOGGED_BYTES:
            log.emit(
                events.LINKS_BUSY,
                seconds=round(now - self._since, 3),
                bytes=dict(self._bytes),
                messages=dict(self._messages),
                dropped=self._dropped,
                waiting=waiting,
                unsent=unsent,
            )
        self._since, self._dropped = now, 0
        self._bytes.clear()
        self._messages.clear()
