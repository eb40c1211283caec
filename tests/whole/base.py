"""Base of tests on running processes."""

from __future__ import annotations

import hashlib
import unittest
from typing import Any, ClassVar

from standins.harness import CALLER_KEY, Harness

GROUP = 'release-notes'

#: Settings of nodes whose tests are not about a slow store: on a busy machine a call
#: to its stand-in may take longer than the usual second, and several in a row may
#: leave the configuration unconfirmed for longer than the usual three.
PATIENT = {'platform': {'timeout_s': '5', 'confirm_bound_s': '60'}}


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


class SystemCase(unittest.TestCase):
    """A small system that the tests of a class share.

    Two replicas of two instances; one spare instance in each domain.
    """

    nodes: ClassVar[dict[str, str]] = {
        'n1': 'kurasini',
        'n2': 'mikocheni',
        'n3': 'ubungo',
    }
    domains: ClassVar[dict[str, tuple[str, int]]] = {
        'fab-a': ('kurasini', 3),
        'fab-b': ('mikocheni', 3),
    }
    engine: ClassVar[dict[str, Any]] = {'token_s': 0.01}
    settings: ClassVar[dict[str, dict[str, str]]] = {}
    replicas = 2
    #: Whether each node has paths of its own to the engines, which can be cut.
    own_paths = False
    #: Memory in MiB and descriptors of the nodes; ``None`` for those of the machine.
    node_limits: tuple[int, int] | None = None

    harness: Harness

    @classmethod
    def setUpClass(cls) -> None:
        """Start the system and wait until the group serves."""
        cls.harness = Harness()
        cls.addClassCleanup(cls.harness.close)
        cls.harness.settings = cls.settings
        if cls.own_paths:
            cls.harness.nodes_with_paths = tuple(cls.nodes)
        cls.harness.node_limits = cls.node_limits
        cls.harness.start_platform(cls.domains, **cls.engine)
        service = cls.harness.start_service('service')
        cls.harness.start_nodes(cls.nodes)
        cls.declare(service)
        cls.harness.wait_converged('n1', 'group', GROUP)
        for node in cls.nodes:
            cls.harness.wait_for(
                lambda node=node: cls.count_serving(node) == cls.replicas,
                f'{node} sees all replicas serve',
            )

    @classmethod
    def summarize_nodes(cls) -> str:
        """Return what the nodes' logs tell of a failure."""
        return cls.harness.summarize_nodes()

    @classmethod
    def declare(cls, service: str) -> None:
        """Write the resources that all tests use."""
        harness = cls.harness
        harness.apply('n1', 'customer', 'dar', requests_per_s=1000, burst=1000)
        key_hash = hash_key(CALLER_KEY)
        harness.apply('n1', 'caller', 'officer', customer='dar', key_sha256=key_hash)
        harness.apply(
            'n1',
            'group',
            GROUP,
            model=GROUP,
            version='1',
            replicas=cls.replicas,
            instances=2,
            customers=['dar'],
        )
        harness.apply(
            'n1',
            'service',
            'stamp',
            addresses=[service],
            customers=['dar'],
            repeatable=False,
        )

    @classmethod
    def count_serving(cls, node: str) -> int:
        """Return the replicas that serve, as a node sees it."""
        return sum(item['serving'] for item in cls.harness.replicas(node, GROUP))

    @classmethod
    def body(cls, prompt: str = 'hello', **fields: Any) -> dict[str, Any]:
        """Return the body of a chat request."""
        messages = [{'role': 'user', 'content': prompt}]
        return {'model': GROUP, 'messages': messages, 'max_tokens': 8, **fields}

    @classmethod
    def leader(cls, replica: dict[str, Any]) -> str:
        """Return the instance of rank 0 of a replica."""
        return str(replica['instances'][0])
