"""Records of single requests, assembled from log events."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.timeline import Entry

__all__ = ['RequestRecord', 'collect_requests']


@dataclass(eq=False)
class RequestRecord:
    """One request of a client, as logged by one node; times in seconds.

    :param at: time at which it ended, by the clock of the log.
    :param took_s: duration from its arrival to its end.
    :param objective_s: target for the time to the first event; 0 for none.
    :param pause_limit_s: target for the longest pause; 0 for none.
    :param first_s: time from its arrival to the first event of the stream or to the
        response; ``None`` if there was neither.
    :param pause_s: longest pause between two events of the stream.
    :param held_s: time from its arrival to its first send; ``None`` if never sent.
    :param loads: for each send, the number of requests in flight at that instance.
    :param failures: reasons of the attempts that failed.
    :param resumed: how often the stream was resumed.
    """

    request: str
    node: str
    at: float
    route: str
    kind: str
    model: str
    status: int
    outcome: str
    reason: str
    took_s: float
    objective_s: float
    pause_limit_s: float
    first_s: float | None
    pause_s: float
    held_s: float | None
    loads: tuple[int, ...] = ()
    failures: tuple[str, ...] = ()
    resumed: int = 0


@dataclass(eq=False)
class _PartialRecord:
    """What was logged of a request before it ended."""

    loads: list[int] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    resumed: int = 0


def collect_requests(entries: Iterable[Entry]) -> list[RequestRecord]:
    """Return the requests that ended, in the order in which they ended."""
    partial: dict[tuple[str, str], _PartialRecord] = {}
    records = []
    for entry in sorted(entries, key=lambda item: item.at):
        request = entry.details.get('request')
        if not request:
            continue
        key = (entry.node, str(request))
        if entry.name == 'request.ended':
            records.append(_build_record(entry, partial.pop(key, _PartialRecord())))
            continue
        part = partial.setdefault(key, _PartialRecord())
        if entry.name == 'request.sent':
            part.loads.append(int(entry.details.get('load', 0)))
        elif entry.name == 'request.attempt_failed':
            part.failures.append(str(entry.details.get('reason', '')))
        elif entry.name == 'request.resumed':
            part.resumed += 1
    return records


def _build_record(entry: Entry, part: _PartialRecord) -> RequestRecord:
    details = entry.details
    return RequestRecord(
        request=str(details['request']),
        node=entry.node,
        at=entry.at,
        route=str(details.get('route', '')),
        kind=str(details.get('kind', '')),
        model=str(details.get('model', '')),
        status=int(details.get('status', 0)),
        outcome=str(details.get('outcome', '')),
        reason=str(details.get('reason', '')),
        took_s=float(details.get('took_s', 0.0)),
        objective_s=float(details.get('objective_s', 0.0)),
        pause_limit_s=float(details.get('pause_limit_s', 0.0)),
        first_s=_parse_seconds(details.get('first_s')),
        pause_s=float(details.get('pause_s', 0.0)),
        held_s=_parse_seconds(details.get('held_s')),
        loads=tuple(part.loads),
        failures=tuple(part.failures),
        resumed=part.resumed,
    )


def _parse_seconds(value: Any) -> float | None:
    return None if value is None else float(value)
