"""Table of the records that nodes exchange; performs no I/O.

Each record has one origin, which numbers its states; the highest number wins.
A record carries its age, to which every hop adds, so that nodes need no synchronized
clocks.  Source: design note ``peers``.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coursepitch.peers.records import Body

__all__ = ['KnownState', 'MergeResult', 'Record', 'RecordKey', 'Table', 'WireRecord']

#: Age in seconds above which records are dropped.
MAX_RECORD_AGE_S = 60.0


@dataclass(frozen=True, slots=True)
class RecordKey:
    """Kind, subject and origin node of a record."""

    kind: str
    subject: str
    origin: str


@dataclass(frozen=True, slots=True)
class Record:
    """A record in the local table.

    :param boot: number of the origin's run.
    :param number: number of this state within the run.
    :param content: number of the state in which the body last changed.
    :param made_at: latest possible local monotonic time of its creation.
    """

    key: RecordKey
    boot: int
    number: int
    content: int
    made_at: float
    body: Body


@dataclass(frozen=True, slots=True)
class WireRecord:
    """A record in transit; without a body if the receiver already has it."""

    key: RecordKey
    boot: int
    number: int
    content: int
    age_s: float
    body: Body | None


@dataclass(frozen=True, slots=True)
class KnownState:
    """The newest state of a record that a peer is known to hold."""

    boot: int
    number: int
    content: int


class MergeResult(Enum):
    """Result of merging a record from a peer."""

    OUTDATED = 'older than the stored state, or equal to it'
    REFRESHED = 'newer state with the same body'
    CHANGED = 'newer state with a new body'
    MISSING_BODY = 'no body, and the stored one is a different one'


class Table:
    """The records that a node holds, ordered by their last update.

    ``stamp`` counts the updates of this table.

    :param origin: name of this node.
    :param boot: number of this run of the node.
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
        """Add a new state of a record of this node; return whether its body changed.

        :param made_at: monotonic time at which the body was true.
        """
        key = RecordKey(kind, subject, self._origin)
        stored = self._records.get(key)
        self._number += 1
        changed = stored is None or stored.body != body
        content = self._number if changed or stored is None else stored.content
        self._store(Record(key, self._boot, self._number, content, made_at, body))
        return changed

    def _store(self, record: Record) -> None:
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
        """Drop a record of this node; peers drop it when it reaches the age limit."""
        self._drop(RecordKey(kind, subject, self._origin))

    def merge(self, wire: WireRecord, now: float) -> MergeResult:
        """Merge a record from a peer; ``now`` is the local monotonic time."""
        if wire.key.origin == self._origin:
            return MergeResult.OUTDATED
        stored = self._records.get(wire.key)
        state = (wire.boot, wire.number)
        if stored is not None and state <= (stored.boot, stored.number):
            return MergeResult.OUTDATED
        made_at = now - wire.age_s
        if wire.body is not None:
            self._store(Record(wire.key, *state, wire.content, made_at, wire.body))
            same = stored is not None and stored.body == wire.body
            return MergeResult.REFRESHED if same else MergeResult.CHANGED
        if stored is None or (stored.boot, stored.content) != (wire.boot, wire.content):
            return MergeResult.MISSING_BODY
        self._store(replace(stored, number=wire.number, made_at=made_at))
        return MergeResult.REFRESHED

    def list_updates(
        self, known: dict[RecordKey, KnownState], now: float, since: int = 0
    ) -> list[WireRecord]:
        """Return the updates that a peer needs, given the states it is known to hold.

        :param since: ``stamp`` at the last listing for the peer; records without a
            later update are skipped.
        """
        updates = []
        for key, record in reversed(self._records.items()):
            if self._stamps[key] <= since:
                break
            peer = known.get(key)
            if peer and (peer.boot, peer.number) >= (record.boot, record.number):
                continue
            same = peer and (peer.boot, peer.content) == (
                record.boot,
                record.content,
            )
            updates.append(
                WireRecord(
                    key,
                    record.boot,
                    record.number,
                    record.content,
                    max(0.0, now - record.made_at),
                    None if same else record.body,
                )
            )
        return updates

    def drop_expired(self, now: float) -> None:
        """Drop records above the age limit."""
        old = [
            key
            for key, record in self._records.items()
            if now - record.made_at > MAX_RECORD_AGE_S
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
