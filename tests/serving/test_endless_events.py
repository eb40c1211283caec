"""Streams of events with bytes that are no event, without end."""

from __future__ import annotations

import unittest

from coursepitch.errors import CodecError
from coursepitch.serving.sse import MAX_EVENT_BYTES, MAX_EVENT_LINES, EventParser


class ParserBoundTest(unittest.TestCase):
    """What comes between two events is bounded, at any splits."""

    # Guards against comments and blank lines that are never counted.
    def test_bytes_without_event_are_refused(self):
        for unit in (b': x\n\n', b'\n', b'id: 1\n\n', b'x\n\n'):
            for size in (1, 100):
                with self.subTest((unit, size)), self.assertRaises(CodecError):
                    parser = EventParser()
                    for _ in range(MAX_EVENT_BYTES // len(unit * size) + 2):
                        list(parser.parse(unit * size))

    def test_comments_beside_events_are_accepted(self):
        parser = EventParser()
        comments = b': x\n\n' * (MAX_EVENT_LINES // 2 - 2)
        for place in range(5):
            found = list(parser.parse(comments + b'id: %d\ndata: x\n\n' % place))
            self.assertEqual([event.event_id for event in found], [place])

    # Guards against events that are parsed though the one before them is refused.
    def test_events_are_parsed_as_they_are_asked_for(self):
        parser = EventParser()
        events = parser.parse(b'data: x\n\n' + b'\n' * (MAX_EVENT_LINES + 1))
        self.assertEqual(next(events).data, 'x')
        with self.assertRaises(CodecError):
            next(events)


if __name__ == '__main__':
    unittest.main()
