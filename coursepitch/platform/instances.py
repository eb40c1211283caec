"""The platform's lagging list of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import httpx

from coursepitch.platform.kv import Unavailable

__all__ = ['Instance', 'InstanceList']


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
    """Reader of the list over HTTP."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self) -> tuple[Instance, ...] | Unavailable:
        """Return all instances that are listed."""
        try:
            reply = await self._client.get('/instances')
            reply.raise_for_status()
            data = reply.json()
            return tuple(_read_instance(item) for item in data['instances'])
        except httpx.HTTPError as error:
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
