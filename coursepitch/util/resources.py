"""Memory and descriptors that this process may use."""

from __future__ import annotations

import re
import resource
from pathlib import Path

__all__ = ['find_descriptors', 'find_memory_bytes']

#: Limits of a process that bound its memory.  The kernel does not enforce the first.
_MEMORY_LIMITS = (resource.RLIMIT_RSS, resource.RLIMIT_DATA, resource.RLIMIT_AS)

_TOTAL = re.compile(r'^MemTotal:\s*(\d+) kB$', re.MULTILINE)

#: Memory in bytes if the system tells nothing.
UNKNOWN_MEMORY_BYTES = 268_435_456


def find_memory_bytes(meminfo: Path = Path('/proc/meminfo')) -> int:
    """Return the bytes of memory that the machine and the process limits allow.

    :param meminfo: see proc(5).
    """
    try:
        found = _TOTAL.search(meminfo.read_text())
    except OSError:
        found = None
    total = int(found[1]) * 1024 if found else UNKNOWN_MEMORY_BYTES
    limits = [resource.getrlimit(name)[0] for name in _MEMORY_LIMITS]
    return min(total, *(item if item > 0 else total for item in limits))


def find_descriptors() -> int:
    """Return the number of descriptors that the process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return limit if limit > 0 else 1_048_576
