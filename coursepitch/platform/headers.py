"""Parsing and construction of the platform's HTTP headers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.http.messages import filter_headers, find_header

if TYPE_CHECKING:
    from coursepitch.http.messages import Headers, IncomingRequest

__all__ = [
    'ForwardFields',
    'RequestFields',
    'ResponseMetadata',
    'build_instance_headers',
    'build_target_headers',
    'forward_response_headers',
    'read_client_timeout_s',
    'read_request_fields',
    'read_request_id',
    'read_response_metadata',
]

#: Client request headers that are replaced or not forwarded to a target.
_NOT_FORWARDED = frozenset(
    {
        b'authorization',
        b'x-deadline-ms',
        b'x-tenant',
        b'x-expect-replica',
        b'x-request-priority',
    }
)

#: Header with the id of the last event that a client has got.  Source: HTML standard,
#: section 9.2.4.
_LAST_EVENT_HEADER = b'last-event-id'

#: Header with the rate limit of a target: requests per second from all nodes.
_RATE_LIMIT_HEADER = b'server-limit'

#: Header with the milliseconds for which a target stays cold.
_COLD_HEADER = b'x-cold-ms'

#: Header by which a target announces its shutdown, and its only valid value.
_LEAVING_HEADER = b'server-leaving'
_LEAVING_VALUE = b'1'

#: Header in which a target that rejects a request tells this node how long to back
#: off, and the statuses with which the header is evaluated.
#: Source: RFC 9110, section 10.2.3, and RFC 6585, section 4.
_RETRY_AFTER_HEADER = b'retry-after'
_RETRY_AFTER_STATUSES = frozenset({429, 503})

#: Status of a misdirected request: the target is not the expected instance, or no
#: longer the head of its group.  Source: RFC 9110, section 15.5.20.
_MISDIRECTED_STATUS = 421

#: A decimal number without sign or exponent, of at most 20 characters.
_DECIMAL = re.compile(rb'(?=.{1,20}$)(\d+(\.\d*)?|\.\d+)')

#: One part of a prompt: its id in hexadecimal and its length in tokens.
_PROMPT_PART = re.compile(rb'([0-9A-Fa-f]{1,64}):\d{1,12}')

#: Most parts of a prompt that are read; the longest known prompts have about ten.
MAX_PROMPT_PARTS = 64

#: Most tokens of a request.  Source: far above any context window, and far below what
#: sums and messages of nodes can take.
MAX_TOKENS = 1_000_000_000

#: Bytes of an invalid header value that are kept for the log.
_LOGGED_VALUE_BYTES = 40


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Fields from the headers of a client's request.

    :param request: the client's id of this attempt, forwarded unchanged.
    :param client_timeout_s: seconds for which the client waits; ``None`` if not given.
    :param key: API key of the customer; empty without one.
    :param prompt_tokens: length of the prompt in tokens.
    :param answer_tokens: maximum length of the response in tokens.
    :param expected_tokens: the client's estimate of the response length in tokens.
    :param last_event: id of the last event that the client received; empty for none.
    :param prompt_parts: ids of the parts of the prompt, in order and without
        duplicates.
    """

    request: str
    host: str
    client_timeout_s: float | None
    key: bytes
    model: str
    prompt_tokens: int
    answer_tokens: int
    expected_tokens: int
    last_event: bytes
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardFields:
    """Fields that are sent to a target in the headers of a request.

    :param instance: name of the instance that is expected to handle the request.
    :param remaining_s: remaining seconds before the deadline of the request.
    :param last_event: id of the last event that the client has got from an earlier run
        of the same request; empty if it has got none, and its own header is forwarded.
    :param priority: from 0, admitted first, to 9; ``None`` for the target's default.
    """

    instance: str
    remaining_s: float
    customer: str = ''
    last_event: bytes = b''
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from the headers of a target's response.

    :param request: id of the request that the response belongs to.
    :param instance: id of the responding instance; empty if not given.
    :param not_executed: the target reports that it did not execute the request.
    :param has_signature: whether the response carries the target's signature.
    :param misdirected: the target rejected the request as misdirected.
    :param limit: rate limit in requests per second from all nodes together, the
        lowest of several; ``None`` without a valid one.
    :param invalid_limit: an invalid rate limit, truncated; ``None`` without one.
    :param retry_after_s: seconds for which this node must back off, the longest of
        several; ``None`` without a valid one.
    :param invalid_retry_after: an invalid back-off time, truncated; ``None`` without
        one.  Dates count as invalid, as clocks differ by seconds.
    :param leaving: the target announces that it is about to shut down.
    :param cold_left_s: seconds for which the target stays cold, the longest of
        several; ``None`` without a valid value.
    """

    request: str
    instance: str
    not_executed: bool
    has_signature: bool
    misdirected: bool = False
    limit: float | None = None
    invalid_limit: str | None = None
    retry_after_s: float | None = None
    invalid_retry_after: str | None = None
    leaving: bool = False
    cold_left_s: float | None = None


def read_request_fields(request: IncomingRequest) -> RequestFields:
    """Read the header fields of a client's request; ignore malformed numbers."""
    found = {name.lower(): value for name, value in request.headers}
    prompt, _, response = found.get(b'x-token-usage', b'').partition(b',')
    return RequestFields(
        request=found.get(b'x-request-id', b'').decode('latin-1'),
        host=found.get(b'host', b'').decode('latin-1'),
        client_timeout_s=_parse_timeout_s(found.get(b'x-deadline-ms')),
        key=_parse_bearer_key(found.get(b'authorization', b'')),
        model=found.get(b'x-model', b'').decode('latin-1'),
        prompt_tokens=_parse_count(prompt),
        answer_tokens=_parse_count(response),
        expected_tokens=_parse_count(found.get(b'x-length-hint', b'')),
        last_event=found.get(_LAST_EVENT_HEADER, b''),
        prompt_parts=_parse_prompt_parts(found.get(b'x-prompt-prefix', b'')),
    )


