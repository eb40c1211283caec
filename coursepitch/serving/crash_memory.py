"""Requests for models under which engines crashed, remembered by all nodes.

What is concluded is the same as for groups of instances, see
:mod:`coursepitch.crashes`.  Nodes tell each other what they saw in their records.
"""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import orjson

from coursepitch import events, log
from coursepitch.crashes.parts import PART_PREFIX, Scope
from coursepitch.crashes.suspects import Clearance, Crash, SuspectTable, Traits
from coursepitch.peers.records import CrashBody
from coursepitch.serving import outcomes
from coursepitch.serving.attempts import AttemptResult
from coursepitch.serving.outcomes import Problem

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from coursepitch.clock import Clock
    from coursepitch.peers.hub import PeerHub
    from coursepitch.serving.model_request import ModelRequest
    from coursepitch.serving.runs import Attempt, Run

__all__ = ['CrashMemory']

#: Results of attempts after which the engine may have crashed.
_INTERRUPTED = frozenset({AttemptResult.CUT, AttemptResult.NO_HEAD})

#: Seconds between two chunks of a run after which the prompt did not crash the engine.
PROVEN_S = 1.0

#: Timeout in seconds of the connection that shows whether an engine ended, number of
#: tries, and seconds between them: the operating system closes the sockets of an
#: exiting process within some milliseconds.
CONNECT_TIMEOUT_S = 0.3
TRIES = 4
PAUSE_S = 0.02

#: Seconds after which told crashes are told again, so that they are not dropped.
TELL_AGAIN_S = 20.0

#: Maximum number of crashes, and of successes, that a node tells of itself.
MAX_TOLD = 64

#: Maximum number of parts of a prompt.
MAX_PARTS = 64

_KIND = 'crash'


