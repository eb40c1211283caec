"""Command that merges the logs of all processes into one time line."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import argument, option

from coursepitch.cmd.admin_client import AdminError
from coursepitch.cmd.base import BaseCommand
from coursepitch.timeline import format_timeline, merge_logs, read_log, render_page

__all__ = ['TimelineCommand']


class TimelineCommand(BaseCommand):
    """Merge logs by cause, then time; print text or write a page."""

    name = 'timeline'
    description = 'Merge logs into one time line by cause.'
    arguments = [argument('logs', 'Logs of processes', multiple=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        option('html', None, 'Write a page to this file', flag=False),
        option('only', 'o', 'Only events with this text', flag=False),
    ]

    def work(self) -> int:
        """Merge and show."""
        entries = []
        for name in self.argument('logs'):
            try:
                entries += read_log(Path(name))
            except OSError as error:
                raise AdminError(f'{name}: {error}') from error
        only = self.option('only') or ''
        merged = merge_logs(entries, only)
        target = self.option('html')
        if target:
            Path(target).write_text(render_page(merged), encoding='utf-8')
        else:
            for line in format_timeline(merged):
                self.print_raw(line)
        return 0
