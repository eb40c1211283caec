"""Builders of log entries and stories."""

from __future__ import annotations

from coursepitch.report.requests import RequestStory
from coursepitch.timeline import Entry

#: What the end of a request that was answered in time says.
IN_TIME = {
    'route': 'route',
    'kind': 'stream',
    'model': 'large',
    'status': 200,
    'outcome': 'answered',
    'reason': '',
    'took_s': 1.0,
    'objective_s': 0.3,
    'pause_limit_s': 0.2,
    'first_s': 0.2,
    'pause_s': 0.1,
    'held_s': 0.001,
}


def build_event(name, at=1.0, node='n1', **details):
    """Return an event of a log."""
    return Entry('t', (1,), at, node, 600, name, details)


def build_end(request='r1', at=2.0, **details):
    """Return the end of a request that was answered in time."""
    fields = {**IN_TIME, **details}
    return build_event('request.ended', at, request=request, **fields)


def build_story(**changes):
    """Return the story of a request that was answered in time."""
    fields = {'request': 'r1', 'node': 'n1', 'at': 2.0, 'loads': (3,), **IN_TIME}
    fields.update(changes)
    return RequestStory(**fields)


def build_change(instance, at=1.0, **details):
    """Return a change of an instance in no group."""
    fields = {'domain': 'd0', 'group': '', 'rank': 0, 'state': '', 'models': []}
    fields.update(details)
    return build_event('instance.changed', at, instance=instance, **fields)
