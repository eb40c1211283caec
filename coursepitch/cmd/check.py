"""Command that checks files with no system running."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from coursepitch.cmd.base import BaseCommand
from coursepitch.config.options import IniFile, read_ini
from coursepitch.config.resources import check_resources
from coursepitch.config.sections import list_sections
from coursepitch.config.settings import Settings, check_settings, write_example
from coursepitch.errors import FindingsError

if TYPE_CHECKING:
    from coursepitch.config.findings import Finding

__all__ = ['CheckCommand']


class CheckCommand(BaseCommand):
    """Check settings and resource files; all findings are reported together."""

    name = 'check'
    description = 'Check settings and resource files with no system running.'
    arguments = [  # noqa: RUF012
        argument('files', 'INI files', multiple=True, optional=True)
    ]
    options = [  # noqa: RUF012
        option('example', None, 'Print an annotated settings file.', flag=True)
    ]

    def work(self) -> int:
        """Check every file, or print the example."""
        if self.option('example'):
            self.print_raw(write_example().rstrip('\n'))
            return 0
        findings: list[Finding] = []
        for name in self.argument('files'):
            try:
                self.print_raw(f'{name}: {check_file(read_ini(Path(name)))}')
            except FindingsError as error:
                findings.extend(error.findings)
        if findings:
            raise FindingsError(findings)
        return 0


def check_file(ini: IniFile) -> str:
    """Check a file and return what it holds.

    A file with a section of settings is one of settings.

    :raises FindingsError: with all findings.
    """
    if set(ini.sections) & set(list_sections(Settings)):
        check_settings(ini)
        return 'settings are good'
    return f'{len(check_resources(ini))} resources are good'
