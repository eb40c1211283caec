"""Requests under which instances ended, as this node and its peers saw it.

An instance that ends takes all its requests along, and at most one of them is guilty.
So one crash makes suspects of all that it took, and only a request under which several
instances ended is refused.  A run that ends well clears a request.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

    from coursepitch.clock import Clock

__all__ = ['Acquittal', 'Crash', 'Suspect', 'SuspectTable']

#: Instances that ended under a request after which it is refused whatever else ended.
#: Source: users bear three, and a few runs more until all nodes can know of them.
KNOWN_AFTER = 3

#: The same for a request that alone explains all ends of late: it had each instance
#: that ended, but for those under known ones, and no other had more than one of these.
ALONE_AFTER = 2

#: Seconds after a crash until all nodes told which requests they had there.  Source:
#: 0.02 s for which reports are gathered, and some milliseconds on each of two links.
SETTLE_S = 0.06

#: Seconds for which a crash speaks against a request that isn't refused yet.  Source:
#: clients come again within their deadline, 8 s, and callers with the same work
#: within a minute or two.
EVIDENCE_S = 120.0

#: Seconds for which a request is refused after the last crash; each crash beyond those
#: that it took doubles them, up to the most.  Source: a fault of a model's software is
#: mended in minutes at best, and one instance lost in ten minutes is borne.
REFUSE_S = 600.0
MOST_REFUSE_S = 86_400.0

#: The same while most of the instances that ended did so without the request, so that
#: chance may have put it where others ended: until such a wave is over.
WAVE_REFUSE_S = 10.0

#: Seconds after a crash in which no other node runs a request with two crashes: whether
#: it is guilty is known by then, and its tries don't run beside each other.
PAUSE_S = 1.0

#: Requests that are kept, a fifth of a kilobyte each, and crashes kept for each.
MOST_SUSPECTS = 512
MOST_CRASHES = 8

#: Ends of instances that are kept to tell chance from guilt: a third of 3,200.
MOST_ENDS = 1_024


@dataclass(frozen=True, slots=True)
class Crash:
    """An instance ended while it had a request.

    :param fingerprint: of the request.
    :param customer: whose request it was; empty on public routes.
    :param born: Unix millisecond at which the instance had started; 0 if untold.
    :param at: reading of this node's clock.
    :param seen_by: the node that saw it.
    :param software: version of the program that ran there; empty where untold.
    """

    fingerprint: str
    customer: str
    instance: str
    born: int
    at: float
    seen_by: str
    software: str = ''

    @property
    def incarnation(self) -> tuple[str, int]:
        """The start of the instance that ended."""
        return self.instance, self.born


@dataclass(frozen=True, slots=True)
class Acquittal:
    """A run of a suspected request ended well, or an operator cleared it.

    :param at: reading of this node's clock.
    """

    fingerprint: str
    at: float


@dataclass(eq=False)
class Suspect:
    """A request under which instances ended.

    :param crashes: by incarnation of an instance, in the order in which they came.
    :param known: whether it was found to end instances.
    :param by_chance: whether most instances ended without it, when it was found so.
    """

    fingerprint: str
    customer: str
    crashes: dict[tuple[str, int], Crash] = field(default_factory=dict)
    known: bool = False
    by_chance: bool = False

    @property
    def newest_at(self) -> float:
        """Reading of this node's clock at the newest crash."""
        return max(item.at for item in self.crashes.values())

    @property
    def software(self) -> set[str]:
        """Versions of the programs that ended under it."""
        return {item.software for item in self.crashes.values()}

    @property
    def refuse_s(self) -> float:
        """Seconds after the newest crash for which the request is refused."""
        beyond = max(0, len(self.crashes) - KNOWN_AFTER)
        if self.by_chance and not beyond:
            return WAVE_REFUSE_S
        return min(MOST_REFUSE_S, REFUSE_S * 2.0**beyond)

    @property
    def keep_s(self) -> float:
        """Seconds after the newest crash for which the request is remembered.

        Longer than it is refused: one crash more then shows that nothing has changed.
        """
        return max(EVIDENCE_S, 2 * self.refuse_s) if self.known else EVIDENCE_S


