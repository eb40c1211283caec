"""Entry point of client requests: authentication, routing, deadline, response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.gateway.attempts import stops_too_soon
from coursepitch.gateway.job import CLIENT_RETRY_TIMEOUT_SHARE, Ending, Job, Refusal
from coursepitch.gateway.problems import PROBLEM_TYPE, render_problem
from coursepitch.gateway.stop_schedule import RETRY_AFTER_S
from coursepitch.gateway.work import WorkMeter, estimate_work
from coursepitch.http.server import ReadLimit
from coursepitch.platform.headers import read_request_fields

if TYPE_CHECKING:
    from coursepitch.config.routes import RouteTable
    from coursepitch.gateway.calls import CallServer
    from coursepitch.gateway.components import GatewayComponents
    from coursepitch.gateway.streams import StreamServer
    from coursepitch.gateway.suspicion import SuspicionGate
    from coursepitch.http.messages import Headers, IncomingRequest
    from coursepitch.http.server import ResponseWriter
    from coursepitch.metrics import Metrics
    from coursepitch.platform.headers import RequestFields

__all__ = ['Gateway']

#: Retry-After in seconds from a node that cannot confirm its configuration; other
#: nodes may be able to.
CONFIGURATION_RETRY_AFTER_S = 0.5

#: Longest time in seconds that a request waits for a starting node, and the largest
#: share of the client's own timeout.  A node alone has a confirmed configuration after
#: 0.1 s, but many that start at once all list the store, and take up to a second.
MAX_STARTUP_WAIT_S = 0.75
STARTUP_WAIT_SHARE = 0.25

#: Statuses of the node that leave open whether the request was executed.
UNKNOWN_STATUSES = frozenset({502, 504})


class Gateway:
    """Handle client requests from admission to the final log entry."""

    def __init__(
        self,
        components: GatewayComponents,
        streams: StreamServer,
        calls: CallServer,
        suspicion: SuspicionGate,
        metrics: Metrics,
    ) -> None:
        self._session = components.session
        self._router = components.router
        self._budget = components.budget
        self._clock = components.clock
        self._streams = streams
        self._calls = calls
        self._suspicion = suspicion
        self._metrics = metrics
        self._components = components
        self._stop = components.stop_schedule
        self.has_served = False
        self._usual_patience_s: dict[str, float] = {}
        self._under_way: set[anyio.CancelScope] = set()
        self._end_reason = ''
        self.work = WorkMeter(components.clock)

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Admit a request, forward it, and record its outcome.

        An error of the program outside the forwarding, which handles its own, leaves a
        request that was not run; so it is refused.
        """
        self.has_served = True
        try:
            await self._handle(request, reply)
        except Exception as error:
            _log_error(error)
            if reply.started:
                reply.abort()
            else:
                await reply.send_whole(503, (), b'')

    async def _handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        fields = read_request_fields(request)
        await self._wait_for_startup(request, fields.client_timeout_s)
        admitted = self._admit(request, reply, fields)
        if isinstance(admitted, Refusal):
            await self._refuse(reply, fields, admitted)
            self._record_end(None, fields, admitted, request.received_at)
            return
        job = admitted
        try:
            await self._serve(job)
        except BaseException:
            if job.ending is not Ending.ANSWERED:
                job.ending = Ending.LEFT
            raise
        finally:
            end = Refusal(job.status, job.last_reason)
            self._record_end(job, fields, end, job.arrived_at)

    async def _wait_for_startup(
        self, request: IncomingRequest, patience_s: float | None
    ) -> None:
        """Wait briefly while the node has no configuration or no instances yet.

        Connections queued in the kernel while the process started are accepted first.
        The configuration follows within some tens of milliseconds, or about a second
        if many nodes start at once.

        :param patience_s: timeout in seconds that the client announced, if any.
        """
        wait_s = MAX_STARTUP_WAIT_S
        if patience_s is not None:
            wait_s = min(wait_s, patience_s * STARTUP_WAIT_SHARE)
        until = request.received_at + wait_s
        while self._session.is_starting() and self._clock() < until:
            await self._session.wait_changed(until - self._clock())

    def _admit(
        self, request: IncomingRequest, reply: ResponseWriter, fields: RequestFields
    ) -> Job | Refusal:
        """Return the admitted request, or the refusal to send."""
        table = self._session.view.table
        if table is None or not self._session.is_fresh():
            return Refusal(
                503, 'the configuration is not confirmed', CONFIGURATION_RETRY_AFTER_S
            )
        return self._resolve(table, request, reply, fields)

    def _resolve(
        self,
        table: RouteTable,
        request: IncomingRequest,
        reply: ResponseWriter,
        fields: RequestFields,
    ) -> Job | Refusal:
        route = table.find_route(fields.host, request.path.decode('latin-1'))
        if route is None:
            return Refusal(404, 'no route')
        customer = table.find_customer(fields.key) if fields.key else None
        if table.keyed and not route.public and customer is None:
            return Refusal(401, 'unknown key')
        if not fields.request:
            return Refusal(400, 'no request id')
        service = table.services.get(self._router.choose_service(route))
        if service is None:
            return Refusal(503, 'the service is unknown', CONFIGURATION_RETRY_AFTER_S)
        patience_s = fields.client_timeout_s
        timeout_s = route.timeout_s
        if patience_s is not None:
            timeout_s = min(timeout_s, patience_s)
        waited_before_s = self._find_waited_before_s(route.name, patience_s)
        job = Job(
            request,
            reply,
            fields,
            route,
            service,
            None if route.public else customer,
            request.received_at - request.waited_s + timeout_s,
            is_client_retry=waited_before_s > 0,
            waited_before_s=waited_before_s,
        )
        job.priority = table.find_priority(service.name, job.urgency)
        if stops_too_soon(self._components, job):
            return Refusal(503, job.last_reason, RETRY_AFTER_S)
        return job

    def find_read_limit(self, head: IncomingRequest) -> ReadLimit:
        """Return until when a request may be read of which the head has come.

        Its deadline runs from its last byte.
        """
        fields = read_request_fields(head)
        table = self._session.view.table
        timeout_s = fields.client_timeout_s
        timeout_s = float('inf') if timeout_s is None else timeout_s
        route, streamed = None, True
        if table is not None:
            route = table.find_route(fields.host, head.path.decode('latin-1'))
        if table is not None and route is not None:
            timeout_s = min(timeout_s, route.timeout_s)
            services = [table.services.get(item.service) for item in route.backends]
            streamed = bool(fields.model) and any(
                service is not None and service.engine is not None
                for service in services
            )
        until = self._stop.find_latest_start(route, timeout_s, streamed=streamed)
        return ReadLimit(until, _build_refusal_headers(fields, RETRY_AFTER_S))

    def _find_waited_before_s(self, route: str, patience_s: float | None) -> float:
        """Return the seconds since the first attempt of a client that retries.

        A client retries a refused request if its timeout is below the usual one.
        """
        if patience_s is None:
            return 0.0
        usual = max(self._usual_patience_s.get(route, 0.0), patience_s)
        self._usual_patience_s[route] = usual
        if patience_s >= usual * CLIENT_RETRY_TIMEOUT_SHARE:
            return 0.0
        return usual - patience_s

    async def _serve(self, job: Job) -> None:
        """Serve a request up to its deadline, and send the refusal if it fails."""
        self._budget.note_request(job.service.name)
        refusal = await self._suspicion.admit(job)
        if refusal is None:
            with self._suspicion.track(job):
                refusal = await self._run(job)
        if refusal is not None:
            job.status = refusal.status
            unknown = refusal.status in UNKNOWN_STATUSES
            job.ending = Ending.UNKNOWN if unknown else Ending.NOT_RUN
            job.last_reason = refusal.reason
            await self._refuse(job.reply, job.fields, refusal)

    async def _run(self, job: Job) -> Refusal | None:
        """Forward a request up to its deadline; return the refusal to send, if any."""
        refusal: Refusal | None = None
        scope = anyio.move_on_after(job.deadline_at - self._clock())
        self._under_way.add(scope)
        if self._end_reason:
            scope.cancel()
        try:
            with scope:
                refusal = await self._forward(job)
            if scope.cancelled_caught:
                refusal = self._end_unfinished(job)
        except Exception as error:
            _log_error(error)
            refusal = self._end_early(job, 'an internal error of the node')
        finally:
            self._under_way.discard(scope)
        try:
            return await self._prefer_error(job, refusal)
        except Exception as error:
            _log_error(error)
            return self._end_early(job, 'an internal error of the node')

    def end_requests(self, reason: str) -> None:
        """Refuse all requests under way, and break off responses that have begun."""
        self._end_reason = reason
        for scope in self._under_way:
            scope.cancel()

    async def _forward(self, job: Job) -> Refusal | None:
        """Forward a request; return the refusal to send, if any."""
        if job.needs_group:
            self._record_work(job)
            return await self._streams.serve(job)
        return await self._calls.serve(job)

    async def _prefer_error(self, job: Job, refusal: Refusal | None) -> Refusal | None:
        """Forward an instance's error in place of one of the node; return the other.

        What the node knows of instances that ended meanwhile is told instead.
        """
        error = job.error
        if refusal is None or error is None or refusal.problem is not None:
            return refusal
        if refusal.status not in UNKNOWN_STATUSES:
            return refusal
        job.status, job.ending = error.status, Ending.ANSWERED
        await job.reply.send_whole(error.status, error.headers, error.body)
        return None

    def _record_work(self, job: Job) -> None:
        engine = job.service.engine
        model = engine.find_model(job.fields.model) if engine else None
        if engine is not None and model is not None:
            job.work = estimate_work(engine, model, job.fields)
            self.work.note(model.name, job.work)

    def _end_at_deadline(self, job: Job) -> Refusal | None:
        if job.reply.written:
            return None
        if job.reply.started:
            job.reply.abort()
            job.ending = Ending.CUT
            job.last_reason = job.last_reason or 'the deadline passed'
            return None
        if job.sent:
            return Refusal(504, 'no response before the deadline')
        return Refusal(
            503, job.last_reason or 'no target was available before the deadline'
        )

    def _end_unfinished(self, job: Job) -> Refusal | None:
        """End a request at its deadline, or before it as the node stops."""
        if self._end_reason and self._clock() < job.deadline_at:
            return self._end_early(job, self._end_reason)
        return self._end_at_deadline(job)

    def _end_early(self, job: Job, reason: str) -> Refusal | None:
        """Break off a response that has begun, or return the refusal to send."""
        if job.reply.started:
            job.last_reason = reason
            return self._end_at_deadline(job)
        return Refusal(502 if job.sent else 503, reason)

    async def _refuse(
        self, reply: ResponseWriter, fields: RequestFields, refusal: Refusal
    ) -> None:
        headers = _build_refusal_headers(fields, refusal.retry_after_s)
        body = b''
        if refusal.problem is not None:
            headers += ((b'Content-Type', PROBLEM_TYPE),)
            body = render_problem(refusal.problem, refusal.status)
        await reply.send_whole(refusal.status, headers, body)

    def _record_end(
        self, job: Job | None, fields: RequestFields, end: Refusal, since: float
    ) -> None:
        outcome = job.ending if job else Ending.NOT_RUN
        self._metrics.requests.inc({'outcome': outcome.value, 'code': str(end.status)})
        took_s = self._clock() - since
        if job is not None:
            kind = job.route.kind.value
            self._metrics.request_time.observe({'kind': kind}, took_s)
            if job.first_event_at is not None:
                waited_s = job.first_event_at - job.arrived_at
                self._metrics.first_token.observe({'kind': kind}, waited_s)
            self._metrics.attempts.add({'kind': kind}, len(job.sent))
        log.emit(
            events.REQUEST_ENDED,
            request=fields.request,
            route=job.route.name if job else '',
            kind=job.route.kind.value if job else '',
            model=fields.model,
            status=end.status,
            outcome=outcome.value,
            reason=end.reason,
            instance=','.join(job.sent) if job else '',
            attempts=len(job.sent) if job else 0,
            took_s=round(took_s, 4),
            held_s=_round_since(job.first_sent_at, job) if job else None,
            waited_s=round(job.incoming.waited_s, 4) if job else None,
            sends_s=[_round_since(at, job) for at in job.send_times] if job else [],
            left_s=_round_since(job.reply.client_left_at, job) if job else None,
            stopping_s=round(since - self._stop.began_at, 3)
            if self._stop.has_begun
            else None,
            first_s=_round_since(job.first_event_at, job) if job else None,
            pause_s=round(job.pause_s, 4) if job else 0.0,
            objective_s=job.route.objective_s if job else 0.0,
            pause_limit_s=job.route.pause_s if job else 0.0,
            age=round(self._session.confirmation_age_s, 3),
            framing=job.framing.value if job and job.framing else '',
        )


def _build_refusal_headers(fields: RequestFields, retry_after_s: float) -> Headers:
    headers: Headers = ((b'X-Request-Id', fields.request.encode('latin-1')),)
    if retry_after_s:
        headers += ((b'Retry-After', b'%.2f' % retry_after_s),)
    return headers


def _log_error(error: Exception) -> None:
    """Log an error of the program in the handling of a request."""
    log.emit(events.INTERNAL_ERROR, place='request', **log.describe_error(error))


def _round_since(at: float | None, job: Job) -> float | None:
    """Return the seconds from a request's arrival to a monotonic time, for the log."""
    return None if at is None else round(at - job.arrived_at, 4)
