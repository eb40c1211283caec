"""Table of records that nodes pass on; pure but for the clock it is given.

Each record has one origin, which numbers its states; the highest number wins.
A record carries its age, which every hop adds to, so that no clocks have to
agree.  Source: design note ``peers``.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.peers.records import Body

__all__ = ['Known', 'Merge', 'Record', 'RecordKey', 'Table', 'Wire']

#: Records older than this many seconds are dropped.
FORGET_S = 60.0


@dataclass(frozen=True, slots=True)
class RecordKey:
    """Kind and subject of a record and the node that makes it."""

    kind: str
    subject: str
    origin: str


@dataclass(frozen=True, slots=True)
class Record:
    """A record as held here.

    :param boot: number of the run of its origin.
    :param number: number of this state within the run.
    :param content: number of the state in which the body last changed.
    :param made_at: local monotonic time, at the latest, at which it was made.
    """

    key: RecordKey
    boot: int
    number: int
    content: int
    made_at: float
    body: Body


@dataclass(frozen=True, slots=True)
class Wire:
    """A record on its way; without a body when the peer has the same one."""

    key: RecordKey
    boot: int
    number: int
    content: int
    age_s: float
    body: Body | None


@dataclass(frozen=True, slots=True)
class Known:
    """The newest state of a record that a peer is known to hold."""

    boot: int
    number: int
    content: int


class Merge(Enum):
    """What a record from a peer was here."""

    OLD = 'old'
    SAME = 'same body, newer state'
    NEWS = 'new body'
    LACKING = 'no body, and none held that it could stand for'


class Table:
    """The records that a node holds, the last updated one at the end.

    ``stamp`` counts the updates made here.
    """

    def __init__(self, origin: str, boot: int) -> None:
        self._origin = origin
        self._boot = boot
        self._number = 0
        self._records: dict[RecordKey, Record] = {}
        self._kinds: dict[str, dict[RecordKey, Record]] = {}
        self._stamps: dict[RecordKey, int] = {}
        self.stamp = 0

    def publish(self, kind: str, subject: str, body: Body, made_at: float) -> bool:
        """Make a new state of an own record; return whether the body changed.

        :param made_at: monotonic time at which the body was true.
        """
        key = RecordKey(kind, subject, self._origin)
        held = self._records.get(key)
        self._number += 1
        changed = held is None or held.body != body
        content = self._number if changed or held is None else held.content
        self._keep(Record(key, self._boot, self._number, content, made_at, body))
        return changed

    def _keep(self, record: Record) -> None:
        self.stamp += 1
        self._stamps[record.key] = self.stamp
        self._records.pop(record.key, None)
        self._records[record.key] = record
        self._kinds.setdefault(record.key.kind, {})[record.key] = record

    def _drop(self, key: RecordKey) -> None:
        if self._records.pop(key, None) is not None:
            del self._kinds[key.kind][key]
            del self._stamps[key]

    def withdraw(self, kind: str, subject: str) -> None:
        """Stop refreshing an own record; peers drop it by its age."""
        self._drop(RecordKey(kind, subject, self._origin))

    def merge(self, wire: Wire, now: float) -> Merge:
        """Take a record from a peer."""
        if wire.key.origin == self._origin:
            return Merge.OLD
        held = self._records.get(wire.key)
        state = (wire.boot, wire.number)
        if held is not None and state <= (held.boot, held.number):
            return Merge.OLD
        made_at = now - wire.age_s
        if wire.body is not None:
            self._keep(Record(wire.key, *state, wire.content, made_at, wire.body))
            same = held is not None and held.body == wire.body
            return Merge.SAME if same else Merge.NEWS
        if held is None or (held.boot, held.content) != (wire.boot, wire.content):
            return Merge.LACKING
        self._keep(replace(held, number=wire.number, made_at=made_at))
        return Merge.SAME

    def list_news(
        self, known: dict[RecordKey, Known], now: float, since: int = 0
    ) -> list[Wire]:
        """Return what a peer lacks, given what it is known to hold.

        :param since: stamp of the last listing for the peer; records that
            were not updated after it are not looked at.
        """
        news = []
        for key, record in reversed(self._records.items()):
            if self._stamps[key] <= since:
                break
            held = known.get(key)
            if held and (held.boot, held.number) >= (record.boot, record.number):
                continue
            same = held and (held.boot, held.content) == (record.boot, record.content)
            news.append(
                Wire(
                    key,
                    record.boot,
                    record.number,
                    record.content,
                    max(0.0, now - record.made_at),
                    None if same else record.body,
                )
            )
        return news

    def drop_old(self, now: float) -> None:
        """Drop records that nobody refreshed for a minute."""
        old = [
            key
            for key, record in self._records.items()
            if now - record.made_at > FORGET_S
        ]
        for key in old:
            self._drop(key)

    def find(self, key: RecordKey) -> Record | None:
        """Return a record, or ``None``."""
        return self._records.get(key)

    def read(self, kind: str = '') -> tuple[Record, ...]:
        """Return all records, or those of a kind."""
        if kind:
            return tuple(self._kinds.get(kind, {}).values())
        return tuple(self._records.values())
