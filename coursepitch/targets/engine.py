"""Client of the control API of model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx

from coursepitch.control.lifecycle import HealthCheck
from coursepitch.errors import CodecError, TargetError
from coursepitch.util.bounded_http import (
    BoundedTransport,
    drain_body,
    open_reply,
    read_object,
)
from coursepitch.util.decoding import raise_codec_errors

if TYPE_CHECKING:
    from coursepitch.control.claims import Replica

__all__ = ['EngineControl']

#: Largest report of an engine in bytes; most of it are the names of adapters.
MAX_REPORT_BYTES = 262_144


class EngineControl:
    """Checks the health of engine instances and sends them commands over HTTP.

    :param timeout_s: time limit of a call as a whole in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
        self._client = httpx.AsyncClient(
            transport=BoundedTransport(limits),
            timeout=timeout_s,
            trust_env=False,
            headers={'accept-encoding': 'identity'},
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def check(self, address: str) -> HealthCheck:
        """Return the state of an instance.

        An instance that refuses connections or does not answer correctly counts as
        failed, and one that does not answer in time as silent.
        """
        try:
            request = self._client.build_request('GET', f'http://{address}/health')
            async with open_reply(self._client, request, self._timeout_s) as reply:
                reply.raise_for_status()
                report = await read_object(reply, MAX_REPORT_BYTES)
            return _parse_check(report)
        except httpx.TimeoutException:
            # A pause of this node in the check is no silence of the instance.
            return HealthCheck(answered=False, silent_s=self._timeout_s)
        except (httpx.HTTPError, httpx.InvalidURL, CodecError):
            return HealthCheck(answered=False, failures=1)

    async def load(self, replica: Replica, rank: int, epoch: int) -> None:
        """Tell one member of a replica to load its model.

        :raises TargetError: the member did not accept the command.
        """
        other_members = [member.address for member in replica.members]
        del other_members[rank]
        command = {
            'claim': replica.name,
            'epoch': epoch,
            'model': replica.model,
            'version': replica.version,
            'adapters': list(replica.adapters),
            'rank': rank,
            'members': other_members,
        }
        await self._send_command(replica.members[rank].address, 'load', command)

    async def release(self, address: str, claim: str, epoch: int) -> None:
        """Tell one member to release a claim.

        :raises TargetError: the member did not accept the command.
        """
        await self._send_command(address, 'release', {'claim': claim, 'epoch': epoch})

    async def _send_command(
        self, address: str, name: str, command: dict[str, Any]
    ) -> None:
        try:
            url = f'http://{address}/control/{name}'
            request = self._client.build_request('POST', url, json=command)
            async with open_reply(self._client, request, self._timeout_s) as reply:
                status = reply.status_code
                await drain_body(reply.aiter_raw())
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise TargetError(f'{name}: {type(error).__name__}') from error
        if status != 200:
            raise TargetError(f'{name}: status {status}')


def _parse_check(data: dict[str, Any]) -> HealthCheck:
    with raise_codec_errors('check'):
        return HealthCheck(
            answered=True,
            state=str(data['state']),
            claim=str(data['claim']),
            model=str(data['model']),
            version=str(data['version']),
            adapters=tuple(str(name) for name in data['adapters']),
            epoch=int(data['epoch']),
            running=int(data['running']),
        )
