"""HTTP/1.1 requests and headers."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

__all__ = [
    'FORBIDDEN_IN_HEAD',
    'HEAD_END',
    'HOP_HEADERS',
    'Headers',
    'IncomingRequest',
    'STATUS_LINE_START',
    'filter_headers',
    'find_header',
    'start_digest',
]

#: Size of a body digest in bytes.  With 128 bits, it is infeasible to find a body that
#: has the same digest as another customer's body (RFC 7693, section 4), and messages
#: between nodes stay short.
DIGEST_BYTES = 16

#: Matches the end of a head as the parser finds it.
HEAD_END = re.compile(rb'\n\r?\n')

#: Matches bytes that the parser accepts nowhere in a head or in trailers.  It would try
#: to match such a line from each of its spaces.
FORBIDDEN_IN_HEAD = re.compile(rb'[\x00\x0b\x0c]|\r[^\n]')

#: Matches the start of a status line whose status code is valid.
#: Source: RFC 9112, section 4, and RFC 9110, section 15.
STATUS_LINE_START = re.compile(rb'HTTP/1\.[0-9] [1-5][0-9]{2}[ \r\n]')

#: Header names and values in their original order and case.
Headers = tuple[tuple[bytes, bytes], ...]

#: Hop-by-hop headers, which are valid for one connection only.
#: Source: RFC 9110, section 7.6.1.
HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)


def start_digest() -> hashlib.blake2b:
    """Return a hash object for a body that is read in parts."""
    return hashlib.blake2b(digest_size=DIGEST_BYTES)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header, or ``None``.

    :param name: name of the header in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def filter_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers to forward, without hop-by-hop and dropped ones.

    :param dropped: names of further headers to leave out, in lower case.
    """
    connection_options = find_header(headers, b'connection') or b''
    connection_names = {part.strip().lower() for part in connection_options.split(b',')}
    return tuple(
        (key, value)
        for key, value in headers
        if (lower := key.lower()) not in HOP_HEADERS
        and lower not in dropped
        and lower not in connection_names
    )


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request as received from a client.

    :param target: path and query, unmodified.
    :param received_at: monotonic time at which the last byte was read.
    :param body_digest: cryptographic hash of the body, see :func:`start_digest`.
    :param waited_s: most seconds for which the last byte waited to be read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    body_digest: bytes = b''
    waited_s: float = 0.0

    @property
    def path(self) -> bytes:
        """Path of the target, without the query."""
        return self.target.partition(b'?')[0]

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; ``name`` must be in lower case."""
        return find_header(self.headers, name)
