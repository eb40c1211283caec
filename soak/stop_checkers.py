"""Promises to the clients of a node that stops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.verdicts import Bounds, Finding, Verdict

if TYPE_CHECKING:
    from soak.history import History, StopCall

__all__ = ['check_stops']


def check_stops(history: History, bounds: Bounds) -> Verdict:
    """A node that stops responds to what it read, and begins nothing it can't finish.

    What instances break off is not counted: a response that has begun is looked at in
    the log of its node, which names the stop as the reason.
    """
    ran = {run.call for run in history.stop_runs if run.executed}
    findings = [
        Finding(call.id, call.ended_at, _describe(call, ran))
        for call in history.stop_calls
        if not call.status
        and (call.id in ran or call.ended_at - call.sent_at > bounds.lost_slack_s)
    ]
    findings += [
        Finding(cut.call, cut.at, f'cut, though it came {cut.after_s} s after SIGTERM')
        for cut in history.stop_cuts
        if cut.after_s > bounds.stop_open_s
    ]
    return Verdict('stops', len(history.stop_calls), tuple(findings))


def _describe(call: StopCall, ran: set[str]) -> str:
    kind = 'ran' if call.id in ran else 'was read'
    held_s = call.ended_at - call.sent_at
    return f'{kind} ({call.shape}) and was closed without a response, {held_s:.2f} s on'
