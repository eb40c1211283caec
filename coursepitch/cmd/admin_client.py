"""Client of the resource interface, for the commands of operators."""

from __future__ import annotations

import json
import os
import ssl
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx
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
        verify = ssl.create_default_context(cafile=ca_file) if ca_file else True
        self._client = httpx.Client(
            base_url=url or DEFAULT_ADMIN, headers=headers, verify=verify, timeout=40
        )

    def call(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        """Make one call and return its JSON.

        :raises AdminError: the node refused, or cannot be reached.
        """
        try:
            reply = self._client.request(method, path, **options)
        except httpx.HTTPError as error:
            base = self._client.base_url
            raise AdminError(f'no answer from {base}: {error}') from error
        try:
            data: dict[str, Any] = reply.json()
        except ValueError as error:
            raise AdminError(f'status {reply.status_code}, no JSON') from error
        if reply.status_code >= 400:
            raise AdminError(_describe(reply.status_code, data))
        return data


def _describe(status: int, data: dict[str, Any]) -> str:
    error = data.get('error', {})
    lines = [f'{status}: {error.get("message", "")}']
    if error.get('current'):
        lines.append(f'there is now: {json.dumps(error["current"])}')
    if error.get('maybe_recorded'):
        lines.append('the change may have been recorded; look before a repetition')
    return '\n'.join(lines)
