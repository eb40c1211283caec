"""Distributed rate limits of customers.

The nodes share only the demand that each reports.  Each node enforces a share of a
customer's limit: a fixed part is split evenly, the rest in proportion to reported
demand.  If all nodes know the same reports, the shares add up to the limit; the
design note ``limits`` gives the bound if they do not.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['DemandMeter', 'RateLimiter', 'compute_share']

#: Fraction of a limit that is split evenly, regardless of demand.
EVEN_FRACTION = 0.2

#: Window in seconds over which demand is averaged.
DEMAND_WINDOW_S = 5.0


def compute_share(
    node_name: str,
    nodes: int,
    reported: Mapping[str, float],
    even_fraction: float = EVEN_FRACTION,
) -> float:
    """Return this node's share of a limit, from 0 to 1.

    :param node_name: name of this node.
    :param nodes: number of registered nodes, including this one.
    :param reported: demand last reported by each node.  For this node too it is the
        reported value, not the current one, so that all nodes compute from the
        same numbers.
    :param even_fraction: fraction of the limit that is split evenly.
    """
    count = max(1, nodes)
    total = sum(reported.values())
    if total <= 0:
        return 1.0 / count
    return (
        even_fraction / count
        + (1.0 - even_fraction) * reported.get(node_name, 0.0) / total
    )


class DemandMeter:
    """Measures the requests per second of each customer at this node."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def count_request(self, customer: str, now: float) -> None:
        """Count one request, admitted or refused."""
        self._rates[customer] = (
            self._decayed_rate(customer, now) + 1.0 / DEMAND_WINDOW_S,
            now,
        )

    def read(self, now: float) -> dict[str, float]:
        """Return the demand of each customer.

        It is rounded to two digits, so that it changes less often.
        """
        rates = {name: self._decayed_rate(name, now) for name in self._rates}
        self._rates = {n: v for n, v in self._rates.items() if rates[n] > 0.01}
        return {n: float(f'{r:.2g}') for n, r in rates.items() if r > 0.01}

    def _decayed_rate(self, customer: str, now: float) -> float:
        rate, updated_at = self._rates.get(customer, (0.0, now))
        return (
            rate * max(0.0, 1.0 - (now - updated_at) / DEMAND_WINDOW_S)
            if now > updated_at
            else rate
        )


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class RateLimiter:
    """Token buckets by name, whose rate and burst may differ at each call."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, name: str, rate: float, burst: float, now: float) -> float:
        """Take one token; return 0, or the seconds until one is available.

        :param rate: requests per second allowed on this node.
        :param burst: requests allowed at once on this node, at least 1.
        """
        bucket = self._refill(name, rate, burst, now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return (1.0 - bucket.tokens) / rate if rate > 0 else 60.0

    def charge(
        self, name: str, amount: float, rate: float, burst: float, now: float
    ) -> None:
        """Charge an amount known only afterwards; the balance may become negative."""
        self._refill(name, rate, burst, now).tokens -= amount

    def seconds_until_credit(
        self, name: str, rate: float, burst: float, now: float
    ) -> float:
        """Return the seconds until the balance is at least 0; 0 if it already is."""
        tokens = self._refill(name, rate, burst, now).tokens
        if tokens >= 0:
            return 0.0
        return -tokens / rate if rate > 0 else 60.0

    def _refill(self, name: str, rate: float, burst: float, now: float) -> _Bucket:
        burst = max(1.0, burst)
        bucket = self._buckets.setdefault(name, _Bucket(burst, now))
        elapsed = max(0.0, now - bucket.updated_at)
        bucket.tokens = min(burst, bucket.tokens + elapsed * rate)
        bucket.updated_at = now
        return bucket
