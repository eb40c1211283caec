"""Single attempts to forward a request to an instance."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.gateway.job import Refusal
from coursepitch.gateway.stop_schedule import RETRY_AFTER_S
from coursepitch.http.client import ExchangeError, NoConnectionError
from coursepitch.platform.headers import (
    ForwardFields,
    ResponseMetadata,
    build_target_headers,
    read_response_metadata,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from coursepitch.config.routes import Service
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.send_permits import Permit
    from coursepitch.gateway.components import GatewayComponents
    from coursepitch.gateway.job import Job
    from coursepitch.http.client import Connection, Response
    from coursepitch.http.messages import Headers

__all__ = [
    'DROPPED_BODY_TIMEOUT_S',
    'MAX_BODY_BYTES',
    'MAX_ERROR_BYTES',
    'NOT_EXECUTED_STATUSES',
    'Attempt',
    'Result',
    'Retry',
    'SendPlan',
    'comes_too_late',
    'find_latest_start',
    'is_futile',
    'is_isolated',
    'limit_after_first_byte',
    'lend_retry',
    'obtain_retry',
    'refuse_unexecuted',
    'send_attempt',
    'stops_too_soon',
    'take_permit',
    'take_retry',
]


class Result(enum.Enum):
    """Outcome of an attempt."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class Retry(enum.Enum):
    """Answer to a request for a retry.

    :cvar LATER: the node's share has just taken effect: choose a target anew, as the
        request waited, and ask again.
    """

    TAKEN = 'taken'
    LATER = 'later'
    DENIED = 'denied'


@dataclass(frozen=True, slots=True)
class Attempt:
    """A completed attempt.

    :param answer: response whose headers have been read and whose body has not; only
        with :attr:`Result.ANSWERED`.
    :param misplaced: whether the instance rejected the request as sent to the wrong
        place.
    :param withheld: whether the request was not sent because the instance accepts none
        at present.
    :param path_lost: whether it was not sent because this node is cut off.
    :param interrupted: whether the instance broke the exchange off.
    :param sent_at: monotonic time of the send; ``None`` if it was not sent.
    """

    result: Result
    reason: str = ''
    answer: Response | None = None
    marks: ResponseMetadata | None = None
    misplaced: bool = False
    withheld: bool = False
    path_lost: bool = False
    interrupted: bool = False
    sent_at: float | None = None

    @property
    def blames_instance(self) -> bool:
        """Whether the instance is to be avoided after an attempt without an answer."""
        return not (self.withheld or self.path_lost)


#: Share of an instance's connection limit that all nodes together use.
CONNECTION_SHARE = 0.8


def find_max_connections(service: Service, nodes: int) -> int:
    """Return the largest number of connections from this node to one instance."""
    return max(2, int(service.connections * CONNECTION_SHARE / max(1, nodes)))


#: Longest time in seconds for which a request waits until the node's share of the retry
#: budget takes effect: clients abandon a stream that stalls for two seconds.
MAX_SHARE_WAIT_S = 1.0

#: Time in seconds before the deadline at which a request no longer waits.
MIN_TIME_LEFT_S = 0.2

#: Statuses that guarantee to a client that its request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

#: Largest body in bytes that is buffered whole before it is forwarded.
MAX_BODY_BYTES = 16_777_216

#: Largest body in bytes of an error response.
MAX_ERROR_BYTES = 1_048_576

#: Timeouts in seconds for the body of an error response that is forwarded, from its
#: first byte on, and of one that is not if another run may go on.  Source: a sound
#: instance may be silent for a second or so and go on.  The first byte of the former
#: may come until the deadline, as that of any other response.
ERROR_BODY_TIMEOUT_S = 2.0
DROPPED_BODY_TIMEOUT_S = 1.0

#: Reason of an attempt that was not made as nobody waits for its outcome.
CLIENT_LEFT = 'the client has left'

#: Reason for clients whose requests a node refuses as it stops.
NODE_STOPS = 'the node stops before the request can be whole'

#: Largest body in bytes of a rejection that is read and discarded.
MAX_REJECTION_BYTES = 65_536


def limit_after_first_byte(scope: anyio.CancelScope) -> Callable[[], None]:
    """Return a function that is called as bytes of the body of an error arrive.

    From the first call on, the body has :data:`ERROR_BODY_TIMEOUT_S` left.

    :param scope: scope in which it is read.
    """
    has_begun = False

    def note() -> None:
        nonlocal has_begun
        if not has_begun:
            has_begun = True
            until = anyio.current_time() + ERROR_BODY_TIMEOUT_S
            scope.deadline = min(scope.deadline, until)

    return note


