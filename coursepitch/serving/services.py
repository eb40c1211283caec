"""Reverse proxy for plain HTTP services, with streaming in both directions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import httpx

from coursepitch.http.event_splitter import EVENT_STREAM_TYPE, EventSplitter
from coursepitch.serving import outcomes
from coursepitch.serving.attempts import (
    AttemptResult,
    NextStep,
    RetryState,
    classify_error,
    decide_next,
)
from coursepitch.serving.outcomes import Outcome, Problem, RefusedError
from coursepitch.util.http import Cutoff, StreamedResponse

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

    from starlette.requests import Request
    from starlette.responses import Response

    from coursepitch.clock import Clock
    from coursepitch.config.resources import Service
    from coursepitch.config.settings import RoutingSettings
    from coursepitch.serving.caller_api import RequestContext
    from coursepitch.serving.model_request import RequestOptions

__all__ = ['ServiceCaller']

#: Timeout in seconds of the check whether a service still listens.
CHECK_TIMEOUT_S = 0.5

#: Headers that are not forwarded: those that apply to a single connection
#: (RFC 9110, section 7.6.1) and those that this node sets itself.
_NOT_FORWARDED = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    }
)


def list_unforwarded_headers(connection: str) -> frozenset[str]:
    """Return the names of headers that are not forwarded, in lower case.

    :param connection: value of the Connection header, which may name more.
    """
    named = (part.strip().lower() for part in connection.split(','))
    return _NOT_FORWARDED | frozenset(named)


def read_raw_path(request: Request) -> str:
    """Return the path after the service's name as the caller sent it.

    Percent-encoding is preserved: an encoded slash does not separate segments.
    """
    raw: bytes = request.scope['raw_path'].partition(b'?')[0]
    _, _, rest = raw.removeprefix(b'/services/').partition(b'/')
    return '/' + rest.decode('ascii', 'replace')


class ServiceCaller:
    """Forwards calls to plain services and balances them over their addresses."""

    def __init__(self, settings: RoutingSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._in_flight: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        # A silent service may go on, so only deadlines end the wait for it.
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(None, connect=1.0, pool=1.0), limits=limits
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call(
        self,
        request: Request,
        context: RequestContext,
        name: str,
        service: Service,
        options: RequestOptions,
        body: bytes | AsyncIterator[bytes],
        record: Callable[[RequestContext], Awaitable[None]],
        finish: Callable[[RequestContext], Awaitable[None]],
    ) -> Response:
        """Forward a call and return its streamed answer.

        :param record: called once the answer is whole, before its end is sent.
        :param finish: called once when the answer or the call has ended.
        :raises RefusedError: no address answered in time.
        """
        address = ''
        try:
            with anyio.fail_after(options.deadline_s):
                reply, address = await self._attempt(
                    request, context, service, options, body
                )
        except BaseException as error:
            if isinstance(error, RefusedError):
                context.outcome = error.problem.refusal.outcome
            with anyio.CancelScope(shield=True):
                await finish(context)
            if isinstance(error, TimeoutError):
                problem = Problem(outcomes.DEADLINE, context.request_id)
                raise RefusedError(problem) from error
            raise
        return self._build_answer(context, reply, address, record, finish)

    async def _attempt(
        self,
        request: Request,
        context: RequestContext,
        service: Service,
        options: RequestOptions,
        body: bytes | AsyncIterator[bytes],
    ) -> tuple[httpx.Response, str]:
        tried: list[str] = []
        while True:
            address = self._choose(service, tried, context.request_id)
            tried.append(address)
            self._adjust_in_flight(address, 1)
            try:
                outgoing = self._build_request(request, context, address, body)
                silence_s = math.inf
                if self._may_leave(service, options, tried, body):
                    silence_s = self._settings.first_byte_timeout_s
                with anyio.fail_after(silence_s):
                    reply = await self._client.send(outgoing, stream=True)
            except (httpx.HTTPError, TimeoutError) as error:
                self._adjust_in_flight(address, -1)
                self._failed_at[address] = self._clock()
                result = classify_error(error)
                self._check_retry(context, options, result, tried, body)
            except BaseException:
                self._adjust_in_flight(address, -1)
                raise
            else:
                return reply, address

    def _may_leave(
        self,
        service: Service,
        options: RequestOptions,
        tried: list[str],
        body: bytes | AsyncIterator[bytes],
    ) -> bool:
        """Return whether another address may be tried if this one is silent."""
        if not options.repeatable or not isinstance(body, bytes):
            return False
        if len(tried) >= self._settings.attempts:
            return False
        return any(
            self._in_flight.get(item, 0) < service.in_flight
            for item in service.addresses
            if item not in tried
        )

    def _check_retry(
        self,
        context: RequestContext,
        options: RequestOptions,
        result: AttemptResult,
        tried: list[str],
        body: bytes | AsyncIterator[bytes],
    ) -> None:
        """Return if another attempt is allowed.

        :raises RefusedError: it is not.
        """
        # A streamed body cannot be sent again once a part of it was sent.
        can_resend = isinstance(body, bytes) or result is AttemptResult.NOTHING_SENT
        state = RetryState(
            result,
            options.repeatable and can_resend,
            len(tried),
            self._settings.attempts,
        )
        if decide_next(state, has_budget=True) is NextStep.RETRY:
            return
        unknown = state.outcome is Outcome.UNKNOWN
        refusal = outcomes.TARGET_FAILED if unknown else outcomes.TARGET_REFUSED
        raise RefusedError(Problem(refusal, context.request_id, '', 1.0))

    def _choose(self, service: Service, tried: list[str], request_id: str) -> str:
        """Return the address with the fewest requests from this node.

        Addresses with a recent failure come last.

        :raises RefusedError: all were tried, or the rest are at their limit.
        """
        untried = [item for item in service.addresses if item not in tried]
        if not untried:
            raise RefusedError(Problem(outcomes.TARGET_REFUSED, request_id, '', 1.0))
        available = [
            item for item in untried if self._in_flight.get(item, 0) < service.in_flight
        ]
        if not available:
            raise RefusedError(Problem(outcomes.OVERLOADED, request_id, '', 1.0))
        now = self._clock()
        hold = self._settings.failure_hold_s

        def cost(address: str) -> tuple[bool, int]:
            failed_at = self._failed_at.get(address, float('-inf'))
            return (now - failed_at < hold, self._in_flight.get(address, 0))

        return min(available, key=cost)

    def _adjust_in_flight(self, address: str, count: int) -> None:
        self._in_flight[address] = self._in_flight.get(address, 0) + count

    def _build_request(
        self,
        request: Request,
        context: RequestContext,
        address: str,
        body: bytes | AsyncIterator[bytes],
    ) -> httpx.Request:
        path = read_raw_path(request)
        query = f'?{request.url.query}' if request.url.query else ''
        dropped = list_unforwarded_headers(request.headers.get('connection', ''))
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name not in dropped
        ]
        headers.append(('x-request-id', context.request_id))
        length = request.headers.get('content-length')
        content: bytes | AsyncIterator[bytes] | None = body
        if not isinstance(body, bytes):
            chunked = 'transfer-encoding' in request.headers
            if length is not None:
                headers.append(('content-length', length))
            elif not chunked:
                content = None
        return self._client.build_request(
            request.method,
            f'http://{address}{path}{query}',
            headers=headers,
            content=content,
        )

    def _build_answer(
        self,
        context: RequestContext,
        reply: httpx.Response,
        address: str,
        record: Callable[[RequestContext], Awaitable[None]],
        finish: Callable[[RequestContext], Awaitable[None]],
    ) -> Response:
        headers = {
            'x-request-id': context.request_id,
            'coursepitch-outcome': 'answered',
        }
        # Repeated headers stay separate: Set-Cookie values cannot be joined.
        dropped = list_unforwarded_headers(reply.headers.get('connection', ''))
        forwarded = [
            (name.encode(), value.encode('latin-1', 'replace'))
            for name, value in reply.headers.multi_items()
            if name not in dropped
        ]
        length = reply.headers.get('content-length')
        context.status = reply.status_code
        context.content_type = reply.headers.get('content-type', '')
        body = self._relay_body(context, reply, address, record)

        async def end() -> None:
            await body.aclose()
            await reply.aclose()
            self._adjust_in_flight(address, -1)
            await finish(context)

        answer = StreamedResponse(body, reply.status_code, headers, end)
        answer.raw_headers += forwarded
        if length is not None:
            answer.raw_headers.append((b'content-length', length.encode()))
        return answer

    async def _relay_body(
        self,
        context: RequestContext,
        reply: httpx.Response,
        address: str,
        record: Callable[[RequestContext], Awaitable[None]],
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body; close the connection abnormally if it is truncated."""
        length = int(reply.headers.get('content-length', -1))
        media_type = context.content_type.partition(';')[0].strip().lower()
        splitter = EventSplitter() if media_type == EVENT_STREAM_TYPE else None
        try:
            async for piece in reply.aiter_raw():
                if splitter is not None:
                    splitter.feed(piece)
                if context.claim is not None:
                    context.answer += piece
                    if len(context.answer) == length:
                        context.outcome = Outcome.ANSWERED
                        await record(context)
                yield piece
        except httpx.HTTPError as error:
            raise Cutoff('the answer of the service was truncated') from error
        if splitter is not None and splitter.is_inside_event():
            raise Cutoff('the stream of the service ended inside an event')
        if _ends_with_connection(reply) and await _refuses_connections(address):
            raise Cutoff('the service ended with its answer')
        context.outcome = Outcome.ANSWERED
        await record(context)


def _ends_with_connection(reply: httpx.Response) -> bool:
    """Whether only the end of its connection tells the end of an answer's body."""
    bodiless = reply.request.method == 'HEAD' or reply.status_code in (204, 304)
    framed = not {'content-length', 'transfer-encoding'}.isdisjoint(reply.headers)
    return not bodiless and not framed


async def _refuses_connections(address: str) -> bool:
    """Whether no process listens at an address any more.

    The kernel closes the connections of a process that is killed as the process itself
    does after a whole answer.  A timeout proves nothing.
    """
    host, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(CHECK_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except TimeoutError:
        return False
    except OSError as error:
        return isinstance(error.__cause__ or error, ConnectionRefusedError)
    await stream.aclose()
    return False
