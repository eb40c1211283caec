"""HTTP clients of targets, one for each address.

The connection pool of the HTTP library looks at all its connections for each
request, so one pool for all targets costs more with every stream in flight.
"""

from __future__ import annotations

import httpx

__all__ = ['TargetClients']

#: Addresses for which clients are kept; the longest unused goes first.
KEPT_ADDRESSES = 256


class TargetClients:
    """Owner of the connections to targets.

    :param keep: whether connections are used again.  A reset on a reused idle
        connection leaves the outcome unknown, so calls that are not
        repeatable each get a new one.
    """

    def __init__(self, timeout: httpx.Timeout, *, keep: bool) -> None:
        self._timeout = timeout
        self._limits = httpx.Limits(
            max_connections=None, max_keepalive_connections=64 if keep else 0
        )
        self._clients: dict[str, httpx.AsyncClient] = {}

    def get(self, address: str) -> httpx.AsyncClient:
        """Return the client of an address."""
        client = self._clients.pop(address, None)
        if client is None:
            transport = httpx.AsyncHTTPTransport(verify=False, limits=self._limits)
            client = httpx.AsyncClient(
                transport=transport,
                timeout=self._timeout,
                trust_env=False,
                headers={'accept-encoding': 'identity'},
            )
        self._clients[address] = client
        return client

    async def trim(self) -> None:
        """Close the clients of addresses that were not used for long."""
        while len(self._clients) > KEPT_ADDRESSES:
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).aclose()

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()
        self._clients.clear()
