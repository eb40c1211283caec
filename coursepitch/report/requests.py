"""The stories of single requests, put together from log lines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coursepitch.timeline import Entry

__all__ = ['RequestStory', 'collect_requests']


@dataclass(eq=False)
class RequestStory:
    """One try of a client, as one node tells it; times in seconds.

    :param at: when it ended, by the clock of the log.
    :param first_s: from its arrival to its first event or its answer; ``None``
        without one.
    :param pause_s: longest pause between two of its events.
    :param held_s: from its arrival to its first send; ``None`` if never sent.
    :param loads: requests in flight where it was sent, a number a send.
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
class _Parts:
    loads: list[int] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    resumed: int = 0


def collect_requests(entries: Iterable[Entry]) -> list[RequestStory]:
    """Return the requests that ended, in the order of their ends."""
    parts: dict[tuple[str, str], _Parts] = {}
    stories = []
    for entry in sorted(entries, key=lambda item: item.at):
        request = entry.details.get('request')
        if not request:
            continue
        key = (entry.node, str(request))
        if entry.name == 'request.ended':
            stories.append(_tell(entry, parts.pop(key, _Parts())))
            continue
        part = parts.setdefault(key, _Parts())
        if entry.name == 'request.sent':
            part.loads.append(int(entry.details.get('load', 0)))
        elif entry.name == 'request.attempt_failed':
            part.failures.append(str(entry.details.get('reason', '')))
        elif entry.name == 'request.resumed':
            part.resumed += 1
    return stories


def _tell(entry: Entry, parts: _Parts) -> RequestStory:
    found = entry.details
    return RequestStory(
        request=str(found['request']),
        node=entry.node,
        at=entry.at,
        route=str(found.get('route', '')),
        kind=str(found.get('kind', '')),
        model=str(found.get('model', '')),
        status=int(found.get('status', 0)),
        outcome=str(found.get('outcome', '')),
        reason=str(found.get('reason', '')),
        took_s=float(found.get('took_s', 0.0)),
        objective_s=float(found.get('objective_s', 0.0)),
        pause_limit_s=float(found.get('pause_limit_s', 0.0)),
        first_s=_read_number(found.get('first_s')),
        pause_s=float(found.get('pause_s', 0.0)),
        held_s=_read_number(found.get('held_s')),
        loads=tuple(parts.loads),
        failures=tuple(parts.failures),
        resumed=parts.resumed,
    )


def _read_number(value: Any) -> float | None:
    return None if value is None else float(value)
