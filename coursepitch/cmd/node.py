"""Command that runs a node."""

from __future__ import annotations

import json
from pathlib import Path

import anyio
from cleo.helpers import argument

from coursepitch import log
from coursepitch.application import NodeApplication
from coursepitch.cmd.base import BaseCommand
from coursepitch.config.settings import load_settings

__all__ = ['NodeCommand']


class NodeCommand(BaseCommand):
    """Run a node until SIGTERM; a second signal cuts what is in flight."""

    name = 'node'
    description = 'Run a node with a settings file.'
    arguments = [argument('settings', 'INI file with the settings')]  # noqa: RUF012

    def work(self) -> int:
        """Run the node; its ports go to standard output as one JSON line."""
        settings = load_settings(Path(self.argument('settings')))
        log.open_log(settings.log.path, settings.node.name)
        application = NodeApplication(settings)

        def announce(ports: dict[str, int]) -> None:
            self.print_raw(json.dumps({'node': settings.node.name, 'ports': ports}))

        return anyio.run(application.run, announce)
