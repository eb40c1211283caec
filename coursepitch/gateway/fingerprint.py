"""What makes two requests the same, whatever ids their clients gave them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coursepitch.http.messages import start_digest

if TYPE_CHECKING:
    from coursepitch.http.messages import IncomingRequest

__all__ = ['build_fingerprint']

#: Bytes in which the length of a part is written, so that parts can't be shifted.
LENGTH_BYTES = 4


def build_fingerprint(request: IncomingRequest, host: str, customer: str) -> str:
    """Return the fingerprint of a request: of its customer, place, method and body.

    The customer is a part of it, so that none can take another's request for its own.

    :param host: name that the client asked for.
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
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()
