"""What goes wrong in a run, drawn from its seed."""

from __future__ import annotations

import enum
import random
import signal
from dataclasses import dataclass

from standins.endless import KINDS, PACES

__all__ = ['SERIES', 'Fault', 'FaultKind', 'draw_plan', 'draw_signals']

#: Seconds between two faults, at least and at most: they overlap.
GAP_S = (0.3, 2.5)

#: Seconds that a fault lasts, at least and at most.
LENGTH_S = (0.3, 4.0)

#: Seconds of the backoffs that instances ask for.
BACKOFFS_S = (0.7, 1.5, 3.0)

#: Seconds for which nodes lose their paths to all instances, and how.
CUT_S = (1.0, 8.0)
CUT_MODES = ('hang', 'reset', 'refuse')

#: Seconds for which a part of prompts ends instances, and from its end to the next one.
PART_S = (4.0, 9.0)
PART_GAP_S = (2.0, 9.0)

#: Where instances break streams off.  Between two events only a reset tells it.
PLACES = ('inside', 'line', 'first', 'between')

#: Seconds from an instance's word that it leaves until it ends.
LEAVING_S = (2.5, 4.0)

#: Seconds for which instances stand still, and from the start of one such time to that
#: of the next one: they overlap.
SILENCE_S = (0.3, 2.5)
SILENCE_GAP_S = (0.3, 5.0)

#: Seconds after all other faults in which instances still stand still at times.
CALM_S = 10.0

#: Share of the instances that stand still; more than 1 stands for all.
SILENT_SHARE = (0.0, 1.5)

#: Seconds for which instances send bytes that are no answer, without end, and from the
#: start of one such time to that of the next one: they overlap.
FLOOD_S = (0.5, 4.0)
FLOOD_GAP_S = (0.5, 7.0)

#: Share of the instances that send such bytes.
FLOODING_SHARE = (0.05, 0.5)

#: Seconds for which a crowd of clients holds on to a node, from the start of one crowd
#: to that of the next one, and what they send: they overlap.
CROWD_S = (0.5, 5.0)
CROWD_GAP_S = (1.0, 9.0)
CROWDS = ('short', 'chunks', 'small chunks', 'too much', 'silent')

#: Signals to nodes in one series, seconds between two of them, and seconds from the
#: start of one series to that of the next one.
SIGNALS = (2, 4)
SIGNAL_GAP_S = (0.05, 1.0)
SERIES_GAP_S = (4.0, 14.0)

#: Signals that follow the one that begins a stop, how many at most, and the seconds in
#: which they come.
FURTHER_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MOST_FURTHER = 4
FURTHER_S = (0.01, 6.0)

#: How often instances stand still because their process is stopped by a signal.
SUSPEND_SHARE = 0.3

#: Seconds between two changes by operators, at least and at most: they come in series
#: and beside all other faults.
CHANGE_GAP_S = (0.1, 2.5)

#: Seconds for which an invalid change stays.  A node refuses requests once nobody has
#: confirmed its configuration for most of ``revoke_s``, and none is confirmed while the
#: store holds an invalid one.
INVALID_S = (0.2, 2.4)

#: How often a change is one of the configuration, and how often it is invalid.
CONFIGURATION_SHARE = 0.6
INVALID_SHARE = 0.15

#: What changes of the configuration concern.
CHANGES = ('timeout', 'route', 'route', 'idle')


#: Mode of signals to nodes that come in a series.
SERIES = 'series'


class FaultKind(enum.Enum):
    """What happens."""

    KILL = 'kill'
    FREEZE = 'freeze'
    STOP = 'stop'
    STORE = 'store'
    BACKOFF = 'backoff'
    LEAVE = 'leave'
    DRAIN = 'drain'
    CRASH = 'crash'
    PATHS = 'paths'
    BREAK = 'break'
    PART = 'part'
    PAUSE = 'pause'
    SUSPEND = 'suspend'
    FLOOD = 'flood'
    CROWD = 'crowd'
    CHANGE = 'change'
    RELOAD = 'reload'
    INVALID_CHANGE = 'invalid change'
    INVALID_RELOAD = 'invalid reload'


