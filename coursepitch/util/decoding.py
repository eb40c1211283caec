"""Failures to decode what other processes write, as one kind of error."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from coursepitch.errors import CodecError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['describe_error', 'raise_codec_errors', 'shorten']

#: Maximum length in characters of a value in the description of an error.
MAX_VALUE_CHARACTERS = 80

#: Maximum length in characters of such a description.
MAX_DESCRIPTION_CHARACTERS = 300


@contextlib.contextmanager
def raise_codec_errors(what: str) -> Iterator[None]:
    """Raise any error of a block that decodes a value as a :class:`CodecError`.

    A value of another process may fail in more ways than a decoder foresees, such as
    by its depth, and must not end the task that reads it.

    :param what: what is decoded, for the description.
    """
    try:
        yield
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f'{what}: {describe_error(error)}') from error


def describe_error(error: Exception) -> str:
    """Return the type and text of an error, of bounded length."""
    try:
        text = f'{type(error).__name__}: {error}'
    except Exception as failure:
        # Its arguments may be nested too deeply to be described.
        text = f'{type(error).__name__} ({type(failure).__name__})'
    return text[:MAX_DESCRIPTION_CHARACTERS]


def shorten(value: object) -> str:
    """Return the representation of a string, or the type of any other value."""
    if not isinstance(value, str):
        return f'a value of type {type(value).__name__}'
    if len(value) > MAX_VALUE_CHARACTERS:
        return repr(value[:MAX_VALUE_CHARACTERS]) + '...'
    return repr(value)
