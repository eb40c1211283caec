"""Estimates of the engine time of requests, from the configured engine profile."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.clock import Clock
    from coursepitch.config.routes import EngineProfile, ModelProfile
    from coursepitch.platform.headers import RequestFields

__all__ = ['WorkMeter', 'estimate_tokens', 'estimate_work', 'find_max_in_flight']

#: Number of concurrent requests assumed to share a step: about half the slots of
#: users' engines.
TYPICAL_BATCH_SIZE = 8

#: Usual time in seconds to the first event of a request that gets a free slot.
#: Source: medians of 0.18 to 0.22 s over whole days of requests with 7 to 9 nodes.
USUAL_FIRST_EVENT_S = 0.22

#: Time constant in seconds of the moving average of work.
AVERAGING_S = 4.0


def estimate_work(
    engine: EngineProfile, model: ModelProfile, fields: RequestFields
) -> float:
    """Return the work of a request in instance-seconds, over all members of its group.

    :param fields: request fields with the token counts that the client announced.
    """
    prompt = fields.prompt_tokens or engine.usual_prompt
    answer = _estimate_answer(engine, fields)
    pairs_m = prompt * prompt / 2e6
    read_s = prompt / engine.read_per_s + pairs_m * engine.pairs_s
    step_s = engine.step_s / TYPICAL_BATCH_SIZE + engine.sequence_s
    return (read_s + answer * step_s) * model.pace * model.size


def estimate_tokens(engine: EngineProfile, fields: RequestFields) -> int:
    """Return the tokens that a request needs in the key-value cache of its group."""
    return (fields.prompt_tokens or engine.usual_prompt) + _estimate_answer(
        engine, fields
    )


def _estimate_answer(engine: EngineProfile, fields: RequestFields) -> int:
    answer = fields.expected_tokens or engine.usual_answer
    return min(answer, fields.answer_tokens) if fields.answer_tokens else answer


def find_max_in_flight(
    engine: EngineProfile, model: ModelProfile, objective_s: float
) -> int:
    """Return the most requests in flight with which a group meets its objective.

    Requests beyond the slots are queued.  As many may be queued as finish within the
    part of the objective that exceeds the usual time to a first event.

    :param objective_s: objective in seconds for the time to the first event.
    """
    step_s = engine.step_s + engine.slots * engine.sequence_s
    usual_s = engine.usual_answer * step_s * model.pace
    ends_per_s = engine.slots / max(0.05, usual_s)
    waiting = max(0.0, objective_s - USUAL_FIRST_EVENT_S) * ends_per_s
    return engine.slots + int(waiting)


@dataclass(eq=False)
class WorkMeter:
    """Arrival rates of requests and work (instance-seconds per second) by model."""

    clock: Clock
    _rates: dict[str, float] = field(default_factory=dict)
    _requests: dict[str, float] = field(default_factory=dict)
    _updated_at: dict[str, float] = field(default_factory=dict)

    def note(self, model: str, work_s: float) -> None:
        """Count a request and its work.

        :param work_s: work in instance-seconds.
        """
        decay = self._find_decay(model)
        self._rates[model] = self._rates.get(model, 0.0) * decay + work_s / AVERAGING_S
        self._requests[model] = self._requests.get(model, 0.0) * decay + 1 / AVERAGING_S
        self._updated_at[model] = self.clock()

    def _find_decay(self, model: str) -> float:
        """Return the factor by which a rate has decayed since its last update."""
        return math.exp((self._updated_at.get(model, 0.0) - self.clock()) / AVERAGING_S)

    def read_request_rate(self, model: str) -> float:
        """Return the rate of requests per second for a model."""
        return self._requests.get(model, 0.0) * self._find_decay(model)

    def read_work_rates(self) -> dict[str, float]:
        """Return the present work rates in instance-seconds per second by model."""
        return {
            model: rate * self._find_decay(model) for model, rate in self._rates.items()
        }
