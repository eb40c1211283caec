"""What of a stream of events is given on, and how much without an event is accepted."""

from __future__ import annotations

import itertools
import re
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from coursepitch.http.client import ExchangeError
from coursepitch.http.event_splitter import MAX_EVENT_BYTES, EventSplitter

LINE_ENDS = (b'\n', b'\r\n', b'\r')

#: Bytes that come to no event, however many there are.
NO_EVENTS = (b'\n', b'\r\n', b'\r', b': ping\n\n', b'x', b'x\n\n', b'data: x\n', b'')

PIECE_BYTES = 65_536

#: Bytes without an event that are given between two events.
MAX_COMMENT_BYTES = 1_000

#: Processor time in seconds until the proof.  Eight floods of one node share a quarter
#: of its event loop, and a machine half as fast is to prove all of them in a second.
PROOF_WORK_S = 1.0 / 4 / 8 / 2


def build_event(number, end=b'\n'):
    """Return an event whose id is a number."""
    return b'id: %d' % number + end + b'data: x' + end * 2


def has_known_field(data):
    """Whether a line has a field that readers of an event stream act on."""
    known = {b'data', b'event', b'id', b'retry'}
    return any(line.partition(b':')[0] in known for line in data.splitlines())


class KnownFieldTest(unittest.TestCase):
    """Lines that make a block of lines an event."""

    @given(
        st.lists(
            st.sampled_from(
                [b'\n', b':', b' ', b'id', b'data', b'event', b'retry', b'x']
            )
        )
    )
    def test_block_with_a_known_field_is_an_event(self, pieces):
        data = re.sub(rb'\n+', b'\n', b''.join(pieces)).strip(b'\n') + b'\n\n'
        splitter = EventSplitter()
        splitter.feed(data)
        self.assertEqual(splitter.count, int(has_known_field(data)))


class WholeEventTest(unittest.TestCase):
    """Only whole events are given on, and nothing before the first of them."""

    @given(
        st.lists(
            st.sampled_from([b'\n', b'\r', b'\r\n', b': c', b'id: 1', b'data: x', b'y'])
        ),
        st.lists(st.integers(1, 9), max_size=40),
    )
    def test_given_bytes_end_where_an_event_may_follow(self, pieces, sizes):
        data = b''.join(pieces)
        splitter, out, rest = EventSplitter(), b'', data
        for size in [*sizes, len(data)]:
            out += splitter.feed(rest[:size])
            rest = rest[size:]
            self.assertTrue(data.startswith(out))
            if out:
                self.assertRegex(out, rb'(?:\r\n|\r|\n){2}\Z')
                self.assertRegex(out, rb'(?:\A|[\r\n])(?:id|data)')
        self.assertEqual(out + splitter.flush(), data)

    # Guards against bytes that reach a client and turn out to be no answer.
    def test_nothing_is_given_before_the_first_event(self):
        for noise in NO_EVENTS[:-1]:
            splitter = EventSplitter()
            self.assertEqual(splitter.feed(noise * 100), b'', noise)
            self.assertEqual(splitter.count, 0)

    def test_comments_before_the_first_event_come_with_it(self):
        splitter = EventSplitter()
        splitter.feed(b': ping\n\n')
        self.assertEqual(splitter.feed(build_event(1)), b': ping\n\n' + build_event(1))

    def test_comments_after_an_event_are_given_and_are_none(self):
        splitter = EventSplitter()
        splitter.feed(build_event(1))
        self.assertEqual(splitter.feed(b': ping\n\n'), b': ping\n\n')
        self.assertEqual(splitter.count, 1)

    # Guards against floods of comments that clients have to read.
    def test_comments_between_events_are_given_up_to_a_bound(self):
        for comment in (b': ping\n\n', b'\n\n', b'x\n\n'):
            splitter = EventSplitter(max_comment_bytes=MAX_COMMENT_BYTES)
            splitter.feed(build_event(1))
            given = b''.join(
                splitter.feed(comment) for _ in range(2 * MAX_COMMENT_BYTES)
            )
            self.assertLessEqual(len(given), MAX_COMMENT_BYTES)
            self.assertGreater(len(given), MAX_COMMENT_BYTES - len(comment))
            self.assertEqual(splitter.feed(build_event(2)), build_event(2))
            self.assertEqual(splitter.feed(comment), comment)

    # Guards against events that are held back until the next one arrives.
    def test_event_is_given_with_its_last_byte(self):
        for end in LINE_ENDS:
            splitter, event = EventSplitter(), build_event(1, end)
            for byte in event[:-1]:
                self.assertEqual(splitter.feed(bytes([byte])), b'')
            self.assertEqual(splitter.feed(event[-1:]), event)
            self.assertEqual((splitter.last_event, splitter.count), (b'1', 1))


