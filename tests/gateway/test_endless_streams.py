"""Streams whose instances send bytes that are no answer, without end."""

from __future__ import annotations

import itertools
import math
import re
import unittest
from dataclasses import replace

from coursepitch.gateway.streams import MAX_COMMENT_BYTES
from coursepitch.http.client import MAX_BUFFERED_BYTES, Framing
from coursepitch.http.event_splitter import MAX_EVENT_BYTES
from tests.gateway.simulated_runs import (
    FAILED_STATUS,
    FULL,
    HEAD_S,
    LAST_EVENT,
    Case,
    Fate,
    Script,
    Seen,
    Simulation,
    build_parts,
)

#: Seconds between two pieces of bytes, and bytes of a piece.
PACES = {'slow': (0.05, 10), 'fast': (0.001, 65_536)}

#: Bytes that come to no event, each after what begins it.
KINDS = {
    'comments': (b'', b': ping\n\n'),
    'line breaks': (b'', b'\n'),
    'one byte': (b'', b'x'),
    'event': (b'id: 1\ndata: ', b'x'),
}

#: By when a request that may run elsewhere has ended, in seconds.
SERVED_S = 2.5

#: Bytes of a part of a body.
PART_BYTES = 65_536

#: An instance whose endless bytes are the only thing wrong with it.
SOUND = Script(seen=Seen.OVERDUE)


def flood(kind, pace, after, head):
    """Yield the parts of a response without end.

    :param after: whole events before it.
    :param head: bytes of an answer that begins it.
    """
    work_s = HEAD_S
    for part in build_parts(SOUND, 0)[: 2 * after]:
        work_s = part[0]
        yield part
    begin, unit = KINDS[kind]
    step_s, size = PACES[pace]
    yield work_s + step_s, begin + head, False
    for number in itertools.count(2):
        yield work_s + number * step_s, (unit * size)[:size], False


class Endless(list):
    """Parts of a response that are made as they are read."""

    def __init__(self, parts):
        super().__init__([next(parts)])
        self._parts = parts
        self.bytes_read = 0

    def pop(self, index=-1):
        part = super().pop(index)
        self.bytes_read += len(part[1])
        self.append(next(self._parts))
        return part


class EndlessSimulation(Simulation):
    """A simulation in which the first instance sends bytes without end.

    Comments and empty lines between two events may reach the client.
    """

    kind, pace, after = 'comments', 'slow', 0
    media_type = None

    def _build(self):
        super()._build()
        check = self.reply.send

        async def send(data):
            events = re.sub(rb'(?m)^:.*\n|^\n', b'', data)
            if events:
                await check(events.replace(b'x\n', b'x\n\n'))
            elif not self.reply.last_event:
                self.note_fault(f'got {data[:20]} before the first event')

        self.reply.send = send

    def begin_send(self, name, headers):
        send = super().begin_send(name, headers)
        if name == 'h0':
            # The simulated work passes in any case.
            send.script = replace(send.script, silent_at=math.inf)
            send.parts = Endless(flood(self.kind, self.pace, self.after, b''))
            self.flooded = send
            if self.media_type is not None:
                send.headers += ((b'content-type', self.media_type),)
        return send

    def end_send(self, send):
        if send is self.flooded:
            send.failed = True
        super().end_send(send)


class CommentSimulation(EndlessSimulation):
    """A simulation that counts the bytes of comments that the client gets."""

    framing = Framing.CHUNKS
    comment_bytes = 0

    def _build(self):
        super()._build()
        check = self.reply.send

        async def send(data):
            self.comment_bytes += data.count(b': ping\n\n') * len(b': ping\n\n')
            await check(data)

        self.reply.send = send

    def begin_send(self, name, headers):
        send = super().begin_send(name, headers)
        send.framing = self.framing
        return send


class BusySimulation(EndlessSimulation):
    """A simulation in which other nodes fill the first instance after its request."""

    def _count_peers(self, name):
        return FULL if name == 'h0' and self.sends else 0


