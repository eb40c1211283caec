"""The command that says what became of requests."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ENDED = {
    'message_type': 'request.ended',
    'number': 607,
    'task_uuid': 't',
    'task_level': [1],
    'timestamp': 5.0,
    'node': 'n1',
    'request': 'r1',
    'kind': 'stream',
    'model': 'large',
    'status': 200,
    'outcome': 'answered',
    'took_s': 1.0,
    'first_s': 0.4,
    'objective_s': 0.3,
}


class ReportTest(unittest.TestCase):
    """Text, JSON and a page; errors that name the file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = self.folder / 'n1.log'
        self.log.write_text(f'noise\n12.5 n1 {json.dumps(ENDED)}\n')

    def run_report(self, *words):
        """Run the command; return its exit code, output and errors."""
        command = [sys.executable, '-m', 'coursepitch', 'report', *map(str, words)]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        return done.returncode, done.stdout, done.stderr

    def test_text_tells_the_cause(self):
        code, output, _ = self.run_report(self.log)
        self.assertEqual(code, 0)
        self.assertIn('late: slow at the target', output)

    def test_json_tells_the_counts(self):
        code, output, _ = self.run_report(self.log, '--json')
        found = json.loads(output)
        self.assertEqual((code, found['requests']), (0, 1))
        self.assertEqual(found['causes'][0]['cause'], 'late: slow at the target')

    def test_page_is_written(self):
        page = self.folder / 'page.html'
        code, _, _ = self.run_report(self.log, '--html', page)
        self.assertEqual(code, 0)
        self.assertIn('<svg', page.read_text())

    def test_missing_file_is_named(self):
        code, _, errors = self.run_report(self.folder / 'none.log')
        self.assertNotEqual(code, 0)
        self.assertIn('none.log', errors)

    def test_log_without_requests_is_an_error(self):
        self.log.write_text('noise\n')
        code, _, errors = self.run_report(self.log)
        self.assertNotEqual(code, 0)
        self.assertIn('no request', errors)
