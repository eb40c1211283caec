"""What the system tells of memory and descriptors."""

from __future__ import annotations

import resource
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from coursepitch.util.resources import (
    UNKNOWN_MEMORY_BYTES,
    find_descriptors,
    find_memory_bytes,
)


class ResourceTest(unittest.TestCase):
    """The machine, and the limits of the process."""

    def find(self, text, limits=None):
        """Return the memory for a text of the system and limits by name."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / 'meminfo'
        if text is not None:
            path.write_text(text)

        def read(name):
            value = (limits or {}).get(name, resource.RLIM_INFINITY)
            return value, value

        with mock.patch('coursepitch.util.resources.resource.getrlimit', read):
            return find_memory_bytes(path)

    def test_memory_of_the_machine(self):
        text = 'MemTotal:       300000 kB\nMemFree:         1 kB\n'
        self.assertEqual(self.find(text), 300_000 * 1024)

    def test_limits_of_the_process_count_where_they_are_lower(self):
        text = 'MemTotal:       300000 kB\n'
        for name in (resource.RLIMIT_RSS, resource.RLIMIT_DATA, resource.RLIMIT_AS):
            self.assertEqual(self.find(text, {name: 1_000_000}), 1_000_000)
            self.assertEqual(self.find(text, {name: 10**12}), 300_000 * 1024)

    def test_system_that_tells_nothing(self):
        for text in (None, '', 'MemTotal: many\n'):
            self.assertEqual(self.find(text), UNKNOWN_MEMORY_BYTES)

    def test_descriptors(self):
        self.assertEqual(
            find_descriptors(), resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )


if __name__ == '__main__':
    unittest.main()
