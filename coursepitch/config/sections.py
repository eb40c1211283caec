"""Tables of settings from the sections of an INI file, checked together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, get_type_hints

from coursepitch.config.findings import Finding
from coursepitch.config.options import option, parse_options

if TYPE_CHECKING:
    from coursepitch.config.options import IniFile

__all__ = ['LimitSettings', 'LogSettings', 'list_sections', 'parse_sections']


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What the node may use of its machine.

    A quarter of the memory is for bytes that are held for clients: requests that are
    read, wait or are handled, and responses that clients do not read.  Beyond it, the
    largest requests are refused with 503.  Another quarter, and three quarters of the
    descriptors, limit the connections of clients; beyond that, those that wait for
    their client longest are closed.
    """

    memory_mb: int = option(
        0,
        'Memory of the process in MB; 0 for what the machine and the resource limits '
        'of the process allow.',
        low=0,
    )
    descriptors: int = option(
        0,
        'Descriptors that the process may open; 0 for what its resource limit allows.',
        low=0,
    )


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The log."""

    path: str = option('', 'File to which events go as JSON lines; empty: stderr.')


def list_sections(settings: type[Any]) -> dict[str, type[Any]]:
    """Return the tables of settings by section, in their order."""
    return get_type_hints(settings)


def parse_sections(
    ini: IniFile, sections: dict[str, type[Any]]
) -> tuple[dict[str, Any], list[Finding]]:
    """Return the tables by section, and what is wrong in the file."""
    findings: list[Finding] = []
    for name in ini.sections:
        if name not in sections:
            known = ', '.join(sections)
            findings.append(
                Finding(ini.place(name), 'unknown section', fix=f'known are {known}')
            )
    parts: dict[str, Any] = {}
    for name, table in sections.items():
        values = ini.sections.get(name, {})
        lines = ini.option_lines.get(name, {})
        parts[name], found = parse_options(table, values, ini.place(name), lines)
        findings.extend(found)
    return parts, findings
