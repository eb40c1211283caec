"""Compute service metrics from the observations of all domains."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coursepitch.peers.records import DomainBody

__all__ = ['ServiceMetrics', 'compute_service_metrics']


@dataclass(frozen=True, slots=True)
class ServiceMetrics:
    """Serving replicas and stranded accelerators at one point in time.

    :param serving: number of serving replicas with all members healthy, by group.
    :param stranded: number of accelerators of healthy members in replicas that do
        not serve or have an unhealthy member.
    """

    serving: dict[str, int]
    stranded: int


def compute_service_metrics(
    domains: Iterable[DomainBody], sizes: Mapping[str, int]
) -> ServiceMetrics:
    """Return the metrics for the given observations.

    :param domains: the observation of each domain.
    :param sizes: number of accelerators by instance.
    """
    serving: dict[str, int] = {}
    stranded = 0
    for body in domains:
        for seen in body.replicas:
            whole = seen.state == 'serving' and seen.whole
            serving[seen.group] = serving.get(seen.group, 0) + whole
            if not whole:
                healthy = [item.instance for item in seen.members if item.good]
                stranded += sum(sizes.get(name, 0) for name in healthy)
    return ServiceMetrics(serving, stranded)