@dataclass(frozen=True, slots=True)
class SendPlan:
    """Parameters of one attempt.

    :param headers_timeout_s: seconds to wait for the response headers.
    :param last_event: id of the last event that the client has got from an earlier run
        of the request; empty if none.
    :param new_connection: whether to open a new connection rather than reuse one.
    :param priority: priority at the instance; ``None`` for the default.
    :param permit: permit for the send, where the instance limits its rate.
    """

    headers_timeout_s: float
    last_event: bytes = b''
    new_connection: bool = False
    priority: int | None = None
    permit: Permit | None = None


def take_retry(components: GatewayComponents, job: Job) -> bool:
    """Take one retry from the budget; return ``False`` if the budget is used up."""
    part = components.session.find_share()
    if components.budget.take(job.service.name, part, job.fields.request):
        return True
    job.last_reason = 'the budget for second sends is used up'
    return False


async def obtain_retry(components: GatewayComponents, job: Job) -> Retry:
    """Take one retry from the budget; a node that started recently may borrow it.

    A node whose share takes effect shortly waits for it, unless the deadline passes
    first.
    """
    if take_retry(components, job):
        return Retry.TAKEN
    session = components.session
    now = components.clock()
    settled_at = session.share.find_settled_at()
    if settled_at <= now:
        return Retry.DENIED
    if await session.loans.borrow(job.service.name, job.fields.request):
        return Retry.TAKEN
    if settled_at > min(now + MAX_SHARE_WAIT_S, job.deadline_at - MIN_TIME_LEFT_S):
        return Retry.DENIED
    # It may have taken effect while the peers were asked.
    await anyio.sleep(max(0.0, settled_at - components.clock()))
    return Retry.LATER


def lend_retry(components: GatewayComponents, service: str, peer: str) -> bool:
    """Take one retry for a peer from this node's budget, once its share is settled."""
    session = components.session
    share = session.find_share()
    if session.share.find_settled_at() > components.clock():
        return False
    return components.budget.lend(service, share, peer)


def is_isolated(components: GatewayComponents, job: Job) -> bool:
    """Whether this node reaches no instance by any path; record it as the reason."""
    if not components.paths.is_isolated():
        return False
    job.last_reason = 'this node has no path to the instances'
    return True


def find_latest_start(components: GatewayComponents, job: Job) -> float:
    """Return the monotonic time from which a request may not begin at this node."""
    stop = components.stop_schedule
    if not stop.has_begun:
        return float('inf')
    timeout_s = job.deadline_at - components.clock()
    return stop.find_latest_start(job.route, timeout_s, streamed=job.is_streamed)


def stops_too_soon(components: GatewayComponents, job: Job) -> bool:
    """Whether a request may not begin, as this node stops; record it as the reason.

    One that has begun goes on: another run may still make its response whole.
    """
    if components.clock() < find_latest_start(components, job) or job.may_have_run:
        return False
    job.last_reason = NODE_STOPS
    return True


def is_futile(components: GatewayComponents, job: Job) -> bool:
    """Whether no instance can answer a request while its client waits."""
    left_s = job.awaited_until - components.clock()
    return left_s <= components.answer_times.find_shortest_s()


def comes_too_late(components: GatewayComponents, job: Job) -> bool:
    """Whether a send would be futile; record it as the reason."""
    if not is_futile(components, job):
        return False
    job.last_reason = 'no instance can answer while the client waits'
    return True


def refuse_unexecuted(
    components: GatewayComponents,
    job: Job,
    list_instances: Callable[[Job], Collection[str]],
    retry_after_s: float,
) -> Refusal:
    """Return the refusal of a request that no instance has executed.

    :param list_instances: returns the names of the instances that could serve it.
    :param retry_after_s: shortest Retry-After in seconds.
    """
    if stops_too_soon(components, job):
        return Refusal(503, job.last_reason, RETRY_AFTER_S)
    names = list_instances(job)
    retry_after_s = max(retry_after_s, job.retry_after_s)
    if components.gate.are_closed(names):
        nodes = components.session.count_nodes()
        retry_after_s = max(
            retry_after_s, components.gate.find_retry_after_s(names, nodes)
        )
    return Refusal(503, job.last_reason, retry_after_s)


async def take_permit(components: GatewayComponents, job: Job, instance: str) -> bool:
    """Take a permit for the next send; return ``False`` if none is available."""
    job.permit = await components.gate.take_permit(instance)
    return job.permit is not None


async def send_attempt(
    components: GatewayComponents, job: Job, instance: FleetInstance, plan: SendPlan
) -> Attempt:
    """Send a request to an instance and wait for the response headers."""
    sent_at = components.clock()
    attempt = await _send(components, job, instance, plan)
    if attempt.result is not Result.NOT_RUN:
        job.may_have_run.add(instance.name)
    if attempt.result is not Result.ANSWERED:
        job.last_reason = attempt.reason
        log.emit(
            events.ATTEMPT_FAILED,
            request=job.fields.request,
            instance=instance.name,
            outcome=attempt.result.value,
            reason=attempt.reason,
            sent_s=round(components.clock() - sent_at, 4),
        )
    return attempt