def read_client_timeout_s(headers: Headers) -> float | None:
    """Return the seconds that a client waits for a response, or ``None``."""
    return _parse_timeout_s(find_header(headers, b'x-deadline-ms'))


def read_request_id(headers: Headers) -> str:
    """Return the id of a request, for logs; empty if it has none."""
    return (find_header(headers, b'x-request-id') or b'').decode('latin-1')


def _parse_timeout_s(value: bytes | None) -> float | None:
    timeout_ms = _parse_number(value or b'', -1)
    return timeout_ms / 1000 if timeout_ms >= 0 else None


def _parse_prompt_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt; malformed parts are left out."""
    found = map(_PROMPT_PART.fullmatch, map(bytes.strip, value.split(b',')))
    names = [match[1].decode().lower() for match in found if match is not None]
    return tuple(dict.fromkeys(names))[:MAX_PROMPT_PARTS]


def _parse_number(text: bytes, default: float) -> float:
    try:
        return float(text) if text.strip() else default
    except ValueError:
        return default


def _parse_count(text: bytes) -> int:
    """Return a number of tokens; one that no request can have counts as none."""
    number = _parse_number(text, 0)
    return int(number) if abs(number) <= MAX_TOKENS else 0


def _parse_bearer_key(value: bytes) -> bytes:
    scheme, _, key = value.partition(b' ')
    return key.strip() if scheme.lower() == b'bearer' else b''


def build_target_headers(headers: Headers, fields: ForwardFields) -> Headers:
    """Return the headers for forwarding a request to a target."""
    dropped = _NOT_FORWARDED
    if fields.last_event:
        dropped |= {_LAST_EVENT_HEADER}
    lines = list(filter_headers(headers, dropped))
    lines.append((b'X-Deadline-Ms', b'%d' % max(1, int(fields.remaining_s * 1000))))
    lines.append((b'X-Expect-Replica', fields.instance.encode()))
    if fields.customer:
        lines.append((b'X-Tenant', fields.customer.encode()))
    if fields.last_event:
        # A header value neither begins nor ends with white space.
        lines.append((b'Last-Event-Id', fields.last_event.strip(b' \t')))
    if fields.priority is not None:
        lines.append((b'X-Request-Priority', b'%d' % fields.priority))
    return tuple(lines)


def build_instance_headers(address: str, instance: str) -> Headers:
    """Return the headers of a status query or an order to one instance."""
    return (
        (b'Host', address.encode()),
        (b'X-Expect-Replica', instance.encode()),
    )


def read_response_metadata(status: int, headers: Headers) -> ResponseMetadata:
    """Read the metadata in the headers of a target's response."""

    def text(name: bytes) -> str:
        return (find_header(headers, name) or b'').decode('latin-1')

    limits, invalid_limit = _parse_decimals(headers, _RATE_LIMIT_HEADER)
    counts = status in _RETRY_AFTER_STATUSES
    times, invalid_retry_after = (
        _parse_decimals(headers, _RETRY_AFTER_HEADER) if counts else ([], None)
    )
    cold_times, _ = _parse_decimals(headers, _COLD_HEADER)
    return ResponseMetadata(
        request=text(b'x-request-id'),
        instance=text(b'x-replica-id'),
        not_executed=bool(text(b'x-not-executed')) or status == _MISDIRECTED_STATUS,
        has_signature=bool(text(b'x-replica-signature')),
        misdirected=status == _MISDIRECTED_STATUS,
        limit=min(limits, default=None),
        invalid_limit=invalid_limit,
        retry_after_s=max(times, default=None),
        invalid_retry_after=invalid_retry_after,
        leaving=_LEAVING_VALUE in _get_values(headers, _LEAVING_HEADER),
        cold_left_s=max(cold_times) / 1000 if cold_times else None,
    )


def _get_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value.strip() for key, value in headers if key.lower() == name]


def _parse_decimals(headers: Headers, name: bytes) -> tuple[list[float], str | None]:
    """Return the decimal values of a header, and the first invalid one."""
    values = _get_values(headers, name)
    numbers = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    invalid = [value for value in values if not _DECIMAL.fullmatch(value)]
    excerpt = invalid[0][:_LOGGED_VALUE_BYTES].decode('latin-1') if invalid else None
    return numbers, excerpt


def forward_response_headers(headers: Headers) -> Headers:
    """Return the headers of a target's response that are forwarded to the client."""
    return filter_headers(headers, frozenset())
