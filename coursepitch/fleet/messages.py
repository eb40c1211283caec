"""Messages between nodes, encoded as CBOR lists; large ones are compressed.

Times in a message are readings of the sender's monotonic clock.  Other nodes only use
their differences, see :mod:`coursepitch.fleet.peers`.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, TypeVar

import cbor2

from coursepitch.crashes.parts import Scope
from coursepitch.crashes.suspects import Clearance, Crash
from coursepitch.crashes.trials import TrialReply, TrialRequest
from coursepitch.errors import CodecError
from coursepitch.fleet.limit_messages import (
    LimitReport,
    ReportedLimit,
    SendReply,
    SendRequest,
    decode_limit,
    encode_limit,
)
from coursepitch.fleet.retry_loans import RetryReply, RetryRequest
from coursepitch.fleet.rows import read_text
from coursepitch.platform.kv import Entry
from coursepitch.util.plain_cbor import load_plain, read_integer, read_number

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = [
    'MAX_HOPS',
    'Changes',
    'ChangesRequest',
    'CrashReport',
    'Heartbeat',
    'LimitReport',
    'LostReport',
    'Message',
    'NoticeReport',
    'OtherLoads',
    'ReportedLimit',
    'RetryReply',
    'RetryRequest',
    'SendReply',
    'SendRequest',
    'TableReply',
    'TableRequest',
    'TrialReply',
    'TrialRequest',
    'decode_message',
    'encode_heartbeat',
    'encode_message',
    'encode_state',
]

#: Size in bytes from which a message is compressed.  A configuration of 250 routes
#: shrinks from 51 KB to 3.8 KB, in 0.2 ms: uncompressed on a link of 10 Mbit/s, 20
#: nodes that requested one delayed other messages by 0.8 s.
COMPRESSION_THRESHOLD_BYTES = 512

#: Maximum size of a decompressed message in bytes.  The largest is a configuration,
#: and the store holds values of up to 1 MB.
MAX_UNPACKED_BYTES = 2_097_152

#: Maximum length of a start time in text: that of an integer of 64 bits.
MAX_BIRTH_CHARACTERS = 20

#: Maximum length of a number of hops in text.
MAX_HOPS_CHARACTERS = 3

#: Number of nodes that may forward a report: the relay of its sender, the leader, and
#: the relay of another zone.
MAX_HOPS = 3

_PLAIN = b'\x00'
_COMPRESSED = b'\x01'

_HEARTBEAT = 0
_CHANGES = 1
_TABLE_REQUEST = 2
_TABLE_REPLY = 3
_CHANGES_REQUEST = 4
_CRASH_REPORT = 5
_LOST_REPORT = 6
_LIMIT_REPORT = 7
_SEND_REQUEST = 8
_SEND_REPLY = 9
_NOTICE_REPORT = 10
_RETRY_REQUEST = 11
_RETRY_REPLY = 12
_TRIAL_REQUEST = 13
_TRIAL_REPLY = 14


@dataclass(frozen=True, slots=True)
class OtherLoads:
    """Summed loads of the sender and all nodes known to it, without the receiver.

    :param nodes: number of nodes in the sum.
    :param counts: their requests in flight by instance.
    :param work: their incoming work by model, in instance-seconds per second.
    """

    nodes: int = 0
    counts: Mapping[str, int] = field(default_factory=dict)
    work: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a node sends to its peers several times per second.

    :param incarnation: random number chosen at the start of the process.
    :param table_revision: store revision of its configuration; 0 for none.
    :param asked_at: when it requested the store's newest confirmation of this
        configuration; ``None`` without one.
    :param received_revision: store revision up to which it received all changes.
    :param store_uptime_s: seconds, up to this message, for which it or a peer has seen
        the store answer.
    :param watching: whether it relays the changes it receives.
    :param wants_others: whether it requests the other nodes' loads.
    :param others: the other nodes' loads, if the receiver requests them.
    :param counts: its requests in flight by instance.
    :param work: its incoming work by model, in instance-seconds per second.
    :param sent_at: when the message was created.
    :param echo_incarnation: incarnation of the receiver that sent ``echo_at``.
    :param echo_at: ``sent_at`` of the receiver's newest heartbeat that had arrived
        when the message was created.
    """

    node: str
    incarnation: int
    table_revision: int = 0
    asked_at: float | None = None
    received_revision: int = 0
    watching: bool = False
    counts: Mapping[str, int] = field(default_factory=dict)
    work: Mapping[str, float] = field(default_factory=dict)
    sent_at: float = 0.0
    echo_incarnation: int = 0
    echo_at: float = 0.0
    wants_others: bool = False
    others: OtherLoads | None = None
    store_uptime_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Changes:
    """All changes of the store after one revision, up to another.

    Configurations are omitted: they are large, and each node fetches its own.
    """

    node: str
    after: int
    revision: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request for all changes after a store revision, by a node that missed some."""

    node: str
    after: int


@dataclass(frozen=True, slots=True)
class TableRequest:
    """Request for a configuration of at least this store revision.

    :param cut_off: whether the store does not answer the sender.
    """

    node: str
    revision: int
    cut_off: bool = False


@dataclass(frozen=True, slots=True)
class TableReply:
    """The store entry of a configuration, in response to a :class:`TableRequest`."""

    node: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes of instances while they ran requests, and requests cleared of suspicion.

    :param sent_at: when the message was created, by the same clock as the times of
        the crashes and acquittals.
    """

    node: str
    sent_at: float
    crashes: tuple[Crash, ...] = ()
    acquittals: tuple[Clearance, ...] = ()


