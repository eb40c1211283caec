"""Status codes of responses, valid and not."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.http import ConnectionPool, ExchangeError
from tests.http.test_exchange import fetch, run_with_target

#: Status codes of final responses (RFC 9110, section 15).
VALID = range(200, 600)

#: What may stand in the place of a status code.
CODES = ('0', '20', '2000', '-01', '+200', '2e2', '', ' ')


def build_response(code, phrase='X'):
    """Return the bytes of a response without content."""
    return f'HTTP/1.1 {code} {phrase}\r\nContent-Length: 0\r\n\r\n'.encode()


def read_status(response):
    """Return the status of a response, or ``None`` if it is malformed."""

    async def run(address, seen):
        try:
            with anyio.fail_after(5):
                return (await fetch(ConnectionPool(), address))[0]
        except ExchangeError:
            return None

    # The connection ends after an interim response as well.
    return anyio.run(run_with_target, [response, None], run)


class StatusTest(unittest.TestCase):
    """A response with a status code that is not valid is none."""

    # Guards against 600 and above, which clients got as a response of the instance.
    def test_only_valid_codes_are_responses(self):
        for code in range(1000):
            if 100 <= code < 200:
                continue
            with self.subTest(code=code):
                expected = code if code in VALID else None
                self.assertEqual(read_status(build_response(f'{code:03}')), expected)

    def test_other_values_are_no_codes(self):
        for code in CODES:
            with self.subTest(code=code):
                self.assertIsNone(read_status(build_response(code)))

    def test_reason_phrase_may_be_absent(self):
        response = b'HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n'
        self.assertEqual(read_status(response), 404)

    def test_code_after_an_interim_response_must_be_valid_too(self):
        interim = b'HTTP/1.1 103 X\r\n\r\n'
        self.assertEqual(read_status(interim + build_response(200)), 200)
        self.assertIsNone(read_status(interim + build_response(600)))
        self.assertIsNone(read_status(interim + build_response('000')))
