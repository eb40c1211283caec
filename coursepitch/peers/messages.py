"""Messages between nodes and their CBOR codec."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import cbor2

from coursepitch.errors import CodecError
from coursepitch.peers.records import LIST_LIMIT, pack_body, unpack_body
from coursepitch.peers.slots import SlotDefinition, SlotUpdate
from coursepitch.peers.table import RecordKey, WireRecord
from coursepitch.util.plain_cbor import load_plain, read_integer, read_number

__all__ = [
    'AskChanges',
    'Changes',
    'Digest',
    'Hello',
    'Message',
    'decode_message',
    'encode_message',
]

#: Version of the message format; other versions are rejected.
VERSION = 1

#: Maximum length of a name in a message, in characters.
MAX_NAME_CHARACTERS = 128


@dataclass(frozen=True, slots=True)
class Hello:
    """Greeting: the first message on a link in both directions."""

    version: int
    name: str


@dataclass(frozen=True, slots=True)
class Digest:
    """Record updates since the last digest.

    :param number: sequence number of this digest on the link, from 1.
    :param echo: number of the last digest received on the link, 0 for none.
    :param revision: revision of the configuration in force at the sender.
    :param definitions: records with a body, each of which defines a slot.
    :param slot_updates: new states of records whose body is unchanged.
    :param missing_bodies: records whose body the sender requests again.
    """

    number: int
    echo: int
    revision: int
    definitions: tuple[SlotDefinition, ...] = ()
    slot_updates: tuple[SlotUpdate, ...] = ()
    missing_bodies: tuple[RecordKey, ...] = ()


@dataclass(frozen=True, slots=True)
class AskChanges:
    """Request for the configuration changes after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Response with the packed changes or the whole packed configuration.

    :param configuration: ``None`` if ``changes`` are complete.
    """

    changes: tuple[dict[str, Any], ...]
    configuration: dict[str, Any] | None


Message = Hello | Digest | AskChanges | Changes

_HELLO, _DIGEST, _ASK_CHANGES, _CHANGES = range(4)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return cbor2.dumps(_pack(message))


def _pack(message: Message) -> list[Any]:
    if isinstance(message, Hello):
        return [_HELLO, message.version, message.name]
    if isinstance(message, AskChanges):
        return [_ASK_CHANGES, message.after]
    if isinstance(message, Changes):
        return [_CHANGES, list(message.changes), message.configuration]
    definitions = [_pack_definition(definition) for definition in message.definitions]
    slot_updates = [
        [update.slot, update.number, update.age_ms] for update in message.slot_updates
    ]
    missing_bodies = [
        [key.kind, key.subject, key.origin] for key in message.missing_bodies
    ]
    head = [_DIGEST, message.number, message.echo, message.revision]
    return [*head, definitions, slot_updates, missing_bodies]


def _pack_definition(definition: SlotDefinition) -> list[Any]:
    wire = definition.wire
    key = wire.key
    body = None if wire.body is None else pack_body(wire.body)
    age_ms = round(wire.age_s * 1000)
    return [
        definition.slot,
        key.kind,
        key.subject,
        key.origin,
        wire.boot,
        wire.number,
        wire.content,
        age_ms,
        body,
    ]


def decode_message(data: bytes | str) -> Message:
    """Decode a message.

    :raises CodecError: the data is not a valid message of this version.
    """
    if isinstance(data, str):
        raise CodecError('received text instead of bytes')
    try:
        parts = load_plain(data)
        return _unpack(parts)
    except CodecError:
        raise
    except Exception as error:
        # cbor2 raises many kinds of errors on damaged bytes.
        raise CodecError(f'invalid message: {error!r}'[:300]) from error


def _unpack(parts: Any) -> Message:
    if not isinstance(parts, list) or not parts:
        raise CodecError('message is not a non-empty list')
    kind, *rest = parts
    read_integer(kind)
    if kind == _HELLO:
        version, name = rest
        if version != VERSION:
            raise CodecError(f'unsupported version {version!r}, expected {VERSION}')
        return Hello(read_integer(version), _check_name(name))
    if kind == _ASK_CHANGES:
        (after,) = rest
        return AskChanges(read_integer(after))
    if kind == _CHANGES:
        changes, configuration = rest
        return Changes(tuple(changes), configuration)
    if kind == _DIGEST:
        number, echo, revision, definitions, slot_updates, missing_bodies = rest
        if max(len(definitions), len(slot_updates), len(missing_bodies)) > LIST_LIMIT:
            raise CodecError(f'more than {LIST_LIMIT} records in a digest')
        keys = tuple(RecordKey(*map(_check_name, item)) for item in missing_bodies)
        return Digest(
            read_integer(number),
            read_integer(echo),
            read_integer(revision),
            tuple(_unpack_definition(item) for item in definitions),
            tuple(_unpack_slot_update(item) for item in slot_updates),
            keys,
        )
    raise CodecError(f'unknown message type {kind!r}')


def _unpack_slot_update(item: Any) -> SlotUpdate:
    slot, number, age_ms = item
    if age_ms < 0:
        raise CodecError('negative age')
    return SlotUpdate(read_integer(slot), read_integer(number), read_integer(age_ms))


def _unpack_definition(item: Any) -> SlotDefinition:
    slot, kind, subject, origin, boot, number, content, age_ms, body = item
    key = RecordKey(_check_name(kind), _check_name(subject), _check_name(origin))
    if age_ms < 0:
        raise CodecError('negative age')
    wire = WireRecord(
        key,
        read_integer(boot),
        read_integer(number),
        read_integer(content),
        read_number(age_ms) / 1000,
        None if body is None else unpack_body(key.kind, body),
    )
    return SlotDefinition(read_integer(slot), wire)


def _check_name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        raise CodecError(f'not a string of at most {MAX_NAME_CHARACTERS} characters')
    return value
