"""Admission of requests: slots on replicas, waiting, giving up at once."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from coursepitch.serving import outcomes
from coursepitch.serving.outcomes import Problem, RefusedError
from coursepitch.serving.queue import (
    Waiting,
    choose_evicted,
    choose_next,
    estimate_wait,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.serving.routing import Choice

__all__ = ['Admission', 'Slot']

#: Seconds over which completions are counted.
_RATE_S = 5.0


@dataclass(eq=False)
class Slot:
    """A place on a replica, to be given back."""

    customer: str
    group: str
    choice: Choice


@dataclass(eq=False)
class _Waiter:
    waiting: Waiting
    ready: anyio.Event = field(default_factory=anyio.Event)
    choice: Choice | None = None
    evicted: bool = False


class Admission:
    """Owner of the slots in use and of the queue of one node."""

    def __init__(self, queue_limit: int, queue_wait_s: float, clock: Clock) -> None:
        self._queue_limit = queue_limit
        self._queue_wait_s = queue_wait_s
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._rates: dict[str, tuple[float, float]] = {}
        self.on_replica: dict[str, int] = {}
        self.of_customer: dict[str, int] = {}

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._waiters)

    async def take(
        self,
        waiting: Waiting,
        choose: Callable[[], Choice | None],
        capacity: Callable[[], int],
    ) -> Slot:
        """Return a slot, after a wait if all are in use.

        :param choose: chooses a replica with room, or returns ``None``.
        :param capacity: number of replicas that may serve the group.
        :raises RefusedError: the request is given up.
        """
        if not any(item.waiting.group == waiting.group for item in self._waiters):
            choice = choose()
            if choice is not None:
                return self._occupy(waiting, choice)
        if not capacity():
            raise RefusedError(Problem(outcomes.NO_REPLICA, waiting.request, '', 2.0))
        return await self._wait(waiting)

    async def _wait(self, waiting: Waiting) -> Slot:
        waiter = _Waiter(waiting)
        self._refuse_hopeless(waiting)
        if len(self._waiters) >= self._queue_limit:
            self._evict(waiting)
        self._waiters.append(waiter)
        try:
            with anyio.move_on_after(waiting.leave_at - self._clock()):
                await waiter.ready.wait()
        except BaseException:
            # Cancelled between hand-over and use: the slot goes back.
            if waiter.choice is not None:
                self.give_back(Slot(waiting.customer, waiting.group, waiter.choice))
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if waiter.choice is None:
            raise RefusedError(self._overloaded(waiting))
        return Slot(waiting.customer, waiting.group, waiter.choice)

    def _refuse_hopeless(self, waiting: Waiting) -> None:
        """Refuse at once what would be given up later anyway."""
        ahead = sum(
            item.waiting.group == waiting.group
            and item.waiting.urgency <= waiting.urgency
            for item in self._waiters
        )
        rate = self._completion_rate(waiting.group)
        expected = estimate_wait(ahead, rate)
        if expected > waiting.leave_at - self._clock():
            raise RefusedError(self._overloaded(waiting))

    def _evict(self, newcomer: Waiting) -> None:
        out = choose_evicted([item.waiting for item in self._waiters], newcomer)
        if out is newcomer:
            raise RefusedError(self._overloaded(newcomer))
        for item in self._waiters:
            if item.waiting is out:
                self._waiters.remove(item)
                item.evicted = True
                item.ready.set()
                return

    def _overloaded(self, waiting: Waiting) -> Problem:
        ahead = sum(item.waiting.group == waiting.group for item in self._waiters)
        wait = estimate_wait(ahead, self._completion_rate(waiting.group))
        return Problem(
            outcomes.OVERLOADED, waiting.request, '', min(30.0, max(1.0, wait))
        )

    def _occupy(self, waiting: Waiting, choice: Choice) -> Slot:
        slot = Slot(waiting.customer, waiting.group, choice)
        name = choice.replica.name
        self.on_replica[name] = self.on_replica.get(name, 0) + 1
        self.of_customer[slot.customer] = self.of_customer.get(slot.customer, 0) + 1
        return slot

    def give_back(self, slot: Slot, *, completed: bool = False) -> None:
        """Give a slot back; :meth:`wake` then hands it on."""
        name = slot.choice.replica.name
        self.on_replica[name] -= 1
        if not self.on_replica[name]:
            del self.on_replica[name]
        self.of_customer[slot.customer] -= 1
        if not self.of_customer[slot.customer]:
            del self.of_customer[slot.customer]
        if completed:
            now = self._clock()
            rate = self._completion_rate(slot.group)
            self._rates[slot.group] = (rate + 1.0 / _RATE_S, now)

    def move(self, slot: Slot, choice: Choice) -> None:
        """Move a slot to another replica, for a further attempt."""
        old, new = slot.choice.replica.name, choice.replica.name
        self.on_replica[old] -= 1
        if not self.on_replica[old]:
            del self.on_replica[old]
        self.on_replica[new] = self.on_replica.get(new, 0) + 1
        slot.choice = choice

    def wake(self, group: str, choose: Callable[[Waiting], Choice | None]) -> None:
        """Hand free slots of a group to those who wait."""
        while True:
            waiting = choose_next(
                [item.waiting for item in self._waiters], self.of_customer, group
            )
            if waiting is None:
                return
            choice = choose(waiting)
            if choice is None:
                return
            for item in self._waiters:
                if item.waiting is waiting:
                    self._waiters.remove(item)
                    self._occupy(waiting, choice)
                    item.choice = choice
                    item.ready.set()
                    break

    def waiting_groups(self) -> set[str]:
        """Return the groups for which requests wait."""
        return {item.waiting.group for item in self._waiters}

    def _completion_rate(self, group: str) -> float:
        rate, seen_at = self._rates.get(group, (0.0, 0.0))
        fade = max(0.0, 1.0 - (self._clock() - seen_at) / _RATE_S)
        return rate * fade
