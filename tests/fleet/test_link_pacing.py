"""Messages to peers leave room on the network link of a node."""

from __future__ import annotations

import time
import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from coursepitch.fleet.link_pacing import (
    BURST_S,
    BYTES_PER_MBIT,
    LINK_SHARE,
    LinkPacer,
)
from coursepitch.fleet.links import QUEUE_LIMIT, _Link
from coursepitch.fleet.messages import Heartbeat, TableReply, encode_message
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.listeners import listen
from coursepitch.platform.kv import Entry
from tests.fleet.test_links import WAIT_S, Node

#: Speed of the link in the tests, in Mbit/s and in bytes per second for messages.
MBIT_S = 8.0
BYTES_PER_S = MBIT_S * BYTES_PER_MBIT * LINK_SHARE


class LinkPacerTest(unittest.TestCase):
    """All messages together keep to their share of the link."""

    def setUp(self):
        self.now = 100.0
        self.pacer = LinkPacer(lambda: self.now, MBIT_S)

    def test_first_message_does_not_wait(self):
        self.assertEqual(self.pacer.reserve(1_000_000), self.now)

    def test_message_waits_for_those_before(self):
        self.pacer.reserve(int(BYTES_PER_S))
        self.assertAlmostEqual(self.pacer.reserve(1), self.now + 1.0 - BURST_S)

    def test_time_without_messages_is_not_saved_up(self):
        self.now += 60.0
        self.pacer.reserve(int(BYTES_PER_S))
        self.assertGreater(self.pacer.reserve(1), self.now + 0.9)

    def test_unknown_speed_holds_up_nothing(self):
        pacer = LinkPacer(lambda: self.now)
        times = {pacer.reserve(1_000_000) for _ in range(100)}
        self.assertEqual(times, {self.now})

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.integers(1, 100_000)),
            min_size=1,
            max_size=60,
        )
    )
    def test_any_window_holds_its_share_and_a_burst(self, rows):
        pacer = LinkPacer(lambda: self.now, MBIT_S)
        sent = []
        for pause_s, size in rows:
            self.now += pause_s
            sent.append((pacer.reserve(size), size))
        for first, (begin, _) in enumerate(sent):
            total = 0
            for at, size in sent[first:]:
                allowed = (at - begin + BURST_S) * BYTES_PER_S
                # The last message may begin within the window.
                self.assertLessEqual(total, allowed + 1.0)
                total += size


class LinkQueueTest(unittest.TestCase):
    """Messages that wait for the link are kept apart and bounded."""

    def test_full_queue_drops_messages_and_leaves_room_for_small_ones(self):
        link = _Link('n2', scope=None, wake=anyio.Event())
        kept = [link.put(b'x', 'changes', paced=True) for _ in range(QUEUE_LIMIT + 1)]
        self.assertEqual(kept, [True] * QUEUE_LIMIT + [False])
        self.assertTrue(link.put(b'y', 'lost_report'))
        self.assertEqual(link.queued, QUEUE_LIMIT + 1)

    def test_message_reserves_its_share_once(self):
        pacer = LinkPacer(lambda: 100.0, MBIT_S)
        pacer.reserve(int(BYTES_PER_S))
        link = _Link('n2', scope=None, wake=anyio.Event())
        self.assertEqual(link.find_delay_s(pacer, 100.0), float('inf'))
        link.put(b'x' * 1_000, 'changes', paced=True)
        delays = {link.find_delay_s(pacer, 100.0) for _ in range(3)}
        self.assertEqual(len(delays), 1)
        self.assertGreater(delays.pop(), 0.9)


class BusyLinkTest(unittest.TestCase):
    """A node that sends much to many peers does not fill its network link.

    Guards against requests that wait for seconds behind messages to peers.
    """

    def test_large_messages_to_all_peers_keep_to_their_share(self):
        names = [f'n{number}' for number in range(1, 9)]
        value = 'x'.join(str(number**7) for number in range(3_000))
        table = TableReply('n1', Entry('op/config', value, 7))
        size = len(encode_message(table))

        async def run():
            socks = {name: listen('127.0.0.1', 0) for name in names}
            places = {
                name: NodeLocation(f'127.0.0.1:{sock.getsockname()[1]}', 'a')
                for name, sock in socks.items()
            }
            made = {name: Node(name, places, 'n1') for name in names}
            leader = made['n1']
            leader.links.pacer = LinkPacer(time.monotonic, MBIT_S)
            async with anyio.create_task_group() as group:
                for name in names:
                    group.start_soon(made[name].links.run, socks[name])
                for name in names[1:]:
                    await made[name].wait(lambda node=made[name]: node.heard)
                await leader.wait(lambda: leader.book.list_heard() == set(names[1:]))
                begun = time.monotonic()
                for _ in range(5):
                    leader.links.send(table)
                got = await self.wait_for_all(made, names[1:], begun, size)
                group.cancel_scope.cancel()
            return got

        times, beats = anyio.run(run)
        times.sort()
        allowed = [(at + BURST_S) * BYTES_PER_S for at in times]
        # Messages in the kernel's buffers have been sent, and may not be read yet.
        for number, limit in enumerate(allowed):
            self.assertLessEqual(number * size, limit + size)
        self.assertGreaterEqual(len(times), 5 * 7)
        self.assertTrue(all(count > 2 for count in beats.values()), beats)

    async def wait_for_all(self, made, names, begun, size):
        """Return when tables arrived, and the heartbeats of the leader meanwhile."""
        times = []
        beats = dict.fromkeys(names, 0)

        def listen_at(name):
            node = made[name]
            take = node.links.take

            def note(message):
                if isinstance(message, TableReply):
                    times.append(time.monotonic() - begun)
                elif isinstance(message, Heartbeat) and message.node == 'n1':
                    beats[name] += 1
                take(message)

            node.links.take = note

        for name in names:
            listen_at(name)
        with anyio.fail_after(WAIT_S):
            while len(times) < 5 * len(names):
                await made['n1'].changed.wait()
        return times, beats


if __name__ == '__main__':
    unittest.main()
