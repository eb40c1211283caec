"""A small system for measurements."""

from __future__ import annotations

import hashlib
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from standins.harness import CALLER_KEY, Harness

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['GROUP', 'count_serving', 'open_system']

GROUP = 'release-notes'


def count_serving(harness: Harness, node: str) -> int:
    """Return the replicas that serve, as a node sees it."""
    return sum(item['serving'] for item in harness.replicas(node, GROUP))


@contextmanager
def open_system(
    nodes: int,
    replicas: int,
    instances: int = 1,
    spares: int = 0,
    settings: dict[str, dict[str, str]] | None = None,
    **engine: Any,
) -> Iterator[Harness]:
    """Start a system whose group serves; end it afterwards.

    Each replica has a fabric domain of its own.
    """
    harness = Harness()
    harness.settings = settings or {}
    zones = ('kurasini', 'mikocheni', 'ubungo')
    try:
        domains = {
            f'fab-{n}': (zones[n % 3], instances + spares) for n in range(replicas)
        }
        harness.start_platform(domains, **engine)
        harness.start_nodes({f'n{n}': zones[n % 3] for n in range(nodes)})
        limits = {'requests_per_s': 1e6, 'burst': 1e6, 'in_flight': 100_000}
        for customer in ('dar', 'large'):
            harness.apply('n0', 'customer', customer, tokens_per_s=1e9, **limits)
            key = CALLER_KEY if customer == 'dar' else f'{customer}-key'
            digest = hashlib.sha256(key.encode()).hexdigest()
            harness.apply(
                'n0', 'caller', customer, customer=customer, key_sha256=digest
            )
        harness.apply(
            'n0',
            'group',
            GROUP,
            model=GROUP,
            version='1',
            replicas=replicas,
            instances=instances,
            customers=['dar', 'large'],
        )
        for node in range(nodes):
            harness.wait_for(
                lambda name=f'n{node}': count_serving(harness, name) == replicas,
                f'n{node} sees all replicas',
            )
        yield harness
    finally:
        harness.close()
