"""Numbers in messages of the record table that are no plain numbers."""

from __future__ import annotations

import time
import unittest

import cbor2

from coursepitch.errors import CodecError
from coursepitch.peers.messages import (
    VERSION,
    AskChanges,
    Changes,
    Digest,
    Hello,
    decode_message,
    encode_message,
)
from coursepitch.peers.records import DemandBody, LoadBody
from coursepitch.peers.slots import SlotDefinition, SlotUpdate
from coursepitch.peers.table import RecordKey, WireRecord
from tests.util.unsound_numbers import TAGGED, UNTAGGED, WORK_S, replace_numbers

DEFINITION = SlotDefinition(
    4, WireRecord(RecordKey('load', 's', 'n1'), 5, 6, 7, 1.5, LoadBody(8, (9,)))
)
DEMAND = SlotDefinition(
    4, WireRecord(RecordKey('demand', 's', 'n1'), 5, 6, 7, 1.5, DemandBody({'a': 0.5}))
)

#: Messages whose every number is read by the module itself or is an integer of a body.
MESSAGES = (
    Hello(VERSION, 'n1'),
    AskChanges(3),
    Digest(1, 2, 3, (DEFINITION,), (SlotUpdate(4, 5, 6),)),
)

OTHER_MESSAGES = (Digest(1, 2, 3, (DEMAND,)), Changes(({'revision': 3},), {'at': 4}))


class MessageNumberTest(unittest.TestCase):
    """Each number of a message is a plain one, or the message is rejected."""

    def expect_rejections(self, messages, values):
        """Expect that messages with one of the values for any number are rejected."""
        for message in messages:
            row = cbor2.loads(encode_message(message))
            for name, value in values.items():
                for changed in replace_numbers(row, value):
                    with self.subTest(f'{name} in {message!r}'):
                        data = cbor2.dumps(changed)
                        began_at = time.thread_time()
                        with self.assertRaises(CodecError):
                            decode_message(data)
                        self.assertLess(time.thread_time() - began_at, WORK_S)

    # Guards against a few bytes from a peer that hold the event loop for seconds.
    def test_number_with_a_tag_is_rejected_at_once(self):
        self.expect_rejections(MESSAGES + OTHER_MESSAGES, TAGGED)

    def test_value_that_is_no_finite_number_is_rejected(self):
        self.expect_rejections(MESSAGES, UNTAGGED)

    def test_messages_with_plain_numbers_are_accepted(self):
        for message in MESSAGES + OTHER_MESSAGES:
            self.assertEqual(decode_message(encode_message(message)), message)
