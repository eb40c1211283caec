"""Totals of requests by cause, model and time."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.report.causes import Cause, find_cause

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from coursepitch.report.fleet import FleetSample
    from coursepitch.report.requests import RequestRecord

__all__ = ['Summary', 'format_summary', 'summarize']

#: Seconds covered by one row of the table by time.
INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class Summary:
    """Counts of requests.

    :param requests: total number of requests.
    :param by_cause: counts by cause and model; the model is empty for services
        without models.
    :param by_time: counts by start of the row in seconds and cause.
    """

    requests: int
    by_cause: Mapping[tuple[Cause, str], int]
    by_time: Mapping[float, Mapping[Cause, int]]

    def count(self, cause: Cause) -> int:
        """Return the number of requests with a cause, over all models."""
        return sum(n for (found, _), n in self.by_cause.items() if found is cause)


def summarize(records: Iterable[RequestRecord]) -> Summary:
    """Count requests by cause, without those that failed by a client error."""
    total = 0
    by_cause: Counter[tuple[Cause, str]] = Counter()
    by_time: dict[float, Counter[Cause]] = defaultdict(Counter)
    for record in records:
        cause = find_cause(record)
        if cause is Cause.CLIENT_ERROR:
            continue
        total += 1
        by_cause[cause, record.model] += 1
        by_time[(record.at - record.took_s) // INTERVAL_S * INTERVAL_S][cause] += 1
    return Summary(total, dict(by_cause), {at: by_time[at] for at in sorted(by_time)})


def format_summary(summary: Summary, fleet: Sequence[FleetSample] = ()) -> list[str]:
    """Format a summary as lines of text."""
    lines = [f'{summary.requests} client requests']
    for cause in sorted(Cause, key=lambda item: -summary.count(item)):
        if summary.count(cause):
            models = ', '.join(
                f'{model or "no model"} {count}'
                for (found, model), count in sorted(summary.by_cause.items(), key=str)
                if found is cause
            )
            lines.append(f'{summary.count(cause):6}  {cause.value:48} {models}')
    lines += [
        '',
        'from second  total  in time  open groups; free, forming; other causes',
    ]
    for at, counts in summary.by_time.items():
        lines.append(_format_row(at, counts, _find_sample(fleet, at)))
    return lines


def _find_sample(fleet: Sequence[FleetSample], at: float) -> FleetSample | None:
    return next((item for item in fleet if item.at >= at), None)


def _format_row(
    at: float, counts: Mapping[Cause, int], sample: FleetSample | None
) -> str:
    total = sum(counts.values())
    others = {cause: n for cause, n in counts.items() if cause is not Cause.IN_TIME}
    most_frequent = sorted(others.items(), key=lambda item: -item[1])[:3]
    state = ''
    if sample is not None:
        open_groups = ' '.join(
            f'{k} {n}' for k, n in sorted(sample.open_groups.items())
        )
        state = f'{open_groups}; {sample.free}, {sample.forming}; '
    text = ', '.join(f'{cause.value} {n}' for cause, n in most_frequent)
    return f'{at:11.1f}  {total:5}  {counts.get(Cause.IN_TIME, 0):7}  {state}{text}'
