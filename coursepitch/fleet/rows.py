"""Checked reading of the rows that messages between nodes hold."""

from __future__ import annotations

__all__ = ['read_text']


def read_text(value: object) -> str:
    """Return a value that has to be a text.

    :raises TypeError: it is none.
    """
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is no text')
    return value
