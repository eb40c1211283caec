"""Command that says what became of the requests in logs, and why."""

from __future__ import annotations

import json
from pathlib import Path

from cleo.helpers import argument, option

from coursepitch.cmd.admin_client import AdminError
from coursepitch.cmd.base import BaseCommand
from coursepitch.report import (
    collect_requests,
    format_summary,
    render_report,
    sample_fleet,
    summarize,
)
from coursepitch.timeline import read_log

__all__ = ['ReportCommand']


class ReportCommand(BaseCommand):
    """Sum up requests by cause; print text or JSON, or write a page."""

    name = 'report'
    description = 'Say why requests were late, refused or failed.'
    arguments = [argument('logs', 'Logs of nodes', multiple=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        option('html', None, 'Write a page with plots to this file', flag=False),
        option('json', None, 'Print the counts as JSON', flag=True),
    ]

    def work(self) -> int:
        """Read, sum up and show."""
        entries = []
        for name in self.argument('logs'):
            try:
                entries += read_log(Path(name))
            except OSError as error:
                raise AdminError(f'{name}: {error}') from error
        summary = summarize(collect_requests(entries))
        if not summary.requests:
            raise AdminError('no request ended in these logs')
        fleet = sample_fleet(entries)
        if self.option('json'):
            counts = [
                {'cause': cause.value, 'model': model, 'requests': count}
                for (cause, model), count in summary.by_cause.items()
            ]
            self.print_raw(json.dumps({'requests': summary.requests, 'causes': counts}))
        elif self.option('html'):
            Path(self.option('html')).write_text(
                render_report(summary, fleet), encoding='utf-8'
            )
        else:
            for line in format_summary(summary, fleet):
                self.print_raw(line)
        return 0
