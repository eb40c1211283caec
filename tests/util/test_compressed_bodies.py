"""Bodies that decode to far more bytes than were received."""

from __future__ import annotations

import gzip
import unittest

import anyio
import httpx

from coursepitch.util.bounded_http import Exchange, read_object, read_whole

LIMIT = 262_144


class CompressedBodyTest(unittest.TestCase):
    """A limit of bytes holds for what a body takes in memory."""

    def read(self, read, body):
        async def run():
            reply = httpx.Response(
                200,
                headers={'content-encoding': 'gzip'},
                stream=httpx.ByteStream(body),
                extensions={'exchange': Exchange()},
            )
            return await read(reply, LIMIT)

        return anyio.run(run)

    # Guards against a health check whose answer takes all memory.
    def test_body_is_not_decoded(self):
        body = gzip.compress(b'{' + b' ' * (64 * LIMIT) + b'}')
        self.assertLess(len(body), LIMIT)
        self.assertEqual(self.read(read_whole, body), body)
        with self.assertRaises(httpx.RemoteProtocolError):
            self.read(read_object, body)


if __name__ == '__main__':
    unittest.main()
