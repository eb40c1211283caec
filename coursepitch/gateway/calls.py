"""Requests to services without groups.

Responses are buffered whole.  Streams of events are forwarded as they come instead, and
may go on at another instance.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.pause_detector import has_passed_late, sleep_running
from coursepitch.gateway.admission import Denied, Terms
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
from coursepitch.gateway.plain_streams import EventReader, is_event_stream
from coursepitch.gateway.response_ends import Arrivals, check_body
from coursepitch.gateway.runs import EndProof, Progress, RunRace, RunSet
from coursepitch.gateway.suspicion import explain_crashes
from coursepitch.gateway.watchdog import Stall
from coursepitch.http.client import ExchangeError
from coursepitch.http.event_splitter import EventSplitter
from coursepitch.platform.headers import forward_response_headers
from coursepitch.scheduling.capacity import find_plain_bound

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.fleet.send_permits import Permit
    from coursepitch.gateway.components import GatewayComponents
    from coursepitch.gateway.job import Job
    from coursepitch.http.client import Response

__all__ = ['CallServer']

#: Share of the latency objective for which a request waits for an instance.
WAIT_OBJECTIVE_SHARE = 0.2

#: Seconds for which a client's retry after a refusal waits for an instance.
CLIENT_RETRY_WAIT_S = 1.0

#: Time after which a run without a response is overdue, so that another one is tried
#: beside it, as a multiple of the latency objective.  A response that has begun has as
#: long from then on, as instances may take longer to send a body than to begin it.
OVERDUE_FACTOR = 2.0

#: Seconds until another run is tried again for an overdue request, which route, retry
#: budget or instances have not allowed.  Each denied retry is logged.
FIND_INTERVAL_S = 0.25

#: Shortest Retry-After in seconds: an instance that rejects requests because it is
#: full accepts some again once requests in flight have finished.
MIN_RETRY_AFTER_S = 0.4

#: Most sends of one request, including rejected ones, whatever the route allows.
MAX_SENDS = 3


@dataclass(eq=False)
class CallRun:
    """One send of a request to an instance, and its response.

    :param permit: permit for the send, where the instance limits its rate.
    :param sent_at: monotonic time of the send; ``None`` before it.
    :param response: ``None`` before its head has arrived.
    :param begun_at: monotonic time at which its head arrived; ``None`` before it.
    :param body: whole body of the response.
    :param reader: reads the response if it is a stream of events.
    :param suspected: whether the run is overdue.
    :param interrupted: whether its connection was lost, and it is being examined
        whether the instance crashed.
    :param ended: whether what it held was released.
    :param waits_since: monotonic time from which it counts as waiting for a response.
    :param arrivals: when the bytes of the body arrived.
    :param proof: whether the instance is known to have ended.
    :param scope: cancelled if the run is to fail; ``None`` while it is not read.
    """

    instance: FleetInstance
    permit: Permit | None = None
    sent_at: float | None = None
    response: Response | None = None
    begun_at: float | None = None
    body: bytes = b''
    reader: EventReader | None = None
    suspected: bool = False
    interrupted: bool = False
    ended: bool = False
    waits_since: float = 0.0
    arrivals: Arrivals = field(default_factory=Arrivals)
    proof: EndProof = field(default_factory=EndProof)
    scope: anyio.CancelScope | None = None

    @property
    def head(self) -> str:
        """Name of the instance that the request is sent to."""
        return self.instance.name


class CallServer:
    """Serve routes whose service has no groups."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def serve(self, job: Job) -> Refusal | None:
        """Serve a request; return the refusal to send if there is no response."""
        runs: RunSet[CallRun] = RunSet(job.fields.last_event)
        try:
            return await self._serve(job, runs)
        finally:
            for run in runs.live:
                self._end_run(job, run)

    async def _serve(self, job: Job, runs: RunSet[CallRun]) -> Refusal | None:
        tried: set[str] = set()
        while True:
            if stops_too_soon(self._components, job):
                return self._give_up(job)
            if comes_too_late(self._components, job):
                return self._give_up(job)
            if not job.reply.started and is_isolated(self._components, job):
                return self._give_up(job)
            instance = await self._wait_for_instance(job, tried)
            if instance is None:
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
            runs.add(self._begin_run(job, instance, tried, runs.last_event))
            if await self._serve_runs(job, runs, tried):
                return None
            if self._components.crash_detector.forbids_retry(
                job
            ) or not self._may_send_again(job):
                return self._give_up(job)

    async def _serve_runs(
        self, job: Job, runs: RunSet[CallRun], tried: set[str]
    ) -> bool:
        """Forward the first response; return ``False`` if all runs failed."""

        async def advance(run: CallRun) -> bool:
            with anyio.CancelScope() as run.scope:
                if await self._advance(job, runs, run):
                    return True
            if run.scope.cancelled_caught:
                job.last_reason = 'the instance has ended'
                self._components.load_tracker.note_failure(run.head)
                await self._check_crash(job, run)
            self._end_run(job, run)
            return False

        async def watch(run: CallRun) -> None:
            await self._wait_until_overdue(job, run, runs)

        async def find_other() -> CallRun:
            return await self._find_other(job, runs, tried)

        def defer(run: CallRun, start: Callable[[], object]) -> Callable[[], None]:
            run.waits_since = self._components.clock()
            overdue_s = job.route.objective_s * OVERDUE_FACTOR
            return self._components.late_starts.add(
                overdue_s, start, partial(self._has_ended, run)
            )

        while True:
            run = await RunRace(runs, advance, watch, find_other, defer).wait()
            if run is None:
                return False
            for other in runs.choose(run):
                self._drop_run(job, other)
            if run.reader is None:
                await self._forward(job, run)
                return True
            progress = await self._deliver(job, runs, run, run.reader)
            if progress is Progress.WHOLE:
                return True
            if progress is Progress.FAILED:
                runs.remove(run)
                self._end_run(job, run)
                return False

    def _drop_run(self, job: Job, run: CallRun) -> None:
        """End a run because another one delivers the response."""
        if run.ended:
            return
        log.emit(
            events.RUN_DROPPED,
            request=job.fields.request,
            instance=run.head,
            suspected=run.suspected,
        )
        self._end_run(job, run)

    def _may_add_run(self, job: Job, runs: RunSet[CallRun]) -> bool:
        """Whether the route allows another run beside the live ones."""
        started = job.may_have_run | runs.heads
        return (
            job.route.repeatable
            and len(started) < job.route.attempts
            and len(job.sent) < MAX_SENDS
            and self._components.clock() < job.deadline_at
            and not runs.is_examining()
            and not is_futile(self._components, job)
            and not self._components.crash_detector.forbids_retry(job)
        )

    def _may_send_again(self, job: Job) -> bool:
        if len(job.sent) >= MAX_SENDS or self._components.clock() >= job.deadline_at:
            return False
        if not job.may_have_run:
            return True
        return job.route.repeatable and len(job.may_have_run) < job.route.attempts

    def _give_up(self, job: Job) -> Refusal | None:
        """Abort a started response, or return the refusal of the request."""
        if job.reply.started:
            job.reply.abort()
            job.ending = Ending.CUT
            return None
        if job.may_have_run:
            late = self._components.clock() >= job.deadline_at
            status = 504 if late else 502
            return Refusal(status, job.last_reason, problem=explain_crashes(job))
        job.last_reason = job.last_reason or 'no instance is there'
        return self._components.suspicion.find_late_refusal(job) or refuse_unexecuted(
            self._components, job, self._list_names, MIN_RETRY_AFTER_S
        )

    def _list_names(self, job: Job) -> list[str]:
        serving = self._components.session.view.list_serving(job.service.name)
        return [instance.name for instance in serving]

    async def _wait_for_instance(
        self, job: Job, tried: set[str]
    ) -> FleetInstance | None:
        """Return an instance to send to, or ``None`` if waiting for one is futile."""
        if job.is_client_retry:
            until = self._components.clock() + CLIENT_RETRY_WAIT_S
        else:
            until = job.arrived_at + job.route.objective_s * WAIT_OBJECTIVE_SHARE
        # A request that was rejected does not wait: another instance has room now, or
        # the client is told to come back.
        until = self._components.clock() if tried else min(until, job.deadline_at)
        if not job.may_have_run:
            until = min(until, find_latest_start(self._components, job))

        def choose_last() -> tuple[str, FleetInstance] | None:
            # The bound is there to choose and to wait: an instance queues requests
            # itself, and only it knows whether it has room.
            instance = self._components.router.choose_instance(job.service, tried)
            return None if instance is None else (instance.name, instance)

        def choose() -> tuple[str, FleetInstance] | None:
            found = choose_last()
            if found is not None and self._is_full(found[1]):
                return None
            return found

        terms = Terms(
            until,
            lambda: self._list_names(job),
            MIN_RETRY_AFTER_S,
            frozenset(tried),
            refuse_late=False,
        )
        while True:
            found = await self._components.admission.acquire(
                job, terms, choose, choose_last
            )
            if isinstance(found, Denied):
                self._note_denied(job, found)
                return None
            if await take_permit(self._components, job, found.name):
                return found

    def _is_full(self, instance: FleetInstance) -> bool:
        """Whether an instance has requests beyond its bound from all nodes."""
        count = self._components.load_tracker.count_in_flight(instance.name)
        return count >= find_plain_bound(instance.slots)

    def _note_denied(self, job: Job, denied: Denied) -> None:
        job.retry_after_s = denied.retry_after_s
        names = self._list_names(job)
        if self._components.gate.are_closed(names):
            why = self._components.gate.explain_closed(names)
            job.last_reason = job.last_reason or why

    # -- runs -------------------------------------------------------------------------

    def _begin_run(
        self, job: Job, instance: FleetInstance, tried: set[str], last_event: bytes
    ) -> CallRun:
        """Return a new run at an instance, which counts as in flight from now on.

        :param last_event: id of the last event that the client has.
        """
        tried.add(instance.name)
        permit, job.permit = job.permit, None
        session = self._components.session
        table = session.view.table
        log.emit(
            events.REQUEST_SENT,
            request=job.fields.request,
            instance=instance.name,
            group='',
            load=self._components.load_tracker.count_in_flight(instance.name),
            choices=len(session.view.list_serving(job.service.name)),
            attempt=len(job.sent) + 1,
            last_event=last_event.decode('latin-1'),
            table=table.version if table else 0,
            age=round(session.confirmation_age_s, 3),
            heard=session.view.received_revision,
        )
        self._components.load_tracker.begin(instance.name)
        return CallRun(instance, permit)

    def _end_run(self, job: Job, run: CallRun) -> None:
        """Release what a run holds, once."""
        if run.ended:
            return
        run.ended = True
        if run.reader is not None:
            run.reader.release()
        if run.response is not None:
            run.response.release()
        self._components.load_tracker.end(run.head)
        completed = job.ending is Ending.ANSWERED
        self._components.admission.note_end(job, completed=completed)

    async def _wait_until_overdue(
        self, job: Job, run: CallRun, runs: RunSet[CallRun]
    ) -> None:
        """Wait until a run without a whole response is overdue, or can't go on."""
        began, stall = run.waits_since, Stall.OVERDUE
        async with anyio.create_task_group() as tasks:

            async def wait_until_late() -> None:
                nonlocal began
                began = await self._wait_until_late(job, run)
                tasks.cancel_scope.cancel()

            async def wait_until_ended() -> None:
                nonlocal stall
                while not self._has_ended(run):
                    await self._components.session.wait_changed(FIND_INTERVAL_S)
                stall = Stall.REPORTED
                tasks.cancel_scope.cancel()

            tasks.start_soon(wait_until_ended)
            tasks.start_soon(wait_until_late)
        self._note_stall(job, run, runs, stall, began)

    def _has_ended(self, run: CallRun) -> bool:
        """Whether the instance of a run is proven to have ended."""
        return self._components.session.view.lost.has_ended(run.head)

    async def _wait_until_late(self, job: Job, run: CallRun) -> float:
        """Wait until a run is overdue; return since when it made no progress."""
        began, asked_at = run.waits_since, self._components.clock()
        overdue_s = job.route.objective_s * OVERDUE_FACTOR
        has_paused = has_passed_late(overdue_s, asked_at - began)
        since = asked_at if has_paused else began
        await sleep_running(self._components.clock, overdue_s, since)
        if run.begun_at is not None:
            began = run.begun_at
            await sleep_running(self._components.clock, overdue_s, began)
        return began

    def _note_stall(
        self,
        job: Job,
        run: CallRun,
        runs: RunSet[CallRun],
        stall: Stall,
        began: float,
    ) -> None:
        """Log that a run may have failed, and avoid its instance.

        :param began: monotonic time since which it made no progress.
        """
        now = self._components.clock()
        log.emit(
            events.RUN_STALLED,
            request=job.fields.request,
            instance=run.head,
            reason=stall.value,
            silent_s=round(now - began, 3),
            received=0,
            begun=False,
            load=self._components.load_tracker.count_in_flight(run.head),
            runs=len(job.may_have_run | runs.heads),
            allowed=job.route.attempts if job.route.repeatable else 1,
            left_s=round(job.deadline_at - now, 3),
        )
        if run.begun_at is not None or self._may_add_run(job, runs):
            # Other requests prefer instances that answer.
            self._components.load_tracker.note_failure(run.head)

    async def _find_other(
        self, job: Job, runs: RunSet[CallRun], tried: set[str]
    ) -> CallRun:
        """Return another run once route, budget and instances allow one."""
        components = self._components
        session, budget = components.session, components.budget
        granted = denied = False
        looked_at = components.clock()
        while True:
            looked_at = self._fail_ended(job, runs, looked_at)
            # A retry is granted before an instance is acquired, as a permit for a send
            # is lost if the send is denied afterwards.  Asking may ask peers to lend
            # one, so it is not repeated while the budget has no room.
            if (
                self._may_add_run(job, runs)
                and (
                    not denied
                    or budget.has_room(job.service.name, session.find_share())
                )
                and not components.paths.is_isolated()
                and not components.crash_detector.is_refused(job)
                and components.router.choose_instance(job.service, tried) is not None
            ):
                if not granted:
                    reason = job.last_reason
                    retry = await obtain_retry(components, job)
                    granted, denied = retry is Retry.TAKEN, retry is Retry.DENIED
                    # The call goes on, so a denial is not why it ends.
                    job.last_reason = reason
                if granted:
                    instance = await self._wait_for_instance(job, tried)
                    if instance is not None and self._may_add_run(job, runs):
                        return self._begin_run(job, instance, tried, runs.last_event)
            await anyio.sleep(FIND_INTERVAL_S)

    def _fail_ended(self, job: Job, runs: RunSet[CallRun], looked_at: float) -> float:
        """Fail the suspected runs whose instances are known to have ended.

        :param looked_at: monotonic time of the last look.
        :return: the time of this look.
        """
        now = self._components.clock()
        has_paused = has_passed_late(FIND_INTERVAL_S, now - looked_at)
        for run in runs.live:
            if run.interrupted or run.head not in job.sent:
                continue
            ended = self._has_ended(run)
            run.proof.note(now, ended=ended, has_paused=has_paused)
            if run.proof.is_final(now, run.arrivals) and run.scope is not None:
                run.scope.cancel()
        return now

    # -- progress of a run ------------------------------------------------------------

    async def _advance(self, job: Job, runs: RunSet[CallRun], run: CallRun) -> bool:
        """Send a request unless it was sent, and read its response.

        :return: whether it is to be forwarded: it is whole, or has a further event.
        """
        if run.response is None and not await self._send(job, runs, run):
            return False
        response = run.response
        if response is None:
            return False
        if run.reader is not None:
            return await self._read_event(job, run, run.reader)
        if job.reply.started:
            job.last_reason = f'a stream cannot go on with status {response.status}'
            self._components.load_tracker.note_failure(run.head)
            return False
        return await self._read_whole(job, runs, run, response)

    async def _send(self, job: Job, runs: RunSet[CallRun], run: CallRun) -> bool:
        """Send a request to an instance; return whether it responds."""
        plan = SendPlan(
            max(0.001, job.deadline_at - self._components.clock()),
            last_event=runs.last_event if job.reply.started else b'',
            # A reset of a reused connection does not tell whether the request was
            # executed, so a request that must not be repeated gets a new connection.
            new_connection=not job.route.repeatable,
            priority=job.priority,
            permit=run.permit,
        )
        attempt = await send_attempt(self._components, job, run.instance, plan)
        run.sent_at = attempt.sent_at
        if attempt.answer is None:
            # An overdue run has counted as a failure, and its instance may have
            # answered other requests since.
            if attempt.blames_instance and (attempt.interrupted or not run.suspected):
                self._components.load_tracker.note_failure(run.head)
            if attempt.interrupted:
                await self._check_crash(job, run)
            return False
        run.response, run.begun_at = attempt.answer, self._components.clock()
        if is_event_stream(job, attempt.answer):
            run.reader = EventReader(
                self._components.crash_detector,
                self._components.clock,
                job,
                attempt.answer,
                run.instance,
                EventSplitter(runs.last_event),
                run.arrivals,
            )
        return True

    async def _read_whole(
        self, job: Job, runs: RunSet[CallRun], run: CallRun, answer: Response
    ) -> bool:
        """Read a whole response; return whether it is to be forwarded."""
        components = self._components
        left_s = max(0.001, job.deadline_at - components.clock())
        limit, is_error = MAX_BODY_BYTES, answer.status >= 400
        if is_error:
            is_dropped = answer.status >= 500 and self._may_add_run(job, runs)
            limit = MAX_ERROR_BYTES
            if is_dropped:
                left_s = min(left_s, DROPPED_BODY_TIMEOUT_S)
        arrivals = run.arrivals

        try:
            with anyio.fail_after(left_s) as scope:
                limit_rest = limit_after_first_byte(scope)

                def note() -> None:
                    arrivals.note(components.clock())
                    if is_error:
                        limit_rest()

                run.body = await answer.read_whole(limit, note)
                await check_body(
                    components.crash_detector,
                    job,
                    answer,
                    run.instance,
                    run.body,
                    steady=arrivals.are_steady(components.clock()),
                )
        except (ExchangeError, TimeoutError) as error:
            job.last_reason = str(error) or 'the answer did not end in time'
            if is_error:
                job.last_reason = f'answered with {answer.status}: {job.last_reason}'
            components.load_tracker.note_failure(run.head)
            if isinstance(error, ExchangeError):
                await self._check_crash(job, run)
            return False
        failed = answer.status >= 500
        if failed:
            components.load_tracker.note_failure(run.head)
        else:
            self._note_success(job, run)
        # The status may claim that the request was not executed, which is unknown.
        claims_not_executed = answer.status in NOT_EXECUTED_STATUSES
        if claims_not_executed or (
            failed and (len(runs.live) > 1 or self._may_add_run(job, runs))
        ):
            job.last_reason = f'answered with {answer.status}'
            if not claims_not_executed:
                headers = forward_response_headers(answer.headers)
                job.error = ErrorResponse(answer.status, headers, run.body)
            return False
        return True

    def _note_success(self, job: Job, run: CallRun) -> None:
        """Record how long an instance took to respond, or to begin a stream."""
        if run.sent_at is not None:
            took_s = self._components.clock() - run.sent_at
            expected_s = max(0.05, job.route.objective_s / 4)
            self._components.load_tracker.note_success(run.head, took_s / expected_s)

    # -- streams of events ------------------------------------------------------------

    async def _read_event(self, job: Job, run: CallRun, reader: EventReader) -> bool:
        """Read on to the next event or the end; return ``False`` if the run failed."""
        try:
            while not reader.has_progressed:
                await reader.read()
        except ExchangeError as error:
            await self._note_interruption(job, run, error)
            return False
        return True

    async def _deliver(
        self, job: Job, runs: RunSet[CallRun], run: CallRun, reader: EventReader
    ) -> Progress:
        """Forward the events of a run until they end or stay away for too long."""
        self._note_delivery(job, run, reader.response)
        if not job.reply.started:
            self._note_success(job, run)
            headers = forward_response_headers(reader.response.headers)
            await job.reply.start(reader.response.status, headers)
        clock = self._components.clock
        progressed_at = clock()
        try:
            while True:
                has_progressed, ready = reader.has_progressed, reader.take_ready()
                if has_progressed and not reader.is_whole:
                    job.note_event(clock())
                runs.last_event = reader.splitter.last_event
                if ready:
                    await job.reply.send(ready)
                if reader.is_whole:
                    break
                if has_progressed:
                    # A client that takes its time is not for the run to answer for.
                    progressed_at = clock()
                    run.proof.proven_at = None
                if not await self._read_in_time(job, runs, run, reader, progressed_at):
                    return Progress.STALLED
        except ExchangeError as error:
            await self._note_interruption(job, run, error)
            return Progress.FAILED
        await job.reply.end()
        job.ending = Ending.ANSWERED
        self._components.load_tracker.note_success(run.head)
        return Progress.WHOLE

    async def _read_in_time(
        self,
        job: Job,
        runs: RunSet[CallRun],
        run: CallRun,
        reader: EventReader,
        progressed_at: float,
    ) -> bool:
        """Read a stream until there is something to forward.

        A run that nothing can replace is never stalled.

        :param progressed_at: monotonic time of its last event.
        :return: ``False`` if it is stalled.
        :raises ExchangeError: it broke off, or its instance has ended.
        """
        clock = self._components.clock
        overdue_s = job.route.objective_s * OVERDUE_FACTOR
        asked_at, left_s = clock(), FIND_INTERVAL_S
        while not (reader.ready or reader.has_progressed):
            now = clock()
            has_paused = has_passed_late(left_s, now - asked_at)
            ended = self._has_ended(run)
            run.proof.note(now, ended=ended, has_paused=has_paused)
            if run.proof.is_final(now, run.arrivals):
                raise ExchangeError('the instance has ended')
            if has_paused:
                progressed_at = now
            if ended or now - progressed_at >= overdue_s:
                if not run.suspected:
                    stall = Stall.REPORTED if ended else Stall.OVERDUE
                    self._note_stall(job, run, runs, stall, progressed_at)
                    run.suspected = True
                if self._may_add_run(job, runs):
                    return False
            asked_at = now
            await reader.read(left_s)
        run.suspected = run.suspected and not reader.has_progressed
        return True

    async def _note_interruption(
        self, job: Job, run: CallRun, error: ExchangeError
    ) -> None:
        """Record that a stream broke off."""
        job.last_reason = str(error)
        self._components.load_tracker.note_failure(run.head)
        if run.reader is not None:
            log.emit(
                events.REQUEST_RESUMED,
                request=job.fields.request,
                offset=run.reader.splitter.last_event.decode('latin-1'),
                instance=run.head,
                reason=job.last_reason,
            )
        await self._check_crash(job, run)

    # -- the end of a run -------------------------------------------------------------

    def _note_delivery(self, job: Job, run: CallRun, response: Response) -> None:
        """Record that a run delivers the response."""
        job.software, job.framing = run.instance.software, response.framing
        if run.sent_at is not None:
            job.last_sent_at = run.sent_at
        job.status = response.status

    async def _forward(self, job: Job, run: CallRun) -> None:
        """Forward a response that has been read whole."""
        response = run.response
        if response is None:
            return
        self._note_delivery(job, run, response)
        job.ending = Ending.ANSWERED
        headers = forward_response_headers(response.headers)
        await job.reply.send_whole(response.status, headers, run.body)

    async def _check_crash(self, job: Job, run: CallRun) -> None:
        """Record a crash if the instance that interrupted a run has ended."""
        run.interrupted = True
        self._end_run(job, run)
        job.interrupted_by, job.software = run.instance, run.instance.software
        if run.sent_at is not None:
            job.last_sent_at = run.sent_at
        await self._components.crash_detector.check_crash(job)
