"""Paths of nodes to the instances of the stand-in."""

from __future__ import annotations

import socket
import struct
import unittest

import anyio

from standins.paths import Path


class ResetTest(unittest.TestCase):
    """A path outlasts the connections of its clients."""

    # Guards against a stand-in that ends as a client resets a connection.
    def test_connection_that_is_reset_before_it_is_accepted_ends_nothing(self):
        async def main():
            async def serve(stream):
                await stream.send(b'x')

            with socket.socket() as probe:
                probe.bind(('127.0.0.1', 0))
                port = probe.getsockname()[1]
            path = Path('127.0.0.1', port, serve)
            path.cut('none')
            async with anyio.create_task_group() as tasks:
                await tasks.start(path.run)
                for _ in range(20):
                    client = socket.create_connection(('127.0.0.1', port))
                    linger = struct.pack('ii', 1, 0)
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    client.close()
                with anyio.fail_after(5):
                    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                        self.assertEqual(await stream.receive(), b'x')
                tasks.cancel_scope.cancel()

        anyio.run(main)


if __name__ == '__main__':
    unittest.main()
