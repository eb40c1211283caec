"""Reader of KNOWN-RED.txt, the list of tests that fail of known faults.

Each line is one fault: ``test | command | seen | issue``.  The test is its full name,
the command runs it and names its seed if it has one, and the issue is the number of an
open issue.  Empty lines are skipped.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

__all__ = ['KnownRed', 'KnownRedError', 'find_unknown_tests', 'read_known_red']

_TEST = re.compile(r'tests(\.[A-Za-z_][A-Za-z0-9_]*){2,}')
_ISSUE = re.compile(r'[1-9][0-9]*')


class KnownRedError(Exception):
    """An entry is malformed; the message names its line."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One fault.

    :param test: full name of the test that fails of it.
    :param command: how to run the test, with its seed if it has one.
    :param seen: what was seen.
    :param issue: number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: int

    def __str__(self) -> str:
        return f'{self.test} | {self.command} | {self.seen} | {self.issue}'


def read_known_red(lines: Iterable[str]) -> tuple[KnownRed, ...]:
    """Return the entries of the list.

    :raises KnownRedError: an entry has another form, or occurs twice.
    """
    entries: list[KnownRed] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            entry = _parse_entry(line)
        except ValueError as error:
            raise KnownRedError(f'KNOWN-RED.txt:{number}: {error}') from None
        if entry in entries:
            raise KnownRedError(f'KNOWN-RED.txt:{number}: the entry occurs twice')
        entries.append(entry)
    return tuple(entries)


def _parse_entry(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split('|')]
    if len(fields) != 4 or not all(fields):
        raise ValueError('expected test | command | seen | issue')
    test, command, seen, issue = fields
    if not _TEST.fullmatch(test):
        raise ValueError(f'not the full name of one test: {test!r}')
    if test not in command:
        raise ValueError('the command does not name the test')
    if not _ISSUE.fullmatch(issue):
        raise ValueError(f'not the number of an issue: {issue!r}')
    return KnownRed(test, command, seen, int(issue))


def find_unknown_tests(
    entries: Iterable[KnownRed], tests: Collection[str]
) -> list[str]:
    """Return the names of listed tests that do not exist, sorted.

    :param tests: names of all tests.
    """
    return sorted({entry.test for entry in entries} - set(tests))
