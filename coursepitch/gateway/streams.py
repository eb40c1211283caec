"""Streaming responses from groups, resumed at another group if one fails."""

from __future__ import annotations

import contextlib
from functools import partial
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.pause_detector import (
    TimeoutFilter,
    has_passed_late,
    sleep_running,
)
from coursepitch.gateway.admission import Denial, Denied, Terms
from coursepitch.gateway.attempts import (
    DROPPED_BODY_TIMEOUT_S,
    MAX_BODY_BYTES,
    MAX_ERROR_BYTES,
    NOT_EXECUTED_STATUSES,
    Retry,
    SendPlan,
    comes_too_late,
    find_latest_start,
    is_futile,
    is_isolated,
    limit_after_first_byte,
    obtain_retry,
    refuse_unexecuted,
    send_attempt,
    stops_too_soon,
    take_permit,
)
from coursepitch.gateway.job import Ending, ErrorResponse, Refusal
from coursepitch.gateway.plain_streams import MAX_COMMENT_BYTES
from coursepitch.gateway.response_ends import check_events, check_sender, has_events
from coursepitch.gateway.runs import Progress, Run, RunRace, RunSet
from coursepitch.gateway.suspicion import explain_crashes
from coursepitch.gateway.watchdog import RECHECK_S, Stall
from coursepitch.gateway.work import estimate_tokens, find_max_in_flight
from coursepitch.http.client import ExchangeError, Framing
from coursepitch.http.event_splitter import MAX_EVENT_BYTES, EventSplitter
from coursepitch.http.memory import UNCOUNTED_BYTES
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

#: Interval in seconds of checks whether an overdue run may be tried elsewhere.
OVERDUE_CHECK_INTERVAL_S = 0.1

#: Seconds until another run is tried again for a stalled request, which route, retry
#: budget or groups have not allowed.
FIND_INTERVAL_S = 0.1

#: Requests in flight per slot up to which a group accepts a resumed stream.
RESUMED_REQUESTS_PER_SLOT = 3

#: Groups that are examined for room in their key-value caches for one request.
MAX_EXAMINED_GROUPS = 4

#: Largest body in bytes that is no stream of events and whose length is not known.
#: Source: as for what is received of an event, only its end tells that it has one.
MAX_UNSIZED_BODY_BYTES = MAX_EVENT_BYTES

#: Most sends of one request, including rejected ones, whatever the route allows.
MAX_SENDS = 5


#: Reasons for clients whose requests the queue denied.
DENIAL_REASONS = {
    Denial.LATE: 'no group is expected to have room in time',
    Denial.EVICTED: 'other requests go first and the queue is full',
    Denial.FULL: 'the queue of waiting requests is full',
    Denial.REMOVED: 'the service is unknown',
}