@dataclass(frozen=True, slots=True)
class LostReport:
    """Instances that stopped responding, and those that respond again.

    :param ended: those among the lost ones whose process is proven to be gone.
    :param births: names of the ended ones with the start times of the incarnations, in
        Unix milliseconds; those without a known one are left out.
    :param hops: number of nodes that have forwarded it.
    """

    node: str
    lost: tuple[str, ...] = ()
    answering: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    births: tuple[tuple[str, int], ...] = ()
    hops: int = 0


@dataclass(frozen=True, slots=True)
class NoticeReport:
    """Notices that instances gave in their responses.

    :param leaving: instances that are leaving: name, and start time of the
        incarnation in Unix milliseconds.
    :param backoffs: instances that requested a backoff: name, start time, and the
        remaining seconds.
    :param cold: instances that are cold: name, start time, and the remaining seconds.
    :param hops: number of nodes that have forwarded it.
    """

    node: str
    leaving: tuple[tuple[str, int], ...] = ()
    backoffs: tuple[tuple[str, int, float], ...] = ()
    cold: tuple[tuple[str, int, float], ...] = ()
    hops: int = 0


_Forwarded = TypeVar('_Forwarded', LostReport, NoticeReport)

Message = (
    Heartbeat
    | Changes
    | ChangesRequest
    | CrashReport
    | LimitReport
    | LostReport
    | NoticeReport
    | RetryReply
    | RetryRequest
    | SendReply
    | SendRequest
    | TableRequest
    | TableReply
    | TrialReply
    | TrialRequest
)


def encode_state(beat: Heartbeat) -> bytes:
    """Return the encoded part of a heartbeat that is the same for all receivers."""
    return cbor2.dumps(
        [
            beat.node,
            beat.incarnation,
            beat.table_revision,
            beat.asked_at,
            beat.received_revision,
            beat.watching,
            dict(beat.counts),
            _round_rates(beat.work),
            round(beat.store_uptime_s, 1),
        ]
    )


def _round_rates(work: Mapping[str, float]) -> dict[str, float]:
    return {model: round(rate, 3) for model, rate in work.items()}


