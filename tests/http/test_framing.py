"""Tests that bodies decoded or framed without the parser are as with the parser."""

from __future__ import annotations

import socket
import struct
import unittest
from unittest import mock

import anyio
import anyio.lowlevel
import h11
from hypothesis import given
from hypothesis import strategies as st

from coursepitch.http import ConnectionPool, ExchangeError, NoConnectionError
from coursepitch.http.client import Connection, ConnectOutcome, connect_directly
from coursepitch.http.stream import MAX_UNREAD_BYTES, ByteStream, connect
from coursepitch.listeners import listen
from tests.http.test_exchange import HEADERS, read_all, run_with_server

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

#: What may follow a chunked head: valid and invalid chunks, and ends of the body.
PIECES = (
    b'5\r\nhello\r\n',
    b'00A\r\n0123456789\r\n',
    b'1a\r\nabcdefghijklmnopqrstuvwxyz\r\n',
    b'2;name=value\r\nok\r\n',
    b'3\r\nab\n\r\n',
    b'2 \r\nok\r\n',
    b'0\r\n\r\n',
    b'0\r\nTrailer: x\r\n\r\n',
    b'4\r\nmore than four\r\n',
    b'-1\r\nx\r\n',
    b'0x1\r\nx\r\n',
    b'\r\n',
    b'2\nok\n',
    b'fffffffffffffffffffff\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx',
)


def read_with_parser(parts, method=b'GET'):
    """Return body and end of a response as the parser alone reads them.

    :param parts: received bytes, after which the connection ends.
    """
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target=b'/', headers=HEADERS))
    parser.send(h11.EndOfMessage())
    body = b''
    waiting = [*parts, b'']
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(waiting.pop(0))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                surplus = parser.trailing_data[0] or b''.join(waiting)
                keeps = parser.their_state is h11.DONE
                return body, 'reusable' if keeps and not surplus else 'complete'
    except h11.RemoteProtocolError:
        return body, 'error'


def build_stream():
    """Return a stream without a socket, and its transport."""
    stream = ByteStream()
    transport = mock.Mock()
    stream.connection_made(transport)
    return stream, transport


async def read_with_client(parts, method=b'GET'):
    """Return body and end of a response as the client reads them."""
    stream, _ = build_stream()
    connection = Connection('x:1', stream, h11.Connection(h11.CLIENT))
    pool = ConnectionPool()

    async def receive():
        for part in parts:
            # The next part arrives when the client waits for it.
            await anyio.lowlevel.checkpoint()
            await anyio.lowlevel.checkpoint()
            stream.data_received(part)
        await anyio.lowlevel.checkpoint()
        stream.eof_received()

    body = b''
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receive)
        try:
            answer = await pool.exchange(connection, method, b'/', HEADERS, b'')
            while (data := await answer.read_chunk()) is not None:
                body += data
        except ExchangeError:
            return body, 'error'
    # All parts have arrived now.  The end of the connection follows in each case and is
    # no surplus; there is no socket that could be polled.
    with mock.patch.object(ByteStream, 'has_input', lambda self: bool(self._received)):
        reusable = pool._is_reusable(connection)
    return body, 'reusable' if reusable else 'complete'


