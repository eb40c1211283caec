"""Builders of test data for runs of requests."""

from __future__ import annotations

from types import SimpleNamespace

from coursepitch.gateway.runs import Run, RunSet
from coursepitch.http.event_splitter import EventSplitter
from tests.fleet.builders import build_instance

#: Reply to a client that waits for it.
WAITING_CLIENT = SimpleNamespace(has_client_left=lambda: False)

#: Times of a node to which no instance has answered lately.
UNKNOWN_TIMES = SimpleNamespace(
    begin=lambda instance: None,
    note_answer=lambda pending: None,
    end=lambda pending: None,
    find_shortest_s=lambda: 0.0,
)


def build_run(name, last_event=b''):
    """Return a run at the group of a head, to begin after an event."""
    return Run(SimpleNamespace(head=build_instance(name)), EventSplitter(last_event))


def build_runs(*names):
    """Return a set with a run at each of these heads, and the runs."""
    runs, found = RunSet(), [build_run(name) for name in names]
    for run in found:
        runs.add(run)
    return runs, found
