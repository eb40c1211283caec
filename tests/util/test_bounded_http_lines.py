"""Lines of responses that the parser needs seconds for, and chunks at any splits."""

from __future__ import annotations

import itertools
import re
import time
import unittest
from contextlib import suppress

import anyio
import anyio.abc
import h11
import httpcore
import httpx
from hypothesis import example, given
from hypothesis import strategies as st

from coursepitch.util import bounded_http
from coursepitch.util.bounded_http import BoundedTransport, open_reply, read_whole
from tests.serving.engines import Engine, listen

#: Time limit in seconds by which any exchange has ended.
LONG_S = 20.0

#: Most processor time in seconds of an exchange whose lines are refused: a part of the
#: 0.1 s that bounds a turn of the event loop beside endless bytes.
MAX_WORK_S = 0.1

LIMIT = 1_048_576
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'

#: Blanks from each of which the parser tries to match the rest of a line.
BLANKS = b' ' * 16_000


#: What chunked bodies are made of, sound ones and others.
TOKENS = [
    *(b'1\r\nx\r\n', b'2;a\r\nab\r\n', b'0\r\n', b'A: b\r\n', b' c\r\n', b'\r\n'),
    *(b'1', b'0' * 20, b'G', b'x', b'A: b', b':', b';', b' ', b'\t'),
    *(b'\r', b'\n', b'\x00'),
]


def fetch(*parts, pause_s=0.0):
    """Return the body of a response, or its error, and the processor time in seconds.

    :param parts: what the server sends, one after the other, before it closes.
    """

    async def send(stream, name, start):
        for part in parts:
            await stream.send(part)
            await anyio.sleep(pause_s)

    async def main():
        server = Engine(send)
        client = httpx.AsyncClient(transport=BoundedTransport(httpx.Limits()))
        async with anyio.create_task_group() as tasks:
            await listen((server,), tasks)
            url = f'http://127.0.0.1:{server.port}/v1/streams/'
            request = client.build_request('GET', url)
            began_at = time.thread_time()
            try:
                async with open_reply(client, request, LONG_S) as reply:
                    found = await read_whole(reply, LIMIT)
            except httpx.HTTPError as error:
                found = type(error)
            worked_s = time.thread_time() - began_at
            tasks.cancel_scope.cancel()
        await client.aclose()
        return found, worked_s

    return anyio.run(main)


class QuadraticLineTest(unittest.TestCase):
    """Lines that the parser accepts nowhere are refused in little time."""

    def check_refused(self, *parts):
        found, worked_s = fetch(*parts)
        self.assertEqual(found, httpx.RemoteProtocolError)
        self.assertLess(worked_s, MAX_WORK_S)

    # Guards against seconds of one turn of the event loop for one line.
    def test_heads_with_forbidden_bytes_are_refused_at_once(self):
        for byte in (b'\x00', b'\x0b', b'\x0c', b'\rx'):
            with self.subTest(byte):
                line = b'A: ' + BLANKS + byte
                self.check_refused(OK + line + b'\r\n\r\n')
                self.check_refused(OK + b'A: b\r\n ' + line + b'\r\n\r\n')

    def test_extensions_of_blanks_are_refused_at_once(self):
        for end in (b'\nx\r\n', b'\rx\r\n', BLANKS + b'\nx\r\n'):
            with self.subTest(end[-4:]):
                self.check_refused(CHUNKED + b'1;' + BLANKS, end)

    def test_trailers_with_forbidden_bytes_are_refused_at_once(self):
        for byte in (b'\x00', b'\x0b', b'\x0c', b'\rx'):
            with self.subTest(byte):
                line = b'A: ' + BLANKS + byte
                self.check_refused(CHUNKED + b'0\r\n' + line + b'\r\n\r\n')

    # Guards against a decoder that takes the framing of one body for another's.
    def test_folded_framing_is_recognized(self):
        head = OK + b'TRANSFER-encoding:\r\n chunked\r\n\r\n'
        self.check_refused(head + b'1;' + BLANKS + b'\nx\r\n')


class ChunkTest(unittest.TestCase):
    """Chunks are decoded as they were sent, and nothing else is accepted."""

    def test_body_is_whole_however_it_is_split(self):
        text = (
            b'2\r\nab\r\n'
            b'3;name="value" \r\n\r\n0\r\n'
            b'0000A\t\r\n0123456789\r\n'
            b'00;last\r\nA: b\r\nC: d\r\n\r\n'
        )
        for place in range(1, len(text)):
            with self.subTest(place):
                parts = (CHUNKED + text[:place], text[place:])
                self.assertEqual(fetch(*parts, pause_s=0.01)[0], b'ab\r\n00123456789')

    def test_part_of_a_chunk_is_returned_before_the_rest_arrives(self):
        async def send(stream, name, start):
            await stream.send(CHUNKED + b'10\r\nfirst')
            await anyio.sleep_forever()

        async def main():
            server = Engine(send)
            client = httpx.AsyncClient(transport=BoundedTransport(httpx.Limits()))
            async with anyio.create_task_group() as tasks:
                await listen((server,), tasks)
                url = f'http://127.0.0.1:{server.port}/v1/streams/'
                with anyio.fail_after(LONG_S):
                    async with client.stream('GET', url) as reply:
                        found = await anext(reply.aiter_raw())
                tasks.cancel_scope.cancel()
            await client.aclose()
            return found

        self.assertEqual(anyio.run(main), b'first')

    def test_malformed_chunks_are_refused(self):
        malformed = {
            'size': b'x\r\nab\r\n0\r\n\r\n',
            'sign': b'+1\r\na\r\n0\r\n\r\n',
            'long_size': b'0' * 21 + b'1\r\na\r\n0\r\n\r\n',
            'line_feed': b'1\na\r\n0\r\n\r\n',
            'end': b'1\r\nabc\r\n0\r\n\r\n',
            'late_end': b'1\r\na\r\n1\r\nabc\r\n0\r\n\r\n',
            'trailer': b'1\r\na\r\n0\r\nno field\r\n\r\n',
            'truncated': b'2\r\na',
            'without_end': b'1\r\na\r\n',
            'without_trailers': b'1\r\na\r\n0\r\n',
            'line': b'1;' + b'x' * 100_000,
            'trailers': b'0\r\nA: ' + b'x' * 100_000,
            'trailer_lines': b'0\r\n' + b'A: b\r\n' * 1_000 + b'\r\n',
        }
        for kind, body in malformed.items():
            with self.subTest(kind):
                self.assertEqual(fetch(CHUNKED + body)[0], httpx.RemoteProtocolError)

    # Guards against bodies that are decoded though their responses have none.
    def test_response_without_body_may_name_chunks(self):
        head = CHUNKED.replace(b'200 OK', b'204 No Content')
        self.assertEqual(fetch(head)[0], b'')


