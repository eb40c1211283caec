"""Promises as functions over what was recorded of a run.

Each returns how many records it looked at: one that looked at none has proved nothing.
"""

from __future__ import annotations

import bisect
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from soak.change_checkers import (
    check_damaged,
    check_exits,
    check_routes,
    check_settings,
    check_versions,
)
from soak.crowd_checkers import check_memory
from soak.history import Ending
from soak.stop_checkers import check_stops
from soak.verdicts import Bounds, Finding, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from collections.abc import Set as AbstractSet

    from soak.history import Call, History, Run

__all__ = ['CHECKERS', 'Bounds', 'Finding', 'Verdict', 'check_all']


def check_own_answers(history: History, bounds: Bounds) -> Verdict:
    """Each caller gets the answer to its own request."""
    answered = [call for call in history.calls if call.answered_for]
    findings = [
        Finding(call.id, call.ended_at, f'got the answer to {call.answered_for}')
        for call in answered
        if call.answered_for != call.id
    ]
    return Verdict('own answers', len(answered), tuple(findings))


def check_events(history: History, bounds: Bounds) -> Verdict:
    """Events come once and in order, and a whole answer has all its events or bytes."""
    findings = []
    looked_at = 0
    for call in history.calls:
        looked_at += bool(call.expected)
        if call.ending is Ending.WHOLE and call.short:
            findings.append(Finding(call.id, call.ended_at, 'ended before its end'))
        elif not call.expected:
            continue
        elif call.events != tuple(range(1, len(call.events) + 1)):
            findings.append(Finding(call.id, call.ended_at, 'an event is out of place'))
        elif call.ending is Ending.WHOLE and len(call.events) < call.expected:
            findings.append(Finding(call.id, call.ended_at, 'ended before its last'))
    return Verdict('events', looked_at, tuple(findings))


def check_runs_once(history: History, bounds: Bounds) -> Verdict:
    """What may not be repeated runs once at most."""
    once = {call.id for call in history.calls if not call.repeatable}
    runs = Counter(run.call for run in history.runs if run.executed)
    findings = [
        Finding(run.call, run.arrived_at, f'ran {runs[run.call]} times')
        for run in {run.call: run for run in history.runs}.values()
        if run.call in once and runs[run.call] > 1
    ]
    return Verdict('runs once', len(once), tuple(findings))


def check_refusals(history: History, bounds: Bounds) -> Verdict:
    """A call that was told that it has not run never ran, nor will."""
    refused = {call.id for call in history.calls if call.ending is Ending.NOT_RUN}
    findings = [
        Finding(run.call, run.arrived_at, f'ran on {run.instance}, told not run')
        for run in history.runs
        if run.executed and run.call in refused
    ]
    return Verdict('refusals', len(refused), tuple(findings))


def check_leaving(history: History, bounds: Bounds) -> Verdict:
    """Instances that left get nothing after the time that users allow."""
    left = {item.instance: item.acknowledged_at for item in history.left}
    nodes = {call.id: call.node for call in history.calls}
    calls = history.map_calls()

    def is_excused(run: Run) -> bool:
        call = calls.get(run.call)
        if call is not None and history.may_be_held_up(run, call):
            return True
        since = left[run.instance] - bounds.contact_s
        return any(
            history.was_disturbed(node, since, run.arrived_at)
            for node in ('', nodes.get(run.call, ''))
        )

    findings = [
        Finding(
            run.call,
            run.arrived_at,
            f'{run.arrived_at - left[run.instance]:.3f} s after {run.instance} left',
        )
        for run in history.runs
        if run.instance in left
        and run.arrived_at > left[run.instance] + bounds.drain_s
        and not is_excused(run)
    ]
    return Verdict('leaving', len(left), tuple(findings))


