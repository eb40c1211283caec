"""How much of an engine's time a request takes, from the operators' figures."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.config.routes import EngineProfile, ModelProfile
    from coursepitch.platform.headers import RequestFields

__all__ = ['WorkMeter', 'bound_requests', 'estimate_work']

#: Requests that run at once at which the time of a step is shared: about half
#: the slots of the users' engines.
USUAL_BATCH = 8

#: Usual time in seconds to the first event of a request that finds a slot.
#: Source: median of 0.18 to 0.22 s over whole days of requests at 7 to 9 nodes.
FIRST_EVENT_S = 0.22

#: Seconds over which work is averaged.
AVERAGE_S = 4.0


def estimate_work(
    engine: EngineProfile, model: ModelProfile, fields: RequestFields
) -> float:
    """Return the seconds of an instance that a request takes, over its group.

    :param fields: the lengths of prompt and answer, as the client tells them.
    """
    prompt = fields.prompt_tokens or engine.usual_prompt
    answer = fields.expected_tokens or engine.usual_answer
    if fields.answer_tokens:
        answer = min(answer, fields.answer_tokens)
    pairs_m = prompt * prompt / 2e6
    read_s = prompt / engine.read_per_s + pairs_m * engine.pairs_s
    step_s = engine.step_s / USUAL_BATCH + engine.sequence_s
    return (read_s + answer * step_s) * model.pace * model.size


def bound_requests(
    engine: EngineProfile, model: ModelProfile, objective_s: float
) -> int:
    """Return with how many requests in flight a group still begins one in time.

    Beyond its slots, requests wait for others to end; as many may wait as end
    in what the objective leaves beside the usual time to a first event.
    """
    step_s = engine.step_s + engine.slots * engine.sequence_s
    usual_s = engine.usual_answer * step_s * model.pace
    ends_per_s = engine.slots / max(0.05, usual_s)
    waiting = max(0.0, objective_s - FIRST_EVENT_S) * ends_per_s
    return engine.slots + int(waiting)


@dataclass(eq=False)
class WorkMeter:
    """Requests and work that arrive by model; work in instance-seconds a second."""

    clock: Clock
    _rates: dict[str, float] = field(default_factory=dict)
    _requests: dict[str, float] = field(default_factory=dict)
    _seen: dict[str, float] = field(default_factory=dict)

    def note(self, model: str, work_s: float) -> None:
        """Count a request and its work."""
        left = self._left(model)
        self._rates[model] = self._rates.get(model, 0.0) * left + work_s / AVERAGE_S
        self._requests[model] = self._requests.get(model, 0.0) * left + 1 / AVERAGE_S
        self._seen[model] = self.clock()

    def _left(self, model: str) -> float:
        """Return which part of a rate is left since it was noted."""
        return math.exp((self._seen.get(model, 0.0) - self.clock()) / AVERAGE_S)

    def read_requests(self, model: str) -> float:
        """Return the requests a second for a model."""
        return self._requests.get(model, 0.0) * self._left(model)

    def read(self) -> dict[str, float]:
        """Return the present rates."""
        return {model: rate * self._left(model) for model, rate in self._rates.items()}
