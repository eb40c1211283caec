#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
