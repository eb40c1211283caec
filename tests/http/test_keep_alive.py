"""Idle timeouts that targets tell."""

from __future__ import annotations

import unittest

from coursepitch.http.client import (
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    _parse_keep_alive_s,
)


class KeepAliveTest(unittest.TestCase):
    """The Keep-Alive header of a response."""

    def test_timeout_is_read(self):
        for value in (b'timeout=5', b'max=3, Timeout=5', b'timeout = 5, max=1'):
            with self.subTest(value):
                left_s = _parse_keep_alive_s(value)
                self.assertEqual(left_s, 5 - KEEP_ALIVE_MARGIN_S)

    # Guards against connections that are never given back, as their release raises.
    def test_malformed_timeout_is_ignored(self):
        for value in (None, b'', b'timeout=', b'timeout=x', b'timeout=' + b'9' * 5_000):
            with self.subTest(value=value and value[:20]):
                self.assertEqual(_parse_keep_alive_s(value), DEFAULT_KEEP_ALIVE_S)


if __name__ == '__main__':
    unittest.main()
