"""Declaration and parsing of typed options, shared by settings and resources."""

from __future__ import annotations

import configparser
import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar, get_type_hints

from coursepitch.config.findings import Finding, Place
from coursepitch.errors import FindingsError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

__all__ = [
    'REQUIRED',
    'IniFile',
    'OptionInfo',
    'describe_options',
    'option',
    'parse_options',
    'read_ini',
]

T = TypeVar('T')

#: Default of an option that has to be given.
REQUIRED: Any = dataclasses.MISSING

_TRUE = frozenset({'yes', 'true', 'on', '1'})
_FALSE = frozenset({'no', 'false', 'off', '0'})


@dataclass(frozen=True, slots=True)
class OptionInfo:
    """One row of an option table.

    ``low`` and ``high`` bound numbers, both ends allowed; ``secret`` keeps
    the value out of every message.
    """

    name: str
    kind: str
    default: Any
    doc: str
    low: float | None
    high: float | None
    choices: tuple[str, ...]
    secret: bool

    @property
    def required(self) -> bool:
        """Whether the option has no default."""
        return self.default is dataclasses.MISSING


def option(
    default: Any,
    doc: str,
    *,
    low: float | None = None,
    high: float | None = None,
    choices: tuple[str, ...] = (),
    secret: bool = False,
) -> Any:
    """Declare an option as a field of a frozen data class.

    :param default: the value when absent, or :data:`REQUIRED`.
    :param doc: one sentence for the reference page, with the unit.
    """
    metadata = {
        'doc': doc,
        'low': low,
        'high': high,
        'choices': choices,
        'secret': secret,
    }
    return dataclasses.field(default=default, metadata=metadata, kw_only=True)


def describe_options(table: type[Any]) -> tuple[OptionInfo, ...]:
    """Return the rows of an option table in the order of declaration."""
    hints = get_type_hints(table)
    rows = []
    for field in dataclasses.fields(table):
        meta = field.metadata
        rows.append(
            OptionInfo(
                name=field.name,
                kind=_name_kind(hints[field.name]),
                default=field.default,
                doc=meta['doc'],
                low=meta['low'],
                high=meta['high'],
                choices=meta['choices'],
                secret=meta['secret'],
            )
        )
    return tuple(rows)


def _name_kind(hint: Any) -> str:
    names = {str: 'text', int: 'whole number', float: 'number', bool: 'yes or no'}
    return names.get(hint, 'list')


def parse_options(
    table: type[T], values: Mapping[str, object], place: Place, lines: Mapping[str, int]
) -> tuple[T | None, list[Finding]]:
    """Turn raw values into an instance of a table.

    Values are texts, as in INI, or already typed, as in JSON.  All findings
    are returned; the instance is ``None`` when there is one.
    """
    rows = {row.name: row for row in describe_options(table)}
    findings: list[Finding] = []
    parsed: dict[str, object] = {}

    def place_option(name: str) -> Place:
        line = lines.get(name, place.line)
        return dataclasses.replace(place, option=name, line=line)

    for name in values:
        if name not in rows:
            known = ', '.join(sorted(rows))
            findings.append(
                Finding(place_option(name), 'unknown option', fix=f'known are {known}')
            )
    for row in rows.values():
        if row.name not in values:
            if row.required:
                findings.append(
                    Finding(place_option(row.name), 'missing', fix=f'set it: {row.doc}')
                )
            continue
        raw = values[row.name]
        problem, value = _parse_value(row, raw)
        if problem:
            shown = '' if row.secret else str(raw)[:80]
            findings.append(Finding(place_option(row.name), problem, shown, row.doc))
        else:
            parsed[row.name] = value
    if findings:
        return None, findings
    return table(**parsed), []


def _parse_value(row: OptionInfo, raw: object) -> tuple[str, object]:
    """Return a problem (empty when there is none) and the typed value."""
    if row.kind == 'list':
        return _parse_list(raw)
    if row.kind == 'yes or no':
        return _parse_flag(raw)
    if row.kind == 'text':
        return _parse_text(row, raw)
    return _parse_number(row, raw)


def _parse_list(raw: object) -> tuple[str, object]:
    if isinstance(raw, str):
        return '', tuple(part.strip() for part in raw.split(',') if part.strip())
    if isinstance(raw, list | tuple) and all(isinstance(part, str) for part in raw):
        return '', tuple(raw)
    return 'not a list of texts', ()


def _parse_flag(raw: object) -> tuple[str, object]:
    if isinstance(raw, bool):
        return '', raw
    word = raw.strip().lower() if isinstance(raw, str) else ''
    if word in _TRUE or word in _FALSE:
        return '', word in _TRUE
    return 'not yes or no', False


def _parse_text(row: OptionInfo, raw: object) -> tuple[str, object]:
    if not isinstance(raw, str):
        return 'not a text', ''
    if row.choices and raw not in row.choices:
        return f'not one of {", ".join(row.choices)}', ''
    return '', raw


def _parse_number(row: OptionInfo, raw: object) -> tuple[str, object]:
    whole = row.kind == 'whole number'
    if isinstance(raw, bool) or not isinstance(raw, str | int | float):
        return f'not a {row.kind}', 0
    try:
        number = float(raw)
    except ValueError:
        return f'not a {row.kind}', 0
    if number != number or (whole and not number.is_integer()):
        return f'not a {row.kind}', 0
    if row.low is not None and number < row.low:
        return f'less than {row.low:g}', 0
    if row.high is not None and number > row.high:
        return f'more than {row.high:g}', 0
    return '', int(number) if whole else number


@dataclass(frozen=True, slots=True)
class IniFile:
    """The sections of an INI file with the lines on which all stands."""

    name: str
    sections: dict[str, dict[str, str]]
    section_lines: dict[str, int]
    option_lines: dict[str, dict[str, int]]

    def place(self, section: str) -> Place:
        """Return the place of a section."""
        return Place(self.name, self.section_lines.get(section, 0), section)


def read_ini(path: Path) -> IniFile:
    """Read an INI file.

    :raises FindingsError: it cannot be read or is no INI.
    """
    name = str(path)
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        place = Place(name, 0, '-')
        raise FindingsError([Finding(place, f'cannot be read: {error}')]) from error
    return parse_ini(text, name)


def parse_ini(text: str, name: str) -> IniFile:
    """Parse the text of an INI file; ``name`` stands in the findings."""
    parser = configparser.ConfigParser(interpolation=None, default_section='\0')
    try:
        parser.read_string(text, name)
    except configparser.Error as error:
        line = getattr(error, 'lineno', None) or 0
        place = Place(name, int(line), '-')
        message = str(error).replace('\n', ' ')
        raise FindingsError([Finding(place, f'no INI: {message}')]) from error
    sections = {section: dict(parser[section]) for section in parser.sections()}
    section_lines, option_lines = _find_lines(text)
    return IniFile(name, sections, section_lines, option_lines)


def _find_lines(text: str) -> tuple[dict[str, int], dict[str, dict[str, int]]]:
    section_lines: dict[str, int] = {}
    option_lines: dict[str, dict[str, int]] = {}
    section = ''
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('[') and stripped.endswith(']'):
            section = stripped[1:-1]
            section_lines[section] = number
            option_lines[section] = {}
        elif section and stripped and stripped[0] not in '#;' and line[0] not in ' \t':
            name = stripped.replace(':', '=').split('=')[0].strip().lower()
            option_lines[section].setdefault(name, number)
    return section_lines, option_lines
