"""Bounds of the HTTP client on what one connection may take."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from types import SimpleNamespace

import anyio
import anyio.abc
import httpx

from coursepitch.util.bounded_http import (
    BoundedTransport,
    Exchange,
    open_reply,
    read_whole,
)
from tests.serving.endless_scripts import FAST, HEAD_KINDS, SLOW, EndlessScript
from tests.serving.engines import Engine, listen

#: Time limit of a call that ends by proof, and by which any test has ended, in seconds.
LONG_S = 20.0

#: Chunks of four bytes that are read of an endless body, and most of them in one turn
#: of the loop.
CHUNKS = 20_000
MAX_TURN_CHUNKS = 5_000
CHUNK_BYTES = 4

SOUND_BYTES = 4_194_304

#: States of a connection that was reset, and one that the other side has closed.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8

#: Seconds within which a reset must have arrived.
RESET_S = 1.0


def run_client(script, use):
    """Return the result of ``use(client, url)`` beside a server with a script."""

    async def run():
        server = Engine(script)
        client = httpx.AsyncClient(
            transport=BoundedTransport(httpx.Limits()), timeout=LONG_S
        )
        async with anyio.create_task_group() as tasks:
            await listen((server,), tasks)
            with anyio.fail_after(LONG_S):
                result = await use(
                    client, f'http://127.0.0.1:{server.port}/v1/streams/'
                )
            tasks.cancel_scope.cancel()
        await client.aclose()
        return result

    return anyio.run(run)


def send_answers(framing, bodies):
    """Return a script of the start of an answer and its parts."""

    async def run(stream, name, start):
        await stream.send(f'HTTP/1.1 200 OK\r\n{framing}\r\n\r\n'.encode())
        for body in bodies:
            await stream.send(body)

    return run


async def fetch(client, url):
    """Return the content of a sound answer."""
    request = client.build_request('GET', url)
    async with open_reply(client, request, LONG_S) as reply:
        return await read_whole(reply, SOUND_BYTES)


class TurnTest(unittest.TestCase):
    """Work of one connection in one turn of the event loop."""

    # Guards against a connection of many small parts that takes the whole loop.
    def test_small_parts_are_handled_in_several_turns(self):
        seen = SimpleNamespace(size=0, before=0, most=0)

        def note_turn():
            seen.most = max(seen.most, seen.size - seen.before)
            seen.before = seen.size
            seen.turn = asyncio.get_running_loop().call_soon(note_turn)

        async def read_parts(client, url):
            seen.turn = asyncio.get_running_loop().call_soon(note_turn)
            async with client.stream('GET', url) as reply:
                async for part in reply.aiter_raw():
                    seen.size += len(part)
                    if seen.size >= CHUNKS * CHUNK_BYTES:
                        break
            seen.turn.cancel()
            return seen.most

        found = run_client(EndlessScript('chunks', FAST), read_parts)
        self.assertLess(found, MAX_TURN_CHUNKS * CHUNK_BYTES)


class ProofTest(unittest.TestCase):
    """Bytes that cannot become an answer fail a call before its limit."""

    async def read_failure(self, client, url):
        with self.assertRaises(httpx.RemoteProtocolError):
            await fetch(client, url)

    # Guards against heads that end by the time limit only.
    def test_endless_head_fails_at_once(self):
        for kind in HEAD_KINDS:
            with self.subTest(kind):
                run_client(EndlessScript(kind, FAST), self.read_failure)

    def test_slow_bytes_that_are_no_status_line_fail_at_once(self):
        run_client(EndlessScript('status_line', SLOW), self.read_failure)

    # Guards against a status such as 600 that passes for an answer.
    def test_status_that_is_not_valid_fails(self):
        for code in ('000', '099', '600', '999'):

            async def answer(stream, name, start, code=code):
                head = f'HTTP/1.1 {code} X\r\nContent-Length: 0\r\n\r\n'
                await stream.send(head.encode())

            with self.subTest(code):
                run_client(answer, self.read_failure)

    # Guards against endless framing around little content.
    def test_framing_without_content_fails(self):
        for kind in ('extension', 'extensions'):
            with self.subTest(kind):
                run_client(EndlessScript(kind, FAST), self.read_failure)

    def test_too_many_slow_interim_responses_fail(self):
        run_client(EndlessScript('interim', SLOW), self.read_failure)


class CloseTest(unittest.TestCase):
    """What a server sees as its response is given up."""

    def find_state(self, body):
        """Return the state of a connection once its client has closed it."""
        states = []

        async def answer(stream, name, start):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n' + body)
            with anyio.move_on_after(RESET_S):
                while not states or states[-1] != TCP_CLOSE:
                    await anyio.sleep(0.01)
                    info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
                    states.append(info[0])
            states.append('seen')

        async def give_up(client, url):
            async with client.stream('GET', url) as reply:
                async for _ in reply.aiter_raw():
                    if len(body) < 2:
                        break
            await client.aclose()
            while 'seen' not in states:
                await anyio.sleep(0.01)

        run_client(answer, give_up)
        return states[-2]

    # Guards against servers that learn with their next byte only that nobody reads.
    def test_connection_of_a_partial_response_is_reset(self):
        self.assertEqual(self.find_state(b'x'), TCP_CLOSE)

    def test_connection_of_a_whole_response_is_closed_regularly(self):
        self.assertEqual(self.find_state(b'xx'), TCP_CLOSE_WAIT)

    # Guards against errors of a closed socket in place of that of the response.
    def test_response_that_its_server_resets_fails_as_such(self):
        async def reset(stream, name, start):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx')

        async def fail(client, url):
            with self.assertRaises(httpx.HTTPError):
                await fetch(client, url)

        run_client(reset, fail)


class SoundAnswerTest(unittest.TestCase):
    """Sound answers are not changed by the bounds."""

    def test_large_answers_come_whole(self):
        parts = [b'x' * 65_536] * (SOUND_BYTES // 65_536)
        chunks = [b'10000\r\n%b\r\n' % part for part in parts]
        answers = {
            f'Content-Length: {SOUND_BYTES}': parts,
            'Transfer-Encoding: chunked': [*chunks, b'0\r\n\r\n'],
            'X-Length: none': parts,
        }
        for framing, bodies in answers.items():
            with self.subTest(framing):
                found = run_client(send_answers(framing, bodies), fetch)
                self.assertEqual(found, b''.join(parts))

    # Guards against the bound on framing applied to answers of small chunks.
    def test_answer_of_small_chunks_comes_whole(self):
        bodies = [b'1\r\nx\r\n' * 100_000, b'0\r\n\r\n']
        script = send_answers('Transfer-Encoding: chunked', bodies)
        self.assertEqual(run_client(script, fetch), b'x' * 100_000)

    # Guards against sound text that is held up as its lines are taken for chunks.
    def test_answer_of_short_lines_comes_in_time(self):
        body = b'x\n' * (SOUND_BYTES // 2)
        script = send_answers(f'Content-Length: {SOUND_BYTES}', [body])
        self.assertEqual(run_client(script, fetch), body)

    def test_answer_after_interim_responses_comes_whole(self):
        async def run(stream, name, start):
            await stream.send(b'HTTP/1.1 102 Processing\r\n\r\n' * 3)
            await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

        self.assertEqual(run_client(run, fetch), b'ok')

    def test_exchange_counts_what_is_received(self):
        async def count(client, url):
            exchange = Exchange()
            request = client.build_request(
                'GET', url, extensions={'exchange': exchange}
            )
            async with open_reply(client, request, LONG_S) as reply:
                await read_whole(reply, SOUND_BYTES)
            return exchange

        found = run_client(send_answers('Content-Length: 2', [b'ok']), count)
        self.assertEqual(found.received, len('HTTP/1.1 200 OK\r\n') + 21 + 2)


if __name__ == '__main__':
    unittest.main()
