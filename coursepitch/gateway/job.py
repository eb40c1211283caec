"""One client's request on its way through the gateway."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.config.routes import Route, RoutedCustomer, Service
    from coursepitch.http.messages import IncomingRequest
    from coursepitch.http.server import Reply
    from coursepitch.platform.headers import RequestFields

__all__ = ['Ending', 'Job', 'Refusal']

#: Share of a route's usual patience below which the time a client has left tells
#: that it was refused before and came back.  Clients name the whole time at first.
RETURNED_SHARE = 0.985


class Ending(enum.Enum):
    """How a request ended, for logs and counters."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    LEFT = 'client left'


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the system's own.

    Statuses 429 and 503 promise that the request did not run and never will.

    :param again_s: seconds after which a new try makes sense; 0 for unsaid.
    """

    status: int
    reason: str
    again_s: float = 0.0


@dataclass(eq=False)
class Job:
    """State of one request.

    :param limit_at: monotonic time past which nobody waits for the answer.
    :param sent: instances that it was sent to, in order.
    :param may_have_run: instances that ran it, or may have.
    :param first_at: monotonic time at which the first event went on.
    """

    incoming: IncomingRequest
    reply: Reply
    fields: RequestFields
    route: Route
    service: Service
    customer: RoutedCustomer | None
    limit_at: float
    returned: bool = False
    sent: list[str] = field(default_factory=list)
    may_have_run: set[str] = field(default_factory=set)
    last_reason: str = ''
    ending: Ending = Ending.NOT_RUN
    first_at: float | None = None
    status: int = 0

    @property
    def arrived_at(self) -> float:
        """Monotonic time at which the request had been read."""
        return self.incoming.received_at

    @property
    def urgency(self) -> int:
        """Rank of the request; 0 is the most urgent."""
        if self.customer is not None and self.customer.urgency is not None:
            return self.customer.urgency
        return self.route.urgency