async def _send(
    components: GatewayComponents, job: Job, instance: FleetInstance, plan: SendPlan
) -> Attempt:
    if job.reply.has_client_left():
        return Attempt(Result.NOT_RUN, CLIENT_LEFT, withheld=True)
    pool = components.pool
    limit = find_max_connections(job.service, components.session.count_nodes())
    try:
        connection = await pool.acquire(
            instance.address,
            instance=instance.name,
            fresh=plan.new_connection,
            limit=limit,
        )
    except NoConnectionError as error:
        lost = components.paths.is_cut_off
        return Attempt(Result.NOT_RUN, str(error), path_lost=lost)
    left_s = job.deadline_at - components.clock()
    # Connecting takes up to a second, in which the client or the instance may have left
    # or the process may have been suspended, so the conditions are checked again.
    if job.reply.has_client_left():
        pool.discard(connection)
        return Attempt(Result.NOT_RUN, CLIENT_LEFT, withheld=True)
    if left_s <= 0 or not components.session.is_fresh():
        pool.discard(connection)
        return Attempt(
            Result.NOT_RUN, 'the deadline passed or the configuration is unconfirmed'
        )
    if comes_too_late(components, job):
        pool.discard(connection)
        return Attempt(Result.NOT_RUN, job.last_reason, withheld=True)
    if stops_too_soon(components, job):
        pool.discard(connection)
        return Attempt(Result.NOT_RUN, NODE_STOPS, withheld=True)
    # Every send passes this check, so no instance gets a request that bypasses it.
    withheld = components.gate.withhold(instance.name, plan.permit)
    if withheld is not None:
        pool.discard(connection)
        return Attempt(Result.NOT_RUN, withheld.value, withheld=True)
    if components.crash_detector.is_refused(job):
        pool.discard(connection)
        reason = 'instances end while running this request'
        return Attempt(Result.NOT_RUN, reason, withheld=True)
    trial = components.gate.backoffs.begin_trial(instance.name)
    attempt = Attempt(Result.UNKNOWN, 'cancelled')
    try:
        attempt = await _exchange(components, job, instance, plan, connection)
    finally:
        if trial is not None:
            served = attempt.result is Result.ANSWERED
            components.gate.backoffs.end_trial(trial, served)
    return attempt


async def _exchange(
    components: GatewayComponents,
    job: Job,
    instance: FleetInstance,
    plan: SendPlan,
    connection: Connection,
) -> Attempt:
    fields = ForwardFields(
        instance.name,
        job.deadline_at - components.clock(),
        job.customer.name if job.customer else '',
        plan.last_event,
        plan.priority,
    )
    headers = build_target_headers(job.incoming.headers, fields)
    sent_at = components.clock()
    job.note_sent(instance.name, sent_at, instance.software)
    try:
        attempt = await _receive(components, job, instance, plan, connection, headers)
    except BaseException:
        job.may_have_run.add(instance.name)
        raise
    return replace(attempt, sent_at=sent_at)


async def _receive(
    components: GatewayComponents,
    job: Job,
    instance: FleetInstance,
    plan: SendPlan,
    connection: Connection,
    headers: Headers,
) -> Attempt:
    incoming = job.incoming
    pending = components.answer_times.begin(instance.name)
    try:
        with anyio.fail_after(plan.headers_timeout_s):
            answer = await components.pool.exchange(
                connection, incoming.method, incoming.target, headers, incoming.body
            )
        components.answer_times.note_answer(pending)
    except ExchangeError as error:
        return Attempt(Result.UNKNOWN, str(error), interrupted=True)
    except TimeoutError:
        return Attempt(Result.UNKNOWN, 'no answer in time')
    finally:
        components.answer_times.end(pending)
    marks = read_response_metadata(answer.status, answer.headers)
    if marks.request != job.fields.request:
        answer.connection.close()
        answer.release()
        return Attempt(Result.UNKNOWN, 'the response has the id of another request')
    job.framing = answer.framing
    components.notices.take(instance.name, instance.born, marks)
    if marks.not_executed:
        await _drop_rejection(answer)
        reason = f'rejected with {answer.status}'
        return Attempt(Result.NOT_RUN, reason, None, marks, marks.misdirected)
    return Attempt(Result.ANSWERED, '', answer, marks)


async def _drop_rejection(answer: Response) -> None:
    """Read the rest of a rejection so that its connection can be reused."""
    try:
        with anyio.move_on_after(0.2):
            await answer.read_whole(MAX_REJECTION_BYTES)
    except ExchangeError:
        # The rejection remains valid; release() closes the connection.
        pass
    finally:
        answer.release()
