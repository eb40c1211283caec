"""Clocks that can be replaced in tests."""

from __future__ import annotations

import time
from collections.abc import Callable

__all__ = ['Clock', 'boottime']

#: Returns seconds that only ever grow; the zero point means nothing.
Clock = Callable[[], float]


def boottime() -> float:
    """Return the seconds since the machine started, those that it was suspended too.

    The monotonic clock leaves these out: after them, leases, confirmations and windows
    of limits that others hold for long over would look young here.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
