"""HTTP clients for targets, one for each address.

The connection pool of httpx scans all its connections for each request, so the
cost of a pool shared by all targets would grow with the number of open streams.
"""

from __future__ import annotations

import httpx

from coursepitch.util.bounded_http import BoundedTransport, Pacer

__all__ = ['TargetClients']

#: Largest number of clients kept; the least recently used are closed first.
MAX_CLIENTS = 256


class TargetClients:
    """HTTP clients by address.

    :param reuse: whether connections are reused.  A reset on a reused idle
        connection leaves the outcome of a request unknown, so each request that
        is not repeatable gets a new connection.
    :param pacer: limits the work of connections that always have data.
    """

    def __init__(self, timeout: httpx.Timeout, pacer: Pacer, *, reuse: bool) -> None:
        self._timeout = timeout
        self._pacer = pacer
        self._limits = httpx.Limits(
            max_connections=None, max_keepalive_connections=64 if reuse else 0
        )
        self._clients: dict[str, httpx.AsyncClient] = {}

    def get(self, address: str) -> httpx.AsyncClient:
        """Return the client for an address."""
        client = self._clients.pop(address, None)
        if client is None:
            client = httpx.AsyncClient(
                transport=BoundedTransport(self._limits, self._pacer),
                timeout=self._timeout,
                trust_env=False,
                headers={'accept-encoding': 'identity'},
            )
        self._clients[address] = client
        return client

    async def trim(self) -> None:
        """Close the least recently used clients above the limit."""
        while len(self._clients) > MAX_CLIENTS:
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).aclose()

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()
        self._clients.clear()
