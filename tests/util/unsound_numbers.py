"""Values that are no plain numbers, in place of each number of a message."""

from __future__ import annotations

import math
from decimal import Decimal

import cbor2

#: Most processor time in seconds to reject a message: the 0.1 s that bounds a turn of
#: the event loop beside endless bytes.
WORK_S = 0.1

#: Values with tags; each large one is slow to build or to convert to an integer.
TAGGED = {
    'decimal': Decimal('1E+300000'),
    'small decimal': Decimal('1.5'),
    'bigfloat': cbor2.CBORTag(5, [300_000, 1]),
    'fraction': cbor2.CBORTag(30, [1 << 300_000, 3]),
    'small fraction': cbor2.CBORTag(30, [3, 2]),
    'bignum': 1 << 64,
    'negative bignum': -(1 << 65),
    'large bignum': 1 << 300_000,
    'decimal of a large bignum': cbor2.CBORTag(4, [0, 1 << 300_000]),
    'unknown tag': cbor2.CBORTag(65_000, 1),
}

#: Values without tags.
UNTAGGED = {
    'inf': math.inf,
    '-inf': -math.inf,
    'nan': math.nan,
    'text': '1',
    'bytes': b'1',
    'boolean': True,
}


def replace_numbers(row, value):
    """Yield copies of a decoded message, each with the value for one of its numbers."""
    pairs = row.items() if isinstance(row, dict) else enumerate(row)
    for key, item in list(pairs):
        if isinstance(item, list | dict):
            for changed in replace_numbers(item, value):
                yield _replace(row, key, changed)
        elif isinstance(item, int | float) and not isinstance(item, bool):
            yield _replace(row, key, value)


def _replace(row, key, value):
    changed = row.copy()
    changed[key] = value
    return changed
