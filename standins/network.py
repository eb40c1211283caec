"""Network of a node that has paths of its own to the instances.

All instances are listed at :data:`INSTANCE_HOST`.  A node that runs in this network
reaches them at a host of its own, as if its packets took another way, so that its paths
can be cut apart from those of other nodes, see :mod:`standins.paths`.

    python -m standins.network HOST ARGUMENT...

runs ``coursepitch`` with the arguments.
"""

from __future__ import annotations

import asyncio
import runpy
import sys
from typing import Any

__all__ = ['INSTANCE_HOST', 'find_host']

#: Host at which instances are listed.
INSTANCE_HOST = '127.0.2.1'


def find_host(number: int) -> str:
    """Return the host at which a node reaches the instances.

    :param number: number of the node, from 0.
    """
    first, second = divmod(number + 2, 250)
    return f'127.0.{2 + first}.{second}'


def _route_connections(own_host: str) -> None:
    """Let connections to instances go to the node's own host."""
    connect = asyncio.BaseEventLoop.create_connection

    async def create_connection(
        loop: asyncio.BaseEventLoop,
        protocol_factory: Any,
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> Any:
        if host == INSTANCE_HOST:
            host = own_host
        return await connect(loop, protocol_factory, host, port, **options)

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore


def main() -> None:
    """Run the program in the network of a node."""
    _, host, *arguments = sys.argv
    _route_connections(host)
    sys.argv = ['coursepitch', *arguments]
    runpy.run_module('coursepitch', run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
