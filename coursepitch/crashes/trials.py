"""Trials of parts of prompts that are refused: one at a time over all nodes.

A part that was refused by mistake is cleared by one request that succeeds, and one that
crashes instances costs one for each trial.  The leader grants trials, so that a request
may be tried at whatever node it comes to.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Message

__all__ = ['PartTrials', 'TrialReply', 'TrialRequest']

#: Seconds to wait for the leader's answer: twice the delay of a link.
ANSWER_TIMEOUT_S = 0.15

#: Seconds for which a node does not ask for a part again.
PAUSE_S = 0.5

#: Seconds after a grant until the next one for the same part.  By then all nodes know
#: whether the request succeeded or crashed an instance.
GRANT_INTERVAL_S = 3.0

#: Maximum number of parts whose grants and pauses are kept.
MAX_PARTS = 512


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Request to the leader for the trial of a part.

    :param number: identifies the message at its sender.
    """

    node: str
    number: int
    part: str


@dataclass(frozen=True, slots=True)
class TrialReply:
    """Response to a :class:`TrialRequest`.

    :param number: number of the message that is answered.
    """

    node: str
    number: int
    granted: bool


@dataclass(eq=False)
class _Question:
    granted: bool = False
    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class PartTrials:
    """Asks the leader for trials, and grants them while this node is the leader.

    :param me: name of this node.
    :param find_leader: returns the name of the leader; empty if there is none.
    :param is_due: whether a part is still refused, and to be tried.
    """

    me: str
    find_leader: Callable[[], str]
    is_due: Callable[[str], bool]
    clock: Clock
    #: Sends a message to one node.
    tell: Callable[[Message, str], None] = lambda message, node: None
    # Starts at a random number: answers to an earlier process of this node may still
    # arrive.
    _number: int = field(default_factory=lambda: secrets.randbits(48))
    _questions: dict[int, _Question] = field(default_factory=dict)
    _granted_at: dict[str, float] = field(default_factory=dict)
    _paused_until: dict[str, float] = field(default_factory=dict)

    async def obtain(self, part: str) -> bool:
        """Ask for a trial of a part; return whether it is granted."""
        leader = self.find_leader()
        if leader == self.me:
            return self._grant(part)
        now = self.clock()
        if not leader or now < self._paused_until.get(part, float('-inf')):
            return False
        # Others that come meanwhile are not tried.
        _keep(self._paused_until, part, now + PAUSE_S)
        self._number += 1
        number = self._number
        question = self._questions[number] = _Question()
        try:
            self.tell(TrialRequest(self.me, number, part), leader)
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await question.answered.wait()
        finally:
            del self._questions[number]
        return question.granted

    def _grant(self, part: str) -> bool:
        now = self.clock()
        start = self._granted_at.get(part, float('-inf')) + GRANT_INTERVAL_S
        if now < start or not self.is_due(part):
            return False
        _keep(self._granted_at, part, now)
        return True

    # -- messages of peers ------------------------------------------------------------

    def answer(self, request: TrialRequest) -> None:
        """Answer a peer's request; only the leader grants any."""
        granted = self.find_leader() == self.me and self._grant(request.part)
        self.tell(TrialReply(self.me, request.number, granted), request.node)

    def take_answer(self, answer: TrialReply) -> None:
        """Process the leader's answer; one that comes too late is not used."""
        question = self._questions.get(answer.number)
        if question is not None:
            question.granted = answer.granted
            question.answered.set()


def _keep(times: dict[str, float], part: str, at: float) -> None:
    """Keep a time for a part, in place of the oldest one if there are too many."""
    times.pop(part, None)
    times[part] = at
    if len(times) > MAX_PARTS:
        del times[next(iter(times))]