def check_backoffs(history: History, bounds: Bounds) -> Verdict:
    """An instance gets next to nothing from a node while it asked it for a backoff."""
    calls = history.map_calls()
    looked_at = 0
    findings = []
    for (node, instance), runs in _group_runs(history).items():
        for asked in runs:
            if history.may_be_held_up(asked, calls[asked.call]):
                continue
            first = asked.arrived_at + bounds.under_way_s
            last = asked.arrived_at + asked.backoff_s
            if last <= first or history.was_disturbed(node, asked.arrived_at, last):
                continue
            looked_at += 1
            count = sum(
                first < run.arrived_at < last
                and not history.may_have_met_silence(run, calls[run.call])
                for run in runs
            )
            if count > bounds.most_in_backoff:
                text = f'{count} requests of {node} in a backoff of {asked.backoff_s} s'
                findings.append(Finding(instance, asked.arrived_at, text))
    return Verdict('backoffs', looked_at, tuple(findings))


def check_told_leaving(history: History, bounds: Bounds) -> Verdict:
    """A node that passed on that an instance leaves sends it nothing much later."""
    calls = history.map_calls()
    looked_at = 0
    findings = []
    for (node, instance), runs in _group_runs(history).items():
        # A request that arrives after its call has ended was answered by another run.
        told = [
            calls[run.call]
            for run in runs
            if run.told_leaving and run.arrived_at <= calls[run.call].ended_at
        ]
        passed = [call.ended_at for call in told if call.ending is Ending.WHOLE]
        if not passed:
            continue
        looked_at += 1
        known_at = min(passed)
        for run in runs:
            sent_at = calls[run.call].sent_at
            late = sent_at > known_at + bounds.drain_s
            if late and not history.was_disturbed(node, known_at, run.arrived_at):
                text = (
                    f'sent {sent_at - known_at:.3f} s after {node} knew that it leaves'
                )
                findings.append(Finding(instance, run.arrived_at, text))
    return Verdict('told leaving', looked_at, tuple(findings))


def _group_runs(history: History) -> dict[tuple[str, str], list[Run]]:
    """Return the arrivals by the node that sent them and the instance."""
    nodes = {call.id: call.node for call in history.calls}
    groups: dict[tuple[str, str], list[Run]] = defaultdict(list)
    for run in history.runs:
        if run.call in nodes:
            groups[nodes[run.call], run.instance].append(run)
    return groups


def check_keys(history: History, bounds: Bounds) -> Verdict:
    """Keys that were taken away run nothing after the time that users allow."""
    gone_at = _find_keys_gone(history)
    calls = history.map_calls()
    findings = []
    for run in history.runs:
        call = calls.get(run.call)
        if call is None or call.key not in gone_at or not run.executed:
            continue
        if call.sent_at > gone_at[call.key] + bounds.revoke_s:
            text = f'sent {call.sent_at - gone_at[call.key]:.3f} s after its key went'
            findings.append(Finding(call.id, run.arrived_at, text))
    return Verdict('keys', len(gone_at), tuple(findings))


def _find_keys_gone(history: History) -> dict[str, float]:
    """Return when each key was taken away that did not come back."""
    gone_at: dict[str, float] = {}
    held: frozenset[str] = frozenset()
    for item in history.configurations:
        for key in held - item.keys:
            gone_at[key] = item.acknowledged_at
        for key in item.keys:
            gone_at.pop(key, None)
        held = item.keys
    return gone_at


def check_second_sends(history: History, bounds: Bounds) -> Verdict:
    """Second sends of all nodes stay within the budget in any window.

    The calls are counted in whichever window has most of them: this one, the one
    before it, or the one half a window before it.
    """
    looked_at = 0
    findings = []
    for service, again in sorted(_list_second_sends(history).items()):
        looked_at += len(again)
        sent = sorted(
            call.sent_at
            for call in history.calls
            if call.service == service and call.ending is not Ending.DENIED
        )
        for place, start in enumerate(again):
            end = start + bounds.retry_window_s
            count = bisect.bisect_left(again, end) - place
            calls = _count_calls(sent, start, bounds.retry_window_s)
            most = bounds.retry_ratio * calls + bounds.retry_extra
            if count > most:
                text = f'{count} second sends for {calls} calls, {most:.0f} allowed'
                findings.append(Finding(service, start, text))
                break
    return Verdict('second sends', looked_at, tuple(findings))


