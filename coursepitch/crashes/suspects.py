"""Requests suspected of crashing instances, from crashes seen by this node and peers.

A crash of an instance ends all its requests, of which at most one caused it.  So one
crash makes all of them suspects, and a request is refused only after several instances
crashed while they ran it.  A successful run clears a request.

What crashes instances may also be a part of a prompt that several requests share, see
:mod:`coursepitch.crashes.parts`.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from coursepitch.crashes.parts import PART_PREFIX, Scope, SuspectPart, SuspectParts

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

    from coursepitch.clock import Clock

__all__ = ['Clearance', 'Crash', 'Suspect', 'SuspectTable', 'Traits']

#: Crashed instances after which a request is refused, regardless of other crashes.
#: Users accept three, and a few more runs until all nodes can know of them.
CRASHES_TO_CONFIRM = 3

#: The same for a request that alone explains all recent crashes: it ran on every
#: instance that crashed, except those explained by confirmed requests, and no other
#: request ran on more than one of them.
CRASHES_TO_CONFIRM_ALONE = 2

#: Seconds after a crash until all nodes have reported their requests on the instance:
#: 0.02 s for which reports are batched, and some milliseconds on each of two links.
REPORT_DELAY_S = 0.06

#: Seconds for which a crash counts against a request that isn't refused yet.  Clients
#: retry within their deadline of 8 s, and callers send the same work again within a
#: minute or two.
CRASH_RELEVANT_S = 120.0

#: Seconds for which a request is refused after its last crash, doubled by each crash
#: beyond :data:`CRASHES_TO_CONFIRM`, and their maximum.  A fault in a model's software
#: takes minutes to fix at best, and losing one instance in ten minutes is acceptable.
REFUSE_S = 600.0
MAX_REFUSE_S = 86_400.0

#: The same if most of the crashed instances did not run the request, so that it may
#: have run on the others by chance: until such a series of crashes is over.
COINCIDENCE_REFUSE_S = 10.0

#: Seconds after a crash in which other nodes don't run a request with two crashes.  By
#: then it is known whether it caused them, and its retries don't run concurrently.
RETRY_PAUSE_S = 1.0

#: Maximum number of suspected requests that are kept, at about 200 bytes each, and of
#: crashes kept for each.
MAX_SUSPECTS = 512
MAX_CRASHES_KEPT = 8

#: Maximum number of crashes of instances that are kept to tell cause from coincidence:
#: a third of 3,200 instances.
MAX_INSTANCE_CRASHES = 1_024


@dataclass(frozen=True, slots=True)
class Traits:
    """What a request may share with others under which instances crashed.

    :param customer: customer that sent the request; empty on public routes.
    :param workload: service and model that it is for.
    :param parts: names of the parts of its prompt.
    """

    fingerprint: str
    customer: str = ''
    workload: str = ''
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an instance while it ran a request.

    :param fingerprint: fingerprint of the request; empty if only a part of its prompt
        is known.
    :param customer: customer that sent the request; empty on public routes.
    :param born: start of the instance in Unix milliseconds; 0 if unknown.
    :param at: monotonic time of this node at the crash.
    :param seen_by: node that observed the crash.
    :param software: version of the instance's software; empty if unknown.
    :param workload: service and model that the request was for.
    :param parts: names of the parts of its prompt, if it had just begun to run; empty
        otherwise.
    :param sound_parts: those of them with which requests of the same scope succeeded,
        as far as the observing node knows, and monotonic times at which the last did.
    """

    fingerprint: str
    customer: str
    instance: str
    born: int
    at: float
    seen_by: str
    software: str = ''
    workload: str = ''
    parts: tuple[str, ...] = ()
    sound_parts: tuple[tuple[str, float], ...] = ()

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start of the instance, which identify its incarnation."""
        return self.instance, self.born

    def shift(self, seconds: float, latest: float) -> Crash:
        """Return the crash with times of another clock, none later than the latest."""
        return replace(
            self,
            at=min(latest, self.at + seconds),
            sound_parts=tuple(
                (name, min(latest, at + seconds)) for name, at in self.sound_parts
            ),
        )

    @property
    def scope(self) -> Scope:
        """Requests whose success proves that a part of the prompt is sound."""
        return Scope(self.customer, self.workload, self.software)


@dataclass(frozen=True, slots=True)
class Clearance:
    """A successful run of a suspected request, or an operator's decision to clear it.

    :param fingerprint: fingerprint of the request, or key of a part.
    :param at: monotonic time of this node.
    :param scope: requests for which a part is cleared; ``None`` for all.
    """

    fingerprint: str
    at: float
    scope: Scope | None = None


@dataclass(eq=False)
class Suspect:
    """A request that ran on instances that crashed.

    :param crashes: crashes by incarnation of the instance, in order of arrival.
    :param confirmed: whether the request is confirmed to crash instances.
    :param by_chance: whether most crashed instances did not run it when it was
        confirmed.
    """

    fingerprint: str
    customer: str
    crashes: dict[tuple[str, int], Crash] = field(default_factory=dict)
    confirmed: bool = False
    by_chance: bool = False

    @property
    def key(self) -> str:
        """Key of the request in logs, in the store and for operators."""
        return self.fingerprint

    def list_crashes(self) -> Iterator[Crash]:
        """Yield the crashes."""
        yield from self.crashes.values()

    @property
    def newest_at(self) -> float:
        """Monotonic time of the newest crash."""
        return max(item.at for item in self.crashes.values())

    @property
    def software(self) -> set[str]:
        """Software versions of the instances that crashed."""
        return {item.software for item in self.crashes.values()}

    @property
    def refuse_s(self) -> float:
        """Seconds after the newest crash for which the request is refused."""
        beyond = max(0, len(self.crashes) - CRASHES_TO_CONFIRM)
        if self.by_chance and not beyond:
            return COINCIDENCE_REFUSE_S
        return min(MAX_REFUSE_S, REFUSE_S * 2.0**beyond)

    @property
    def keep_s(self) -> float:
        """Seconds after the newest crash for which the request is kept.

        This is longer than it is refused: if one more crash follows, it is refused
        again.
        """
        return (
            max(CRASH_RELEVANT_S, 2 * self.refuse_s)
            if self.confirmed
            else CRASH_RELEVANT_S
        )


@dataclass(eq=False)
class SuspectTable:
    """Bounded table of suspected requests; a full table drops the weakest suspect.

    :param still_runs: whether an instance's entry shows that it did not crash after
        all, such as when a network fault that refused connections has ended.
    """

    clock: Clock
    still_runs: Callable[[Crash], bool] = lambda crash: False
    _suspects: dict[str, Suspect] = field(default_factory=dict)
    _cleared_at: dict[str, float] = field(default_factory=dict)
    _instance_crashes: dict[tuple[str, int], float] = field(default_factory=dict)
    _causes: dict[str, frozenset[str]] | None = None

    def __post_init__(self) -> None:
        self.parts = SuspectParts(self.clock)

    def __len__(self) -> int:
        return len(self._suspects) + len(self.parts)

    # -- observations -----------------------------------------------------------------

    def note_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it was not known."""
        self._causes = None
        self._instance_crashes.setdefault(crash.incarnation, crash.at)
        if len(self._instance_crashes) > MAX_INSTANCE_CRASHES:
            del self._instance_crashes[next(iter(self._instance_crashes))]
        is_new_of_part = self.parts.note_crash(crash)
        return self._note_request(crash) or is_new_of_part

    def _note_request(self, crash: Crash) -> bool:
        """Record a crash for the request that ran; return whether it was not known."""
        if not crash.fingerprint:
            return False
        if crash.at <= self._cleared_at.get(crash.fingerprint, float('-inf')):
            return False
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            suspect = Suspect(crash.fingerprint, crash.customer)
            self._suspects[crash.fingerprint] = suspect
        if crash.incarnation in suspect.crashes:
            return False
        suspect.crashes[crash.incarnation] = crash
        if len(suspect.crashes) > MAX_CRASHES_KEPT:
            del suspect.crashes[next(iter(suspect.crashes))]
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop_weakest()
        return crash.fingerprint in self._suspects

    def note_confirmed(self, fingerprint: str, tried: bool = False) -> None:
        """Record that another node confirmed that a suspect crashes instances.

        :param fingerprint: fingerprint of a request, or key of a part.
        :param tried: whether a trial since then crashed an instance.
        """
        if fingerprint.startswith(PART_PREFIX):
            name = fingerprint.removeprefix(PART_PREFIX)
            self.parts.note_confirmed(name, tried)
            self._causes = None
            return
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.confirmed = True

    def clear(self, clearance: Clearance) -> bool:
        """Clear a request or a part of earlier crashes; return whether it was news."""
        name = clearance.fingerprint
        if not name.startswith(PART_PREFIX):
            return self._clear_request(clearance)
        name = name.removeprefix(PART_PREFIX)
        if clearance.scope is None:
            is_news = self.parts.clear(name, clearance.at)
        else:
            is_news = self.parts.note_success(name, clearance.scope, clearance.at)
        if is_news:
            self._causes = None
        return is_news

    def _clear_request(self, clearance: Clearance) -> bool:
        """Clear a request of all earlier crashes; return whether it was suspected."""
        cleared_at = self._cleared_at.get(clearance.fingerprint, float('-inf'))
        suspect = self._suspects.get(clearance.fingerprint)
        if suspect is None or clearance.at <= cleared_at:
            return False
        self._cleared_at[clearance.fingerprint] = clearance.at
        while len(self._cleared_at) > MAX_SUSPECTS:
            del self._cleared_at[next(iter(self._cleared_at))]
        for key, crash in list(suspect.crashes.items()):
            if crash.at <= clearance.at:
                del suspect.crashes[key]
        if not suspect.crashes:
            del self._suspects[clearance.fingerprint]
        return True

    def _drop_weakest(self) -> None:
        """Drop the oldest of the suspects with the fewest crashes.

        Only suspects of the customer that has most of them are considered, so that a
        customer that sends thousands of different bodies displaces only its own.
        """
        counts = collections.Counter(item.customer for item in self._suspects.values())
        most = max(counts.values())
        crowded = [
            item for item in self._suspects.values() if counts[item.customer] == most
        ]
        least = min(crowded, key=lambda item: (len(item.crashes), item.newest_at))
        del self._suspects[least.fingerprint]

    def sweep(self) -> None:
        """Drop expired state, and crashes of instances that still run."""
        now = self.clock()
        for crash in self.list_crashes():
            if self.still_runs(crash):
                self._drop_crashes(crash.incarnation)
        for suspect in list(self._suspects.values()):
            if not suspect.crashes or now - suspect.newest_at > suspect.keep_s:
                del self._suspects[suspect.fingerprint]
        self.parts.sweep()
        self._causes = None
        start = now - REFUSE_S
        self._cleared_at = {
            name: at for name, at in self._cleared_at.items() if at >= start
        }
        start = now - CRASH_RELEVANT_S
        self._instance_crashes = {
            key: at for key, at in self._instance_crashes.items() if at >= start
        }

    def _drop_crashes(self, incarnation: tuple[str, int]) -> None:
        """Forget the crash of an instance that still runs."""
        self._instance_crashes.pop(incarnation, None)
        self.parts.drop_crashes(incarnation)
        for suspect in self._suspects.values():
            suspect.crashes.pop(incarnation, None)

    # -- conclusions ------------------------------------------------------------------

    def has_crashed(self, incarnation: tuple[str, int]) -> bool:
        """Whether an incarnation is known to have crashed in recent minutes.

        :param incarnation: name and start of an instance, as in a crash.
        """
        return incarnation in self._instance_crashes

    def find(self, fingerprint: str) -> Suspect | None:
        """Return the suspect with a fingerprint, or ``None``."""
        return self._suspects.get(fingerprint)

    def list_suspects(self) -> Iterable[Suspect]:
        """Return all suspects."""
        return tuple(self._suspects.values())

    def find_refused_s(self, fingerprint: str, software: Collection[str] = ()) -> float:
        """Return the seconds for which a request is still refused; 0 if it is not.

        :param software: software versions of the instances that it may be sent to.  If
            it crashed none of these versions, it is not refused.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_confirmed(suspect):
            return 0.0
        if software and not suspect.software & set(software):
            return 0.0
        return max(0.0, suspect.newest_at + suspect.refuse_s - self.clock())

    def find_pause_s(self, fingerprint: str) -> float:
        """Return the seconds for which a request must wait for another node's run.

        It is 0 if the request need not wait.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._count_crashes(suspect) < CRASHES_TO_CONFIRM_ALONE:
            return 0.0
        return max(0.0, suspect.newest_at + RETRY_PAUSE_S - self.clock())

    def list_keys(self) -> set[str]:
        """Return the keys of all suspected requests and parts."""
        return {item.key for item in self._list_all()}

    def _list_all(self) -> list[Suspect | SuspectPart]:
        return [*self.list_suspects(), *self.parts.list_suspects()]

    def list_crashes(self) -> list[Crash]:
        """Return all crashes that count against requests or parts."""
        found = (
            crash for suspect in self._list_all() for crash in suspect.list_crashes()
        )
        return list(dict.fromkeys(found))

    def list_refused(self) -> list[Suspect]:
        """Return the suspects whose requests are refused now."""
        return [
            item
            for item in self._suspects.values()
            if self.find_refused_s(item.fingerprint) > 0
        ]

    # -- parts of prompts -------------------------------------------------------------

    def find_crashing_part(
        self, traits: Traits, software: Collection[str] = ()
    ) -> SuspectPart | None:
        """Return the part of a request that crashes instances, or ``None``.

        :param software: software versions of the instances that it may be sent to.
        """
        if not len(self.parts):
            return None
        causes = self.list_causes()
        for name in traits.parts:
            companions = causes.get(name)
            if companions is None or not companions <= set(traits.parts):
                continue
            part = self.parts.find(name)
            if part is not None and self.parts.concerns(part, traits, software):
                return part
        return None

    def find_part_refused_s(self, part: SuspectPart) -> float:
        """Return the seconds for which requests with a part are still refused.

        Then one is tried at a time.
        """
        return max(0.0, part.newest_at + part.refuse_s - self.clock())

    def is_trial_due(self, name: str) -> bool:
        """Whether a part was refused for long enough for a request to be tried.

        :param name: name of the part.
        """
        part = self.parts.find(name)
        known = part is not None and name in self.list_causes()
        return known and part is not None and not self.find_part_refused_s(part)

    def list_causes(self) -> dict[str, frozenset[str]]:
        """Return the parts that crash instances, each with its companions."""
        if self._causes is None:
            self._causes = self.parts.conclude(self._instance_crashes)
        return self._causes

    def list_refused_parts(self) -> list[SuspectPart]:
        """Return the parts whose requests are refused now."""
        return [
            item
            for item in map(self.parts.find, self.list_causes())
            if item is not None and self.find_part_refused_s(item) > 0
        ]

    def _list_crashes_of_parts(self) -> set[tuple[str, int]]:
        """Return the crashes that parts of prompts explain."""
        if not len(self.parts):
            return set()
        found = map(self.parts.find, self.list_causes())
        return {key for item in found if item is not None for key in item.crashes}

    # -- requests ---------------------------------------------------------------------

    def _count_crashes(self, suspect: Suspect) -> int:
        """Return the number of a suspect's crashes that no part explains."""
        return len(suspect.crashes.keys() - self._list_crashes_of_parts())

    def _is_confirmed(self, suspect: Suspect) -> bool:
        """Whether a request is confirmed to crash instances; this is then kept."""
        count = self._count_crashes(suspect)
        if count < CRASHES_TO_CONFIRM_ALONE:
            suspect.confirmed = False
        elif suspect.confirmed:
            pass
        elif count >= CRASHES_TO_CONFIRM:
            suspect.confirmed = True
            suspect.by_chance = not self._explains_half_of_crashes(suspect)
        elif self.clock() - suspect.newest_at >= REPORT_DELAY_S:
            suspect.confirmed = self._explains_all_crashes(suspect)
        return suspect.confirmed

    def _list_unexplained_crashes(self, suspect: Suspect) -> Iterator[tuple[str, int]]:
        """Yield recent crashes on which neither the suspect nor a confirmed one ran."""
        start = self.clock() - CRASH_RELEVANT_S
        explained = self._list_crashes_of_parts() - suspect.crashes.keys()
        confirmed = [
            item
            for item in self._suspects.values()
            if item is suspect or (item.confirmed and not item.by_chance)
        ]
        for key, at in self._instance_crashes.items():
            if (
                at >= start
                and key not in explained
                and not any(key in item.crashes for item in confirmed)
            ):
                yield key

    def _explains_half_of_crashes(self, suspect: Suspect) -> bool:
        """Whether a request ran on at least half of the recently crashed instances."""
        unexplained = sum(1 for _ in self._list_unexplained_crashes(suspect))
        return len(suspect.crashes) >= unexplained

    def _explains_all_crashes(self, suspect: Suspect) -> bool:
        """Whether a request alone ran on every recently crashed instance."""
        if next(self._list_unexplained_crashes(suspect), None) is not None:
            return False
        return not any(
            len(other.crashes) >= CRASHES_TO_CONFIRM_ALONE and not other.confirmed
            for other in self._suspects.values()
            if other is not suspect
        )
