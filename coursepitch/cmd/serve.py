"""Command that runs a node on the users' platform."""

from __future__ import annotations

from cleo.helpers import argument

from coursepitch.cmd.base import BaseCommand
from coursepitch.listeners import SETTINGS_PATH_VARIABLE
from coursepitch.serving_node import run_node

__all__ = ['ServeCommand']


class ServeCommand(BaseCommand):
    """Run a node on the platform until SIGTERM."""

    name = 'serve'
    description = 'Run a node on the platform.'
    arguments = [  # noqa: RUF012
        argument(
            'settings',
            f'INI file with the settings; without it {SETTINGS_PATH_VARIABLE} names it',
            optional=True,
        )
    ]

    def work(self) -> int:
        """Run the node; all its events go to standard output."""
        return run_node(self.argument('settings') or '')
