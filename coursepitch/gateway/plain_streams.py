"""Events of a response of an instance without a group, read as they come."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.config.routes import RouteKind
from coursepitch.gateway.response_ends import (
    Arrivals,
    check_events,
    check_sender,
    has_events,
)
from coursepitch.http.client import Framing
from coursepitch.http.memory import UNCOUNTED_BYTES

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.fleet.instances import FleetInstance
    from coursepitch.gateway.crash_detector import CrashDetector
    from coursepitch.gateway.job import Job
    from coursepitch.http.client import Response
    from coursepitch.http.event_splitter import EventSplitter

__all__ = ['MAX_COMMENT_BYTES', 'EventReader', 'is_event_stream']

#: Bytes of comments between two events that clients get, unless the length of the
#: response counts them: those that keep connections open are short.
MAX_COMMENT_BYTES = 16_384


def is_event_stream(job: Job, response: Response) -> bool:
    """Whether the events of a response are to be forwarded as they come."""
    return job.route.kind is RouteKind.STREAM and has_events(job, response)


@dataclass(eq=False)
class EventReader:
    """Read the events of one response, up to its end.

    :param splitter: splits the response into events; its last event at the beginning
        is the one after which the response starts.
    :param arrivals: when the bytes of the response arrived.
    :param ready: whole events, and comments, that are yet to be forwarded.
    :param has_progressed: whether there is an event among them, or the response has
        ended regularly.
    :param is_whole: whether the response has ended regularly.
    """

    detector: CrashDetector
    clock: Clock
    job: Job
    response: Response
    instance: FleetInstance
    splitter: EventSplitter
    arrivals: Arrivals
    ready: bytes = b''
    has_progressed: bool = False
    is_whole: bool = False

    def __post_init__(self) -> None:
        if self.response.framing is not Framing.LENGTH:
            self.splitter.max_comment_bytes = MAX_COMMENT_BYTES

    async def read(self, timeout_s: float | None = None) -> None:
        """Read the next bytes of the response, or its end.

        :param timeout_s: seconds to wait at most.
        :raises ExchangeError: the response broke off, or can become no response.
        """
        try:
            data = await self.response.read_chunk(timeout_s)
        except TimeoutError:
            return
        if data is None:
            await self._finish()
        else:
            self._take(data)

    def _take(self, data: bytes) -> None:
        self.arrivals.note(self.clock())
        before = self.splitter.count
        self.ready += self.splitter.feed(data)
        buffered = self.splitter.buffered
        self._count(buffered if buffered > UNCOUNTED_BYTES else 0)
        self.has_progressed |= self.splitter.count > before

    async def _finish(self) -> None:
        """Check that the response is whole.

        :raises ExchangeError: it is not, or nothing proves it.
        """
        check_events(self.job, self.response, self.instance, self.splitter)
        await check_sender(
            self.detector,
            self.job,
            self.response,
            self.instance,
            steady=self.arrivals.are_steady(self.clock()),
        )
        self.ready += self.splitter.flush()
        self.release()
        self.has_progressed = self.is_whole = True

    def take_ready(self) -> bytes:
        """Return what is yet to be forwarded, once."""
        ready, self.ready, self.has_progressed = self.ready, b'', False
        return ready

    def release(self) -> None:
        """Count nothing of the response as buffered any more."""
        self._count(0)

    def _count(self, size: int) -> None:
        """Count the bytes of an unfinished event among all that are buffered.

        :raises ExchangeError: all of them are too many, and it has its share.
        """
        self.response.pool.note_buffered(self.response, size)