class ClientFramingTest(unittest.TestCase):
    """The client reads chunked bodies as the parser does."""

    def compare(self, parts, method=b'GET'):
        expected = read_with_parser(parts, method)
        found = anyio.run(read_with_client, parts, method)
        self.assertEqual(found, expected, parts)
        return found

    @given(
        st.lists(st.sampled_from(PIECES), max_size=5),
        st.lists(st.integers(0, 150), max_size=6),
    )
    def test_any_split_of_any_chunks_is_read_as_by_the_parser(self, pieces, cuts):
        data = HEAD + b''.join(pieces)
        places = [0, *sorted({min(cut, len(data)) for cut in cuts}), len(data)]
        parts = [data[a:b] for a, b in zip(places, places[1:], strict=False) if a < b]
        self.compare(parts)

    def test_every_cut_of_a_valid_body_is_an_error(self):
        data = HEAD + b'5\r\nhello\r\n' + b'a\r\n0123456789\r\n' + b'0\r\n\r\n'
        for end in range(len(HEAD), len(data)):
            with self.subTest(end=end):
                self.assertEqual(self.compare([data[:end]])[1], 'error')
        self.assertEqual(self.compare([data]), (b'hello0123456789', 'reusable'))

    def test_bytes_after_a_chunked_body_prevent_reuse(self):
        data = HEAD + b'5\r\nhello\r\n0\r\n\r\n'
        for parts in ([data + b'H'], [HEAD, data[len(HEAD) :] + b'HTTP/1.1 200 OK']):
            self.assertEqual(self.compare(parts), (b'hello', 'complete'))

    def test_interim_response_is_separated_from_the_response(self):
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        data = interim + HEAD + b'2\r\nok\r\n0\r\n\r\n'
        for cut in range(1, len(data)):
            with self.subTest(cut=cut):
                found = self.compare([data[:cut], data[cut:]])
                self.assertEqual(found, (b'ok', 'reusable'))

    def test_chunked_head_without_a_body_is_not_decoded(self):
        self.assertEqual(self.compare([HEAD], b'HEAD'), (b'', 'reusable'))
        for status in (b'204 No Content', b'304 Not Modified'):
            head = HEAD.replace(b'200 OK', status)
            self.assertEqual(self.compare([head]), (b'', 'reusable'))

    def test_response_without_a_body_ends_with_its_head(self):
        async def run(method, head):
            stream, _ = build_stream()
            connection = Connection('x:1', stream, h11.Connection(h11.CLIENT))
            stream.data_received(head)
            pool = ConnectionPool()
            answer = await pool.exchange(connection, method, b'/', HEADERS, b'')
            # Nothing follows the head, so a client that waits for chunks times out.
            self.assertIsNone(await answer.read_chunk(5))

        anyio.run(run, b'HEAD', HEAD)
        for status in (b'204 No Content', b'304 Not Modified'):
            anyio.run(run, b'GET', HEAD.replace(b'200 OK', status))

    def test_conflicting_lengths_are_read_as_by_the_parser(self):
        chunked = b'Transfer-Encoding: chunked\r\n'
        for more in (b'Content-Length: 2\r\n', chunked, b'Transfer-Encoding: gzip\r\n'):
            head = HEAD.replace(chunked, chunked + more)
            self.compare([head, b'2\r\nok\r\n', b'0\r\n\r\n'])

    def test_reset_makes_a_body_without_length_incomplete(self):
        async def run():
            stream, _ = build_stream()
            connection = Connection('x:1', stream, h11.Connection(h11.CLIENT))
            stream.data_received(b'HTTP/1.1 200 OK\r\n\r\nsome')
            pool = ConnectionPool()
            answer = await pool.exchange(connection, b'GET', b'/', HEADERS, b'')
            self.assertEqual(await answer.read_chunk(), b'some')
            stream.connection_lost(ConnectionResetError())
            with self.assertRaises(ExchangeError):
                await answer.read_chunk()
            self.assertFalse(answer.complete)

        anyio.run(run)

    def test_bytes_that_complete_no_chunk_do_not_extend_a_timeout(self):
        async def run():
            stream, _ = build_stream()
            connection = Connection('x:1', stream, h11.Connection(h11.CLIENT))
            stream.data_received(HEAD)
            pool = ConnectionPool()
            answer = await pool.exchange(connection, b'GET', b'/', HEADERS, b'')

            async def dribble():
                for byte in b'000000000002\r\nok\r\n0\r\n\r\n':
                    stream.data_received(bytes((byte,)))
                    await anyio.sleep(0.02)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dribble)
                with self.assertRaises(TimeoutError):
                    await answer.read_chunk(0.1)
                self.assertEqual(await answer.read_whole(10), b'ok')

        anyio.run(run)

    # Guards against a request that fails with an internal error as its new connection
    # ended before an option of its socket was set.
    def test_connection_that_ends_at_once_is_a_failed_connection(self):
        async def run():
            sock = listen('127.0.0.1', 0)
            address = f'127.0.0.1:{sock.getsockname()[1]}'

            async def connect_and_lose(address, instance):
                stream = await connect_directly(address, instance)
                stream.close()
                await anyio.sleep(0.01)
                return stream

            pool = ConnectionPool(connect=connect_and_lose)
            with self.assertRaises(NoConnectionError) as caught:
                await pool.acquire(address)
            self.assertTrue(caught.exception.lost)
            self.assertEqual(pool.count_open(address), 0)
            sock.close()

        anyio.run(run)

    def test_failed_connections_are_not_counted_and_tell_whether_refused(self):
        async def run():
            sock = listen('127.0.0.1', 0)
            address = f'127.0.0.1:{sock.getsockname()[1]}'
            outcomes = []
            pool = ConnectionPool(connect_timeout_s=0, note_attempt=outcomes.append)
            with self.assertRaises(NoConnectionError) as caught:
                await pool.acquire(address)
            self.assertFalse(caught.exception.refused)
            pool.connect_timeout_s = 5.0
            pool.discard(await pool.acquire(address))
            sock.close()
            with self.assertRaises(NoConnectionError) as caught:
                await pool.acquire(address)
            self.assertTrue(caught.exception.refused)
            self.assertFalse(caught.exception.lost)
            self.assertEqual(pool.count_open(address), 0)
            self.assertEqual(
                outcomes,
                [
                    ConnectOutcome.TIMED_OUT,
                    ConnectOutcome.CONNECTED,
                    ConnectOutcome.REFUSED,
                ],
            )

        anyio.run(run)

    def test_response_before_the_end_of_the_request_is_read(self):
        async def run():
            sock = listen('127.0.0.1', 0)
            pool = ConnectionPool()
            address = f'127.0.0.1:{sock.getsockname()[1]}'
            connection = await pool.acquire(address)
            answers = []

            async def ask():
                body = b'x' * 8_000_000
                answers.append(
                    await pool.exchange(connection, b'POST', b'/', HEADERS, body)
                )

            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await anyio.wait_readable(sock)
                    accepted, _ = sock.accept()
                    accepted.send(b'HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno')
                self.assertEqual(await answers[0].read_whole(10), b'no')
            self.assertFalse(pool._is_reusable(connection))
            connection.close()
            accepted.close()
            sock.close()

        anyio.run(run)


