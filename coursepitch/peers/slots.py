"""Compression of repeated records on one link.

The first transfer of a record assigns it a slot, a small number that stands for its
key and body.  While the body stays the same, later states are sent as slot, state
number and age only: 12 bytes instead of 42 (``python -m bench pure``).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.errors import PeerError
from coursepitch.peers.table import RecordKey, WireRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['SlotDefinition', 'SlotTable', 'SlotUpdate']

#: Maximum number of slots on a link, enough for one per record.
MAX_SLOTS = 65_536


@dataclass(frozen=True, slots=True)
class SlotDefinition:
    """A complete record, which defines or redefines its slot."""

    slot: int
    wire: WireRecord


@dataclass(frozen=True, slots=True)
class SlotUpdate:
    """A newer state of the record in a slot, whose body is unchanged."""

    slot: int
    number: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class _Slot:
    number: int
    key: RecordKey
    boot: int
    content: int


class SlotTable:
    """Slots of one link: those assigned by this node and those by the peer."""

    def __init__(self) -> None:
        self._local: dict[RecordKey, _Slot] = {}
        self._remote: dict[int, _Slot] = {}

    def pack(
        self, wires: Iterable[WireRecord]
    ) -> tuple[list[SlotDefinition], list[SlotUpdate]]:
        """Split records into slot definitions and updates of known slots."""
        definitions: list[SlotDefinition] = []
        updates: list[SlotUpdate] = []
        for wire in wires:
            slot = self._local.get(wire.key)
            same = slot and (slot.boot, slot.content) == (wire.boot, wire.content)
            if slot is not None and same and wire.body is None:
                updates.append(
                    SlotUpdate(slot.number, wire.number, round(wire.age_s * 1000))
                )
                continue
            number = slot.number if slot else len(self._local)
            self._local[wire.key] = _Slot(number, wire.key, wire.boot, wire.content)
            definitions.append(SlotDefinition(number, wire))
        return definitions, updates

    def unpack(
        self, definitions: Iterable[SlotDefinition], updates: Iterable[SlotUpdate]
    ) -> list[WireRecord]:
        """Restore the records from slot definitions and updates.

        :raises PeerError: a slot is undefined or exceeds the limit.
        """
        wires = []
        for definition in definitions:
            wire = definition.wire
            if not 0 <= definition.slot < MAX_SLOTS:
                raise PeerError('slot number out of range')
            slot = _Slot(definition.slot, wire.key, wire.boot, wire.content)
            self._remote[definition.slot] = slot
            wires.append(wire)
        for update in updates:
            found = self._remote.get(update.slot)
            if found is None:
                raise PeerError('update of an undefined slot')
            age_s = update.age_ms / 1000
            wires.append(
                WireRecord(
                    found.key, found.boot, update.number, found.content, age_s, None
                )
            )
        return wires
