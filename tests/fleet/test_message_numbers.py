"""Numbers in messages between nodes that are no plain numbers."""

from __future__ import annotations

import time
import unittest

import cbor2

from coursepitch.crashes.suspects import Clearance, Crash
from coursepitch.errors import CodecError
from coursepitch.fleet.messages import (
    Changes,
    ChangesRequest,
    CrashReport,
    Heartbeat,
    LimitReport,
    LostReport,
    NoticeReport,
    OtherLoads,
    ReportedLimit,
    RetryReply,
    RetryRequest,
    SendReply,
    SendRequest,
    TableReply,
    TableRequest,
    TrialReply,
    TrialRequest,
    decode_message,
    encode_message,
)
from coursepitch.platform.kv import Entry
from tests.util.unsound_numbers import TAGGED, UNTAGGED, WORK_S, replace_numbers

HEARTBEAT = Heartbeat(
    'n1',
    7,
    3,
    1.5,
    9,
    True,
    {'i': 2},
    {'m': 0.5},
    2.0,
    8,
    1.0,
    True,
    OtherLoads(3, {'i': 2}, {'m': 0.5}),
    4.5,
)

#: Messages whose every number the module itself reads.
MESSAGES = (
    HEARTBEAT,
    Changes('n1', 3, 5, (Entry('a', 'x', 4), Entry('b', deleted_at=5))),
    ChangesRequest('n1', 3),
    TableRequest('n1', 4),
    TableReply('n1', Entry('op/config', '{}', 4)),
    CrashReport(
        'n1',
        9.5,
        (Crash('f', 'a', 'i1', 7, 9.25, 'n2', 'v1', 'w', ('p',), (('p', 9.0),)),),
        (Clearance('g', 9.0),),
    ),
    LostReport('n1', ('i1',)),
    NoticeReport('n1', (('i1', 7),), (('i2', 8, 1.5),), (('i3', 9, 2.5),)),
    SendRequest('n1', 4, None, ('i1', 2.5)),
    SendReply('n1', 4, False, 0.5),
    RetryRequest('n1', 4, 's'),
    RetryReply('n1', 4, True),
    TrialRequest('n1', 4, 'p'),
    TrialReply('n1', 4, True),
)

LIMIT = ReportedLimit('i1', 2.5, 0.5, 'n2', 8, 3.5)
LIMIT_MESSAGES = (LimitReport('n1', (LIMIT,)), SendRequest('n1', 4, LIMIT))


class MessageNumberTest(unittest.TestCase):
    """Each number of a message is a plain one, or the message is rejected."""

    def expect_rejection(self, row, what):
        """Expect that a message is rejected within the bound."""
        with self.subTest(what):
            data = b'\x00' + cbor2.dumps(row)
            began_at = time.thread_time()
            with self.assertRaises(CodecError):
                decode_message(data)
            self.assertLess(time.thread_time() - began_at, WORK_S)

    def expect_rejections(self, messages, values):
        """Expect that messages with one of the values for any number are rejected."""
        for message in messages:
            row = cbor2.loads(encode_message(message)[1:])
            for name, value in values.items():
                for changed in replace_numbers(row, value):
                    self.expect_rejection(changed, f'{name} in {message!r}')

    # Guards against a few bytes from a peer that hold the event loop for seconds.
    def test_number_with_a_tag_is_rejected_at_once(self):
        self.expect_rejections(MESSAGES + LIMIT_MESSAGES, TAGGED)

    def test_value_that_is_no_finite_number_is_rejected(self):
        self.expect_rejections(MESSAGES, UNTAGGED)

    def test_state_of_a_heartbeat_has_plain_numbers(self):
        row = cbor2.loads(encode_message(HEARTBEAT)[1:])
        for name, value in (TAGGED | UNTAGGED).items():
            states = replace_numbers(cbor2.loads(row[1]), value)
            for place, state in enumerate(states):
                changed = [row[0], cbor2.dumps(state), *row[2:]]
                self.expect_rejection(changed, f'{name} in number {place}')

    def test_start_time_in_a_report_of_lost_instances_is_a_plain_number(self):
        for name, value in (TAGGED | UNTAGGED).items():
            row = [6, 'n1', ['i1'], [], ['i1'], [['i1', value]]]
            self.expect_rejection(row, name)

    def test_start_time_after_a_name_is_of_64_bits(self):
        for text in ('9' * 21, '9' * 4300, '1E+9', '1.5', 'inf'):
            self.expect_rejection([6, 'n1', ['i1'], [], [f'i1\n{text}']], text[:9])

    def test_integers_of_64_bits_are_accepted(self):
        for number in (2**64 - 1, -(2**64)):
            message = ChangesRequest('n1', number)
            self.assertEqual(decode_message(encode_message(message)), message)
