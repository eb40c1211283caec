"""Short numbers for records on one link.

A record that goes over a link again and again with the same body travels as a
beat: a small number for its key and body, its state and its age, 12 bytes
instead of 42 (python -m bench pure).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.errors import PeerError
from coursepitch.peers.table import RecordKey, Wire

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['Beat', 'Full', 'SlotBook']

#: Most slots on a link; one for each record there can be.
SLOT_LIMIT = 65_536


@dataclass(frozen=True, slots=True)
class Full:
    """A record that defines its slot anew."""

    slot: int
    wire: Wire


@dataclass(frozen=True, slots=True)
class Beat:
    """A newer state of the record of a slot, with the same body."""

    slot: int
    number: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class _Slot:
    number: int
    key: RecordKey
    boot: int
    content: int


class SlotBook:
    """Slots of one link, those given out here and those of the peer."""

    def __init__(self) -> None:
        self._given: dict[RecordKey, _Slot] = {}
        self._taken: dict[int, _Slot] = {}

    def pack(self, wires: Iterable[Wire]) -> tuple[list[Full], list[Beat]]:
        """Return records as they travel."""
        fulls: list[Full] = []
        beats: list[Beat] = []
        for wire in wires:
            slot = self._given.get(wire.key)
            same = slot and (slot.boot, slot.content) == (wire.boot, wire.content)
            if slot is not None and same and wire.body is None:
                beats.append(Beat(slot.number, wire.number, round(wire.age_s * 1000)))
                continue
            number = slot.number if slot else len(self._given)
            self._given[wire.key] = _Slot(number, wire.key, wire.boot, wire.content)
            fulls.append(Full(number, wire))
        return fulls, beats

    def unpack(self, fulls: Iterable[Full], beats: Iterable[Beat]) -> list[Wire]:
        """Return the records that came.

        :raises PeerError: a beat has no slot, or there are too many slots.
        """
        wires = []
        for full in fulls:
            wire = full.wire
            if not 0 <= full.slot < SLOT_LIMIT:
                raise PeerError('too many slots')
            slot = _Slot(full.slot, wire.key, wire.boot, wire.content)
            self._taken[full.slot] = slot
            wires.append(wire)
        for beat in beats:
            found = self._taken.get(beat.slot)
            if found is None:
                raise PeerError('beat of a slot that was not defined')
            age_s = beat.age_ms / 1000
            wires.append(
                Wire(found.key, found.boot, beat.number, found.content, age_s, None)
            )
        return wires
