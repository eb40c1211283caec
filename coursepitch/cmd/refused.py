"""Command that lists requests known to end instances, and lifts their refusal."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from cleo.helpers import argument, option

from coursepitch.cmd.base import BaseCommand
from coursepitch.config.gateway import load_gateway_settings
from coursepitch.crashes.refused import (
    RefusedRequest,
    decode_refused,
    encode_lifted,
)
from coursepitch.errors import CodecError, NotFoundError, UnavailableError
from coursepitch.fleet.view import REFUSED_PREFIX
from coursepitch.metrics import Metrics
from coursepitch.platform.kv import KeyValue, Swapped, Unavailable, Write

if TYPE_CHECKING:
    from coursepitch.config.gateway import StoreSettings

__all__ = ['RefusedCommand']

#: Seconds for which the store says that a refusal was lifted.  Source: as long as a
#: node that could not hear of it refuses the request at most, unless that came again.
LIFTED_S = 600.0


class RefusedCommand(BaseCommand):
    """List what nodes refuse as instances end under it, or lift one refusal."""

    name = 'refused'
    description = 'List requests that end instances; lift the refusal of one.'
    arguments = [argument('settings', 'Settings file of a node')]  # noqa: RUF012
    options = [  # noqa: RUF012
        option('lift', None, 'Let the request with this fingerprint run', flag=False),
        option('json', None, 'Print the list as JSON', flag=True),
    ]

    def work(self) -> int:
        """Ask the store, and change it if asked to."""
        settings = load_gateway_settings(Path(self.argument('settings')))
        fingerprint = self.option('lift')
        if fingerprint:
            anyio.run(lift_refusal, settings.store, fingerprint)
            self.print_raw(f'{fingerprint}: lifted')
            return 0
        found = anyio.run(list_refused, settings.store)
        if self.option('json'):
            self.print_raw(json.dumps([build_row(item) for item in found]))
        for item in found if not self.option('json') else ():
            ended = ', '.join(f'{row.name} ({row.seen_by})' for row in item.ended)
            customers = ','.join(item.customers) or '-'
            self.print_raw(f'{item.fingerprint} {customers}: {ended}')
        return 0


def build_row(item: RefusedRequest) -> dict[str, object]:
    """Return a refused request as JSON shows it."""
    ended = [
        {'instance': row.name, 'born': row.born, 'seen_by': row.seen_by}
        for row in item.ended
    ]
    return {
        'fingerprint': item.fingerprint,
        'customer': item.customer,
        'customers': item.customers,
        'companions': list(item.companions),
        'ended': ended,
    }


def _open_store(settings: StoreSettings) -> KeyValue:
    return KeyValue(
        settings.address, settings.timeout_s, settings.calls_per_s, Metrics()
    )


async def list_refused(settings: StoreSettings) -> list[RefusedRequest]:
    """Return what is refused, by fingerprint; damaged entries are left out.

    :raises UnavailableError: the store does not answer.
    """
    store = _open_store(settings)
    listed = await store.list_prefix(REFUSED_PREFIX)
    if isinstance(listed, Unavailable):
        raise UnavailableError(f'store at {settings.address}: {listed.reason}')
    found = []
    for entry in listed.entries:
        try:
            name = entry.key.removeprefix(REFUSED_PREFIX)
            item = decode_refused(name, entry.value)
        except CodecError:
            # Nodes take nothing from it either, and say so in their logs.
            continue
        if not item.lifted:
            found.append(item)
    return sorted(found, key=lambda item: item.fingerprint)


async def lift_refusal(settings: StoreSettings, fingerprint: str) -> None:
    """Let a request run again.

    :raises UnavailableError: the store does not answer.
    :raises NotFoundError: the request is not refused.
    """
    found = {item.fingerprint: item for item in await list_refused(settings)}
    if fingerprint not in found:
        raise NotFoundError(f'{fingerprint}: not refused')
    store = _open_store(settings)
    lease = await store.grant(LIFTED_S)
    if isinstance(lease, Unavailable):
        raise UnavailableError(f'store at {settings.address}: {lease.reason}')
    key = REFUSED_PREFIX + fingerprint
    write = Write(key, encode_lifted(found[fingerprint]), lease)
    if not isinstance(await store.transact([], [write]), Swapped):
        raise UnavailableError(f'store at {settings.address}: not lifted')
