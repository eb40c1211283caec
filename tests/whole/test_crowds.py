"""Crowds of clients that keep to no limit, at a node on the platform.

A machine of 256 MiB has a limit of 4 MiB for a body, as on the users' deployments.
"""

from __future__ import annotations

import asyncio
import itertools

import httpx

from standins.limits import MIB
from tests.whole import crowds
from tests.whole.platform_base import Node, PlatformCase, build_headers

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


class CrowdCase(PlatformCase):
    """One node with the resources of a small machine; started again for each test."""

    nodes = ('n1',)
    engines = 4
    descriptors = DESCRIPTORS
    numbers = itertools.count()

    @classmethod
    def configure(cls, **fields):
        """Write a configuration with the usual limits of a body."""
        limits = {
            'max_header_bytes': 16384,
            'max_body_bytes': BODY_BYTES,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        }
        super().configure(limits=limits, **fields)

    @classmethod
    def start_node(cls, name):
        """Start a node under limits and wait until it listens."""
        limits = ('standins.limits', str(MACHINE_MB), str(cls.descriptors))
        node = Node(name, cls.store, cls.folder, cls.revoke_s, module=limits)
        cls.running[name] = node
        cls.wait_for(node.has_started_again, f'{name} listens')

    def setUp(self):
        node = self.running['n1']
        if next(self.numbers):
            node.process.kill()
            node.process.wait()
            node.start_again()
            self.wait_for(node.has_started_again, 'the node listens')
            self.wait_for(lambda: self.serves('n1'), 'the node serves')
        self.node = node

    def build_head(self, line):
        """Return the head of a request with a further line."""
        fields = build_headers(f'crowd-{next(self.numbers)}')
        lines = [f'{name}: {value}' for name, value in fields.items()]
        return '\r\n'.join(['POST /once/x HTTP/1.1', *lines, line, '', '']).encode()

    def play(self, *members, count=MEMBERS, reads=True):
        """Let a crowd send and hold on, and look at the node beside it and after it.

        :param members: each builds what a client sends from a builder of heads.
        """
        address = ('127.0.0.1', self.node.ports['clients'])
        kinds = itertools.cycle(members)
        parts = [next(kinds)(self.build_head) for _ in range(count)]

        async def run():
            crowd = crowds.Crowd(address, parts, reads)
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
        headers = build_headers(f'ordinary-{next(self.numbers)}')
        try:
            with httpx.Client(timeout=15, trust_env=False) as client:
                url = self.node.url + '/once/x'
                return client.post(url, headers=headers, content=b'small').status_code
        except httpx.HTTPError as error:
            return repr(error)

    def check_resources(self, when):
        found = crowds.read_resources(self.node.process)
        told = f'{when}: {found}'
        self.assertTrue(found.lives, told)
        self.assertLess(found.peak_mb, MACHINE_MB, told)
        self.assertLessEqual(found.descriptors, self.descriptors, told)


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
    """Send a whole request."""
    return crowds.send_whole(build_head, BODY_BYTES)


def build_ahead(build_head):
    """Send four requests without a look at the answers."""
    return crowds.send_ahead(build_head, BODY_BYTES, 4)


def build_too_much_announced(build_head):
    """Announce a body far above the limit, and send on."""
    return crowds.announce_too_much(build_head, 8 * BODY_BYTES, crowds.TOO_MUCH)


def build_too_much(build_head):
    """Send a body above the limit in chunks."""
    return crowds.send_too_much(build_head, 8 * BODY_BYTES, LARGE_CHUNK)


class BodyCrowdTest(CrowdCase):
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

    # Guards against requests that are held for clients that read no answer.
    def test_whole_bodies_whose_answers_are_not_read(self):
        self.play(build_whole, reads=False)

    # Guards against bytes behind a request in hand that are held without a bound.
    def test_whole_bodies_that_are_sent_ahead(self):
        self.play(build_ahead)

    def test_bodies_that_announce_too_much(self):
        self.play(build_too_much_announced)

    # Guards against bodies that are held up to their refusal without a bound.
    def test_bodies_that_are_too_much(self):
        self.play(build_too_much)

    # Guards against a bound for each kind of body, and none for all of them.
    def test_all_kinds_at_once(self):
        self.play(
            build_short,
            build_large_chunks,
            build_whole,
            build_ahead,
            build_too_much,
            build_small_chunks,
        )

    # Guards against memory that a crowd leaves behind, so that none is left for others.
    def test_one_crowd_after_the_other(self):
        for build in (build_whole, build_short, build_large_chunks):
            self.play(build)


class ConnectionCrowdTest(CrowdCase):
    """Clients that open connections, at a node with few descriptors."""

    descriptors = FEW_DESCRIPTORS

    # Guards against a node that ends as it can open no further descriptor.
    def test_connections_without_a_request(self):
        self.play(crowds.send_nothing, count=SILENT_MEMBERS)

    def test_heads_that_stop_short_of_their_end(self):
        self.play(lambda build_head: iter((build_head('X: y')[:-2],)), count=400)

    def test_bodies_that_stop_short_of_their_end(self):
        self.play(
            lambda build_head: crowds.send_short(build_head, 100), count=SILENT_MEMBERS
        )
