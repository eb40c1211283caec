"""Promises on changes of the configuration and of settings, and on nodes' processes."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from soak.history import Ending
from soak.verdicts import Finding, Verdict

if TYPE_CHECKING:
    from soak.history import Acknowledged, Call, Exit, History, Reload
    from soak.verdicts import Bounds

__all__ = [
    'check_damaged',
    'check_exits',
    'check_routes',
    'check_settings',
    'check_versions',
]

#: Statuses that tell that a configuration does not allow a call.
DENYING = frozenset({401, 403, 404})


def check_routes(history: History, bounds: Bounds) -> Verdict:
    """Calls are served or denied as a configuration says that may be in force.

    At nodes that are in touch, only the newest that was acknowledged ``config_s``
    before a call, and later ones, may be in force.  No node denies a call that all
    configurations allow.
    """
    looked_at = 0
    findings = []
    ran = {run.call for run in history.runs if run.executed}
    for call in history.calls:
        denied = call.status in DENYING
        if not call.route:
            if denied:
                text = f'{call.status} at {call.node}, all configurations allow it'
                findings.append(Finding(call.id, call.ended_at, text))
            continue
        since = call.sent_at - bounds.config_s
        versions = history.list_versions(since, call.ended_at)
        has_route = {call.route in item.routes for item in versions}
        if len(has_route) != 1 or not _is_in_touch(history, call, bounds):
            continue
        served = call.ending in (Ending.WHOLE, Ending.CUT) or call.id in ran
        looked_at += denied or served
        names = ', '.join(str(item.version) for item in versions)
        if denied and has_route == {True}:
            text = f'{call.status} at {call.node}, versions {names} have its route'
            findings.append(Finding(call.id, call.ended_at, text))
        elif served and has_route == {False}:
            text = f'served by {call.node}, versions {names} lack its route'
            findings.append(Finding(call.id, call.ended_at, text))
    return Verdict('routes', looked_at, tuple(findings))


def _is_in_touch(history: History, call: Call, bounds: Bounds) -> bool:
    since = call.sent_at - bounds.contact_s
    return not any(
        history.was_disturbed(name, since, call.ended_at) for name in ('', call.node)
    )


def check_versions(history: History, bounds: Bounds) -> Verdict:
    """Each configuration is in force on all nodes in time, and the last one in the end.

    Nodes that are out of touch meanwhile have it in the end.  In one life of its
    process, a node never goes back to an older one.
    """
    looked_at = 0
    findings = []
    for node, change in itertools.product(history.nodes, history.configurations):
        until = change.acknowledged_at + bounds.config_s
        since = change.acknowledged_at - bounds.contact_s
        if any(history.was_disturbed(name, since, until) for name in ('', node)):
            continue
        looked_at += 1
        if not _has_in_force(history, node, change, until):
            text = f'version {change.version} not in force within {bounds.config_s} s'
            findings.append(Finding(node, until, text))
    for node in history.nodes if history.configurations else ():
        findings += _check_order(history, node)
        last = history.configurations[-1]
        found = [item.version for item in history.in_force if item.node == node]
        if found[-1:] != [last.version]:
            text = f'version {last.version} not in force in the end, last {found[-1:]}'
            findings.append(Finding(node, last.acknowledged_at, text))
    return Verdict('versions', looked_at, tuple(findings))


def _has_in_force(
    history: History, node: str, change: Acknowledged, until: float
) -> bool:
    """Whether a node has put a version, or a later one, in force by a time."""
    return any(
        item.node == node and item.version >= change.version and item.at <= until
        for item in history.in_force
    )


def _check_order(history: History, node: str) -> list[Finding]:
    starts = [item.at for item in history.started if item.node == node]
    found = [item for item in history.in_force if item.node == node]
    return [
        Finding(node, after.at, f'version {after.version} after {before.version}')
        for before, after in itertools.pairwise(found)
        if after.version <= before.version
        and not any(before.at <= at <= after.at for at in starts)
    ]


def check_damaged(history: History, bounds: Bounds) -> Verdict:
    """Nodes name what is wrong with an invalid configuration.

    Looked at are nodes that are in touch for all of the time in which the store holds
    it, if that is long enough for a change to be in force.
    """
    looked_at = 0
    findings = []
    for node, item in itertools.product(history.nodes, history.damaged):
        since = item.since - bounds.contact_s
        if any(history.was_disturbed(name, since, item.until) for name in ('', node)):
            continue
        reasons = [
            refused.reason
            for refused in history.refused
            if refused.node == node and refused.revision == item.revision
        ]
        if not reasons and item.until - item.since < bounds.config_s:
            continue
        looked_at += 1
        if not any(item.error in reason for reason in reasons):
            text = f'revision {item.revision}, wrong: {item.error}, named: {reasons}'
            findings.append(Finding(node, item.since, text))
    return Verdict('damaged', looked_at, tuple(findings))


def check_settings(history: History, bounds: Bounds) -> Verdict:
    """A running node that gets SIGHUP reads its settings, and refuses invalid ones.

    A process that starts later reads them as it starts.
    """
    looked_at = 0
    findings = []
    for reload in history.reloads:
        if _has_ended_meanwhile(history, reload):
            continue
        looked_at += 1
        if not _was_read(history, reload):
            kind = 'taken' if reload.valid else 'refused'
            text = f'{reload.option} not {kind}'
            findings.append(Finding(reload.node, reload.at, text))
    return Verdict('settings', looked_at, tuple(findings))


def _has_ended_meanwhile(history: History, reload: Reload) -> bool:
    """Whether a node's process ended, or a new one started, after SIGHUP."""
    return any(
        item.node == reload.node and item.since <= reload.until and item.at >= reload.at
        for item in history.exits
    ) or any(
        item.node == reload.node and reload.at <= item.at <= reload.until
        for item in history.started
    )


def _was_read(history: History, reload: Reload) -> bool:
    """Whether a node that got SIGHUP took, or refused, what had changed."""
    reads = [
        item
        for item in history.settings_read
        if item.node == reload.node and item.at >= reload.at
    ]
    if reload.valid:
        return any(reload.option in item.taken for item in reads)
    name = reload.option.rpartition('.')[2]
    return any(name in item.error and not item.taken for item in reads)


def check_exits(history: History, bounds: Bounds) -> Verdict:
    """Processes of nodes end only when they are ended, with the exit code for it."""
    findings = [
        Finding(item.node, item.at, _describe_exit(item))
        for item in history.exits
        if item.code != item.expected
    ]
    looked_at = len(history.exits) + len(history.nodes)
    return Verdict('exits', looked_at, tuple(findings))


def _describe_exit(item: Exit) -> str:
    expected = 'by itself' if item.expected is None else f'instead of {item.expected}'
    return f'ended with {item.code} {expected}'
