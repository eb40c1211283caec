"""CBOR of plain values, read from senders that are not trusted.

A few bytes of CBOR can stand for a number whose conversion takes seconds, such as the
decimal fraction 1E+300000.  Such numbers are tagged, and no message has tags.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, NoReturn

import cbor2

__all__ = ['load_plain', 'read_integer', 'read_number']


def load_plain(data: bytes) -> Any:
    """Return the decoded value; its integers have at most 65 bits with the sign.

    :raises cbor2.CBORDecodeError: it is malformed or has a tag.
    """
    return cbor2.loads(data, semantic_decoders=_NO_TAGS)


def read_integer(value: object) -> int:
    """Return a value that must be an integer.

    :raises TypeError: it is not an integer, or a boolean.
    """
    if type(value) is not int:
        raise TypeError(f'{type(value).__name__} instead of an integer')
    return value


def read_number(value: object) -> float:
    """Return a value that must be an integer or a finite floating-point number.

    :raises TypeError: it is not such a number, or a boolean.
    :raises ValueError: it is infinite or not a number.
    """
    if type(value) is not int and type(value) is not float:
        raise TypeError(f'{type(value).__name__} instead of a number')
    if not math.isfinite(value):
        raise ValueError(f'{value!r} is not finite')
    return float(value)


class _NoTags(Mapping[int, Any]):
    """Decoders by tag, each of which rejects it.

    The library knows tags of its own, which it decodes if a mapping omits them.
    """

    def __getitem__(self, tag: int) -> Any:
        def reject(value: object, immutable: bool) -> NoReturn:
            raise ValueError(f'tag {tag}')

        return reject

    def __iter__(self) -> Iterator[int]:
        return iter(())

    def __len__(self) -> int:
        return 0


_NO_TAGS = _NoTags()