class EndlessStreamTest(unittest.TestCase):
    """Bytes that bring no event are no progress."""

    def play(
        self,
        *scripts,
        kind='comments',
        pace='slow',
        after=0,
        simulate=EndlessSimulation,
        **options,
    ):
        case = Case((SOUND, *scripts), **options)
        simulation = simulate(case)
        simulation.kind, simulation.pace = kind, pace
        simulation.after = after
        simulation.play()
        self.assertEqual(simulation.faults, [])
        return simulation

    # Guards against streams that end at their deadline while other groups are idle.
    def test_stream_that_may_be_resumed_goes_on_elsewhere(self):
        for kind, pace, after in itertools.product(KINDS, PACES, (0, 2)):
            if kind == 'event' and after:
                continue
            with self.subTest(kind=kind, pace=pace, after=after):
                found = self.play(SOUND, kind=kind, pace=pace, after=after)
                self.assertTrue(found.reply.whole)
                self.assertEqual(found.reply.last_event, LAST_EVENT)
                self.assertLess(found.ended_s, SERVED_S)

    # Guards against requests that stay at a full instance as if they were queued there.
    def test_stream_that_has_begun_at_a_full_instance_goes_on_elsewhere(self):
        for kind, after in (('event', 0), ('comments', 2), ('one byte', 2)):
            with self.subTest(kind=kind, after=after):
                found = self.play(
                    SOUND, kind=kind, after=after, simulate=BusySimulation
                )
                self.assertTrue(found.reply.whole)
                self.assertLess(found.ended_s, SERVED_S)

    # Guards against requests that are answered at their deadline although what came
    # can become no answer.
    def test_stream_that_may_not_be_repeated_ends_with_the_proof(self):
        for kind in KINDS:
            with self.subTest(kind=kind):
                found = self.play(SOUND, kind=kind, pace='fast', resumable=False)
                self.assertEqual(found.refusal.status, 502)
                self.assertLess(found.ended_s, 1.0)
                read = found.flooded.parts.bytes_read
                self.assertLess(read, MAX_EVENT_BYTES + 2 * 65_536)

    # Guards against clients that have to read what an instance sends without end.
    def test_client_gets_few_comments_unless_a_length_counts_them(self):
        for framing in Framing:
            with self.subTest(framing=framing):
                simulation = CommentSimulation(Case((SOUND,), resumable=False))
                simulation.pace, simulation.after = 'fast', 1
                simulation.framing = framing
                simulation.play()
                self.assertEqual(simulation.faults, [])
                self.assertTrue(simulation.reply.aborted)
                if framing is Framing.LENGTH:
                    self.assertGreater(simulation.comment_bytes, MAX_COMMENT_BYTES)
                else:
                    self.assertLessEqual(simulation.comment_bytes, MAX_COMMENT_BYTES)

    # Guards against instances that get as many requests as before.
    def test_instance_is_avoided(self):
        for pace, resumable in itertools.product(PACES, (False, True)):
            with self.subTest(pace=pace, resumable=resumable):
                found = self.play(SOUND, pace=pace, resumable=resumable)
                self.assertTrue(found.tracker._record('h0').failures)


class GivenPartsCase(unittest.TestCase):
    """A response whose parts the test gives."""

    media_type: bytes | None = None

    def play(self, parts, buffered=0, framing=Framing.CHUNKS, **options):
        """Play one stream.

        :param buffered: bytes that are buffered of other responses.
        """
        simulation = EndlessSimulation(Case((SOUND,), **options))
        simulation.media_type = self.media_type
        simulation.parts = parts
        begin_send = simulation.begin_send

        def begin(name, headers):
            send = begin_send(name, headers)
            send.parts, send.framing = parts, framing
            return send

        simulation.begin_send = begin
        sent = simulation.sent = []

        build = simulation._build

        def build_with_reply():
            build()
            for place in range(0, buffered, PART_BYTES):
                simulation.pool.note_buffered(place, PART_BYTES)

            async def note(data):
                sent.append((simulation.now, data))

            async def end():
                simulation.reply.whole = simulation.reply.written = True

            simulation.reply.send, simulation.reply.end = note, end

        simulation._build = build_with_reply
        return simulation.play()


