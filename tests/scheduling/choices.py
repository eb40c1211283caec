"""Ways to choose a head, compared on the same requests.

``python -m tests.scheduling.choices SCENES SEEDS [CHOICES [FIRST_SEED]]`` prints the
share of requests whose first event is in time, and the difference from the choice by
number of requests with its standard error.
"""

from __future__ import annotations

import functools
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from coursepitch.config.routes import EngineProfile, ModelProfile
from coursepitch.gateway.load_shares import choose_by_shares
from coursepitch.gateway.router import (
    ARRIVALS_FACTOR,
    MAX_ZONE_COST_FACTOR,
)
from tests.scheduling.simulated_heads import Scene, SimulatedHeads

#: Processes of a comparison.
WORKERS = 4

SMALL = ModelProfile('small', 2, 0.4, 0.6, 12.0, 1.1)
LARGE = ModelProfile('large', 16, 0.6, 1.0, 16.0, 1.6)


def build_engine(slots, step_ms, stride, read_per_s):
    """Return the engine of a deployment."""
    return EngineProfile(
        slots=slots,
        kv_tokens=700_000,
        models=(SMALL, LARGE),
        step_s=step_ms / 1000,
        sequence_s=0.000482,
        context_s=0.00000976,
        read_per_s=read_per_s,
        pairs_s=0.0007,
        chunk=2048,
        stride=stride,
        form_s=0.3,
        loads_per_s=4.0,
        loads_at_once=6,
        usual_prompt=1000,
        usual_answer=100,
    )


#: The page's demand, which overloads the heads in bursts.
_SMALL = Scene(
    build_engine(10, 7.8, 6, 45_900.0), SMALL, 74, 45, 222, 674, 2340, 168, 0.253
)
_LARGE = Scene(
    build_engine(15, 5.95, 7, 50_700.0), LARGE, 89, 6, 31, 1600, 5880, 113, 0.304
)
#: The same demand as a mean over times with and without bursts.
_SMALL_MEAN = replace(_SMALL, per_s=163)
_LARGE_MEAN = replace(_LARGE, per_s=23)
_NO_BURST = (1.0, 1.0)

#: Scenes by name.  Peers' loads are 0.4 s old, or 0.25 s in those named ``-fresher``.
SCENES = {
    'small': _SMALL,
    'small-mean': _SMALL_MEAN,
    'small-quiet': replace(_SMALL, bursts=_NO_BURST),
    'large': _LARGE,
    'large-mean': _LARGE_MEAN,
    'large-quiet': replace(_LARGE, bursts=_NO_BURST),
}
_FEW = replace(_SMALL, heads=10, per_s=36)
SCENES |= {
    'one-node': replace(_FEW, nodes=1),
    'two-nodes': replace(_FEW, nodes=2),
    'seven-nodes': replace(_FEW, nodes=7),
}
SCENES |= {
    f'{name}-fresher': replace(scene, delay_s=0.25) for name, scene in SCENES.items()
}


def _list_not_full(choice):
    slots = choice.scene.engine.slots
    return [
        index
        for index, load in enumerate(choice.loads)
        if load.own + load.others < slots
    ]


def choose_by_count(
    choice,
    arrivals=1.0,
    tokens=0.0,
    own=1.0,
    decay=1.0,
    prefers_connected=False,
    only_others=False,
    zones=1.0,
):
    """Choose by the number of requests.

    :param arrivals: factor on the expected arrivals.
    :param tokens: weight of a mean prompt that awaits its first event, in requests.
    :param own: weight of the node's own requests.
    :param decay: weight of other nodes' requests.
    :param zones: factor on the cost of other zones.
    :param only_others: whether the node's own arrivals, which it sees, don't count.
    :param prefers_connected: whether an idle connection decides between equal loads.
    """
    indexes = _list_not_full(choice)
    if not indexes:
        return -1
    if only_others:
        arrivals *= 1 - 1 / choice.scene.nodes
    zones = min(zones, 1 + choice.arrivals * arrivals / len(indexes))
    loads = []
    for index in indexes:
        load = choice.loads[index]
        waiting = (load.own_tokens + load.others_tokens) / choice.scene.prompt
        count = load.own * own + load.others * decay
        loads.append(count + tokens * waiting + choice.costs[index] * zones)
    chosen = choose_by_shares(loads, choice.arrivals * arrivals, choice.random.random())
    if not prefers_connected or indexes[chosen] in choice.connected:
        return indexes[chosen]
    equal = [
        index
        for index, load in zip(indexes, loads, strict=True)
        if load == loads[chosen] and index in choice.connected
    ]
    return choice.random.choice(equal) if equal else indexes[chosen]


