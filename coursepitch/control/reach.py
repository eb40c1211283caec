"""Detection that a node has lost its path to the engines.

Engines that are silent and a path that is cut look the same from one node.  So a node
that no engine answers concludes nothing about any, and counts as cut off only if all
that it knows refuse it, or once an engine has answered another node meanwhile.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.pause_detector import has_passed_late

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from coursepitch.clock import Clock

__all__ = ['EngineReach', 'Finding']

#: Seconds between two checks of one random engine.
CHECK_INTERVAL_S = 0.5

#: Seconds after which several engines are checked, as one has not answered yet.
FIRST_WAIT_S = 0.25

#: Number of engines that are checked at a time, before the node counts as silent.
CHECKED_ENGINES = 4

#: Seconds for which an engine that answered some node is checked.
REMEMBERED_S = 30.0

#: Seconds for which an answer of an engine shows that this node reaches engines: longer
#: than two checks are apart.
REACH_AGE_S = 1.0

#: Seconds for which engines must leave a check unanswered that is compared with what
#: peers tell.  Engines that go on answer the checks that wait at once, while the word
#: of a peer takes tens of milliseconds.
PROOF_WAIT_S = 0.25

#: Seconds between two comparisons with what peers tell.
JUDGE_INTERVAL_S = 0.1


class Finding(Enum):
    """Result of a check of an engine."""

    ANSWERED = 'it answered'
    SILENT = 'it did not answer in time'
    FAILED = 'it refused or answered wrongly'


class EngineReach:
    """Checks engines that answered this node or another one recently.

    :param check: checks the engine at an address.
    :param timeout_s: seconds after which a check counts as not answered.
    :param list_answering: returns the addresses of the engines that answer, as any
        node observed.
    :param find_peer_reached_at: returns a monotonic time at or before which the newest
        check by a peer was begun that an engine answered; minus infinity for none.
    :ivar is_silent: whether no engine answers this node.
    :ivar is_cut_off: whether none answers and it is proven that none can be reached:
        all known ones refuse, or some answer a peer.
    :ivar reached_at: monotonic time at which the newest check was begun that an engine
        answered.
    """

    def __init__(
        self,
        check: Callable[[str], Awaitable[Finding]],
        timeout_s: float,
        list_answering: Callable[[], Iterable[str]],
        find_peer_reached_at: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._check = check
        self._timeout_s = timeout_s
        self._list_answering = list_answering
        self._find_peer_reached_at = find_peer_reached_at
        self._clock = clock
        self._answered_at: dict[str, float] = {}
        self._confirming: anyio.Event | None = None
        self._round_began_at: float | None = None
        self._silent_since = float('inf')
        #: When engines were last checked, and which of them refused that, since an
        #: engine last answered.
        self._asked_at: dict[str, float] = {}
        self._refusing: set[str] = set()
        #: Whether the latest round was refused, and others are left that may refuse.
        self._may_prove_more = False
        self.is_silent = False
        self.is_cut_off = False
        self.reached_at = float('-inf')

    def has_reached(self) -> bool:
        """Return whether an engine answered this node recently."""
        return self._clock() - self.reached_at <= REACH_AGE_S

    async def run(self) -> None:
        """Check one engine after the other until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_judging)
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                await self._check_one()
                while self.is_silent:
                    began_at = self._clock()
                    await self.confirm()
                    # Checks that are refused end at once.
                    left_s = CHECK_INTERVAL_S - (self._clock() - began_at)
                    await anyio.sleep(0.0 if self._may_prove_more else max(0.0, left_s))

    async def _check_one(self) -> None:
        known = self._list_known()
        if not known:
            return
        began_at = self._clock()
        finding = Finding.SILENT
        with anyio.move_on_after(FIRST_WAIT_S):
            finding = await self._check(random.choice(known))
        if finding is Finding.ANSWERED:
            self._note_reached(began_at)
        else:
            await self.confirm()

    async def confirm(self) -> bool:
        """Return whether this node reaches any of several engines now."""
        if self._confirming is not None:
            await self._confirming.wait()
            return not self.is_silent
        chosen = self._choose_engines()
        if not chosen:
            return True
        done = self._confirming = anyio.Event()
        try:
            reached = await self._check_round(chosen)
        finally:
            self._confirming = None
            self._round_began_at = None
            done.set()
        return reached

    def _choose_engines(self) -> list[str]:
        """Return some known engines, first those that answer as far as is known.

        While none answers this node, those come first that were checked least recently.
        """
        known = self._list_known()
        random.shuffle(known)
        never = float('-inf')
        known.sort(
            key=lambda item: (self._asked_at.get(item, never), -self._answered_at[item])
        )
        return known[:CHECKED_ENGINES]

    async def _check_round(self, chosen: list[str]) -> bool:
        """Check engines, once more if this process did not run meanwhile."""
        contradicted = False
        findings: dict[str, Finding] = {}
        for _ in range(2):
            began_at = self._round_began_at = self._clock()
            contradicted = self._is_contradicted()
            findings = await self._check_all(chosen)
            if Finding.ANSWERED in findings.values():
                self._note_reached(began_at)
                return True
            if not has_passed_late(self._timeout_s, self._clock() - began_at):
                break
        self._note_silent(began_at)
        self._note_refusals(findings, began_at)
        if contradicted or self._refusing.issuperset(self._list_known()):
            self._note_cut_off()
        return False

    def _note_refusals(self, findings: dict[str, Finding], asked_at: float) -> None:
        for address, finding in findings.items():
            self._asked_at[address] = asked_at
            if finding is Finding.FAILED:
                self._refusing.add(address)
            else:
                self._refusing.discard(address)
        self._may_prove_more = self._refusing.issuperset(findings) and not (
            self._refusing.issuperset(self._list_known())
        )

    async def _check_all(self, chosen: list[str]) -> dict[str, Finding]:
        """Return the results of checks; the first answer ends the others."""
        findings: dict[str, Finding] = {}
        async with anyio.create_task_group() as tasks:

            async def check(address: str) -> None:
                finding = await self._check(address)
                findings[address] = finding
                if finding is Finding.ANSWERED:
                    tasks.cancel_scope.cancel()

            for address in chosen:
                tasks.start_soon(check, address)
        return findings

    def _list_known(self) -> list[str]:
        """Return the addresses of the engines that answered recently."""
        now = self._clock()
        if not self.is_silent:
            # While no engine answers, the last observations are kept.
            start = now - REMEMBERED_S
            self._answered_at = {
                address: at for address, at in self._answered_at.items() if at > start
            }
        self._answered_at.update(dict.fromkeys(self._list_answering(), now))
        return list(self._answered_at)

    # -- what follows -----------------------------------------------------------------

    async def _keep_judging(self) -> None:
        while True:
            await anyio.sleep(JUDGE_INTERVAL_S)
            self.judge()

    def judge(self) -> None:
        """Compare the silence of the engines with what peers tell."""
        began_at = self._round_began_at
        if began_at is None or self._clock() - began_at < PROOF_WAIT_S:
            return
        if self._is_contradicted():
            self._note_cut_off()

    def _is_contradicted(self) -> bool:
        """Whether an engine answered a peer since this node reaches none."""
        return self.is_silent and self._find_peer_reached_at() >= self._silent_since

    def _note_reached(self, began_at: float) -> None:
        self.reached_at = max(self.reached_at, began_at)
        self._asked_at.clear()
        self._refusing.clear()
        was_silent, self.is_silent, self.is_cut_off = self.is_silent, False, False
        if was_silent:
            log.emit(events.ENGINES_REACHED)

    def _note_silent(self, since: float) -> None:
        if self.is_silent:
            return
        self.is_silent = True
        self._silent_since = since
        log.emit(events.ENGINES_SILENT)

    def _note_cut_off(self) -> None:
        if self.is_cut_off:
            return
        self.is_cut_off = True
        log.emit(events.ENGINES_LOST)
