"""Decoders of what other processes write: a value or a CodecError, nothing else."""

from __future__ import annotations

import json
import sys
import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from coursepitch.config.history import decode_head, decode_snapshot
from coursepitch.control.claims import decode_claims as decode_domain_claims
from coursepitch.control.session import parse_duty
from coursepitch.crashes.refused import decode_refused
from coursepitch.crashes.suspects import Clearance, Crash
from coursepitch.errors import CodecError, FindingsError
from coursepitch.fleet.claims import decode_claims, decode_loads
from coursepitch.fleet.limit_messages import ReportedLimit
from coursepitch.fleet.messages import (
    Changes,
    CrashReport,
    Heartbeat,
    LimitReport,
    LostReport,
    NoticeReport,
    SendReply,
    SendRequest,
    decode_message,
    encode_message,
)
from coursepitch.fleet.nodes import decode_place
from coursepitch.platform.configuration import decode_configuration
from coursepitch.platform.fleet import decode_instance, decode_report
from coursepitch.platform.instances import decode_list
from coursepitch.platform.kv import Entry
from coursepitch.serving.idempotency import decode_record
from coursepitch.targets.engine import _parse_check
from coursepitch.util.plain_cbor import load_plain
from tests.odd_values import FIXED_JSON, ODD_JSON, list_odd_cbor, list_odd_json
from tests.platform.test_entries import VALID_ENTRY
from tests.whole.platform_base import build_configuration

CLAIM = {
    'name': 'g1',
    'epoch': 1,
    'service': 'pool',
    'domain': 'd0',
    'model': 'm',
    'members': ['i1', 'i2'],
}

REPORT = {
    'stage': 'both',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'queued': 1,
    'active': 2,
    'pace': 1.5,
    'group': VALID_ENTRY['group'],
}

REFUSED = {
    'customer': 'acme',
    'ended': [['i1', 7, 'n1', 'v1', 'acme', 'pool/m']],
    'companions': ['p'],
    'tried': True,
}

DOMAIN_CLAIMS = {
    'epoch': 3,
    'replicas': [
        {
            'name': 'r',
            'group': 'g',
            'model': 'm',
            'version': 'v',
            'availability_zone': 'a',
            'state': 'up',
            'adapters': ['a'],
            'members': [{'instance': 'i', 'address': '1.2.3.4:5'}],
        }
    ],
}

RECORD = {
    'nonce': 'n',
    'hash': 'h',
    'state': 'answered',
    'status': 200,
    'type': 't',
    'body': '',
    'kept': True,
}

RESOURCES = {
    'revision': 1,
    'resources': [
        {'revision': 1, 'kind': 'customer', 'name': 'm', 'spec': None, 'generation': 1}
    ],
}

LISTED = {
    'instances': [
        {'id': 'i', 'address': '1.2.3.4:5', 'zone': 'a', 'domain': 'd', 'state': 'live'}
    ]
}


CHECK = {
    'state': 'ready',
    'claim': 'c',
    'model': 'm',
    'version': 'v',
    'adapters': ['a'],
    'epoch': 1,
    'running': 0,
}


def parse_check(text):
    """Parse a check as :func:`.read_object` passes it, which rejects bad JSON."""
    try:
        data = orjson.loads(text.encode('utf-8', 'replace'))
    except ValueError:
        return None
    return _parse_check(data)


