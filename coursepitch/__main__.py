"""Runs the command line as ``python -m coursepitch``."""

from __future__ import annotations

import sys

from coursepitch.listeners import listen_early
from coursepitch.reload_signal import block_reload_signal
from coursepitch.serving_node import can_run_directly, run_from_arguments

if __name__ == '__main__':
    if sys.argv[1:2] == ['serve']:
        block_reload_signal()
    listen_early(sys.argv)
    if can_run_directly(sys.argv):
        # A node that starts again serves nobody while libraries are imported.
        sys.exit(run_from_arguments(sys.argv))
    from coursepitch.cmd.main import main

    main()
