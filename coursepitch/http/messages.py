"""Messages of HTTP/1.1 as they are read and written."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

__all__ = [
    'HOP_HEADERS',
    'Headers',
    'IncomingRequest',
    'find_header',
    'pass_headers',
    'start_digest',
]

#: Bytes of a digest.  128 bits: nobody finds a second body with the digest of another
#: customer's (RFC 7693, section 4), and a message between nodes stays short.
DIGEST_BYTES = 16

#: Header lines in their order, names as they were spelled.
Headers = tuple[tuple[bytes, bytes], ...]

#: Headers that concern one connection only.  Source: RFC 9110, section 7.6.1.
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
    """Return the hash to which a body is given piece by piece, as it is read."""
    return hashlib.blake2b(digest_size=DIGEST_BYTES)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header, or ``None``.

    :param name: in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def pass_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers to pass on: neither hop-by-hop nor dropped.

    :param dropped: further names in lower case.
    """
    listed = find_header(headers, b'connection') or b''
    named = {part.strip().lower() for part in listed.split(b',')}
    return tuple(
        (key, value)
        for key, value in headers
        if (lower := key.lower()) not in HOP_HEADERS
        and lower not in dropped
        and lower not in named
    )


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A whole request as a client sent it.

    :param target: path and query, unaltered.
    :param received_at: monotonic time at which its last byte was read.
    :param body_digest: cryptographic hash of the body, see :func:`start_digest`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    body_digest: bytes = b''

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b'?')[0]

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value; ``name`` is in lower case."""
        return find_header(self.headers, name)
