"""Promises while clients keep to no limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.verdicts import Bounds, Finding, Verdict

if TYPE_CHECKING:
    from soak.history import History

__all__ = ['check_memory']


def check_memory(history: History, bounds: Bounds) -> Verdict:
    """A node stays within its memory, whatever its clients send."""
    findings = tuple(
        Finding(peak.node, peak.at, f'peak of {peak.memory_mb:.0f} MiB')
        for peak in history.peaks
        if peak.memory_mb > bounds.memory_mb
    )
    return Verdict('memory', len(history.peaks), findings)