class CrashMemory:
    """Records crashes of engines, and refuses what is known to cause them.

    :param reaches_engines: returns whether this node reaches any of several engines.
    :param is_leader: returns whether this node alone tries requests that were refused.
    """

    def __init__(
        self,
        me: str,
        hub: PeerHub,
        reaches_engines: Callable[[], Awaitable[bool]],
        is_leader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._me = me
        self._hub = hub
        self._reaches_engines = reaches_engines
        self._is_leader = is_leader
        self._clock = clock
        self._table = SuspectTable(clock)
        self._crashes: list[Crash] = []
        self._successes: list[Clearance] = []
        self._taken: dict[str, CrashBody] = {}
        self._tried = ''

    async def run(self) -> None:
        """Drop what is too old, and tell the rest again, until cancelled."""
        while True:
            await anyio.sleep(1.0)
            self._take_told()
            self._table.sweep()
            kept = set(self._table.list_crashes())
            self._crashes = [item for item in self._crashes if item in kept]
            if not kept:
                self._successes.clear()
            if self._crashes or self._successes:
                self._tell(TELL_AGAIN_S)

    # -- observations -----------------------------------------------------------------

    async def note_attempt(self, run: Run, attempt: Attempt) -> None:
        """Record a crash if the engine of an interrupted attempt has ended."""
        if attempt.result is AttemptResult.WHOLE:
            self._note_success(run.model_request)
            return
        if attempt.result not in _INTERRUPTED or not await self._has_ended(attempt):
            return
        traits = build_traits(run.model_request)
        log.emit(
            events.ENGINE_CRASHED,
            engine=attempt.address,
            replica=attempt.replica,
            request=run.model_request.request_id,
            fingerprint=traits.fingerprint,
            customer=traits.customer,
            parts=list(traits.parts),
        )
        if attempt.wrote_s >= PROVEN_S:
            traits = replace(traits, parts=())
        scope = Scope(traits.customer, traits.workload, '')
        sound = (
            (name, self._table.parts.find_sound_at(name, scope))
            for name in traits.parts
        )
        crash = Crash(
            traits.fingerprint,
            traits.customer,
            f'{attempt.address} {attempt.replica}',
            0,
            self._clock(),
            self._me,
            '',
            traits.workload,
            traits.parts,
            tuple((name, at) for name, at in sound if at is not None),
        )
        if self._table.note_crash(crash):
            self._crashes = [*self._crashes, crash][-MAX_TOLD:]
            self._tell()

    def _note_success(self, request: ModelRequest) -> None:
        traits = build_traits(request)
        scope = Scope(traits.customer, traits.workload, '')
        now = self._clock()
        cleared = []
        if self._table.find(traits.fingerprint) is not None:
            cleared.append(Clearance(traits.fingerprint, now))
        for name in traits.parts:
            if self._table.parts.find(name) is None:
                self._table.parts.note_sound(name, scope, now)
            else:
                cleared.append(Clearance(PART_PREFIX + name, now, scope))
        news = [item for item in cleared if self._table.clear(item)]
        if news:
            self._successes = [*self._successes, *news][-MAX_TOLD:]
            self._tell()

    async def _has_ended(self, attempt: Attempt) -> bool:
        """Whether an engine's address refuses connections while others answer."""
        host, _, port = attempt.address.rpartition(':')
        for _ in range(TRIES):
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await anyio.connect_tcp(host, int(port))
                    await anyio.aclose_forcefully(stream)
            except OSError as error:
                causes = (error, error.__cause__)
                refused = any(isinstance(e, ConnectionRefusedError) for e in causes)
                return refused and await self._reaches_engines()
            except TimeoutError:
                return False
            await anyio.sleep(PAUSE_S)
        return False

    # -- what nodes tell each other ---------------------------------------------------

    def _tell(self, interval_s: float = 0.0) -> None:
        now = self._clock()
        body = CrashBody(tuple(self._crashes), tuple(self._successes), now)
        if interval_s:
            told = self._taken.get(self._me)
            if told is not None and now - told.told_at < interval_s:
                return
        self._taken[self._me] = body
        self._hub.publish(_KIND, self._me, body, now)

    def _take_told(self) -> None:
        """Take what other nodes told since the last look."""
        now = self._clock()
        for record in self._hub.records(_KIND):
            body, origin = record.body, record.key.origin
            if not isinstance(body, CrashBody) or self._taken.get(origin) is body:
                continue
            self._taken[origin] = body
            if origin == self._me:
                continue
            shift_s = record.made_at - body.told_at
            for crash in body.crashes:
                self._table.note_crash(crash.shift(shift_s, now))
            for item in body.successes:
                self._table.clear(replace(item, at=min(now, item.at + shift_s)))

    # -- decisions --------------------------------------------------------------------

    def find_problem(self, request: ModelRequest) -> Problem | None:
        """Return why a request is refused, or ``None``.

        One with a part that was refused for long is tried by the leader alone, one at
        a time.
        """
        self._take_told()
        if not len(self._table):
            return None
        traits = build_traits(request)
        detail = ''
        if self._table.find_refused_s(traits.fingerprint) > 0:
            detail = 'Engines ended while they ran this request.'
        part = self._table.find_crashing_part(traits)
        if part is not None and not detail:
            refused_s = self._table.find_part_refused_s(part)
            may_try = not refused_s and self._is_leader()
            if not may_try or self._tried not in ('', request.request_id):
                detail = f'Engines ended while they ran requests with part {part.name}.'
        if not detail:
            return None
        log.emit(
            events.ENGINE_REQUEST_REFUSED,
            request=request.request_id,
            fingerprint=part.key if part else traits.fingerprint,
            customer=traits.customer,
        )
        return Problem(outcomes.ENDS_ENGINES, request.request_id, detail)

    def begin_trial(self, request: ModelRequest) -> None:
        """Let no other request be tried, if this one is."""
        if self._table.find_crashing_part(build_traits(request)) is not None:
            self._tried = request.request_id

    def end_trial(self, request: ModelRequest) -> None:
        """Let the next request be tried, if this one was."""
        if self._tried == request.request_id:
            self._tried = ''


def build_traits(request: ModelRequest) -> Traits:
    """Return what a request shares with others: messages before its own, and tools."""
    body = request.body
    items = [*body.get('messages', ())[:-1], *(body.get('tools') or ())]
    customer = request.identity.customer
    return Traits(
        _digest([customer, request.path, body]),
        customer,
        str(body.get('model', '')),
        tuple(dict.fromkeys(map(_digest, items)))[:MAX_PARTS],
    )


def _digest(value: object) -> str:
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=16).hexdigest()