def parse(pieces):
    """Return the content of a body as the parser alone reads it, and how it ends."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(CHUNKED)
    parser.next_event()
    content = b''
    for piece in pieces:
        if piece:
            parser.receive_data(piece)
        try:
            while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.EndOfMessage):
                    return content, 'whole'
                content += event.data
        except h11.RemoteProtocolError:
            return content, 'malformed'
    return content, 'unfinished'


def decode(pieces):
    """Return the content of a body as the parser reads what is decoded of it."""
    decoder = bounded_http._ChunkDecoder()
    data, found = b'', []
    try:
        for piece in pieces:
            data += piece
            while not decoder.ended:
                encoded, place = decoder.decode(data, 0)
                data = data[place:]
                if not encoded:
                    break
                found.append(encoded)
    except httpcore.RemoteProtocolError:
        return parse(found)[0], 'malformed'
    return parse(found)


class AnyBytesTest(unittest.TestCase):
    """The decoder reads what the parser reads, however it is split."""

    @given(
        st.lists(st.binary(min_size=1, max_size=20), max_size=5),
        st.lists(st.integers(0, 200), max_size=5),
    )
    def test_sound_bodies(self, chunks, cuts):
        text = b''.join(b'%x;a=b\r\n%b\r\n' % (len(c), c) for c in chunks)
        self.check_alike(text + b'0\r\nA: b\r\n\r\n', cuts)

    @given(
        st.lists(st.sampled_from(TOKENS), max_size=12),
        st.lists(st.integers(0, 20), max_size=5),
    )
    @example([b'1\r\nx\r\n', b'G', b'\r\n'], [])
    @example([b'1\r\nx', b'x'], [])
    @example([b'0\r\n', b'\n'], [])
    def test_any_bytes(self, parts, cuts):
        self.check_alike(b''.join(parts), cuts)

    def check_alike(self, text, cuts):
        places = [0, *sorted(cuts), len(text)]
        pieces = [text[a:b] for a, b in itertools.pairwise(places)]
        content, ending = decode(pieces)
        self.assertEqual((content, ending), decode([text]))
        expected = parse([text])
        if ending == 'whole' or expected[1] == 'malformed':
            self.assertEqual((content, ending), expected)
        elif not re.search(rb'\r(?!\n)', text):
            # The parser waits for the end of a line that is malformed already.
            early = ending == 'malformed' and expected[1] == 'unfinished'
            self.assertEqual((content, 'unfinished' if early else ending), expected)


class SurplusTest(unittest.TestCase):
    """Bytes after a response are no response to the next request."""

    def fetch_twice(self, response):
        """Return the statuses of two requests, and the number of connections."""
        served = []

        async def serve(stream):
            served.append(stream)
            async with stream:
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    while await stream.receive():
                        await stream.send(response)

        async def main():
            client = httpx.AsyncClient(transport=BoundedTransport(httpx.Limits()))
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            found = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                for _ in range(2):
                    request = client.build_request('GET', f'http://127.0.0.1:{port}/')
                    async with open_reply(client, request, LONG_S) as reply:
                        await read_whole(reply, LIMIT)
                    found.append(reply.status_code)
                await client.aclose()
                tasks.cancel_scope.cancel()
            return found, len(served)

        return anyio.run(main)

    # Guards against lengths that the parser reads and this connection does not.
    def test_folded_lines_of_a_head_are_refused(self):
        for fold in (b'\r\n ', b'\r\n\t', b'\n '):
            head = b'HTTP/1.1 200 OK\r\nContent-Length:' + fold + b'2\r\n\r\n'
            with self.subTest(fold):
                self.assertEqual(fetch(head + b'ok')[0], httpx.RemoteProtocolError)

    # Guards against responses of one request that are taken for those of the next.
    def test_connection_with_a_surplus_is_not_used_again(self):
        surplus = b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n'
        responses = {
            'length': OK + b'Content-Length: 2\r\n\r\nok',
            'empty': OK + b'Content-Length: 0\r\n\r\n',
            'chunks': CHUNKED + b'2\r\nok\r\n0\r\n\r\n',
            'no_body': b'HTTP/1.1 204 No Content\r\n\r\n',
        }
        for kind, response in responses.items():
            with self.subTest(kind):
                status = 204 if kind == 'no_body' else 200
                found = self.fetch_twice(response + surplus)
                self.assertEqual(found, ([status] * 2, 2))
                self.assertEqual(self.fetch_twice(response), ([status] * 2, 1))


if __name__ == '__main__':
    unittest.main()
