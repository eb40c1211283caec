"""Clock functions, which tests can replace."""

from __future__ import annotations

import time
from collections.abc import Callable

__all__ = ['Clock', 'boottime', 'processor_time']

#: Returns monotonic time in seconds; its origin is arbitrary.
Clock = Callable[[], float]


def boottime() -> float:
    """Return the seconds since the machine booted, including time spent suspended.

    ``CLOCK_MONOTONIC`` excludes suspended time.  With it, a node would, after a
    suspension, treat leases, confirmations and rate limit windows as current that
    have already expired for other processes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def processor_time() -> float:
    """Return the processor time of this thread in seconds, which excludes waits."""
    return time.thread_time()
