"""A node that missed changes gets them from a peer, even without the store."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.fleet.catchup import (
    CATCH_UP_DELAY_S,
    MAX_CATCH_UP_DELAY_S,
    compute_delay_s,
)
from coursepitch.fleet.freshness import Freshness
from coursepitch.fleet.messages import Changes, ChangesRequest, Heartbeat
from coursepitch.fleet.session import FleetSession
from coursepitch.platform.kv import Entry, Events, Unavailable
from tests.fleet.builders import build_instance


class FakeStore:
    """Rejects every call."""

    async def transact(self, conditions, writes=()):
        return Unavailable('status 503')

    async def grant(self, ttl_s):
        return Unavailable('status 503')

    async def list_prefix(self, prefix):
        return Unavailable('status 503')


class CatchUpTest(unittest.TestCase):
    """Two nodes whose link breaks while an instance leaves.

    The store rejects one node, so it has to get the change from the other.
    """

    def setUp(self):
        self.now = 100.0
        self.relay = self.start('relay')
        self.node = self.start('node')
        self.relay.is_followed = lambda: True
        self.asked = []
        self.node.send = self.ask
        self.relay.send = lambda message, name: self.node.handle_message(message)

    def start(self, name):
        def clock():
            return self.now

        session = FleetSession(name, FakeStore(), Freshness(4.25, clock), clock)
        session.view.instances['a'] = build_instance('a')
        session.view.received_revision = 11
        session.view.find_store_uptime_s = lambda: 60.0
        return session

    def ask(self, message, name):
        self.asked.append((message, name))
        self.relay.handle_message(message)

    def hear(self, *entries):
        """Let the relay receive entries from the store; return what it relays."""
        passed = []
        self.relay.relay_changes = lambda changes, sender: passed.append(changes)
        after = self.relay.view.received_revision
        revision = after + max(1, len(entries))
        self.relay._apply_response(Events(entries, revision), after)
        return passed[0]

    def beat(self):
        """Let the node receive the relay's heartbeat."""
        self.node.handle_message(self.relay.describe({}, {}))

    def look(self):
        """Let the node check twice whether it lags."""
        for _ in range(2):
            found = self.node._catch_up.find_request()
            if found is not None:
                self.node.send(*found)

    def test_instance_that_left_while_the_link_was_down_is_removed(self):
        self.hear(Entry('servers/a', deleted_at=12))
        later = self.hear(Entry('servers/b', '{', 13))
        self.node.handle_message(later)
        self.assertIn('a', self.node.view.instances)
        self.beat()
        self.look()
        self.assertNotIn('a', self.node.view.instances)
        self.assertEqual(self.asked, [(ChangesRequest('node', 11), 'relay')])
        self.assertEqual(self.node.view.received_revision, 13)

    def test_node_that_does_not_lag_sends_no_request(self):
        self.node.handle_message(self.hear())
        self.beat()
        self.look()
        self.assertEqual(self.asked, [])

    def test_node_that_lags_briefly_sends_no_request(self):
        changes = self.hear()
        self.beat()
        self.assertIsNone(self.node._catch_up.find_request())
        self.node.handle_message(changes)
        self.assertIsNone(self.node._catch_up.find_request())

    def test_silent_peer_gets_no_request(self):
        self.hear()
        self.beat()
        self.now += 2.0
        self.look()
        self.assertEqual(self.asked, [])

    def test_changes_that_no_peer_keeps_are_not_applied(self):
        self.node.view.received_revision = 5
        self.hear()
        self.beat()
        self.look()
        self.assertEqual(self.node.view.received_revision, 5)

    def test_relayed_changes_are_kept_for_other_peers(self):
        self.node.handle_message(self.hear(Entry('servers/a', deleted_at=12)))
        answer = self.node._catch_up.answer(ChangesRequest('third', 11))
        gone = (Entry('servers/a', deleted_at=12),)
        self.assertEqual(answer, Changes('node', 11, 12, gone))

    def test_running_session_requests_missing_changes(self):
        self.hear(Entry('servers/a', deleted_at=12))
        self.beat()

        async def run():
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.node.run)
                    while 'a' in self.node.view.instances:
                        await self.node.wait_changed(1.0)
                    group.cancel_scope.cancel()

        anyio.run(run)


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """A peer with a newer revision proves that a pending watch is silent."""

    async def test_watch_behind_a_peer_is_cancelled(self):
        now = [100.0]
        session = FleetSession(
            'n1', FakeStore(), Freshness(4.25, lambda: now[0]), lambda: now[0]
        )
        session.view.received_revision = 11
        waiting, ended = anyio.Event(), anyio.Event()

        async def stay_silent(prefix, after, wait_s, *, new_connection=False):
            waiting.set()
            await anyio.sleep_forever()

        async def wait():
            if await session._watch.wait(11) is None:
                ended.set()

        session.kv.watch = stay_silent
        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await waiting.wait()
            for _ in range(8):
                beat = Heartbeat(
                    'n2',
                    2,
                    asked_at=now[0],
                    received_revision=14,
                    sent_at=now[0],
                    echo_incarnation=session.book.incarnation,
                    echo_at=now[0],
                )
                session.handle_message(beat)
                now[0] += 0.25
            with anyio.fail_after(2):
                await ended.wait()
            group.cancel_scope.cancel()


class PauseTest(unittest.TestCase):
    """Requests that no peer can answer are sent at increasing intervals.

    Otherwise, when all nodes start at once, each would ask a peer every 0.15 s for
    changes that no peer has received.
    """

    def test_delay_grows_with_unanswered_requests(self):
        pauses = [compute_delay_s(asked) for asked in range(6)]
        self.assertEqual(pauses[0], CATCH_UP_DELAY_S)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], MAX_CATCH_UP_DELAY_S)


if __name__ == '__main__':
    unittest.main()
