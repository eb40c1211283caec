"""What the leader sent to instances: orders not to repeat too soon, loads begun."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.orders import Order, OrderKind

__all__ = ['LoadLimiter', 'OrderLedger']

#: Loads that may begin at once, on top of the rate.  With three quarters of the
#: rate this stays within what the weight store bears in any window.
LOAD_BURST = 4.0
LOAD_RATE_PART = 0.75

#: Times a load's usual length, and seconds beyond, after which it is given up and
#: may be ordered again: orders are carried out up to 12 s late.
LOAD_PATIENCE = 1.2
LOAD_MARGIN_S = 12.0


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

    def forget_instance(self, instance: str) -> None:
        """Forget the orders that went to an instance: it started again."""
        for key in [key for key in self._sent if key[0] == instance]:
            del self._sent[key]

    def clear(self) -> None:
        """Forget the orders; addresses stay."""
        self._sent.clear()


@dataclass(eq=False)
class LoadLimiter:
    """Loads from the weight store: how many may begin, and which are under way.

    The bucket of tokens begins empty: a leader doesn't know what the one before
    it began.  What is under way it learns from the store: an order to load that is
    given again begins anew, and each load beyond those that the weight store
    bears at once slows all others.

    :param running: model and time of the order, by instance.
    """

    running: dict[str, tuple[str, float]] = field(default_factory=dict)
    _tokens: float = 0.0
    _seen: float | None = None

    def adopt(self, loads: Mapping[str, str], now: float) -> None:
        """Take loads that another leader began for begun now."""
        for instance, model in loads.items():
            self.running.setdefault(instance, (model, now))

    def settle(
        self,
        present: Mapping[str, FleetInstance],
        load_s: Mapping[str, float],
        now: float,
    ) -> None:
        """Forget loads that are done, can't be, or took too long."""
        for instance, (model, since) in list(self.running.items()):
            found = present.get(instance)
            patience_s = load_s.get(model, 0.0) * LOAD_PATIENCE + LOAD_MARGIN_S
            done = found is None or model in found.staged or model in found.models
            if done or now - since > patience_s:
                del self.running[instance]

    def take(self, rate: float, most: int, now: float) -> bool:
        """Take one load.

        :param rate: loads a second that the weight store bears; 0 for any.
        :param most: loads at once that it bears; 0 for any.
        """
        if most and len(self.running) >= most:
            return False
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
        self.running.clear()
        self._tokens = 0.0
        self._seen = None
