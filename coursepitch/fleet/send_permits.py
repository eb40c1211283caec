"""Permits for requests to instances that limit their requests per second.

A limit applies to all nodes together, so it is enforced in one place: the leader, to
which every node has a link.  A node asks for a permit for each request.  Dividing the
limit between the nodes does not work: with a burst of one request per node, 300 nodes
may send 300 requests at once to an instance that accepts one per second, and with a
smaller burst a node with few requests never sends any.
"""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from coursepitch import events, log
from coursepitch.fleet.cold import find_granted_rate
from coursepitch.fleet.limit_messages import SendReply, SendRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from coursepitch.clock import Clock
    from coursepitch.fleet.cold import ColdInstances, UnaskedSends
    from coursepitch.fleet.messages import Message
    from coursepitch.fleet.rate_limits import RateLimits

__all__ = ['Grant', 'Permit', 'PermitRequest', 'SendGranter', 'SendPermits']

#: Burst after a pause, in seconds of the limit, in addition to one request.  Together
#: with permits granted just before a window and their validity, an instance gets at
#: most ``1 + (w + 0.75) * limit`` requests in any ``w`` seconds; a limit below
#: :data:`MIN_GRANT_RATE` counts as that rate.
BURST_S = 0.5

#: Burst after a pause for a cold instance, in seconds of what the leader grants.  The
#: bound of 1.5 times the limit and 5 holds in any second, not in any 4 s.  Requests by
#: permits and those without, see :mod:`coursepitch.fleet.cold`, are at most
#: ``1 + 1.5 * limit``, if the delivery times of two requests differ by at most 0.15 s.
COLD_BURST_S = 0.1

#: Seconds for which a permit is valid, from the time at which it was requested.
PERMIT_VALID_S = 0.25

#: Seconds to wait for the leader's answer: twice the delay of a link.
ANSWER_TIMEOUT_S = 0.15

#: Requests per second that are granted even if an instance accepts fewer, or none: it
#: can announce a new limit only in an answer.
MIN_GRANT_RATE = 0.1

#: Seconds to wait for an answer about a cold instance.  Others usually have room, so a
#: request goes there while its objective, 0.25 s or more, can still be met.  A link
#: between zones has a delay of 0.9 to 3.5 ms.
COLD_ANSWER_TIMEOUT_S = 0.05

#: Seconds until a node asks again for permits for cold instances if it got no answer.
COLD_UNANSWERED_RETRY_S = 0.25

#: Longest time in seconds until a node asks again for a permit.
MAX_RETRY_S = 10.0

#: Seconds until a node asks again if it got no answer or knows no leader.  A new leader
#: takes over within 3 s.
UNANSWERED_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request to an instance.

    :param until: latest monotonic time at which it may be sent.
    """

    instance: str
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class Grant:
    """The leader's decision on one request.

    :param retry_s: seconds after which to ask again if it is not granted.
    """

    granted: bool
    retry_s: float = 0.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket of an instance.

    It starts empty, so that a new leader grants nothing that the previous one may
    already have granted.  For a cold instance it is filled since the time at which the
    leader learned of it, so that the first request is granted.
    """

    filled_at: float
    tokens: float = 0.0


@dataclass(eq=False)
class SendGranter:
    """Grants permits while this node is leader.

    :param read_term: returns the number of the node's current term as leader; 0 if it
        is not leader.
    :param draw_jitter: returns a random number from 0 to 1 for the jitter of repeated
        requests.
    """

    limits: RateLimits
    read_term: Callable[[], int]
    clock: Clock
    draw_jitter: Callable[[], float] = random.random
    cold: ColdInstances | None = None
    _term: int = 0
    _term_since: float = float('inf')
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def decide(self, instance: str) -> Grant:
        """Decide whether one request may be sent to an instance now."""
        if not self.note_term():
            return Grant(False, UNANSWERED_RETRY_S)
        limit = self.limits.find(instance)
        if limit is None:
            self._buckets.pop(instance, None)
            return Grant(True)
        by_cold = self.limits.is_by_cold(instance)
        rate = max(MIN_GRANT_RATE, find_granted_rate(limit) if by_cold else limit)
        burst_s = COLD_BURST_S if by_cold else BURST_S
        if by_cold and self.cold and instance not in self._buckets:
            since = max(self._term_since, self.cold.find_since(instance))
            self._buckets[instance] = _Bucket(since)
        bucket = self._fill(instance, rate, burst_s)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return Grant(True)
        retry_s = (1.0 - bucket.tokens) / rate * (1.0 + self.draw_jitter())
        return Grant(False, min(MAX_RETRY_S, retry_s))

    def note_term(self) -> int:
        """Return the current term; forget all grants of an earlier one."""
        term = self.read_term()
        if term != self._term:
            self._term = term
            self._term_since = self.clock()
            self._buckets.clear()
        return term

    def _fill(self, instance: str, rate: float, burst_s: float) -> _Bucket:
        now = self.clock()
        bucket = self._buckets.setdefault(instance, _Bucket(now))
        gained = (now - bucket.filled_at) * rate
        bucket.tokens = min(1.0 + burst_s * rate, bucket.tokens + gained)
        bucket.filled_at = now
        return bucket

    def forget(self, present: set[str]) -> None:
        """Drop the state of instances that are no longer listed."""
        for name in [name for name in self._buckets if name not in present]:
            del self._buckets[name]


