"""Runs the command line as ``python -m coursepitch``."""

from __future__ import annotations

import sys

from coursepitch.listeners import listen_early

if __name__ == '__main__':
    listen_early(sys.argv)
    from coursepitch.cmd.main import main

    main()
