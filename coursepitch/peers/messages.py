"""Messages between nodes and their codec, CBOR."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import cbor2

from coursepitch.errors import CodecError
from coursepitch.peers.records import LIST_LIMIT, pack_body, unpack_body
from coursepitch.peers.slots import Beat, Full
from coursepitch.peers.table import RecordKey, Wire

__all__ = [
    'AskChanges',
    'Changes',
    'Digest',
    'Hello',
    'Message',
    'decode_message',
    'encode_message',
]

#: Version of the messages; another version is refused.
VERSION = 1


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link in both directions."""

    version: int
    name: str


@dataclass(frozen=True, slots=True)
class Digest:
    """News since the last digest.

    :param number: number of this digest on the link, from 1.
    :param echo: number of the last digest received on the link, 0 for none.
    :param revision: revision of the configuration in force at the sender.
    :param lacking: records whose body the sender needs again.
    """

    number: int
    echo: int
    revision: int
    fulls: tuple[Full, ...] = ()
    beats: tuple[Beat, ...] = ()
    lacking: tuple[RecordKey, ...] = ()


@dataclass(frozen=True, slots=True)
class AskChanges:
    """Request for the changes of the configuration after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Answer: packed changes, or the whole packed configuration."""

    changes: tuple[dict[str, Any], ...]
    whole: dict[str, Any] | None


Message = Hello | Digest | AskChanges | Changes

_HELLO, _DIGEST, _ASK, _CHANGES = range(4)


def encode_message(message: Message) -> bytes:
    """Return a message as bytes."""
    return cbor2.dumps(_pack(message))


def _pack(message: Message) -> list[Any]:
    if isinstance(message, Hello):
        return [_HELLO, message.version, message.name]
    if isinstance(message, AskChanges):
        return [_ASK, message.after]
    if isinstance(message, Changes):
        return [_CHANGES, list(message.changes), message.whole]
    fulls = [_pack_full(full) for full in message.fulls]
    beats = [[beat.slot, beat.number, beat.age_ms] for beat in message.beats]
    lacking = [[key.kind, key.subject, key.origin] for key in message.lacking]
    head = [_DIGEST, message.number, message.echo, message.revision]
    return [*head, fulls, beats, lacking]


def _pack_full(full: Full) -> list[Any]:
    wire = full.wire
    key = wire.key
    body = None if wire.body is None else pack_body(wire.body)
    age_ms = round(wire.age_s * 1000)
    return [
        full.slot,
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
    """Return the message in some bytes.

    :raises CodecError: the bytes are no message of this version.
    """
    if isinstance(data, str):
        raise CodecError('text instead of bytes')
    try:
        parts = cbor2.loads(data)
        return _unpack(parts)
    except CodecError:
        raise
    except Exception as error:
        # cbor2 raises many kinds of errors on damaged bytes.
        raise CodecError(f'not a message: {error!r}'[:300]) from error


def _unpack(parts: Any) -> Message:
    if not isinstance(parts, list) or not parts:
        raise CodecError('not a list')
    kind, *rest = parts
    if kind == _HELLO:
        version, name = rest
        if version != VERSION:
            raise CodecError(f'version {version!r}, not {VERSION}')
        return Hello(int(version), _check_text(name))
    if kind == _ASK:
        (after,) = rest
        return AskChanges(int(after))
    if kind == _CHANGES:
        changes, whole = rest
        return Changes(tuple(changes), whole)
    if kind == _DIGEST:
        number, echo, revision, fulls, beats, lacking = rest
        if max(len(fulls), len(beats), len(lacking)) > LIST_LIMIT:
            raise CodecError('too many records')
        keys = tuple(RecordKey(*map(_check_text, item)) for item in lacking)
        return Digest(
            int(number),
            int(echo),
            int(revision),
            tuple(_unpack_full(item) for item in fulls),
            tuple(_unpack_beat(item) for item in beats),
            keys,
        )
    raise CodecError(f'unknown kind of message {kind!r}')


def _unpack_beat(item: Any) -> Beat:
    slot, number, age_ms = item
    if age_ms < 0:
        raise CodecError('negative age')
    return Beat(int(slot), int(number), int(age_ms))


def _unpack_full(item: Any) -> Full:
    slot, kind, subject, origin, boot, number, content, age_ms, body = item
    key = RecordKey(_check_text(kind), _check_text(subject), _check_text(origin))
    if age_ms < 0:
        raise CodecError('negative age')
    wire = Wire(
        key,
        int(boot),
        int(number),
        int(content),
        float(age_ms) / 1000,
        None if body is None else unpack_body(key.kind, body),
    )
    return Full(int(slot), wire)


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 128:
        raise CodecError('not a short text')
    return value
