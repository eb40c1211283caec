"""JSON and CBOR with values in place of fields that no sound writer puts there."""

from __future__ import annotations

import json

import cbor2
from hypothesis import strategies as st

__all__ = ['ODD_JSON', 'list_odd_cbor', 'list_odd_json', 'replace_fields']

#: Stands for the odd value until its text replaces it.
_PLACEHOLDER = '@odd@'

#: Depths of nesting: some that parsers accept, and some that they refuse.
DEPTHS = (10, 300, 800, 980, 1_000, 1_020, 5_000)


def _nest_json(depth, mapping):
    opening, closing = ('{"a":', '}') if mapping else ('[', ']')
    return opening * depth + '1' + closing * depth


#: Texts of JSON values, some of which no parser accepts.
FIXED_JSON = (
    'null',
    'true',
    '-1',
    '1.5',
    '1e308',
    '-1e308',
    '1e999',
    str(2**63),
    str(2**64 - 1),
    str(2**64),
    '9' * 400,
    '9' * 5_000,
    'NaN',
    'Infinity',
    '""',
    '"a\\u0000b"',
    '"\\ud800"',
    '"1.2.3.4:65536"',
    '"1.2.3.4:0"',
    '"1.2.3.4:' + '9' * 41 + '"',
    '"1.2.3.4:' + '9' * 5_000 + '"',
    '"' + 'h' * 70 + '.example:80"',
    '"a\\u0000b:80"',
    '[]',
    '{}',
    *(_nest_json(depth, mapping) for depth in DEPTHS for mapping in (False, True)),
)

_plain = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)

#: Texts of any JSON value, or of none.
ODD_JSON = st.sampled_from(FIXED_JSON) | st.recursive(
    _plain,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
).map(json.dumps)


def replace_fields(data, value):
    """Yield copies of plain data, each with a value in place of one field or item."""
    yield value
    pairs = ()
    if isinstance(data, dict):
        pairs = data.items()
    elif isinstance(data, list):
        pairs = enumerate(data)
    for key, item in list(pairs):
        for changed in replace_fields(item, value):
            copy = data.copy()
            copy[key] = changed
            yield copy


def list_odd_json(data, text):
    """Yield texts of JSON, each with the text of a value in place of one field."""
    for changed in replace_fields(data, _PLACEHOLDER):
        yield json.dumps(changed).replace(f'"{_PLACEHOLDER}"', text)


def list_odd_cbor(data, depths=DEPTHS):
    """Yield CBOR, each with a deeply nested or an extreme value in place of a field."""
    marker = cbor2.dumps(_PLACEHOLDER)
    values = [b'\x81' * depth + b'\x01' for depth in depths]
    values += [b'\xa1\x01' * depth + b'\x01' for depth in depths]
    values += map(cbor2.dumps, (None, True, -1, 2**64 - 1, 1e308, '', b'', [], {}))
    for changed in replace_fields(data, _PLACEHOLDER):
        for value in values:
            yield cbor2.dumps(changed).replace(marker, value)