def _list_second_sends(history: History) -> dict[str, list[float]]:
    """Return the times of arrivals beyond the first of each call, by service."""
    seen: set[str] = set()
    again: dict[str, list[float]] = defaultdict(list)
    for run in sorted(history.runs, key=lambda item: item.arrived_at):
        if run.call in seen:
            again[run.service].append(run.arrived_at)
        seen.add(run.call)
    return again


def _count_calls(sent: Sequence[float], start: float, window_s: float) -> int:
    def count(begin: float) -> int:
        end = bisect.bisect_left(sent, begin + window_s)
        return end - bisect.bisect_left(sent, begin)

    return max(count(start - back * window_s) for back in (0.0, 0.5, 1.0))


def check_cut_off(history: History, bounds: Bounds) -> Verdict:
    """Calls at nodes without paths to the instances are served as elsewhere.

    Counted from ``contact_s`` after the start of a cut, at nodes that no other fault
    concerns, and only while some nodes have their paths.
    """
    looked_at = 0
    findings = []
    total_cuts = history.list_total_cuts()
    for cut in history.cuts:
        since = max(cut.since, cut.in_force_at) + bounds.contact_s
        if history.was_disturbed('', cut.since, cut.until):
            continue
        groups: dict[bool, list[Call]] = {True: [], False: []}
        for call in history.calls:
            if call.ending is Ending.DENIED:
                continue
            if not since <= call.sent_at or not call.ended_at <= cut.until:
                continue
            if history.was_disturbed(call.node, cut.since, call.ended_at):
                continue
            if any(
                begun <= call.ended_at and call.sent_at <= ended + bounds.contact_s
                for begun, ended in total_cuts
            ):
                continue
            cut_off = call.node in cut.nodes
            others = [item for item in history.cuts if call.node in item.nodes]
            if cut_off or not any(
                item.since <= call.ended_at
                and item.until >= call.sent_at - bounds.contact_s
                for item in others
            ):
                groups[cut_off].append(call)
        if not groups[False] or not groups[True]:
            continue
        looked_at += len(groups[True])
        served = {key: _count_whole(calls) for key, calls in groups.items()}
        failed = len(groups[True]) - served[True]
        share = served[False] / len(groups[False]) * bounds.cut_off_share
        most = bounds.cut_off_failures + len(groups[True]) / bounds.calls_per_failure
        if served[True] / len(groups[True]) < share and failed > most:
            text = (
                f'{served[True]} of {len(groups[True])} calls served, at the others '
                f'{served[False]} of {len(groups[False])}'
            )
            findings.append(Finding(', '.join(sorted(cut.nodes)), since, text))
    return Verdict('cut off', looked_at, tuple(findings))


def check_crashing_parts(history: History, bounds: Bounds) -> Verdict:
    """Calls with a part that ended instances reach next to no further ones.

    Arrivals of nodes that were in trouble shortly before are left out, and those that
    may have been held up on a path.
    """
    calls = history.map_calls()
    parts = {call.part for call in history.calls if call.part}
    looked_at = 0
    findings = []
    for part in sorted(parts):
        ends = [
            end.at
            for end in history.ends
            if end.call in calls and calls[end.call].part == part
        ]
        looked_at += bool(ends)
        if len(ends) < bounds.counted_ends:
            continue
        known_at = ends[bounds.counted_ends - 1] + bounds.contact_s
        late = [
            run
            for run in history.runs
            if run.arrived_at > known_at
            and run.call in calls
            and calls[run.call].part == part
            and not history.may_be_held_up(run, calls[run.call])
            and not any(
                history.was_disturbed(
                    node, run.arrived_at - bounds.contact_s, run.arrived_at
                )
                for node in ('', calls[run.call].node)
            )
        ]
        if len(late) > bounds.late_arrivals:
            text = f'{len(late)} calls reached instances, {len(ends)} ended'
            findings.append(Finding(part, late[0].arrived_at, text))
    return Verdict('crashing parts', looked_at, tuple(findings))


