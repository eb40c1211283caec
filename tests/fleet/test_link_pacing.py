"""Messages to peers leave room on the network link of a node."""

from __future__ import annotations

import time
import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from coursepitch.crashes.suspects import Crash
from coursepitch.fleet.link_pacing import (
    BURST_S,
    BYTES_PER_MBIT,
    LINK_SHARE,
    LinkPacer,
    PacedQueue,
    Pacing,
)
from coursepitch.fleet.links import QUEUE_LIMIT, _Link
from coursepitch.fleet.messages import (
    Changes,
    CrashReport,
    Heartbeat,
    TableReply,
    encode_message,
)
from coursepitch.fleet.nodes import NodeLocation
from coursepitch.listeners import listen
from coursepitch.platform.kv import Entry
from tests.fleet.test_links import Node

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

    # Guards against changes that never leave a node to which hundreds link.
    def test_bytes_that_do_not_wait_leave_room_for_others(self):
        sent, due_at = 0, self.now
        for _ in range(1_000):
            self.now += 0.01
            self.pacer.note_sent(int(BYTES_PER_S * 0.01))
            while due_at <= self.now:
                sent += 1_000
                due_at = self.pacer.reserve(1_000)
        self.assertGreater(sent, 0.25 * 10.0 * BYTES_PER_S)

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
        kept = [
            link.put(b'x', 'changes', Pacing.NORMAL) for _ in range(QUEUE_LIMIT + 1)
        ]
        self.assertEqual(kept, [True] * QUEUE_LIMIT + [False])
        self.assertTrue(link.put(b'y', 'lost_report'))
        self.assertTrue(link.put(b'z', 'crash_report', Pacing.BACKGROUND))
        self.assertEqual(link.queued, QUEUE_LIMIT + 2)

    def test_message_reserves_its_share_once(self):
        pacer = LinkPacer(lambda: 100.0, MBIT_S)
        pacer.reserve(int(BYTES_PER_S))
        queue = PacedQueue()
        self.assertEqual(queue.find_delay_s(pacer, 100.0), float('inf'))
        queue.messages.append(('changes', b'x' * 1_000))
        delays = {queue.find_delay_s(pacer, 100.0) for _ in range(3)}
        self.assertEqual(len(delays), 1)
        self.assertGreater(delays.pop(), 0.9)


class BusyLinkTest(unittest.TestCase):
    """A node that sends much to many peers does not fill its network link.

    Guards against requests that wait for seconds behind messages to peers.
    """

    names = tuple(f'n{number}' for number in range(1, 9))

    def play(self, scenario):
        """Let a scenario send from a node that all others link to.

        :return: what it returns.
        """

        async def run():
            socks = {name: listen('127.0.0.1', 0) for name in self.names}
            places = {
                name: NodeLocation(f'127.0.0.1:{sock.getsockname()[1]}', 'a')
                for name, sock in socks.items()
            }
            made = {name: Node(name, places, 'n1') for name in self.names}
            leader, *peers = made.values()
            leader.links.set_link_speed(MBIT_S)
            async with anyio.create_task_group() as group:
                for name in self.names:
                    group.start_soon(made[name].links.run, socks[name])
                for node in peers:
                    await node.wait(lambda node=node: node.heard)
                expected = set(self.names[1:])
                await leader.wait(lambda: leader.book.list_heard() == expected)
                found = await scenario(leader, peers)
                group.cancel_scope.cancel()
            return found

        return anyio.run(run)

    def test_large_messages_to_all_peers_keep_to_their_share(self):
        value = 'x'.join(str(number**7) for number in range(3_000))
        table = TableReply('n1', Entry('op/config', value, 7))
        size = len(encode_message(table))
        times = []
        beats = dict.fromkeys(self.names[1:], 0)

        async def scenario(leader, peers):
            begun = time.monotonic()
            for node in peers:
                self.listen(node, begun, times, beats)
            for _ in range(5):
                leader.links.send(table)
            await leader.wait(lambda: len(times) >= 5 * len(peers))

        self.play(scenario)
        # Messages in the kernel's buffers have been sent, and may not be read yet.
        for number, at in enumerate(sorted(times)):
            self.assertLessEqual(number * size, (at + BURST_S) * BYTES_PER_S + size)
        self.assertTrue(all(count > 2 for count in beats.values()), beats)

    def listen(self, node, begun, times, beats):
        """Note when tables arrive, and the heartbeats of their sender meanwhile."""
        take = node.links.take

        def note(message):
            if isinstance(message, TableReply):
                times.append(time.monotonic() - begun)
            elif isinstance(message, Heartbeat) and message.node == 'n1':
                beats[node.name] += 1
            take(message)

        node.links.take = note

    # Guards against changes that wait behind what each of many peers is told anew.
    def test_changes_go_before_messages_in_the_background(self):
        crashes = tuple(
            Crash(f'{number**7:x}', 'acme', f'i{number**5:x}', number, 1.0, 'n1')
            for number in range(1_000)
        )
        known = CrashReport('n1', 1.0, crashes)
        changes = Changes('n1', 5, 6, (Entry('servers/i', '{}', 6),))

        async def scenario(leader, peers):
            for node in peers:
                for _ in range(3):
                    leader.links.send_in_background(known, node.name)
            leader.links.send(changes)
            for node in peers:
                await node.wait(
                    lambda node=node: (
                        node.heard.count(known) >= 3 and changes in node.heard
                    )
                )
            return [(item.index(changes), item) for item in (x.heard for x in peers)]

        before = [
            sum(isinstance(message, CrashReport) for message in heard[:place])
            for place, heard in self.play(scenario)
        ]
        # The first message to one peer does not wait.
        self.assertLessEqual(sum(before), 1, before)


if __name__ == '__main__':
    unittest.main()
