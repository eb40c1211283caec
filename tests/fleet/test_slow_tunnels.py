"""Tunnels whose near node reads slowly as the instance has ended its response."""

from __future__ import annotations

import unittest

import anyio

from tests.fleet.test_tunnels import TunnelCase

#: Seconds for which a peer waits for the closing handshakes of its links.
LINK_CLOSE_S = 0.05

#: Seconds for which the near node does not read.
PAUSE_S = 0.5

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
PIECE = b'x' * 16_384


class SlowTunnelTest(TunnelCase):
    """A response ends regularly however late its reader gets to the end."""

    close_timeout_s = LINK_CLOSE_S

    async def serve_instance(self, stream):
        """Send a response until a part of it is left in the peer's buffer, and end."""
        async with stream:
            await stream.receive()
            await stream.send(HEAD)
            await self.wait_for(self.server.count_open)
            (connection,) = self.server._connections
            while not connection.transport.get_write_buffer_size():
                await stream.send(PIECE)
                self.sent += len(PIECE)
                await anyio.sleep(0)
        self.ended.set()

    # Guards against responses that are cut as their client takes a second to read.
    def test_response_is_whole_if_its_end_is_read_late(self):
        async def scenario():
            self.ended, self.sent = anyio.Event(), 0
            pool = self.build_pool()
            connection = await pool.acquire('a:1', instance='i')
            headers = ((b'Host', b'h'),)
            answer = await pool.exchange(connection, b'GET', b'/x', headers, b'')
            await self.ended.wait()
            with anyio.move_on_after(PAUSE_S):
                await self.wait_for(lambda: not self.server.count_open())
            body = await answer.read_whole(1_000_000_000)
            answer.release()
            self.assertEqual(len(body), self.sent)

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
