"""Requests to services without groups, whose responses are buffered whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.gateway.admission import Denied, Terms
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
from coursepitch.gateway.response_ends import check_body
from coursepitch.gateway.suspicion import explain_crashes
from coursepitch.http.client import ExchangeError
from coursepitch.platform.headers import forward_response_headers
from coursepitch.scheduling.capacity import find_plain_bound

if TYPE_CHECKING:
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.gateway.components import GatewayComponents
    from coursepitch.gateway.job import Job
    from coursepitch.http.client import Response

__all__ = ['CallServer']

#: Largest response body in bytes, which is buffered whole before it is forwarded.
MAX_RESPONSE_BYTES = 16_777_216

#: Share of the latency objective for which a request waits for an instance.
WAIT_OBJECTIVE_SHARE = 0.2

#: Seconds for which a client's retry after a refusal waits for an instance.
CLIENT_RETRY_WAIT_S = 1.0

#: Timeout of an attempt that may be retried, as a multiple of the latency objective.
ATTEMPT_TIMEOUT_FACTOR = 2.0

#: Shortest Retry-After in seconds: an instance that rejects requests because it is
#: full accepts some again once requests in flight have finished.
MIN_RETRY_AFTER_S = 0.4

#: Most sends of one request, including rejected ones, whatever the route allows.
MAX_SENDS = 3


class CallServer:
    """Serve routes whose service has no groups."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def serve(self, job: Job) -> Refusal | None:
        """Serve a request; return the refusal to send if there is no response."""
        tried: set[str] = set()
        while True:
            if is_isolated(self._components, job):
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
            tried.add(instance.name)
            may_retry = self._may_retry_after_next(job)
            if await self._run_once(job, instance, may_retry):
                return None
            await self._components.crash_detector.check_crash(job)
            if self._components.crash_detector.forbids_retry(
                job
            ) or not self._may_send_again(job):
                return self._give_up(job)

    def _may_retry_after_next(self, job: Job) -> bool:
        """Whether a retry would still be allowed after the next attempt."""
        runs = len(job.may_have_run) + 1
        return job.route.repeatable and runs < job.route.attempts

    def _may_send_again(self, job: Job) -> bool:
        if len(job.sent) >= MAX_SENDS or self._components.clock() >= job.deadline_at:
            return False
        if not job.may_have_run:
            return True
        return job.route.repeatable and len(job.may_have_run) < job.route.attempts

    def _give_up(self, job: Job) -> Refusal:
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

    async def _run_once(
        self, job: Job, instance: FleetInstance, may_retry: bool
    ) -> bool:
        """Send a request to an instance; return whether the client got a response."""
        table = self._components.session.view.table
        log.emit(
            events.REQUEST_SENT,
            request=job.fields.request,
            instance=instance.name,
            group='',
            load=self._components.load_tracker.count_in_flight(instance.name),
            choices=len(self._components.session.view.list_serving(job.service.name)),
            attempt=len(job.sent) + 1,
            last_event='',
            table=table.version if table else 0,
            age=round(self._components.session.confirmation_age_s, 3),
            heard=self._components.session.view.received_revision,
        )
        self._components.load_tracker.begin(instance.name)
        try:
            return await self._attempt(job, instance, may_retry)
        finally:
            self._components.load_tracker.end(instance.name)
            completed = job.ending is Ending.ANSWERED
            self._components.admission.note_end(job, completed=completed)

    async def _attempt(
        self, job: Job, instance: FleetInstance, may_retry: bool
    ) -> bool:
        headers_timeout_s = max(0.001, job.deadline_at - self._components.clock())
        if may_retry:
            headers_timeout_s = min(
                headers_timeout_s, job.route.objective_s * ATTEMPT_TIMEOUT_FACTOR
            )
        sent_at = self._components.clock()
        # A reset of a reused connection does not tell whether the request was
        # executed, so a request that must not be repeated gets a new connection.
        plan = SendPlan(
            headers_timeout_s,
            new_connection=not job.route.repeatable,
            priority=job.priority,
            permit=job.permit,
        )
        attempt = await send_attempt(self._components, job, instance, plan)
        job.interrupted_by = instance if attempt.interrupted else None
        if attempt.answer is None:
            if attempt.blames_instance:
                self._components.load_tracker.note_failure(instance.name)
            return False
        try:
            return await self._forward(
                job, instance, attempt.answer, sent_at, may_retry
            )
        finally:
            attempt.answer.release()

    async def _forward(
        self,
        job: Job,
        instance: FleetInstance,
        answer: Response,
        sent_at: float,
        may_retry: bool,
    ) -> bool:
        """Read a whole response and forward it; return whether it was forwarded."""
        left_s = max(0.001, job.deadline_at - self._components.clock())
        try:
            with anyio.fail_after(left_s):
                body = await answer.read_whole(MAX_RESPONSE_BYTES)
                detector = self._components.crash_detector
                await check_body(detector, job, answer, instance, body)
        except (ExchangeError, TimeoutError) as error:
            if isinstance(error, ExchangeError):
                job.interrupted_by = instance
            job.last_reason = str(error) or 'the answer did not end in time'
            self._components.load_tracker.note_failure(instance.name)
            return False
        failed = answer.status >= 500
        took_s = self._components.clock() - sent_at
        if failed:
            self._components.load_tracker.note_failure(instance.name)
        else:
            expected_s = max(0.05, job.route.objective_s / 4)
            self._components.load_tracker.note_success(
                instance.name, took_s / expected_s
            )
        if failed and may_retry and self._components.clock() < job.deadline_at:
            job.last_reason = f'answered with {answer.status}'
            return False
        if answer.status in NOT_EXECUTED_STATUSES:
            # The status claims that the request was not executed, which is unknown.
            job.last_reason = f'answered with {answer.status}'
            return False
        job.status, job.ending = answer.status, Ending.ANSWERED
        headers = forward_response_headers(answer.headers)
        await job.reply.send_whole(answer.status, headers, body)
        return True