class StateTest(unittest.TestCase):
    """What has begun in the bytes that are buffered."""

    @given(
        st.lists(
            st.sampled_from([b'\n', b'\r', b'\r\n', b': c', b'id: 1', b'data: x', b'y'])
        ),
        st.lists(st.integers(1, 9), max_size=20),
    )
    def test_state_does_not_depend_on_how_bytes_arrive(self, pieces, sizes):
        data = b''.join(pieces)
        splitter, rest = EventSplitter(), data
        for size in [*sizes, len(data)]:
            splitter.feed(rest[:size])
            rest = rest[size:]
            # Asked before all has arrived, too.
            splitter.has_events()
            splitter.is_inside_event()
        lines = [line for line in re.split(rb'\r\n|\r|\n', data) if line]
        has_begun = any(not line.startswith(b':') for line in lines)
        self.assertEqual(splitter.has_events(), has_begun)
        last = re.split(rb'(?:\r\n|\r(?!\n)|\n){2}', data)[-1]
        is_inside = re.search(rb'(?<![^\r\n])[^:\r\n]', last) is not None
        self.assertEqual(splitter.is_inside_event(), is_inside)

    # Guards against a buffer that is searched whole at each check of a stalled run.
    def test_repeated_question_is_answered_without_another_search(self):
        splitter = EventSplitter()
        splitter.feed((b': ping\n\n' * MAX_EVENT_BYTES)[: MAX_EVENT_BYTES - 1])
        self.assertFalse(splitter.has_events())
        began_at = time.process_time()
        for _ in range(1_000):
            splitter.has_events()
        self.assertLess(time.process_time() - began_at, 0.1)


