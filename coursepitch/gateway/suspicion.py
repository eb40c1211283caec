"""Admission of requests that are suspected of crashing instances."""

from __future__ import annotations

import collections
import contextlib
import random
from typing import TYPE_CHECKING

from coursepitch import events, log
from coursepitch.crashes.parts import SuspectPart
from coursepitch.gateway.job import Ending, Refusal
from coursepitch.gateway.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from coursepitch.clock import Clock
    from coursepitch.crashes.reports import CrashReporter
    from coursepitch.crashes.suspects import Suspect, SuspectTable
    from coursepitch.crashes.trials import PartTrials
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

#: Retry-After in seconds of a request with a part while another one is tried.
TRIAL_RETRY_AFTER_S = 1.0

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
        trials: PartTrials,
        view: FleetView,
        metrics: Metrics,
        clock: Clock,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._suspects = suspects
        self._reporter = reporter
        self._trials = trials
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
            if job.ending is Ending.ANSWERED and job.status < 500 and job.survived:
                self._reporter.note_answered(name)
                if job.status < 300:
                    self._reporter.note_sound(job.traits, job.software)
        finally:
            self._running[name] -= 1
            if not self._running[name]:
                del self._running[name]

    async def admit(self, job: Job) -> Refusal | None:
        """Return the refusal of a suspected request, or ``None`` if it may run.

        One with a part that was refused for long may be tried.
        """
        if not len(self._suspects):
            return None
        return None if await self._obtain_trial(job) else self.find_refusal(job)

    async def _obtain_trial(self, job: Job) -> bool:
        """Whether a request is tried, as the part that crashes instances is due."""
        software = self._view.list_software(job.service.name)
        if self._suspects.find_refused_s(job.fingerprint, software) > 0:
            return False
        part = self._suspects.find_crashing_part(job.traits, software)
        if part is None or self._suspects.find_part_refused_s(part) > 0:
            return False
        return await self._trials.obtain(part.name)

    def find_refusal(self, job: Job) -> Refusal | None:
        """Return the refusal of a suspected request, or ``None`` if it may run."""
        if not len(self._suspects):
            return None
        return self.find_known_refusal(job) or self._find_pause(job)

    def find_known_refusal(self, job: Job) -> Refusal | None:
        """Return the refusal of a request that is known to crash instances."""
        software = self._view.list_software(job.service.name)
        suspect = self._suspects.find(job.fingerprint)
        refused_s = self._suspects.find_refused_s(job.fingerprint, software)
        if suspect is not None and refused_s > 0:
            self._record_suspicion(job, suspect, True, refused_s)
            return self._refuse(suspect, refused_s)
        part = self._suspects.find_crashing_part(job.traits, software)
        if part is None:
            return None
        refused_s = self._suspects.find_part_refused_s(part) or TRIAL_RETRY_AFTER_S
        self._record_suspicion(job, part, True, refused_s)
        return self._refuse(part, refused_s)

    def find_late_refusal(self, job: Job) -> Refusal | None:
        """Return the refusal of a request that was found out while it waited."""
        if not len(self._suspects):
            return None
        software = self._view.list_software(job.service.name)
        if not self._reporter.is_refused(job.traits, software):
            return None
        return self.find_known_refusal(job)

    def _find_pause(self, job: Job) -> Refusal | None:
        """Return the refusal of a request that other nodes run just now, if it is."""
        suspect = self._suspects.find(job.fingerprint)
        if suspect is None:
            return None
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

    def _refuse(self, suspect: Suspect | SuspectPart, refused_s: float) -> Refusal:
        ended = len(suspect.crashes)
        part = suspect.name if isinstance(suspect, SuspectPart) else ''
        what = f'requests with part {part} of their prompts' if part else 'it'
        detail = (
            f'{_format_count(ended).capitalize()} ended while running {what}, so it '
            'was not run this time.  It is tried again when that is long enough ago, '
            'when all instances run other software, or when an operator has lifted the '
            'refusal.'
        )
        problem = Problem(
            PROBLEM_TITLE, detail, 'not-run', ended, suspect.key, refused_s, part
        )
        reason = 'instances end while running this request'
        return Refusal(REFUSED_STATUS, reason, refused_s, problem)

    def _record_suspicion(
        self,
        job: Job,
        suspect: Suspect | SuspectPart,
        known: bool,
        retry_after_s: float,
    ) -> None:
        outcome = 'refused' if known else 'paused'
        self._metrics.suspects.inc({'outcome': outcome})
        log.emit(
            events.REQUEST_SUSPECTED,
            request=job.fields.request,
            fingerprint=suspect.key,
            customer=job.traits.customer,
            known=known,
            ended=sorted(
                {
                    f'{item.instance}/{item.born} seen by {item.seen_by}'
                    for item in suspect.list_crashes()
                }
            ),
            age=round(self._clock() - suspect.newest_at, 3),
            again_s=round(retry_after_s, 2),
        )
