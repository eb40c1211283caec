"""Client of the resource interface, for the commands of operators."""

from __future__ import annotations

import json
import os
import ssl
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import httpx
import orjson
from cleo.helpers import option

from coursepitch.errors import CoursepitchError

if TYPE_CHECKING:
    from cleo.commands.command import Command

__all__ = ['ADMIN_OPTIONS', 'AdminClient', 'AdminError']

#: Options of all commands that talk to a node.
ADMIN_OPTIONS = [
    option('admin', 'a', 'URL of a node [env COURSEPITCH_ADMIN]', flag=False),
    option('key-file', 'k', 'File with the operator key', flag=False),
    option('ca-file', None, 'PEM file with the authority of the node', flag=False),
]

DEFAULT_ADMIN = 'http://127.0.0.1:8201'

#: Seconds for a whole call, beyond the 30 s for which a node may hold an answer back.
TIMEOUT_S = 40.0

#: Largest answer in bytes; the largest is the list of all resources of a kind.
MAX_ANSWER_BYTES = 67_108_864


class AdminError(CoursepitchError):
    """A node refused a request of an operator."""

    category = 'refused'


class AdminClient:
    """Client of the resource interface."""

    def __init__(self, command: Command) -> None:
        url = command.option('admin') or os.environ.get('COURSEPITCH_ADMIN')
        key_file = command.option('key-file')
        key = os.environ.get('COURSEPITCH_KEY', '')
        if key_file:
            try:
                key = Path(key_file).read_text(encoding='utf-8').strip()
            except OSError as error:
                raise AdminError(f'key file: {error}') from error
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        ca_file = command.option('ca-file')
        self._url = url or DEFAULT_ADMIN
        self._headers = headers
        self._verify: ssl.SSLContext | bool = (
            ssl.create_default_context(cafile=ca_file) if ca_file else True
        )

    def call(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        """Make one call and return its JSON.

        :raises AdminError: the node refused, or cannot be reached.
        """
        try:
            status, body = anyio.run(self._send, method, path, options)
        except TimeoutError as error:
            message = f'no whole answer from {self._url} within {TIMEOUT_S:g} s'
            raise AdminError(message) from error
        except httpx.HTTPError as error:
            raise AdminError(f'no answer from {self._url}: {error}') from error
        try:
            data: dict[str, Any] = orjson.loads(body)
        except ValueError as error:
            raise AdminError(f'status {status}, no JSON') from error
        if status >= 400:
            raise AdminError(_describe(status, data))
        return data

    async def _send(
        self, method: str, path: str, options: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Return the status and the body of an answer.

        :raises TimeoutError: it was not whole in time.
        :raises AdminError: it is too large.
        :raises httpx.HTTPError: the call failed otherwise.
        """
        body = bytearray()
        with anyio.fail_after(TIMEOUT_S):
            async with (
                httpx.AsyncClient(
                    base_url=self._url,
                    headers=self._headers,
                    verify=self._verify,
                    timeout=TIMEOUT_S,
                ) as client,
                client.stream(method, path, **options) as reply,
            ):
                async for piece in reply.aiter_bytes():
                    body += piece
                    if len(body) > MAX_ANSWER_BYTES:
                        raise AdminError(
                            f'answer of more than {MAX_ANSWER_BYTES} bytes'
                        )
        return reply.status_code, bytes(body)


def _describe(status: int, data: dict[str, Any]) -> str:
    error = data.get('error', {})
    lines = [f'{status}: {error.get("message", "")}']
    if error.get('current'):
        lines.append(f'there is now: {json.dumps(error["current"])}')
    if error.get('maybe_recorded'):
        lines.append('the change may have been recorded; look before a repetition')
    return '\n'.join(lines)