class OtherMediaTypeTest(GivenPartsCase):
    """A body of another media type on a stream's route."""

    media_type = b'application/json'

    # Guards against bytes that reach a client before it is known that they are whole.
    def test_body_is_forwarded_at_its_end(self):
        parts = [(0.1, b'{}\n\n', False), (0.3, b'{}', False), (0.5, None, True)]
        found = self.play(parts)
        self.assertEqual([data for _, data in found.sent], [b'{}\n\n{}'])
        self.assertTrue(found.reply.whole)

    def test_body_without_end_is_refused(self):
        parts = Endless(flood('one byte', 'fast', 0, b''))
        found = self.play(parts, resumable=False)
        self.assertEqual((found.sent, found.refusal.status), ([], 502))
        self.assertLess(found.ended_s, 2.0)

    # Guards against calls whose proof takes a second, as several bodies are read.
    def test_body_whose_length_is_not_known_is_refused_at_the_bound_of_events(self):
        for framing in (Framing.CHUNKS, Framing.CONNECTION):
            parts = Endless(flood('one byte', 'fast', 0, b''))
            self.play(parts, framing=framing, resumable=False)
            self.assertGreater(parts.bytes_read, MAX_EVENT_BYTES)
            self.assertLess(parts.bytes_read, MAX_EVENT_BYTES + 2 * PART_BYTES)

    def test_large_body_is_forwarded_if_its_length_is_known(self):
        count = 2 * MAX_EVENT_BYTES // PART_BYTES
        parts = [(0.1, b'x' * PART_BYTES, False) for _ in range(count)]
        parts.append((0.2, None, True))
        found = self.play(parts, framing=Framing.LENGTH, resumable=False)
        self.assertEqual([len(data) for _, data in found.sent], [2 * MAX_EVENT_BYTES])
        self.assertTrue(found.reply.whole)

    # Guards against a node that runs out of memory by bodies of several streams.
    def test_body_counts_for_the_memory_of_all_responses(self):
        body = [(0.1 + 0.1 * number, b'x' * PART_BYTES, False) for number in range(4)]
        others = MAX_BUFFERED_BYTES - 3 * PART_BYTES
        for buffered, status in ((others, 502), (others - 2 * PART_BYTES, None)):
            with self.subTest(buffered=buffered):
                parts = [*body, (0.9, None, True)]
                found = self.play(parts, buffered=buffered, resumable=False)
                self.assertEqual(getattr(found.refusal, 'status', None), status)
                self.assertEqual(found.reply.whole, status is None)
                self.assertEqual(found.pool.buffers.buffered_bytes, buffered)


class LargeEventTest(GivenPartsCase):
    """Events that are buffered until they are whole."""

    # Guards against a node that runs out of memory by unfinished events of streams.
    def test_unfinished_event_counts_for_the_memory_of_all_responses(self):
        begin = [(0.1, b'id: 1\ndata: ', False)]
        rest = [(0.2 + 0.1 * number, b'x' * PART_BYTES, False) for number in range(4)]
        others = MAX_BUFFERED_BYTES - 3 * PART_BYTES
        for buffered, status in ((others, 502), (others - 2 * PART_BYTES, None)):
            with self.subTest(buffered=buffered):
                parts = [*begin, *rest, (0.8, b'\n\n', False), (0.9, None, True)]
                found = self.play(parts, buffered=buffered, resumable=False)
                self.assertEqual(getattr(found.refusal, 'status', None), status)
                self.assertEqual(found.reply.whole, status is None)
                self.assertEqual(found.pool.buffers.buffered_bytes, buffered)


class EndlessErrorTest(unittest.TestCase):
    """Errors whose body does not end."""

    def play(self, *scripts, **options):
        simulation = EndlessSimulation(
            Case((Script(fate=Fate.FAILS), *scripts), **options)
        )
        return simulation.play()

    # Guards against errors that are kept until the deadline.
    def test_error_that_may_not_be_repeated_is_answered_soon(self):
        found = self.play(SOUND, resumable=False)
        self.assertEqual(found.refusal.status, 502)
        self.assertIn(str(FAILED_STATUS), found.refusal.reason)
        self.assertLess(found.ended_s, 2.5)

    def test_error_that_may_be_repeated_goes_elsewhere(self):
        found = self.play(SOUND)
        self.assertTrue(found.reply.whole)
        self.assertLess(found.ended_s, SERVED_S)


if __name__ == '__main__':
    unittest.main()
