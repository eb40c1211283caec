"""Routes, services and customers as the operators declared them.

A :class:`RouteTable` is one version of the whole configuration, ready for
look-ups; it is never changed, only replaced by a newer one.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coursepitch.http.server import ConnectionRules

__all__ = [
    'Backend',
    'EngineProfile',
    'ModelProfile',
    'Route',
    'RouteKind',
    'RouteTable',
    'RoutedCustomer',
    'Service',
    'hash_key',
]


#: Lowest priority that a target knows; 0 is the highest.
LEAST_PRIORITY = 9


class RouteKind(enum.Enum):
    """What may be done with the requests of a route."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and how.

    :param timeout_s: longest time for which a request is held.
    :param objective_s: time within which an answer, or the first event of a
        stream, is in time.
    :param urgency: 0 is the most urgent.
    :param attempts: most targets that may run one request.
    :param resumable: whether a stream may go on at another target.
    :param pause_s: longest pause between events that is in time.
    :param patience_s: longest time without an event, from the request on, after which
        clients give a stream up.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    urgency: int
    backends: tuple[Backend, ...]
    attempts: int
    public: bool
    resumable: bool
    pause_s: float
    patience_s: float = float('inf')

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """A model that an engine service runs in groups of instances.

    :param size: instances in a group.
    :param share: its share of all instances at the start.
    :param pace: factor on all times of its groups.
    :param load_s: seconds to load the weights from the weight store.
    :param warm_s: seconds to load them from the host.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Figures of the engines of a service, as the operators state them.

    :param slots: requests that a group runs at once.
    :param step_s: seconds of a token step with nothing in it.
    :param sequence_s: seconds that each writing request adds to a step.
    :param context_s: seconds a step that 1,000 tokens of context add.
    :param read_per_s: prompt tokens read a second.
    :param pairs_s: seconds of reading for each million pairs of tokens.
    :param chunk: most prompt tokens read in one step.
    :param stride: steps in a pass that has writers.
    :param form_s: seconds that opening a group takes.
    :param loads_per_s: loads that may begin a second over all instances.
    """

    slots: int
    kv_tokens: int
    models: tuple[ModelProfile, ...]
    step_s: float
    sequence_s: float
    context_s: float
    read_per_s: float
    pairs_s: float
    chunk: int
    stride: int
    form_s: float
    loads_per_s: float
    loads_at_once: int
    usual_prompt: int
    usual_answer: int

    def find_model(self, name: str) -> ModelProfile | None:
        """Return a model's profile."""
        return next((item for item in self.models if item.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """Instances that answer alike.

    :param connections: most connections an instance takes from all nodes.
    :param cold_s: seconds for which an instance that starts is cold.
    :param cold_per_s: requests per second that a cold instance takes from all nodes
        together; 0 for no limit.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineProfile | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RoutedCustomer:
    """A customer; its urgency, if it has one, goes before that of a route."""

    name: str
    urgency: int | None = None


def hash_key(key: bytes) -> bytes:
    """Return the digest under which a customer's key is kept and looked up."""
    return hashlib.sha256(key).digest()


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration.

    :param revision: revision of the store at which it was written; a greater
        one is newer.
    :param keys: customers by the digest of a key.
    :param keyed: whether requests need a key.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    keys: Mapping[bytes, RoutedCustomer]
    keyed: bool
    rules: ConnectionRules
    _index: dict[tuple[str, str], Route] = field(default_factory=dict, repr=False)
    _prioritized: frozenset[str] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._index[route.host, route.prefix] = route
        object.__setattr__(self, '_prioritized', self._find_prioritized())

    def _find_prioritized(self) -> frozenset[str]:
        """Return the services whose requests differ in urgency."""
        own = {customer.urgency for customer in self.keys.values()}
        found: dict[str, set[int]] = {}
        for route in self.routes:
            urgencies = {route.urgency}
            if not route.public:
                urgencies = {route.urgency if item is None else item for item in own}
                urgencies = urgencies or {route.urgency}
            for backend in route.backends:
                found.setdefault(backend.service, set()).update(urgencies)
        return frozenset(name for name, values in found.items() if len(values) > 1)

    def find_priority(self, service: str, urgency: int) -> int | None:
        """Return the priority that a request has at its target.

        ``None`` stands for the target's default, where all requests of the service are
        equally urgent.
        """
        if service not in self._prioritized:
            return None
        return min(LEAST_PRIORITY, max(0, urgency))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path on a host."""
        name = host.partition(':')[0].lower()
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = self._index.get((name, path[: end + 1]))
            if route is not None:
                return route

    def find_customer(self, key: bytes) -> RoutedCustomer | None:
        """Return the customer that holds a key."""
        return self.keys.get(hash_key(key))
