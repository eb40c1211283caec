"""Checks before a request runs: readiness, identity and rate limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch.control.acceptance import is_confirmed
from coursepitch.peers.records import DemandBody
from coursepitch.serving import outcomes
from coursepitch.serving.identity import Directory, Identity, build_directory
from coursepitch.serving.limits import DemandMeter, RateLimiter, compute_share
from coursepitch.serving.outcomes import Problem, RefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.control.session import Session
    from coursepitch.metrics import Metrics
    from coursepitch.peers.hub import PeerHub
    from coursepitch.serving.admission import Admission

__all__ = ['Gate']

#: Burst of the token limit, in seconds of the permitted rate.
TOKEN_BURST_S = 10.0


class Gate:
    """Tracks the requests in flight and enforces this node's share of the limits.

    :param node_name: name of this node.
    :param confirm_bound_s: seconds for which a confirmation of the configuration by the
        key-value service is valid.
    """

    def __init__(
        self,
        node_name: str,
        session: Session,
        hub: PeerHub,
        admission: Admission,
        confirm_bound_s: float,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._node_name = node_name
        self._session = session
        self._hub = hub
        self._admission = admission
        self._confirm_bound_s = confirm_bound_s
        self._metrics = metrics
        self._clock = clock
        self._directory = build_directory(session.view.value.configuration)
        self._limiter = RateLimiter()
        self._demand = DemandMeter()
        self._open_requests: dict[str, anyio.CancelScope] = {}
        self.rejects_all = False
        self.draining = False
        #: Returns why other nodes serve better; empty if they do not.
        self.explain_withdrawn: Callable[[], str] = lambda: ''

    # -- readiness -------------------------------------------------------------

    def is_confirmed(self) -> bool:
        """Return whether the configuration was confirmed recently enough to serve."""
        contact_at = self._session.view.value.contact_at
        return is_confirmed(contact_at, self._clock(), self._confirm_bound_s)

    def explain_not_ready(self) -> str:
        """Return why the node is not ready for new requests; empty if it is ready."""
        if self.draining:
            return 'stopping'
        return self._explain_not_serving() or self.explain_withdrawn()

    def _explain_not_serving(self) -> str:
        if not self._session.view.value.configuration.revision:
            return 'no configuration received'
        return '' if self.is_confirmed() else 'configuration not confirmed'

    # -- requests ----------------------------------------------------------------

    @property
    def in_flight(self) -> tuple[str, ...]:
        """Identifiers of the requests in flight."""
        return tuple(self._open_requests)

    def begin_request(self, request_id: str) -> anyio.CancelScope:
        """Register a request as in flight; return the scope to handle it in.

        :raises RefusedError: the node does not accept requests now.
        """
        reason = 'stopping' if self.rejects_all else self._explain_not_serving()
        if reason:
            problem = Problem(outcomes.NOT_READY, request_id, f'({reason})', 1.0)
            raise RefusedError(problem)
        scope = self._open_requests[request_id] = anyio.CancelScope()
        self._metrics.in_flight.set({}, len(self._open_requests))
        return scope

    def end_requests(self) -> None:
        """End the handling of all requests in flight whose responses have not begun."""
        for scope in self._open_requests.values():
            scope.cancel()

    def end_request(self, request_id: str) -> None:
        """Remove a request from those in flight."""
        if self._open_requests.pop(request_id, None) is not None:
            self._metrics.in_flight.set({}, len(self._open_requests))

    def directory(self) -> Directory:
        """Return the index of the current configuration, rebuilt after a change."""
        configuration = self._session.view.value.configuration
        if self._directory.revision != configuration.revision:
            self._directory = build_directory(configuration)
        return self._directory

    def identify(self, authorization: str, request_id: str) -> Identity:
        """Return the caller that an Authorization header identifies.

        :raises RefusedError: the key is missing or unknown, or the node has no
            configuration yet.
        """
        if not self._session.view.value.configuration.revision:
            problem = Problem(outcomes.NOT_READY, request_id, '', 1.0)
            raise RefusedError(problem)
        identity = self.directory().find_caller(authorization)
        if identity is None:
            raise RefusedError(Problem(outcomes.NO_KEY, request_id))
        return identity

    # -- limits -----------------------------------------------------------------

    def check_limits(self, identity: Identity, request_id: str) -> None:
        """Count one request against the limits of its customer and caller.

        :raises RefusedError: a limit is exceeded.
        """
        now = self._clock()
        customer = identity.customer
        limits = identity.limits
        self._demand.count_request(customer, now)
        share = self._share(customer)
        if self._admission.in_flight_by_customer.get(customer, 0) >= max(
            1, limits.in_flight * share
        ):
            self._refuse(request_id, 'requests in flight', 1.0)
        token_rate = limits.tokens_per_s * share
        wait = self._limiter.seconds_until_credit(
            f'tokens {customer}', token_rate, token_rate * TOKEN_BURST_S, now
        )
        if wait:
            self._refuse(request_id, 'tokens per second', wait)
        if identity.caller_rate:
            name, rate = f'caller {identity.caller}', identity.caller_rate * share
            wait = self._limiter.take(name, rate, rate, now)
            if wait:
                self._refuse(request_id, 'requests per second of the caller', wait)
        wait = self._limiter.take(
            customer, limits.requests_per_s * share, limits.burst * share, now
        )
        if wait:
            self._refuse(request_id, 'requests per second', wait)

    def charge_tokens(self, identity: Identity, tokens: int) -> None:
        """Charge generated tokens to the limit of the customer."""
        rate = identity.limits.tokens_per_s * self._share(identity.customer)
        name = f'tokens {identity.customer}'
        now = self._clock()
        self._limiter.charge(name, tokens, rate, rate * TOKEN_BURST_S, now)

    def read_demand(self) -> DemandBody:
        """Return the demand at this node, to be sent to the other nodes."""
        return DemandBody(self._demand.read(self._clock()))

    def _share(self, customer: str) -> float:
        """Return this node's share of a customer's limits, from 0 to 1."""
        nodes = self._session.view.value.registered_nodes()
        reported = {}
        for item in self._hub.records('demand'):
            if item.key.subject in nodes and isinstance(item.body, DemandBody):
                reported[item.key.subject] = item.body.rates.get(customer, 0.0)
        return compute_share(self._node_name, len(nodes), reported)

    def _refuse(self, request_id: str, limit: str, wait: float) -> None:
        detail = f'({limit})'
        raise RefusedError(Problem(outcomes.RATE_LIMITED, request_id, detail, wait))
