"""Decide the next life cycle step of a replica, without side effects."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.control.chart import Chart
    from coursepitch.control.claims import Replica

__all__ = [
    'HealthCheck',
    'LifecycleLimits',
    'Order',
    'Step',
    'add_check',
    'decide_step',
    'is_only_silent',
    'passes_check',
]


class Order(Enum):
    """An order that can be sent to members."""

    LOAD = 'load'
    RELEASE = 'release'


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Result of the last health check of an instance.

    :param answered: whether the instance answered in time.
    :param failures: number of consecutive checks that were refused or answered wrongly.
    :param silent_s: seconds waited in consecutive checks that timed out.
    :param claim: name of the claim that the instance reports.
    :param epoch: epoch that the instance reports.
    :param running: requests in progress.
    """

    answered: bool
    failures: int = 0
    state: str = ''
    claim: str = ''
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    epoch: int = 0
    running: int = 0
    silent_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LifecycleLimits:
    """Time limits and thresholds for life cycle steps.

    :param max_load_s: maximum seconds for loading.
    :param min_drain_s: minimum seconds for draining; requests may still arrive
        until all nodes know that the replica drains.
    :param max_drain_s: maximum seconds for draining.
    :param max_silent_s: seconds of silence after which an instance counts as lost.
    :param max_failures: consecutive failed checks after which an instance counts as
        lost.
    """

    max_load_s: float
    min_drain_s: float
    max_drain_s: float
    max_silent_s: float = 5.0
    max_failures: int = 3


@dataclass(frozen=True, slots=True)
class Step:
    """A life cycle event, or an order for some members, or neither.

    :param event: event to apply to the chart; empty for none.
    :param members: instances that the order is sent to.
    """

    event: str = ''
    order: Order | None = None
    members: tuple[str, ...] = ()


def add_check(before: HealthCheck | None, check: HealthCheck) -> HealthCheck:
    """Return a check with the failures and the silence of those before it."""
    if check.answered or before is None:
        return check
    return replace(
        check,
        failures=before.failures + check.failures,
        silent_s=before.silent_s + check.silent_s,
    )


def passes_check(replica: Replica, check: HealthCheck | None) -> bool:
    """Return whether an instance serves exactly what the replica specifies."""
    return (
        check is not None
        and check.answered
        and check.state == 'ready'
        and check.claim == replica.name
        and check.model == replica.model
        and check.version == replica.version
        and check.adapters == replica.adapters
    )


def is_only_silent(check: HealthCheck | None) -> bool:
    """Return whether an instance did not answer in time, and nothing else is known."""
    return check is not None and not check.answered and not check.failures


def decide_step(
    chart: Chart,
    replica: Replica,
    checks: Mapping[str, HealthCheck],
    in_state_s: float,
    limits: LifecycleLimits,
) -> Step:
    """Return the next step for a replica.

    :param checks: last check of each instance, by name.
    :param in_state_s: seconds since this node first saw the replica in its current
        state.
    """
    step = _choose_step(replica, checks, in_state_s, limits)
    if step.event and chart.next_state(replica.state, step.event) is None:
        return Step()
    return step


def _choose_step(
    replica: Replica,
    checks: Mapping[str, HealthCheck],
    in_state_s: float,
    limits: LifecycleLimits,
) -> Step:
    names = tuple(member.instance for member in replica.members)
    if replica.state == 'releasing':
        return _choose_release_step(replica, checks, names, limits)
    if _is_lost(replica, checks, names, limits):
        return Step('lost')
    passing = [name for name in names if passes_check(replica, checks.get(name))]
    not_passing = tuple(name for name in names if name not in passing)
    if replica.state == 'claimed':
        return Step('begin')
    if replica.state == 'loading':
        if not not_passing:
            return Step('loaded')
        if in_state_s > limits.max_load_s:
            return Step('late')
        return Step('', Order.LOAD, _list_not_loading(replica, checks, not_passing))
    if replica.state == 'serving':
        to_reload = _list_not_loading(replica, checks, not_passing)
        return Step('unloaded') if to_reload else Step()
    if replica.state == 'draining':
        return _choose_drain_step(checks, names, in_state_s, limits)
    return Step()


def _is_lost(
    replica: Replica,
    checks: Mapping[str, HealthCheck],
    names: tuple[str, ...],
    limits: LifecycleLimits,
) -> bool:
    for name in names:
        check = checks.get(name)
        if check is None:
            continue
        if _is_given_up(check, limits):
            return True
        if check.state == 'failed' and check.claim == replica.name:
            return True
    return False


def _is_given_up(check: HealthCheck, limits: LifecycleLimits) -> bool:
    """Return whether an instance counts as lost.

    Silence proves no failure, so it counts only after the time that is set for it.
    """
    if check.answered:
        return False
    return (
        check.failures >= limits.max_failures or check.silent_s >= limits.max_silent_s
    )


def _list_not_loading(
    replica: Replica, checks: Mapping[str, HealthCheck], names: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the members that respond but neither load nor serve the claim."""
    not_loading = []
    for name in names:
        check = checks.get(name)
        if check is None or not check.answered:
            continue
        loading_or_ready = check.claim == replica.name and check.state in (
            'loading',
            'ready',
        )
        if not loading_or_ready:
            not_loading.append(name)
    return tuple(not_loading)


def _choose_drain_step(
    checks: Mapping[str, HealthCheck],
    names: tuple[str, ...],
    in_state_s: float,
    limits: LifecycleLimits,
) -> Step:
    running = sum(checks[name].running for name in names if name in checks)
    all_answered = all(name in checks and checks[name].answered for name in names)
    idle = all_answered and running == 0 and in_state_s >= limits.min_drain_s
    return Step('drained') if idle or in_state_s > limits.max_drain_s else Step()


def _choose_release_step(
    replica: Replica,
    checks: Mapping[str, HealthCheck],
    names: tuple[str, ...],
    limits: LifecycleLimits,
) -> Step:
    """Release members until none reports the claim.

    A member that counts as lost is no longer waited for.  If it comes back with the
    claim still loaded, it gets no requests, because the claim no longer exists.
    """
    holding = []
    waiting = False
    for name in names:
        check = checks.get(name)
        if check is None or not check.answered:
            waiting = waiting or check is None or not _is_given_up(check, limits)
        elif check.claim == replica.name:
            holding.append(name)
    if holding:
        return Step('', Order.RELEASE, tuple(holding))
    return Step() if waiting else Step('released')
