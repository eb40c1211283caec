"""Retries that settled nodes lend to a node that started recently.

A process has next to no share of the retry budget in its first window, as the process
before it may have used the node's share, see :mod:`coursepitch.fleet.shares`.  Until
then it asks linked peers, one retry at a time.  A peer takes the retry from its own
budget, so the sum over all nodes remains the same, whichever process ends when.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from coursepitch.clock import Clock
    from coursepitch.fleet.messages import Message

__all__ = ['RetryLoans', 'RetryReply', 'RetryRequest']

#: Seconds to wait for a peer's answer: twice the delay of a link.
ANSWER_TIMEOUT_S = 0.15

#: Seconds for which a peer is not asked again after it denied a retry or did not
#: answer.
PEER_PAUSE_S = 0.5

#: Seconds to wait for the first linked peer: links are planned every 0.25 s, and a peer
#: counts as linked once its first heartbeat has arrived.
LINK_TIMEOUT_S = 0.6

#: Largest number of unanswered requests to one peer.  A link drops messages beyond 64.
MAX_UNANSWERED = 32


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """Request to a peer for one retry from its budget.

    :param number: identifies the message at its sender.
    :param service: service that the retry is for.
    """

    node: str
    number: int
    service: str


@dataclass(frozen=True, slots=True)
class RetryReply:
    """Response to a :class:`RetryRequest`.

    :param number: number of the message that is answered.
    """

    node: str
    number: int
    granted: bool


@dataclass(eq=False)
class _Loan:
    """A request of this node that a peer has not answered yet.

    :param granted: the peer's decision; ``None`` until it arrives.
    """

    peer: str
    granted: bool | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class RetryLoans:
    """Borrows retries for this node, and lends retries to its peers.

    :param me: name of this node.
    :param list_peers: returns the linked peers that were heard from recently.
    :param has_peers: whether other nodes are listed, linked or not.
    """

    me: str
    list_peers: Callable[[], Collection[str]]
    has_peers: Callable[[], bool]
    clock: Clock
    #: Sends a message to one peer.
    tell: Callable[[Message, str], None] = lambda message, node: None
    #: Takes a retry for a service from this node's budget on behalf of a peer; returns
    #: ``False`` if there is none to lend.
    lend: Callable[[str, str], bool] = lambda service, node: False
    #: Counts borrowed retries by outcome.
    count: Callable[[str], None] = lambda outcome: None
    # Starts at a random number: answers to an earlier process of this node may still
    # arrive.
    _number: int = field(default_factory=lambda: secrets.randbits(48))
    _loans: dict[int, _Loan] = field(default_factory=dict)
    _paused_until: dict[str, float] = field(default_factory=dict)
    _linked: anyio.Event = field(default_factory=anyio.Event)

    async def borrow(self, service: str, request: str = '') -> bool:
        """Borrow one retry from a peer; return ``False`` if none lends it.

        Each linked peer is asked once at most.

        :param request: id of the request, for the log.
        """
        if not self.list_peers():
            await self._wait_linked()
        asked: set[str] = set()
        outcome = 'no peer to ask'
        while (peer := self._choose_peer(asked)) is not None:
            asked.add(peer)
            granted = await self._ask(peer, service)
            outcome = {None: 'not answered', True: 'granted', False: 'denied'}[granted]
            if granted:
                break
            self._paused_until[peer] = self.clock() + PEER_PAUSE_S
        self.count(outcome)
        log.emit(
            events.RETRY_BORROWED,
            request=request,
            service=service,
            asked=sorted(asked),
            outcome=outcome,
        )
        return outcome == 'granted'

    async def _wait_linked(self) -> None:
        """Wait for the first heartbeat of a peer, if there are other nodes."""
        if self.has_peers():
            with anyio.move_on_after(LINK_TIMEOUT_S):
                await self._linked.wait()

    def note_heard(self) -> None:
        """Record that a heartbeat of a peer arrived."""
        if not self._linked.is_set():
            self._linked.set()

    def _choose_peer(self, asked: set[str]) -> str | None:
        """Return the peer with the fewest unanswered requests, or ``None``."""
        now = self.clock()
        unanswered = dict.fromkeys(sorted(self.list_peers()), 0)
        for loan in self._loans.values():
            if loan.peer in unanswered:
                unanswered[loan.peer] += 1
        choices = [
            (count, name)
            for name, count in unanswered.items()
            if name not in asked
            and count < MAX_UNANSWERED
            and self._paused_until.get(name, float('-inf')) <= now
        ]
        if not choices:
            return None
        fewest = min(count for count, _ in choices)
        names = [name for count, name in choices if count == fewest]
        return names[self._number % len(names)]

    async def _ask(self, peer: str, service: str) -> bool | None:
        """Ask a peer for one retry; return ``None`` if it does not answer in time."""
        self._number += 1
        number = self._number
        loan = self._loans[number] = _Loan(peer)
        try:
            self.tell(RetryRequest(self.me, number, service), peer)
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await loan.answered.wait()
        finally:
            del self._loans[number]
        return loan.granted

    # -- messages of peers -----------------------------------------------------------

    def answer(self, request: RetryRequest) -> None:
        """Answer a peer's request."""
        granted = self.lend(request.service, request.node)
        self.tell(RetryReply(self.me, request.number, granted), request.node)

    def take_answer(self, answer: RetryReply) -> None:
        """Process a peer's answer; a retry that arrives too late is not used."""
        loan = self._loans.get(answer.number)
        if loan is not None and loan.peer == answer.node:
            loan.granted = answer.granted
            loan.answered.set()
