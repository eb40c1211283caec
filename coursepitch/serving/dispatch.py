"""Dispatch of requests to model engines: retries, resumption, cancellation."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import anyio
import httpx
import orjson

from coursepitch import events, log
from coursepitch.errors import CodecError
from coursepitch.serving import outcomes
from coursepitch.serving.admission import QueuedRequest, build_no_replica
from coursepitch.serving.attempts import (
    AttemptResult,
    NextStep,
    RetryBudget,
    RetryState,
    classify_error,
    decide_next,
)
from coursepitch.serving.clients import TargetClients
from coursepitch.serving.outcomes import Problem, Refusal, RefusedError
from coursepitch.serving.race import AttemptRace, Reading, SilenceLimits
from coursepitch.serving.runs import (
    NON_RETRYABLE_STATUSES,
    Attempt,
    Run,
    read_text,
    read_token_count,
)
from coursepitch.serving.sse import DONE_DATA, MAX_EVENT_BYTES, EventParser
from coursepitch.util.bounded_http import (
    BodyBuffers,
    Pacer,
    drain_body,
    open_reply,
    read_object,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from coursepitch.clock import Clock
    from coursepitch.config.settings import RoutingSettings
    from coursepitch.metrics import Metrics
    from coursepitch.serving.admission import Admission
    from coursepitch.serving.crash_memory import CrashMemory
    from coursepitch.serving.model_request import ModelRequest
    from coursepitch.serving.replica_selector import ReplicaSelector
    from coursepitch.serving.routing import Choice

__all__ = ['Dispatcher']

#: HTTP statuses with which an engine states that it did not run a request.
_NOT_RUN_STATUSES = frozenset({400, 404, 409, 413, 422, 429, 503})

#: Largest number of bytes on the wire that bring a stream no chunk: an event of the
#: largest size in HTTP chunks of one byte has six times its size.
MAX_IDLE_BYTES = 8 * MAX_EVENT_BYTES

#: Largest answer in bytes that is not streamed.
MAX_ANSWER_BYTES = 16_777_216

#: Time limit in seconds of the cancellation of an attempt.
CANCEL_TIMEOUT_S = 1.0

#: Seconds between two searches for a replica to retry on.
_REPLICA_POLL_S = 0.1

#: Largest number of chunks without a number on one connection.  The OpenAI API has two,
#: with the finish reason and with the usage; others are ignored.
_MAX_UNNUMBERED_CHUNKS = 16


class Dispatcher:
    """Sends requests to replicas and relays their answers.

    :param queue_wait_s: longest wait for a replica in seconds.
    """

    def __init__(
        self,
        selector: ReplicaSelector,
        admission: Admission,
        settings: RoutingSettings,
        queue_wait_s: float,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._admission = admission
        self._settings = settings
        self._queue_wait_s = queue_wait_s
        self._metrics = metrics
        self._clock = clock
        self._budget = RetryBudget(settings.retry_ratio, settings.retry_burst)
        self._silence_limits = SilenceLimits(
            settings.first_byte_timeout_s, settings.gap_timeout_s
        )
        # Silence of an engine ends no attempt, see :mod:`coursepitch.serving.race`.
        timeout = httpx.Timeout(None, connect=1.0, pool=1.0)
        pacer = Pacer()
        self._clients = TargetClients(timeout, pacer, reuse=True)
        self._single_use_clients = TargetClients(timeout, pacer, reuse=False)
        self._buffers = BodyBuffers()
        #: Attempts that are yet to be cancelled, as others delivered their answers.
        self._dropped: list[Attempt] = []
        #: Whether this node reaches no engine.
        self.is_cut_off: Callable[[], bool] = lambda: False
        #: What is known of requests that crash engines; ``None`` for nothing.
        self.crashes: CrashMemory | None = None

    async def close(self) -> None:
        """Close all connections."""
        await self._clients.close()
        await self._single_use_clients.close()

    async def run_slot_assignment(self, pause_s: float) -> None:
        """Assign slots to queued requests periodically, as health reports change.

        Dropped attempts are cancelled as well.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(pause_s)
                while self._dropped:
                    tasks.start_soon(self._cancel, self._dropped.pop())
                self.assign_slots()
                await self._clients.trim()
                await self._single_use_clients.trim()
                self._metrics.queued.set({}, self._admission.queued)

    def assign_slots(self) -> None:
        """Assign slots to queued requests.

        They are refused as new ones are: if the node is cut off, or no replica is
        expected to serve their group.
        """
        if self.is_cut_off():
            self._admission.refuse_queued(_build_cut_off)
        for queue_name in self._admission.list_queued_groups():
            if not self._selector.count_expected(tuple(queue_name.split(','))):
                self._admission.refuse_queued(build_no_replica, queue_name)
            self._admission.assign_slots(queue_name, self._choose_for_queued)

    def _choose_for_queued(self, queued: QueuedRequest) -> Choice | None:
        groups = tuple(queued.group.split(','))
        return self._selector.choose(groups, '', self._admission.in_flight_by_replica)

    async def admit(self, model_request: ModelRequest) -> Run:
        """Wait for a slot.

        :raises RefusedError: no slot is available in time, no engine is reached, or the
            request is known to crash engines.
        """
        self._check_crashes(model_request)
        if self.is_cut_off():
            raise RefusedError(_build_cut_off(model_request.request_id))
        expires_at = min(
            model_request.arrived_at + self._queue_wait_s, model_request.deadline_at
        )
        queued = QueuedRequest(
            customer=model_request.identity.customer,
            urgency=model_request.urgency,
            work=model_request.work,
            deadline_at=model_request.deadline_at,
            expires_at=expires_at,
            request_id=model_request.request_id,
            group=model_request.queue_name,
        )

        def choose() -> Choice | None:
            return self._selector.choose(
                model_request.groups,
                model_request.prefix_hash,
                self._admission.in_flight_by_replica,
            )

        def count() -> int:
            return self._selector.count_expected(model_request.groups)

        slot = await self._admission.acquire(queued, choose, count)
        try:
            # It may have waited for seconds.
            self._check_crashes(model_request)
        except RefusedError:
            self._admission.release(slot, completed=False)
            raise
        if self.crashes is not None:
            self.crashes.begin_trial(model_request)
        self._budget.deposit()
        return Run(model_request, slot)

    def _check_crashes(self, model_request: ModelRequest) -> None:
        """Refuse a request that is known to crash engines.

        :raises RefusedError: it is.
        """
        problem = self.crashes and self.crashes.find_problem(model_request)
        if problem:
            raise RefusedError(problem)

    async def finish(self, run: Run) -> None:
        """Release the slot and cancel the attempt if it still runs."""
        if self.crashes is not None:
            self.crashes.end_trial(run.model_request)
        attempt = run.current_attempt
        if attempt is not None and not run.finished:
            await self._cancel(attempt)
        self._admission.release(run.slot, completed=run.finished)
        self.assign_slots()

    async def _cancel(self, attempt: Attempt) -> None:
        url = f'http://{attempt.address}/v1/streams/{attempt.name}'
        client = self._clients.get(attempt.address)
        request = client.build_request('DELETE', url)
        with anyio.CancelScope(shield=True):
            try:
                async with open_reply(client, request, CANCEL_TIMEOUT_S) as reply:
                    await drain_body(reply.aiter_raw())
            except httpx.HTTPError:
                return

    # -- streamed answers ----------------------------------------------------

    async def stream(self, run: Run) -> AsyncGenerator[dict[str, Any], None]:
        """Yield the chunks of an answer; a normal end means that it is complete.

        :raises RefusedError: no attempt returned the complete answer.
        """
        try:
            self._begin_reading(run, NextStep.RETRY)
            while (chunk := await self._read_next(run)) is not None:
                yield chunk
            run.finished = True
        finally:
            await self._drop_readings(run)

    async def _read_next(self, run: Run) -> dict[str, Any] | None:
        """Return the next part of an answer, or ``None`` after the last one.

        :raises RefusedError: all attempts have failed.
        """

        def suspect(reading: Reading) -> Reading | None:
            return self._suspect_reading(run, reading)

        async def fail(reading: Reading) -> Reading | None:
            return await self._note_failed_reading(run, reading)

        async def find_other() -> Reading:
            return await self._find_other_reading(run)

        while True:
            race = AttemptRace(
                run.readings,
                self._silence_limits,
                suspect,
                fail,
                find_other,
                self._clock,
            )
            reading, part = await race.wait()
            if part is not None or reading.attempt.is_whole:
                await self._drop_readings(run, kept=reading)
                if part is None:
                    await self._prepare_next_step(run, reading.attempt)
                return part
            await self._drop_readings(run)
            run.current_attempt = reading.attempt
            self._settle_result(run, reading.attempt)
            step = await self._prepare_next_step(run, reading.attempt)
            self._begin_reading(run, step)

    def _begin_reading(self, run: Run, step: NextStep) -> Reading:
        """Begin an attempt, or reopen the current one, and read its answer."""
        attempt = self._begin_attempt(run, step)
        reading = self._build_reading(run, attempt, step)
        run.readings.append(reading)
        return reading

    def _build_reading(self, run: Run, attempt: Attempt, step: NextStep) -> Reading:
        read = self._read_chunks if run.streamed else self._read_answer
        return Reading(attempt, run.slot.choice, step, read(run, attempt, step))

    async def _drop_readings(self, run: Run, kept: Reading | None = None) -> None:
        """Close the connections of attempts, and cancel those that may still run.

        :param kept: reading that delivers the answer.
        """
        dropped = [item for item in run.readings if item is not kept]
        run.readings = [] if kept is None else [kept]
        if kept is not None:
            kept.suspected = False
            run.current_attempt = kept.attempt
            if run.slot.choice is not kept.choice:
                self._admission.move(run.slot, kept.choice)
        current = run.current_attempt
        with anyio.CancelScope(shield=True):
            for item in dropped:
                await item.close()
                if current is None or item.attempt.name != current.name:
                    self._dropped.append(item.attempt)

    def _suspect_reading(self, run: Run, reading: Reading) -> Reading | None:
        """Note a silent attempt; return its reopened stream, if it may be reopened."""
        attempt = reading.attempt
        self._selector.record_silence(attempt.replica)
        now = self._clock()
        log.emit(
            events.RUN_STALLED,
            request=run.model_request.request_id,
            instance=attempt.replica,
            reason='silent',
            silent_s=round(now - reading.since, 3),
            received=attempt.received,
            begun=bool(run.chunk_texts),
            load=self._admission.in_flight_by_replica.get(attempt.replica, 0),
            runs=run.attempts,
            allowed=self._settings.attempts if run.model_request.repeatable else 1,
            left_s=round(run.model_request.deadline_at - now, 3),
        )
        if not run.streamed or run.reopened or attempt.head_at is None:
            return None
        return self._reopen(run, reading)

    def _reopen(self, run: Run, reading: Reading) -> Reading:
        """Return another reading of the same attempt."""
        run.reopened = True
        attempt = dataclasses.replace(reading.attempt, head_at=None)
        opened = self._build_reading(run, attempt, NextStep.REOPEN)
        opened.choice = reading.choice
        return opened

    async def _note_failed_reading(self, run: Run, reading: Reading) -> Reading | None:
        """Note an attempt that failed beside others; return its reopened stream."""
        attempt = reading.attempt
        self._settle_result(run, attempt)
        self._metrics.attempts.inc({'seen': attempt.result.name.lower()})
        if attempt.status not in NON_RETRYABLE_STATUSES:
            self._record_failure(attempt)
        state = self._describe_state(run, attempt)
        run.may_have_run |= state.outcome is not outcomes.Outcome.NOT_RUN
        if self.crashes is not None:
            await self.crashes.note_attempt(run, attempt)
        if attempt.result is AttemptResult.CUT and not run.reopened:
            return self._reopen(run, reading)
        return None

    def _record_failure(self, attempt: Attempt) -> None:
        if attempt.timed_out:
            self._selector.record_silence(attempt.replica)
        else:
            self._selector.record_failure(attempt.replica)

    def _settle_result(self, run: Run, attempt: Attempt) -> None:
        if attempt.result is AttemptResult.CUT and not run.streamed:
            # Only streamed answers can be resumed.
            attempt.result = AttemptResult.NO_HEAD

    async def _find_other_reading(self, run: Run) -> Reading:
        """Wait until another attempt may be made, and begin it."""
        while True:
            choice = self._choose_other(run)
            if choice is not None:
                break
            await anyio.sleep(_REPLICA_POLL_S)
        self._budget.withdraw()
        self._admission.move(run.slot, choice)
        log.emit(
            events.REQUEST_RETRIED,
            request=run.model_request.request_id,
            reason='all attempts are silent',
        )
        run.may_have_run = True
        step = NextStep.CONTINUE if run.chunk_texts else NextStep.RETRY
        return self._build_reading(run, self._begin_attempt(run, step), step)

    def _choose_other(self, run: Run) -> Choice | None:
        """Return a replica to try beside the silent ones, if that is allowed."""
        if not run.model_request.repeatable or not self._budget.allows_retry():
            return None
        if run.attempts >= self._settings.attempts:
            return None
        silent = frozenset(item.attempt.replica for item in run.readings)
        return self._choose_untried(run, silent)

    def _begin_attempt(self, run: Run, step: NextStep) -> Attempt:
        """Return the attempt to make: a new one, or the current one to reopen."""
        if step is NextStep.REOPEN and run.current_attempt is not None:
            run.reopened = True
            return run.current_attempt
        run.attempts += 1
        replica = run.slot.choice.replica
        name = f'{run.model_request.request_id}.{run.attempts}'
        run.current_attempt = Attempt(
            name, replica.address, replica.name, len(run.chunk_texts)
        )
        run.tried_replicas.add(replica.name)
        log.emit(
            events.REQUEST_ROUTED,
            request=run.model_request.request_id,
            replica=replica.name,
            why=run.slot.choice.format_costs(),
        )
        return run.current_attempt

    async def _prepare_next_step(self, run: Run, attempt: Attempt) -> NextStep:
        """Choose the step that follows an attempt and prepare it.

        :raises RefusedError: the request has failed for good.
        """
        self._metrics.attempts.inc({'seen': attempt.result.name.lower()})
        if (
            attempt.result is not AttemptResult.WHOLE
            and attempt.status not in NON_RETRYABLE_STATUSES
        ):
            self._record_failure(attempt)
        state = self._describe_state(run, attempt)
        run.may_have_run |= state.outcome is not outcomes.Outcome.NOT_RUN
        await self._note_attempt(run, attempt)
        step = decide_next(state, self._budget.allows_retry())
        if attempt.status in NON_RETRYABLE_STATUSES:
            step = NextStep.FAIL
        if step in (NextStep.RETRY, NextStep.CONTINUE):
            choice = await self._wait_for_replica(run)
            if choice is None:
                raise RefusedError(self._describe_failure(run, attempt))
            self._budget.withdraw()
            self._admission.move(run.slot, choice)
            log.emit(
                events.REQUEST_RETRIED,
                request=run.model_request.request_id,
                reason=attempt.result.value,
            )
        elif step is NextStep.FAIL:
            raise RefusedError(self._describe_failure(run, attempt))
        if step in (NextStep.REOPEN, NextStep.CONTINUE):
            log.emit(
                events.REQUEST_RESUMED,
                request=run.model_request.request_id,
                offset=len(run.chunk_texts),
                instance=attempt.replica,
                reason=attempt.result.value,
            )
        return step

    def _describe_state(self, run: Run, attempt: Attempt) -> RetryState:
        return RetryState(
            attempt.result,
            run.model_request.repeatable,
            run.attempts,
            self._settings.attempts,
            len(run.chunk_texts),
            run.reopened,
        )

    async def _note_attempt(self, run: Run, attempt: Attempt) -> None:
        """Remember a crash of the engine, or a success.

        :raises RefusedError: the request is known to crash engines now.
        """
        if self.crashes is None:
            return
        await self.crashes.note_attempt(run, attempt)
        if attempt.result is AttemptResult.WHOLE:
            return
        problem = self.crashes.find_problem(run.model_request)
        if problem is not None:
            failure = self._describe_failure(run, attempt)
            raise RefusedError(failure if run.may_have_run else problem)

    async def _wait_for_replica(self, run: Run) -> Choice | None:
        """Return a replica for a retry, preferably one that was not tried yet.

        A replica may be about to recover, and the caller may already have a part
        of the answer, so this waits as long as a request may wait in the queue.
        """
        model_request = run.model_request
        wait_until = min(self._clock() + self._queue_wait_s, model_request.deadline_at)
        while True:
            choice = self._choose_untried(run, frozenset())
            if choice is not None:
                return choice
            if self._clock() >= wait_until:
                return None
            await anyio.sleep(_REPLICA_POLL_S)

    def _choose_untried(self, run: Run, excluded: frozenset[str]) -> Choice | None:
        """Return a replica that was not tried, else any that is not excluded."""
        model_request = run.model_request
        for names in (excluded | run.tried_replicas, excluded):
            choice = self._selector.choose(
                model_request.groups,
                model_request.prefix_hash,
                self._admission.in_flight_by_replica,
                names,
            )
            if choice is not None:
                return choice
        return None

    def _describe_failure(self, run: Run, attempt: Attempt) -> Problem:
        refusal = self._choose_refusal(run, attempt)
        detail = f'Target status {attempt.status}.' if attempt.status else ''
        retry = None if refusal is outcomes.BAD_REQUEST else 1.0
        return Problem(refusal, run.model_request.request_id, detail, retry)

    def _choose_refusal(self, run: Run, attempt: Attempt) -> Refusal:
        """Return the refusal for a failed request.

        Its outcome is "not run" only if no attempt can have run.
        """
        if attempt.status in NON_RETRYABLE_STATUSES and not run.may_have_run:
            return outcomes.BAD_REQUEST
        if attempt.result is AttemptResult.WRONG:
            return outcomes.WRONG_ANSWER
        if run.chunk_texts or attempt.result is AttemptResult.CUT:
            return outcomes.STREAM_CUT
        if run.may_have_run:
            return outcomes.TARGET_FAILED
        return outcomes.TARGET_REFUSED

    async def _read_chunks(
        self, run: Run, attempt: Attempt, step: NextStep
    ) -> AsyncGenerator[dict[str, Any], None]:
        """Yield the chunks of one attempt and record its result."""
        started = self._clock()
        attempt.result = AttemptResult.NOTHING_SENT
        reply: httpx.Response | None = None
        first = True
        try:
            reply = await self._send_request(run, attempt, step)
            if reply is None:
                return
            parser, order = EventParser(), _ChunkOrder()
            pieces = reply.aiter_raw()
            async for piece in pieces:
                for event in parser.parse(piece):
                    if event.data == DONE_DATA:
                        attempt.result = AttemptResult.WHOLE
                        await drain_body(pieces)
                        return
                    chunk = orjson.loads(event.data)
                    if chunk['id'] != attempt.name:
                        attempt.result = AttemptResult.WRONG
                        return
                    order.check(event.event_id)
                    if not self._is_next_chunk(run, event.event_id):
                        # Others take turns, as the reader does for a chunk it gets.
                        await anyio.sleep(0)
                        continue
                    if event.event_id is None and run.finish_sent:
                        continue
                    # Read before the caller has the chunk, as it may be malformed.
                    text = '' if event.event_id is None else read_text(chunk)
                    attempt.note_chunk(self._clock())
                    if first and step is not NextStep.REOPEN:
                        waited = self._clock() - started
                        self._selector.record_first_chunk(attempt.replica, waited)
                    first = False
                    yield chunk
                    # Resumed only if this attempt's chunk is the one that was sent.
                    run.finish_sent = event.event_id is None
                    if event.event_id is not None:
                        run.chunk_texts.append(text)
                        run.reopened = False
                if attempt.received > MAX_IDLE_BYTES:
                    raise CodecError('too many bytes without a chunk')
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            if reply is None:
                attempt.result = classify_error(error)
                attempt.timed_out = isinstance(error, httpx.TimeoutException)
        except (CodecError, KeyError, TypeError, ValueError, RecursionError):
            attempt.result = AttemptResult.CUT
        finally:
            if reply is not None:
                with anyio.CancelScope(shield=True):
                    await reply.aclose()

    def _is_next_chunk(self, run: Run, event_id: int | None) -> bool:
        """Return whether a chunk is the next one; earlier ones are dropped.

        :raises CodecError: chunks before it are missing.
        """
        if event_id is None or event_id == len(run.chunk_texts):
            return True
        if event_id > len(run.chunk_texts):
            raise CodecError('chunks are missing from the stream')
        return False

    async def _send_request(
        self, run: Run, attempt: Attempt, step: NextStep
    ) -> httpx.Response | None:
        """Send the request; return the response if the target accepted it.

        Otherwise record the result in the attempt and return ``None``.
        """
        repeatable = run.model_request.repeatable
        clients = self._clients if repeatable else self._single_use_clients
        client = clients.get(attempt.address)
        request = self._build_request(client, run, attempt, step)
        reply = await client.send(request, stream=True)
        attempt.head_at = self._clock()
        attempt.result = AttemptResult.CUT
        if reply.status_code == 200:
            if reply.headers.get('x-request-id') == attempt.name:
                return reply
            attempt.result = AttemptResult.WRONG
        elif step is not NextStep.REOPEN:
            refused = reply.status_code in _NOT_RUN_STATUSES
            attempt.result = AttemptResult.REFUSED if refused else AttemptResult.NO_HEAD
            attempt.status = reply.status_code
        await reply.aclose()
        return None

    def _build_request(
        self, client: httpx.AsyncClient, run: Run, attempt: Attempt, step: NextStep
    ) -> httpx.Request:
        model_request = run.model_request
        base_url = f'http://{attempt.address}'
        extensions = {'exchange': attempt.begin_exchange()}
        if step is NextStep.REOPEN:
            chat = int('messages' in model_request.body)
            url = f'{base_url}/v1/streams/{attempt.name}?chat={chat}'
            headers = {'last-event-id': str(len(run.chunk_texts) - 1)}
            return client.build_request(
                'GET', url, headers=headers, extensions=extensions
            )
        body = dict(model_request.body)
        if step is NextStep.CONTINUE:
            body['resume_tokens'] = len(run.chunk_texts)
            body['resume_text'] = ''.join(run.chunk_texts)
        remaining_ms = max(1, round((model_request.deadline_at - self._clock()) * 1000))
        headers = {
            'x-request-id': attempt.name,
            'x-claim': attempt.replica,
            'x-deadline-ms': str(remaining_ms),
            'x-task': log.current_task_id(),
            'priority': f'u={model_request.urgency}',
        }
        return client.build_request(
            'POST',
            base_url + model_request.path,
            json=body,
            headers=headers,
            extensions=extensions,
        )

    # -- answers that are not streamed -----------------------------------------

    async def fetch(self, run: Run) -> dict[str, Any]:
        """Return a complete answer that is not streamed.

        :raises RefusedError: no attempt returned the answer.
        """
        run.streamed = False
        try:
            self._begin_reading(run, NextStep.RETRY)
            answer = await self._read_next(run)
            assert answer is not None, 'an answer that is not streamed is one part'
            run.finished = True
            if run.current_attempt is not None:
                await self._note_attempt(run, run.current_attempt)
            return answer
        finally:
            await self._drop_readings(run)

    async def _read_answer(
        self, run: Run, attempt: Attempt, step: NextStep
    ) -> AsyncGenerator[dict[str, Any], None]:
        """Yield the whole answer of one attempt and record its result."""
        answer = await self._fetch_once(run, attempt)
        if answer is not None:
            yield answer

    async def _fetch_once(self, run: Run, attempt: Attempt) -> dict[str, Any] | None:
        started = self._clock()
        reply: httpx.Response | None = None
        try:
            reply = await self._send_request(run, attempt, NextStep.RETRY)
            if reply is None:
                return None
            answer = await read_object(reply, MAX_ANSWER_BYTES, self._buffers)
            if answer['id'] != attempt.name:
                attempt.result = AttemptResult.WRONG
                return None
            read_token_count(answer)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            if attempt.result is not AttemptResult.CUT:
                attempt.result = classify_error(error)
                attempt.timed_out = isinstance(error, httpx.TimeoutException)
            return None
        except (CodecError, KeyError, TypeError, ValueError, RecursionError):
            attempt.result = AttemptResult.CUT
            return None
        finally:
            if reply is not None:
                with anyio.CancelScope(shield=True):
                    await reply.aclose()
        attempt.result = AttemptResult.WHOLE
        self._selector.record_first_chunk(attempt.replica, self._clock() - started)
        return answer


@dataclasses.dataclass(eq=False)
class _ChunkOrder:
    """Order of the chunks that come on one connection.

    Chunks that the caller has may come again, but none twice on a connection.
    """

    last_id: int = -1
    unnumbered: int = 0

    def check(self, event_id: int | None) -> None:
        """Note the chunk of an event.

        :raises CodecError: no sound engine sends it after the chunks before it.
        """
        if event_id is None:
            self.unnumbered += 1
            if self.unnumbered > _MAX_UNNUMBERED_CHUNKS:
                raise CodecError('too many chunks without a number')
            return
        if event_id <= self.last_id:
            raise CodecError('a chunk came again')
        self.last_id = event_id


def _build_cut_off(request_id: str) -> Problem:
    """Return the refusal of a node that has no path to the engines."""
    detail = '(no path to the engines)'
    return Problem(outcomes.NOT_READY, request_id, detail, 1.0)
