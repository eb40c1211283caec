"""What happens next to a replica: a pure decision over its chart."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.control.chart import Chart
    from coursepitch.control.claims import Replica

__all__ = ['Check', 'Limits', 'Order', 'Step', 'decide_step', 'passes_check']


class Order(Enum):
    """An order that a step may send to members."""

    LOAD = 'load'
    RELEASE = 'release'


@dataclass(frozen=True, slots=True)
class Check:
    """What the last check of an instance showed.

    :param answered: whether it answered in time.
    :param failures: checks in a row that it did not answer.
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


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds in seconds and counts on which steps depend.

    :param drain_least_s: time in which all nodes learn that a replica drains;
        requests may still arrive within it.
    """

    load_s: float
    drain_least_s: float
    drain_most_s: float
    failures: int = 3


@dataclass(frozen=True, slots=True)
class Step:
    """An event that fires, or none, and orders to members that lack them."""

    event: str = ''
    order: Order | None = None
    members: tuple[str, ...] = ()


def passes_check(replica: Replica, check: Check | None) -> bool:
    """Return whether an instance serves just what its claim says."""
    return (
        check is not None
        and check.answered
        and check.state == 'ready'
        and check.claim == replica.name
        and check.model == replica.model
        and check.version == replica.version
        and check.adapters == replica.adapters
    )


def decide_step(
    chart: Chart,
    replica: Replica,
    checks: Mapping[str, Check],
    in_state_s: float,
    limits: Limits,
) -> Step:
    """Return what happens next to a replica.

    :param in_state_s: seconds for which it is known to be in its state.
    """
    step = _decide(replica, checks, in_state_s, limits)
    if step.event and chart.next_state(replica.state, step.event) is None:
        return Step()
    return step


def _decide(
    replica: Replica, checks: Mapping[str, Check], in_state_s: float, limits: Limits
) -> Step:
    names = tuple(member.instance for member in replica.members)
    if replica.state == 'releasing':
        return _decide_release(replica, checks, names, limits)
    if _is_lost(replica, checks, names, limits):
        return Step('lost')
    good = [name for name in names if passes_check(replica, checks.get(name))]
    lacking = tuple(name for name in names if name not in good)
    if replica.state == 'claimed':
        return Step('begin')
    if replica.state == 'loading':
        if not lacking:
            return Step('loaded')
        if in_state_s > limits.load_s:
            return Step('late')
        return Step('', Order.LOAD, _list_unordered(replica, checks, lacking))
    if replica.state == 'serving':
        wrong = _list_unordered(replica, checks, lacking)
        return Step('unloaded') if wrong else Step()
    if replica.state == 'draining':
        return _decide_drain(checks, names, in_state_s, limits)
    return Step()


def _is_lost(
    replica: Replica,
    checks: Mapping[str, Check],
    names: tuple[str, ...],
    limits: Limits,
) -> bool:
    for name in names:
        check = checks.get(name)
        if check is None:
            continue
        if not check.answered and check.failures >= limits.failures:
            return True
        if check.state == 'failed' and check.claim == replica.name:
            return True
    return False


def _list_unordered(
    replica: Replica, checks: Mapping[str, Check], names: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the members that answer but neither load nor serve the claim."""
    unordered = []
    for name in names:
        check = checks.get(name)
        if check is None or not check.answered:
            continue
        under_way = check.claim == replica.name and check.state in ('loading', 'ready')
        if not under_way:
            unordered.append(name)
    return tuple(unordered)


def _decide_drain(
    checks: Mapping[str, Check],
    names: tuple[str, ...],
    in_state_s: float,
    limits: Limits,
) -> Step:
    running = sum(checks[name].running for name in names if name in checks)
    all_seen = all(name in checks and checks[name].answered for name in names)
    quiet = all_seen and running == 0 and in_state_s >= limits.drain_least_s
    return Step('drained') if quiet or in_state_s > limits.drain_most_s else Step()


def _decide_release(
    replica: Replica,
    checks: Mapping[str, Check],
    names: tuple[str, ...],
    limits: Limits,
) -> Step:
    """Release members that still hold the claim; done when none does.

    A member that does not answer is given up after a few checks: whatever it
    holds when it comes back, its claim is then gone and it gets no work.
    """
    holding = []
    waiting = False
    for name in names:
        check = checks.get(name)
        if check is None or not check.answered:
            waiting = waiting or check is None or check.failures < limits.failures
        elif check.claim == replica.name:
            holding.append(name)
    if holding:
        return Step('', Order.RELEASE, tuple(holding))
    return Step() if waiting else Step('released')