def check_silences(history: History, bounds: Bounds) -> Verdict:
    """Calls whose instances only stand still are answered whole, or refused.

    Left out are calls whose limit the silences leave no time for, those that another
    fault concerns, at their node, on its paths or at their instances, and those that
    the configuration denies, see :func:`check_routes`.
    """
    looked_at = 0
    findings = []
    instances = _group_instances(history)
    for call in _list_silent_calls(history, bounds, instances):
        ran_at = instances[call.id]
        silent = {
            name
            for silence in history.list_silences(call)
            for name in ran_at & silence.instances
        }
        if call.ending is Ending.NOT_RUN:
            continue
        is_whole = call.ending is Ending.WHOLE
        looked_at += bool(silent) or not is_whole
        if not is_whole:
            text = (
                f'{call.ending.value}, status {call.status}, after '
                f'{call.ended_at - call.sent_at:.3f} s at {call.node}, ran at '
                f'{sorted(ran_at)}, silent {sorted(silent)}'
            )
            findings.append(Finding(call.id, call.ended_at, text))
    return Verdict('silences', looked_at, tuple(findings))


def check_silence_refusals(history: History, bounds: Bounds) -> Verdict:
    """Few calls are refused because instances stand still, or did shortly before.

    Left out are calls that :func:`check_silences` leaves out, those of times in which
    the store was in trouble or instances ended, and those near a backoff.
    """
    instances = _group_instances(history)
    backoffs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for run in history.runs:
        if run.backoff_s:
            until = run.arrived_at + run.backoff_s + bounds.contact_s
            backoffs[run.service].append((run.arrived_at, until))
    counted: dict[str, list[Call]] = defaultdict(list)
    silent_calls = _list_silent_calls(history, bounds, instances, bounds.contact_s)
    for call in silent_calls:
        since = call.sent_at - bounds.contact_s
        if history.was_disturbed('', since, call.ended_at):
            continue
        if any(
            begun <= call.ended_at and since <= until
            for begun, until in backoffs[call.service]
        ):
            continue
        if _has_lost_instance(history, call, since):
            continue
        counted[call.service].append(call)
    findings = []
    for service, calls in sorted(counted.items()):
        refused = [call for call in calls if call.ending is Ending.NOT_RUN]
        most = bounds.silent_refused_share * len(calls) + bounds.silent_refusals
        if len(refused) > most:
            text = f'{len(refused)} of {len(calls)} calls refused, {most:.0f} allowed'
            findings.append(Finding(service, refused[0].ended_at, text))
    looked_at = sum(map(len, counted.values()))
    return Verdict('silence refusals', looked_at, tuple(findings))


def check_floods(history: History, bounds: Bounds) -> Verdict:
    """Bytes without end at some instances concern nobody else, and hold no call.

    Calls that met sound instances only are answered whole, or refused, and all calls
    end by their limit.  Left out are those that another fault concerns, and, of the
    former, those beside a silence of instances.
    """
    looked_at = 0
    findings = []
    instances, sent_to = _group_instances(history), _group_sent(history)
    for call in history.calls:
        floods = history.list_floods(call)
        if not floods or call.ending is Ending.DENIED:
            continue
        ran_at = instances[call.id]
        flooded = frozenset().union(*(flood.instances for flood in floods))
        if _is_disturbed(history, call, ran_at - flooded, bounds):
            continue
        looked_at += 1
        limit_s = history.find_latest_limit_s(call, bounds.config_s + bounds.contact_s)
        took_s = call.ended_at - call.sent_at
        met = ran_at | sent_to[call.id]
        is_sound = not (met & flooded or history.list_silences(call))
        if took_s > limit_s + bounds.late_s:
            what = 'went on after its limit'
        elif is_sound and call.ending not in (Ending.WHOLE, Ending.NOT_RUN):
            what = 'met sound instances only'
        else:
            continue
        text = (
            f'{what}: {call.ending.value}, status {call.status}, after {took_s:.3f} s '
            f'at {call.node}, ran at {sorted(ran_at)}'
        )
        findings.append(Finding(call.id, call.ended_at, text))
    return Verdict('floods', looked_at, tuple(findings))


