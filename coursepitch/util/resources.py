"""Memory and descriptors that this process may use, and the part for its clients."""

from __future__ import annotations

import re
import resource
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.config.sections import LimitSettings

__all__ = [
    'ClientBudget',
    'find_client_budget',
    'find_descriptors',
    'find_memory_bytes',
]

#: Share of the process's memory for bytes that are held for clients, and for the
#: connections themselves.  The rest is for what a node needs without clients: at most
#: 128 MB on machines with 300 MB.
CLIENT_MEMORY_SHARE = 0.25
CONNECTION_MEMORY_SHARE = 0.25

#: Bytes that a connection of a client takes without what it holds.
CONNECTION_BYTES = 32_768

#: Descriptors for files, listeners, the store and peers, and the share of the others
#: that connections of clients may take; the rest are for instances.
RESERVED_DESCRIPTORS = 64
CLIENT_DESCRIPTOR_SHARE = 0.75

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


@dataclass(frozen=True, slots=True)
class ClientBudget:
    """What clients may take of a process.

    :param memory_bytes: bytes that are held for all of them.
    :param connections: connections that they may have.
    """

    memory_bytes: int
    connections: int


def find_client_budget(
    limits: LimitSettings, connection_bytes: int = CONNECTION_BYTES
) -> ClientBudget:
    """Return what clients may take.

    :param connection_bytes: bytes that a connection takes without what is counted.
    """
    memory_bytes = limits.memory_mb * 1_000_000 or find_memory_bytes()
    descriptors = min(limits.descriptors or find_descriptors(), find_descriptors())
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE
    by_memory = memory_bytes * CONNECTION_MEMORY_SHARE / connection_bytes
    return ClientBudget(
        int(memory_bytes * CLIENT_MEMORY_SHARE),
        max(1, int(min(by_descriptors, by_memory))),
    )
