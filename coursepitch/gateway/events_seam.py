"""Cutting a stream of events at whole events, so that another run can go on."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ['EventSeam']

#: The id line of an event.  Source: HTML standard, section 9.2.6.
_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')

#: Largest event in bytes that is waited for.
EVENT_BYTES = 1_048_576


@dataclass(eq=False)
class EventSeam:
    """Passes on whole events and keeps the beginning of the next one.

    :param last_event: id of the last whole event that was passed on.
    :param count: whole events passed on.
    """

    last_event: bytes = b''
    count: int = 0
    _rest: bytes = b''

    def take(self, data: bytes) -> bytes:
        """Take bytes as they came; return the whole events among them."""
        data = self._rest + data
        end = max(_end_after(data, b'\n\n'), _end_after(data, b'\r\n\r\n'))
        whole, self._rest = data[:end], data[end:]
        if whole:
            ids = _ID.findall(whole)
            if ids:
                self.last_event = ids[-1]
            self.count += max(1, len(ids))
        if len(self._rest) > EVENT_BYTES:
            whole, self._rest = whole + self._rest, b''
        return whole

    def take_rest(self) -> bytes:
        """Return what follows the last whole event, at a proper end."""
        rest, self._rest = self._rest, b''
        return rest

    def cut(self) -> None:
        """Drop the beginning of an event whose run broke off."""
        self._rest = b''


def _end_after(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return found + len(mark) if found >= 0 else 0
