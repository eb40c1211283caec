"""Clocks that can be replaced in tests."""

from __future__ import annotations

import time
from collections.abc import Callable

__all__ = ['Clock', 'monotonic']

#: Returns seconds that only ever grow; the zero point means nothing.
Clock = Callable[[], float]


def monotonic() -> float:
    """Return the seconds of the machine's monotonic clock."""
    return time.monotonic()
