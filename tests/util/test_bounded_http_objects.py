"""Work and memory that JSON objects take which are read whole."""

from __future__ import annotations

import asyncio
import unittest

import anyio
import httpx
import orjson

from coursepitch.util import bounded_http
from coursepitch.util.bounded_http import (
    COUNTED_BYTES_PER_TURN,
    MAX_BUFFERED_BYTES,
    MAX_UNCOUNTED_BYTES,
    MAX_VALUES,
    BodyBuffers,
    Exchange,
    read_object,
)

#: Largest size in bytes of one object.
LIMIT = 16_777_216

PART = b' ' * 65_536


class Body(httpx.AsyncByteStream):
    """Body that comes in given parts."""

    def __init__(self, parts, wait=None):
        self._parts = parts
        self._wait = wait

    async def __aiter__(self):
        for part in self._parts:
            yield part
            if self._wait is not None:
                await self._wait()


def build_reply(parts, wait=None):
    """Return a response with a body of some parts."""
    return httpx.Response(
        200, stream=Body(parts, wait), extensions={'exchange': Exchange()}
    )


def read(body, size=65_536):
    """Return the object that a body is, in parts of some bytes, or its error."""
    parts = [body[place : place + size] for place in range(0, len(body), size)]

    async def main():
        try:
            return await read_object(build_reply(parts), LIMIT)
        except httpx.RemoteProtocolError as error:
            return str(error)

    return anyio.run(main)


class ValueTest(unittest.TestCase):
    """An object takes as much work as one of the size that is not counted."""

    # Guards against seconds in which an object is parsed in one turn of the loop.
    def test_large_objects_of_small_values_are_refused(self):
        for value in (b'[]', b'{}', b'0', b'""', b'{"a":[]}', b'"\\""'):
            with self.subTest(value):
                count = LIMIT // (len(value) + 1) - 10
                body = b'{"a":[%b]}' % b','.join([value] * count)
                self.assertEqual(read(body), 'object of too many values')

    def test_object_of_the_size_that_is_not_counted_is_accepted(self):
        count = MAX_VALUES - 10
        body = b'{"a":[%b]}' % b','.join([b'[]'] * count)
        self.assertLessEqual(len(body), MAX_UNCOUNTED_BYTES)
        self.assertEqual(len(read(body)['a']), count)

    # Guards against a turn of the event loop in which a whole text is counted.
    def test_values_are_counted_in_many_turns(self):
        body = b'{"a":"%b"}' % (b'x' * (4 * MAX_UNCOUNTED_BYTES))
        turns = 0

        def note_turn():
            nonlocal turns
            turns += 1
            self.turn = asyncio.get_running_loop().call_soon(note_turn)

        async def main():
            note_turn()
            await read_object(build_reply([body]), LIMIT)
            self.turn.cancel()

        anyio.run(main)
        self.assertGreater(turns, len(body) // COUNTED_BYTES_PER_TURN)

    # Guards against sound texts that are refused for what is written in them.
    def test_large_texts_are_accepted(self):
        for text in ('[],{},', '"', '\\', '\n', 'ä, "[" \\" ', 'x'):
            with self.subTest(text):
                found = {'text': text * (2_000_000 // len(text)), 'usage': [1, 2]}
                self.assertEqual(read(orjson.dumps(found)), found)

    def test_values_are_counted_however_they_are_split(self):
        body = orjson.dumps({'a': ['\\"[', 'b,{', [1, {}]], '\\\\': '\\'})
        count = read_count([body])
        self.assertEqual(count, 8)
        for place in range(1, len(body)):
            for later in range(place + 1, len(body)):
                with self.subTest((place, later)):
                    parts = [body[:place], body[place:later], body[later:]]
                    self.assertEqual(read_count(parts), count)


def read_count(parts):
    """Return the number of values that are counted in the parts of a text."""
    counter = bounded_http._ValueCounter()
    for part in parts:
        counter.add(part)
    return counter.count


class BufferTest(unittest.TestCase):
    """Endless bodies fail before a node runs out of memory, and sound ones do not."""

    def test_body_that_is_not_the_largest_is_read_on(self):
        buffers, small, large = BodyBuffers(), build_reply([]), build_reply([])
        buffers.note(large, MAX_BUFFERED_BYTES - 10)
        buffers.note(small, 20)
        with self.assertRaises(httpx.RemoteProtocolError):
            buffers.note(large, MAX_BUFFERED_BYTES - 9)
        self.assertEqual(buffers.total_bytes, 20)

    # Guards against others that grow as the largest one is stalled.
    def test_bodies_beside_a_large_one_that_is_stalled_are_bounded(self):
        buffers = BodyBuffers()
        buffers.note(build_reply([]), LIMIT - 1)
        failed = 0
        for _ in range(20):
            reply = build_reply([])
            try:
                for size in range(len(PART), LIMIT, len(PART)):
                    buffers.note(reply, size)
            except httpx.RemoteProtocolError:
                failed += 1
        self.assertGreater(failed, 0)
        self.assertLess(buffers.total_bytes, 2 * MAX_BUFFERED_BYTES)

    def test_largest_bodies_fail_once_all_together_are_too_large(self):
        buffers, ends, peaks = BodyBuffers(), {}, []
        sound_may_end = anyio.Event()

        async def note():
            peaks.append(buffers.total_bytes)
            await anyio.sleep(0)

        async def fetch(name, reply):
            try:
                ends[name] = await read_object(reply, LIMIT, buffers)
            except httpx.RemoteProtocolError as error:
                ends[name] = str(error)
            if len(ends) == 12:
                sound_may_end.set()

        async def main():
            async with anyio.create_task_group() as tasks:
                sound = build_reply([b'{', b'}'], sound_may_end.wait)
                tasks.start_soon(fetch, 'sound', sound)
                for number in range(12):
                    parts = [b'{' + PART] + [PART] * (LIMIT // len(PART))
                    tasks.start_soon(fetch, number, build_reply(parts, note))

        anyio.run(main)
        self.assertEqual(ends.pop('sound'), {})
        self.assertEqual(len(ends), 12)
        self.assertIn('unfinished bodies are too large', ends.values())
        self.assertLessEqual(max(peaks), MAX_BUFFERED_BYTES)
        self.assertGreater(max(peaks), MAX_BUFFERED_BYTES // 2)
        self.assertEqual(buffers.total_bytes, 0)


if __name__ == '__main__':
    unittest.main()
