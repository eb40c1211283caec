"""The platform's lagging list of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import anyio
import orjson

from coursepitch.http.client import ConnectionPool, ExchangeError, NoConnectionError
from coursepitch.platform.kv import Unavailable

__all__ = ['Instance', 'InstanceList']

#: Largest list in bytes.
LIST_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of a target as the platform lists it.

    :param address: IP:port on which it answers.
    :param kind: kind of target, on which the check of fences hangs.
    """

    name: str
    address: str
    availability_zone: str
    domain: str
    kind: str = 'engine'
    accelerators: int = 2
    leaving: bool = False


class InstanceList:
    """Reader of the list over HTTP.

    :param url: ``http://IP:port`` of the list.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._address = urlsplit(url).netloc
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(connect_timeout_s=timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def read(self) -> tuple[Instance, ...] | Unavailable:
        """Return all instances that are listed."""
        headers = ((b'Host', self._address.encode()),)
        try:
            with anyio.fail_after(self._timeout_s):
                connection = await self._pool.acquire(self._address)
                answer = await self._pool.exchange(
                    connection, b'GET', b'/instances', headers, b''
                )
                try:
                    body = await answer.read_whole(LIST_BYTES)
                finally:
                    answer.release()
            if answer.status != 200:
                return Unavailable(f'instance list: status {answer.status}')
            data = orjson.loads(body)
            return tuple(_read_instance(item) for item in data['instances'])
        except (NoConnectionError, ExchangeError, TimeoutError) as error:
            return Unavailable(f'instance list: {type(error).__name__}')
        except (KeyError, TypeError, ValueError) as error:
            return Unavailable(f'instance list: {error!r}')


def _read_instance(data: dict[str, Any]) -> Instance:
    return Instance(
        name=str(data['id']),
        address=str(data['address']),
        availability_zone=str(data['zone']),
        domain=str(data['domain']),
        kind=str(data.get('kind', 'engine')),
        accelerators=int(data.get('accelerators', 2)),
        leaving=data.get('state', 'live') != 'live',
    )