def encode_heartbeat(
    state: bytes,
    sent_at: float,
    echo_incarnation: int,
    echo_at: float,
    wants_others: bool,
    others: OtherLoads | None,
) -> bytes:
    """Return the encoded heartbeat for one receiver.

    :param state: the common part, from :func:`encode_state`.
    """
    row = None
    if others is not None:
        row = [others.nodes, dict(others.counts), _round_rates(others.work)]
    echo = [echo_incarnation, echo_at]
    return _pack([_HEARTBEAT, state, sent_at, *echo, wants_others, row])


def _pack(row: list[Any]) -> bytes:
    data = cbor2.dumps(row)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, 1)


def _unpack(data: bytes) -> Any:
    """Return the decoded content of a message, within the size limit.

    :raises ValueError: it is truncated, too large or of an unknown encoding.
    """
    encoding, body = data[:1], data[1:]
    if encoding == _COMPRESSED:
        unpacking = zlib.decompressobj()
        body = unpacking.decompress(body, MAX_UNPACKED_BYTES)
        if not unpacking.eof:
            raise ValueError('truncated or too large')
    elif encoding != _PLAIN:
        raise ValueError(f'unknown encoding {encoding!r}')
    return load_plain(body)


def encode_message(message: Message) -> bytes:
    """Return the encoded message."""
    match message:
        case Heartbeat():
            state = encode_state(message)
            return encode_heartbeat(
                state,
                message.sent_at,
                message.echo_incarnation,
                message.echo_at,
                message.wants_others,
                message.others,
            )
        case Changes():
            rows = [_encode_entry(entry) for entry in message.entries]
            parts = [message.after, message.revision, rows]
            return _pack([_CHANGES, message.node, *parts])
        case ChangesRequest():
            return _pack([_CHANGES_REQUEST, message.node, message.after])
        case TableRequest():
            parts = [message.node, message.revision, message.cut_off]
            return _pack([_TABLE_REQUEST, *parts])
        case TableReply():
            row = _encode_entry(message.entry)
            return _pack([_TABLE_REPLY, message.node, row])
        case CrashReport():
            return _pack([_CRASH_REPORT, *_encode_crashes(message)])
        case LostReport():
            parts = [list(message.lost), list(message.answering)]
            if message.ended:
                parts.append(_encode_ended(message))
            return _pack([_LOST_REPORT, _encode_sender(message), *parts])
        case NoticeReport():
            rows = [list(message.leaving), list(message.backoffs)]
            if message.cold:
                rows.append(list(message.cold))
            return _pack([_NOTICE_REPORT, _encode_sender(message), *rows])
        case LimitReport():
            rows = [encode_limit(row) for row in message.rows]
            return _pack([_LIMIT_REPORT, message.node, rows])
        case SendRequest():
            return _pack([_SEND_REQUEST, *_encode_send_request(message)])
        case SendReply():
            parts = [message.number, message.granted, message.again_s]
            return _pack([_SEND_REPLY, message.node, *parts])
        case RetryRequest():
            parts = [message.number, message.service]
            return _pack([_RETRY_REQUEST, message.node, *parts])
        case RetryReply():
            parts = [message.number, message.granted]
            return _pack([_RETRY_REPLY, message.node, *parts])
        case TrialRequest():
            parts = [message.number, message.part]
            return _pack([_TRIAL_REQUEST, message.node, *parts])
        case TrialReply():
            parts = [message.number, message.granted]
            return _pack([_TRIAL_REPLY, message.node, *parts])