#: Decoders of text, each with what a sound writer writes.
TEXT_DECODERS = {
    'check of an engine': (parse_check, CHECK),
    'instance': (lambda text: decode_instance('i', text), VALID_ENTRY),
    'report': (lambda text: decode_report(text.encode('utf-8', 'replace')), REPORT),
    'configuration': (
        lambda text: decode_configuration(text, 7),
        build_configuration(),
    ),
    'claims': (decode_claims, [CLAIM]),
    'loads': (decode_loads, {'i1': 'm'}),
    'refused request': (lambda text: decode_refused('f', text), REFUSED),
    'domain claims': (lambda text: decode_domain_claims('d0', text), DOMAIN_CLAIMS),
    'duty': (parse_duty, {'holder': 'n1', 'lease': 'l'}),
    'head': (decode_head, {'revision': 1, 'floor': 0, 'changes': []}),
    'snapshot': (decode_snapshot, RESOURCES),
    'record': (decode_record, RECORD),
    'list of instances': (
        lambda text: decode_list(text.encode('utf-8', 'replace')),
        LISTED,
    ),
}

MESSAGES = (
    Heartbeat('n1', 1, 2, 3.0, 4, counts={'i1': 2}, work={'m': 0.5}),
    Changes('n1', 1, 2, (Entry('servers/i1', '{}', 2), Entry('servers/i2'))),
    CrashReport(
        'n1',
        1.0,
        (Crash('f', 'c', 'i1', 1, 2.0, 'n1', 'v', 'w', ('p',), (('q', 1.0),)),),
        (Clearance('f', 1.0),),
    ),
    LostReport('n1', ('i1',), ('i2',), ('i1',), (('i1', 7),)),
    NoticeReport('n1', (('i1', 7),), (('i1', 7, 0.5),), (('i1', 7, 0.5),)),
    LimitReport('n1', (ReportedLimit('i1', 3.0, 0.1, 'n2', 4, 5.0),)),
    SendRequest('n1', 1, ReportedLimit('i1', 3.0, 0.1, 'n2', 4, 5.0)),
    SendReply('n1', 1, True, 0.5),
)


class OddValueTest(unittest.TestCase):
    """No value that another process wrote makes a decoder raise any other error."""

    def check(self, decode, text):
        try:
            decode(text)
        except (CodecError, FindingsError) as error:
            self.assertLess(len(str(error)), 2_000)

    def test_sound_values_are_decoded(self):
        for name, (decode, sound) in TEXT_DECODERS.items():
            with self.subTest(name):
                decode(json.dumps(sound))

    def test_odd_value_in_any_field(self):
        for name, (decode, sound) in TEXT_DECODERS.items():
            for value in FIXED_JSON:
                with self.subTest(name, value=value[:20], size=len(value)):
                    for text in list_odd_json(sound, value):
                        self.check(decode, text)

    @settings(max_examples=300)
    @given(st.data())
    def test_any_value_in_any_field(self, data):
        name = data.draw(st.sampled_from(sorted(TEXT_DECODERS)))
        decode, sound = TEXT_DECODERS[name]
        texts = list(list_odd_json(sound, data.draw(ODD_JSON)))
        self.check(decode, data.draw(st.sampled_from(texts)))

    # Guards against errors in the description of a value that was nested just below
    # what the parser accepts.
    def test_deeply_nested_value_near_the_end_of_the_stack(self):
        def descend(depth, decode, text):
            if depth:
                descend(depth - 1, decode, text)
            else:
                self.check(decode, text)

        for name, (decode, sound) in TEXT_DECODERS.items():
            texts = list(list_odd_json(sound, '[' * 500 + ']' * 500))
            for depth in (100, sys.getrecursionlimit() // 2):
                with self.subTest(name, depth=depth):
                    for text in texts:
                        descend(depth, decode, text)

    @given(st.text(max_size=100))
    def test_any_place_of_a_node(self, value):
        self.check(decode_place, value)


class OddMessageTest(unittest.TestCase):
    """No message of a peer makes the decoder raise any other error."""

    def test_odd_value_in_any_field(self):
        for message in MESSAGES:
            rows = load_plain(encode_message(message)[1:])
            with self.subTest(type(message).__name__):
                for data in list_odd_cbor(rows):
                    self.check(data)

    def check(self, data):
        try:
            decode_message(b'\x00' + data)
        except CodecError as error:
            self.assertLess(len(str(error)), 2_000)