class ServerFramingTest(unittest.TestCase):
    """The server writes the bytes that the parser frames."""

    def write(self, request, headers, parts):
        """Return the response to a request whose handler writes parts of a body."""

        async def handle(incoming, reply):
            await reply.start(200, headers)
            for part in parts:
                await reply.send(part)
            await reply.end()

        async def run(server, stream):
            await stream.send(request)
            return await read_all(stream)

        return anyio.run(run_with_server, handle, run)

    def frame(self, request, headers, parts):
        """Return the response that the parser alone frames."""
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(request)
        while parser.next_event() not in (h11.NEED_DATA, h11.PAUSED):
            pass
        data = parser.send(h11.Response(status_code=200, headers=headers))
        for part in parts:
            data += parser.send(h11.Data(data=part))
        return data + parser.send(h11.EndOfMessage())

    def test_written_bytes_are_those_of_the_parser(self):
        parts = (b'', b'id: 1\n\n', b'', b'x' * 70_000, b'', b'\r\n', b'0\r\n\r\n')
        length = ((b'Content-Length', b'%d' % len(b''.join(parts))),)
        for method, headers, written in (
            (b'GET', (), parts),
            (b'GET', length, parts),
            (b'GET', (), ()),
            (b'HEAD', (), (b'',)),
        ):
            for version in (b'1.0', b'1.1'):
                request = method + b' / HTTP/' + version
                request += b'\r\nHost: x\r\nConnection: close\r\n\r\n'
                with self.subTest(request=request, headers=headers):
                    self.assertEqual(
                        self.write(request, headers, written),
                        self.frame(request, headers, written),
                    )

    def test_parts_after_the_end_are_refused(self):
        failures = []

        async def handle(incoming, reply):
            await reply.start(200, ())
            await reply.send(b'all')
            await reply.end()
            try:
                await reply.send(b'more')
            except h11.LocalProtocolError as error:
                failures.append(error)

        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            return await read_all(stream)

        data = anyio.run(run_with_server, handle, run)
        self.assertTrue(data.endswith(b'3\r\nall\r\n0\r\n\r\n'))
        self.assertEqual(len(failures), 1)

    def test_client_that_resets_cancels_its_handler(self):
        left = anyio.Event()

        async def wait(request, reply):
            await reply.start(200, ())
            try:
                await anyio.sleep_forever()
            finally:
                left.set()

        async def run(server, stream):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            await stream.receive()
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            await anyio.aclose_forcefully(stream)
            with anyio.fail_after(5):
                await left.wait()

        anyio.run(run_with_server, wait, run)


