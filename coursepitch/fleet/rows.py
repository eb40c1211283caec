"""Type checks for fields of messages between nodes."""

from __future__ import annotations

from coursepitch.util.decoding import shorten

__all__ = ['read_text']


def read_text(value: object) -> str:
    """Return a value that must be a string.

    :raises TypeError: it is not a string.
    """
    if not isinstance(value, str):
        raise TypeError(f'{shorten(value)} is not a string')
    return value