def _group_instances(history: History) -> dict[str, set[str]]:
    """Return the instances at which each call arrived."""
    instances: dict[str, set[str]] = defaultdict(set)
    for run in history.runs:
        instances[run.call].add(run.instance)
    return instances


def _group_sent(history: History) -> dict[str, set[str]]:
    """Return the instances to which nodes sent each call.

    What an instance sent on a connection before may come in place of the answer to a
    call that it never read.
    """
    instances: dict[str, set[str]] = defaultdict(set)
    for item in history.sent:
        instances[item.call].add(item.instance)
    return instances


def _list_silent_calls(
    history: History,
    bounds: Bounds,
    instances: dict[str, set[str]],
    after_s: float = 0.0,
) -> list[Call]:
    """Return the calls that only a silence of instances concerns.

    :param after_s: seconds after a silence in which calls count as well.
    """
    sent_to = _group_sent(history)
    return [
        call
        for call in history.calls
        if call.ending is not Ending.DENIED
        and history.list_silences(call, after_s)
        and _has_time(history, call, bounds)
        and not _is_disturbed(
            history, call, instances[call.id], bounds, sent_to[call.id]
        )
    ]


def _has_time(history: History, call: Call, bounds: Bounds) -> bool:
    """Whether silences leave a call the time that an answer takes."""
    limit_s = history.find_limit_s(call, bounds.config_s + bounds.contact_s)
    return history.measure_silence(call, limit_s) + bounds.answer_s <= limit_s


def _is_disturbed(
    history: History,
    call: Call,
    instances: set[str],
    bounds: Bounds,
    sent_to: AbstractSet[str] = frozenset(),
) -> bool:
    """Whether a fault other than a silence concerns a call.

    :param instances: those at which it arrived.
    :param sent_to: those to which nodes sent it.
    """
    since = call.sent_at - bounds.contact_s
    return (
        bool(call.part)
        or history.was_disturbed(call.node, since, call.ended_at)
        or history.was_closed_unread(call, bounds.contact_s)
        or any(
            call.node in cut.nodes and cut.since <= call.ended_at and since <= cut.until
            for cut in history.cuts
        )
        or any(
            instances & item.instances
            and item.since <= call.ended_at
            and call.sent_at <= item.until
            for item in history.broken
        )
        or any(
            (instances | sent_to) & item.instances
            for item in history.list_floods(call)
            if not item.spares_answers
        )
        or _has_lost_instance(history, call, call.sent_at - bounds.under_way_s)
    )


def _has_lost_instance(history: History, call: Call, since: float) -> bool:
    """Whether an instance of a call's service ended from a time to the call's end."""
    return any(
        item.service == call.service and since <= item.at <= call.ended_at
        for item in history.gone
    )


def _count_whole(calls: Sequence[Call]) -> int:
    return sum(call.ending is Ending.WHOLE for call in calls)


#: All checkers, in the order in which a run reports them.
CHECKERS: tuple[Callable[[History, Bounds], Verdict], ...] = (
    check_own_answers,
    check_events,
    check_runs_once,
    check_refusals,
    check_leaving,
    check_backoffs,
    check_told_leaving,
    check_keys,
    check_second_sends,
    check_cut_off,
    check_crashing_parts,
    check_silences,
    check_silence_refusals,
    check_floods,
    check_routes,
    check_versions,
    check_damaged,
    check_settings,
    check_exits,
    check_stops,
    check_memory,
)


def check_all(history: History, bounds: Bounds) -> tuple[Verdict, ...]:
    """Return what each checker finds."""
    return tuple(check(history, bounds) for check in CHECKERS)
