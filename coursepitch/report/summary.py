"""Sums over the requests of a day: by cause, model, route and second."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from coursepitch.report.causes import Cause, find_cause

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from coursepitch.report.fleet import FleetSample
    from coursepitch.report.requests import RequestStory

__all__ = ['Summary', 'summarize', 'write_summary']

#: Width in seconds of a row of the table by time.
ROW_S = 2.0


@dataclass(frozen=True, slots=True)
class Summary:
    """Counts of requests.

    :param by_cause: by cause and model; an empty model for services without.
    :param by_time: by start of the row and cause.
    """

    requests: int
    by_cause: Mapping[tuple[Cause, str], int]
    by_time: Mapping[float, Mapping[Cause, int]]

    def count(self, cause: Cause) -> int:
        """Return the requests of a cause over all models."""
        return sum(n for (found, _), n in self.by_cause.items() if found is cause)


def summarize(stories: Iterable[RequestStory]) -> Summary:
    """Sum up requests; those that the client itself spoilt are left out."""
    total = 0
    by_cause: Counter[tuple[Cause, str]] = Counter()
    by_time: dict[float, Counter[Cause]] = defaultdict(Counter)
    for story in stories:
        cause = find_cause(story)
        if cause is Cause.CLIENT:
            continue
        total += 1
        by_cause[cause, story.model] += 1
        by_time[(story.at - story.took_s) // ROW_S * ROW_S][cause] += 1
    return Summary(total, dict(by_cause), {at: by_time[at] for at in sorted(by_time)})


def write_summary(summary: Summary, fleet: Sequence[FleetSample] = ()) -> list[str]:
    """Return a summary as lines of text."""
    lines = [f'{summary.requests} tries of clients']
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
        'from second  tries  in time  open groups; free, forming; lost most to',
    ]
    for at, counts in summary.by_time.items():
        lines.append(_write_row(at, counts, _find_sample(fleet, at)))
    return lines


def _find_sample(fleet: Sequence[FleetSample], at: float) -> FleetSample | None:
    return next((item for item in fleet if item.at >= at), None)


def _write_row(
    at: float, counts: Mapping[Cause, int], sample: FleetSample | None
) -> str:
    total = sum(counts.values())
    lost = {cause: n for cause, n in counts.items() if cause is not Cause.IN_TIME}
    worst = sorted(lost.items(), key=lambda item: -item[1])[:3]
    state = ''
    if sample is not None:
        groups = ' '.join(f'{k} {n}' for k, n in sorted(sample.open_groups.items()))
        state = f'{groups}; {sample.free}, {sample.forming}; '
    text = ', '.join(f'{cause.value} {n}' for cause, n in worst)
    return f'{at:11.1f}  {total:5}  {counts.get(Cause.IN_TIME, 0):7}  {state}{text}'
