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

__all__ = ['ALONE', 'ModuleResult', 'order_modules', 'run_module', 'run_modules']

#: Matches the last line of a run.
_VERDICT = re.compile(r'^(\d+) passed, (\d+) failed$', re.MULTILINE)

#: Matches a line that names a known fault that was seen.
_KNOWN_RED = re.compile(r'^known red: (\S+) ', re.MULTILINE)

#: Matches the module in the name of a test; names of classes may have several parts.
_MODULE = re.compile(r'((?:\w+\.)*?test_\w+)\.')

#: Modules that measure times against what users expect, and run by themselves.
ALONE = frozenset({'tests.whole.test_endless_bytes'})

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
