"""Requests under which engines crashed, as the nodes of the OpenAI side know them."""

from __future__ import annotations

import socket
import unittest
from types import SimpleNamespace

import anyio

from coursepitch.crashes.parts import TRIAL_S
from coursepitch.peers.records import pack_body, unpack_body
from coursepitch.serving.attempts import AttemptResult
from coursepitch.serving.crash_memory import PROVEN_S, CrashMemory, build_traits
from coursepitch.serving.model_request import ModelRequest
from coursepitch.serving.runs import Attempt

BAD = 'an instruction that no engine survives'


class FakeHub:
    """Records of all nodes, with ages by one clock; bodies are packed on their way."""

    def __init__(self):
        self.told = {}

    def publish(self, kind, subject, body, made_at):
        key = SimpleNamespace(kind=kind, subject=subject, origin=subject)
        body = unpack_body(kind, pack_body(body))
        self.told[kind, subject] = SimpleNamespace(key=key, body=body, made_at=made_at)

    def records(self, kind):
        return [item for (name, _), item in self.told.items() if name == kind]


class CrashMemoryTest(unittest.TestCase):
    """Two nodes before engines, one of them the leader."""

    def setUp(self):
        self.now = 100.0
        self.hub = FakeHub()
        self.reaches = True
        self.count = 0
        self.nodes = [self.build_node('n1', True), self.build_node('n2', False)]

    def build_node(self, name, is_leader):
        async def reaches_engines():
            return self.reaches

        return CrashMemory(
            name, self.hub, reaches_engines, lambda: is_leader, lambda: self.now
        )

    def build_request(self, system=BAD, customer='acme'):
        """Return a request that is like no other."""
        self.count += 1
        messages = [
            {'role': 'system', 'content': system},
            {'role': 'user', 'content': f'question {self.count}'},
        ]
        return ModelRequest(
            f'r{self.count}',
            SimpleNamespace(customer=customer),
            (),
            '/v1/chat/completions',
            {'model': 'm', 'messages': messages},
            False,
            True,
            3,
            0.0,
            1.0,
        )

    def run_once(self, node, request, result, *, listens=False, wrote_s=0.0):
        """Let an attempt end; its engine listens afterwards, or not."""

        async def run():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            if not listens:
                await listener.aclose()
            attempt = Attempt('a', f'127.0.0.1:{port}', f'replica-{self.count}')
            attempt.result, attempt.wrote_s = result, wrote_s
            await node.note_attempt(SimpleNamespace(model_request=request), attempt)
            if listens:
                await listener.aclose()

        anyio.run(run)

    def crash(self, *nodes, **fields):
        for node in nodes:
            self.run_once(node, self.build_request(), AttemptResult.CUT, **fields)
            self.now += 0.1

    def list_refusing(self, **fields):
        return [bool(n.find_problem(self.build_request(**fields))) for n in self.nodes]

    # Guards against crashes that no node remembers.
    def test_system_prompt_that_crashes_engines_is_refused_on_all_nodes(self):
        first, second = self.nodes
        self.crash(first, second)
        self.assertEqual(self.list_refusing(), [False, False])
        self.crash(first)
        self.assertEqual(self.list_refusing(), [True, True])
        self.assertEqual(self.list_refusing(system='another'), [False, False])
        self.assertEqual(self.list_refusing(customer='other'), [False, False])

    def test_only_ended_engines_count(self):
        first = self.nodes[0]
        self.crash(*[first] * 3, listens=True)
        self.reaches = False
        self.crash(*[first] * 3)
        self.reaches = True
        self.crash(*[first] * 3, wrote_s=PROVEN_S)
        for _ in range(3):
            self.run_once(first, self.build_request(), AttemptResult.REFUSED)
        self.assertEqual(self.list_refusing(), [False, False])

    def test_answer_on_one_node_clears_it_on_all(self):
        first, second = self.nodes
        self.crash(first, second, first)
        self.assertEqual(self.list_refusing(), [True, True])
        self.run_once(second, self.build_request(), AttemptResult.WHOLE)
        self.assertEqual(self.list_refusing(), [False, False])

    def test_leader_alone_tries_one_request_at_a_time(self):
        first, second = self.nodes
        self.crash(first, second, first)
        self.list_refusing()
        self.now += TRIAL_S
        tried = self.build_request()
        self.assertIsNone(first.find_problem(tried))
        first.begin_trial(tried)
        self.assertIsNone(first.find_problem(tried))
        self.assertEqual(self.list_refusing(), [True, True])
        first.end_trial(tried)
        self.assertEqual(self.list_refusing(), [False, True])
        self.run_once(first, tried, AttemptResult.CUT)
        self.now += TRIAL_S
        self.assertEqual(self.list_refusing(), [True, True])

    def test_same_request_is_known_by_its_body(self):
        first = self.nodes[0]
        request = self.build_request()
        for _ in range(3):
            self.count += 1
            self.run_once(first, request, AttemptResult.NO_HEAD)
        self.assertIsNotNone(first.find_problem(request))
        self.assertIsNone(first.find_problem(self.build_request()))

    def test_parts_are_messages_before_the_last_and_tools(self):
        request = self.build_request()
        request.body['tools'] = [{'type': 'function', 'function': {'name': 'f'}}]
        self.assertEqual(len(build_traits(request).parts), 2)
        self.assertEqual(build_traits(request).workload, 'm')

    # Guards against a stopped engine, whose connections wait, taken for a crashed one.
    def test_engine_that_accepts_no_connection_in_time_has_not_crashed(self):
        with socket.socket() as listener, socket.socket() as waiting:
            listener.bind(('127.0.0.1', 0))
            listener.listen(0)
            waiting.connect(listener.getsockname())
            with socket.socket() as late:
                late.settimeout(0.1)
                self.assertRaises(TimeoutError, late.connect, listener.getsockname())
            host, port = listener.getsockname()
            for number in range(3):
                attempt = Attempt('a', f'{host}:{port}', f'r{number}')
                attempt.result = AttemptResult.CUT
                run = SimpleNamespace(model_request=self.build_request())
                anyio.run(self.nodes[0].note_attempt, run, attempt)
        self.assertEqual(self.list_refusing(), [False, False])


if __name__ == '__main__':
    unittest.main()
