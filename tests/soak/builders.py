"""Builders of recorded runs."""

from __future__ import annotations

from soak.history import Acknowledged, Call, Ending, History, Run, Silence


def build_call(name='c', sent_at=10.0, ending=Ending.WHOLE, **fields):
    """Return a call that was answered as it should be."""
    values = {
        'service': 'pool',
        'key': 'k',
        'ended_at': sent_at + 1.0,
        'answered_for': name if ending is Ending.WHOLE else '',
        'events': (1, 2, 3) if ending is Ending.WHOLE else (),
        'expected': 3,
    }
    return Call(id=name, sent_at=sent_at, ending=ending, **{**values, **fields})


def build_run(call='c', instance='i', arrived_at=10.1, **fields):
    """Return the arrival of a call at an instance."""
    return Run(call, instance, fields.pop('service', 'pool'), arrived_at, **fields)


def build_silent_history(call, instance='i', silent='i', **fields):
    """Return the history of a call at an instance, while one stands still for a second.

    :param silent: instance that stands still.
    """
    run = build_run(call.id, instance, call.sent_at + 0.1, service=call.service)
    silence = Silence(call.service, frozenset({silent}), 10.2, 11.2)
    return History((call,), **{'runs': (run,), 'silences': (silence,), **fields})


def build_versions(*versions):
    """Return configurations with and without the route ``r``, a second to write each.

    :param versions: of each, when the store acknowledged it, and whether it has the
        route.
    """
    return tuple(
        Acknowledged(
            number,
            at,
            sent_at=at - 1.0,
            routes=frozenset({'r'} if has_route else ()),
        )
        for number, (at, has_route) in enumerate(versions, 1)
    )
