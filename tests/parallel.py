"""Run of test modules in processes of their own, some at a time.

Most tests of whole systems wait for processes, so some fit beside each other.
"""

from __future__ import annotations

import concurrent.futures
import re
import subprocess
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

__all__ = [
    'ALONE',
    'ModuleResult',
    'list_failures',
    'order_modules',
    'run_module',
    'run_modules',
]

#: Matches the last line of a run.
_VERDICT = re.compile(r'^(\d+) passed, (\d+) failed$', re.MULTILINE)

#: Matches a line that names a known fault that was seen.
_KNOWN_RED = re.compile(r'^known red: (\S+) ', re.MULTILINE)

#: Matches the module in the name of a test; names of classes may have several parts.
_MODULE = re.compile(r'((?:\w+\.)*?test_\w+)\.')

#: Matches the report of a failed test: its name, and the lines up to the next rule.
_FAILURE = re.compile(
    r'^(?:FAIL|ERROR): (.+)\n-{70}\n((?:(?![=-]{70}).*\n)*)', re.MULTILINE
)

#: Matches a test's full name in the first line of its report.
_TEST = re.compile(r'\((tests\.[\w.]+)\)')

#: Lines of a failure that are repeated at the end of a run.
_MAX_REPEATED_LINES = 8

#: Modules that measure times against what users expect, or whose crowds of clients take
#: many connections and much memory.  They run by themselves.
ALONE = frozenset(
    {
        'tests.whole.test_crowds',
        'tests.whole.test_endless_bytes',
        'tests.whole.test_entry_crowds',
    }
)

#: Packages whose modules take longest; they begin first.
_LONG = ('tests.soak.', 'tests.whole.')


@dataclass(frozen=True, slots=True)
class ModuleResult:
    """What the run of one module told.

    :param failed: number of tests that failed and are not listed as known red.
    :param known_red: names of the listed tests that failed.
    """

    module: str
    passed: int
    failed: int
    known_red: frozenset[str]
    output: str


def order_modules(
    names: Iterable[str], read_size: Callable[[str], int] = lambda module: 0
) -> list[str]:
    """Return the modules of tests by their names, probably long ones first.

    :param read_size: returns the size of a module's source.
    """

    def rank(module: str) -> tuple[bool, int]:
        return (not module.startswith(_LONG), -read_size(module))

    found = (_MODULE.match(name) for name in names)
    return sorted(sorted({item[1] for item in found if item}), key=rank)


def read_result(module: str, code: int, output: str) -> ModuleResult:
    """Return what a run told; one that ended without a verdict has failed."""
    found = _VERDICT.findall(output)
    passed, failed = map(int, found[-1]) if found else (0, 1)
    if code and not failed:
        failed = 1
    return ModuleResult(
        module, passed, failed, frozenset(_KNOWN_RED.findall(output)), output
    )


def list_failures(results: Iterable[ModuleResult]) -> list[str]:
    """Return the name and the last lines of each failure that is not a known one.

    A module that ended without a verdict is named with its last lines.
    """
    found = []
    for result in results:
        if not result.failed:
            continue
        reports = [
            (name, report)
            for name, report in _FAILURE.findall(result.output)
            if not any(test in result.known_red for test in _TEST.findall(name))
        ]
        for name, report in reports or [(result.module, result.output)]:
            lines = report.strip().splitlines()[-_MAX_REPEATED_LINES:]
            found.append('\n'.join([f'failed: {name}', *lines]))
    return found


def run_module(module: str) -> ModuleResult:
    """Run the tests of a module in a process of their own."""
    done = subprocess.run(
        [sys.executable, '-m', 'tests', module],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        check=False,
    )
    return read_result(module, done.returncode, done.stdout)


def run_modules(
    modules: Iterable[str],
    jobs: int,
    run: Callable[[str], ModuleResult] = run_module,
) -> Iterator[ModuleResult]:
    """Yield the result of each module as it ends, with some running at a time.

    Those of :data:`ALONE` follow one after the other.
    """
    names = list(modules)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        waiting = [pool.submit(run, name) for name in names if name not in ALONE]
        for done in concurrent.futures.as_completed(waiting):
            yield done.result()
    for name in names:
        if name in ALONE:
            yield run(name)
