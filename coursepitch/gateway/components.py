"""Components that handlers of all kinds of requests share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from coursepitch.gateway.stop_schedule import StopSchedule

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.fleet.notices import InstanceNotices
    from coursepitch.fleet.paths import InstancePaths
    from coursepitch.fleet.session import FleetSession
    from coursepitch.gateway.admission import Admission
    from coursepitch.gateway.answer_times import AnswerTimes
    from coursepitch.gateway.budget import RetryBudget
    from coursepitch.gateway.crash_detector import CrashDetector
    from coursepitch.gateway.late_starts import LateStarts
    from coursepitch.gateway.load_tracker import LoadTracker
    from coursepitch.gateway.router import Router
    from coursepitch.gateway.send_gate import SendGate
    from coursepitch.gateway.suspicion import SuspicionGate
    from coursepitch.http.client import ConnectionPool

__all__ = ['GatewayComponents']


@dataclass(frozen=True, slots=True)
class GatewayComponents:
    """Components that handlers of all kinds of requests share."""

    session: FleetSession
    router: Router
    load_tracker: LoadTracker
    budget: RetryBudget
    pool: ConnectionPool
    crash_detector: CrashDetector
    suspicion: SuspicionGate
    notices: InstanceNotices
    gate: SendGate
    admission: Admission
    paths: InstancePaths
    clock: Clock
    late_starts: LateStarts
    answer_times: AnswerTimes
    stop_schedule: StopSchedule = field(default_factory=StopSchedule)
