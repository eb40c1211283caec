"""Entry point of the command line."""

from __future__ import annotations

import os
import sys
from importlib import import_module
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from coursepitch import __version__

if TYPE_CHECKING:
    from collections.abc import Callable

    from cleo.commands.command import Command

__all__ = ['build_application', 'main']

#: Commands by name with module and class.  They are imported when they run: a
#: node needs neither the modules nor the memory of the others.
COMMANDS = {
    'serve': ('serve', 'ServeCommand'),
    'node': ('node', 'NodeCommand'),
    'check': ('check', 'CheckCommand'),
    'apply': ('resource', 'ApplyCommand'),
    'get': ('resource', 'GetCommand'),
    'delete': ('resource', 'DeleteCommand'),
    'watch': ('resource', 'WatchCommand'),
    'status': ('resource', 'StatusCommand'),
    'plan': ('plan', 'PlanCommand'),
    'timeline': ('timeline', 'TimelineCommand'),
    'report': ('report', 'ReportCommand'),
    'refused': ('refused', 'RefusedCommand'),
}


def _load_later(module: str, name: str) -> Callable[[], Command]:
    def load() -> Command:
        command: Command = getattr(import_module(f'coursepitch.cmd.{module}'), name)()
        return command

    return load


def build_application() -> Application:
    """Return the command line with all commands."""
    application = Application('coursepitch', __version__)
    loaders = {name: _load_later(*place) for name, place in COMMANDS.items()}
    application.set_command_loader(FactoryCommandLoader(loaders))
    return application


def main() -> None:
    """Run the command line and exit with its code."""
    try:
        sys.exit(build_application().run())
    except BrokenPipeError:
        # The reader, such as head, has enough.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)


if __name__ == '__main__':
    main()
