"""Headers of the platform: read once into typed fields, written in one place."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.http.messages import find_header, pass_headers

if TYPE_CHECKING:
    from coursepitch.http.messages import Headers, IncomingRequest

__all__ = [
    'AnswerMarks',
    'ForwardFields',
    'RequestFields',
    'build_target_headers',
    'pass_answer_headers',
    'read_answer_marks',
    'read_request_fields',
    'report_headers',
]

#: Headers of a client's request that the system replaces or keeps to itself.
_REPLACED = frozenset(
    {
        b'authorization',
        b'x-deadline-ms',
        b'x-tenant',
        b'x-expect-replica',
        b'x-request-priority',
        b'last-event-id',
    }
)

#: Header in which a target names the requests a second that it takes from all nodes.
_LIMIT = b'server-limit'

#: Header in which a target that is about to end says so, and its only value.
_LEAVING = b'server-leaving'
_IS_LEAVING = b'1'

#: Header in which a target that rejects a request says for how long it wants no more
#: from the node that it answers, and the statuses with which that counts.
#: Source: RFC 9110, section 10.2.3, and RFC 6585, section 4.
_RETRY_AFTER = b'retry-after'
_RETRY_AFTER_STATUSES = frozenset({429, 503})

#: Status with which a target says that a request belongs elsewhere: it is another
#: one, or no longer the head of its group.  Source: RFC 9110, section 15.5.20.
_MISPLACED = 421

#: A decimal number without sign or exponent, of at most 20 characters.
_DECIMAL = re.compile(rb'(?=.{1,20}$)(\d+(\.\d*)?|\.\d+)')

#: Bytes of a damaged value that are kept for the log.
_SHOWN_BYTES = 40


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What the headers of a client's request say.

    :param request: the client's id of this attempt, passed on as it is.
    :param patience_s: seconds for which the client waits; ``None`` if unsaid.
    :param key: the customer's key; empty without one.
    :param prompt_tokens: length of the prompt.
    :param answer_tokens: most tokens that the answer may have.
    :param expected_tokens: the client's guess of the answer's length.
    :param last_event: id of the last event the client has; empty for none.
    """

    request: str
    host: str
    patience_s: float | None
    key: bytes
    model: str
    prompt_tokens: int
    answer_tokens: int
    expected_tokens: int
    last_event: bytes


@dataclass(frozen=True, slots=True)
class ForwardFields:
    """What the system tells a target of a request.

    :param left_s: seconds after which nobody waits for the answer.
    :param priority: 0 is let in first, 9 last; ``None`` for the usual.
    """

    instance: str
    left_s: float
    customer: str = ''
    last_event: bytes = b''
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerMarks:
    """What the headers of a target's answer say of it.

    :param instance: the target's id, where it tells it.
    :param not_run: the target says that it did not run the request.
    :param signed: whether the target's own mark of an answer is there.
    :param misplaced: the target says that the request belongs elsewhere.
    :param limit: how many requests a second the target takes from all nodes together,
        the lowest of several; ``None`` if it names no limit that can be read.
    :param damaged_limit: a value that is no limit, cut to some bytes; ``None`` without.
    :param retry_after_s: seconds for which the target wants no requests from this node,
        the longest of several; ``None`` if it names none that can be read.
    :param damaged_retry_after: a value that is no such time, cut to some bytes;
        ``None`` without.  A date is one: clocks differ by seconds.
    :param leaving: the target says that it is about to end.
    """

    request: str
    instance: str
    not_run: bool
    signed: bool
    misplaced: bool = False
    limit: float | None = None
    damaged_limit: str | None = None
    retry_after_s: float | None = None
    damaged_retry_after: str | None = None
    leaving: bool = False


def read_request_fields(request: IncomingRequest) -> RequestFields:
    """Return the fields of a client's request; malformed numbers count as unsaid."""
    found = {name.lower(): value for name, value in request.headers}
    prompt, _, answer = found.get(b'x-token-usage', b'').partition(b',')
    patience = _number(found.get(b'x-deadline-ms', b''), -1)
    return RequestFields(
        request=found.get(b'x-request-id', b'').decode('latin-1'),
        host=found.get(b'host', b'').decode('latin-1'),
        patience_s=patience / 1000 if patience >= 0 else None,
        key=_read_key(found.get(b'authorization', b'')),
        model=found.get(b'x-model', b'').decode('latin-1'),
        prompt_tokens=int(_number(prompt, 0)),
        answer_tokens=int(_number(answer, 0)),
        expected_tokens=int(_number(found.get(b'x-length-hint', b''), 0)),
        last_event=found.get(b'last-event-id', b''),
    )


def _number(text: bytes, usual: float) -> float:
    try:
        return float(text) if text.strip() else usual
    except ValueError:
        return usual


def _read_key(value: bytes) -> bytes:
    scheme, _, key = value.partition(b' ')
    return key.strip() if scheme.lower() == b'bearer' else b''


def build_target_headers(headers: Headers, fields: ForwardFields) -> Headers:
    """Return the headers with which a request goes to a target."""
    lines = list(pass_headers(headers, _REPLACED))
    lines.append((b'X-Deadline-Ms', b'%d' % max(1, int(fields.left_s * 1000))))
    lines.append((b'X-Expect-Replica', fields.instance.encode()))
    if fields.customer:
        lines.append((b'X-Tenant', fields.customer.encode()))
    if fields.last_event:
        lines.append((b'Last-Event-Id', fields.last_event))
    if fields.priority is not None:
        lines.append((b'X-Request-Priority', b'%d' % fields.priority))
    return tuple(lines)


def report_headers(address: str, instance: str) -> Headers:
    """Return the headers of a question or an order to one instance."""
    return (
        (b'Host', address.encode()),
        (b'X-Expect-Replica', instance.encode()),
    )


def read_answer_marks(status: int, headers: Headers) -> AnswerMarks:
    """Return the marks of a target's answer."""

    def text(name: bytes) -> str:
        return (find_header(headers, name) or b'').decode('latin-1')

    limits, damaged_limit = _read_decimals(headers, _LIMIT)
    counts = status in _RETRY_AFTER_STATUSES
    times, damaged_retry_after = (
        _read_decimals(headers, _RETRY_AFTER) if counts else ([], None)
    )
    return AnswerMarks(
        request=text(b'x-request-id'),
        instance=text(b'x-replica-id'),
        not_run=bool(text(b'x-not-executed')) or status == _MISPLACED,
        signed=bool(text(b'x-replica-signature')),
        misplaced=status == _MISPLACED,
        limit=min(limits, default=None),
        damaged_limit=damaged_limit,
        retry_after_s=max(times, default=None),
        damaged_retry_after=damaged_retry_after,
        leaving=_IS_LEAVING in _list_values(headers, _LEAVING),
    )


def _list_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value.strip() for key, value in headers if key.lower() == name]


def _read_decimals(headers: Headers, name: bytes) -> tuple[list[float], str | None]:
    """Return the decimal numbers in a header, and the first value that is none."""
    values = _list_values(headers, name)
    numbers = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    damaged = [value for value in values if not _DECIMAL.fullmatch(value)]
    shown = damaged[0][:_SHOWN_BYTES].decode('latin-1') if damaged else None
    return numbers, shown


def pass_answer_headers(headers: Headers) -> Headers:
    """Return the headers of a target's answer that go on to the client."""
    return pass_headers(headers, frozenset())
