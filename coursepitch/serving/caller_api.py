"""HTTP API for callers, as an ASGI application."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import orjson
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from coursepitch import events, log
from coursepitch.errors import (
    CodecError,
    OverloadedError,
    RequestError,
    RequestTooLargeError,
)
from coursepitch.http.server import MEMORY_RETRY_AFTER_S
from coursepitch.platform.kv import Unavailable
from coursepitch.serving import outcomes
from coursepitch.serving.idempotency import (
    Claim,
    Decision,
    RecordState,
    RequestRecords,
    record_key,
)
from coursepitch.serving.model_request import (
    ModelRequest,
    RequestOptions,
    parse_body,
    parse_options,
)
from coursepitch.serving.outcomes import (
    Outcome,
    Problem,
    Refusal,
    RefusedError,
    build_refusal,
)
from coursepitch.serving.runs import read_token_count
from coursepitch.serving.sse import DONE_DATA, encode_event
from coursepitch.util.body_hold import KEPT_FACTOR, BodyHold
from coursepitch.util.http import (
    StreamedResponse,
    TrackedResponse,
    read_body,
    run_until_disconnect,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

    from coursepitch.clock import Clock
    from coursepitch.config.settings import EntrySettings
    from coursepitch.http.memory import ClientMemory
    from coursepitch.metrics import Metrics
    from coursepitch.serving.dispatch import Dispatcher
    from coursepitch.serving.gate import Gate
    from coursepitch.serving.identity import Identity
    from coursepitch.serving.runs import Run
    from coursepitch.serving.services import ServiceCaller

__all__ = ['CallerApi']

EVENT_STREAM = 'text/event-stream'

#: HTTP status of the response to a caller that has disconnected; it is not sent.
CLIENT_CLOSED_STATUS = 499

#: State of an idempotency record by the outcome of its request.
_RECORD_STATES = {
    Outcome.NOT_RUN: RecordState.NOT_RUN,
    Outcome.UNKNOWN: RecordState.UNKNOWN,
    Outcome.ANSWERED: RecordState.ANSWERED,
}


@dataclass(eq=False)
class RequestContext:
    """State of one HTTP request.

    :param request_id: identifier of the request.
    :param outcome: outcome as known so far; written to the idempotency record.
    :param answer: body of the answer, kept for the idempotency record.
    :param started_at: monotonic time.
    :param hold: its body, as long as it is held.
    """

    request_id: str
    identity: Identity
    claim: Claim | None = None
    run: Run | None = None
    outcome: Outcome = Outcome.NOT_RUN
    status: int = 0
    content_type: str = ''
    answer: bytearray = field(default_factory=bytearray)
    started_at: float = 0.0
    hold: BodyHold | None = None


class CallerApi:
    """Handles the requests of callers."""

    def __init__(
        self,
        gate: Gate,
        dispatcher: Dispatcher,
        services: ServiceCaller,
        records: RequestRecords,
        settings: EntrySettings,
        metrics: Metrics,
        clock: Clock,
        memory: ClientMemory,
    ) -> None:
        self._memory = memory
        self._memory.body_bytes = settings.body_limit * KEPT_FACTOR
        self._gate = gate
        self._dispatcher = dispatcher
        self._services = services
        self._records = records
        self._settings = settings
        self._metrics = metrics
        self._clock = clock

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
        chat = self._wrap_handler(self._complete_chat)
        text = self._wrap_handler(self._complete_text)
        service = self._wrap_handler(self._call_service)
        return Starlette(
            routes=[
                Route('/v1/chat/completions', chat, methods=['POST']),
                Route('/v1/completions', text, methods=['POST']),
                Route(
                    '/v1/models', self._wrap_handler(self._list_models), methods=['GET']
                ),
                Route('/services/{name}', service, methods=methods),
                Route('/services/{name}/{path:path}', service, methods=methods),
                Route('/readyz', self._get_readiness, methods=['GET']),
            ]
        )

    async def _get_readiness(self, request: Request) -> Response:
        reason = self._gate.explain_not_ready()
        return JSONResponse(
            {'ready': not reason, 'reason': reason}, 503 if reason else 200
        )

    def _wrap_handler(
        self, handle: Callable[[Request, RequestContext], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[TrackedResponse]]:
        """Wrap a handler: check identity and readiness, turn errors into refusals.

        A request is in flight until its response has been written.
        """

        async def endpoint(request: Request) -> TrackedResponse:
            request_id = secrets.token_hex(8)
            hold = BodyHold(self._memory, self._clock)

            def end() -> None:
                hold.release()
                self._gate.end_request(request_id)

            try:
                response = await answer(request, request_id, hold)
            except BaseException:
                end()
                raise
            timeout_s = self._settings.idle_timeout_s
            note_unread = partial(
                log.emit, events.RESPONSE_UNREAD, request=request_id, limit_s=timeout_s
            )
            return TrackedResponse(response, end, note_unread, timeout_s)

        async def answer(request: Request, request_id: str, hold: BodyHold) -> Response:
            with log.start_action('request', request=request_id, path=request.url.path):
                try:
                    identity = self._gate.identify(
                        request.headers.get('authorization', ''), request_id
                    )
                    context = RequestContext(
                        request_id, identity, started_at=self._clock(), hold=hold
                    )
                    with self._gate.begin_request(request_id):
                        return await handle(request, context)
                    problem = _describe_end(context)
                except RefusedError as error:
                    problem = error.problem
                except OverloadedError as error:
                    problem = Problem(
                        outcomes.OVERLOADED,
                        request_id,
                        str(error),
                        MEMORY_RETRY_AFTER_S,
                    )
                except RequestTooLargeError as error:
                    problem = Problem(outcomes.TOO_LARGE, request_id, str(error))
                except RequestError as error:
                    problem = Problem(outcomes.BAD_REQUEST, request_id, str(error))
                except ClientDisconnect:
                    problem = Problem(
                        outcomes.BAD_REQUEST, request_id, 'caller disconnected'
                    )
                return self._refuse(problem)

        return endpoint

    def _refuse(self, problem: Problem) -> Response:
        refusal = problem.refusal
        self._metrics.requests.inc(
            {'outcome': refusal.outcome.value, 'code': str(refusal.number)}
        )
        log.emit(
            events.REQUEST_REFUSED,
            request=problem.request_id,
            code=refusal.number,
            outcome=refusal.outcome.value,
        )
        return build_refusal(problem)

    # -- models ------------------------------------------------------------------

    async def _list_models(self, request: Request, context: RequestContext) -> Response:
        names = self._gate.directory().list_models(context.identity.customer)
        data = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'coursepitch'}
            for name in names
        ]
        return JSONResponse({'object': 'list', 'data': data})

    async def _complete_chat(
        self, request: Request, context: RequestContext
    ) -> Response:
        return await self._complete(request, context, chat=True)

    async def _complete_text(
        self, request: Request, context: RequestContext
    ) -> Response:
        return await self._complete(request, context, chat=False)

    async def _read_body(self, request: Request, context: RequestContext) -> bytes:
        settings = self._settings
        return await read_body(
            request, settings.body_limit, settings.body_timeout_s, context.hold
        )

    async def _complete(
        self, request: Request, context: RequestContext, *, chat: bool
    ) -> Response:
        raw = await self._read_body(request, context)
        body = parse_body(raw, chat=chat)
        options = parse_options(request.headers, self._settings.default_deadline_s)
        groups = self._gate.directory().find_groups(
            body['model'], context.identity.customer
        )
        if not groups:
            raise RefusedError(Problem(outcomes.NOT_FOUND, context.request_id))
        self._gate.check_limits(context.identity, context.request_id)
        now = self._clock()
        model_request = ModelRequest(
            context.request_id,
            context.identity,
            groups,
            request.url.path,
            body,
            bool(body.get('stream')),
            options.repeatable,
            options.urgency,
            now,
            now + options.deadline_s,
        )
        replayed = await self._claim_key(context, options, request, raw)
        if replayed is not None:
            return replayed
        return await self._serve(request, context, model_request)

    async def _serve(
        self, request: Request, context: RequestContext, model_request: ModelRequest
    ) -> Response:
        """Run a request after claiming its idempotency key, if it has one."""
        answer: Response | None = None
        try:
            if model_request.stream:
                answer = await run_until_disconnect(
                    request.receive, lambda: self._start_stream(context, model_request)
                )
                return answer or self._handle_disconnect(context)
            completion = await run_until_disconnect(
                request.receive, lambda: self._fetch(context, model_request)
            )
            if completion is None:
                return self._handle_disconnect(context)
            context.outcome = Outcome.ANSWERED
            return self._build_model_answer(context, completion)
        except RefusedError as error:
            context.outcome = error.problem.refusal.outcome
            raise
        except BaseExceptionGroup as errors:
            refused = _find_refusal(errors)
            if refused is None:
                raise
            context.outcome = refused.problem.refusal.outcome
            raise refused from None
        finally:
            if not isinstance(answer, StreamedResponse):
                with anyio.CancelScope(shield=True):
                    await self._finish(context)

    def _handle_disconnect(self, context: RequestContext) -> Response:
        """Log that the caller disconnected and return a response for the server."""
        log.emit(events.CLIENT_DISCONNECTED, request=context.request_id)
        return Response(status_code=CLIENT_CLOSED_STATUS)

    async def _fetch(
        self, context: RequestContext, model_request: ModelRequest
    ) -> dict[str, Any]:
        """Return a complete answer within the deadline.

        :raises RefusedError: the request failed or the deadline passed.
        """
        problem = Problem(outcomes.DEADLINE_WAITING, context.request_id)
        try:
            with anyio.fail_after(model_request.deadline_at - self._clock()):
                run = await self._admit(context, model_request)
                problem = Problem(outcomes.DEADLINE, context.request_id)
                return await self._dispatcher.fetch(run)
        except TimeoutError as error:
            raise RefusedError(problem) from error

    async def _admit(self, context: RequestContext, model_request: ModelRequest) -> Run:
        context.run = await self._dispatcher.admit(model_request)
        context.outcome = Outcome.UNKNOWN
        return context.run

    def _build_model_answer(
        self, context: RequestContext, answer: dict[str, Any]
    ) -> Response:
        self._gate.charge_tokens(context.identity, read_token_count(answer))
        answer['id'] = context.request_id
        context.status, context.content_type = 200, 'application/json'
        context.answer += orjson.dumps(answer)
        return self._build_answer(context, bytes(context.answer))

    def _build_answer(self, context: RequestContext, body: bytes) -> Response:
        headers = {
            'x-request-id': context.request_id,
            'coursepitch-outcome': 'answered',
        }
        return Response(body, context.status, headers, context.content_type)

    # -- streams ------------------------------------------------------------------

    async def _start_stream(
        self, context: RequestContext, model_request: ModelRequest
    ) -> Response:
        """Return a streamed answer after its first chunk has arrived.

        :raises RefusedError: the request failed or the deadline passed.
        """
        chunks: AsyncGenerator[dict[str, Any], None] | None = None
        problem = Problem(outcomes.DEADLINE_WAITING, context.request_id)
        try:
            with anyio.fail_after(model_request.deadline_at - self._clock()):
                run = await self._admit(context, model_request)
                problem = Problem(outcomes.DEADLINE, context.request_id)
                chunks = self._dispatcher.stream(run)
                first = await anext(chunks, None)
        except TimeoutError as error:
            raise RefusedError(problem) from error
        waited = self._clock() - context.started_at
        self._metrics.first_token.observe({}, waited)
        context.status, context.content_type = 200, EVENT_STREAM
        headers = {
            'content-type': EVENT_STREAM,
            'cache-control': 'no-store',
            'x-request-id': context.request_id,
        }
        body = self._encode_events(context, first, chunks)

        def encode_deadline_error() -> bytes:
            return self._encode_error(Problem(outcomes.DEADLINE, context.request_id))

        async def finish() -> None:
            await body.aclose()
            await chunks.aclose()
            await self._finish(context)

        left_s = model_request.deadline_at - self._clock()
        return StreamedResponse(
            body,
            200,
            headers,
            finish,
            left_s,
            encode_deadline_error,
            has_last_event=True,
        )

    async def _encode_events(
        self,
        context: RequestContext,
        first: dict[str, Any] | None,
        chunks: AsyncGenerator[dict[str, Any], None],
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events of an answer, ending with ``[DONE]`` or an error."""
        keep_answer = context.claim is not None
        count = 0
        problem: Problem | None = None
        chunk = first
        try:
            while chunk is not None:
                chunk['id'] = context.request_id
                data = encode_event(orjson.dumps(chunk))
                if keep_answer:
                    context.answer += data
                count += 1
                yield data
                chunk = await anext(chunks, None)
        except RefusedError as error:
            problem = error.problem
        finally:
            self._metrics.chunks.add({}, count)
            self._gate.charge_tokens(context.identity, count)
        if problem is None:
            end = encode_event(DONE_DATA.encode())
            context.answer += end
            context.outcome = Outcome.ANSWERED
            await self._record_outcome(context)
            yield end
            return
        yield self._encode_error(problem)

    def _encode_error(self, problem: Problem) -> bytes:
        """Return the error event that ends an incomplete stream."""
        refusal = problem.refusal
        log.emit(
            events.REQUEST_REFUSED,
            request=problem.request_id,
            code=refusal.number,
            outcome=refusal.outcome.value,
        )
        return encode_event(problem.render())

    async def _finish(self, context: RequestContext) -> None:
        """Release the slot, write the idempotency record and count the outcome."""
        if context.run is not None:
            await self._dispatcher.finish(context.run)
            context.run = None
        await self._record_outcome(context)
        if context.outcome is Outcome.ANSWERED:
            self._metrics.requests.inc({'outcome': 'answered', 'code': '0'})
            waited = round(self._clock() - context.started_at, 4)
            log.emit(events.REQUEST_DONE, request=context.request_id, wait=waited)

    async def _record_outcome(self, context: RequestContext) -> None:
        """Write the idempotency record, unless the request has none or it is written.

        A client that has a whole answer may repeat the request at once, so this comes
        before the end of an answer is sent.
        """
        if context.claim is None:
            return
        claim, context.claim = context.claim, None
        with anyio.CancelScope(shield=True):
            await self._records.record_outcome(
                claim,
                _RECORD_STATES[context.outcome],
                context.status,
                context.content_type,
                bytes(context.answer),
            )

    # -- idempotency keys -------------------------------------------------------------

    async def _claim_key(
        self,
        context: RequestContext,
        options: RequestOptions,
        request: Request,
        raw: bytes,
    ) -> Response | None:
        """Claim the idempotency key, if the request has one.

        Return the recorded answer if the request was answered before.

        :raises RefusedError: the request runs or may have run already, the key
            belongs to another request, or the claim cannot be recorded.
        """
        if not options.idempotency_key:
            return None
        key = record_key(context.identity.customer, options.idempotency_key)
        url = request.url
        request_line = (
            f'{context.identity.caller}\n{request.method} {url.path}?{url.query}\n'
        )
        body_hash = hashlib.sha256(request_line.encode() + raw).hexdigest()
        try:
            claim_result = await self._records.claim_key(key, body_hash)
        except CodecError as error:
            raise RefusedError(
                Problem(outcomes.NO_RECORD, context.request_id)
            ) from error
        decision = claim_result.decision
        if isinstance(decision, Unavailable):
            detail = f'({decision.reason})'
            raise RefusedError(
                Problem(outcomes.NO_RECORD, context.request_id, detail, 2.0)
            )
        if decision is Decision.CLAIM:
            context.claim = claim_result.claim
            return None
        stored = claim_result.stored
        if decision is Decision.REPLAY and stored is not None:
            context.status, context.content_type = stored.status, stored.content_type
            answer = self._build_answer(context, stored.body)
            answer.headers['idempotency-replayed'] = 'true'
            return answer
        refusal = _CLAIM_REFUSALS[decision]
        running = stored is not None and stored.state is RecordState.RUNNING
        retry = 1.0 if running else None
        raise RefusedError(Problem(refusal, context.request_id, '', retry))

    # -- plain services ------------------------------------------------------------

    async def _call_service(
        self, request: Request, context: RequestContext
    ) -> Response:
        name = request.path_params['name']
        service = self._gate.directory().find_service(name, context.identity.customer)
        if service is None:
            raise RefusedError(Problem(outcomes.NOT_FOUND, context.request_id))
        options = parse_options(
            request.headers, self._settings.default_deadline_s, service.repeatable
        )
        self._gate.check_limits(context.identity, context.request_id)
        if options.idempotency_key:
            raw = await self._read_body(request, context)
            replayed = await self._claim_key(context, options, request, raw)
            if replayed is not None:
                return replayed
            body: bytes | AsyncIterator[bytes] = raw
        else:
            body = request.stream()
        context.outcome = Outcome.UNKNOWN
        return await self._services.call(
            request,
            context,
            name,
            service,
            options,
            body,
            self._record_outcome,
            self._finish,
        )


_CLAIM_REFUSALS: dict[Decision, Refusal] = {
    Decision.BUSY: outcomes.IN_PROGRESS,
    Decision.REPLAY: outcomes.IN_PROGRESS,
    Decision.MISMATCH: outcomes.KEY_REUSED,
}


def _describe_end(context: RequestContext) -> Problem:
    """Return the refusal of a request that is ended as the node stops."""
    refusal = outcomes.TARGET_FAILED
    if context.outcome is Outcome.NOT_RUN:
        refusal = outcomes.NOT_READY
    return Problem(refusal, context.request_id, '(stopping)', 1.0)


def _find_refusal(errors: BaseExceptionGroup[Any]) -> RefusedError | None:
    """Return the refusal from a group of errors that holds nothing else."""
    found = errors.subgroup(RefusedError)
    if found is None or len(errors.exceptions) != len(found.exceptions):
        return None
    error: Any = found
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error if isinstance(error, RefusedError) else None
