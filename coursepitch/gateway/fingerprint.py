"""Fingerprints that identify equal requests, whatever their request ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coursepitch.http.messages import start_digest

if TYPE_CHECKING:
    from coursepitch.http.messages import IncomingRequest

__all__ = ['build_fingerprint']

#: Size in bytes of the length prefix of each part.  Without the prefix, different parts
#: could be joined into the same bytes.
LENGTH_PREFIX_BYTES = 4


def build_fingerprint(request: IncomingRequest, host: str, customer: str) -> str:
    """Return the fingerprint of a request: its customer, host, method, target and body.

    The customer is included so that equal requests of two customers are told apart.

    :param host: host name that the client requested.
    :param customer: name of the customer; empty on public routes.
    """
    digest = start_digest()
    for part in (
        customer.encode(),
        host.lower().encode(),
        request.method,
        request.target,
        request.body_digest,
    ):
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()
