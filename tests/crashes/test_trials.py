"""Trials of refused parts, which the leader grants."""

from __future__ import annotations

import unittest

import anyio

from coursepitch.crashes.trials import (
    ANSWER_TIMEOUT_S,
    GRANT_INTERVAL_S,
    MAX_PARTS,
    PAUSE_S,
    PartTrials,
    TrialRequest,
)
from coursepitch.fleet.messages import decode_message, encode_message


class TrialsTest(unittest.TestCase):
    """A leader and two other nodes."""

    def setUp(self):
        self.now = 100.0
        self.due = True
        self.leader = 'n1'
        self.sent = 0
        self.nodes = {name: self.build_node(name) for name in ('n1', 'n2', 'n3')}

    def build_node(self, name):
        node = PartTrials(
            name, lambda: self.leader, lambda part: self.due, lambda: self.now
        )
        node.tell = self.tell
        return node

    def tell(self, message, node):
        self.sent += 1
        message = decode_message(encode_message(message))
        peer = self.nodes.get(node)
        if peer is None:
            return
        if isinstance(message, TrialRequest):
            peer.answer(message)
        else:
            peer.take_answer(message)

    def obtain(self, name, part='a'):
        return anyio.run(self.nodes[name].obtain, part)

    # Guards against parts that are refused until a request happens to meet the leader.
    def test_one_trial_is_granted_over_all_nodes(self):
        self.assertTrue(self.obtain('n2'))
        self.assertEqual([self.obtain(name) for name in self.nodes], [False] * 3)
        self.assertTrue(self.obtain('n3', 'b'))
        self.now += GRANT_INTERVAL_S
        self.assertTrue(self.obtain('n1'))
        self.assertFalse(self.obtain('n2'))

    def test_none_is_granted_unless_it_is_due(self):
        self.due = False
        self.assertEqual([self.obtain(name) for name in self.nodes], [False] * 3)

    def test_node_asks_now_and_then(self):
        self.due = False
        for _ in range(5):
            self.obtain('n2')
        self.assertEqual(self.sent, 2)
        self.now += PAUSE_S
        self.due = True
        self.assertTrue(self.obtain('n2'))

    def test_node_without_a_leader_tries_nothing(self):
        for leader in ('', 'gone'):
            with self.subTest(leader=leader):
                self.leader = leader
                self.now += PAUSE_S
                self.assertFalse(self.obtain('n2'))

    def test_other_nodes_grant_nothing(self):
        answers = []
        self.nodes['n2'].tell = lambda message, node: answers.append(message.granted)
        self.nodes['n2'].answer(TrialRequest('n3', 1, 'a'))
        self.assertEqual(answers, [False])

    def test_answer_that_comes_too_late_is_not_used(self):
        asked = []
        self.nodes['n2'].tell = lambda message, node: asked.append(message)
        self.assertGreater(ANSWER_TIMEOUT_S, 0)
        self.assertFalse(self.obtain('n2'))
        self.nodes['n1'].answer(asked[0])

    def test_parts_are_bounded(self):
        for number in range(MAX_PARTS + 20):
            self.obtain('n1', f'p{number}')
        self.assertEqual(len(self.nodes['n1']._granted_at), MAX_PARTS)


if __name__ == '__main__':
    unittest.main()
