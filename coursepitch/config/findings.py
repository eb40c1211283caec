"""Findings about settings and resources, each with its place."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ['Finding', 'Place']


@dataclass(frozen=True, slots=True)
class Place:
    """Where a value stands: file, line (from 1; 0 is unknown), section, option."""

    file: str
    line: int
    section: str
    option: str = ''

    def __str__(self) -> str:
        line = f':{self.line}' if self.line else ''
        option = f' {self.option}' if self.option else ''
        return f'{self.file}{line}: [{self.section}]{option}'


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong, the value found and how to mend it."""

    place: Place
    message: str
    value: str = ''
    fix: str = ''

    def __str__(self) -> str:
        value = f' (found {self.value!r})' if self.value else ''
        fix = f'; {self.fix}' if self.fix else ''
        return f'{self.place}: {self.message}{value}{fix}'
