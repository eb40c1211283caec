"""Crowds of clients that keep to no limit, at the OpenAI interface of a node.

A machine of 256 MiB has a limit of 4 MiB for a body.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from urllib.parse import urlsplit

import httpx

from standins.harness import CALLER_KEY
from standins.limits import MIB
from tests.whole import crowds
from tests.whole.base import GROUP, PATIENT, SystemCase

#: Memory of the machine in MiB, and descriptors that a process may open.
MACHINE_MB = 256
DESCRIPTORS = 1_024

#: Descriptors of the machine whose clients open connections only.
FEW_DESCRIPTORS = 200

#: Largest body in bytes, and the number of clients that send one.
BODY_BYTES = 4 * MIB
MEMBERS = 100

#: Clients that open connections only.
SILENT_MEMBERS = 400

#: Chunks in bytes.
LARGE_CHUNK = 65_536
SMALL_CHUNK = 16

#: Bytes that a client sends in small chunks: each takes the node some work.
SMALL_CHUNKS_BYTES = 65_536


class EntryCrowdCase(SystemCase):
    """One node with the resources of a small machine; started again for each test."""

    nodes = {'n1': 'kurasini'}
    domains = {'fab-a': ('kurasini', 2)}
    replicas = 1
    settings = {'entry': {'body_limit': str(BODY_BYTES)}, **PATIENT}
    node_limits = (MACHINE_MB, DESCRIPTORS)
    numbers = itertools.count()

    def setUp(self):
        if next(self.numbers):
            self.harness.processes['n1'].kill()
            self.harness.start_nodes(self.nodes)
            self.harness.wait_for(
                lambda: self.count_serving('n1') == self.replicas, 'the replica serves'
            )
        self.process = self.harness.processes['n1'].process

    def build_head(self, line):
        """Return the head of a request with a further line."""
        lines = [
            'POST /v1/chat/completions HTTP/1.1',
            'Host: x',
            f'Authorization: Bearer {CALLER_KEY}',
            line,
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    def play(self, *members, count=MEMBERS, reads=True):
        """Let a crowd send and hold on, and look at the node beside it and after it.

        :param members: each builds what a client sends from a builder of heads.
        """
        place = urlsplit(self.harness.entry('n1'))
        kinds = itertools.cycle(members)
        parts = [next(kinds)(self.build_head) for _ in range(count)]

        async def run():
            crowd = crowds.Crowd((place.hostname, place.port), parts, reads)
            try:
                await crowd.send()
                await asyncio.to_thread(self.check, 'beside the crowd')
            finally:
                crowd.close()

        asyncio.run(run())
        self.check('after the crowd')

    def check(self, when):
        """Check that the node lives within its machine, and serves a request."""
        self.check_resources(when)
        status = self.ask()
        self.check_resources(when)
        self.assertEqual(status, 200, when)

    def ask(self):
        """Return the status of an ordinary request on a connection of its own."""
        try:
            with httpx.Client(timeout=15, trust_env=False) as client:
                return client.post(
                    f'{self.harness.entry("n1")}/v1/chat/completions',
                    json=self.body(),
                    headers={'Authorization': f'Bearer {CALLER_KEY}'},
                ).status_code
        except httpx.HTTPError as error:
            return repr(error)

    def check_resources(self, when):
        found = crowds.read_resources(self.process)
        told = f'{when}: {found}'
        self.assertTrue(found.lives, told)
        self.assertLess(found.peak_mb, MACHINE_MB, told)
        self.assertLessEqual(found.descriptors, self.node_limits[1], told)


def build_short(build_head):
    """Send a body that lacks its last byte."""
    return crowds.send_short(build_head, BODY_BYTES)


def build_large_chunks(build_head):
    """Send large chunks without the last one."""
    return crowds.send_chunks(build_head, BODY_BYTES, LARGE_CHUNK)


def build_small_chunks(build_head):
    """Send small chunks without the last one."""
    return crowds.send_chunks(build_head, SMALL_CHUNKS_BYTES, SMALL_CHUNK)


def build_whole(build_head):
    """Send a whole request whose prompt fills its body."""
    message = {'role': 'user', 'content': ''}
    start, end = json.dumps({'model': GROUP, 'messages': [message]}).split('""')
    prompt = 'x ' * ((BODY_BYTES - len(start) - len(end)) // 2 - 1)
    body = f'{start}"{prompt}"{end}'.encode()
    return iter((build_head(f'Content-Length: {len(body)}'), body))


def build_too_much_announced(build_head):
    """Announce a body far above the limit, and send on."""
    return crowds.announce_too_much(build_head, 8 * BODY_BYTES, crowds.TOO_MUCH)


def build_too_much(build_head):
    """Send a body above the limit in chunks."""
    return crowds.send_too_much(build_head, 8 * BODY_BYTES, LARGE_CHUNK)


class EntryBodyCrowdTest(EntryCrowdCase):
    """Clients that send bodies."""

    # Guards against bodies that stop short of their end and are held without a bound.
    def test_bodies_that_stop_short_of_their_end(self):
        self.play(build_short)

    # Guards against chunked bodies that are held without a bound.
    def test_large_chunks_that_stop_short_of_their_end(self):
        self.play(build_large_chunks)

    def test_small_chunks_that_stop_short_of_their_end(self):
        self.play(build_small_chunks)

    # Guards against whole requests that are held without a bound.
    def test_whole_bodies(self):
        self.play(build_whole)

    def test_whole_bodies_whose_answers_are_not_read(self):
        self.play(build_whole, reads=False)

    def test_bodies_that_announce_too_much(self):
        self.play(build_too_much_announced)

    # Guards against bodies that are held up to their refusal without a bound.
    def test_bodies_that_are_too_much(self):
        self.play(build_too_much)

    # Guards against memory that a crowd leaves behind, so that none is left for others.
    def test_one_crowd_after_the_other(self):
        for build in (build_whole, build_short, build_large_chunks):
            self.play(build)


class EntryConnectionCrowdTest(EntryCrowdCase):
    """Clients that open connections, at a node with few descriptors."""

    node_limits = (MACHINE_MB, FEW_DESCRIPTORS)

    # Guards against a node that hangs as it can open no further descriptor.
    def test_connections_without_a_request(self):
        self.play(crowds.send_nothing, count=SILENT_MEMBERS)

    def test_heads_that_stop_short_of_their_end(self):
        self.play(
            lambda build_head: iter((build_head('X: y')[:-2],)), count=SILENT_MEMBERS
        )

    def test_bodies_that_stop_short_of_their_end(self):
        self.play(
            lambda build_head: crowds.send_short(build_head, 100), count=SILENT_MEMBERS
        )
