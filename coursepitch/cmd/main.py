"""Entry point of the command line."""

from __future__ import annotations

import os
import sys

from cleo.application import Application

from coursepitch import __version__
from coursepitch.cmd.check import CheckCommand
from coursepitch.cmd.node import NodeCommand
from coursepitch.cmd.plan import PlanCommand
from coursepitch.cmd.resource import (
    ApplyCommand,
    DeleteCommand,
    GetCommand,
    StatusCommand,
    WatchCommand,
)
from coursepitch.cmd.timeline import TimelineCommand

__all__ = ['build_application', 'main']

#: Commands in the order in which the help lists them.
COMMANDS = (
    NodeCommand,
    CheckCommand,
    ApplyCommand,
    GetCommand,
    DeleteCommand,
    WatchCommand,
    StatusCommand,
    PlanCommand,
    TimelineCommand,
)


def build_application() -> Application:
    """Return the command line with all commands."""
    application = Application('coursepitch', __version__)
    for command in COMMANDS:
        application.add(command())
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
