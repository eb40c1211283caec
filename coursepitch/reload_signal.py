"""SIGHUP, by which the platform tells a node that its settings have changed.

Its default action ends the process.  A process that is starting or about to exit blocks
the signal; the kernel keeps it until the signal is handled.
"""

from __future__ import annotations

import contextlib
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['block_reload_signal', 'hold_reload_signal', 'unblock_reload_signal']


def block_reload_signal() -> None:
    """Keep SIGHUP pending until it is unblocked; new threads inherit this."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


@contextlib.contextmanager
def hold_reload_signal() -> Iterator[None]:
    """Keep SIGHUP pending for a time, unless it is unblocked within it."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


@contextlib.contextmanager
def unblock_reload_signal() -> Iterator[None]:
    """Let SIGHUP reach its handler, which has to be installed for all of the time."""
    before = signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
