"""Client of the platform's list of instances, which may be out of date."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import anyio
import orjson

from coursepitch import events, log
from coursepitch.errors import CodecError
from coursepitch.http.client import ConnectionPool, ExchangeError, NoConnectionError
from coursepitch.platform.kv import Unavailable
from coursepitch.util.addresses import is_address
from coursepitch.util.decoding import raise_codec_errors, shorten

__all__ = ['Instance', 'InstanceList']

#: Maximum number of malformed instances that are logged for one list.
MAX_LOGGED = 64

#: Maximum size of the list in bytes.
MAX_LIST_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of a target as the platform lists it.

    :param address: ``IP:port`` at which the instance serves requests.
    :param domain: fabric domain of the instance.
    :param kind: type of target; decides whether fencing is checked.
    :param leaving: whether the platform lists it in any state but ``live``.
    """

    name: str
    address: str
    availability_zone: str
    domain: str
    kind: str = 'engine'
    accelerators: int = 2
    leaving: bool = False


class InstanceList:
    """HTTP client that reads the instance list.

    :param url: ``http://IP:port`` of the instance list service.
    :param timeout_s: timeout in seconds of a connection attempt and of a whole read.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._address = urlsplit(url).netloc
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(connect_timeout_s=timeout_s)
        self._damaged: set[str] = set()

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def read(self) -> tuple[Instance, ...] | Unavailable:
        """Return all listed instances, or :class:`Unavailable` on any error."""
        headers = ((b'Host', self._address.encode()),)
        try:
            with anyio.fail_after(self._timeout_s):
                connection = await self._pool.acquire(self._address)
                response = await self._pool.exchange(
                    connection, b'GET', b'/instances', headers, b''
                )
                try:
                    body = await response.read_whole(MAX_LIST_BYTES)
                finally:
                    response.release()
            if response.status != 200:
                return Unavailable(f'instance list: status {response.status}')
            return self._pass_sound(decode_list(body))
        except (NoConnectionError, ExchangeError, TimeoutError) as error:
            return Unavailable(f'instance list: {type(error).__name__}')
        except CodecError as error:
            return Unavailable(str(error))

    def _pass_sound(self, items: list[Instance | CodecError]) -> tuple[Instance, ...]:
        """Return the instances; log what is malformed once, as long as it stays."""
        damaged = {str(item) for item in items if isinstance(item, CodecError)}
        for reason in sorted(damaged - self._damaged)[:MAX_LOGGED]:
            log.emit(events.INSTANCE_DAMAGED, instance='', reason=reason)
        self._damaged = damaged
        return tuple(item for item in items if isinstance(item, Instance))


def decode_list(body: bytes) -> list[Instance | CodecError]:
    """Decode the list of instances, with an error in place of each malformed one.

    :raises CodecError: the list itself is malformed.
    """
    with raise_codec_errors('instance list'):
        return [_decode_instance(item) for item in orjson.loads(body)['instances']]


def _decode_instance(data: dict[str, Any]) -> Instance | CodecError:
    try:
        with raise_codec_errors('instance'):
            address = str(data['address'])
            if not is_address(address):
                raise CodecError(f'{shorten(address)} is not an address with a port')
            return Instance(
                name=str(data['id']),
                address=address,
                availability_zone=str(data['zone']),
                domain=str(data['domain']),
                kind=str(data.get('kind', 'engine')),
                accelerators=int(data.get('accelerators', 2)),
                leaving=data.get('state', 'live') != 'live',
            )
    except CodecError as error:
        return error
