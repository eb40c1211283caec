"""Reports of crashes that a node has sent or received.

The tables of suspects are bounded and drop reports, and a report that they dropped is
new to them when it arrives again.  Nodes that forward to one another what is new to
their tables would do so without end, so whether a report was known is kept apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.crashes.suspects import Crash

__all__ = ['ReportedCrashes']

#: Reports that are remembered; more than nodes send while one is on its way.
MAX_REPORTS = 16_384

#: Seconds by which the times of two reports of the same crash may differ: each link
#: that a report passes adds the time that its message took.
MAX_DELAY_S = 10.0


class ReportedCrashes:
    """Bounded memory of reports; the oldest are forgotten first.

    An instance that was reported as crashed and still ran may crash later under the
    same request, which is another report.
    """

    def __init__(self) -> None:
        self._times: dict[int, float] = {}

    def note(self, crash: Crash) -> bool:
        """Record a report; return whether it was not known."""
        key = hash((crash.fingerprint, crash.incarnation, crash.parts))
        known_at = self._times.get(key)
        if known_at is not None and crash.at <= known_at + MAX_DELAY_S:
            return False
        self._times.pop(key, None)
        self._times[key] = crash.at
        if len(self._times) > MAX_REPORTS:
            del self._times[next(iter(self._times))]
        return True