class ByteStreamTest(unittest.TestCase):
    """Streams lose no bytes, keep deadlines, and bound what they buffer."""

    def test_timeout_loses_no_bytes_and_is_kept_after_earlier_reads(self):
        async def run():
            stream, _ = build_stream()
            with self.assertRaises(TimeoutError):
                await stream.receive(stream.find_deadline(0.01))
            stream.data_received(b'one')
            # The timer of this read has the later deadline, and is replaced.
            self.assertEqual(await stream.receive(stream.find_deadline(60)), b'one')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(anyio.sleep, 0)
                with anyio.move_on_after(0):
                    await stream.receive(stream.find_deadline(60))
            with anyio.fail_after(5), self.assertRaises(TimeoutError):
                await stream.receive(stream.find_deadline(0.01))
            stream.data_received(b'two')
            self.assertEqual(await stream.receive(), b'two')

        anyio.run(run)

    def test_timer_of_an_earlier_read_does_not_end_a_later_one(self):
        async def run():
            stream, _ = build_stream()
            with anyio.move_on_after(0):
                await stream.receive(stream.find_deadline(0.02))
            with anyio.move_on_after(0.1) as scope:
                await stream.receive()
            self.assertTrue(scope.cancelled_caught)
            began = stream.find_deadline(0)
            with anyio.move_on_after(0):
                await stream.receive(stream.find_deadline(0.02))
            with self.assertRaises(TimeoutError):
                await stream.receive(stream.find_deadline(0.2))
            self.assertGreaterEqual(stream.find_deadline(0) - began, 0.2)

        anyio.run(run)

    def test_reading_pauses_while_too_much_is_unread(self):
        async def run():
            stream, transport = build_stream()
            sent = b'x' * MAX_UNREAD_BYTES
            stream.data_received(sent)
            transport.pause_reading.assert_called_once()
            received = b''
            while len(received) < len(sent):
                received += await stream.receive()
                transport.resume_reading.assert_called_once()
            self.assertEqual(received, sent)

        anyio.run(run)

    def test_write_waits_until_the_kernel_took_all_and_fails_on_a_reset(self):
        async def run():
            stream, transport = build_stream()
            transport.write.side_effect = lambda data: stream.pause_writing()
            done = anyio.Event()

            async def write():
                with self.assertRaises(anyio.BrokenResourceError):
                    await stream.send(b'x')
                done.set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(write)
                await anyio.wait_all_tasks_blocked()
                self.assertFalse(done.is_set())
                stream.connection_lost(ConnectionResetError())
                await done.wait()

        anyio.run(run)

    def test_data_that_is_always_ready_does_not_stop_other_tasks(self):
        async def run():
            stream, _ = build_stream()
            seen = []

            async def count():
                while True:
                    await anyio.lowlevel.checkpoint()
                    seen.append(1)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(count)
                for _ in range(20):
                    stream.data_received(b'x')
                    await stream.receive()
                tasks.cancel_scope.cancel()
            self.assertGreater(len(seen), 5)

        anyio.run(run)

    def test_idle_stream_notices_input_and_end(self):
        async def run():
            sock = listen('127.0.0.1', 0)
            stream = await connect('127.0.0.1', sock.getsockname()[1])
            await anyio.wait_readable(sock)
            accepted, _ = sock.accept()
            self.assertFalse(stream.has_input())
            accepted.close()
            with anyio.fail_after(5), self.assertRaises(anyio.EndOfStream):
                await stream.receive()
            self.assertTrue(stream.has_input())
            stream.close()
            sock.close()

        anyio.run(run)
