"""Command that runs a node on the users' platform."""

from __future__ import annotations

import os
from pathlib import Path

import anyio
from cleo.helpers import argument

from coursepitch import log
from coursepitch.cmd.base import BaseCommand
from coursepitch.config.gateway import load_gateway_settings
from coursepitch.gateway_application import GatewayApplication
from coursepitch.listeners import SETTINGS_VARIABLE

__all__ = ['ServeCommand']


class ServeCommand(BaseCommand):
    """Run a node on the platform until SIGTERM."""

    name = 'serve'
    description = 'Run a node on the platform.'
    arguments = [  # noqa: RUF012
        argument(
            'settings',
            f'INI file with the settings; without it {SETTINGS_VARIABLE} names it',
            optional=True,
        )
    ]

    def work(self) -> int:
        """Run the node; all its events go to standard output."""
        path = self.argument('settings') or os.environ.get(SETTINGS_VARIABLE, '')
        settings = load_gateway_settings(Path(path))
        output = log.open_output(settings.node.name)
        application = GatewayApplication(settings, Path(path), output)
        code = anyio.run(application.run)
        output.flush()
        return code