def decode_message(data: bytes) -> Message:
    """Return the decoded message.

    :raises CodecError: it is malformed or of an unknown kind.
    """
    try:
        kind, *parts = _unpack(data)
        read_integer(kind)
        if kind == _HEARTBEAT:
            return _decode_heartbeat(parts)
        node = read_text(parts[0])
        if kind == _CHANGES:
            _, after, revision, rows = parts
            entries = tuple(_decode_entry(row) for row in rows)
            return Changes(node, read_integer(after), read_integer(revision), entries)
        if kind == _CHANGES_REQUEST:
            return ChangesRequest(node, read_integer(parts[1]))
        if kind == _TABLE_REQUEST:
            return TableRequest(node, read_integer(parts[1]), bool(parts[2]))
        if kind == _TABLE_REPLY:
            return TableReply(node, _decode_entry(parts[1]))
        if kind == _CRASH_REPORT:
            return _decode_crashes(parts)
        if kind == _LOST_REPORT:
            return _add_hops(_decode_lost, node, *parts[1:])
        if kind == _NOTICE_REPORT:
            return _add_hops(_decode_notices, node, *parts[1:])
        if kind == _LIMIT_REPORT:
            return LimitReport(node, tuple(map(decode_limit, parts[1])))
        if kind == _SEND_REQUEST:
            return _decode_send_request(node, *parts[1:])
        if kind == _SEND_REPLY:
            _, number, granted, again_s = parts
            return SendReply(
                node, read_integer(number), bool(granted), read_number(again_s)
            )
        if kind == _RETRY_REQUEST:
            _, number, service = parts
            return RetryRequest(node, read_integer(number), read_text(service))
        if kind == _RETRY_REPLY:
            _, number, granted = parts
            return RetryReply(node, read_integer(number), bool(granted))
        if kind == _TRIAL_REQUEST:
            _, number, part = parts
            return TrialRequest(node, read_integer(number), read_text(part))
        if kind == _TRIAL_REPLY:
            _, number, granted = parts
            return TrialReply(node, read_integer(number), bool(granted))
    except (
        cbor2.CBORDecodeError,
        zlib.error,
        TypeError,
        ValueError,
        AttributeError,
        IndexError,
        OverflowError,
    ) as error:
        raise CodecError(f'malformed peer message: {error!r}') from error
    raise CodecError(f'unknown kind of peer message: {kind!r}')


def _encode_send_request(message: SendRequest) -> list[object]:
    row = None if message.limit is None else encode_limit(message.limit)
    parts: list[object] = [message.node, message.number, row]
    return [*parts, list(message.cold)] if message.cold else parts


def _decode_send_request(
    node: str, number: Any, row: Any, cold: Any = None
) -> SendRequest:
    limit = None if row is None else decode_limit(row)
    if cold is None:
        if limit is None:
            raise ValueError('the request names no instance')
        return SendRequest(node, read_integer(number), limit)
    name, left_s = cold
    if limit is not None and limit.instance != name:
        raise ValueError('the request names two instances')
    return SendRequest(
        node, read_integer(number), limit, (read_text(name), read_number(left_s))
    )


def _encode_sender(message: LostReport | NoticeReport) -> str:
    """Return the name of the sender, with the hops after a line break.

    Nodes that know no hops take them for a part of the name, which they only log.
    """
    return f'{message.node}\n{message.hops}' if message.hops else message.node


def _add_hops(decode: Callable[..., _Forwarded], sender: str, *rows: Any) -> _Forwarded:
    """Return a decoded report with the hops that follow the name of its sender."""
    node, _, text = sender.partition('\n')
    hops = int(text[: MAX_HOPS_CHARACTERS + 1] or 0)
    if not 0 <= hops < 10**MAX_HOPS_CHARACTERS:
        raise ValueError('the number of hops is out of range')
    return replace(decode(node, *rows), hops=hops)


def _encode_ended(message: LostReport) -> list[str]:
    """Return the names of ended instances, with a start time after a line break.

    Nodes that know no start times take such a name for another instance.  The one that
    is meant is silent for them, as it is among the lost ones by its name alone.
    """
    births = dict(message.births)
    return [
        f'{name}\n{births[name]}' if name in births else name for name in message.ended
    ]


def _decode_lost(
    node: str, lost: Any, answering: Any, ended: Any = (), births: Any = ()
) -> LostReport:
    """Return a report; some nodes tell the start times in a row of their own."""
    names = [read_text(row).partition('\n') for row in ended]
    rows = [*births, *((name, _parse_birth(born)) for name, _, born in names if born)]
    return LostReport(
        node,
        tuple(map(read_text, lost)),
        tuple(map(read_text, answering)),
        tuple(name for name, _, _ in names),
        tuple((read_text(name), read_integer(born)) for name, born in rows),
    )


