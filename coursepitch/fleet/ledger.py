"""Orders that the leader sent, to limit repetition, and loads in progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.orders import Order, OrderKind

__all__ = ['LoadLimiter', 'OrderLedger']

#: Loads that may start in a burst, and the fraction of the weight store's rate that is
#: used.  Together they keep within the store's limit in any window.
LOAD_BURST = 4.0
LOAD_RATE_FRACTION = 0.75

#: A load is given up, and may be ordered again, after this multiple of its usual
#: duration plus this margin in seconds: orders take effect up to 12 s late.
LOAD_TIMEOUT_FACTOR = 1.2
LOAD_TIMEOUT_MARGIN_S = 12.0


@dataclass(eq=False)
class OrderLedger:
    """Times at which orders were sent, and the last known addresses of instances."""

    addresses: dict[str, str] = field(default_factory=dict)
    _sent: dict[tuple[str, OrderKind, int], float] = field(default_factory=dict)

    def list_if_due(self, order: Order, retry_s: float, now: float) -> list[Order]:
        """Return the order unless it was sent less than ``retry_s`` ago."""
        key = (order.instance, order.kind, order.epoch)
        if now - self._sent.get(key, float('-inf')) < retry_s:
            return []
        self._sent[key] = now
        return [order]

    def forget(self, order: Order) -> None:
        """Allow an order that was not sent after all to be sent at any time."""
        self._sent.pop((order.instance, order.kind, order.epoch), None)

    def forget_instance(self, instance: str) -> None:
        """Drop the orders that were sent to an instance, as it restarted."""
        for key in [key for key in self._sent if key[0] == instance]:
            del self._sent[key]

    def clear(self) -> None:
        """Drop all orders but keep the addresses."""
        self._sent.clear()


@dataclass(eq=False)
class LoadLimiter:
    """Limiter of the rate and number of loads from the weight store.

    The token bucket starts empty, as a new leader doesn't know how many loads the
    previous one started just before.  It does learn from the key-value store which are
    in progress: repeating an order restarts the load, and each load beyond what the
    weight store supports at once slows down all others.

    :param running: model and monotonic time of the order, by instance.
    """

    running: dict[str, tuple[str, float]] = field(default_factory=dict)
    _tokens: float = 0.0
    _refilled_at: float | None = None

    def adopt(self, loads: Mapping[str, str], now: float) -> None:
        """Add loads that another leader started, as if they had started now."""
        for instance, model in loads.items():
            self.running.setdefault(instance, (model, now))

    def drop_finished(
        self,
        present: Mapping[str, FleetInstance],
        load_s: Mapping[str, float],
        now: float,
    ) -> None:
        """Drop loads that are complete, whose instance is gone or that timed out.

        :param present: listed instances by name.
        :param load_s: usual duration of a load in seconds, by model.
        :param now: monotonic time in seconds.
        """
        for instance, (model, since) in list(self.running.items()):
            found = present.get(instance)
            timeout_s = (
                load_s.get(model, 0.0) * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_MARGIN_S
            )
            done = found is None or model in found.staged or model in found.models
            if done or now - since > timeout_s:
                del self.running[instance]

    def take(self, rate: float, max_running: int, now: float) -> bool:
        """Take a token for one load; return whether the load may start.

        :param rate: loads per second that the weight store supports; 0 for no limit.
        :param max_running: concurrent loads that it supports; 0 for no limit.
        :param now: monotonic time in seconds.
        """
        if max_running and len(self.running) >= max_running:
            return False
        if rate <= 0:
            return True
        refilled_at = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = now
        self._tokens += (now - refilled_at) * rate * LOAD_RATE_FRACTION
        self._tokens = min(self._tokens, LOAD_BURST)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def clear(self) -> None:
        """Drop all loads and tokens."""
        self.running.clear()
        self._tokens = 0.0
        self._refilled_at = None
