"""What users allow, and what a checker found."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ['Bounds', 'Finding', 'Verdict']


@dataclass(frozen=True, slots=True)
class Bounds:
    """What users allow.

    :param drain_s: seconds after which an instance that left gets nothing.
    :param revoke_s: seconds after which a key that was taken away runs nothing.
    :param retry_ratio: second sends allowed, as a part of the calls in a window.
    :param retry_extra: second sends allowed beside these.
    :param retry_window_s: length of the window in seconds.
    :param contact_s: seconds after trouble within which nodes act on what is new.
    :param under_way_s: seconds for which requests may be on their way.
    :param most_in_backoff: requests of a node to an instance in a backoff after that.
    :param counted_ends: ended instances from which arrivals with a part are counted.
    :param late_arrivals: such arrivals from ``contact_s`` after the last of these.
    :param cut_off_share: how often calls at nodes without paths to the instances are
        served, as a part of how often those at the others are.
    :param cut_off_failures: failed calls at such nodes in a cut beyond one in
        ``calls_per_failure``.
    :param answer_s: seconds that an answer takes beside silences of instances.
    :param silent_refused_share: share of the calls to a service, while instances of it
        stand still, that may be refused.
    :param silent_refusals: refusals beyond this share.
    :param config_s: seconds after the store's acknowledgement of a configuration after
        which nodes in touch act on it.
    :param lost_slack_s: seconds after its last byte after which a request counts as
        read.
    :param stop_open_s: seconds after SIGTERM in which requests may begin that are cut
        at the end of the stop.
    :param late_s: seconds after its limit by which a call beside floods has ended.
    :param memory_mb: memory of a node in MiB.
    """

    drain_s: float = 2.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.2
    retry_extra: int = 100
    retry_window_s: float = 10.0
    contact_s: float = 3.0
    under_way_s: float = 0.5
    most_in_backoff: int = 2
    counted_ends: int = 5
    late_arrivals: int = 3
    cut_off_share: float = 2 / 3
    cut_off_failures: int = 10
    calls_per_failure: int = 50
    answer_s: float = 2.0
    silent_refused_share: float = 0.1
    silent_refusals: int = 5
    config_s: float = 2.0
    late_s: float = 1.0
    lost_slack_s: float = 0.2
    stop_open_s: float = 3.0
    memory_mb: float = 128.0


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise: which call, instance or service, when, and how."""

    subject: str
    at: float
    what: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """What one checker found.

    :param looked_at: records that could have broken the promise.
    """

    checker: str
    looked_at: int
    findings: tuple[Finding, ...]

    @property
    def proved(self) -> bool:
        """Whether the promise was put to the test and kept."""
        return self.looked_at > 0 and not self.findings
