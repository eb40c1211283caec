"""Processor time and memory of a process, from the kernel's counts."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ['read_cpu_s', 'read_rss_mb']

_TICKS = os.sysconf('SC_CLK_TCK')


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1000
    return 0.0
