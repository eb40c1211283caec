"""Runs the command line as ``python -m coursepitch``."""

from __future__ import annotations

from coursepitch.cmd.main import main

if __name__ == '__main__':
    main()
