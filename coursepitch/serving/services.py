"""Reverse proxy for plain HTTP services, with streaming in both directions."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpx

from coursepitch import events, log
from coursepitch.fleet.pause_detector import sleep_running
from coursepitch.gateway.runs import RunRace, RunSet
from coursepitch.http.client import ExchangeError
from coursepitch.http.event_splitter import (
    EVENT_STREAM_TYPE,
    MAX_EVENT_BYTES,
    EventSplitter,
)
from coursepitch.serving import outcomes
from coursepitch.serving.attempts import (
    AttemptResult,
    NextStep,
    RetryState,
    classify_error,
    decide_next,
)
from coursepitch.serving.outcomes import Outcome, Problem, RefusedError
from coursepitch.util.bounded_http import BoundedTransport, Exchange
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

__all__ = ['AnswerBody', 'ServiceCaller']

#: Timeout in seconds of the check whether a service still listens.
CHECK_TIMEOUT_S = 0.5

#: Seconds between two searches for an address to try beside the silent ones.
FIND_INTERVAL_S = 0.1

#: Matches comments and empty lines of a stream of events, and the start of a comment.
#: Source: HTML standard, section 9.2.6.
_COMMENTS = re.compile(rb'(?:[\r\n]++|:[^\r\n]*+)*+')

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


@dataclass(eq=False)
class ServiceRun:
    """One send of a call to an address of a service, and its answer.

    :param began_at: monotonic time at which it was begun.
    :param reply: ``None`` before the head of the answer has arrived.
    :param exchange: counts the bytes of its connection.
    :param suspected: whether it may have failed, as it is silent.
    :param interrupted: never set, as crashes of plain services are not examined.
    :param ended: whether what it held was released.
    """

    address: str
    began_at: float
    reply: httpx.Response | None = None
    exchange: Exchange = field(default_factory=Exchange)
    suspected: bool = False
    interrupted: bool = False
    ended: bool = False

    @property
    def head(self) -> str:
        """Address that the call is sent to."""
        return self.address


@dataclass(eq=False)
class _Call:
    """State of a call over all its runs.

    :param tried: addresses to which it was sent.
    :param held: run whose answer is an error, forwarded if no other run succeeds.
    :param result: what its failed runs prove together.
    :param error: error of reading the body of the call.
    """

    request: Request
    request_id: str
    service: Service
    options: RequestOptions
    body: bytes | AsyncIterator[bytes]
    deadline_at: float
    runs: RunSet[ServiceRun] = field(default_factory=RunSet)
    tried: list[str] = field(default_factory=list)
    held: ServiceRun | None = None
    result: AttemptResult = AttemptResult.NOTHING_SENT
    error: Exception | None = None

    def note_failure(self, result: AttemptResult) -> None:
        """Record a failed run; one that may have run is not undone by a later one."""
        if result is not AttemptResult.NOTHING_SENT:
            self.result = result


class ServiceCaller:
    """Forwards calls to plain services and balances them over their addresses.

    :param kept_bytes: size in bytes above which no more of an answer is kept for the
        record of its call, as that does not take it.
    """

    def __init__(
        self, settings: RoutingSettings, clock: Clock, kept_bytes: int = 0
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._kept_bytes = kept_bytes
        self._in_flight: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(
            transport=BoundedTransport(limits),
            trust_env=False,
            headers={'accept-encoding': 'identity'},
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
        return self._build_answer(
            context, reply, address, options.deadline_s, record, finish
        )

    async def _attempt(
        self,
        request: Request,
        context: RequestContext,
        service: Service,
        options: RequestOptions,
        body: bytes | AsyncIterator[bytes],
    ) -> tuple[httpx.Response, str]:
        """Return the answer that is to be forwarded, and its address.

        An address that is silent is kept while another one is tried, as described in
        :mod:`coursepitch.gateway.runs`.

        :raises TimeoutError: the deadline has passed without an answer.
        """
        deadline_at = self._clock() + options.deadline_s
        request_id = context.request_id
        call = _Call(request, request_id, service, options, body, deadline_at)
        try:
            run = None
            with anyio.move_on_after(options.deadline_s):
                run = await self._find_answer(call)
            # An error that is in hand says more than that the deadline has passed.
            run = run or call.held
            if run is None or run.reply is None:
                raise TimeoutError
            await self._end_runs(call, kept=run)
            return run.reply, run.address
        except BaseException:
            await self._end_runs(call)
            raise

    async def _find_answer(self, call: _Call) -> ServiceRun:
        """Return the run whose answer is to be forwarded."""
        while True:
            call.runs.add(self._open_run(call))
            run = await self._race(call).wait() or call.held
            if run is not None:
                return run
            self._check_retry(call)

    def _race(self, call: _Call) -> RunRace[ServiceRun]:
        async def advance(run: ServiceRun) -> bool:
            return await self._advance(call, run)

        async def watch(run: ServiceRun) -> None:
            await sleep_running(self._clock, self._settings.first_byte_timeout_s)
            self._note_silent(call, run)

        async def find_other() -> ServiceRun:
            if not self._allows_another(call):
                await anyio.sleep_forever()
            while not self._has_untried(call):
                await anyio.sleep(FIND_INTERVAL_S)
            return self._open_run(call)

        return RunRace(call.runs, advance, watch, find_other)

    def _open_run(self, call: _Call) -> ServiceRun:
        """Return a new run, which counts as in flight at its address from now on.

        :raises RefusedError: no address is left to try.
        """
        address = self._choose(call.service, call.tried, call.request_id)
        call.tried.append(address)
        self._adjust_in_flight(address, 1)
        return ServiceRun(address, self._clock())

    async def _advance(self, call: _Call, run: ServiceRun) -> bool:
        """Send a call and read the head of its answer; return whether to forward it."""
        try:
            outgoing = self._build_request(call.request, call, run)
            run.reply = await self._client.send(outgoing, stream=True)
        except httpx.HTTPError as error:
            self._failed_at[run.address] = self._clock()
            call.note_failure(classify_error(error))
        except Exception as error:
            # The body of the call could not be read; raised outside of the race.
            call.error = error
        else:
            # Another address that is only silent may still give a better answer.
            if run.reply.status_code < 500 or len(call.runs.live) == 1:
                return True
            if call.held is None:
                call.held = run
                return False
        await self._end_run(run)
        return False

    def _note_silent(self, call: _Call, run: ServiceRun) -> None:
        now = self._clock()
        log.emit(
            events.RUN_STALLED,
            request=call.request_id,
            instance=run.address,
            reason='silent',
            silent_s=round(now - run.began_at, 3),
            received=run.exchange.received,
            begun=False,
            load=self._in_flight.get(run.address, 0),
            runs=len(call.tried),
            allowed=self._settings.attempts if call.options.repeatable else 1,
            left_s=round(call.deadline_at - now, 3),
        )
        if self._allows_another(call):
            # Calls that are not repeatable may take long at a sound address.
            self._failed_at[run.address] = now

    async def _end_runs(self, call: _Call, kept: ServiceRun | None = None) -> None:
        """End all runs but the one whose answer is forwarded."""
        runs = [*call.runs.live, *([call.held] if call.held else [])]
        call.runs.live, call.held = [], None
        with anyio.CancelScope(shield=True):
            for run in runs:
                if run is kept:
                    continue
                if kept is not None:
                    log.emit(
                        events.RUN_DROPPED,
                        request=call.request_id,
                        instance=run.address,
                        suspected=run.suspected,
                    )
                await self._end_run(run)

    async def _end_run(self, run: ServiceRun) -> None:
        """Release what a run holds, once."""
        if run.ended:
            return
        run.ended = True
        self._adjust_in_flight(run.address, -1)
        if run.reply is not None:
            await run.reply.aclose()

    def _allows_another(self, call: _Call) -> bool:
        """Return whether another address may be tried beside the silent ones."""
        return (
            call.options.repeatable
            and isinstance(call.body, bytes)
            and len(call.tried) < self._settings.attempts
        )

    def _has_untried(self, call: _Call) -> bool:
        """Return whether an address is left to try that is not at its limit."""
        service = call.service
        return any(
            self._in_flight.get(item, 0) < service.in_flight
            for item in service.addresses
            if item not in call.tried
        )

    def _check_retry(self, call: _Call) -> None:
        """Return if another attempt is allowed after all have failed.

        :raises RefusedError: it is not.
        """
        if call.error is not None:
            raise call.error
        # A streamed body cannot be sent again once a part of it was sent.
        can_resend = (
            isinstance(call.body, bytes) or call.result is AttemptResult.NOTHING_SENT
        )
        state = RetryState(
            call.result,
            call.options.repeatable and can_resend,
            len(call.tried),
            self._settings.attempts,
        )
        unknown = state.outcome is Outcome.UNKNOWN
        if decide_next(state, has_budget=True) is NextStep.RETRY and (
            self._has_untried(call) or not unknown
        ):
            return
        refusal = outcomes.TARGET_FAILED if unknown else outcomes.TARGET_REFUSED
        raise RefusedError(Problem(refusal, call.request_id, '', 1.0))

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
        self, request: Request, call: _Call, run: ServiceRun
    ) -> httpx.Request:
        path = read_raw_path(request)
        query = f'?{request.url.query}' if request.url.query else ''
        dropped = list_unforwarded_headers(request.headers.get('connection', ''))
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name not in dropped
        ]
        headers.append(('x-request-id', call.request_id))
        length = request.headers.get('content-length')
        content: bytes | AsyncIterator[bytes] | None = call.body
        if not isinstance(call.body, bytes):
            chunked = 'transfer-encoding' in request.headers
            if length is not None:
                headers.append(('content-length', length))
            elif not chunked:
                content = None
        return self._client.build_request(
            request.method,
            f'http://{run.address}{path}{query}',
            headers=headers,
            content=content,
            timeout=httpx.Timeout(None, connect=1.0, pool=1.0),
            extensions={'exchange': run.exchange},
        )

    def _build_answer(
        self,
        context: RequestContext,
        reply: httpx.Response,
        address: str,
        limit_s: float,
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
        body = self._relay_body(context, reply, address, limit_s, record)

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
        limit_s: float,
        record: Callable[[RequestContext], Awaitable[None]],
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body; close the connection abnormally if it is truncated.

        :param limit_s: longest wait in seconds for the service to make progress.
        """
        length = int(reply.headers.get('content-length', -1))
        # Bytes that are compressed tell nothing of the events in them.
        encoded = 'content-encoding' in reply.headers
        content_type = '' if encoded else context.content_type
        body = AnswerBody(reply, content_type, limit_s, self._clock)
        while (whole := await body.read()) is not None:
            if context.claim is not None:
                if len(context.answer) <= self._kept_bytes:
                    context.answer += whole
                if body.forwarded == length:
                    context.outcome = Outcome.ANSWERED
                    await record(context)
            if whole:
                yield whole
        if _ends_with_connection(reply) and await _refuses_connections(address):
            raise Cutoff('the service ended with its answer')
        context.outcome = Outcome.ANSWERED
        await record(context)