def choose_by_first_event(
    choice, arrivals=1.0, decay=1.0, tokens_decay=0.07, fresh=False
):
    """Choose by the predicted first event; the pace is the same at all heads.

    :param tokens_decay: weight of other nodes' prompt tokens.
    :param fresh: whether to use the present loads, and take the least.
    """
    engine = choice.scene.engine
    known = choice.fresh if fresh else choice.loads
    indexes = [
        index
        for index, load in enumerate(known)
        if load.own + load.others < engine.slots
    ]
    if not indexes:
        return -1
    usual = choice.scene.prompt
    per_request_s = 1.5 * engine.stride * engine.sequence_s
    per_request_s += 0.15 * usual / engine.read_per_s
    loads = []
    for index in indexes:
        load = known[index]
        count = load.own + load.others * decay
        tokens = load.own_tokens + load.others_tokens * tokens_decay + choice.prompt
        step_s = engine.step_s + (count + 1) * engine.sequence_s
        step_s += count * usual / 1000 * engine.context_s
        first_s = 1.5 * engine.stride * step_s + tokens / engine.read_per_s
        over = count + 1 - engine.slots
        if over > 0:
            full_s = engine.step_s + engine.slots * engine.sequence_s
            first_s += over * choice.scene.answer * full_s / engine.slots
        loads.append(first_s / per_request_s + choice.costs[index])
    if fresh:
        return indexes[loads.index(min(loads))]
    return indexes[
        choose_by_shares(loads, choice.arrivals * arrivals, choice.random.random())
    ]


def choose_of_two(choice):
    """Choose the less loaded of two random heads."""
    indexes = _list_not_full(choice)
    if not indexes:
        return -1
    return min(
        choice.random.sample(indexes, min(2, len(indexes))),
        key=lambda index: (
            choice.loads[index].own + choice.loads[index].others + choice.costs[index]
        ),
    )


def hold_prompt(choice):
    """Hold a prompt for 20 ms while another of this node awaits its first event."""
    return 0.02 if any(load.own_tokens for load in choice.loads) else 0.0


_by = functools.partial
CHOICES = {
    'count': choose_by_count,
    'arrivals-0.5': _by(choose_by_count, arrivals=0.5),
    'arrivals-1.5': _by(choose_by_count, arrivals=1.5),
    'arrivals-2.7': _by(choose_by_count, arrivals=2.7),
    'arrivals-4': _by(choose_by_count, arrivals=4.0),
    'random': _by(choose_by_count, arrivals=1e6),
    'connected': _by(choose_by_count, arrivals=2.7, prefers_connected=True),
    'chosen': _by(
        choose_by_count,
        arrivals=ARRIVALS_FACTOR,
        prefers_connected=True,
        only_others=True,
        zones=MAX_ZONE_COST_FACTOR,
    ),
    'chosen-zones-1': _by(
        choose_by_count,
        arrivals=ARRIVALS_FACTOR,
        prefers_connected=True,
        only_others=True,
    ),
    'tokens-connected': _by(
        choose_by_count,
        arrivals=2.7,
        prefers_connected=True,
        tokens=1.0,
        only_others=True,
        zones=2.0,
    ),
    'tokens': _by(choose_by_count, tokens=1.0),
    'tokens-2.7': _by(choose_by_count, tokens=1.0, arrivals=2.7),
    'tokens-4': _by(choose_by_count, tokens=1.0, arrivals=4.0),
    'own-3': _by(choose_by_count, own=3.0),
    'own-3-1.5': _by(choose_by_count, own=3.0, arrivals=1.5),
    'decay': _by(choose_by_count, decay=0.67),
    'first-event': choose_by_first_event,
    'first-event-1.5': _by(choose_by_first_event, decay=0.67, arrivals=1.5),
    'first-event-fresh': _by(choose_by_first_event, fresh=True),
    'two': choose_of_two,
    'hold': choose_by_count,
}


def run(scene_name, choice_name, seed):
    """Return what clients got in one run."""
    hold = {'hold': hold_prompt} if choice_name == 'hold' else {}
    heads = SimulatedHeads(SCENES[scene_name], CHOICES[choice_name], seed, **hold)
    return heads.run(seed)


def main(scenes, seeds, names, first_seed):
    """Compare choices and print a line for each."""
    numbers = range(first_seed, first_seed + seeds)
    tasks = [(*pair, seed) for pair in _list_pairs(scenes, names) for seed in numbers]
    with ProcessPoolExecutor(WORKERS) as workers:
        results = dict(
            zip(tasks, workers.map(run, *zip(*tasks, strict=True)), strict=True)
        )
    for scene, name in _list_pairs(scenes, names):
        rows = [results[scene, name, seed] for seed in numbers]
        gains = [
            results[scene, name, seed].in_time - results[scene, 'count', seed].in_time
            for seed in numbers
        ]
        error = statistics.stdev(gains) / len(gains) ** 0.5
        print(
            f'{scene:20} {name:18}'
            f' in time {statistics.mean(row.in_time for row in rows):.4f}'
            f' in bursts {statistics.mean(row.in_time_in_bursts for row in rows):.4f}'
            f' refused {statistics.mean(row.refused for row in rows):.4f}'
            f' reused {statistics.mean(row.reused for row in rows):.3f}'
            f' crossed {statistics.mean(row.crossed for row in rows):.3f}'
            f' gain {statistics.mean(gains):+.4f} +- {error:.4f}'
        )


def _list_pairs(scenes, names):
    return [(scene, name) for scene in scenes for name in names]


if __name__ == '__main__':
    main(
        sys.argv[1].split(','),
        int(sys.argv[2]),
        sys.argv[3].split(',') if len(sys.argv) > 3 else list(CHOICES),
        int(sys.argv[4]) if len(sys.argv) > 4 else 0,
    )
