"""Streaming responses from groups, resumed at another group if one fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.gateway.admission import Denial, Denied, Terms
from coursepitch.gateway.attempts import (
    NOT_EXECUTED_STATUSES,
    Retry,
    SendPlan,
    is_isolated,
    obtain_retry,
    refuse_unexecuted,
    send_attempt,
    take_permit,
)
from coursepitch.gateway.job import Ending, Refusal
from coursepitch.gateway.response_ends import check_events, check_sender
from coursepitch.gateway.suspicion import explain_crashes
from coursepitch.gateway.watchdog import Stall
from coursepitch.gateway.work import estimate_tokens, find_max_in_flight
from coursepitch.http.client import ExchangeError
from coursepitch.http.event_splitter import EventSplitter
from coursepitch.platform.headers import forward_response_headers
from coursepitch.scheduling.capacity import TokensInFlight

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from coursepitch.fleet.view import OpenGroup
    from coursepitch.gateway.components import GatewayComponents
    from coursepitch.gateway.job import Job
    from coursepitch.gateway.watchdog import Watchdog
    from coursepitch.http.client import Response

__all__ = ['StreamServer']

#: Share of the latency objective for which a request waits for a group.  Source: a
#: refusal after a quarter of the objective costs as much as a failure.
WAIT_OBJECTIVE_SHARE = 0.2

#: Seconds for which an interrupted stream waits for a group to resume at.  Source:
#: clients abandon a stream that stalls for two seconds or more.
RESUME_WAIT_S = 4.0

#: Seconds for which a client's retry after a refusal waits for a group: a late
#: response is better than a second refusal.
CLIENT_RETRY_WAIT_S = 1.5

#: Shortest Retry-After in seconds: the usual time in which a group forms again.
MIN_RETRY_AFTER_S = 0.7

#: Interval in seconds of checks whether an overdue attempt may be abandoned.
OVERDUE_CHECK_INTERVAL_S = 0.1

#: Requests in flight per slot up to which a group accepts a resumed stream.
RESUMED_REQUESTS_PER_SLOT = 3

#: Groups that are examined for room in their key-value caches for one request.
MAX_EXAMINED_GROUPS = 4

#: Largest body in bytes of an error response.
MAX_ERROR_BYTES = 1_048_576

#: Most sends of one request, including rejected ones, whatever the route allows.
MAX_SENDS = 5


#: Reasons for clients whose requests the queue denied.
DENIAL_REASONS = {
    Denial.LATE: 'no group is expected to have room in time',
    Denial.EVICTED: 'other requests go first and the queue is full',
    Denial.FULL: 'the queue of waiting requests is full',
    Denial.REMOVED: 'the service is unknown',
}


class StalledError(ExchangeError):
    """The stream stalled although its connection is open."""


class StreamServer:
    """Serve streaming routes whose service runs models in groups."""

    def __init__(self, components: GatewayComponents, watchdog: Watchdog) -> None:
        self._components = components
        self._watchdog = watchdog
        self._tokens = TokensInFlight()

    async def serve(self, job: Job) -> Refusal | None:
        """Serve a request; return the refusal to send if no response has started."""
        splitter = EventSplitter(job.fields.last_event)
        tried: set[str] = set()
        while True:
            if not job.reply.started and is_isolated(self._components, job):
                return self._give_up(job)
            group = await self._wait_for_group(job, tried)
            if group is None:
                return self._give_up(job)
            # The request may have waited since it was admitted.
            if self._components.crash_detector.is_refused(job):
                return self._give_up(job)
            if job.sent:
                retry = await obtain_retry(self._components, job)
                if retry is Retry.LATER:
                    continue
                if retry is Retry.DENIED:
                    return self._give_up(job)
            if await self._run_once(job, group, splitter):
                return None
            await self._components.crash_detector.check_crash(job)
            if self._components.crash_detector.forbids_retry(job):
                return self._give_up(job)
            tried.add(group.head.name)
            if job.reply.started or job.may_have_run:
                if not job.route.repeatable or not self._may_run_again(job):
                    return self._give_up(job)
            elif len(job.sent) >= MAX_SENDS:
                return self._give_up(job)

    def _may_run_again(self, job: Job) -> bool:
        """Whether the route allows another run.

        Runs count unless their instance has gone.  A run whose group lost a member
        counts too, as its head is still alive: without counting such runs, 13 streams
        in a day ran on three instances instead of the two allowed (a head that answered
        with errors, then a group that lost a member).
        """
        present = self._components.session.view.instances
        standing = sum(name in present for name in job.may_have_run)
        return standing < job.route.attempts and len(job.sent) < MAX_SENDS

    def _give_up(self, job: Job) -> Refusal | None:
        """Abort a started response, or return the refusal of the request."""
        if job.reply.started:
            job.reply.abort()
            job.ending = Ending.CUT
            return None
        left_s = job.deadline_at - self._components.clock()
        if job.may_have_run:
            status = 504 if left_s <= 0 else 502
            return Refusal(status, job.last_reason, problem=explain_crashes(job))
        job.last_reason = (
            job.last_reason or 'the deadline passed or the configuration is unconfirmed'
        )
        return self._components.suspicion.find_late_refusal(job) or refuse_unexecuted(
            self._components, job, self._list_heads, MIN_RETRY_AFTER_S
        )

    async def _wait_for_group(self, job: Job, tried: set[str]) -> OpenGroup | None:
        """Return a group to send to, or ``None`` if waiting for one is futile."""
        now = self._components.clock()
        if job.reply.started:
            until = now + RESUME_WAIT_S
        elif job.is_client_retry:
            until = now + CLIENT_RETRY_WAIT_S
        else:
            until = job.arrived_at + job.route.objective_s * WAIT_OBJECTIVE_SHARE
        until = min(until, job.deadline_at)
        max_in_flight = self._find_max_in_flight(job)

        def find(
            select: Callable[[Job, Collection[str], int], OpenGroup | None],
        ) -> tuple[str, OpenGroup] | None:
            group = select(job, tried, max_in_flight)
            if group is None and job.reply.started:
                group = select(job, (), max_in_flight)
            return None if group is None else (group.head.name, group)

        terms = Terms(
            until,
            lambda: self._list_heads(job),
            MIN_RETRY_AFTER_S,
            # A stream that has begun may return to groups that it tried.
            (max_in_flight, frozenset(() if job.reply.started else tried)),
        )
        while True:
            found = await self._components.admission.acquire(
                job,
                terms,
                lambda: find(self._choose_group_with_room),
                # The tokens at a group are an estimate, and its engine queues requests.
                lambda: find(self._choose_group),
            )
            if isinstance(found, Denied):
                self._note_denied(job, found)
                return None
            if await take_permit(self._components, job, found.head.name):
                return found

    def _choose_group_with_room(
        self, job: Job, tried: Collection[str], max_in_flight: int
    ) -> OpenGroup | None:
        """Return a group whose slots and key-value cache have room, or ``None``."""
        excluded = tried
        for _ in range(MAX_EXAMINED_GROUPS):
            group = self._choose_group(job, excluded, max_in_flight)
            if group is None or self._has_token_room(job, group.head.name):
                return group
            excluded = {*excluded, group.head.name}
        return None

    def _has_token_room(self, job: Job, head: str) -> bool:
        engine = job.service.engine
        if engine is None:
            return True
        # Peers report the number of their requests and not their tokens.
        peers = max(0, self._components.load_tracker.count_other_nodes(head))
        peer_tokens = peers * (engine.usual_prompt + engine.usual_answer)
        tokens = estimate_tokens(engine, job.fields)
        return self._tokens.has_room(head, tokens, peer_tokens, engine.kv_tokens)

    def _choose_group(
        self, job: Job, tried: Collection[str], max_in_flight: int
    ) -> OpenGroup | None:
        """Return the group to send a request to, or ``None`` if none has room."""
        return self._components.router.choose_group(
            job.service, job.fields.model, tried, max_in_flight
        )

    def _note_denied(self, job: Job, denied: Denied) -> None:
        job.retry_after_s = denied.retry_after_s
        if denied.denial is not Denial.UNCONFIRMED and not job.last_reason:
            reason = DENIAL_REASONS.get(denied.denial)
            job.last_reason = reason or self._explain_no_group(job)

    def _list_heads(self, job: Job) -> list[str]:
        view = self._components.session.view
        groups = view.list_open(job.service.name, job.fields.model)
        names = [group.head.name for group in groups]
        return view.drop_evacuated(job.service.name, names)

    def _explain_no_group(self, job: Job) -> str:
        """Return why no group accepts the request."""
        heads = self._list_heads(job)
        if self._components.gate.are_closed(heads):
            return self._components.gate.explain_closed(heads)
        if heads:
            return 'all groups are full or were tried'
        return 'no group is open'

    def _find_max_in_flight(self, job: Job) -> int:
        """Return the requests in flight at which a group counts as full."""
        engine = job.service.engine
        model = engine.find_model(job.fields.model) if engine else None
        if engine is None or model is None:
            return 0
        if job.reply.started or job.may_have_run:
            return engine.slots * RESUMED_REQUESTS_PER_SLOT
        return find_max_in_flight(engine, model, job.route.objective_s)

    async def _run_once(
        self, job: Job, group: OpenGroup, splitter: EventSplitter
    ) -> bool:
        """Send a request to a group; return whether the client got a whole response."""
        head = group.head
        table = self._components.session.view.table
        choices = self._components.session.view.list_open(
            job.service.name, job.fields.model
        )
        log.emit(
            events.REQUEST_SENT,
            request=job.fields.request,
            instance=head.name,
            group=f'{group.claim.name}/{group.claim.epoch}',
            load=self._components.load_tracker.count_in_flight(head.name),
            choices=len(choices),
            attempt=len(job.sent) + 1,
            last_event=splitter.last_event.decode('latin-1'),
            table=table.version if table else 0,
            age=round(self._components.session.confirmation_age_s, 3),
            heard=self._components.session.view.received_revision,
        )
        engine = job.service.engine
        tokens = estimate_tokens(engine, job.fields) if engine else 0
        self._components.load_tracker.begin(head.name)
        self._tokens.begin(head.name, tokens)
        try:
            attempt = await self._attempt(job, group, splitter)
            if attempt is None:
                return False
            try:
                return await self._forward(job, group, attempt, splitter)
            finally:
                attempt.release()
        finally:
            self._components.load_tracker.end(head.name)
            self._tokens.end(head.name, tokens)
            completed = job.ending is Ending.ANSWERED
            self._components.admission.note_end(job, completed=completed)

    async def _attempt(
        self, job: Job, group: OpenGroup, splitter: EventSplitter
    ) -> Response | None:
        """Send a request to the head of a group; return the response to forward."""
        head = group.head
        sent_at = self._components.clock()
        stalled = anyio.Event()
        answers: list[Response] = []
        plan = SendPlan(
            headers_timeout_s=max(0.001, job.deadline_at - self._components.clock()),
            last_event=splitter.last_event,
            priority=job.priority,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_unresponsive, job, group, stalled, tasks)
            tasks.start_soon(self._cancel_when_overdue, job, group, stalled, tasks)
            attempt = await send_attempt(self._components, job, head, plan)
            if attempt.answer is not None:
                answers.append(attempt.answer)
                self._components.load_tracker.note_response_start(head.name, sent_at)
            tasks.cancel_scope.cancel()
        if stalled.is_set() and not answers:
            job.may_have_run.add(head.name)
            job.last_reason = 'no response from the group, or none to this request'
            if not self._components.paths.is_cut_off:
                self._components.load_tracker.note_failure(head.name)
            return None
        if not answers:
            if attempt.misplaced:
                self._components.load_tracker.note_outdated(head)
            if attempt.blames_instance:
                self._components.load_tracker.note_failure(head.name)
            return None
        return answers[0]

    async def _cancel_when_unresponsive(
        self,
        job: Job,
        group: OpenGroup,
        stalled: anyio.Event,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Cancel an attempt when a member of its group stops responding."""
        sent_at = self._components.clock()
        stall = await self._watchdog.wait_until_unresponsive(group, sent_at)
        self._log_stall(job, group, stall, sent_at)
        stalled.set()
        tasks.cancel_scope.cancel()

    async def _cancel_when_overdue(
        self,
        job: Job,
        group: OpenGroup,
        stalled: anyio.Event,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Cancel an attempt whose response is overdue if another group can serve it."""
        sent_at = self._components.clock()
        await anyio.sleep(
            self._watchdog.reply_times.find_overdue_limit_s(job.fields.model)
        )
        while not self._may_reroute(job, group, sent_at):
            await anyio.sleep(OVERDUE_CHECK_INTERVAL_S)
        self._log_overdue(job, group)
        self._log_stall(job, group, Stall.OVERDUE, sent_at)
        stalled.set()
        tasks.cancel_scope.cancel()

    def _may_reroute(self, job: Job, group: OpenGroup, sent_at: float) -> bool:
        """Whether a request that is stalled at a group may be sent to another.

        A request that may still be queued at its group stays there.
        """
        engine = job.service.engine
        head = group.head.name
        runs = job.may_have_run | {head}
        if engine is None or not job.route.repeatable:
            return False
        if len(runs) >= job.route.attempts or len(job.sent) >= MAX_SENDS:
            return False
        tracker = self._components.load_tracker
        if tracker.count_in_flight(head) > engine.slots and not tracker.was_overtaken(
            head, sent_at
        ):
            return False
        tried = {head, *job.sent}
        return self._choose_group(job, tried, engine.slots) is not None

    def _log_overdue(self, job: Job, group: OpenGroup) -> None:
        log.emit(
            events.REQUEST_OVERDUE,
            request=job.fields.request,
            instance=group.head.name,
            load=self._components.load_tracker.count_in_flight(group.head.name),
            begun=job.reply.started,
        )

    def _log_stall(
        self, job: Job, group: OpenGroup, stall: Stall, since: float
    ) -> None:
        """Log that a run is suspected of having failed.

        :param since: monotonic time at which it last progressed.
        """
        now = self._components.clock()
        log.emit(
            events.RUN_STALLED,
            request=job.fields.request,
            instance=group.head.name,
            reason=stall.value,
            silent_s=round(now - since, 3),
            begun=job.reply.started,
            runs=len(job.may_have_run | {group.head.name}),
            allowed=job.route.attempts if job.route.repeatable else 1,
            left_s=round(job.deadline_at - now, 3),
        )

    async def _forward(
        self,
        job: Job,
        group: OpenGroup,
        answer: Response,
        splitter: EventSplitter,
    ) -> bool:
        """Forward a response; return whether it is complete."""
        if answer.status != 200:
            return await self._forward_error(job, group, answer)
        if not job.reply.started:
            job.status = answer.status
            await job.reply.start(
                answer.status, forward_response_headers(answer.headers)
            )
        splitter.start_run()
        try:
            while True:
                data = await self._read_chunk(job, group, answer)
                if data is None:
                    break
                whole = splitter.feed(data)
                if whole:
                    job.note_event(self._components.clock())
                    await job.reply.send(whole)
            check_events(job, answer, group.head, splitter)
            await check_sender(self._components.crash_detector, job, answer, group.head)
        except ExchangeError as error:
            if not isinstance(error, StalledError):
                job.interrupted_by = group.head
            self._record_interruption(job, group, splitter, str(error))
            return False
        rest = splitter.flush()
        if rest:
            await job.reply.send(rest)
        await job.reply.end()
        job.ending = Ending.ANSWERED
        self._components.load_tracker.note_success(group.head.name)
        if len(job.sent) == 1 and job.first_event_at is not None:
            first_s = job.first_event_at - job.last_sent_at
            self._watchdog.reply_times.note(job.fields.model, first_s, job.pause_s)
        return True

    async def _forward_error(
        self, job: Job, group: OpenGroup, answer: Response
    ) -> bool:
        """Forward an error response unless the request can be retried."""
        self._components.load_tracker.note_failure(group.head.name)
        body = await self._read_error_body(job, group, answer)
        may_retry = (
            job.route.repeatable and self._may_run_again(job) and answer.status >= 500
        )
        # The status claims that the request was not executed, which is unknown.
        claims_not_executed = answer.status in NOT_EXECUTED_STATUSES
        if body is None or job.reply.started or may_retry or claims_not_executed:
            job.last_reason = f'answered with {answer.status}'
            return False
        job.status, job.ending = answer.status, Ending.ANSWERED
        headers = forward_response_headers(answer.headers)
        await job.reply.send_whole(answer.status, headers, body)
        return True

    async def _read_error_body(
        self, job: Job, group: OpenGroup, answer: Response
    ) -> bytes | None:
        """Return the body of an error response, or ``None`` if it is incomplete."""
        try:
            with anyio.fail_after(1.0):
                body = await answer.read_whole(MAX_ERROR_BYTES)
                detector = self._components.crash_detector
                await check_sender(detector, job, answer, group.head)
                return body
        except TimeoutError:
            return None
        except ExchangeError:
            job.interrupted_by = group.head
            return None

    async def _read_chunk(
        self, job: Job, group: OpenGroup, answer: Response
    ) -> bytes | None:
        """Return the next bytes of a stream, or ``None`` at its end.

        :raises ExchangeError: the connection was lost.
        :raises StalledError: a member of the group does not respond, or only this
            stream is stalled and can be resumed at another group.
        """
        began = since = self._components.clock()
        head = group.head.name
        times, model = self._watchdog.reply_times, job.fields.model
        while True:
            left_s = self._watchdog.find_quiet_left_s(
                head, since, times.find_quiet_limit_s(model)
            )
            if left_s > 0:
                try:
                    data = await answer.read_chunk(left_s)
                except TimeoutError:
                    continue
                self._watchdog.note_activity(head)
                return data
            stall = await self._watchdog.find_stall(group, since)
            if stall is not None:
                self._log_stall(job, group, stall, began)
                raise StalledError('a member of the group does not answer')
            if self._is_overdue(job, began) and self._may_reroute(job, group, began):
                self._log_overdue(job, group)
                self._log_stall(job, group, Stall.OVERDUE, began)
                raise StalledError('the stream stalled')
            since = self._components.clock()

    def _is_overdue(self, job: Job, began: float) -> bool:
        """Whether a stream has stalled long enough to be resumed at another group."""
        limit_s = self._watchdog.reply_times.find_overdue_limit_s(job.fields.model)
        return self._components.clock() - began >= limit_s

    def _record_interruption(
        self, job: Job, group: OpenGroup, splitter: EventSplitter, reason: str
    ) -> None:
        job.last_reason = reason
        if not self._components.paths.is_cut_off:
            self._components.load_tracker.note_failure(group.head.name)
        log.emit(
            events.REQUEST_RESUMED,
            request=job.fields.request,
            offset=splitter.last_event.decode('latin-1'),
            instance=group.head.name,
            reason=reason,
        )