@dataclass(eq=False)
class PermitRequest:
    """A request of this node for a permit.

    :param number: number that identifies it on this node.
    :param asked_at: monotonic time at which it was sent.
    :param grant: the leader's decision; ``None`` until it arrives.
    """

    number: int
    instance: str
    asked_at: float
    grant: Grant | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class SendPermits:
    """Requests permits for this node, and answers its peers while it is leader.

    :param me: name of this node.
    :param read_leader: returns the name of the leader; empty for none.
    """

    me: str
    limits: RateLimits
    granter: SendGranter
    read_leader: Callable[[], str]
    clock: Clock
    #: Sends a message to one peer.
    tell: Callable[[Message, str], None] = lambda message, node: None
    #: Counts requests for permits by outcome.
    count: Callable[[str], None] = lambda outcome: None
    #: Instances that are cold, and requests to them without permits.
    cold: ColdInstances | None = None
    unasked: UnaskedSends | None = None
    #: Whether the leader was heard from recently; evaluated for cold instances.
    hears_leader: Callable[[], bool] = lambda: True
    # Starts at a random number: answers to an earlier process of this node may still
    # arrive.
    _count: int = field(default_factory=lambda: secrets.randbits(48))
    _requests: dict[int, PermitRequest] = field(default_factory=dict)
    _retry_at: dict[str, float] = field(default_factory=dict)
    # The leader that did not answer, and when to ask it again for cold instances.
    _silent_leader: str = ''
    _silent_until: float = float('-inf')
    # Requests for cold instances that were given up, and permits that came too late
    # for these, for the next request.
    _given_up: dict[int, PermitRequest] = field(default_factory=dict)
    _late_permits: dict[str, Permit] = field(default_factory=dict)

    # -- requests of this node -------------------------------------------------------

    def is_closed(self, instance: str) -> bool:
        """Whether an instance takes no request now, or a permit is being requested.

        One outstanding request for a permit is enough to use up its limit.
        """
        if self.limits.find(instance) is None:
            return False
        now = self.clock()
        if self._find_unasked_at(instance) <= now:
            return False
        return self._is_requested(instance) or self._find_retry_at(instance) > now

    def _is_requested(self, instance: str) -> bool:
        return any(item.instance == instance for item in self._requests.values())

    def _find_retry_at(self, instance: str) -> float:
        """Return the monotonic time from which a permit may be requested."""
        retry_at = self._retry_at.get(instance, float('-inf'))
        if self._silent_until <= retry_at or not self.limits.is_by_cold(instance):
            return retry_at
        # A new leader may be asked at once.
        is_same = self.read_leader() == self._silent_leader
        return self._silent_until if is_same else retry_at

    def _find_unasked_at(self, instance: str) -> float:
        """Return the monotonic time of the next request without a permit."""
        if self.unasked is None or not self.limits.is_by_cold(instance):
            return float('inf')
        late = self._late_permits.get(instance)
        if late is not None and self.clock() <= late.until:
            return float('-inf')
        limit = self.limits.find(instance) or 0.0
        return self.unasked.find_next_at(instance, limit)

    def are_closed(self, instances: Collection[str], until: float) -> bool:
        """Whether there are instances, and none takes a request before a time."""
        return bool(instances) and all(
            self.limits.find(name) is not None
            and not self._is_requested(name)
            and self._find_retry_at(name) > until
            and self._find_unasked_at(name) > until
            for name in instances
        )

    def find_retry_s(self, instances: Iterable[str], nodes: int) -> float:
        """Return the seconds after which a refused client should try again.

        In this time, this node's equal share of the instances' limits allows one
        request.

        :param nodes: number of nodes that share the limits.
        """
        limits = (self.limits.find(name) for name in instances)
        total = sum(max(MIN_GRANT_RATE, limit) for limit in limits if limit is not None)
        return min(MAX_RETRY_S, nodes / total) if total else 0.0

    async def take(self, instance: str) -> Permit | None:
        """Request a permit for one request; return ``None`` if it is not granted."""
        if self.limits.find(instance) is None:
            return Permit(instance)
        permit = self.take_unasked(instance)
        if permit is not None or self.is_closed(instance):
            return permit
        request = self.request_permit(instance)
        try:
            timeout_s = self.find_timeout_s(instance)
            if request.grant is None and timeout_s > 0:
                with anyio.move_on_after(timeout_s):
                    await request.answered.wait()
        finally:
            del self._requests[request.number]
        return self.finish(request)

    def take_unasked(self, instance: str) -> Permit | None:
        """Return a permit that the leader need not grant now, if this node has one."""
        if self.unasked is None or not self.limits.is_by_cold(instance):
            return None
        late = self._late_permits.pop(instance, None)
        if late is not None and self.clock() <= late.until:
            self.count('granted')
            return late
        if not self.unasked.take(instance, self.limits.find(instance) or 0.0):
            return None
        self.count('not asked')
        return Permit(instance, self.clock() + PERMIT_VALID_S)

    def find_timeout_s(self, instance: str) -> float:
        """Return for how many seconds to wait for the leader's answer.

        A request for a cold instance is sent to another one without waiting if the
        leader is not heard from.
        """
        if not self.read_leader():
            return 0.0
        if not self.limits.is_by_cold(instance):
            return ANSWER_TIMEOUT_S
        return COLD_ANSWER_TIMEOUT_S if self.hears_leader() else 0.0

    def request_permit(self, instance: str) -> PermitRequest:
        """Ask the leader for a permit; decide at once if this node is leader."""
        self._count += 1
        request = PermitRequest(self._count, instance, self.clock())
        self._requests[request.number] = request
        leader = self.read_leader()
        told = self.limits.describe(instance)
        left_s = self.cold.find_left_s(instance) if self.cold else 0.0
        cold = (instance, left_s) if self.limits.is_by_cold(instance) else None
        if leader == self.me:
            request.grant = self.granter.decide(instance)
        elif leader and (told is not None or cold is not None):
            self.tell(SendRequest(self.me, request.number, told, cold), leader)
        return request

    def finish(self, request: PermitRequest) -> Permit | None:
        """Return the permit that was granted, if any, and record when to ask again."""
        grant, instance = request.grant, request.instance
        retry_s = grant.retry_s if grant else UNANSWERED_RETRY_S
        if grant is None and self.limits.is_by_cold(instance):
            # The leader is then asked for no cold instance, so that one request waits
            # and not one for each instance.
            retry_s = COLD_UNANSWERED_RETRY_S
            self._silent_leader = self.read_leader()
            self._silent_until = self.clock() + retry_s
            self._note_given_up(request)
        else:
            self._retry_at[instance] = self.clock() + retry_s
        if grant is not None and grant.granted:
            self.count('granted')
            return Permit(instance, request.asked_at + PERMIT_VALID_S)
        outcome = 'denied' if grant else 'not answered'
        self.count(outcome)
        log.emit(
            events.SEND_DENIED,
            instance=instance,
            limit=self.limits.find(instance),
            leader=self.read_leader(),
            outcome=outcome,
            again_s=round(retry_s, 3),
        )
        return None

    def allows(self, instance: str, permit: Permit | None) -> bool:
        """Whether a request may be sent to an instance now.

        Not if it became cold since it was chosen without a permit.
        """
        if self.limits.find(instance) is None:
            return True
        if permit is None or permit.instance != instance:
            return False
        if permit.until == float('inf') and self.limits.is_by_cold(instance):
            return False
        return self.clock() <= permit.until

    # -- messages of peers -----------------------------------------------------------

    def answer(self, request: SendRequest) -> None:
        """Answer a peer's request for a permit."""
        if request.limit is not None:
            self.limits.take_row(request.limit)
        if request.cold is not None and self.cold is not None:
            self.cold.note_told(*request.cold)
        grant = self.granter.decide(request.instance)
        answer = SendReply(self.me, request.number, grant.granted, grant.retry_s)
        self.tell(answer, request.node)

    def take_answer(self, answer: SendReply) -> None:
        """Process the leader's answer; ignore one that arrives too late."""
        request = self._requests.get(answer.number)
        if request is not None:
            request.grant = Grant(answer.granted, answer.again_s)
            request.answered.set()
        elif answer.number in self._given_up:
            self._take_late_answer(self._given_up.pop(answer.number), answer)

    def _note_given_up(self, request: PermitRequest) -> None:
        """Record a request for a cold instance to which no answer came in time."""
        old = self.clock() - PERMIT_VALID_S
        for item in [item for item in self._given_up.values() if item.asked_at < old]:
            del self._given_up[item.number]
        self._given_up[request.number] = request

    def _take_late_answer(self, request: PermitRequest, answer: SendReply) -> None:
        """Keep a late permit for the next request, as it counts at the leader.

        Without this, a leader that takes longer to answer grants all that the instance
        takes, and nothing is sent.
        """
        instance = request.instance
        self._silent_until = float('-inf')
        if answer.granted:
            until = request.asked_at + PERMIT_VALID_S
            self._late_permits[instance] = Permit(instance, until)
        else:
            self._retry_at[instance] = self.clock() + answer.again_s

    def forget(self, present: set[str]) -> None:
        """Drop the state of instances that are no longer listed."""
        for name in [name for name in self._retry_at if name not in present]:
            del self._retry_at[name]
        for name in [name for name in self._late_permits if name not in present]:
            del self._late_permits[name]
        if self.unasked is not None:
            self.unasked.forget(present)
        self.granter.forget(present)