def _parse_birth(text: str) -> int:
    """Return a start time that follows the name of an ended instance."""
    if len(text) > MAX_BIRTH_CHARACTERS:
        raise ValueError('the start time is too long')
    return int(text)


def _decode_notices(
    node: str, leaving: Any, backoffs: Any, cold: Any = ()
) -> NoticeReport:
    return NoticeReport(
        node,
        tuple((read_text(name), read_integer(born)) for name, born in leaving),
        tuple(
            (read_text(name), read_integer(born), read_number(left_s))
            for name, born, left_s in backoffs
        ),
        tuple(
            (read_text(name), read_integer(born), read_number(left_s))
            for name, born, left_s in cold
        ),
    )


def _decode_heartbeat(parts: list[Any]) -> Heartbeat:
    state, sent_at, echo_incarnation, echo_at, wants_others, others = parts
    node, incarnation, revision, asked_at, received, watching, *sums = load_plain(state)
    counts, work, store_uptime_s = sums
    return Heartbeat(
        read_text(node),
        read_integer(incarnation),
        read_integer(revision),
        None if asked_at is None else read_number(asked_at),
        read_integer(received),
        bool(watching),
        _decode_counts(counts),
        _decode_work(work),
        read_number(sent_at),
        read_integer(echo_incarnation),
        read_number(echo_at),
        bool(wants_others),
        None if others is None else _decode_others(others),
        read_number(store_uptime_s),
    )


def _decode_others(row: Any) -> OtherLoads:
    nodes, counts, work = row
    return OtherLoads(read_integer(nodes), _decode_counts(counts), _decode_work(work))


def _decode_counts(counts: Any) -> dict[str, int]:
    return {read_text(name): read_integer(count) for name, count in counts.items()}


def _decode_work(work: Any) -> dict[str, float]:
    return {read_text(name): read_number(rate) for name, rate in work.items()}


def _encode_crashes(told: CrashReport) -> list[object]:
    crashes = [
        [
            item.fingerprint,
            item.customer,
            item.instance,
            item.born,
            item.at,
            item.seen_by,
            item.software,
            item.workload,
            item.parts,
            item.sound_parts,
        ]
        for item in told.crashes
    ]
    acquittals = [[item.fingerprint, item.at, item.scope] for item in told.acquittals]
    return [told.node, told.sent_at, crashes, acquittals]


def _decode_crashes(parts: list[Any]) -> CrashReport:
    node, sent_at, crashes, acquittals = parts
    return CrashReport(
        read_text(node),
        read_number(sent_at),
        tuple(_decode_crash(row) for row in crashes),
        tuple(map(_decode_acquittal, acquittals)),
    )


def _decode_acquittal(row: Any) -> Clearance:
    name, at, scope = row
    found = None if scope is None else Scope(*map(read_text, scope))
    return Clearance(read_text(name), read_number(at), found)


def _decode_crash(row: Any) -> Crash:
    fingerprint, customer, instance, born, at, seen_by, software = row[:7]
    workload, parts, sound_parts = row[7:]
    return Crash(
        read_text(fingerprint),
        read_text(customer),
        read_text(instance),
        read_integer(born),
        read_number(at),
        read_text(seen_by),
        read_text(software),
        read_text(workload),
        tuple(map(read_text, parts)),
        tuple((read_text(name), read_number(at)) for name, at in sound_parts),
    )


def _encode_entry(entry: Entry) -> list[object]:
    value = entry.value if entry.present else None
    return [entry.key, value, entry.changed_at]


def _decode_entry(row: Any) -> Entry:
    key, value, revision = row
    if value is None:
        return Entry(read_text(key), deleted_at=read_integer(revision))
    return Entry(read_text(key), read_text(value), read_integer(revision))
