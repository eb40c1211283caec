"""State of a client request in the gateway."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from coursepitch.config.routes import RouteKind
from coursepitch.crashes.suspects import Traits
from coursepitch.gateway.fingerprint import build_fingerprint

if TYPE_CHECKING:
    from coursepitch.config.routes import Route, RoutedCustomer, Service
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.send_permits import Permit
    from coursepitch.gateway.problems import Problem
    from coursepitch.gateway.runs import Run
    from coursepitch.http.client import Framing
    from coursepitch.http.messages import Headers, IncomingRequest
    from coursepitch.http.server import ResponseWriter
    from coursepitch.platform.headers import RequestFields

__all__ = ['MAX_CRASHES', 'Ending', 'ErrorResponse', 'Job', 'Refusal']

#: Crashes of instances after which a node stops retrying a request and answers with an
#: error, so that a third instance crashes only if a client sends the request again.
MAX_CRASHES = 2

#: Share of a route's usual client timeout below which a request counts as a client's
#: retry.  Clients announce the full timeout first and the remaining time on a retry.
CLIENT_RETRY_TIMEOUT_SHARE = 0.985


class Ending(enum.Enum):
    """How a request ended, for logs and counters."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    LEFT = 'client left'


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response that the gateway generates itself.

    Statuses 429 and 503 guarantee that the request was not and will not be executed.

    :param retry_after_s: Retry-After in seconds; 0 to omit it.
    :param problem: problem document for the body, if any.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0
    problem: Problem | None = None


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error response of an instance that was not forwarded.

    Another run may still give a better one.

    :param headers: those to forward.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(eq=False)
class Job:
    """State of one request.

    :param deadline_at: monotonic time of the deadline.
    :param is_client_retry: whether the client retries after a refusal.
    :param waited_before_s: seconds that passed since the client's first attempt.
    :param priority: priority at the target; ``None`` for the target's default.
    :param work: predicted work in instance-seconds; 1 for services without engines.
    :param retry_after_s: Retry-After in seconds if the request is refused now; 0 if
        not known.
    :param sent: instances that the request was sent to, in order.
    :param send_times: monotonic times of the sends.
    :param software: version of the software of the latest one; empty if unknown.
    :param may_have_run: instances that executed it, or may have.
    :param unlisted: instances among them that run on without an entry.
    :param permit: permit for the next send, where the instance limits its rate.
    :param interrupted_by: instance that interrupted the latest attempt, if any.
    :param crashes: number of instances that ended while executing it.
    :param first_sent_at: monotonic time of the first send.
    :param last_sent_at: monotonic time of the latest send.
    :param run_began_at: monotonic time at which the first event of the latest run was
        forwarded; ``None`` before it.
    :param first_event_at: monotonic time at which the first event was forwarded.
    :param last_event_at: monotonic time at which the latest event was forwarded.
    :param pause_s: longest pause in seconds between two events.
    :param framing: how the latest response is framed; ``None`` before the first.
    :param survived: whether the instance provably outlived the latest response.
    :param error: latest error response of an instance, to forward if no run succeeds;
        ``None`` if there is none, or its status denies a run.
    """

    incoming: IncomingRequest
    reply: ResponseWriter
    fields: RequestFields
    route: Route
    service: Service
    customer: RoutedCustomer | None
    deadline_at: float
    is_client_retry: bool = False
    waited_before_s: float = 0.0
    priority: int | None = None
    work: float = 1.0
    retry_after_s: float = 0.0
    sent: list[str] = field(default_factory=list)
    send_times: list[float] = field(default_factory=list)
    software: str = ''
    may_have_run: set[str] = field(default_factory=set)
    unlisted: set[str] = field(default_factory=set)
    permit: Permit | None = None
    interrupted_by: FleetInstance | None = None
    crashes: int = 0
    last_reason: str = ''
    ending: Ending = Ending.NOT_RUN
    first_sent_at: float | None = None
    last_sent_at: float = 0.0
    run_began_at: float | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    pause_s: float = 0.0
    status: int = 0
    framing: Framing | None = None
    survived: bool = False
    error: ErrorResponse | None = None

    def note_sent(self, instance: str, now: float, software: str = '') -> None:
        """Record a send to an instance.

        :param now: present monotonic time in seconds.
        :param software: version of the instance's software.
        """
        self.sent.append(instance)
        self.send_times.append(now)
        self.software = software
        self.last_sent_at = now
        self.run_began_at = None
        self.survived = False
        if self.first_sent_at is None:
            self.first_sent_at = now

    def switch_run(self, run: Run) -> None:
        """Take the response from another run than the one sent last."""
        self.software = run.group.head.software
        self.run_began_at = run.began_at
        if run.sent_at is not None:
            self.last_sent_at = run.sent_at
        if run.response is not None:
            self.framing = run.response.framing

    def note_event(self, now: float) -> None:
        """Record that events are forwarded to the client.

        :param now: present monotonic time in seconds.
        """
        if self.run_began_at is None:
            self.run_began_at = now
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.pause_s = max(self.pause_s, now - self.last_event_at)
        self.last_event_at = now

    @property
    def wrote_s(self) -> float:
        """Seconds between the first and the latest event of the latest run."""
        if self.run_began_at is None or self.last_event_at is None:
            return 0.0
        return self.last_event_at - self.run_began_at

    @cached_property
    def fingerprint(self) -> str:
        """Fingerprint that equal requests share, whatever their ids and nodes."""
        customer = self.customer.name if self.customer else ''
        return build_fingerprint(self.incoming, self.fields.host, customer)

    @cached_property
    def traits(self) -> Traits:
        """What the request may share with others under which instances crash."""
        return Traits(
            self.fingerprint,
            self.customer.name if self.customer else '',
            f'{self.service.name}/{self.fields.model}',
            self.fields.prompt_parts,
        )

    @property
    def needs_group(self) -> bool:
        """Whether the request is for a model, which runs in groups."""
        return self.service.engine is not None and bool(self.fields.model)

    @property
    def is_streamed(self) -> bool:
        """Whether the response is forwarded as it comes."""
        return self.needs_group or self.route.kind is RouteKind.STREAM

    @property
    def arrived_at(self) -> float:
        """Monotonic time at which the request was completely read."""
        return self.incoming.received_at

    @property
    def awaited_until(self) -> float:
        """Monotonic time until which the client waits, if no event comes before."""
        since = self.last_event_at
        if since is None:
            since = self.incoming.received_at - self.incoming.waited_s
        return min(self.deadline_at, since + self.route.patience_s)

    @property
    def first_arrived_at(self) -> float:
        """Monotonic time of the client's first attempt, which was refused."""
        return self.arrived_at - self.waited_before_s

    @property
    def urgency(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.customer is not None and self.customer.urgency is not None:
            return self.customer.urgency
        return self.route.urgency
