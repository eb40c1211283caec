"""Runs a node on the platform, without the libraries of the command line.

A node that is started again serves nobody until its imports are over, and a platform
that loses power starts all nodes at once.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

from coursepitch.listeners import SETTINGS_VARIABLE

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['run_directly', 'run_node', 'takes_no_options']


def run_node(path: str) -> int:
    """Run a node until SIGTERM and return the exit code.

    :param path: of the INI file with the settings; empty for what the environment
        names.
    :raises FindingsError: the settings can't be taken.
    """
    import gc
    from pathlib import Path

    # What is imported stays; looking through it for garbage takes a twelfth of a start.
    gc.disable()

    import anyio

    from coursepitch import log
    from coursepitch.config.gateway import load_gateway_settings
    from coursepitch.gateway_application import GatewayApplication

    file = Path(path or os.environ.get(SETTINGS_VARIABLE, ''))
    settings = load_gateway_settings(file)
    output = log.open_output(settings.node.name)
    application = GatewayApplication(settings, file, output)
    gc.freeze()
    gc.enable()
    code = anyio.run(application.run)
    output.flush()
    return code


def takes_no_options(arguments: Sequence[str]) -> bool:
    """Whether a command line only starts a node, with its settings file or without.

    :param arguments: the command line, the program first.
    """
    words = arguments[2:]
    plain = not any(word.startswith('-') for word in words)
    return list(arguments[1:2]) == ['serve'] and len(words) <= 1 and plain


def run_directly(arguments: Sequence[str]) -> int:
    """Run the node that a command line starts; errors become one line each."""
    from coursepitch.errors import CoursepitchError

    try:
        return run_node(''.join(arguments[2:]))
    except CoursepitchError as error:
        for line in str(error).splitlines():
            print(f'{error.category}: {line}', file=sys.stderr)
        return error.exit_code
