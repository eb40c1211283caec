"""Identification of callers and their access to models and services."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.config.resources import Caller, Customer, Group, Key, Service

if TYPE_CHECKING:
    from coursepitch.config.history import Configuration

__all__ = ['Directory', 'Identity', 'build_directory', 'hash_key']


@dataclass(frozen=True, slots=True)
class Identity:
    """A caller and its customer.

    :param limits: limits of the customer.
    :param caller_rate: requests per second of this caller; 0 means no limit.
    """

    caller: str
    customer: str
    limits: Customer
    caller_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Directory:
    """Index of a configuration for the lookups that a request needs.

    :param revision: revision of the configuration.
    :param callers: by the SHA-256 of their keys.
    :param groups: names and groups by model.
    :param services: by name.
    """

    revision: int
    callers: dict[str, Identity]
    groups: dict[str, tuple[tuple[str, Group], ...]]
    services: dict[str, Service]

    def find_caller(self, authorization: str) -> Identity | None:
        """Return the caller identified by a bearer key, or ``None``.

        The key is hashed before the lookup, so the time taken does not depend on
        a stored secret.
        """
        scheme, _, key = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not key or len(key) > 512:
            return None
        digest = hash_key(key.strip())
        found = self.callers.get(digest)
        if found is None or not hmac.compare_digest(digest, hash_key(key.strip())):
            return None
        return found

    def find_groups(self, model: str, customer: str) -> tuple[str, ...]:
        """Return the groups of a model that a customer may use."""
        return tuple(
            name
            for name, group in self.groups.get(model, ())
            if customer in group.customers
        )

    def find_service(self, name: str, customer: str) -> Service | None:
        """Return a service, or ``None`` if the customer may not use it."""
        service = self.services.get(name)
        if service is None or customer not in service.customers:
            return None
        return service

    def list_models(self, customer: str) -> list[str]:
        """Return the models that a customer may use."""
        return sorted(name for name in self.groups if self.find_groups(name, customer))


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hex, as stored in resources and settings."""
    return hashlib.sha256(key.encode()).hexdigest()


def build_directory(configuration: Configuration) -> Directory:
    """Build the index of a configuration."""
    callers = {}
    groups: dict[str, list[tuple[str, Group]]] = {}
    services = {}
    for key, resource in configuration.resources.items():
        spec = resource.spec
        if isinstance(spec, Caller):
            customer = configuration.resources.get(Key('customer', spec.customer))
            if customer and isinstance(customer.spec, Customer):
                identity = Identity(
                    key.name, spec.customer, customer.spec, spec.requests_per_s
                )
                callers[spec.key_sha256] = identity
        elif isinstance(spec, Group):
            groups.setdefault(spec.model, []).append((key.name, spec))
        elif isinstance(spec, Service):
            services[key.name] = spec
    frozen = {model: tuple(sorted(found)) for model, found in groups.items()}
    return Directory(configuration.revision, callers, frozen, services)