#: Signals to nodes in a series: processes that end start again.
SIGNAL_KINDS = (FaultKind.KILL, FaultKind.STOP, FaultKind.FREEZE)

#: How often each kind is drawn.
WEIGHTS = {
    FaultKind.KILL: 2,
    FaultKind.FREEZE: 2,
    FaultKind.STOP: 1,
    FaultKind.STORE: 2,
    FaultKind.BACKOFF: 6,
    FaultKind.LEAVE: 3,
    FaultKind.DRAIN: 2,
    FaultKind.CRASH: 1,
    FaultKind.PATHS: 5,
    FaultKind.BREAK: 4,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param at: seconds from the start of the run.
    :param choice: from 0 to 1; chooses a node, or instances.
    :param share: part of the instances that it concerns, from 0 to 1.
    :param backoff_s: seconds of the backoffs that instances ask for.
    :param mode: how nodes lose their paths, what a change concerns, how fast instances
        send bytes without end, what a crowd sends, or :data:`SERIES` for a signal
        that is one of a series.
    :param place: where instances break streams off, or what has no end.
    """

    at: float
    kind: FaultKind
    length_s: float
    service: str
    choice: float
    share: float
    backoff_s: float
    mode: str
    place: str


def draw_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, in their order."""
    chance = random.Random(seed)
    faults = []
    at = chance.uniform(*GAP_S)
    while at < seconds:
        kind = chance.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        lengths = {
            FaultKind.LEAVE: LEAVING_S,
            FaultKind.DRAIN: LEAVING_S,
            FaultKind.PATHS: CUT_S,
        }
        faults.append(
            Fault(
                at,
                kind,
                chance.uniform(*lengths.get(kind, LENGTH_S)),
                chance.choice(('pool', 'api')),
                chance.random(),
                chance.random(),
                chance.choice(BACKOFFS_S),
                chance.choice(CUT_MODES),
                chance.choice(PLACES),
            )
        )
        at += chance.uniform(*GAP_S)
    faults += _draw_parts(seed, seconds)
    faults += _draw_silences(seed, seconds + CALM_S)
    faults += _draw_floods(seed, seconds)
    faults += _draw_crowds(seed, seconds)
    faults += _draw_changes(seed, seconds + CALM_S)
    faults += _draw_signals(seed, seconds)
    return sorted(faults, key=lambda fault: fault.at)


def draw_signals(seed: int, fault: Fault) -> list[tuple[float, signal.Signals]]:
    """Return the signals that follow the one that begins a stop.

    :return: of each, the seconds after that one, in their order.
    """
    chance = random.Random(f'{seed}/further/{fault.at}')
    count = chance.randint(0, MOST_FURTHER)
    return sorted(
        (chance.uniform(*FURTHER_S), chance.choice(FURTHER_SIGNALS))
        for _ in range(count)
    )


def _draw_parts(seed: int, seconds: float) -> list[Fault]:
    """Return the times in which a part of prompts ends instances, one after the other.

    They are drawn apart, so that a seed draws the same other faults as without them.
    """
    chance = random.Random(f'{seed}/parts')
    faults = []
    at = chance.uniform(*PART_GAP_S)
    while at < seconds:
        length_s = chance.uniform(*PART_S)
        fault = Fault(
            at, FaultKind.PART, length_s, 'pool', chance.random(), 0.0, 0.0, '', ''
        )
        faults.append(fault)
        at += length_s + chance.uniform(*PART_GAP_S)
    return faults


def _draw_silences(seed: int, seconds: float) -> list[Fault]:
    """Return the times in which instances stand still and then go on.

    They are drawn apart, so that a seed draws the same other faults as without them.
    """
    chance = random.Random(f'{seed}/silences')
    faults = []
    at = chance.uniform(*SILENCE_GAP_S)
    while at < seconds:
        suspended = chance.random() < SUSPEND_SHARE
        fault = Fault(
            at,
            FaultKind.SUSPEND if suspended else FaultKind.PAUSE,
            chance.uniform(*SILENCE_S),
            chance.choice(('pool', 'api')),
            chance.random(),
            min(1.0, chance.uniform(*SILENT_SHARE)),
            0.0,
            '',
            '',
        )
        faults.append(fault)
        at += chance.uniform(*SILENCE_GAP_S)
    return faults


def _draw_floods(seed: int, seconds: float) -> list[Fault]:
    """Return the times in which instances send bytes that are no answer, without end.

    They are drawn apart, so that a seed draws the same other faults as without them.
    """
    chance = random.Random(f'{seed}/floods')
    faults = []
    at = chance.uniform(*FLOOD_GAP_S)
    while at < seconds:
        fault = Fault(
            at,
            FaultKind.FLOOD,
            chance.uniform(*FLOOD_S),
            chance.choice(('pool', 'api')),
            chance.random(),
            chance.uniform(*FLOODING_SHARE),
            0.0,
            chance.choice(PACES),
            chance.choice(KINDS),
        )
        faults.append(fault)
        at += chance.uniform(*FLOOD_GAP_S)
    return faults


def _draw_crowds(seed: int, seconds: float) -> list[Fault]:
    """Return the times in which clients that keep to no limit hold on to a node.

    They are drawn apart, so that a seed draws the same other faults as without them.
    """
    chance = random.Random(f'{seed}/crowds')
    faults = []
    at = chance.uniform(*CROWD_GAP_S)
    while at < seconds:
        fault = Fault(
            at,
            FaultKind.CROWD,
            chance.uniform(*CROWD_S),
            '',
            chance.random(),
            0.0,
            0.0,
            chance.choice(CROWDS),
            '',
        )
        faults.append(fault)
        at += chance.uniform(*CROWD_GAP_S)
    return faults


def _draw_changes(seed: int, seconds: float) -> list[Fault]:
    """Return the changes of the configuration and of nodes' settings by operators.

    They are drawn apart, so that a seed draws the same other faults as without them.
    """
    chance = random.Random(f'{seed}/changes')
    faults = []
    at = chance.uniform(*CHANGE_GAP_S)
    while at < seconds:
        configuration = chance.random() < CONFIGURATION_SHARE
        valid = chance.random() >= INVALID_SHARE
        kind = FaultKind.CHANGE if configuration else FaultKind.RELOAD
        if not valid:
            kind = FaultKind(f'invalid {kind.value}')
        fault = Fault(
            at,
            kind,
            chance.uniform(*INVALID_S),
            '',
            chance.random(),
            chance.random(),
            0.0,
            chance.choice(CHANGES) if configuration else '',
            '',
        )
        faults.append(fault)
        at += chance.uniform(*CHANGE_GAP_S)
    return faults


def _draw_signals(seed: int, seconds: float) -> list[Fault]:
    """Return series of signals to nodes, whose effects overlap.

    They are drawn apart, so that a seed draws the same other faults as without them.
    """
    chance = random.Random(f'{seed}/signals')
    faults = []
    start = chance.uniform(*SERIES_GAP_S)
    while start < seconds:
        at = start
        for _ in range(chance.randint(*SIGNALS)):
            fault = Fault(
                at,
                chance.choice(SIGNAL_KINDS),
                chance.uniform(*LENGTH_S),
                '',
                chance.random(),
                0.0,
                0.0,
                SERIES,
                '',
            )
            faults.append(fault)
            at += chance.uniform(*SIGNAL_GAP_S)
        start += chance.uniform(*SERIES_GAP_S)
    return faults
