"""Parts of prompts that explain crashes of instances: a decision over what was seen.

A crash interrupts all requests of an instance, so that the parts of most of their
prompts came there by chance.  Parts are told apart by what succeeded, and by explaining
each crash by as few parts as possible.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ['Incarnation', 'PartEvidence', 'find_causes']

#: Crashed instances after which a part may be their cause.  Users accept five, and a
#: few more requests until all nodes can know of them.
MIN_CRASHES = 3

#: The same for a part with which requests of the same kind succeeded of late, and the
#: shortest time in seconds in which none succeeded: when many instances crash at once
#: for another reason, popular parts have as many crashes in a moment.
MIN_CRASHES_IF_SOUND = 6
MIN_SPAN_IF_SOUND_S = 1.0

#: Smallest share of the crashes during its own that a part must explain.  It is not one
#: half, as several parts may crash instances at the same time.
MIN_EXPLAINED_SHARE = 0.25

#: Crashes of a part without another one up to which they cannot be told apart.  One may
#: be due to chance.
MAX_CRASHES_APART = 1

#: Name and start of an instance, which identify its incarnation.
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """What speaks for and against a part as the cause of crashes.

    :param crashes: instances that crashed while a request with the part had just begun
        there, with the parts that came along in such requests.
    :param unproven: number of these whose requests were of a kind with which the part
        has not succeeded of late.
    :param span_s: seconds between the first and the newest of the crashes, including
        those that are no longer kept.
    :param is_from_one_request: whether one request, sent again and again, was on all of
        these instances, which explains them as well.
    :param confirmed: whether it was the cause of enough of these crashes before.
    """

    name: str
    crashes: Mapping[Incarnation, Collection[str]]
    unproven: int
    span_s: float = 0.0
    is_from_one_request: bool = False
    confirmed: bool = False

    @property
    def is_sound(self) -> bool:
        """Whether requests with the part succeeded of late."""
        return self.unproven < MIN_CRASHES

    @property
    def min_crashes(self) -> int:
        """Crashes that only the part must explain to be their cause."""
        return MIN_CRASHES_IF_SOUND if self.is_sound else MIN_CRASHES

    def is_candidate(self) -> bool:
        """Whether the part may be the cause if nothing else explains its crashes."""
        if self.confirmed:
            return True
        if self.is_sound and self.span_s < MIN_SPAN_IF_SOUND_S:
            return False
        return len(self.crashes) >= self.min_crashes and not self.is_from_one_request


def find_causes(
    evidence: Collection[PartEvidence], crashed_at: Mapping[Incarnation, float]
) -> dict[str, frozenset[str]]:
    """Return the parts that crash instances, each with parts it is not told apart from.

    Only a request with a part and all of these is known to crash an instance.

    :param crashed_at: monotonic times of all recent crashes.
    """
    candidates = [item for item in evidence if item.is_candidate()]
    candidates.sort(key=lambda item: (item.is_sound, -len(item.crashes), item.name))
    causes: dict[str, frozenset[str]] = {}
    explained: set[Incarnation] = set()
    for item in candidates:
        rest = len(item.crashes.keys() - explained)
        share = _find_explained_share(item, crashed_at, explained)
        if rest < (MIN_CRASHES if item.confirmed else item.min_crashes):
            continue
        if not item.confirmed and share < MIN_EXPLAINED_SHARE:
            continue
        causes[item.name] = _find_companions(item, candidates)
        explained |= item.crashes.keys()
    return causes


def _find_companions(
    item: PartEvidence, candidates: Collection[PartEvidence]
) -> frozenset[str]:
    """Return the candidates that came with a part in all but a few of its crashes."""
    return frozenset(
        other.name
        for other in candidates
        if other is not item
        and other.is_sound == item.is_sound
        and sum(other.name not in along for along in item.crashes.values())
        <= MAX_CRASHES_APART
    )


def _find_explained_share(
    item: PartEvidence,
    crashed_at: Mapping[Incarnation, float],
    explained: Collection[Incarnation],
) -> float:
    """Return the share of the crashes that a part explains, during its newest ones.

    When most instances crash for another reason, each part is on some of them.
    """
    times = sorted(crashed_at[key] for key in item.crashes if key in crashed_at)
    newest = times[-item.min_crashes :]
    if not newest:
        return 0.0
    during = [
        key
        for key, at in crashed_at.items()
        if newest[0] <= at <= newest[-1]
        and (key in item.crashes or key not in explained)
    ]
    return sum(key in item.crashes for key in during) / len(during)
