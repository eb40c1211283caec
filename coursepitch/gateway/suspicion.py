"""Admission of requests that are suspected of crashing instances."""

from __future__ import annotations

import collections
import contextlib
import random
from typing import TYPE_CHECKING

from coursepitch import events, log
from coursepitch.gateway.job import Ending, Refusal
from coursepitch.gateway.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from coursepitch.clock import Clock
    from coursepitch.crashes.reports import CrashReporter
    from coursepitch.crashes.suspects import Suspect, SuspectTable
    from coursepitch.fleet.view import FleetView
    from coursepitch.gateway.job import Job
    from coursepitch.metrics import Metrics

__all__ = ['SuspicionGate', 'explain_crashes']

#: Status for a request that is known to crash instances.  It is not 4xx, as the request
#: is valid, and not 503, which would announce that it is served later.
REFUSED_STATUS = 500

#: Retry-After in seconds for a suspected request while an equal one is running at this
#: node: the median duration of a stream.
DUPLICATE_RETRY_AFTER_S = 0.5

PROBLEM_TITLE = 'Instances end while they run this request'


def explain_crashes(job: Job) -> Problem | None:
    """Return the problem to report if the request crashed instances, or ``None``."""
    if not job.crashes:
        return None
    detail = (
        f'It was run, and {_format_count(job.crashes)} ended meanwhile.  '
        'It is not known whether it did what it was to do.'
    )
    return Problem(PROBLEM_TITLE, detail, 'unknown', job.crashes, job.fingerprint)


def _format_count(number: int) -> str:
    return 'an instance' if number == 1 else f'{number} instances'


class SuspicionGate:
    """Refuse requests known to crash instances, and run suspects one at a time.

    A crash interrupts the streams of other clients, and the group needs seconds to form
    again: 26 crashes within 16 s left a tenth of a route's requests unserved.

    :param random_fraction: returns a random number from 0 to 1, for the jitter of
        Retry-After.
    """

    def __init__(
        self,
        suspects: SuspectTable,
        reporter: CrashReporter,
        view: FleetView,
        metrics: Metrics,
        clock: Clock,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._suspects = suspects
        self._reporter = reporter
        self._view = view
        self._metrics = metrics
        self._clock = clock
        self._random_fraction = random_fraction
        self._running: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def track(self, job: Job) -> Iterator[None]:
        """Count a request as running, and clear its suspicion if it succeeds."""
        name = job.fingerprint
        self._running[name] += 1
        try:
            yield
            if job.ending is Ending.ANSWERED and job.status < 500:
                self._reporter.note_answered(name)
        finally:
            self._running[name] -= 1
            if not self._running[name]:
                del self._running[name]

    def find_refusal(self, job: Job) -> Refusal | None:
        """Return the refusal of a suspected request, or ``None`` if it may run."""
        suspect = self._suspects.find(job.fingerprint)
        if suspect is None:
            return None
        software = self._view.list_software(job.service.name)
        refused_s = self._suspects.find_refused_s(job.fingerprint, software)
        if refused_s > 0:
            self._record_suspicion(job, suspect, True, refused_s)
            return self._refuse(job, suspect, refused_s)
        pause_s = self._suspects.find_pause_s(job.fingerprint)
        if job.fingerprint in self._running:
            pause_s = max(pause_s, DUPLICATE_RETRY_AFTER_S)
        if not pause_s:
            return None
        pause_s *= 1.0 + self._random_fraction()
        self._record_suspicion(job, suspect, False, pause_s)
        return Refusal(
            503, 'instances recently ended while running this request', pause_s
        )

    def _refuse(self, job: Job, suspect: Suspect, refused_s: float) -> Refusal:
        ended = len(suspect.crashes)
        detail = (
            f'{_format_count(ended).capitalize()} ended while running it, so it was '
            'not run this time.  It is tried again when that is long enough ago, when '
            'all instances run other software, or when an operator has lifted the '
            'refusal.'
        )
        problem = Problem(
            PROBLEM_TITLE, detail, 'not-run', ended, job.fingerprint, refused_s
        )
        reason = 'instances end while running this request'
        return Refusal(REFUSED_STATUS, reason, refused_s, problem)

    def _record_suspicion(
        self, job: Job, suspect: Suspect, known: bool, retry_after_s: float
    ) -> None:
        outcome = 'refused' if known else 'paused'
        self._metrics.suspects.inc({'outcome': outcome})
        log.emit(
            events.REQUEST_SUSPECTED,
            request=job.fields.request,
            fingerprint=job.fingerprint,
            customer=suspect.customer,
            known=known,
            ended=[
                f'{item.instance}/{item.born} seen by {item.seen_by}'
                for item in suspect.crashes.values()
            ],
            age=round(self._clock() - suspect.newest_at, 3),
            again_s=round(retry_after_s, 2),
        )
