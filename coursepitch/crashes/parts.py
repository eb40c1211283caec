"""Parts of prompts that ran on instances which crashed, and their successes."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from coursepitch.crashes.causes import Incarnation, PartEvidence, find_causes

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from coursepitch.clock import Clock
    from coursepitch.crashes.suspects import Crash, Traits

__all__ = ['PART_PREFIX', 'Scope', 'SuspectPart', 'SuspectParts']

#: Distinguishes the key of a part from the fingerprint of a request.
PART_PREFIX = 'part:'

#: Seconds for which a crash counts against a part, and a success for it.  Callers send
#: the same documents and instructions again and again within a minute or two.
RELEVANT_S = 120.0

#: Seconds after the newest crash until a request with a part that was concluded to
#: crash instances is tried.  Parts that came there by chance, as many instances crashed
#: for another reason, are refused for no longer.
TRIAL_S = 3.0

#: The same once a trial crashed an instance; doubled by each further one.  A fault in a
#: model's software takes longer to fix, and each trial costs an instance.
REFUSE_S = 120.0

#: Seconds for which older crashes of a part that an operator cleared are ignored.
MAX_CLEARED_S = 600.0

#: Maximum number of suspected parts that are kept, and of crashes kept for each.
MAX_PARTS = 512
MAX_CRASHES_KEPT = 8

#: Maximum number of parts that are known to be sound, at about 200 bytes each.
MAX_SOUND_PARTS = 8_192


class Scope(NamedTuple):
    """Requests of which one that succeeds proves that a part of its prompt is sound.

    A success of another customer proves nothing, as a customer may give its parts the
    names of parts of others.

    :param workload: service and model.
    :param software: version of the instance's software; empty if unknown.
    """

    customer: str
    workload: str
    software: str


@dataclass(eq=False)
class SuspectPart:
    """A part of prompts whose requests had just begun on instances that crashed.

    :param crashes: crashes by incarnation of the instance and fingerprint of the
        request; the fingerprint is empty if it is not known.
    :param first_at: monotonic time of the first crash since a request succeeded.
    :param confirmed_at: monotonic time at which it was concluded that the part crashes
        instances; ``None`` if it was not.
    :param tried: whether a trial since then crashed an instance.
    :param companions: parts that it is not told apart from, if it is confirmed: only
        requests with all of them are known to crash instances.
    """

    name: str
    crashes: dict[Incarnation, dict[str, Crash]] = field(default_factory=dict)
    first_at: float = float('inf')
    confirmed_at: float | None = None
    tried: bool = False
    companions: frozenset[str] = frozenset()

    @property
    def key(self) -> str:
        """Key of the part in logs, in the store and for operators."""
        return PART_PREFIX + self.name

    def list_crashes(self) -> Iterator[Crash]:
        """Yield the crashes of all requests with the part."""
        for requests in self.crashes.values():
            yield from requests.values()

    def drop_before(self, at: float) -> None:
        """Forget the crashes up to a monotonic time."""
        for key, requests in list(self.crashes.items()):
            if max(item.at for item in requests.values()) <= at:
                del self.crashes[key]

    @property
    def newest_at(self) -> float:
        """Monotonic time of the newest crash."""
        return max(item.at for item in self.list_crashes())

    @property
    def software(self) -> set[str]:
        """Software versions of the instances that crashed."""
        return {item.software for item in self.list_crashes()}

    @property
    def refuse_s(self) -> float:
        """Seconds after the newest crash for which requests are refused."""
        if not self.tried:
            return TRIAL_S
        times = sorted(
            min(item.at for item in requests.values())
            for requests in self.crashes.values()
        )
        pairs = zip(times, times[1:], strict=False)
        return REFUSE_S * 2.0 ** sum(
            later - earlier >= REFUSE_S for earlier, later in pairs
        )

    @property
    def keep_s(self) -> float:
        """Seconds after the newest crash for which the part is kept."""
        return max(RELEVANT_S, 2 * self.refuse_s)


@dataclass(eq=False)
class SuspectParts:
    """Bounded tables of suspected parts, and of parts that are known to be sound."""

    clock: Clock
    _suspects: dict[str, SuspectPart] = field(default_factory=dict)
    _sound_at: dict[tuple[str, Scope], float] = field(default_factory=dict)
    _cleared_at: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._suspects)

    # -- observations -----------------------------------------------------------------

    def note_crash(self, crash: Crash) -> bool:
        """Record a crash of a run that had just begun; return whether it was news."""
        for name, at in crash.sound_parts:
            self.note_sound(name, crash.scope, at)
        added = [self._note_part(name, crash) for name in crash.parts]
        return any(added)

    def _note_part(self, name: str, crash: Crash) -> bool:
        """Record a crash against a part, unless it is refuted or known."""
        cleared_at = self._cleared_at.get(name, float('-inf'))
        sound_at = self._sound_at.get((name, crash.scope), float('-inf'))
        if crash.at <= max(cleared_at, sound_at):
            return False
        known = self._suspects.get(name)
        if not crash.fingerprint:
            # An entry of the store does not tell when the instance crashed.
            is_known = known is not None and crash.incarnation in known.crashes
            if is_known or self.is_sound(name, crash.scope, crash.at):
                return False
        suspect = known or self._suspects.setdefault(name, SuspectPart(name))
        requests = suspect.crashes.setdefault(crash.incarnation, {})
        if crash.fingerprint in requests:
            return False
        requests[crash.fingerprint] = crash
        suspect.first_at = min(suspect.first_at, crash.at)
        while len(suspect.crashes) > MAX_CRASHES_KEPT:
            oldest = min(
                suspect.crashes,
                key=lambda key: max(x.at for x in suspect.crashes[key].values()),
            )
            del suspect.crashes[oldest]
        if len(self._suspects) > MAX_PARTS:
            self._drop_weakest()
        return name in self._suspects and crash.incarnation in suspect.crashes

    def note_success(self, name: str, scope: Scope, at: float) -> bool:
        """Record that a request with a part succeeded; return whether that was news.

        It is, if the part is suspected and was not known to be sound.
        """
        suspect = self._suspects.get(name)
        is_news = suspect is not None and not self.is_sound(name, scope, at)
        self.note_sound(name, scope, at)
        if suspect is None:
            return False
        for key, requests in list(suspect.crashes.items()):
            for fingerprint, crash in list(requests.items()):
                if crash.scope == scope and crash.at <= at:
                    del requests[fingerprint]
                    is_news = True
            if not requests:
                del suspect.crashes[key]
        if not suspect.crashes:
            del self._suspects[name]
        elif is_news:
            suspect.first_at = min(item.at for item in suspect.list_crashes())
        return is_news

    def clear(self, name: str, at: float) -> bool:
        """Forget all earlier crashes of a part; return whether there were any."""
        suspect = self._suspects.get(name)
        if suspect is None:
            return False
        self._cleared_at[name] = at
        suspect.drop_before(at)
        if not suspect.crashes:
            del self._suspects[name]
        return True

    def note_confirmed(self, name: str, tried: bool) -> None:
        """Record that another node concluded that a part crashes instances.

        :param tried: whether a trial since then crashed an instance.
        """
        suspect = self._suspects.get(name)
        if suspect is None:
            return
        if suspect.confirmed_at is None:
            suspect.confirmed_at = self.clock()
        suspect.tried = suspect.tried or tried

    def note_sound(self, name: str, scope: Scope, at: float) -> None:
        """Record that a request with a part succeeded, for crashes that may follow."""
        at = max(at, self._sound_at.pop((name, scope), at))
        self._sound_at[name, scope] = at
        if len(self._sound_at) > MAX_SOUND_PARTS:
            del self._sound_at[next(iter(self._sound_at))]

    def _drop_weakest(self) -> None:
        """Drop the oldest of the parts with the fewest crashes.

        As with requests, a customer with many parts displaces only its own.
        """
        owners = {
            name: next(item.list_crashes()).customer
            for name, item in self._suspects.items()
        }
        most, _ = collections.Counter(owners.values()).most_common(1)[0]
        least = min(
            (item for name, item in self._suspects.items() if owners[name] == most),
            key=lambda item: (
                item.confirmed_at is not None,
                len(item.crashes),
                item.newest_at,
            ),
        )
        del self._suspects[least.name]

    def drop_crashes(self, incarnation: Incarnation) -> None:
        """Forget the crash of an instance that still runs."""
        for suspect in self._suspects.values():
            suspect.crashes.pop(incarnation, None)

    def sweep(self) -> None:
        """Drop what is too old to tell anything."""
        now = self.clock()
        for name, suspect in list(self._suspects.items()):
            if suspect.confirmed_at is None:
                suspect.drop_before(now - RELEVANT_S)
            if not suspect.crashes or now - suspect.newest_at > suspect.keep_s:
                del self._suspects[name]
        self._cleared_at = {
            name: at
            for name, at in self._cleared_at.items()
            if now - at <= MAX_CLEARED_S
        }

    # -- conclusions ------------------------------------------------------------------

    def find_sound_at(self, name: str, scope: Scope) -> float | None:
        """Return when a request with a part last succeeded, or ``None``."""
        return self._sound_at.get((name, scope))

    def is_sound(self, name: str, scope: Scope, at: float) -> bool:
        """Whether a request with a part succeeded a while before a time, or later."""
        found = self.find_sound_at(name, scope)
        return found is not None and found >= at - RELEVANT_S

    def concerns(
        self, suspect: SuspectPart, traits: Traits, software: Collection[str]
    ) -> bool:
        """Whether the crashes of a part tell of a request.

        They tell of all customers once requests of two crashed instances, and likewise
        of all services and models, but not of those that succeeded since.

        :param software: versions of the software that the request may run on; empty if
            unknown.
        """
        crashes = list(suspect.list_crashes())
        customers = {item.customer for item in crashes}
        workloads = {item.workload for item in crashes}
        if (
            (len(customers) == 1 and traits.customer not in customers)
            or (len(workloads) == 1 and traits.workload not in workloads)
            or (software and not suspect.software & set(software))
        ):
            return False
        since = suspect.confirmed_at
        return since is None or not any(
            (self.find_sound_at(suspect.name, scope) or since) > since
            for scope in (
                Scope(traits.customer, traits.workload, version)
                for version in suspect.software
            )
        )

    def find(self, name: str) -> SuspectPart | None:
        """Return the suspected part with a name, or ``None``."""
        return self._suspects.get(name)

    def list_suspects(self) -> tuple[SuspectPart, ...]:
        """Return all suspected parts."""
        return tuple(self._suspects.values())

    def conclude(
        self, crashed_at: Mapping[Incarnation, float]
    ) -> dict[str, frozenset[str]]:
        """Return the parts that crash instances, and parts they aren't told apart from.

        :param crashed_at: monotonic times of all recent crashes.
        """
        evidence = [self._collect_evidence(item) for item in self._suspects.values()]
        causes = find_causes(evidence, crashed_at)
        for name, suspect in self._suspects.items():
            if name not in causes:
                suspect.confirmed_at, suspect.tried = None, False
                continue
            suspect.companions = causes[name]
            if suspect.confirmed_at is None:
                suspect.confirmed_at = self.clock()
            # Only trials run after that time.
            elif suspect.newest_at >= suspect.confirmed_at + TRIAL_S:
                suspect.tried = True
        return causes

    def _collect_evidence(self, suspect: SuspectPart) -> PartEvidence:
        found = suspect.crashes
        requests = [set(item) for item in found.values()]
        return PartEvidence(
            suspect.name,
            {
                key: frozenset(
                    name for item in found[key].values() for name in item.parts
                )
                for key in found
            },
            sum(not self._is_proven(suspect.name, item) for item in found.values()),
            suspect.newest_at - suspect.first_at if found else 0.0,
            bool(set.intersection(*requests) - {''}) if requests else False,
            suspect.confirmed_at is not None,
        )

    def _is_proven(self, name: str, requests: Mapping[str, Crash]) -> bool:
        """Whether the kinds of all of these requests succeeded with a part of late."""
        return all(
            self.is_sound(name, item.scope, item.at) for item in requests.values()
        )