class ProofTest(unittest.TestCase):
    """The proof that no event comes takes little time."""

    # Guards against a node that stands for a minute as one stream reaches the bound.
    def test_many_small_blocks_are_found_to_be_too_many_at_once(self):
        for block in (b'\n', b'\r', b': ping\n\n', b'x\n\n'):
            with self.subTest(block):
                splitter = EventSplitter()
                splitter.feed(build_event(1))
                piece = block * (PIECE_BYTES // len(block))
                began_at = time.process_time()
                with self.assertRaises(ExchangeError):
                    for _ in range(2 * MAX_EVENT_BYTES // PIECE_BYTES):
                        splitter.feed(piece)
                self.assertLess(time.process_time() - began_at, 2.0)

    # Guards against calls that wait for seconds as several instances flood a node.
    def test_proof_takes_little_processor_time(self):
        for block in NO_EVENTS[:-1]:
            with self.subTest(block):
                piece = (block * PIECE_BYTES)[:PIECE_BYTES]
                works_s = []
                for _ in range(5):
                    splitter = EventSplitter()
                    began_at = time.process_time()
                    with self.assertRaises(ExchangeError):
                        for _ in range(MAX_EVENT_BYTES // PIECE_BYTES + 1):
                            splitter.feed(piece)
                    works_s.append(time.process_time() - began_at)
                self.assertLess(min(works_s), PROOF_WORK_S)


class BoundTest(unittest.TestCase):
    """Bytes that bring no event are accepted up to a bound."""

    def feed_until_refused(self, splitter, pieces):
        """Return what was given, and the number of bytes until they were refused."""
        out, size = b'', 0
        for piece in pieces:
            size += len(piece)
            try:
                out += splitter.feed(piece)
            except ExchangeError:
                return out, size
        raise AssertionError('the bytes were not refused')

    # Guards against streams without events that go on until their deadline.
    def test_bytes_without_an_event_are_refused_beyond_the_bound(self):
        for noise, begun in itertools.product(NO_EVENTS[:-1], (False, True)):
            splitter = EventSplitter()
            if begun:
                splitter.feed(build_event(1))
            piece = (noise * PIECE_BYTES)[:PIECE_BYTES]
            with self.subTest(noise=noise, begun=begun):
                pieces = [piece] * (2 * MAX_EVENT_BYTES // PIECE_BYTES)
                _, size = self.feed_until_refused(splitter, pieces)
                self.assertLessEqual(size, MAX_EVENT_BYTES + PIECE_BYTES)
                self.assertGreater(size, MAX_EVENT_BYTES)

    # Guards against a part of an event that another run is joined to.
    def test_no_part_of_an_event_is_given(self):
        splitter = EventSplitter()
        given = splitter.feed(build_event(1))
        pieces = itertools.chain(
            [b'id: 2\ndata: '],
            itertools.repeat(b'x' * 9999, 2 * MAX_EVENT_BYTES // 9999),
        )
        out, _ = self.feed_until_refused(splitter, pieces)
        self.assertEqual((given, out), (build_event(1), b''))

    # Guards against events above the bound that end within the bytes that exceed it.
    def test_event_above_the_bound_is_refused_however_it_arrives(self):
        event = build_event(1)
        body = event + b'data: ' + b'x' * MAX_EVENT_BYTES + b'\n\n' + event
        for size in (65_536, 300_000, len(body)):
            with self.subTest(size), self.assertRaises(ExchangeError):
                splitter = EventSplitter()
                for start in range(0, len(body), size):
                    splitter.feed(body[start : start + size])

    # Guards against long streams that are refused as one event.
    def test_many_events_above_the_bound_are_given(self):
        event = build_event(1)
        body = event * (2 * MAX_EVENT_BYTES // len(event))
        for first in (b'', b': ping\n'):
            self.assertEqual(EventSplitter().feed(first + body), first + body)

    def test_event_up_to_the_bound_is_given(self):
        splitter = EventSplitter()
        event = b'data: ' + b'x' * (MAX_EVENT_BYTES - 8) + b'\n\n'
        half = MAX_EVENT_BYTES // 2
        for _ in range(3):
            self.assertEqual(splitter.feed(event[:half]), b'')
            self.assertEqual(splitter.feed(event[half:]), event)

    def test_bytes_count_anew_after_an_event(self):
        splitter = EventSplitter()
        for number in range(1, 4):
            for _ in range(MAX_EVENT_BYTES // PIECE_BYTES - 1):
                splitter.feed(b':' * PIECE_BYTES)
            splitter.feed(b'\n\n')
            splitter.feed(build_event(number))
        self.assertEqual(splitter.last_event, b'3')

    # Guards against a buffered part of an event that is searched with each few bytes.
    def test_work_for_a_byte_does_not_grow_with_what_is_buffered(self):
        splitter = EventSplitter()
        searched = []

        class Counted(bytearray):
            def rfind(self, sub, start=0, *end):
                searched.append(len(self) - start)
                return super().rfind(sub, start, *end)

        splitter._partial = Counted()
        splitter.feed(b'data: ' + b'x' * (MAX_EVENT_BYTES // 2))
        searched.clear()
        for _ in range(1000):
            splitter.feed(b'x' * 10)
        self.assertLess(max(searched), 100)
        splitter.feed(b'\n\n')
        self.assertEqual(splitter.count, 1)


if __name__ == '__main__':
    unittest.main()
