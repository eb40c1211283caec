"""Refusal of connections by a node that gets more than it can process.

A request that was read and waits for the processor is late wherever its target is.  A
connection that is closed unread costs its client one attempt, and the next one meets
another node.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.metrics import Metrics

__all__ = ['OverloadGuard']

#: Seconds between two measurements of the delay.
CHECK_INTERVAL_S = 0.1

#: Passes through the event loop that a request takes from its connection to its send.
PASSES = 10

#: Delay in seconds of so many passes above which fewer connections are accepted, and
#: below which more are.  Together with the usual 0.2 s of an instance, the first is
#: within a latency objective of 0.36 s.
MAX_DELAY_S = 0.1
LOW_DELAY_S = 0.05

#: Smallest factor and term by which the accepted share of connections changes at a
#: measurement, its minimum, and seconds after which one is accepted in any case: a node
#: that says it is ready always accepts some.
MIN_DECREASE = 0.3
INCREASE = 0.02
MIN_SHARE = 0.05
MAX_REFUSING_S = 0.5

#: New connections per second up to which all are accepted.  At that rate they are not
#: what keeps the processor busy.
MIN_RATE = 20.0


class OverloadGuard:
    """Accepts a share of the new connections, less while requests wait too long.

    The share decreases by a factor and increases by a term, which lets it settle
    without knowing the capacity of the node.  Source: D.-M. Chiu and R. Jain, Analysis
    of the increase and decrease algorithms for congestion avoidance (1989).

    :param has_idle_peers: whether other nodes are less busy than this one.
    :param random_fraction: returns a random number from 0 to 1.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        has_idle_peers: Callable[[], bool],
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._has_idle_peers = has_idle_peers
        self._random_fraction = random_fraction
        self.share = 1.0
        self._offered = 0
        self._refused = 0
        self._accepted_at = float('-inf')
        self._logged_at = float('-inf')
        self._delay_logged_at = float('-inf')

    def accepts(self) -> bool:
        """Whether to accept a connection that came in."""
        self._offered += 1
        now = self._clock()
        is_due = now >= self._accepted_at + MAX_REFUSING_S
        if is_due or self._random_fraction() < self.share:
            self._accepted_at = now
            return True
        self._refused += 1
        self._metrics.refused_connections.inc({})
        return False

    async def run(self) -> None:
        """Measure the delay and adapt the share until cancelled."""
        since = self._clock()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            delay_s = await self._measure_delay()
            now = self._clock()
            self.note_delay(delay_s, now - since)
            since = now

    async def _measure_delay(self) -> float:
        """Return the seconds that a request's passes through the event loop take."""
        began_at = self._clock()
        for number in range(1, PASSES + 1):
            await anyio.lowlevel.checkpoint()
            took_s = self._clock() - began_at
            if took_s > MAX_DELAY_S:
                # The rest would only delay the reaction.
                return took_s * PASSES / number
        return took_s

    def note_delay(self, delay_s: float, interval_s: float) -> None:
        """Adapt the share to a measured delay.

        :param interval_s: seconds since the measurement before.
        """
        offered, self._offered = self._offered, 0
        self._log_delay(delay_s, offered)
        is_busy = offered > MIN_RATE * interval_s
        if delay_s > MAX_DELAY_S and is_busy and self._has_idle_peers():
            factor = max(MIN_DECREASE, MAX_DELAY_S / delay_s)
            self.share = max(MIN_SHARE, self.share * factor)
        elif delay_s < LOW_DELAY_S or not is_busy:
            self.share = min(1.0, self.share + INCREASE)
        self._log(delay_s, offered)

    def _log_delay(self, delay_s: float, offered: int) -> None:
        """Log a delay that makes requests late, once a second at most."""
        now = self._clock()
        if delay_s > MAX_DELAY_S and now >= self._delay_logged_at + 1.0:
            self._delay_logged_at = now
            log.emit(events.NODE_DELAYED, delay_s=round(delay_s, 4), offered=offered)

    def _log(self, delay_s: float, offered: int) -> None:
        """Log what was refused, once a second at most."""
        now = self._clock()
        if not self._refused or now < self._logged_at + 1.0:
            return
        self._logged_at = now
        refused, self._refused = self._refused, 0
        log.emit(
            events.CONNECTIONS_REFUSED,
            refused=refused,
            share=round(self.share, 3),
            delay_s=round(delay_s, 4),
        )
