"""Selection of the replicas that can serve, from reported health checks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.peers.records import DomainBody, FleetBody, LoadBody

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coursepitch.peers.table import Record

__all__ = [
    'ServableReplica',
    'select_newest_records',
    'is_excluded_after_failure',
    'list_servable_replicas',
]


@dataclass(frozen=True, slots=True)
class ServableReplica:
    """A replica that can serve.

    :param address: IP:port of the member of rank 0, which accepts requests.
    :param reported_load: requests running on it at its last health check.
    :param reported_at: monotonic time at or after that check.
    """

    name: str
    group: str
    address: str
    availability_zone: str
    version: str
    reported_load: int
    reported_at: float


def list_servable_replicas(
    domains: Iterable[Record],
    loads: Iterable[Record],
    fleets: Iterable[Record],
    now: float,
    limit_s: float,
    *,
    with_silent: bool = False,
) -> tuple[ServableReplica, ...]:
    """Return the replicas that can serve.

    A health report counts only up to an age of ``limit_s`` seconds, and only if
    it is based on the newest claims known for its domain.

    :param with_silent: whether to return also those whose members are only silent.
    """
    leaving = _list_leaving(fleets, now)
    running = _index_loads(loads)
    servable = []
    for record in select_newest_records(domains):
        body = record.body
        if not isinstance(body, DomainBody) or now - record.made_at > limit_s:
            continue
        counts = running.get((record.key.subject, body.claims_revision), ())
        for index, replica in enumerate(body.replicas):
            fit = replica.expected if with_silent else replica.whole
            if replica.state != 'serving' or not fit:
                continue
            if any(member.instance in leaving for member in replica.members):
                continue
            servable.append(
                ServableReplica(
                    replica.name,
                    replica.group,
                    replica.members[0].address,
                    replica.availability_zone,
                    replica.version,
                    counts[index] if index < len(counts) else 0,
                    record.made_at,
                )
            )
    return tuple(servable)


def is_excluded_after_failure(
    item: ServableReplica, failed_at: Mapping[str, float], now: float, hold_s: float
) -> bool:
    """Return whether a replica is excluded because a call to it failed.

    It is excluded for ``hold_s`` seconds, and longer until a health report made
    after the failure arrives.

    :param failed_at: monotonic time of the last failed call by replica.
    """
    failed = failed_at.get(item.name)
    return failed is not None and (item.reported_at <= failed or now - failed < hold_s)


def select_newest_records(domains: Iterable[Record]) -> list[Record]:
    """Return one record per domain: the one with the newest claims, then the newest."""
    best: dict[str, tuple[tuple[int, float], Record]] = {}
    for record in domains:
        if not isinstance(record.body, DomainBody):
            continue
        rank = (record.body.claims_revision, record.made_at)
        current = best.get(record.key.subject)
        if current is None or rank > current[0]:
            best[record.key.subject] = (rank, record)
    return [record for _, record in best.values()]


def _list_leaving(fleets: Iterable[Record], now: float) -> set[str]:
    """Return the leaving instances, by the newest copy of the instance list."""
    newest = max(fleets, key=lambda item: item.made_at, default=None)
    if newest is None or not isinstance(newest.body, FleetBody):
        return set()
    return set(newest.body.leaving)


def _index_loads(loads: Iterable[Record]) -> dict[tuple[str, int], tuple[int, ...]]:
    """Return the running requests of each replica by domain and claims revision."""
    index: dict[tuple[str, int], tuple[int, ...]] = {}
    for record in sorted(loads, key=lambda item: item.made_at):
        body = record.body
        if isinstance(body, LoadBody):
            index[record.key.subject, body.claims_revision] = body.running
    return index