class StreamServer:
    """Serve streaming routes whose service runs models in groups."""

    def __init__(self, components: GatewayComponents, watchdog: Watchdog) -> None:
        self._components = components
        self._watchdog = watchdog
        self._tokens = TokensInFlight()

    async def serve(self, job: Job) -> Refusal | None:
        """Serve a request; return the refusal to send if no response has started."""
        runs: RunSet[Run] = RunSet(job.fields.last_event)
        tried: set[str] = set()
        try:
            return await self._serve(job, runs, tried)
        finally:
            for run in runs.live:
                self._end_run(job, run)

    async def _serve(
        self, job: Job, runs: RunSet[Run], tried: set[str]
    ) -> Refusal | None:
        while True:
            if stops_too_soon(self._components, job):
                return self._give_up(job)
            if comes_too_late(self._components, job):
                return self._give_up(job)
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
            runs.add(self._begin_run(job, group, runs.last_event))
            if await self._serve_runs(job, runs, tried):
                return None
            if self._components.crash_detector.forbids_retry(job):
                return self._give_up(job)
            if job.reply.started or job.may_have_run:
                if not job.route.repeatable or not self._may_run_again(job):
                    return self._give_up(job)
            elif len(job.sent) >= MAX_SENDS:
                return self._give_up(job)

    async def _serve_runs(self, job: Job, runs: RunSet[Run], tried: set[str]) -> bool:
        """Forward what the runs of a request deliver until they have ended.

        :return: whether the client got a whole response.
        """

        async def advance(run: Run) -> bool:
            with anyio.CancelScope() as run.scope:
                if await self._advance(job, runs, run):
                    return True
            if run.scope.cancelled_caught:
                await self._note_interruption(job, run, 'the instance has ended')
            tried.add(run.head)
            self._end_run(job, run)
            return False

        async def watch(run: Run) -> None:
            await self._wait_until_stalled(job, run, runs)

        async def find_other() -> Run:
            return await self._find_other(job, runs, tried)

        def defer(run: Run, start: Callable[[], object]) -> Callable[[], None]:
            run.waits_since = self._components.clock()
            return self._components.late_starts.add(
                self._watchdog.reply_times.find_first_quiet_limit_s(job.fields.model),
                start,
                partial(self._watchdog.is_lost, run.group),
            )

        while True:
            run = await RunRace(runs, advance, watch, find_other, defer).wait()
            if run is None:
                return False
            for other in runs.choose(run):
                tried.add(other.head)
                self._drop_run(job, other)
            job.switch_run(run)
            progress = await self._deliver(job, runs, run)
            if progress is Progress.WHOLE:
                return True
            if progress is Progress.FAILED:
                tried.add(run.head)
                runs.remove(run)
                self._end_run(job, run)
                return False

    # -- runs -------------------------------------------------------------------------

    def _begin_run(self, job: Job, group: OpenGroup, last_event: bytes) -> Run:
        """Return a new run at a group, which counts as in flight from now on."""
        head = group.head
        permit, job.permit = job.permit, None
        engine = job.service.engine
        tokens = estimate_tokens(engine, job.fields) if engine else 0
        session = self._components.session
        table = session.view.table
        log.emit(
            events.REQUEST_SENT,
            request=job.fields.request,
            instance=head.name,
            group=f'{group.claim.name}/{group.claim.epoch}',
            load=self._components.load_tracker.count_in_flight(head.name),
            choices=len(session.view.list_open(job.service.name, job.fields.model)),
            attempt=len(job.sent) + 1,
            last_event=last_event.decode('latin-1'),
            table=table.version if table else 0,
            age=round(session.confirmation_age_s, 3),
            heard=session.view.received_revision,
        )
        self._components.load_tracker.begin(head.name)
        self._tokens.begin(head.name, tokens)
        return Run(group, EventSplitter(last_event), permit, tokens)

    def _end_run(self, job: Job, run: Run) -> None:
        """Release what a run holds, once."""
        if run.ended:
            return
        run.ended = True
        if run.response is not None:
            run.response.release()
        run.parts = None if run.parts is None else []
        self._count_buffered(run, 0)
        self._components.load_tracker.end(run.head)
        self._tokens.end(run.head, run.tokens)
        completed = job.ending is Ending.ANSWERED
        self._components.admission.note_end(job, completed=completed)

    def _count_buffered(self, run: Run, size: int) -> None:
        """Count what is buffered of a response until it can be forwarded.

        :param size: its bytes; most events are too small to be counted.
        :raises ExchangeError: all that is buffered is too much, and it has its share.
        """
        size = size if size > UNCOUNTED_BYTES else 0
        if run.response is not None and size != run.counted_bytes:
            run.counted_bytes = size
            run.response.pool.note_buffered(run.response, size)

    def _drop_run(self, job: Job, run: Run) -> None:
        """End a run because another one delivers the response."""
        if run.ended:
            return
        if run.suspected and not self._components.paths.is_cut_off:
            self._components.load_tracker.note_failure(run.head)
        log.emit(
            events.RUN_DROPPED,
            request=job.fields.request,
            instance=run.head,
            suspected=run.suspected,
        )
        if run.began_at is not None:
            self._log_resumed(job, run, 'another run made progress first')
        self._end_run(job, run)

    def _log_resumed(self, job: Job, run: Run, reason: str) -> None:
        """Log that a stream goes on at another run than before."""
        log.emit(
            events.REQUEST_RESUMED,
            request=job.fields.request,
            offset=run.splitter.last_event.decode('latin-1'),
            instance=run.head,
            reason=reason,
        )

    async def _find_other(self, job: Job, runs: RunSet[Run], tried: set[str]) -> Run:
        """Return another run once route, budget and groups allow one."""
        session, budget = self._components.session, self._components.budget
        granted = denied = False
        looked_at = self._components.clock()
        while True:
            looked_at = self._fail_ended(job, runs, looked_at)
            # Asking takes a permit for the group and may ask peers to lend a retry, so
            # it is not repeated while the budget has no room.
            if (
                self._may_add_run(job, runs)
                and (
                    not denied
                    or budget.has_room(job.service.name, session.find_share())
                )
                and not (
                    # The groups are only checked anew once there is one to try.
                    any(run.answering_since is not None for run in runs.live)
                    and await self._may_go_on(job, runs)
                )
            ):
                group = await self._wait_for_group(job, tried | runs.heads, runs.heads)
                if (
                    group is not None
                    and not await self._may_go_on(job, runs)
                    and self._may_add_run(job, runs)
                ):
                    if not granted:
                        reason = job.last_reason
                        retry = await obtain_retry(self._components, job)
                        granted, denied = retry is Retry.TAKEN, retry is Retry.DENIED
                        # The request goes on, so a denial is not why it ends.
                        job.last_reason = reason
                    if granted and self._may_add_run(job, runs):
                        return self._begin_run(job, group, runs.last_event)
            await session.wait_changed(FIND_INTERVAL_S)

    def _fail_ended(self, job: Job, runs: RunSet[Run], looked_at: float) -> float:
        """Fail the suspected runs whose groups are known to have an ended member.

        :param looked_at: monotonic time of the last look.
        :return: the time of this look.
        """
        now = self._components.clock()
        has_paused = has_passed_late(FIND_INTERVAL_S, now - looked_at)
        for run in runs.live:
            if run.interrupted or run.head not in job.sent:
                continue
            ended = self._watchdog.has_ended_member(run.group)
            run.proof.note(now, ended=ended, has_paused=has_paused)
            # Bytes that arrived in a pause of this process are yet to be read.
            if run.proof.is_final(now, run.arrivals) and run.scope is not None:
                run.scope.cancel()
        return now

    async def _may_go_on(self, job: Job, runs: RunSet[Run]) -> bool:
        """Whether a run is likely to go on, as its silent group answers again.

        It is overdue if it makes no progress for long after that.
        """
        clock, times = self._components.clock, self._watchdog.reply_times
        limit_s = times.find_overdue_limit_s(job.fields.model)
        for run in tuple(runs.live):
            if (
                run.stall is None
                or not run.stall.is_silence
                or clock() - run.stalled_at < RECHECK_S
            ):
                continue
            if not await self._watchdog.answers_again(run.group):
                run.answering_since = None
                continue
            if run.answering_since is None:
                run.answering_since = clock()
            if clock() - run.answering_since < limit_s:
                return True
        return False

    def _may_add_run(self, job: Job, runs: RunSet[Run]) -> bool:
        """Whether another run may begin beside the live ones."""
        detector = self._components.crash_detector
        return (
            job.route.repeatable
            and self._may_run_again(job, runs.heads)
            and not runs.is_examining()
            and not is_futile(self._components, job)
            and not detector.forbids_retry(job)
            and not detector.is_refused(job)
        )

    def _may_run_again(self, job: Job, live: Collection[str] = ()) -> bool:
        """Whether the route allows another run.

        Runs count unless their instance has gone: it has no entry, and was not found
        to run on when it broke off.  A run whose group lost a member counts too, as
        its head is still alive: without counting such runs, 13 streams in a day ran on
        three instances instead of the two allowed (a head that answered with errors,
        then a group that lost a member).

        :param live: instances of the runs that have not ended.
        """
        present = self._components.session.view.instances
        standing = sum(
            name in present or name in job.unlisted
            for name in job.may_have_run.union(live)
        )
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

    async def _wait_for_group(
        self, job: Job, tried: set[str], live: frozenset[str] = frozenset()
    ) -> OpenGroup | None:
        """Return a group to send to, or ``None`` if waiting for one is futile.

        :param live: heads at which the request has a run, which get no other one.
        """
        now = self._components.clock()
        if job.reply.started or live:
            until = now + RESUME_WAIT_S
        elif job.is_client_retry:
            until = now + CLIENT_RETRY_WAIT_S
        else:
            until = job.arrived_at + job.route.objective_s * WAIT_OBJECTIVE_SHARE
        until = min(until, job.deadline_at)
        if not (job.may_have_run or live):
            until = min(until, find_latest_start(self._components, job))
        max_in_flight = self._find_max_in_flight(job, live)
        # A stream that has begun may return to groups that it tried.
        may_return = job.reply.started and not live

        def find(
            select: Callable[..., OpenGroup | None],
        ) -> tuple[str, OpenGroup] | None:
            # Another run beside a silent one is of no use at a group that may be
            # silent as well.
            choose = partial(select, job, with_suspected=not live)
            group = choose(tried, max_in_flight)
            if group is None and may_return:
                group = choose((), max_in_flight)
            return None if group is None else (group.head.name, group)

        terms = Terms(
            until,
            lambda: self._list_heads(job),
            MIN_RETRY_AFTER_S,
            (max_in_flight, frozenset(() if may_return else tried), bool(live)),
            refuse_late=not live,
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
        self,
        job: Job,
        tried: Collection[str],
        max_in_flight: int,
        *,
        with_suspected: bool,
    ) -> OpenGroup | None:
        """Return a group whose slots and key-value cache have room, or ``None``."""
        excluded = tried
        for _ in range(MAX_EXAMINED_GROUPS):
            group = self._choose_group(
                job, excluded, max_in_flight, with_suspected=with_suspected
            )
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
        self,
        job: Job,
        tried: Collection[str],
        max_in_flight: int,
        *,
        with_suspected: bool,
    ) -> OpenGroup | None:
        """Return the group to send a request to, or ``None`` if none has room."""
        return self._components.router.choose_group(
            job.service,
            job.fields.model,
            tried,
            max_in_flight,
            with_suspected=with_suspected,
            has_failed=job.reply.started or bool(job.may_have_run),
        )

    def _note_denied(self, job: Job, denied: Denied) -> None:
        job.retry_after_s = denied.retry_after_s
        if denied.denial is not Denial.UNCONFIRMED and not job.last_reason:
            reason = DENIAL_REASONS.get(denied.denial)
            job.last_reason = reason or self._explain_no_group(job)

    def _list_heads(self, job: Job) -> list[str]:
        view = self._components.session.view
        key = (job.service.name, job.fields.model)
        groups = view.list_open(*key) or view.list_suspected(*key)
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

    def _find_max_in_flight(self, job: Job, live: Collection[str]) -> int:
        """Return the requests in flight at which a group counts as full.

        :param live: heads at which the request has a run.
        """
        engine = job.service.engine
        model = engine.find_model(job.fields.model) if engine else None
        if engine is None or model is None:
            return 0
        if job.reply.started or job.may_have_run or live:
            return engine.slots * RESUMED_REQUESTS_PER_SLOT
        return find_max_in_flight(engine, model, job.route.objective_s)

    # -- progress of a run ------------------------------------------------------------

    async def _advance(self, job: Job, runs: RunSet[Run], run: Run) -> bool:
        """Send a request unless it was sent, and read on to the next event or the end.

        :return: ``False`` if the run has failed.
        """
        if run.response is None and not await self._send(job, run):
            return False
        response = run.response
        if response is None:
            return False
        if response.status != 200:
            return await self._read_error(job, runs, run, response)
        try:
            if job.reply.started and run.parts is not None:
                raise ExchangeError('a stream cannot go on with another media type')
            while not run.has_progressed:
                data = await response.read_chunk()
                await self._take(job, run, data)
        except ExchangeError as error:
            await self._note_interruption(job, run, str(error))
            return False
        return True

    async def _send(self, job: Job, run: Run) -> bool:
        """Send a request to the head of a group; return whether it responds."""
        head = run.group.head
        began_at = self._components.clock()
        plan = SendPlan(
            headers_timeout_s=max(0.001, job.deadline_at - began_at),
            last_event=run.splitter.last_event if job.reply.started else b'',
            priority=job.priority,
            permit=run.permit,
        )
        attempt = await send_attempt(self._components, job, head, plan)
        run.sent_at = attempt.sent_at
        if attempt.answer is not None:
            run.response = attempt.answer
            run.parts = None if has_events(job, attempt.answer) else []
            if attempt.answer.framing is not Framing.LENGTH:
                run.splitter.max_comment_bytes = MAX_COMMENT_BYTES
            self._components.load_tracker.note_response_start(head.name, began_at)
            return True
        if attempt.misplaced:
            self._components.load_tracker.note_outdated(head)
        if attempt.blames_instance:
            self._components.load_tracker.note_failure(head.name)
        if attempt.interrupted:
            await self._check_crash(job, run)
        return False

    async def _take(self, job: Job, run: Run, data: bytes | None) -> None:
        """Take the next bytes of a response, or its end.

        Bytes show that the instance runs; only a whole event or the end is progress.

        :raises ExchangeError: it broke off, or can become no response.
        """
        now = self._components.clock()
        if data is not None:
            self._watchdog.note_activity(run.head)
            run.note_arrival(now)
            run.received += len(data)
            if run.parts is not None:
                self._check_body_size(run)
                run.parts.append(data)
                self._count_buffered(run, run.received)
                return
            events_before = run.splitter.count
            run.events += run.splitter.feed(data)
            self._count_buffered(run, run.splitter.buffered)
            if run.splitter.count > events_before:
                run.has_progressed, run.received = True, 0
            return
        response = run.response
        if response is None:
            return
        check_events(job, response, run.group.head, run.splitter)
        detector = self._components.crash_detector
        steady = run.arrivals.are_steady(now)
        await check_sender(
            detector,
            job,
            response,
            run.group.head,
            steady=steady,
        )
        self._watchdog.note_activity(run.head)
        run.events += run.splitter.flush()
        if run.parts is not None:
            run.events += b''.join(run.parts)
            run.parts = []
        self._count_buffered(run, 0)
        run.has_progressed = run.complete = True

    def _check_body_size(self, run: Run) -> None:
        """Check the size of a body that is no stream of events.

        :raises ExchangeError: it is above its bound.
        """
        limit = MAX_BODY_BYTES
        if run.response is None or run.response.framing is not Framing.LENGTH:
            limit = MAX_UNSIZED_BODY_BYTES
        if run.received > limit:
            raise ExchangeError(f'response body larger than {limit} bytes')

    async def _deliver(self, job: Job, runs: RunSet[Run], run: Run) -> Progress:
        """Forward the response of a run until it ends or is stalled."""
        response = run.response
        if response is None:
            return Progress.FAILED
        if response.status != 200:
            await self._forward_error(job, response, run.body or b'')
            return Progress.WHOLE
        if not job.reply.started:
            job.status = response.status
            headers = forward_response_headers(response.headers)
            await job.reply.start(response.status, headers)
        clock = self._components.clock
        run.progressed_at = clock()
        try:
            while True:
                has_progressed, whole = run.has_progressed, run.take_events()
                if whole:
                    runs.last_event = run.splitter.last_event
                    began_at = clock()
                    if has_progressed and not run.complete:
                        job.note_event(began_at)
                        run.began_at = job.run_began_at
                    await job.reply.send(whole)
                    # A client that takes its time is not for the run to answer for.
                    run.progressed_at += clock() - began_at
                    run.proof.postpone(clock() - began_at)
                if has_progressed:
                    run.progressed_at = clock()
                    run.proof.proven_at = None
                if run.complete:
                    break
                if not await self._read_in_time(job, runs, run, response):
                    return Progress.STALLED
        except ExchangeError as error:
            await self._note_interruption(job, run, str(error))
            return Progress.FAILED
        await job.reply.end()
        job.ending = Ending.ANSWERED
        self._components.load_tracker.note_success(run.head)
        if len(job.sent) == 1 and job.first_event_at is not None:
            first_s = job.first_event_at - job.last_sent_at
            self._watchdog.reply_times.note(job.fields.model, first_s, job.pause_s)
        return Progress.WHOLE

    async def _read_in_time(
        self, job: Job, runs: RunSet[Run], run: Run, response: Response
    ) -> bool:
        """Read a response until there is something to forward.

        A run that nothing can replace is never stalled.

        :return: ``False`` if it is stalled.
        :raises ExchangeError: it broke off, or its group can't go on.
        """
        clock = self._components.clock
        since = max(run.progressed_at, run.checked_at)
        times, model = self._watchdog.reply_times, job.fields.model
        timeouts = TimeoutFilter()
        is_noted = run.suspected
        has_paused = False
        while True:
            ended = self._watchdog.has_ended_member(run.group)
            run.proof.note(clock(), ended=ended, has_paused=has_paused)
            if run.proof.is_final(clock(), run.arrivals):
                raise ExchangeError('the instance has ended')
            has_paused = False
            quiet_limit_s = times.find_quiet_limit_s(model)
            left_s = self._watchdog.find_quiet_left_s(run.head, since, quiet_limit_s)
            if run.received and left_s > 0:
                # Its own bytes are no reason to wait longer than for a silent run.
                overdue_at = run.progressed_at + times.find_overdue_limit_s(model)
                check_at = max(overdue_at, since + quiet_limit_s)
                left_s = min(left_s, max(0.0, check_at - clock()))
            if left_s > 0:
                if ended:
                    left_s = min(left_s, FIND_INTERVAL_S)
                asked_at = clock()
                chunks: list[bytes | None] = []
                with contextlib.suppress(TimeoutError):
                    chunks.append(await response.read_chunk(left_s))
                now = clock()
                if not timeouts.holds(left_s, now - asked_at):
                    run.progressed_at = since = now
                    has_paused = True
                if chunks:
                    await self._take(job, run, chunks[0])
                if run.has_progressed:
                    run.suspected = False
                if run.events or run.has_progressed:
                    return True
                continue
            stall = await self._check_and_read(job, run, response, since)
            if run.has_progressed:
                run.suspected = False
                return True
            if stall is None and self._is_overdue(job, run.progressed_at):
                if not is_noted:
                    self._note_unproductive(job, run)
                    is_noted = True
                if self._may_reroute(job, run, run.progressed_at):
                    stall = Stall.OVERDUE
            if stall is not None:
                if not run.suspected:
                    self._log_stall(job, run, stall, run.progressed_at)
                run.suspected = True
                if self._may_add_run(job, runs):
                    return False
            since = run.checked_at = clock()
            if run.events:
                return True

    async def _check_and_read(
        self, job: Job, run: Run, response: Response, since: float
    ) -> Stall | None:
        """Find out why a run may be stalled, or read on if its response progresses.

        :param since: monotonic time at which it last progressed.
        :return: why it may be stalled, if it has not progressed.
        :raises ExchangeError: the response broke off.
        """
        stall: Stall | None = None
        failure: ExchangeError | None = None
        has_ended = False
        async with anyio.create_task_group() as tasks:

            async def check() -> None:
                nonlocal stall
                stall = await self._watchdog.find_stall(run.group, since)
                tasks.cancel_scope.cancel()

            tasks.start_soon(check)
            try:
                while not (run.has_progressed or has_ended):
                    data = await response.read_chunk()
                    if data is None:
                        has_ended = True
                    else:
                        await self._take(job, run, data)
            except ExchangeError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if has_ended:
            await self._take(job, run, None)
        return stall

    async def _wait_until_stalled(self, job: Job, run: Run, runs: RunSet[Run]) -> None:
        """Wait until a run that has not begun to deliver is stalled."""
        began = run.waits_since
        since = await self._watchdog.wait_quiet_limit(run.group, began)
        async with anyio.create_task_group() as tasks:

            async def wait_until_unresponsive() -> None:
                stall = await self._watchdog.wait_until_unresponsive(run.group, since)
                self._log_stall(job, run, stall, began)
                tasks.cancel_scope.cancel()

            async def wait_until_overdue() -> None:
                times = self._watchdog.reply_times
                limit_s = times.find_overdue_limit_s(job.fields.model)
                await sleep_running(self._components.clock, limit_s, since)
                self._note_unproductive(job, run)
                while not self._may_reroute(job, run, began, runs.heads):
                    await anyio.sleep(OVERDUE_CHECK_INTERVAL_S)
                self._log_stall(job, run, Stall.OVERDUE, began)
                tasks.cancel_scope.cancel()

            tasks.start_soon(wait_until_unresponsive)
            tasks.start_soon(wait_until_overdue)

    def _is_overdue(self, job: Job, began: float) -> bool:
        """Whether a stream has stalled long enough to be resumed at another group."""
        limit_s = self._watchdog.reply_times.find_overdue_limit_s(job.fields.model)
        return self._components.clock() - began >= limit_s

    def _note_unproductive(self, job: Job, run: Run) -> None:
        """Let other requests avoid a head that sends bytes without any event.

        A head whose engine has no free slot may send comments while the request waits.
        """
        engine = job.service.engine
        in_flight = self._components.load_tracker.count_in_flight(run.head)
        if run.received and engine is not None and in_flight <= engine.slots:
            self._components.load_tracker.note_failure(run.head)

    def _may_reroute(
        self,
        job: Job,
        run: Run,
        sent_at: float,
        live: frozenset[str] = frozenset(),
    ) -> bool:
        """Whether a request that is stalled at a group may be sent to another.

        A request that may still be queued at its group stays there.  One that has an
        event, or a part of one, and more bytes since is not.

        :param live: heads at which the request has a run.
        """
        engine = job.service.engine
        heads = job.may_have_run | live | {run.head}
        if engine is None or not job.route.repeatable:
            return False
        if len(heads) >= job.route.attempts or len(job.sent) >= MAX_SENDS:
            return False
        tracker = self._components.load_tracker
        has_begun = run.received > 0 and run.splitter.has_events()
        if (
            not has_begun
            and tracker.count_in_flight(run.head) > engine.slots
            and not tracker.was_overtaken(run.head, sent_at)
        ):
            return False
        tried = {*heads, *job.sent}
        group = self._choose_group(job, tried, engine.slots, with_suspected=False)
        return group is not None

    def _log_stall(self, job: Job, run: Run, stall: Stall, since: float) -> None:
        """Log that a run may have failed.

        :param since: monotonic time at which it last progressed.
        """
        now = self._components.clock()
        run.stall, run.stalled_at, run.answering_since = stall, now, None
        log.emit(
            events.RUN_STALLED,
            request=job.fields.request,
            instance=run.head,
            reason=stall.value,
            silent_s=round(now - since, 3),
            received=run.received,
            begun=job.reply.started,
            load=self._components.load_tracker.count_in_flight(run.head),
            runs=len(job.may_have_run | {run.head}),
            allowed=job.route.attempts if job.route.repeatable else 1,
            left_s=round(job.deadline_at - now, 3),
        )

    # -- failures of a run ------------------------------------------------------------

    async def _read_error(
        self, job: Job, runs: RunSet[Run], run: Run, response: Response
    ) -> bool:
        """Read an error response; return whether it is to be forwarded."""
        self._components.load_tracker.note_failure(run.head)
        may_retry = (
            job.route.repeatable and self._may_run_again(job) and response.status >= 500
        )
        # The status claims that the request was not executed, which is unknown.
        claims_not_executed = response.status in NOT_EXECUTED_STATUSES
        # The other runs may succeed, and would give the same final answer.
        may_succeed = response.status >= 500 and any(
            other.response is None or other.response.status < 500
            for other in runs.live
            if other is not run
        )
        is_dropped = (
            job.reply.started or may_retry or claims_not_executed or may_succeed
        )
        run.body = await self._read_error_body(job, run, response, is_dropped)
        if run.body is None or is_dropped:
            job.last_reason = f'answered with {response.status}'
            if run.body is not None and not claims_not_executed:
                headers = forward_response_headers(response.headers)
                job.error = ErrorResponse(response.status, headers, run.body)
            return False
        return True

    async def _read_error_body(
        self, job: Job, run: Run, response: Response, is_dropped: bool
    ) -> bytes | None:
        """Return the body of an error response, or ``None`` if it is incomplete."""
        limit_s = job.deadline_at - self._components.clock()
        if is_dropped:
            limit_s = min(limit_s, DROPPED_BODY_TIMEOUT_S)
        try:
            with anyio.fail_after(limit_s) as scope:
                note = limit_after_first_byte(scope)
                body = await response.read_whole(MAX_ERROR_BYTES, note)
                detector = self._components.crash_detector
                await check_sender(detector, job, response, run.group.head)
                return body
        except TimeoutError:
            return None
        except ExchangeError:
            await self._check_crash(job, run)
            return None

    async def _forward_error(self, job: Job, response: Response, body: bytes) -> None:
        job.status, job.ending = response.status, Ending.ANSWERED
        headers = forward_response_headers(response.headers)
        await job.reply.send_whole(response.status, headers, body)

    async def _check_crash(self, job: Job, run: Run) -> None:
        """Record a crash if the instance that interrupted a run has ended."""
        run.interrupted = True
        self._end_run(job, run)
        job.switch_run(run)
        job.interrupted_by = head = run.group.head
        detector = self._components.crash_detector
        await detector.check_crash(job)
        present = self._components.session.view.instances
        if head.name not in present and await detector.runs_on(head):
            job.unlisted.add(head.name)

    async def _note_interruption(self, job: Job, run: Run, reason: str) -> None:
        """Record that the connection of a run was lost."""
        job.last_reason = reason
        if not self._components.paths.is_cut_off:
            self._components.load_tracker.note_failure(run.head)
        self._log_resumed(job, run, reason)
        await self._check_crash(job, run)