class AnswerBody:
    """Body of an answer, read within bounds on what brings its caller nothing.

    Of a stream of events only whole events and comments are returned.  Of other bodies
    any bytes are.

    :param limit_s: longest wait in seconds for the first event of a stream of events,
        and after it, or of other bodies, for bytes that are returned.
    :ivar forwarded: number of bytes that were returned.
    """

    def __init__(
        self, reply: httpx.Response, content_type: str, limit_s: float, clock: Clock
    ) -> None:
        media_type = content_type.partition(';')[0].strip().lower()
        self._splitter = EventSplitter() if media_type == EVENT_STREAM_TYPE else None
        self._pieces = reply.aiter_raw()
        self._limit_s = limit_s
        self._left_s = limit_s
        self._clock = clock
        #: Bytes since the latest event.
        self._idle = 0
        self._in_comment = False
        #: Line ends that are yet to be followed by a comment or an event.
        self._line_ends = b''
        self._ended = False
        self.forwarded = 0

    async def read(self) -> bytes | None:
        """Return bytes to forward, which may be empty; ``None`` after the end.

        :raises Cutoff: the answer is truncated, or brings its caller nothing.
        """
        if self._ended:
            return None
        piece = await self._read_piece()
        self._ended = piece is None
        whole = self._end() if piece is None else self._add(piece)
        self.forwarded += len(whole)
        return whole

    async def _read_piece(self) -> bytes | None:
        """Return a piece of the body; only waits for the service take of its time."""
        began_at = self._clock()
        try:
            with anyio.fail_after(self._left_s):
                return await anext(self._pieces, None)
        except TimeoutError as error:
            raise Cutoff('the answer of the service makes no progress') from error
        except httpx.HTTPError as error:
            raise Cutoff('the answer of the service was truncated') from error
        finally:
            self._left_s = max(0.0, self._left_s - (self._clock() - began_at))

    def _add(self, piece: bytes) -> bytes:
        """Return what may be forwarded once a piece has arrived."""
        if self._splitter is None:
            found, begun = piece, True
        else:
            found = self._split(self._splitter, piece)
            begun = self._splitter.count > 0
        if found and begun:
            self._left_s = self._limit_s
        return found

    def _split(self, splitter: EventSplitter, piece: bytes) -> bytes:
        """Return the whole events and comments that a piece completes."""
        self._idle += len(piece)
        comments = b''
        if not splitter.buffered:
            comments, piece = self._take_comments(piece)
        count = splitter.count
        try:
            whole = splitter.feed(piece) if piece else b''
        except ExchangeError as error:
            raise Cutoff('the stream of the service brings no event') from error
        if splitter.count > count:
            self._idle = splitter.buffered
            if not splitter.is_inside_event():
                whole += self._take_comments(splitter.flush())[0]
        elif self._idle > MAX_EVENT_BYTES:
            raise Cutoff('the stream of the service brings no event')
        return comments + whole

    def _take_comments(self, piece: bytes) -> tuple[bytes, bytes]:
        """Return the comments at the start of a piece between two events, and the rest.

        A part of a comment is returned as well, as receivers ignore it.  Line ends
        alone are not: a stream of nothing else may be no stream of events.
        """
        marked = b':' * self._in_comment + piece
        found = _COMMENTS.match(marked)
        assert found is not None, 'an empty string matches as well'
        size = found.end() - self._in_comment
        comments = piece[:size].rstrip(b'\r\n')
        line_ends, rest = piece[len(comments) : size], piece[size:]
        if comments:
            comments, self._line_ends = self._line_ends + comments, b''
        if comments or self._in_comment:
            self._in_comment = not line_ends
            # The first line end is that of the last comment.
            end = 1 + line_ends.startswith(b'\r\n')
            comments, line_ends = comments + line_ends[:end], line_ends[end:]
        self._line_ends += line_ends
        if rest:
            rest, self._line_ends = self._line_ends + rest, b''
        return comments, rest

    def _end(self) -> bytes:
        """Return the bytes after the last event: comments and blank lines."""
        if self._splitter is None:
            return b''
        if self._splitter.is_inside_event():
            raise Cutoff('the stream of the service ended inside an event')
        return self._line_ends + self._splitter.flush()


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
