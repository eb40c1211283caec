"""Checks of responses that have ended: their framing may not prove that they are whole.

A response with a length or in chunks is whole once the client of an instance has read
its end.  One that ends with its connection looks the same whether it is whole or its
sender failed, so what else is known of it decides.  A stream of events that ends inside
an event was broken off in either case.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio.lowlevel

from coursepitch import events, log
from coursepitch.config.routes import RouteKind
from coursepitch.fleet.control import ProcessState
from coursepitch.http.client import ExchangeError, Framing
from coursepitch.http.event_splitter import EVENT_STREAM_TYPE, EventSplitter
from coursepitch.http.messages import find_header

if TYPE_CHECKING:
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.gateway.crash_detector import CrashDetector
    from coursepitch.gateway.job import Job
    from coursepitch.http.client import Response

__all__ = [
    'Arrivals',
    'BrokenOffError',
    'check_body',
    'check_events',
    'check_sender',
    'has_events',
]

#: Seconds without bytes after which the end of a response may be that of its instance.
#: An end that is read only once the entry of an ended instance is gone has been held up
#: for longer: entries last for three heartbeats.
SILENCE_S = 0.8

#: Bytes of a whole body whose events are searched in one turn of the event loop.
PIECE_BYTES = 65_536

#: Why a response that ends with its connection is not whole, by what is known of the
#: instance.  A response that may lack its end is worse for its caller than one that is
#: broken off, which can be requested again.
_BROKEN_OFF_REASONS = {
    ProcessState.ENDED: 'the instance ended with its response',
    ProcessState.UNREACHED: 'nobody could ask whether the instance runs',
}


class BrokenOffError(ExchangeError):
    """An instance ended a response before its end."""

    category = 'broken off'


@dataclass(eq=False)
class Arrivals:
    """Times at which the bytes of a response arrived, from the first on.

    :param latest_at: monotonic time of the latest; before the first, since when the
        instance is silent, or ``None``.
    :param resumed_at: monotonic time at which bytes last came after a silence.
    """

    latest_at: float | None = None
    resumed_at: float = float('-inf')

    def note(self, now: float) -> None:
        """Record that bytes arrived at a monotonic time."""
        if self.latest_at is not None and now - self.latest_at >= SILENCE_S:
            self.resumed_at = now
        self.latest_at = now

    def are_steady(self, now: float) -> bool:
        """Whether a response that ends now was not silent shortly before.

        Bytes that were held up arrive at once, together with the end.
        """
        if self.latest_at is not None and now - self.latest_at >= SILENCE_S:
            return False
        return now - self.resumed_at >= SILENCE_S


def has_events(job: Job, answer: Response) -> bool:
    """Whether the body of a response consists of events.

    On a streaming route it does, unless the response names another media type.
    """
    if answer.status != 200:
        return False
    value = find_header(answer.headers, b'content-type')
    if value is None:
        return job.route.kind is RouteKind.STREAM
    media_type = value.partition(b';')[0].strip().lower()
    return media_type == EVENT_STREAM_TYPE.encode()


def check_events(
    job: Job, answer: Response, instance: FleetInstance, splitter: EventSplitter
) -> None:
    """Check that a stream whose body has been read did not break off.

    Without any event, the end of a connection proves nothing.  Only a client that
    resumes may already have had the last event, and only the first run tells it: a
    later one follows an interruption.

    :raises BrokenOffError: it did.
    """
    if not has_events(job, answer):
        return
    if splitter.is_inside_event():
        reason = 'the stream ended inside an event'
    elif (
        answer.framing is Framing.CONNECTION
        and not splitter.has_events()
        and (not job.fields.last_event or len(job.sent) > 1)
    ):
        reason = 'the stream ended before its first event'
    else:
        return
    _log_broken_off(job, answer, instance, reason, splitter.buffered)
    raise BrokenOffError(reason)


async def check_sender(
    detector: CrashDetector,
    job: Job,
    answer: Response,
    instance: FleetInstance,
    *,
    steady: bool = True,
) -> None:
    """Check that an instance did not end with a response that has ended.

    Records whether that is proven.  The kernel closes the connections of a process that
    has ended as the process does after a whole response.  One that is leaving ends at
    its time, whatever it is at work on.

    :param steady: whether the response was not silent shortly before its end.
    :raises BrokenOffError: it did, or nobody could find out, or nothing tells that a
        response which was silent is whole; and the end of the connection is all that
        tells its end.
    """
    job.survived = answer.framing is not Framing.CONNECTION
    if job.survived:
        return
    listed, began_at = detector.is_listed(instance), detector.clock()
    state = await detector.find_state(instance)
    if state is ProcessState.UNKNOWN and not steady:
        state = await detector.find_state_of_silent(instance)
    elif state is ProcessState.UNKNOWN and not listed:
        state = await detector.find_state_of_leaving(instance)
    job.survived = state is ProcessState.RUNS
    if state not in (ProcessState.RUNS, ProcessState.ENDED):
        log.emit(
            events.RESPONSE_END_UNPROVEN,
            request=job.fields.request,
            instance=instance.name,
            state=state.value,
            listed=listed,
            still_listed=detector.is_listed(instance),
            steady=steady,
            took_s=round(detector.clock() - began_at, 3),
        )
    reason = _BROKEN_OFF_REASONS.get(state)
    if reason is None and not job.survived and not steady:
        reason = 'the response was silent, and its instance does not answer'
    if reason is not None:
        _log_broken_off(job, answer, instance, reason, 0)
        raise BrokenOffError(reason)


async def check_body(
    detector: CrashDetector,
    job: Job,
    answer: Response,
    instance: FleetInstance,
    body: bytes,
    *,
    steady: bool = True,
) -> None:
    """Check a response that has been read whole, as a stream that has ended.

    :param steady: whether the response was not silent shortly before its end.
    :raises BrokenOffError: it broke off.
    """
    if has_events(job, answer):
        # The body is bounded, so its events need no bound of their own.
        splitter = EventSplitter(max_event_bytes=len(body))
        for start in range(0, len(body), PIECE_BYTES):
            if start:
                await anyio.lowlevel.checkpoint()
            splitter.feed(body[start : start + PIECE_BYTES])
            # What this has searched is not searched again at the end.
            splitter.has_events()
        check_events(job, answer, instance, splitter)
    await check_sender(detector, job, answer, instance, steady=steady)


def _log_broken_off(
    job: Job, answer: Response, instance: FleetInstance, reason: str, rest: int
) -> None:
    log.emit(
        events.RESPONSE_BROKEN_OFF,
        request=job.fields.request,
        instance=instance.name,
        framing=answer.framing.value,
        reason=reason,
        rest=rest,
    )
