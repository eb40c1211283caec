"""The demo's whole session against a golden file, times and names normalised."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import unittest
from pathlib import Path

GOLDEN = Path(__file__).parent.parent / 'golden' / 'demo.txt'

#: What differs from run to run, and what stands for it.
PATTERNS = (
    (r'\b\d{10}\.\d{3}\b', 'TIME'),
    (r'release-notes\.[0-9a-f]{8}', 'REPLICA'),
    (r'node-\d     ', 'NODE       '),
    (r'fabric-[ab]', 'DOMAIN'),
    (r'instances=\[[^]]*\]', 'INSTANCES'),
    (r'objective \d+\.\d+', 'OBJECTIVE'),
)


def normalise(text: str) -> str:
    """Return text without what differs from run to run."""
    for pattern, stand_in in PATTERNS:
        text = re.sub(pattern, stand_in, text)
    return text


class DemoTest(unittest.TestCase):
    """``make demo`` does what the golden file says."""

    maxDiff = None

    def test_session(self) -> None:
        done = subprocess.run(
            [sys.executable, '-m', 'demo.session'],
            capture_output=True,
            text=True,
            check=False,
            timeout=300,
            env=dict(os.environ),
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        text = normalise(done.stdout)
        if os.environ.get('COURSEPITCH_WRITE_GOLDEN'):
            GOLDEN.write_text(text, encoding='utf-8')
        self.assertEqual(text, GOLDEN.read_text(encoding='utf-8'), done.stderr)
