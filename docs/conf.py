"""Settings of the docs build."""

from __future__ import annotations

project = 'coursepitch'
author = 'The coursepitch developers'
copyright = '2026, The coursepitch developers'
extensions = ['myst_parser']
source_suffix = {'.rst': 'restructuredtext', '.md': 'markdown'}
exclude_patterns = ['_build']
html_theme = 'alabaster'
myst_heading_anchors = 3