@dataclass(eq=False)
class SuspectTable:
    """Suspects by fingerprint, bounded; a full table drops the least telling one.

    :param stands: whether an instance's entry shows that it did not end after all,
        such as after a network that refused connections was mended.
    """

    clock: Clock
    stands: Callable[[Crash], bool] = lambda crash: False
    _suspects: dict[str, Suspect] = field(default_factory=dict)
    _acquitted: dict[str, float] = field(default_factory=dict)
    _ends: dict[tuple[str, int], float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._suspects)

    # -- what was seen --------------------------------------------------------------

    def note_crash(self, crash: Crash) -> bool:
        """Take a crash; return whether it was news."""
        self._ends.setdefault(crash.incarnation, crash.at)
        if len(self._ends) > MOST_ENDS:
            del self._ends[next(iter(self._ends))]
        if crash.at <= self._acquitted.get(crash.fingerprint, float('-inf')):
            return False
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            suspect = Suspect(crash.fingerprint, crash.customer)
            self._suspects[crash.fingerprint] = suspect
        if crash.incarnation in suspect.crashes:
            return False
        suspect.crashes[crash.incarnation] = crash
        if len(suspect.crashes) > MOST_CRASHES:
            del suspect.crashes[next(iter(suspect.crashes))]
        if len(self._suspects) > MOST_SUSPECTS:
            self._drop_least_telling()
        return crash.fingerprint in self._suspects

    def note_known(self, fingerprint: str) -> None:
        """Take another node's word that a suspect is known to end instances."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.known = True

    def acquit(self, acquittal: Acquittal) -> bool:
        """Clear a request of all crashes before; return whether it was suspected."""
        known = self._acquitted.get(acquittal.fingerprint, float('-inf'))
        suspect = self._suspects.get(acquittal.fingerprint)
        if suspect is None or acquittal.at <= known:
            return False
        self._acquitted[acquittal.fingerprint] = acquittal.at
        while len(self._acquitted) > MOST_SUSPECTS:
            del self._acquitted[next(iter(self._acquitted))]
        for key, crash in list(suspect.crashes.items()):
            if crash.at <= acquittal.at:
                del suspect.crashes[key]
        if not suspect.crashes:
            del self._suspects[acquittal.fingerprint]
        return True

    def _drop_least_telling(self) -> None:
        """Drop the suspect with the fewest crashes, the oldest of these.

        Of the customer that has most suspects: who sends ten thousand bodies pushes out
        none but its own.
        """
        counts = collections.Counter(item.customer for item in self._suspects.values())
        most = max(counts.values())
        crowded = [
            item for item in self._suspects.values() if counts[item.customer] == most
        ]
        least = min(crowded, key=lambda item: (len(item.crashes), item.newest_at))
        del self._suspects[least.fingerprint]

    def sweep(self) -> None:
        """Forget what is too old, and crashes that turned out to be none."""
        now = self.clock()
        for suspect in list(self._suspects.values()):
            for key, crash in list(suspect.crashes.items()):
                if self.stands(crash):
                    del suspect.crashes[key]
                    self._ends.pop(key, None)
            if not suspect.crashes or now - suspect.newest_at > suspect.keep_s:
                del self._suspects[suspect.fingerprint]
        start = now - REFUSE_S
        self._acquitted = {
            name: at for name, at in self._acquitted.items() if at >= start
        }
        start = now - EVIDENCE_S
        self._ends = {key: at for key, at in self._ends.items() if at >= start}

    # -- what follows from it -------------------------------------------------------

    def find(self, fingerprint: str) -> Suspect | None:
        """Return a suspect, or ``None``."""
        return self._suspects.get(fingerprint)

    def list_suspects(self) -> Iterable[Suspect]:
        """Return all suspects."""
        return tuple(self._suspects.values())

    def find_refused_s(self, fingerprint: str, software: Collection[str] = ()) -> float:
        """Return the seconds for which a request is refused from now on; 0 for none.

        :param software: versions that run at the instances it may go to.  Where it
            ended none of them, it is tried again.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_known(suspect):
            return 0.0
        if software and not suspect.software & set(software):
            return 0.0
        return max(0.0, suspect.newest_at + suspect.refuse_s - self.clock())

    def find_pause_s(self, fingerprint: str) -> float:
        """Return the seconds for which another node runs a request now; 0 for none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < ALONE_AFTER:
            return 0.0
        return max(0.0, suspect.newest_at + PAUSE_S - self.clock())

    def list_refused(self) -> list[Suspect]:
        """Return the suspects that are refused now."""
        return [
            item
            for item in self._suspects.values()
            if self.find_refused_s(item.fingerprint) > 0
        ]

    def _is_known(self, suspect: Suspect) -> bool:
        """Whether a request is known to end instances; once it is, it stays so."""
        count = len(suspect.crashes)
        if count < ALONE_AFTER:
            suspect.known = False
        elif suspect.known:
            pass
        elif count >= KNOWN_AFTER:
            suspect.known = True
            suspect.by_chance = not self._explains_half(suspect)
        elif self.clock() - suspect.newest_at >= SETTLE_S:
            suspect.known = self._explains_all(suspect)
        return suspect.known

    def _list_unexplained(self, suspect: Suspect) -> Iterator[tuple[str, int]]:
        """Yield the ends of late that neither a request explains nor a known one."""
        start = self.clock() - EVIDENCE_S
        known = [
            item
            for item in self._suspects.values()
            if item is suspect or (item.known and not item.by_chance)
        ]
        for key, at in self._ends.items():
            if at >= start and not any(key in item.crashes for item in known):
                yield key

    def _explains_half(self, suspect: Suspect) -> bool:
        """Whether a request had at least half of the instances that ended of late."""
        unexplained = sum(1 for _ in self._list_unexplained(suspect))
        return len(suspect.crashes) >= unexplained

    def _explains_all(self, suspect: Suspect) -> bool:
        """Whether a request, and it alone, had every instance that ended of late."""
        if next(self._list_unexplained(suspect), None) is not None:
            return False
        return not any(
            len(other.crashes) >= ALONE_AFTER and not other.known
            for other in self._suspects.values()
            if other is not suspect
        )
