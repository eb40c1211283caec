"""Run a node on the platform without importing the command line libraries.

A restarted node cannot serve requests until its imports are done, and after a power
loss the platform starts all nodes at once, so this module imports as little as
possible.
"""

from __future__ import annotations

import os
import sys
from functools import partial
from typing import TYPE_CHECKING

from coursepitch.listeners import SETTINGS_PATH_VARIABLE
from coursepitch.reload_signal import hold_reload_signal

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['can_run_directly', 'run_from_arguments', 'run_node']


def run_node(path: str) -> int:
    """Run a node until SIGTERM and return the exit code.

    :param path: path of the INI file with the settings; if it is empty, the path is
        read from the environment variable ``COURSEPITCH_CONFIG``.
    :raises FindingsError: the settings are invalid.
    """
    with hold_reload_signal():
        return _run_node(path)


def _run_node(path: str) -> int:
    import gc
    from pathlib import Path

    # Imported objects are never freed, so garbage collection during the imports is
    # useless, and it takes a twelfth of the startup time.
    gc.disable()

    import anyio

    from coursepitch import log
    from coursepitch.config.gateway import load_gateway_settings
    from coursepitch.gateway_application import GatewayApplication
    from coursepitch.http.event_loop import build_event_loop

    file = Path(path or os.environ.get(SETTINGS_PATH_VARIABLE, ''))
    settings = load_gateway_settings(file)
    output = log.open_output(settings.node.name)
    application = GatewayApplication(settings, file, output)
    gc.freeze()
    gc.enable()
    code = anyio.run(
        application.run,
        backend_options={'loop_factory': partial(build_event_loop, application.clock)},
    )
    output.flush()
    return code


def can_run_directly(arguments: Sequence[str]) -> bool:
    """Return whether a command line starts a node without any options.

    The path of a settings file is allowed.

    :param arguments: the command line, starting with the program.
    """
    words = arguments[2:]
    has_no_options = not any(word.startswith('-') for word in words)
    return list(arguments[1:2]) == ['serve'] and len(words) <= 1 and has_no_options


def run_from_arguments(arguments: Sequence[str]) -> int:
    """Run the node that a command line starts and return the exit code.

    Errors are printed to stderr, one line each.
    """
    from coursepitch.errors import CoursepitchError

    try:
        return run_node(''.join(arguments[2:]))
    except CoursepitchError as error:
        for line in str(error).splitlines():
            print(f'{error.category}: {line}', file=sys.stderr)
        return error.exit_code
