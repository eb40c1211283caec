"""What the leader sent to instances: orders not to repeat too soon, loads begun."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.fleet.orders import Order, OrderKind

__all__ = ['LoadLimiter', 'OrderLedger']

#: Loads that may begin at once, on top of the rate.  With three quarters of the
#: rate this stays within what the weight store bears in any window.
LOAD_BURST = 4.0
LOAD_RATE_PART = 0.75


@dataclass(eq=False)
class OrderLedger:
    """Times at which orders were sent, and where instances were last seen."""

    addresses: dict[str, str] = field(default_factory=dict)
    _sent: dict[tuple[str, OrderKind, int], float] = field(default_factory=dict)

    def repeat(self, order: Order, retry_s: float, now: float) -> list[Order]:
        """Return the order unless it was sent less than ``retry_s`` ago."""
        key = (order.instance, order.kind, order.epoch)
        if now - self._sent.get(key, float('-inf')) < retry_s:
            return []
        self._sent[key] = now
        return [order]

    def forget(self, order: Order) -> None:
        """Let an order be sent at any time, as it did not go out."""
        self._sent.pop((order.instance, order.kind, order.epoch), None)

    def clear(self) -> None:
        """Forget the orders; addresses stay."""
        self._sent.clear()


@dataclass(eq=False)
class LoadLimiter:
    """Loads from the weight store that may begin, as a bucket of tokens.

    It begins empty: a leader doesn't know what the one before it began.
    """

    _tokens: float = 0.0
    _seen: float | None = None

    def take(self, rate: float, now: float) -> bool:
        """Take one load.

        :param rate: loads a second that the weight store bears; 0 for any.
        """
        if rate <= 0:
            return True
        seen = now if self._seen is None else self._seen
        self._seen = now
        self._tokens += (now - seen) * rate * LOAD_RATE_PART
        self._tokens = min(self._tokens, LOAD_BURST)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def clear(self) -> None:
        """Begin empty again."""
        self._tokens = 0.0
        self._seen = None
