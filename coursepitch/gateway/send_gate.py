"""Decision whether a request may be sent to an instance at present."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from coursepitch.fleet.backoffs import InstanceBackoffs
    from coursepitch.fleet.send_permits import Permit, SendPermits
    from coursepitch.fleet.view import FleetView

__all__ = ['SendGate', 'Withheld']

#: Longest Retry-After in seconds: instances that start in the meantime may serve the
#: client before those that asked for a backoff.
MAX_RETRY_AFTER_S = 10.0

#: Jitter of Retry-After, as a share of the time until the first backoff ends.  Clients
#: are refused during the whole backoff and would otherwise all retry at its end.
RETRY_AFTER_JITTER = 0.5

#: Retry-After in seconds, before jitter, while all zones of a service are evacuated:
#: when a request is withdrawn is not known in advance.
EVACUATED_RETRY_S = 1.0


class Withheld(enum.Enum):
    """Reason why a request is not sent to the instance chosen for it."""

    LEFT = 'the instance left meanwhile'
    EVACUATED = 'the zone of the instance is evacuated'
    BACKOFF = 'the instance asked for a backoff'
    NO_PERMIT = 'the permit to send is over'


@dataclass(eq=False)
class SendGate:
    """Checks made when an instance is chosen and again right before a request is sent.

    The load of instances is left to the router.

    :param count: counts withheld requests by reason.
    :param random_fraction: returns a random number from 0 to 1, for the jitter of
        Retry-After.
    """

    view: FleetView
    backoffs: InstanceBackoffs
    permits: SendPermits
    count: Callable[[str], None] = lambda reason: None
    random_fraction: Callable[[], float] = random.random

    def is_closed(self, instance: str) -> bool:
        """Whether a listed instance accepts no requests of this node at present."""
        return (
            self.view.is_evacuated(instance)
            or self.backoffs.is_closed(instance)
            or self.permits.is_closed(instance)
        )

    async def take_permit(self, instance: str) -> Permit | None:
        """Return a permit for one request, or ``None`` if none is available."""
        return await self.permits.take(instance)

    def withhold(self, instance: str, permit: Permit | None) -> Withheld | None:
        """Return why a request must not be sent, or ``None`` if it may."""
        reason = self._find_reason(instance, permit)
        if reason is not None:
            self.count(reason.name.lower())
        return reason

    def _find_reason(self, instance: str, permit: Permit | None) -> Withheld | None:
        if not self.view.accepts_requests(instance):
            return Withheld.LEFT
        if self.view.is_evacuated(instance):
            return Withheld.EVACUATED
        if self.backoffs.is_closed(instance):
            return Withheld.BACKOFF
        if not self.permits.allows(instance, permit):
            return Withheld.NO_PERMIT
        return None

    # -- sets of instances ------------------------------------------------------------

    def are_closed(self, instances: Collection[str], wait_s: float = 0.0) -> bool:
        """Whether there are instances and none will accept a request in time.

        :param wait_s: seconds for which the request could wait.
        """
        open_at = self.permits.clock() + wait_s
        return bool(instances) and all(
            self.view.is_evacuated(name)
            or self.backoffs.find_left_s(name) > wait_s
            or self.permits.are_closed((name,), open_at)
            for name in instances
        )

    def explain_closed(self, instances: Collection[str]) -> str:
        """Return why none of these instances accepts a request."""
        if all(self.view.is_evacuated(name) for name in instances):
            return 'all zones of the service are evacuated'
        if any(self.backoffs.find_left_s(name) > 0 for name in instances):
            return (
                'all instances asked for a backoff or have no room in their rate limits'
            )
        return 'the rate limits of all instances are used up'

    def find_retry_after_s(self, instances: Collection[str], nodes: int) -> float:
        """Return the Retry-After in seconds, if none of these accepts requests.

        :param nodes: number of nodes that share the rate limits.
        """
        names = [name for name in instances if not self.view.is_evacuated(name)]
        if instances and not names:
            return EVACUATED_RETRY_S * self._draw_jitter_factor()
        backoffs = [self.backoffs.find_left_s(name) for name in names]
        available = [
            name for name, left_s in zip(names, backoffs, strict=True) if not left_s
        ]
        limited_s = self.permits.find_retry_s(available, nodes)
        times = [left_s * self._draw_jitter_factor() for left_s in backoffs if left_s]
        times += [limited_s] if limited_s else []
        return min(MAX_RETRY_AFTER_S, *times) if times else 0.0

    def _draw_jitter_factor(self) -> float:
        return 1.0 + RETRY_AFTER_JITTER * self.random_fraction()
